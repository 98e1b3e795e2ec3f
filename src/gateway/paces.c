/** @file
 * Gateway: current speeds of endpoints, and questions for their load.
 */
#include "gateway/paces.h"

#include <event2/http.h>

#include "kernel/counter.h"
#include "kernel/histogram.h"
#include "kernel/log.h"
#include "wire/address.h"
#include "wire/http.h"

/* Time limit of a question: several round trips in a region. A request gains
 * nothing by a longer wait. */
#define QUESTION_TIMEOUT_MS 15
/* Consecutive failed questions after which an endpoint counts as slow. A
 * single one is often due to the gateway itself, which has little processor
 * time. */
#define SILENT_FAILURES 2
/* Pauses after a failed question, and after SILENT_FAILURES, so that requests
 * do not wait for an endpoint that does not answer. */
#define FAILED_PAUSE_US (100 * US_PER_MS)
#define SILENT_PAUSE_US (1 * US_PER_S)
/* Largest head, body and unread input of an answer. */
#define ANSWER_MAX_BYTES (16 * 1024)

struct PaceQuestion {
    Endpoint *endpoint;
    struct evhttp_connection *connection; /* NULL after a failure */
    struct event *timer; /* time limit; also runs end_question() */
    uint64_t id;         /* 0 while none is in progress */
    TimeUs asked_at;
    bool answered;
    unsigned failures; /* consecutive ones */
    TimeUs pause_until;
};

PaceService *
Paces_Service(Gateway *gateway, const char *service)
{
    if (gateway->pace_services == NULL) {
        gateway->pace_services =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    }
    PaceService *found = g_hash_table_lookup(gateway->pace_services, service);
    if (found == NULL) {
        found = g_new0(PaceService, 1);
        g_hash_table_insert(gateway->pace_services, g_strdup(service), found);
    }
    return found;
}

void
Paces_FreeServices(Gateway *gateway)
{
    if (gateway->pace_services != NULL) {
        g_hash_table_destroy(gateway->pace_services);
        gateway->pace_services = NULL;
    }
}

static PaceService *
service_of(const Endpoint *endpoint)
{
    return Paces_Service(endpoint->gateway, endpoint->service);
}

void
Paces_OnReport(Endpoint *endpoint, const LoadReport *report)
{
    if (report->pace_is_invalid) {
        Counter_Add(Counter_Get("gateway_invalid_speed_figures_total",
                                "Figures of endpoints' current speed that "
                                "were ignored."),
                    1);
        if (!endpoint->bad_pace_logged) {
            LOG_WARN(GATEWAY_PART,
                     "Invalid figure of an endpoint's speed is ignored. id=%s",
                     endpoint->id);
        }
        endpoint->bad_pace_logged = true;
    }
    if (report->pace.figure > 0) {
        Pace_OnReport(&endpoint->pace, service_of(endpoint),
                      report->pace.figure, report->pace.received_at);
    }
}

void
Paces_OnRun(Endpoint *endpoint, double run_ms)
{
    if (Pace_IsKnown(&endpoint->pace)) {
        Pace_OnRun(&endpoint->pace, service_of(endpoint), run_ms, Clock_Now());
    }
}

double
Paces_Factor(const Endpoint *endpoint)
{
    return Pace_IsKnown(&endpoint->pace)
               ? Pace_Factor(&endpoint->pace, service_of(endpoint),
                             Clock_Now())
               : 1;
}

double
Paces_SilenceMs(const Endpoint *endpoint, double run_ms)
{
    const PaceQuestion *question = endpoint->question;
    return question != NULL && question->failures >= SILENT_FAILURES &&
                   Clock_Now() < question->pause_until
               ? run_ms * service_of(endpoint)->slow_excess
               : 0;
}

static void
count_question(const char *outcome)
{
    char name[64];
    g_snprintf(name, sizeof(name),
               "gateway_load_questions_total{outcome=\"%s\"}", outcome);
    Counter_Add(Counter_Get(name, "Questions to endpoints for their load."),
                1);
}

/* Ends the question from the event loop, as its answer was applied or its time
 * is over. */
static void
end_question(evutil_socket_t fd, short events, void *arg)
{
    PaceQuestion *question = arg;
    Endpoint *endpoint = question->endpoint;
    TimeUs now = Clock_Now();
    uint64_t id = question->id;
    question->id = 0;
    if (question->answered) {
        count_question("answered");
        question->failures = 0;
    }
    else {
        count_question("failed");
        LOG_INFO(GATEWAY_PART,
                 "Question for the load has no answer. endpoint=%s after_ms="
                 "%lld",
                 endpoint->id,
                 (long long)(now - question->asked_at) / US_PER_MS);
        question->failures++;
        question->pause_until =
            now + (question->failures < SILENT_FAILURES ? FAILED_PAUSE_US
                                                        : SILENT_PAUSE_US);
        g_clear_pointer(&question->connection, evhttp_connection_free);
    }
    ServiceQueue_OnQuestionEnded(endpoint->gateway, endpoint->service, id);
    Endpoint_Unref(endpoint);
}

