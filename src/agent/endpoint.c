/** @file
 * The endpoint's side: it announces itself, reports load and leaves, over
 * HTTP, as JSON.
 */
#include "agent/state.h"

#include <string.h>

#include "kernel/log.h"

#define SLOTS_MAX 4096

static void
reply_bad(struct evhttp_request *request, const char *message)
{
    Http_ReplyError(request, &(HttpError){
                                 .status = 400,
                                 .code = "invalid",
                                 .message = message,
                                 .outcome = "not_run",
                             });
}

static json_t *
read_json(struct evhttp_request *request)
{
    size_t length;
    char *body = Http_Body(request, &length);
    json_t *json = json_loadb(body, length, 0, NULL);
    g_free(body);
    if (!json_is_object(json)) {
        json_decref(json);
        return NULL;
    }
    return json;
}

static void
take_models(Endpoint *endpoint, const json_t *models)
{
    g_ptr_array_set_size(endpoint->models, 0);
    size_t index;
    json_t *model;
    json_array_foreach(models, index, model)
    {
        if (json_is_string(model)) {
            g_ptr_array_add(endpoint->models,
                            g_strdup(json_string_value(model)));
        }
    }
}

static const char *
take_announcement(Agent *agent, const json_t *json)
{
    Endpoint *endpoint = &agent->endpoint;
    const char *kind = json_string_value(json_object_get(json, "kind"));
    json_int_t slots = json_integer_value(json_object_get(json, "slots"));
    if (kind == NULL ||
        (strcmp(kind, "engine") != 0 && strcmp(kind, "service") != 0))
    {
        return "Expected kind: engine or service.";
    }
    if (slots < 1 || slots > SLOTS_MAX) {
        return "Expected slots: 1 to 4096.";
    }
    endpoint->is_engine = kind[0] == 'e';
    endpoint->slots = (uint32_t)slots;
    endpoint->checks_fencing =
        json_is_true(json_object_get(json, "checks_fencing"));
    const char *service = json_string_value(json_object_get(json, "service"));
    g_strlcpy(endpoint->service, service == NULL ? "" : service,
              sizeof(endpoint->service));
    take_models(endpoint, json_object_get(json, "models"));
    endpoint->leaving = json_is_true(json_object_get(json, "leaving"));
    endpoint->announced = true;
    endpoint->heard_at = Clock_Now();
    return NULL;
}

static void
on_announce(struct evhttp_request *request, void *arg)
{
    Agent *agent = arg;
    json_t *json = read_json(request);
    if (json == NULL) {
        reply_bad(request, "Expected a JSON object.");
        return;
    }
    const char *fault = take_announcement(agent, json);
    json_decref(json);
    if (fault != NULL) {
        reply_bad(request, fault);
        return;
    }
    Queue_SetSlots(agent->queue, agent->endpoint.slots, Clock_Now());
    AgentLinks_FlushQueue(agent);
    Http_ReplyJson(request, 200, json_pack("{s:s}", "status", "ok"));
}

bool
AgentEndpoint_Usable(const Agent *agent, TimeUs now)
{
    const Endpoint *endpoint = &agent->endpoint;
    TimeUs silent = now - endpoint->heard_at;
    return endpoint->announced && !endpoint->leaving && !agent->draining &&
           silent < agent->own->announce_ms * US_PER_MS;
}

int
AgentEndpoint_Listen(Agent *agent, Error *err)
{
    Address address;
    int result = Address_Parse(agent->own->http, &address, err);
    if (result != ERR_OK) {
        return result;
    }
    agent->http = Http_Listen(agent->base, &address, NULL, NULL, err);
    if (agent->http == NULL) {
        return err->code;
    }
    evhttp_set_cb(agent->http, "/v1/announce", on_announce, agent);
    return ERR_OK;
}
