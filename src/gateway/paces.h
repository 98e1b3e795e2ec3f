/** @file
 * Gateway: current speeds of endpoints, and questions for their load on the
 * health path. A question is sent for a request that waits for its answer, at
 * most one at a time to each endpoint; other requests join it.
 */
#ifndef LAURELLIFT_GATEWAY_PACES_H
#define LAURELLIFT_GATEWAY_PACES_H

#include "gateway/load_report.h"
#include "gateway/state.h"

/* Questions for one request, so that it waits for a few round trips at most.
 */
#define LOAD_QUESTIONS_MAX 3

/* Returns what the endpoints of a service have in common. */
PaceService *Paces_Service(Gateway *gateway, const char *service);
void Paces_FreeServices(Gateway *gateway);

/* Applies the figure of a report, if it has one. */
void Paces_OnReport(Endpoint *endpoint, const LoadReport *report);

/* Applies the run time of an answer that was not streamed. */
void Paces_OnRun(Endpoint *endpoint, double run_ms);

/* Returns the factor by which a run at the endpoint takes longer now than in
 * the mean; 1 if it does not report its speed. */
double Paces_Factor(const Endpoint *endpoint);

/* Returns the additional cost of an endpoint that did not answer the newest
 * questions: it counts as slow until it may be asked again. */
double Paces_SilenceMs(const Endpoint *endpoint, double run_ms);

/* Asks the endpoint for its load, or joins the question in progress.
 * ServiceQueue_OnQuestionEnded() follows.
 * @return false when the endpoint cannot be asked now. */
bool Paces_Ask(Call *call, Endpoint *endpoint);

/* Ends the endpoint's question without a result and frees it. */
void Paces_FreeQuestion(Endpoint *endpoint);

/* Logs the choice of an endpoint for a call, with the figures behind it. */
void Paces_LogChoice(const Call *call, const Endpoint *endpoint,
                     double cost_ms);

#endif
