/** @file
 * Gateway: error answers of the gateway itself, with a JSON body.
 */
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "gateway/state.h"
#include "kernel/counter.h"
#include "server/status.h"

bool
GatewayFields_SayNotRun(const GatewayFields *fields, const H1Head *head)
{
    return head->status == HTTP_OTHER_INSTANCE ||
           H1Head_Get(head, fields->not_run) != NULL;
}

bool
GatewayErrors_MeansNotRun(unsigned status)
{
    return status == 429 || status == 503 || status == 408 ||
           status == HTTP_OTHER_INSTANCE;
}

const CallError *
GatewayErrors_ForOutcome(const CallError *error, bool maybe_ran)
{
    static const CallError unknown = {
        .status = 502,
        .code = "endpoint_failed",
        .message = "The endpoint failed while processing the request.",
    };
    return maybe_ran && GatewayErrors_MeansNotRun(error->status) ? &unknown
                                                                 : error;
}

static char *
print_body(const CallError *error, const char *outcome)
{
    json_t *body =
        json_pack("{s:{s:s, s:s, s:s}}", "error", "code", error->code,
                  "message", error->message, "outcome", outcome);
    char *text = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    return text;
}

void
GatewayErrors_Count(const char *code)
{
    char *name = g_strdup_printf("gateway_failed_total{code=\"%s\"}", code);
    Counter_Add(Counter_Get(name, "Requests answered with an error."), 1);
    g_free(name);
}

void
GatewayErrors_Print(struct evbuffer *out, const CallError *error,
                    const char *request_id, const char *outcome, bool close)
{
    char *body = print_body(error, outcome);
    evbuffer_add_printf(out, "HTTP/1.1 %u %s\r\n", error->status,
                        HttpStatus_Phrase(error->status));
    if (request_id != NULL) {
        evbuffer_add_printf(out, "%s\r\n", request_id);
    }
    if (error->retry_after_ms > 0) {
        evbuffer_add_printf(out, "Retry-After: %u.%03u\r\n",
                            error->retry_after_ms / 1000,
                            error->retry_after_ms % 1000);
    }
    evbuffer_add_printf(out,
                        "Content-Type: application/json\r\n"
                        "Content-Length: %zu\r\n%s\r\n%s",
                        strlen(body), close ? "Connection: close\r\n" : "",
                        body);
    free(body);
}