static void
on_answer(struct evhttp_request *request, void *arg)
{
    PaceQuestion *question = arg;
    Endpoint *endpoint = question->endpoint;
    const char *load =
        request == NULL || evhttp_request_get_response_code(request) != HTTP_OK
            ? NULL
            : evhttp_find_header(evhttp_request_get_input_headers(request),
                                 endpoint->gateway->options->fields->load);
    if (load != NULL) {
        question->answered = true;
        Endpoint_OnLoadReport(endpoint, load);
        Pace_OnAsked(service_of(endpoint),
                     (double)(Clock_Now() - question->asked_at) / US_PER_MS);
    }
    event_del(question->timer);
    event_active(question->timer, EV_TIMEOUT, 0);
}

static bool
open_connection(PaceQuestion *question)
{
    Error err = ERROR_INIT;
    Address address;
    const Endpoint *endpoint = question->endpoint;
    if (Address_Parse(endpoint->address, &address, &err) != ERR_OK) {
        LOG_WARN(GATEWAY_PART,
                 "Invalid address of an endpoint. endpoint=%s why=\"%s\"",
                 endpoint->id, err.text);
        return false;
    }
    question->connection = evhttp_connection_base_new(
        endpoint->gateway->base, NULL, address.host, address.port);
    Http_LimitInput(question->connection, ANSWER_MAX_BYTES, ANSWER_MAX_BYTES);
    evhttp_connection_set_max_body_size(question->connection,
                                        ANSWER_MAX_BYTES);
    return true;
}

static bool
send_question(PaceQuestion *question, const char *path)
{
    if (question->connection == NULL && !open_connection(question)) {
        return false;
    }
    struct evhttp_request *request = evhttp_request_new(on_answer, question);
    evhttp_add_header(evhttp_request_get_output_headers(request), "Host",
                      question->endpoint->address);
    if (evhttp_make_request(question->connection, request, EVHTTP_REQ_GET,
                            path) != 0)
    {
        LOG_WARN(GATEWAY_PART, "Failed to ask for the load. endpoint=%s",
                 question->endpoint->id);
        return false;
    }
    return true;
}

bool
Paces_Ask(Call *call, Endpoint *endpoint)
{
    Gateway *gateway = call->gateway;
    const RouteService *service =
        RouteTable_Service(call->table, endpoint->service);
    if (service == NULL || service->health_path == NULL) {
        return false;
    }
    PaceQuestion *question = endpoint->question;
    if (question == NULL) {
        question = g_new0(PaceQuestion, 1);
        question->endpoint = endpoint;
        question->timer =
            event_new(gateway->base, -1, 0, end_question, question);
        endpoint->question = question;
    }
    TimeUs now = Clock_Now();
    if (question->id == 0) {
        if (now < question->pause_until) {
            return false;
        }
        if (!send_question(question, service->health_path)) {
            question->pause_until = now + FAILED_PAUSE_US;
            return false;
        }
        question->id = ++gateway->last_question_id;
        question->asked_at = now;
        question->answered = false;
        struct timeval limit = {.tv_usec = QUESTION_TIMEOUT_MS * US_PER_MS};
        event_add(question->timer, &limit);
        Endpoint_Ref(endpoint);
    }
    call->question_id = question->id;
    call->load_questions++;
    return true;
}

void
Paces_FreeQuestion(Endpoint *endpoint)
{
    PaceQuestion *question = endpoint->question;
    if (question == NULL) {
        return;
    }
    endpoint->question = NULL;
    if (question->id != 0) {
        endpoint->references--;
    }
    if (question->connection != NULL) {
        evhttp_connection_free(question->connection);
    }
    event_free(question->timer);
    g_free(question);
}

void
Paces_LogChoice(const Call *call, const Endpoint *endpoint, double cost_ms)
{
    const Pace *pace = &endpoint->pace;
    const PaceService *service = service_of(endpoint);
    TimeUs now = Clock_Now();
    TimeUs age = now - pace->report.received_at;
    Histogram_Record(Histogram_Get("gateway_speed_figure_age_seconds",
                                   "use=\"plain\"",
                                   "Age of the figures of the current speed "
                                   "of chosen endpoints."),
                     age);
    LOG_INFO(GATEWAY_PART,
             "Endpoint chosen by its current speed. id=%s endpoint=%s "
             "figure=%.0f figure_age_ms=%lld holding_ms=%lld usual=%.0f "
             "expected=%.0f run_ms=%.1f cost_ms=%.1f load_questions=%u",
             call->id, endpoint->id, pace->report.figure,
             (long long)age / US_PER_MS,
             (long long)Pace_HoldingTime(service) / US_PER_MS, pace->usual,
             Pace_Expected(pace, service, now), Pace_RunMs(pace, service, now),
             cost_ms, call->load_questions);
}
