/** @file
 * Orders: an operator's order to an endpoint gets a fencing number through the
 * log and is then sent to the endpoint's agent. A resent order has the same
 * command id and therefore gets the same fencing number.
 */
#include <string.h>

#include "control/replies.h"
#include "control/service.h"
#include "kernel/log.h"

typedef struct PendingOrder {
    Control *control;
    Wire__Frame *frame; /* contains the order */
    OrderDone done;
    void *arg;
    bool sent;       /* to the agent; before that it waits for its number */
    TimeUs deadline; /* of the agent's reply */
} PendingOrder;

static void
free_order(PendingOrder *pending)
{
    wire__frame__free_unpacked(pending->frame, NULL);
    g_free(pending);
}

/* Copies the order into a new frame, which outlives the caller's order. */
static Wire__Frame *
copy_order(const Wire__Order *order)
{
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_ORDER;
    frame.order = (Wire__Order *)order;
    size_t size = wire__frame__get_packed_size(&frame);
    uint8_t *bytes = g_malloc(size);
    wire__frame__pack(&frame, bytes);
    Wire__Frame *copy = wire__frame__unpack(NULL, size, bytes);
    g_free(bytes);
    INVARIANT(copy != NULL);
    return copy;
}

static GBytes *
copy_command_id(const Wire__Order *order)
{
    return g_bytes_new(order->command_id.data, order->command_id.len);
}

static void
report_error(OrderDone done, void *arg, const Wire__Order *order, int code,
             const char *text)
{
    Wire__OrderReply reply = WIRE__ORDER_REPLY__INIT;
    reply.command_id = order->command_id;
    reply.code = code;
    reply.text = (char *)text;
    done(arg, &reply);
}

static void
remove_order(PendingOrder *pending)
{
    GBytes *id = copy_command_id(pending->frame->order);
    g_hash_table_remove(pending->control->orders, id);
    g_bytes_unref(id);
}

/* Fails and frees a pending order that is not in Control.orders. */
static void
fail_order(PendingOrder *pending, int code, const char *text)
{
    report_error(pending->done, pending->arg, pending->frame->order, code,
                 text);
    free_order(pending);
}

static void
send_to_agent(PendingOrder *pending)
{
    Control *control = pending->control;
    const Wire__Order *order = pending->frame->order;
    Link *link = (Link *)Members_FindLink(
        control->members, WIRE__ROLE__ROLE_AGENT, order->subject);
    if (link == NULL || Link_Send(link, pending->frame) != ERR_OK) {
        remove_order(pending);
        fail_order(pending, ERR_UNAVAILABLE,
                   "The endpoint's agent is not connected.");
        return;
    }
    LOG_INFO(CONTROL_PART, "Order sent. endpoint=%s kind=%s fence=%llu",
             order->subject, order->kind, (unsigned long long)order->fence);
    pending->sent = true;
    pending->deadline = Clock_Now() + CONTROL_ORDER_TIMEOUT_MS * US_PER_MS;
}

static void
on_fence(void *arg, const Wire__CommandReply *reply)
{
    PendingOrder *pending = arg;
    if (reply->code != ERR_OK) {
        remove_order(pending);
        fail_order(pending, reply->code, reply->text);
        return;
    }
    pending->frame->order->fence = reply->fence;
    send_to_agent(pending);
}

static PendingOrder *
new_order(Control *control, const Wire__Order *order, OrderDone done,
          void *arg)
{
    PendingOrder *pending = g_new0(PendingOrder, 1);
    pending->control = control;
    pending->frame = copy_order(order);
    pending->done = done;
    pending->arg = arg;
    return pending;
}

void
Orders_Submit(Control *control, const Wire__Order *order, const char *author,
              OrderDone done, void *arg)
{
    GBytes *id = copy_command_id(order);
    bool in_flight = g_hash_table_contains(control->orders, id);
    g_bytes_unref(id);
    if (in_flight) {
        report_error(done, arg, order, ERR_DUPLICATE,
                     "An order with this command id is in progress.");
        return;
    }
    if (Members_FindLink(control->members, WIRE__ROLE__ROLE_AGENT,
                         order->subject) == NULL)
    {
        report_error(done, arg, order, ERR_NOT_FOUND,
                     "No agent of this endpoint is connected.");
        return;
    }
    Wire__Command command = WIRE__COMMAND__INIT;
    command.command_id = order->command_id;
    command.kind = WIRE__COMMAND_KIND__COMMAND_FENCE;
    command.author = (char *)author;
    command.subject = order->subject;
    PendingOrder *pending = new_order(control, order, done, arg);
    g_hash_table_insert(control->orders, copy_command_id(order), pending);
    Commands_Submit(control, &command, on_fence, pending);
}

void
Orders_OnReply(Control *control, const Wire__OrderReply *reply)
{
    GBytes *id = g_bytes_new(reply->command_id.data, reply->command_id.len);
    PendingOrder *pending = g_hash_table_lookup(control->orders, id);
    if (pending != NULL && pending->sent) {
        g_hash_table_remove(control->orders, id);
        pending->done(pending->arg, reply);
        free_order(pending);
    }
    g_bytes_unref(id);
}

/* Fails the orders that were sent and whose reply is overdue. The others get
 * the result of the command for their number. */
static void
fail_expired(Control *control, TimeUs now, const char *text)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, control->orders);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        PendingOrder *pending = value;
        if (pending->sent && now >= pending->deadline) {
            g_hash_table_iter_remove(&iter);
            fail_order(pending, ERR_TIMEOUT, text);
        }
    }
}

void
Orders_Tick(Control *control, TimeUs now)
{
    fail_expired(control, now,
                 "The agent did not answer in time; the outcome is unknown.");
}

void
Orders_FailAll(Control *control)
{
    fail_expired(control, TIME_NEVER,
                 "This host is shutting down; the outcome is unknown.");
}
