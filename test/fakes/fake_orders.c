/** @file
 * Orders to the fake engine. The engine records each order and replies after a
 * delay. If it checks fencing, it refuses orders with an outdated fencing
 * number.
 */
#include "fake_engine.h"

#include <string.h>

#include <event2/buffer.h>

typedef struct OrderReply {
    struct evhttp_request *request;
    int status;
} OrderReply;

static void
on_reply_timer(evutil_socket_t fd, short events, void *arg)
{
    OrderReply *reply = arg;
    evhttp_send_reply(reply->request, reply->status, NULL, NULL);
    g_free(reply);
}

/* Applies a load or unload order to the announced list of models. */
static void
change_models(Engine *engine, const char *kind, const char *argument)
{
    json_t *models = json_object_get(engine->fake.announcement, "models");
    if (strcmp(kind, "load") == 0) {
        json_array_append_new(models, json_string(argument));
        return;
    }
    for (size_t i = json_array_size(models); i-- > 0;) {
        const char *model = json_string_value(json_array_get(models, i));
        if (strcmp(kind, "unload") == 0 && strcmp(model, argument) == 0) {
            json_array_remove(models, i);
        }
    }
}

static int
run_order(Engine *engine, const json_t *body)
{
    const char *kind = json_string_value(json_object_get(body, "kind"));
    const char *argument =
        json_string_value(json_object_get(body, "argument"));
    json_int_t fence = json_integer_value(json_object_get(body, "fence"));
    if (kind == NULL || argument == NULL) {
        return 400;
    }
    if (engine->checks_fencing && fence <= engine->fence) {
        Fake_Record(&engine->fake, "refused order %s %s %d", kind, argument,
                    (int)fence);
        return 409;
    }
    engine->fence = MAX(engine->fence, fence);
    Fake_Record(&engine->fake, "order %s %s %d", kind, argument, (int)fence);
    change_models(engine, kind, argument);
    return 200;
}

static void
on_order(struct evhttp_request *request, void *arg)
{
    Engine *engine = arg;
    struct evbuffer *in = evhttp_request_get_input_buffer(request);
    size_t length = evbuffer_get_length(in);
    json_t *body =
        json_loadb((const char *)evbuffer_pullup(in, -1), length, 0, NULL);
    OrderReply *reply = g_new0(OrderReply, 1);
    reply->request = request;
    reply->status = run_order(engine, body);
    json_decref(body);
    struct timeval delay = {
        .tv_sec = engine->order_ms / 1000,
        .tv_usec = (engine->order_ms % 1000) * 1000,
    };
    event_base_once(engine->fake.base, -1, EV_TIMEOUT, on_reply_timer, reply,
                    &delay);
}

void
FakeOrders_Listen(Engine *engine)
{
    evhttp_set_cb(engine->fake.http, "/v1/orders", on_order, engine);
}
