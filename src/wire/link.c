/** @file
 * Links: connections, Hello frames, heartbeats and the two send queues.
 */
#include "wire/link.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <glib.h>

#include "kernel/buffer.h"
#include "kernel/log.h"
#include "wire/client_memory.h"

#define PART "link"
/* Bulk frames stay in the link's queue while bufferevent's output buffer holds
 * at least this much, so that later control frames are sent before them. */
#define LINK_OUTPUT_BACKLOG_BYTES (64u * 1024)
/* Maximum size of the first frame, which must be a Hello. */
#define LINK_HELLO_FRAME_MAX_BYTES 4096
/* Frames from this size are charged to the budget of the process. */
#define CHARGED_FRAME_BYTES (64u * 1024)
#define LINK_SILENCE_TIMEOUT_US                                               \
    (LINK_MISSED_HEARTBEATS_MAX * LINK_HEARTBEAT_MS * US_PER_MS)

struct Link {
    struct event_base *base;
    const LinkIdentity *self;
    const LinkOps *ops;
    void *owner;
    void *data;
    LinkServer *server; /* NULL for a dialled link */
    Address address;    /* of the peer; unset for an accepted link */
    struct bufferevent *connection;
    struct event *heartbeat_timer;
    struct event *redial_timer;
    struct evbuffer *control_queue; /* packed control frames */
    struct evbuffer *bulk_queue;    /* packed bulk frames */
    Wire__Frame *peer_hello; /* from the peer; NULL while disconnected */
    TimeUs opened_at;
    bool established;            /* a dialled TCP connection is established */
    uint32_t connect_timeout_ms; /* timeout of the next dialled connection */
    TimeUs last_seen_at;
    uint64_t connection_count; /* number of connections opened */
    uint64_t bytes_in;
    uint64_t bytes_out;
    bool refusal_logged; /* a refused Hello has been logged */
    bool in_callback;    /* Link_Close only sets `closed` */
    bool closed;
    ClientAccount account; /* of an accepted link: any client can connect */
};

struct LinkServer {
    struct event_base *base;
    const LinkIdentity *self;
    const LinkOps *ops;
    void *owner;
    struct evconnlistener *listener;
    GHashTable *links; /* set of accepted links (Link *) */
};

static void dial(Link *link);

static void
free_link(Link *link)
{
    if (link->server != NULL) {
        g_hash_table_remove(link->server->links, link);
        ClientMemory_Close(&link->account);
        ClientMemory_OnReleased(link->base);
    }
    event_free(link->heartbeat_timer);
    event_free(link->redial_timer);
    evbuffer_free(link->control_queue);
    evbuffer_free(link->bulk_queue);
    g_free(link);
}

/* Closes the connection and discards the peer's Hello and all queued
 * frames. */
static void
drop_connection(Link *link)
{
    if (link->connection != NULL) {
        bufferevent_free(link->connection);
        link->connection = NULL;
    }
    event_del(link->heartbeat_timer);
    evbuffer_drain(link->control_queue,
                   evbuffer_get_length(link->control_queue));
    evbuffer_drain(link->bulk_queue, evbuffer_get_length(link->bulk_queue));
    if (link->peer_hello != NULL) {
        wire__frame__free_unpacked(link->peer_hello, NULL);
        link->peer_hello = NULL;
    }
}

/* Dials again after 0.5 to 1.5 times LINK_RECONNECT_DELAY_MS. The delay is
 * random so that links cut by the same failure do not all dial at once. */
static void
schedule_redial(Link *link)
{
    int32_t half_ms = LINK_RECONNECT_DELAY_MS / 2;
    int32_t delay_ms = g_random_int_range(half_ms, 3 * half_ms);
    struct timeval delay = {.tv_usec = delay_ms * US_PER_MS};
    event_add(link->redial_timer, &delay);
}

