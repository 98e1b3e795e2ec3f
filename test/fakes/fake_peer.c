/** @file
 * Fake peer of an agent: an entry that connects to the agent (--dial), or a
 * control host that the agent connects to (--listen). It reads commands from
 * standard input, one a line, and prints one line for each frame received.
 *
 * Commands of an entry:
 *
 *     want ID TIER DEADLINE_MS [MODEL]
 *     withdraw ID
 *     dispatch ID DEADLINE_MS IDEMPOTENT [PATH [BODY]]   uses the last grant
 *     ack ID [OFFSET]          OFFSET defaults to the number of bytes received
 *     resume ID HAVE_HEAD      resumes after the bytes received
 *     cancel ID
 *     leave                    closes the link
 *     join                     opens the link again
 *
 * Commands of a control host:
 *
 *     order COMMAND SUBJECT FENCE KIND ARGUMENT
 *     floor SUBJECT KNOWN FLOOR    sends a FenceReply
 *     quarantine VERSION FINGERPRINT CRASHES QUARANTINED
 *     answer CODE    sets the code of the replies to the agent's commands
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <glib.h>
#include <xxhash.h>

#include "wire/link.h"

#define WORDS_MAX 8
#define REQUESTS_MAX 64
/* Grant id in the dispatch of a request that has received no grant. */
#define NO_GRANT 99

typedef struct PeerRequest {
    uint64_t grant_id;  /* id of the last grant; 0 for none */
    uint64_t received;  /* number of answer bytes received in order */
    XXH3_state_t *hash; /* hash of the answer bytes received in order */
} PeerRequest;

typedef struct Peer {
    gchar *dial;
    gchar *listen;
    gchar *name;
    gint64 incarnation;
    gboolean quiet; /* pieces that arrive in order are not printed */
    struct event_base *base;
    LinkIdentity self;
    Address address;
    Link *link;
    int reply_code; /* code of the replies to the agent's commands */
    PeerRequest requests[REQUESTS_MAX]; /* indexed by request number
                                           modulo REQUESTS_MAX */
} Peer;

static PeerRequest *
get_request(Peer *peer, uint64_t number)
{
    PeerRequest *request = &peer->requests[number % REQUESTS_MAX];
    if (request->hash == NULL) {
        request->hash = XXH3_createState();
        XXH3_64bits_reset(request->hash);
    }
    return request;
}

static unsigned long
request_number(const Wire__RequestId *id)
{
    return id->low;
}

static void
on_piece(Peer *peer, const Wire__AnswerPiece *piece)
{
    PeerRequest *request = get_request(peer, piece->id->low);
    bool in_order = piece->offset == request->received;
    if (in_order) {
        XXH3_64bits_update(request->hash, piece->data.data, piece->data.len);
        request->received += piece->data.len;
    }
    if (!peer->quiet || !in_order) {
        printf("piece %lu%s\n", request_number(piece->id),
               in_order ? "" : " (gap)");
    }
}

static void
on_end(Peer *peer, const Wire__AnswerEnd *end)
{
    static const char *const outcomes[] = {"none", "complete", "broken",
                                           "not_run", "cancelled"};
    PeerRequest *request = get_request(peer, end->id->low);
    bool matches = end->length == request->received &&
                   end->hash == XXH3_64bits_digest(request->hash);
    printf("end %lu %s %s %s\n", request_number(end->id),
           outcomes[end->outcome], matches ? "matches" : "differs",
           end->detail);
}

static void
on_command(Peer *peer, Link *link, const Wire__Command *command)
{
    printf("command %d fingerprints %zu\n", (int)command->kind,
           command->n_fingerprints);
    Wire__CommandReply reply = WIRE__COMMAND_REPLY__INIT;
    reply.command_id = command->command_id;
    reply.code = peer->reply_code;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_COMMAND_REPLY;
    frame.command_reply = &reply;
    Link_Send(link, &frame);
}

