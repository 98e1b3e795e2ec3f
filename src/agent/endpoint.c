/** @file
 * HTTP server for the endpoint, which announces itself and its draining as
 * JSON. Invalid requests are answered with status 400 and have no effect.
 */
#include "agent/state.h"

#include <string.h>

#include "kernel/log.h"
#include "server/json_size.h"

#define SLOTS_MAX 4096
#define MODELS_MAX 64
#define MODEL_NAME_MAX_BYTES 128
#define BODY_MAX_BYTES (1024 * 1024)
#define HEADERS_MAX_BYTES 8192
#define HTTP_TIMEOUT_MS 10000
/* Upper bound of announce_ms, the time without an announcement after which the
 * endpoint is not usable. It makes sure that grants end within 3 s, whatever
 * the settings say. */
#define ANNOUNCE_TIMEOUT_MAX_MS 2900

void
AgentEndpoint_ReplyBad(HttpRequest *request, const char *message)
{
    HttpRequest_ReplyError(request, &(HttpError){
                                        .status = 400,
                                        .code = "invalid",
                                        .message = message,
                                        .outcome = "not_run",
                                    });
}

json_t *
AgentEndpoint_ReadJson(HttpRequest *request)
{
    if (strcmp(HttpRequest_Method(request), "POST") != 0) {
        HttpRequest_ReplyError(request, &(HttpError){
                                            .status = 405,
                                            .code = "method",
                                            .message = "Expected POST.",
                                            .outcome = "not_run",
                                        });
        return NULL;
    }
    size_t length;
    const char *body = HttpRequest_Body(request, &length);
    const HttpError *error = JsonSize_Check(body, length);
    if (error != NULL) {
        HttpRequest_ReplyError(request, error);
        return NULL;
    }
    json_t *json = json_loadb(body, length, JSON_REJECT_DUPLICATES, NULL);
    if (!json_is_object(json)) {
        json_decref(json);
        AgentEndpoint_ReplyBad(request, "Expected a JSON object.");
        return NULL;
    }
    return json;
}

/* Reads a boolean member; an absent one is false.
 * @return false if the member is not a boolean. */
static bool
read_flag(const json_t *json, const char *name, bool *value)
{
    const json_t *flag = json_object_get(json, name);
    *value = json_is_true(flag);
    return flag == NULL || json_is_boolean(flag);
}

/* Reads a string member; an absent one is empty.
 * @return false if the member is not a string or is too long. */
static bool
read_text(const json_t *json, const char *name, char *value)
{
    const json_t *text = json_object_get(json, name);
    const char *string = text == NULL ? "" : json_string_value(text);
    return string != NULL &&
           g_strlcpy(value, string, ENDPOINT_TEXT_BYTES) < ENDPOINT_TEXT_BYTES;
}

static bool
are_valid_models(const json_t *models)
{
    if (models == NULL) {
        return true;
    }
    if (!json_is_array(models) || json_array_size(models) > MODELS_MAX) {
        return false;
    }
    size_t index;
    json_t *model;
    json_array_foreach(models, index, model)
    {
        size_t length = json_string_length(model);
        if (length == 0 || length > MODEL_NAME_MAX_BYTES) {
            return false;
        }
    }
    return true;
}

static void
set_models(Endpoint *endpoint, const json_t *models)
{
    g_ptr_array_set_size(endpoint->models, 0);
    size_t index;
    json_t *model;
    json_array_foreach(models, index, model)
    {
        g_ptr_array_add(endpoint->models, g_strdup(json_string_value(model)));
    }
}

/* Reads all members except the models, which are only checked, into @p next.
 * @return NULL, or the error message. */
static const char *
read_announcement(const json_t *json, Endpoint *next)
{
    const char *kind = json_string_value(json_object_get(json, "kind"));
    const json_t *slots = json_object_get(json, "slots");
    if (kind == NULL ||
        (strcmp(kind, "engine") != 0 && strcmp(kind, "service") != 0))
    {
        return "Expected kind: engine or service.";
    }
    if (!json_is_integer(slots) || json_integer_value(slots) < 1 ||
        json_integer_value(slots) > SLOTS_MAX)
    {
        return "Expected slots: 1 to 4096.";
    }
    next->is_engine = kind[0] == 'e';
    next->slots = (uint32_t)json_integer_value(slots);
    if (!read_flag(json, "checks_fencing", &next->checks_fencing) ||
        !read_flag(json, "leaving", &next->leaving))
    {
        return "Expected checks_fencing and leaving: true or false.";
    }
    if (!read_text(json, "service", next->service) ||
        !read_text(json, "boot", next->boot) ||
        !read_text(json, "version", next->version))
    {
        return "Expected service, boot and version: strings of up to 64 "
               "bytes each.";
    }
    if (!next->is_engine && next->service[0] == '\0') {
        return "Expected service: the name of the service.";
    }
    if (!are_valid_models(json_object_get(json, "models"))) {
        return "Expected models: up to 64 names of up to 128 bytes.";
    }
    return NULL;
}

