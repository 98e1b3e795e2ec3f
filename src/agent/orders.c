/** @file
 * Operators' orders to the endpoint. An order is accepted only if its fencing
 * number is above the floor, and then raises the floor to that number. A
 * resent order is answered with its first result. After a start of the agent
 * the floor is unknown, and all orders are refused until control has reported
 * a floor that a majority confirmed.
 */
#include "agent/state.h"

#include <inttypes.h>
#include <stdarg.h>
#include <string.h>

#include <event2/buffer.h>

#include "kernel/log.h"

#define FLOOR_REQUEST_INTERVAL_MS 500
#define ORDER_TIMEOUT_S 120
/* Largest head, body and unread input of the answer to an order. */
#define ORDER_ANSWER_MAX_BYTES (64 * 1024)
#define RESULTS_MAX 32
#define RESULT_TEXT_BYTES 200
#define ENDPOINT_PATH "/v1/orders"

typedef struct Order {
    Orders *orders;
    GBytes *id;
    uint64_t fence;
    char *kind;
    char *argument;
    Link *link; /* receives the result; valid until the agent stops */
    int code;
    char text[RESULT_TEXT_BYTES];
} Order;

struct Orders {
    Agent *agent;
    bool floor_known; /* the floor has been received */
    uint64_t floor;
    TimeUs floor_requested_at;
    Order *running;   /* sent to the endpoint, or NULL */
    Order *pending;   /* waits until the running one ends, or NULL */
    GQueue recording; /* Orders whose withdrawal is being recorded */
    GQueue results;   /* ended Orders, oldest first, for resends */
    struct evhttp_connection *connection;
    TimeUs sent_at; /* when the running order was sent */
};

static void send_to_endpoint(Order *order);

static void
free_order(gpointer data)
{
    Order *order = data;
    g_bytes_unref(order->id);
    g_free(order->kind);
    g_free(order->argument);
    g_free(order);
}

static void
send_reply(Link *link, const ProtobufCBinaryData *id, int code,
           const char *text)
{
    Wire__OrderReply message = WIRE__ORDER_REPLY__INIT;
    message.command_id = *id;
    message.code = code;
    message.text = (char *)text;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_ORDER_REPLY;
    frame.order_reply = &message;
    Link_Send(link, &frame);
}

static void
reply_result(const Order *order)
{
    size_t length;
    const void *bytes = g_bytes_get_data(order->id, &length);
    ProtobufCBinaryData id = {.data = (uint8_t *)bytes, .len = length};
    send_reply(order->link, &id, order->code, order->text);
}

static void refuse_order(Link *link, const Wire__Order *message, int code,
                         const char *format, ...)
    __attribute__((format(printf, 4, 5)));

static void
refuse_order(Link *link, const Wire__Order *message, int code,
             const char *format, ...)
{
    char text[RESULT_TEXT_BYTES];
    va_list args;
    va_start(args, format);
    g_vsnprintf(text, sizeof(text), format, args);
    va_end(args);
    send_reply(link, &message->command_id, code, text);
}

/* Stores the result for resends and sends it. */
static void
finish_order(Order *order, int code, const char *text)
{
    Orders *orders = order->orders;
    order->code = code;
    g_strlcpy(order->text, text, sizeof(order->text));
    LOG_INFO(AGENT_PART,
             "Order ended. endpoint=%s kind=%s fence=%" PRIu64 " result=%s",
             orders->agent->own->name, order->kind, order->fence,
             code == ERR_OK ? "ok" : Error_Name(code));
    g_queue_push_tail(&orders->results, order);
    if (orders->results.length > RESULTS_MAX) {
        free_order(g_queue_pop_head(&orders->results));
    }
    reply_result(order);
}

static void
send_pending(Orders *orders)
{
    Order *order = orders->pending;
    orders->pending = NULL;
    if (order != NULL) {
        orders->running = order;
        send_to_endpoint(order);
    }
}

static void
free_connection(evutil_socket_t fd, short events, void *connection)
{
    evhttp_connection_free(connection);
}