static void
on_frame(Link *link, const Wire__Frame *frame, void *owner)
{
    Peer *peer = owner;
    switch (frame->body_case) {
    case WIRE__FRAME__BODY_GRANT:
        get_request(peer, frame->grant->id->low)->grant_id =
            frame->grant->grant_id;
        printf("grant %lu\n", request_number(frame->grant->id));
        break;
    case WIRE__FRAME__BODY_REFUSE:
        printf("refuse %lu reason %d %s\n", request_number(frame->refuse->id),
               (int)frame->refuse->reason,
               frame->refuse->grant_id == 0 ? "want" : "dispatch");
        break;
    case WIRE__FRAME__BODY_ANSWER_HEAD:
        printf("head %lu %u\n", request_number(frame->answer_head->id),
               frame->answer_head->status);
        break;
    case WIRE__FRAME__BODY_ANSWER_PIECE:
        on_piece(peer, frame->answer_piece);
        break;
    case WIRE__FRAME__BODY_ANSWER_END:
        on_end(peer, frame->answer_end);
        break;
    case WIRE__FRAME__BODY_UNKNOWN:
        printf("unknown %lu\n", request_number(frame->unknown->id));
        break;
    case WIRE__FRAME__BODY_GOODBYE:
        printf("goodbye\n");
        break;
    case WIRE__FRAME__BODY_COMMAND:
        on_command(peer, link, frame->command);
        break;
    case WIRE__FRAME__BODY_ORDER_REPLY:
        printf("result %.*s %d %s\n", (int)frame->order_reply->command_id.len,
               (const char *)frame->order_reply->command_id.data,
               frame->order_reply->code, frame->order_reply->text);
        break;
    default:
        break;
    }
    fflush(stdout);
}

static void
on_connected(Link *link, void *owner)
{
    Peer *peer = owner;
    peer->link = link;
    printf("up %s\n", Link_Peer(link)->name);
    fflush(stdout);
}

static void
on_disconnected(Link *link, void *owner)
{
    Peer *peer = owner;
    if (peer->listen != NULL) {
        peer->link = NULL;
    }
    printf("down\n");
    fflush(stdout);
}

static const LinkOps link_ops = {
    .connected = on_connected,
    .disconnected = on_disconnected,
    .frame = on_frame,
};

static uint64_t
parse_number(const char *text)
{
    return text == NULL ? 0 : g_ascii_strtoull(text, NULL, 10);
}

static const char *
text_or_default(const char *text, const char *fallback)
{
    return text == NULL ? fallback : text;
}

static void
send_frame(Peer *peer, Wire__Frame *frame, Wire__Frame__BodyCase body)
{
    frame->body_case = body;
    if (peer->link == NULL || Link_Send(peer->link, frame) != ERR_OK) {
        printf("not sent\n");
        fflush(stdout);
    }
}

/* Sends the frame of a want, withdraw, ack, resume or cancel command for the
 * request with the number words[1]. */
static void
do_request(Peer *peer, char **words)
{
    Wire__RequestId id = WIRE__REQUEST_ID__INIT;
    id.low = parse_number(words[1]);
    Wire__Frame frame = WIRE__FRAME__INIT;
    Wire__Want want = WIRE__WANT__INIT;
    Wire__Withdraw withdraw = WIRE__WITHDRAW__INIT;
    Wire__AnswerAck ack = WIRE__ANSWER_ACK__INIT;
    Wire__Resume resume = WIRE__RESUME__INIT;
    Wire__Cancel cancel = WIRE__CANCEL__INIT;
    if (strcmp(words[0], "want") == 0) {
        want.id = &id;
        want.tier = (uint32_t)parse_number(words[2]);
        want.deadline_ms = (uint32_t)parse_number(words[3]);
        want.model = (char *)text_or_default(words[4], "draft-large");
        want.fingerprint = id.low;
        frame.want = &want;
        send_frame(peer, &frame, WIRE__FRAME__BODY_WANT);
    }
    else if (strcmp(words[0], "withdraw") == 0) {
        withdraw.id = &id;
        frame.withdraw = &withdraw;
        send_frame(peer, &frame, WIRE__FRAME__BODY_WITHDRAW);
    }
    else if (strcmp(words[0], "ack") == 0) {
        ack.id = &id;
        ack.offset = words[2] == NULL ? get_request(peer, id.low)->received
                                      : parse_number(words[2]);
        frame.answer_ack = &ack;
        send_frame(peer, &frame, WIRE__FRAME__BODY_ANSWER_ACK);
    }
    else if (strcmp(words[0], "resume") == 0) {
        resume.id = &id;
        resume.offset = get_request(peer, id.low)->received;
        resume.have_head = parse_number(words[2]) != 0;
        frame.resume = &resume;
        send_frame(peer, &frame, WIRE__FRAME__BODY_RESUME);
    }
    else {
        cancel.id = &id;
        frame.cancel = &cancel;
        send_frame(peer, &frame, WIRE__FRAME__BODY_CANCEL);
    }
}

