/** @file
 * State of an agent task, shared by the modules of this package.
 */
#ifndef LAURELLIFT_AGENT_STATE_H
#define LAURELLIFT_AGENT_STATE_H

#include <event2/http.h>
#include <glib.h>

#include "kernel/settings.h"
#include "kernel/task.h"
#include "sched/queue.h"
#include "wire/http.h"
#include "wire/link.h"
#include "wire/self.h"

#define AGENT_PART "agent"

typedef struct Run Run;

/** What the endpoint said of itself. */
typedef struct Endpoint {
    bool announced;
    bool leaving;
    bool checks_fencing;
    bool is_engine;
    char service[65];
    GPtrArray *models; /**< of char * */
    uint32_t slots;
    TimeUs heard_at; /**< Last announcement. */
} Endpoint;

typedef struct Agent {
    const Settings *settings;
    const SettingsAgent *own;
    TaskHandle task;
    struct event_base *base;
    LinkSelf self;
    LinkServer *entries;
    GHashTable *entry_links; /**< Token -> Link, of links that are up. */
    uint64_t next_token;
    GPtrArray *control_links;
    struct evhttp *http;
    Address endpoint_address;
    Endpoint endpoint;
    WantQueue *queue;
    GHashTable *runs; /**< RequestId -> Run */
    struct event *tick;
    struct event *report;
    uint64_t report_sequence;
    bool draining;
} Agent;

/** Links: sends to one entry or to all. */
int AgentLinks_Open(Agent *agent, Error *err);
void AgentLinks_Close(Agent *agent);
void AgentLinks_SendState(Agent *agent);
void AgentLinks_SendPresence(Agent *agent);

/** Carries out what the queue decided and sets its timer. */
void AgentLinks_FlushQueue(Agent *agent);

/** Sends a frame to the entry of this token; ERR_UNAVAILABLE when gone. */
int AgentLinks_Send(Agent *agent, uint64_t token, const Wire__Frame *frame);

/** Runs: requests on the endpoint. */
void AgentRun_Start(Agent *agent, uint64_t token,
                    const Wire__Dispatch *dispatch);
void AgentRun_Cancel(Agent *agent, RequestId id);
void AgentRun_FreeAll(Agent *agent);

/** The endpoint's announcements over HTTP. */
int AgentEndpoint_Listen(Agent *agent, Error *err);
bool AgentEndpoint_Usable(const Agent *agent, TimeUs now);

guint AgentRun_HashId(gconstpointer id);
gboolean AgentRun_EqualId(gconstpointer a, gconstpointer b);

#endif
