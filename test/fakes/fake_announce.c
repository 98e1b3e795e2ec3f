/** @file
 * Announcements of the fake server to control hosts.
 */
#include "fake_announce.h"

#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/http.h>
#include <jansson.h>

#include "wire/address.h"

#define ANNOUNCE_PERIOD_MS 300
#define DEFAULT_SOFTWARE "v1"

static void
on_announce_reply(struct evhttp_request *request, void *arg)
{
    Server *server = arg;
    if (request == NULL || evhttp_request_get_response_code(request) != 200) {
        server->host_index++;
    }
}

static void
post_to_control(Server *server, const char *action, json_t *body)
{
    const char *host =
        server->control_hosts[server->host_index %
                              g_strv_length(server->control_hosts)];
    Address address;
    if (Address_Parse(host, &address, NULL) != ERR_OK) {
        return;
    }
    struct evhttp_connection *connection = evhttp_connection_base_new(
        server->base, NULL, address.host, address.port);
    evhttp_connection_free_on_completion(connection);
    evhttp_connection_set_timeout(connection, 1);
    struct evhttp_request *request =
        evhttp_request_new(on_announce_reply, server);
    struct evkeyvalq *fields = evhttp_request_get_output_headers(request);
    evhttp_add_header(fields, "Host", host);
    evhttp_add_header(fields, "Content-Type", "application/json");
    char *text = json_dumps(body, JSON_COMPACT);
    evbuffer_add(evhttp_request_get_output_buffer(request), text,
                 strlen(text));
    free(text);
    char *path = g_strdup_printf("/api/instances/%s/%s", server->id, action);
    evhttp_make_request(connection, request, EVHTTP_REQ_POST, path);
    g_free(path);
    json_decref(body);
}

void
FakeAnnounce_OnTimer(evutil_socket_t fd, short events, void *arg)
{
    Server *server = arg;
    post_to_control(server, "heartbeat",
                    json_pack("{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:I, s:I}",
                              "service", server->service, "address",
                              server->listen, "zone", server->zone, "version",
                              server->software != NULL ? server->software
                                                       : DEFAULT_SOFTWARE,
                              "slots", server->slots, "state",
                              server->draining ? "draining" : "ready",
                              "coldRemainingMs", 0, "sequence",
                              (json_int_t)++server->sequence, "born",
                              (json_int_t)server->born));
    struct timeval delay = {.tv_usec = ANNOUNCE_PERIOD_MS * 1000};
    event_add(server->announce_timer, &delay);
}

void
FakeAnnounce_DeregisterPrevious(Server *server, const char *id, int start)
{
    char *own_id = server->id;
    server->id = g_strdup_printf("%s-%d", id, start - 1);
    post_to_control(server, "deregister", json_object());
    g_free(server->id);
    server->id = own_id;
}