static void
on_answer(struct evhttp_request *request, void *arg)
{
    Order *order = arg;
    Orders *orders = order->orders;
    event_base_once(orders->agent->base, -1, EV_TIMEOUT, free_connection,
                    orders->connection, NULL);
    orders->connection = NULL;
    orders->running = NULL;
    int status =
        request == NULL ? -1 : evhttp_request_get_response_code(request);
    if (status == 0) {
        finish_order(order, ERR_UNAVAILABLE,
                     "Could not connect to the endpoint.");
    }
    else if (!AgentRun_IsFinalStatus(status)) {
        finish_order(order, ERR_IO,
                     "The endpoint's answer was lost; the order may have been "
                     "carried out.");
    }
    else if (status == 409) {
        finish_order(order, ERR_CONFLICT,
                     "The endpoint refused the fencing number.");
    }
    else if (status < 200 || status > 299) {
        finish_order(order, ERR_INVALID, "The endpoint refused the order.");
    }
    else {
        finish_order(order, ERR_OK, "The order was carried out.");
    }
    send_pending(orders);
}

static void
send_to_endpoint(Order *order)
{
    Agent *agent = order->orders->agent;
    const Address *address = &agent->endpoint_address;
    struct evhttp_connection *connection = evhttp_connection_base_new(
        agent->base, NULL, address->host, address->port);
    evhttp_connection_set_timeout(connection, ORDER_TIMEOUT_S);
    Http_LimitInput(connection, ORDER_ANSWER_MAX_BYTES,
                    ORDER_ANSWER_MAX_BYTES);
    evhttp_connection_set_max_body_size(connection, ORDER_ANSWER_MAX_BYTES);
    order->orders->connection = connection;
    order->orders->sent_at = Clock_Now();
    struct evhttp_request *request = evhttp_request_new(on_answer, order);
    struct evkeyvalq *headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", agent->own->endpoint);
    evhttp_add_header(headers, "Connection", "close");
    evhttp_add_header(headers, "Content-Type", "application/json");
    json_t *body =
        json_pack("{s:s, s:s, s:I}", "kind", order->kind, "argument",
                  order->argument, "fence", (json_int_t)order->fence);
    char *text = json_dumps(body, JSON_COMPACT | JSON_SORT_KEYS);
    json_decref(body);
    evbuffer_add(evhttp_request_get_output_buffer(request), text,
                 strlen(text));
    free(text);
    evhttp_make_request(connection, request, EVHTTP_REQ_POST, ENDPOINT_PATH);
}

static bool
has_id(const Order *order, const Wire__Order *message)
{
    size_t length;
    const void *bytes = g_bytes_get_data(order->id, &length);
    return length == message->command_id.len &&
           memcmp(bytes, message->command_id.data, length) == 0;
}

/* Handles a resent order.
 * @return false if the order is new. */
static bool
handle_resend(Orders *orders, Link *link, const Wire__Order *message)
{
    Order *waiting[] = {orders->running, orders->pending};
    for (size_t i = 0; i < G_N_ELEMENTS(waiting); i++) {
        if (waiting[i] != NULL && has_id(waiting[i], message)) {
            waiting[i]->link = link;
            return true;
        }
    }
    for (GList *at = orders->recording.head; at != NULL; at = at->next) {
        Order *order = at->data;
        if (has_id(order, message)) {
            order->link = link;
            return true;
        }
    }
    for (GList *at = orders->results.head; at != NULL; at = at->next) {
        Order *order = at->data;
        if (has_id(order, message)) {
            order->link = link;
            reply_result(order);
            return true;
        }
    }
    return false;
}

static bool
is_for_agent(const char *kind)
{
    return strcmp(kind, "drain") == 0 || strcmp(kind, "undrain") == 0;
}

static bool
is_for_endpoint(const char *kind)
{
    return strcmp(kind, "load") == 0 || strcmp(kind, "unload") == 0 ||
           strcmp(kind, "role") == 0;
}

static Order *
new_order(Orders *orders, Link *link, const Wire__Order *message)
{
    Order *order = g_new0(Order, 1);
    order->orders = orders;
    order->id = g_bytes_new(message->command_id.data, message->command_id.len);
    order->fence = message->fence;
    order->kind = g_strdup(message->kind);
    order->argument = g_strdup(message->argument);
    order->link = link;
    return order;
}

static void
on_withdrawal(void *arg, bool recorded)
{
    Order *order = arg;
    g_queue_remove(&order->orders->recording, order);
    if (recorded) {
        finish_order(order, ERR_OK, "The order was carried out.");
        return;
    }
    finish_order(order, ERR_IO,
                 "The order was carried out, but is not recorded: a restart "
                 "of the agent may undo it.");
}

