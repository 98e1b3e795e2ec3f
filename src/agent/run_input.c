/** @file
 * Bounds the unconsumed input of runs.
 */
#include "agent/run_input.h"

#include <stdbool.h>

#include <event2/buffer.h>
#include <event2/event.h>

#include "kernel/counter.h"
#include "wire/http.h"

static size_t
grown_bytes(const RunInput *input)
{
    return input->window - RUN_INPUT_BASE_BYTES;
}

/* Doubles the window if the bound of all runs allows it.
 * @return false if the run must wait for others. */
static bool
grow(RunInput *input)
{
    RunInputs *inputs = input->inputs;
    size_t added =
        MIN(input->window,
            RUN_CHUNK_MAX_BYTES + RUN_INPUT_BASE_BYTES - input->window);
    bool alone = inputs->bytes == grown_bytes(input);
    if (!alone && inputs->bytes + added > inputs->max_bytes) {
        return false;
    }
    inputs->bytes += added;
    input->window += added;
    bufferevent_setwatermark(input->socket, EV_READ, 0, input->window);
    return true;
}

static bool
is_full(const RunInput *input)
{
    return evbuffer_get_length(bufferevent_get_input(input->socket)) >=
           input->window;
}

static void
on_grow(evutil_socket_t fd, short events, void *arg)
{
    RunInput *input = arg;
    if (is_full(input) && !grow(input) &&
        g_queue_find(&input->inputs->waiting, input) == NULL)
    {
        g_queue_push_tail(&input->inputs->waiting, input);
        Counter_Add(Counter_Get("agent_input_waits_total",
                                "Runs that waited for memory to receive a "
                                "large chunk of an answer."),
                    1);
    }
}

/* evhttp consumes what it can after this callback, so that the check whether
 * the input stays full is deferred. */
static void
on_input(struct evbuffer *buffer, const struct evbuffer_cb_info *info,
         void *arg)
{
    const RunInput *input = arg;
    if (info->n_added > 0 && is_full(input)) {
        event_active(input->grow, EV_TIMEOUT, 0);
    }
}

void
RunInput_Open(RunInput *input, RunInputs *inputs, struct event_base *base,
              struct evhttp_connection *connection)
{
    *input = (RunInput){
        .inputs = inputs,
        .socket = evhttp_connection_get_bufferevent(connection),
        .grow = event_new(base, -1, 0, on_grow, input),
        .window = RUN_INPUT_BASE_BYTES,
    };
    Http_LimitInput(connection, RUN_HEAD_MAX_BYTES, input->window);
    input->watch =
        evbuffer_add_cb(bufferevent_get_input(input->socket), on_input, input);
}

/* Lets the runs that wait grow as far as the bound allows. */
static void
grow_waiting(RunInputs *inputs)
{
    while (!g_queue_is_empty(&inputs->waiting)) {
        RunInput *input = g_queue_peek_head(&inputs->waiting);
        if (is_full(input) && !grow(input)) {
            return;
        }
        g_queue_pop_head(&inputs->waiting);
    }
}

void
RunInput_Close(RunInput *input)
{
    if (input->socket == NULL) {
        return;
    }
    evbuffer_remove_cb_entry(bufferevent_get_input(input->socket),
                             input->watch);
    event_free(input->grow);
    input->inputs->bytes -= grown_bytes(input);
    g_queue_remove(&input->inputs->waiting, input);
    input->socket = NULL;
    grow_waiting(input->inputs);
}