static void
do_dispatch(Peer *peer, char **words)
{
    Wire__RequestId id = WIRE__REQUEST_ID__INIT;
    id.low = parse_number(words[1]);
    Wire__Dispatch dispatch = WIRE__DISPATCH__INIT;
    dispatch.id = &id;
    uint64_t grant_id = get_request(peer, id.low)->grant_id;
    dispatch.grant_id = grant_id == 0 ? NO_GRANT : grant_id;
    dispatch.deadline_ms = (uint32_t)parse_number(words[2]);
    dispatch.idempotent = parse_number(words[3]) != 0;
    dispatch.method = "POST";
    dispatch.path = (char *)text_or_default(words[4], "/v1/chat/completions");
    const char *body = text_or_default(words[5], "{}");
    dispatch.body.data = (uint8_t *)body;
    dispatch.body.len = strlen(body);
    dispatch.fingerprint = id.low;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.dispatch = &dispatch;
    send_frame(peer, &frame, WIRE__FRAME__BODY_DISPATCH);
}

static void
do_order(Peer *peer, char **words)
{
    Wire__Order order = WIRE__ORDER__INIT;
    order.command_id.data = (uint8_t *)words[1];
    order.command_id.len = strlen(text_or_default(words[1], ""));
    order.subject = (char *)text_or_default(words[2], "");
    order.fence = parse_number(words[3]);
    order.kind = (char *)text_or_default(words[4], "");
    order.argument = (char *)text_or_default(words[5], "");
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.order = &order;
    send_frame(peer, &frame, WIRE__FRAME__BODY_ORDER);
}

static void
do_floor(Peer *peer, char **words)
{
    Wire__FenceReply reply = WIRE__FENCE_REPLY__INIT;
    reply.subject = (char *)text_or_default(words[1], "");
    reply.known = parse_number(words[2]) != 0;
    reply.floor = parse_number(words[3]);
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.fence_reply = &reply;
    send_frame(peer, &frame, WIRE__FRAME__BODY_FENCE_REPLY);
}

static void
do_quarantine(Peer *peer, char **words)
{
    Wire__QuarantineEntry entry = WIRE__QUARANTINE_ENTRY__INIT;
    entry.fingerprint = parse_number(words[2]);
    entry.crashes = (uint32_t)parse_number(words[3]);
    entry.quarantined = parse_number(words[4]) != 0;
    Wire__QuarantineEntry *entries[] = {&entry};
    Wire__Quarantine quarantine = WIRE__QUARANTINE__INIT;
    quarantine.version = parse_number(words[1]);
    quarantine.entries = entries;
    quarantine.n_entries = 1;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.quarantine = &quarantine;
    send_frame(peer, &frame, WIRE__FRAME__BODY_QUARANTINE);
}

static void
do_answer(Peer *peer, char **words)
{
    peer->reply_code = words[1] == NULL ? 0 : atoi(words[1]);
}

static void
do_join(Peer *peer, char **words)
{
    peer->link =
        Link_Dial(peer->base, &peer->self, &peer->address, &link_ops, peer);
}

static void
do_leave(Peer *peer, char **words)
{
    if (peer->link != NULL) {
        Link_Close(peer->link);
        peer->link = NULL;
    }
}