static void
handle_disconnect(Link *link, const char *why)
{
    bool was_connected = link->peer_hello != NULL;
    if (!was_connected) {
        LOG_DEBUG(
            PART,
            "Connection failed before the link was established. why=\"%s\"",
            why);
    }
    else if (!link->closed) {
        LOG_INFO(PART, "Connection lost. peer=%s why=\"%s\"",
                 link->peer_hello->hello->name, why);
        link->in_callback = true;
        link->ops->disconnected(link, link->owner);
        link->in_callback = false;
    }
    drop_connection(link);
    if (link->closed || link->server != NULL) {
        free_link(link);
        return;
    }
    schedule_redial(link);
}

/* Moves all control frames to bufferevent's output buffer, then bulk frames
 * while the buffer holds less than LINK_OUTPUT_BACKLOG_BYTES. */
static void
flush_queues(Link *link)
{
    struct evbuffer *output = bufferevent_get_output(link->connection);
    link->bytes_out += evbuffer_get_length(link->control_queue);
    Buffer_AppendPacked(output, link->control_queue);
    while (evbuffer_get_length(link->bulk_queue) > 0 &&
           evbuffer_get_length(output) < LINK_OUTPUT_BACKLOG_BYTES)
    {
        uint32_t header;
        if (evbuffer_copyout(link->bulk_queue, &header, sizeof(header)) <
            (ev_ssize_t)sizeof(header))
        {
            break;
        }
        size_t length = FRAME_HEADER_BYTES + ntohl(header);
        evbuffer_remove_buffer(link->bulk_queue, output, length);
        link->bytes_out += length;
    }
}

static void
send_hello(Link *link)
{
    Wire__Hello hello = WIRE__HELLO__INIT;
    hello.version = LINK_PROTOCOL_VERSION;
    hello.role = link->self->role;
    hello.name = (char *)link->self->name;
    hello.incarnation = link->self->incarnation;
    hello.zone = (char *)link->self->zone;
    hello.region = (char *)link->self->region;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_HELLO;
    frame.hello = &hello;
    Frame_Write(bufferevent_get_output(link->connection), &frame);
}

static void
start_heartbeat_timer(Link *link, uint32_t period_ms)
{
    struct timeval period = {.tv_usec = period_ms * US_PER_MS};
    event_add(link->heartbeat_timer, &period);
}

/* Handles the first frame and takes ownership of it. The link is connected
 * when the frame is a Hello of the same protocol version. */
static int
accept_hello(Link *link, Wire__Frame *frame, Error *err)
{
    if (frame->body_case != WIRE__FRAME__BODY_HELLO) {
        wire__frame__free_unpacked(frame, NULL);
        return Error_Set(err, ERR_INVALID, "The first frame is not a hello.");
    }
    if (frame->hello->version != LINK_PROTOCOL_VERSION) {
        uint32_t version = frame->hello->version;
        wire__frame__free_unpacked(frame, NULL);
        return Error_Set(err, ERR_INVALID,
                         "Peer has protocol version %u; expected %u.", version,
                         LINK_PROTOCOL_VERSION);
    }
    link->peer_hello = frame;
    link->refusal_logged = false;
    if (link->server != NULL) {
        ClientBudget_SetPhase(ClientMemory_Budget(), &link->account,
                              CLIENT_SERVED, Clock_Now());
    }
    link->ops->connected(link, link->owner);
    return ERR_OK;
}

/* Logs only the first of consecutive refusals, because a dialled link keeps
 * reconnecting. */
static void
log_refusal(Link *link, const char *why)
{
    if (!link->refusal_logged) {
        LOG_WARN(PART, "Connection refused. why=\"%s\"", why);
        link->refusal_logged = true;
    }
}