static void
start_order(Orders *orders, Order *order)
{
    Agent *agent = orders->agent;
    if (is_for_agent(order->kind)) {
        agent->drained_by_order = strcmp(order->kind, "drain") == 0;
        Agent_Refresh(agent, Clock_Now());
        g_queue_push_tail(&orders->recording, order);
        AgentWithdrawal_Record(agent->withdrawal, on_withdrawal, order);
        return;
    }
    if (orders->pending != NULL) {
        finish_order(
            orders->pending, ERR_CONFLICT,
            "An order with a higher fencing number replaced it before it "
            "was sent.");
    }
    orders->pending = order;
    if (orders->running == NULL) {
        send_pending(orders);
    }
}

void
AgentOrders_OnOrder(Orders *orders, Link *link, const Wire__Order *message)
{
    if (strcmp(message->subject, orders->agent->own->name) != 0) {
        refuse_order(link, message, ERR_NOT_FOUND,
                     "This agent serves another endpoint.");
        return;
    }
    if (handle_resend(orders, link, message)) {
        return;
    }
    if (!is_for_agent(message->kind) && !is_for_endpoint(message->kind)) {
        refuse_order(link, message, ERR_INVALID,
                     "Expected kind: load, unload, role, drain or undrain.");
        return;
    }
    if (!orders->floor_known) {
        refuse_order(link, message, ERR_UNAVAILABLE,
                     "The fencing floor is not known yet.");
        return;
    }
    if (message->fence <= orders->floor || message->fence > INT64_MAX) {
        refuse_order(link, message, ERR_CONFLICT,
                     "Fencing number %" PRIu64
                     " is not above the floor %" PRIu64 ".",
                     message->fence, orders->floor);
        return;
    }
    orders->floor = message->fence;
    start_order(orders, new_order(orders, link, message));
}

void
AgentOrders_OnFloor(Orders *orders, const Wire__FenceReply *message)
{
    if (!message->known ||
        strcmp(message->subject, orders->agent->own->name) != 0) {
        return;
    }
    if (!orders->floor_known) {
        LOG_INFO(AGENT_PART,
                 "Fencing floor received. endpoint=%s floor=%" PRIu64,
                 orders->agent->own->name, message->floor);
        orders->floor_known = true;
        orders->floor = message->floor;
    }
    AgentWithdrawal_OnKnown(orders->agent->withdrawal, message->withdrawal);
}

/* Ends an order whose answer does not end. */
static void
expire_running(Orders *orders, TimeUs now)
{
    Order *order = orders->running;
    if (order == NULL || now - orders->sent_at < ORDER_TIMEOUT_S * US_PER_S) {
        return;
    }
    evhttp_connection_free(orders->connection);
    orders->connection = NULL;
    orders->running = NULL;
    finish_order(order, ERR_IO,
                 "The endpoint's answer did not end; the order may have been "
                 "carried out.");
    send_pending(orders);
}

void
AgentOrders_Tick(Orders *orders)
{
    TimeUs now = Clock_Now();
    expire_running(orders, now);
    if (orders->floor_known || now - orders->floor_requested_at <
                                   FLOOR_REQUEST_INTERVAL_MS * US_PER_MS)
    {
        return;
    }
    AgentOrders_RequestFloor(orders);
}

void
AgentOrders_RequestFloor(Orders *orders)
{
    orders->floor_requested_at = Clock_Now();
    Wire__FenceRequest request = WIRE__FENCE_REQUEST__INIT;
    request.subject = orders->agent->own->name;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_FENCE_REQUEST;
    frame.fence_request = &request;
    AgentControl_SendAll(orders->agent, &frame);
}

void
AgentOrders_Dump(const Orders *orders, json_t *out)
{
    json_object_set_new(out, "fence_known", json_boolean(orders->floor_known));
    json_object_set_new(out, "fence_floor",
                        json_integer((json_int_t)orders->floor));
    json_object_set_new(out, "order_running",
                        json_boolean(orders->running != NULL));
}

Orders *
AgentOrders_New(Agent *agent)
{
    Orders *orders = g_new0(Orders, 1);
    orders->agent = agent;
    g_queue_init(&orders->recording);
    g_queue_init(&orders->results);
    return orders;
}

void
AgentOrders_Free(Orders *orders)
{
    if (orders->connection != NULL) {
        evhttp_connection_free(orders->connection);
    }
    if (orders->running != NULL) {
        free_order(orders->running);
    }
    if (orders->pending != NULL) {
        free_order(orders->pending);
    }
    g_queue_clear_full(&orders->results, free_order);
    g_free(orders);
}