typedef struct PeerCommand {
    const char *name;
    void (*run)(Peer *peer, char **words);
} PeerCommand;

static const PeerCommand commands[] = {
    {"want", do_request},
    {"withdraw", do_request},
    {"ack", do_request},
    {"resume", do_request},
    {"cancel", do_request},
    {"dispatch", do_dispatch},
    {"order", do_order},
    {"floor", do_floor},
    {"quarantine", do_quarantine},
    {"answer", do_answer},
    {"join", do_join},
    {"leave", do_leave},
};

static void
run_command(Peer *peer, const char *line)
{
    char **split = g_strsplit(line, " ", WORDS_MAX);
    /* Words missing from the line are NULL. */
    char *words[WORDS_MAX + 1] = {NULL};
    for (size_t i = 0; split[i] != NULL; i++) {
        words[i] = split[i];
    }
    for (size_t i = 0; words[0] != NULL && i < G_N_ELEMENTS(commands); i++) {
        if (strcmp(words[0], commands[i].name) == 0) {
            commands[i].run(peer, words);
        }
    }
    g_strfreev(split);
}

static void
on_input(struct bufferevent *input, void *arg)
{
    struct evbuffer *in = bufferevent_get_input(input);
    char *line;
    while ((line = evbuffer_readln(in, NULL, EVBUFFER_EOL_LF)) != NULL) {
        run_command(arg, line);
        free(line);
    }
}

static void
read_options(Peer *peer, int argc, char **argv)
{
    const GOptionEntry entries[] = {
        {"dial", 0, 0, G_OPTION_ARG_STRING, &peer->dial,
         "Agent to connect to, as an entry", "IP:PORT"},
        {"listen", 0, 0, G_OPTION_ARG_STRING, &peer->listen,
         "Address to accept agents on, as a control host", "IP:PORT"},
        {"name", 0, 0, G_OPTION_ARG_STRING, &peer->name, "Name of this peer",
         "NAME"},
        {"incarnation", 0, 0, G_OPTION_ARG_INT64, &peer->incarnation,
         "Incarnation of this peer", "N"},
        {"quiet", 0, 0, G_OPTION_ARG_NONE, &peer->quiet,
         "Do not print pieces that arrive in order", NULL},
        {NULL},
    };
    GOptionContext *context = g_option_context_new("- fake peer");
    g_option_context_add_main_entries(context, entries, NULL);
    if (!g_option_context_parse(context, &argc, &argv, NULL) ||
        (peer->dial == NULL) == (peer->listen == NULL))
    {
        fprintf(
            stderr,
            "fake_peer: expected either --dial IP:PORT or --listen IP:PORT\n");
        exit(2);
    }
    g_option_context_free(context);
}

int
main(int argc, char **argv)
{
    Peer peer = {.incarnation = 1};
    read_options(&peer, argc, argv);
    peer.base = event_base_new();
    peer.self = (LinkIdentity){
        .role = peer.dial ? WIRE__ROLE__ROLE_ENTRY : WIRE__ROLE__ROLE_CONTROL,
        .name = peer.name == NULL ? "peer" : peer.name,
        .incarnation = (uint64_t)peer.incarnation,
        .zone = "west-1",
        .region = "west",
    };
    Error err = ERROR_INIT;
    if (Address_Parse(peer.dial ? peer.dial : peer.listen, &peer.address,
                      &err) != ERR_OK ||
        (peer.listen != NULL &&
         Link_Listen(peer.base, &peer.self, &peer.address, &link_ops, &peer,
                     &err) == NULL))
    {
        fprintf(stderr, "fake_peer: %s\n", err.text);
        return 1;
    }
    if (peer.dial != NULL) {
        do_join(&peer, NULL);
    }
    struct bufferevent *input = bufferevent_socket_new(peer.base, 0, 0);
    bufferevent_setcb(input, on_input, NULL, NULL, &peer);
    bufferevent_enable(input, EV_READ);
    event_base_dispatch(peer.base);
    return 0;
}