static int
handle_frame(Link *link, Wire__Frame *frame, Error *err)
{
    if (link->peer_hello == NULL) {
        return accept_hello(link, frame, err);
    }
    if (frame->body_case != WIRE__FRAME__BODY_HEARTBEAT &&
        frame->body_case != WIRE__FRAME__BODY_HELLO &&
        frame->body_case != WIRE__FRAME__BODY__NOT_SET)
    {
        link->ops->frame(link, frame, link->owner);
    }
    wire__frame__free_unpacked(frame, NULL);
    return ERR_OK;
}

/* Charges the frame that arrives on an accepted link, if it is large.
 * @return ERR_NO_MEMORY if there is no room for it. */
static int
charge_frame(Link *link, const struct evbuffer *in, Error *err)
{
    uint32_t header = 0;
    size_t wanted = CLIENT_IDLE_BYTES;
    if (evbuffer_copyout((struct evbuffer *)in, &header, sizeof(header)) ==
            (ev_ssize_t)sizeof(header) &&
        ntohl(header) >= CHARGED_FRAME_BYTES)
    {
        wanted += ntohl(header);
    }
    if (wanted == link->account.bytes) {
        return ERR_OK;
    }
    if (!ClientMemory_Charge(&link->account, wanted) &&
        !ClientBudget_ChargeAlone(ClientMemory_Budget(), &link->account,
                                  wanted))
    {
        return Error_Set(err, ERR_NO_MEMORY,
                         "There is no room for a frame of %u bytes.",
                         ntohl(header));
    }
    ClientMemory_OnReleased(link->base);
    return ERR_OK;
}

static int
read_frames(Link *link, struct evbuffer *in, Error *err)
{
    while (!link->closed) {
        if (link->peer_hello == NULL &&
            evbuffer_get_length(in) > LINK_HELLO_FRAME_MAX_BYTES)
        {
            uint32_t header = 0;
            evbuffer_copyout(in, &header, sizeof(header));
            if (ntohl(header) > LINK_HELLO_FRAME_MAX_BYTES) {
                return Error_Set(err, ERR_INVALID,
                                 "The Hello frame is too large.");
            }
        }
        Wire__Frame *frame;
        int result = Frame_Read(in, &frame, err);
        if (result == ERR_OK && link->server != NULL) {
            result = charge_frame(link, in, err);
        }
        if (result != ERR_OK || frame == NULL) {
            if (frame != NULL) {
                wire__frame__free_unpacked(frame, NULL);
            }
            return result;
        }
        result = handle_frame(link, frame, err);
        if (result != ERR_OK) {
            return result;
        }
    }
    return ERR_OK;
}

static void
on_read(struct bufferevent *connection, void *arg)
{
    Link *link = arg;
    struct evbuffer *in = bufferevent_get_input(connection);
    link->last_seen_at = Clock_Now();
    size_t before = evbuffer_get_length(in);
    Error err = ERROR_INIT;
    link->in_callback = true;
    int result = read_frames(link, in, &err);
    link->in_callback = false;
    link->bytes_in += before - evbuffer_get_length(in);
    if (result != ERR_OK && link->peer_hello == NULL) {
        log_refusal(link, err.text);
    }
    if (result != ERR_OK || link->closed) {
        handle_disconnect(link,
                          link->closed ? "closed by this process" : err.text);
    }
}

static void
on_write(struct bufferevent *connection, void *arg)
{
    flush_queues(arg);
}

/* Sends small frames without delay. Wants wait for their grants, so a delay
 * would add to the latency of each request. */
static void
disable_nagle(Link *link)
{
    int on = 1;
    setsockopt(bufferevent_getfd(link->connection), IPPROTO_TCP, TCP_NODELAY,
               &on, sizeof(on));
}

static void
on_event(struct bufferevent *connection, short events, void *arg)
{
    Link *link = arg;
    if (events & BEV_EVENT_CONNECTED) {
        link->last_seen_at = Clock_Now();
        link->established = true;
        link->connect_timeout_ms = LINK_CONNECT_TIMEOUT_MS;
        start_heartbeat_timer(link, LINK_HEARTBEAT_MS);
        disable_nagle(link);
        send_hello(link);
        return;
    }
    handle_disconnect(link, events & BEV_EVENT_EOF ? "closed by the peer"
                                                   : "connection failed");
}

