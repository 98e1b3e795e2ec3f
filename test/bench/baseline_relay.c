/** @file
 * Minimal HTTP relay, the baseline of bench_path. It receives and forwards
 * requests with evhttp over persistent connections and does nothing else.
 */
#include "fake.h"

#include <event2/buffer.h>
#include <stdio.h>

typedef struct Relay {
    Fake fake;
    gchar *target_text;
    Address target;
    GQueue idle_connections; /* unused connections to the target */
} Relay;

typedef struct Call {
    Relay *relay;
    struct evhttp_request *caller_request;
    struct evhttp_connection *connection;
} Call;

static void
on_answer(struct evhttp_request *answer, void *arg)
{
    Call *call = arg;
    if (answer == NULL || evhttp_request_get_response_code(answer) == 0) {
        evhttp_send_error(call->caller_request, HTTP_SERVUNAVAIL, NULL);
    }
    else {
        evhttp_send_reply(call->caller_request,
                          evhttp_request_get_response_code(answer), NULL,
                          evhttp_request_get_input_buffer(answer));
    }
    g_queue_push_tail(&call->relay->idle_connections, call->connection);
    g_free(call);
}

static void
on_request(struct evhttp_request *request, void *arg)
{
    Relay *relay = arg;
    Call *call = g_new0(Call, 1);
    call->relay = relay;
    call->caller_request = request;
    call->connection = g_queue_pop_head(&relay->idle_connections);
    if (call->connection == NULL) {
        call->connection = evhttp_connection_base_new(
            relay->fake.base, NULL, relay->target.host, relay->target.port);
    }
    struct evhttp_request *forwarded = evhttp_request_new(on_answer, call);
    evhttp_add_header(evhttp_request_get_output_headers(forwarded), "Host",
                      relay->target_text);
    evbuffer_add_buffer(evhttp_request_get_output_buffer(forwarded),
                        evhttp_request_get_input_buffer(request));
    evhttp_make_request(call->connection, forwarded,
                        evhttp_request_get_command(request),
                        evhttp_request_get_uri(request));
}

int
main(int argc, char **argv)
{
    Relay relay = {0};
    const GOptionEntry options[] = {
        {"to", 0, 0, G_OPTION_ARG_STRING, &relay.target_text,
         "Address to which requests are forwarded", "IP:PORT"},
        {NULL},
    };
    Fake_ReadOptions(&relay.fake, argc, argv, options);
    if (relay.target_text == NULL ||
        Address_Parse(relay.target_text, &relay.target, NULL) != ERR_OK)
    {
        fprintf(stderr, "baseline_relay: expected --to IP:PORT\n");
        return 2;
    }
    Fake_Start(&relay.fake, NULL);
    evhttp_set_gencb(relay.fake.http, on_request, &relay);
    return Fake_Run(&relay.fake);
}