static void
apply_announcement(Agent *agent, const Endpoint *next, const json_t *models)
{
    Endpoint *endpoint = &agent->endpoint;
    bool restarted =
        endpoint->announced && strcmp(endpoint->boot, next->boot) != 0;
    bool resized = !endpoint->announced || endpoint->slots != next->slots;
    *endpoint = *next;
    endpoint->announced = true;
    endpoint->last_seen_at = Clock_Now();
    set_models(endpoint, models);
    if (restarted) {
        LOG_INFO(AGENT_PART, "Endpoint restarted. endpoint=%s",
                 agent->own->name);
        endpoint->leaving_reported = false;
        AgentReport_Reset(agent);
        Queue_ResetRate(agent->queue, endpoint->last_seen_at);
    }
    if (resized || restarted) {
        endpoint->usable_slots = endpoint->slots;
        Queue_SetSlots(agent->queue, endpoint->slots, endpoint->last_seen_at);
    }
    AgentWithdrawal_OnAnnounced(agent->withdrawal);
    AgentCrash_OnAnnounced(agent->crashes, restarted);
    Agent_Refresh(agent, endpoint->last_seen_at);
    AgentLinks_FlushQueue(agent);
}

static void
on_announce(HttpRequest *request, void *arg)
{
    Agent *agent = arg;
    json_t *json = AgentEndpoint_ReadJson(request);
    if (json == NULL) {
        return;
    }
    /* Copies the state that announcements do not contain, such as load. */
    Endpoint next = agent->endpoint;
    const char *error = read_announcement(json, &next);
    if (error != NULL) {
        AgentEndpoint_ReplyBad(request, error);
    }
    else {
        apply_announcement(agent, &next, json_object_get(json, "models"));
        HttpRequest_ReplyJson(request, 200,
                              json_pack("{s:s}", "status", "ok"));
    }
    json_decref(json);
}

static void
reply_left(void *arg, bool recorded)
{
    if (recorded) {
        HttpRequest_ReplyJson(arg, 200, json_pack("{s:s}", "status", "ok"));
        return;
    }
    HttpRequest_ReplyError(arg, &(HttpError){
                                    .status = 503,
                                    .code = "unconfirmed",
                                    .message = "In effect at this agent, but "
                                               "not recorded; repeat it.",
                                    .outcome = "unknown",
                                });
}

static void
on_leaving(HttpRequest *request, void *arg)
{
    Agent *agent = arg;
    json_t *json = AgentEndpoint_ReadJson(request);
    if (json == NULL) {
        return;
    }
    bool leaving = true;
    if (json_object_get(json, "leaving") != NULL &&
        !read_flag(json, "leaving", &leaving))
    {
        AgentEndpoint_ReplyBad(request, "Expected leaving: true or false.");
        json_decref(json);
        return;
    }
    json_decref(json);
    agent->endpoint.leaving_reported = leaving;
    Agent_Refresh(agent, Clock_Now());
    if (agent->endpoint.boot[0] == '\0') {
        /* Another start could not be told from this one. */
        reply_left(request, true);
        return;
    }
    AgentWithdrawal_Record(agent->withdrawal, reply_left, request);
}

bool
AgentEndpoint_IsUsable(const Agent *agent, TimeUs now)
{
    const Endpoint *endpoint = &agent->endpoint;
    TimeUs silent = now - endpoint->last_seen_at;
    TimeUs timeout =
        MIN(agent->own->announce_ms, ANNOUNCE_TIMEOUT_MAX_MS) * US_PER_MS;
    return endpoint->announced && !endpoint->leaving &&
           !endpoint->leaving_reported && !agent->draining &&
           !agent->drained_by_order &&
           AgentWithdrawal_MayServe(agent->withdrawal) && silent < timeout;
}

static const ReaderLimits limits = {
    .max_head_bytes = HEADERS_MAX_BYTES,
    .max_body_bytes = BODY_MAX_BYTES,
    .head_timeout_ms = HTTP_TIMEOUT_MS,
    .body_timeout_ms = HTTP_TIMEOUT_MS,
    .idle_timeout_ms = HTTP_TIMEOUT_MS,
};

int
AgentEndpoint_Listen(Agent *agent, Error *err)
{
    Address address;
    int result = Address_Parse(agent->own->http, &address, err);
    if (result != ERR_OK) {
        return result;
    }
    agent->http =
        HttpServer_Listen(agent->base, &address, &limits, NULL, NULL, err);
    if (agent->http == NULL) {
        return err->code;
    }
    HttpServer_SetHandler(agent->http, "/v1/announce", on_announce, agent);
    HttpServer_SetHandler(agent->http, "/v1/leaving", on_leaving, agent);
    AgentReport_Listen(agent);
    return ERR_OK;
}