/* Returns true when a dialled connection was not established in time. */
static bool
connect_timed_out(const Link *link, TimeUs now)
{
    return link->server == NULL && !link->established &&
           now - link->opened_at >= link->connect_timeout_ms * US_PER_MS;
}

static void
on_heartbeat(evutil_socket_t fd, short events, void *arg)
{
    Link *link = arg;
    TimeUs now = Clock_Now();
    if (now - link->last_seen_at > LINK_SILENCE_TIMEOUT_US) {
        handle_disconnect(link, "silent");
        return;
    }
    if (link->peer_hello == NULL &&
        now - link->opened_at > LINK_SILENCE_TIMEOUT_US)
    {
        handle_disconnect(link, "no hello received in time");
        return;
    }
    if (connect_timed_out(link, now)) {
        uint32_t max_ms = (uint32_t)(LINK_SILENCE_TIMEOUT_US / US_PER_MS);
        link->connect_timeout_ms = MIN(2 * link->connect_timeout_ms, max_ms);
        handle_disconnect(link, "connection timed out");
        return;
    }
    Wire__Heartbeat heartbeat = WIRE__HEARTBEAT__INIT;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_HEARTBEAT;
    frame.heartbeat = &heartbeat;
    Link_Send(link, &frame);
}

static void
on_redial(evutil_socket_t fd, short events, void *arg)
{
    dial(arg);
}

static Link *
new_link(struct event_base *base, const LinkIdentity *self, const LinkOps *ops,
         void *owner)
{
    Link *link = g_new0(Link, 1);
    link->base = base;
    link->self = self;
    link->ops = ops;
    link->owner = owner;
    link->control_queue = evbuffer_new();
    link->bulk_queue = evbuffer_new();
    link->heartbeat_timer =
        event_new(base, -1, EV_PERSIST, on_heartbeat, link);
    link->redial_timer = event_new(base, -1, 0, on_redial, link);
    link->connect_timeout_ms = LINK_CONNECT_TIMEOUT_MS;
    return link;
}

static void
open_connection(Link *link, evutil_socket_t fd)
{
    link->connection =
        bufferevent_socket_new(link->base, fd, BEV_OPT_CLOSE_ON_FREE);
    INVARIANT(link->connection != NULL);
    bufferevent_setcb(link->connection, on_read, on_write, on_event, link);
    bufferevent_setwatermark(link->connection, EV_WRITE,
                             LINK_OUTPUT_BACKLOG_BYTES / 2, 0);
    bufferevent_enable(link->connection, EV_READ | EV_WRITE);
    link->connection_count++;
    link->established = false;
    link->opened_at = Clock_Now();
    link->last_seen_at = link->opened_at;
    bool dialled = link->server == NULL;
    uint32_t period_ms = dialled
                             ? MIN(link->connect_timeout_ms, LINK_HEARTBEAT_MS)
                             : LINK_HEARTBEAT_MS;
    start_heartbeat_timer(link, period_ms);
}

static void
dial(Link *link)
{
    open_connection(link, -1);
    const struct sockaddr *to = (const void *)&link->address.storage;
    if (bufferevent_socket_connect(link->connection, to,
                                   (int)link->address.length) != 0 &&
        link->connection != NULL)
    {
        handle_disconnect(link, "connection attempt failed");
    }
}

Link *
Link_Dial(struct event_base *base, const LinkIdentity *self,
          const Address *address, const LinkOps *ops, void *owner)
{
    Link *link = new_link(base, self, ops, owner);
    link->address = *address;
    event_active(link->redial_timer, EV_TIMEOUT, 0);
    return link;
}

