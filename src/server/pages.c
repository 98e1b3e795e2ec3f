/** @file
 * Pages that all servers have.
 */
#include "server/pages.h"

#include "kernel/counter.h"
#include "kernel/histogram.h"
#include "kernel/task.h"

typedef struct ReadinessCheck {
    bool (*ready)(void *owner);
    void *owner;
} ReadinessCheck;

static void
on_healthz(HttpRequest *request, void *arg)
{
    HttpRequest_ReplyJson(request, 200, json_pack("{s:s}", "status", "ok"));
}

static void
on_readyz(HttpRequest *request, void *arg)
{
    const ReadinessCheck *check = arg;
    bool ready = !Kernel_IsStopping(Kernel_Current());
    if (ready && check->ready != NULL) {
        ready = check->ready(check->owner);
    }
    HttpRequest_ReplyJson(request, ready ? 200 : 503,
                          json_pack("{s:b}", "ready", ready));
}

static void
on_metrics(HttpRequest *request, void *arg)
{
    struct evbuffer *out = evbuffer_new();
    Counter_PrintAll(out);
    Histogram_PrintAll(out);
    HttpRequest_AddField(request, "Content-Type", "text/plain; version=0.0.4");
    HttpRequest_Reply(request, 200, out);
    evbuffer_free(out);
}

static void
on_state(HttpRequest *request, void *arg)
{
    HttpRequest_ReplyJson(request, 200, Kernel_Dump(Kernel_Current()));
}

void
Pages_Add(HttpServer *server, bool (*ready)(void *owner), void *owner)
{
    /* Never freed: a server runs until the process exits. */
    ReadinessCheck *check = g_new0(ReadinessCheck, 1);
    check->ready = ready;
    check->owner = owner;
    HttpServer_SetHandler(server, "/healthz", on_healthz, NULL);
    HttpServer_SetHandler(server, "/readyz", on_readyz, check);
    HttpServer_SetHandler(server, "/metrics", on_metrics, NULL);
    HttpServer_SetHandler(server, "/debug/state", on_state, NULL);
}