/* Gives way to others before the peer's Hello was received. */
static void
yield(void *owner)
{
    handle_disconnect(owner, "gives way to other clients");
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *from, int length, void *arg)
{
    LinkServer *server = arg;
    Link *link =
        new_link(server->base, server->self, server->ops, server->owner);
    if (!ClientMemory_Open(&link->account, yield, link)) {
        evutil_closesocket(fd);
        free_link(link);
        return;
    }
    link->server = server;
    ClientBudget_SetPhase(ClientMemory_Budget(), &link->account,
                          CLIENT_RECEIVING, Clock_Now());
    g_hash_table_add(server->links, link);
    open_connection(link, fd);
    disable_nagle(link);
    send_hello(link);
}

LinkServer *
Link_Listen(struct event_base *base, const LinkIdentity *self,
            const Address *address, const LinkOps *ops, void *owner,
            Error *err)
{
    LinkServer *server = g_new0(LinkServer, 1);
    server->base = base;
    server->self = self;
    server->ops = ops;
    server->owner = owner;
    server->links = g_hash_table_new(NULL, NULL);
    unsigned flags = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE;
    server->listener = evconnlistener_new_bind(
        base, on_accept, server, flags, -1,
        (const struct sockaddr *)&address->storage, (int)address->length);
    if (server->listener == NULL) {
        Error_Set(err, ERR_IO, "Cannot listen on %s:%u.", address->host,
                  address->port);
        g_hash_table_destroy(server->links);
        g_free(server);
        return NULL;
    }
    return server;
}

void
Link_CloseServer(LinkServer *server)
{
    evconnlistener_free(server->listener);
    GHashTableIter iter;
    gpointer link;
    g_hash_table_iter_init(&iter, server->links);
    while (g_hash_table_iter_next(&iter, &link, NULL)) {
        Link_Close(link);
        g_hash_table_iter_init(&iter, server->links);
    }
    g_hash_table_destroy(server->links);
    g_free(server);
}

void
Link_Close(Link *link)
{
    link->closed = true;
    if (link->in_callback) {
        return;
    }
    drop_connection(link);
    free_link(link);
}

int
Link_Send(Link *link, const Wire__Frame *frame)
{
    if (link->peer_hello == NULL || link->connection == NULL || link->closed) {
        return ERR_UNAVAILABLE;
    }
    struct evbuffer *output = bufferevent_get_output(link->connection);
    bool bulk = Frame_IsBulk(frame);
    struct evbuffer *queue = bulk ? link->bulk_queue : link->control_queue;
    size_t queued = evbuffer_get_length(queue) + evbuffer_get_length(output);
    if (queued > LINK_QUEUE_MAX_BYTES) {
        return ERR_FULL;
    }
    int result = Frame_Write(queue, frame);
    if (result == ERR_OK) {
        flush_queues(link);
    }
    return result;
}

bool
Link_IsConnected(const Link *link)
{
    return link->peer_hello != NULL;
}

TimeUs
Link_LastSeenAt(const Link *link)
{
    return link->last_seen_at;
}

const Wire__Hello *
Link_Peer(const Link *link)
{
    return link->peer_hello == NULL ? NULL : link->peer_hello->hello;
}

void
Link_SetData(Link *link, void *data)
{
    link->data = data;
}

void *
Link_Data(const Link *link)
{
    return link->data;
}

void
Link_Dump(const Link *link, json_t *out)
{
    const Wire__Hello *peer = Link_Peer(link);
    json_object_set_new(out, "peer", json_string(peer ? peer->name : ""));
    json_object_set_new(out, "up", json_boolean(peer != NULL));
    json_object_set_new(out, "connections",
                        json_integer((json_int_t)link->connection_count));
    json_object_set_new(out, "bytes_in",
                        json_integer((json_int_t)link->bytes_in));
    json_object_set_new(out, "bytes_out",
                        json_integer((json_int_t)link->bytes_out));
    json_object_set_new(
        out, "queued_bytes",
        json_integer((json_int_t)evbuffer_get_length(link->bulk_queue)));
}
