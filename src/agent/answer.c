/** @file
 * Answers. The bytes of an answer are stored until the entry acknowledges
 * them, so that the answer can be resumed over a new link after a disconnect.
 */
#include "agent/state.h"

#include <string.h>

#include <event2/buffer.h>
#include <xxhash.h>

#include "kernel/counter.h"

/* Number of unacknowledged bytes of one answer at which its run stops reading
 * from the endpoint. */
#define ANSWER_UNACKED_MAX_BYTES (4u * 1024 * 1024)
/* Limit of the unacknowledged bytes of one answer when all together reach
 * Agent.unacked_max; above that, the oldest ended answers are deleted. */
#define ANSWER_REDUCED_MAX_BYTES (64u * 1024)
#define ENDED_ANSWERS_MAX 4096
#define PIECE_MAX_BYTES (64u * 1024)
/* Shorter pieces that arrive together are sent as one, since each is a frame
 * to the entry and a chunk to the caller. */
#define PIECE_MIN_BYTES 1024

struct Answer {
    Agent *agent;
    RequestId id;
    Run *run;       /* NULL after the run has ended */
    uint64_t token; /* of the entry's link; 0 while disconnected */
    TimeUs disconnected_at;
    char *entry;          /* name of the entry that sent the dispatch */
    uint64_t incarnation; /* incarnation of the entry */
    bool idempotent;
    bool has_head;
    bool head_sent;
    uint32_t status;
    char *type;
    struct evbuffer *unacked; /* body bytes from offset acked on */
    uint64_t acked;           /* offset up to which the entry acknowledged */
    uint64_t sent;            /* offset of the next body byte to send */
    uint64_t length;          /* bytes of the body received so far */
    XXH3_state_t *hash;
    bool send_due; /* is in Agent.answers_due */
    bool ended;
    bool end_sent;
    bool acknowledged; /* acknowledged completely, or cancelled by the entry */
    TimeUs ended_at;
    Wire__EndOutcome outcome;
    char *detail;
    uint32_t cached_tokens;
};

Answer *
AgentAnswer_New(Agent *agent, Link *link, Run *run,
                const Wire__Dispatch *dispatch)
{
    const Wire__Hello *peer = Link_Peer(link);
    Answer *answer = g_new0(Answer, 1);
    answer->agent = agent;
    answer->id = (RequestId){dispatch->id->high, dispatch->id->low};
    answer->run = run;
    answer->token = AgentLinks_Token(link);
    answer->entry = g_strdup(peer->name);
    answer->incarnation = peer->incarnation;
    answer->idempotent = dispatch->idempotent;
    answer->unacked = evbuffer_new();
    answer->hash = XXH3_createState();
    XXH3_64bits_reset(answer->hash);
    g_hash_table_insert(agent->answers, &answer->id, answer);
    return answer;
}

void
AgentAnswer_Free(gpointer data)
{
    Answer *answer = data;
    Agent *agent = answer->agent;
    if (answer->send_due) {
        g_ptr_array_remove_fast(agent->answers_due, answer);
    }
    agent->unacked_bytes -= evbuffer_get_length(answer->unacked);
    if (answer->ended) {
        g_queue_remove(&agent->ended_answers, answer);
    }
    evbuffer_free(answer->unacked);
    XXH3_freeState(answer->hash);
    g_free(answer->entry);
    g_free(answer->type);
    g_free(answer->detail);
    g_free(answer);
}

static void
delete_answer(Answer *answer)
{
    g_hash_table_remove(answer->agent->answers, &answer->id);
}

static bool
send_frame(Answer *answer, const Wire__Frame *frame)
{
    int result = AgentLinks_Send(answer->agent, answer->token, frame);
    if (result == ERR_FULL) {
        answer->agent->answers_blocked = true;
    }
    return result == ERR_OK;
}

static bool
send_head(Answer *answer)
{
    Wire__RequestId id = agent_wire_id(answer->id);
    Wire__AnswerHead head = WIRE__ANSWER_HEAD__INIT;
    head.id = &id;
    head.status = answer->status;
    head.content_type = answer->type;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_ANSWER_HEAD;
    frame.answer_head = &head;
    return send_frame(answer, &frame);
}

static bool
send_piece(Answer *answer, const uint8_t *data, size_t length)
{
    Wire__RequestId id = agent_wire_id(answer->id);
    Wire__AnswerPiece piece = WIRE__ANSWER_PIECE__INIT;
    piece.id = &id;
    piece.offset = answer->sent;
    piece.data.data = (uint8_t *)data;
    piece.data.len = length;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_ANSWER_PIECE;
    frame.answer_piece = &piece;
    if (!send_frame(answer, &frame)) {
        return false;
    }
    answer->sent += length;
    return true;
}

static bool
send_end(Answer *answer)
{
    Wire__RequestId id = agent_wire_id(answer->id);
    Wire__AnswerEnd end = WIRE__ANSWER_END__INIT;
    end.id = &id;
    end.outcome = answer->outcome;
    end.length = answer->length;
    end.hash = XXH3_64bits_digest(answer->hash);
    end.detail = answer->detail;
    end.cached_tokens = answer->cached_tokens;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_ANSWER_END;
    frame.answer_end = &end;
    return send_frame(answer, &frame);
}

static bool
send_stored(Answer *answer)
{
    uint8_t *data = g_malloc(PIECE_MAX_BYTES);
    bool sent = true;
    while (sent && answer->sent < answer->length) {
        struct evbuffer_ptr at;
        evbuffer_ptr_set(answer->unacked, &at, answer->sent - answer->acked,
                         EVBUFFER_PTR_SET);
        ev_ssize_t length =
            evbuffer_copyout_from(answer->unacked, &at, data, PIECE_MAX_BYTES);
        INVARIANT(length > 0);
        sent = send_piece(answer, data, (size_t)length);
    }
    g_free(data);
    return sent;
}

/* Sends the unsent rest of the answer until the link's send queue is full. */
static void
send_unsent(Answer *answer)
{
    if (answer->token == 0) {
        return;
    }
    if (answer->has_head && !answer->head_sent) {
        answer->head_sent = send_head(answer);
    }
    bool head_done = answer->head_sent || !answer->has_head;
    bool passed = head_done;
    if (passed && answer->sent < answer->length) {
        passed = send_stored(answer);
    }
    if (passed && answer->ended && !answer->end_sent) {
        answer->end_sent = send_end(answer);
    }
}

void
AgentAnswer_SetHead(Answer *answer, uint32_t status, const char *type)
{
    answer->has_head = true;
    answer->status = status;
    answer->type = g_strdup(type);
    send_unsent(answer);
}

bool
AgentAnswer_HasHead(const Answer *answer)
{
    return answer->has_head;
}

void
AgentAnswer_AddPiece(Answer *answer, const uint8_t *data, size_t length)
{
    bool up_to_date = answer->token != 0 && answer->head_sent &&
                      answer->sent == answer->length;
    evbuffer_add(answer->unacked, data, length);
    answer->agent->unacked_bytes += length;
    XXH3_64bits_update(answer->hash, data, length);
    answer->length += length;
    if (length < PIECE_MIN_BYTES) {
        if (!answer->send_due) {
            answer->send_due = true;
            g_ptr_array_add(answer->agent->answers_due, answer);
            event_active(answer->agent->send_due, EV_TIMEOUT, 0);
        }
        return;
    }
    if (up_to_date && length <= PIECE_MAX_BYTES) {
        send_piece(answer, data, length);
        return;
    }
    send_unsent(answer);
}

void
AgentAnswer_SendDue(Agent *agent)
{
    for (guint i = 0; i < agent->answers_due->len; i++) {
        Answer *answer = g_ptr_array_index(agent->answers_due, i);
        answer->send_due = false;
        send_unsent(answer);
    }
    g_ptr_array_set_size(agent->answers_due, 0);
}

/* Deletes the oldest ended answers while their number or the unacknowledged
 * bytes of all answers exceed the limit. The newest one is always kept. */
static void
delete_excess_answers(Agent *agent)
{
    while (agent->ended_answers.length > ENDED_ANSWERS_MAX ||
           (agent->unacked_bytes > agent->unacked_max &&
            agent->ended_answers.length > 1))
    {
        delete_answer(g_queue_peek_head(&agent->ended_answers));
    }
}

void
AgentAnswer_End(Answer *answer, Wire__EndOutcome outcome, const char *detail,
                uint32_t cached_tokens)
{
    Agent *agent = answer->agent;
    answer->run = NULL;
    answer->ended = true;
    answer->ended_at = Clock_Now();
    answer->outcome = outcome;
    answer->detail = g_strdup(detail);
    answer->cached_tokens = cached_tokens;
    g_queue_push_tail(&agent->ended_answers, answer);
    send_unsent(answer);
    delete_excess_answers(agent);
}

bool
AgentAnswer_IsFull(const Answer *answer)
{
    size_t unacked = evbuffer_get_length(answer->unacked);
    bool over_limit =
        answer->agent->unacked_bytes >= answer->agent->unacked_max;
    return unacked >=
           (over_limit ? ANSWER_REDUCED_MAX_BYTES : ANSWER_UNACKED_MAX_BYTES);
}

bool
AgentAnswer_IsAbandoned(const Answer *answer, TimeUs now)
{
    TimeUs timeout = answer->agent->own->resume_ms * US_PER_MS;
    return answer->token == 0 && answer->idempotent &&
           now - answer->disconnected_at >= timeout;
}

/* Returns the answer with this id if the link's peer sent its dispatch, else
 * NULL. */
static Answer *
find_for_peer(Agent *agent, Link *link, const Wire__RequestId *wire)
{
    RequestId id = {.high = wire->high, .low = wire->low};
    Answer *answer = g_hash_table_lookup(agent->answers, &id);
    const Wire__Hello *peer = Link_Peer(link);
    if (answer == NULL || peer->incarnation != answer->incarnation ||
        strcmp(peer->name, answer->entry) != 0)
    {
        return NULL;
    }
    return answer;
}

static void
acknowledge(Answer *answer, uint64_t offset)
{
    if (offset > answer->acked) {
        size_t length = (size_t)(offset - answer->acked);
        evbuffer_drain(answer->unacked, length);
        answer->agent->unacked_bytes -= length;
        answer->acked = offset;
    }
    if (answer->run != NULL && !AgentAnswer_IsFull(answer)) {
        AgentRun_SetReading(answer->run, true);
    }
}

void
AgentAnswer_OnAck(Agent *agent, Link *link, const Wire__AnswerAck *ack)
{
    Answer *answer = find_for_peer(agent, link, ack->id);
    if (answer == NULL || ack->offset > answer->sent) {
        return;
    }
    acknowledge(answer, ack->offset);
    answer->acknowledged = answer->end_sent && answer->acked == answer->length;
}

void
AgentAnswer_SendUnknown(Link *link, RequestId request)
{
    Wire__RequestId id = agent_wire_id(request);
    Wire__Unknown unknown = WIRE__UNKNOWN__INIT;
    unknown.id = &id;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_UNKNOWN;
    frame.unknown = &unknown;
    Link_Send(link, &frame);
}

void
AgentAnswer_OnResume(Agent *agent, Link *link, const Wire__Resume *resume)
{
    Answer *answer = find_for_peer(agent, link, resume->id);
    if (answer == NULL || resume->offset < answer->acked ||
        resume->offset > answer->length)
    {
        AgentAnswer_SendUnknown(
            link, (RequestId){resume->id->high, resume->id->low});
        return;
    }
    answer->token = AgentLinks_Token(link);
    answer->disconnected_at = 0;
    answer->head_sent = resume->have_head;
    answer->end_sent = false;
    answer->sent = resume->offset;
    acknowledge(answer, resume->offset);
    Counter_Add(Counter_Get("agent_resumed_total",
                            "Answers that went on over a new link."),
                1);
    send_unsent(answer);
}

void
AgentAnswer_OnCancel(Agent *agent, Link *link, RequestId id)
{
    Wire__RequestId wire = agent_wire_id(id);
    Answer *answer = find_for_peer(agent, link, &wire);
    if (answer == NULL) {
        return;
    }
    if (answer->run != NULL) {
        AgentRun_Cancel(answer->run, "Cancelled by the entry.");
    }
    answer->acknowledged = true;
}

void
AgentAnswer_OnOwnerDisconnected(Agent *agent, uint64_t token)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, agent->answers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        Answer *answer = value;
        if (answer->token == token) {
            answer->token = 0;
            answer->disconnected_at = Clock_Now();
        }
    }
}

static void
send_all_unsent(Agent *agent)
{
    agent->answers_blocked = false;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, agent->answers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        send_unsent(value);
    }
}

void
AgentAnswer_Tick(Agent *agent, TimeUs now)
{
    TimeUs keep = agent->own->keep_ms * US_PER_MS;
    Answer *oldest;
    while ((oldest = g_queue_peek_head(&agent->ended_answers)) != NULL &&
           now - oldest->ended_at >= keep)
    {
        delete_answer(oldest);
    }
    if (agent->answers_blocked) {
        send_all_unsent(agent);
    }
}

bool
AgentAnswer_AllAcknowledged(const Agent *agent)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, agent->answers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const Answer *answer = value;
        if (!answer->acknowledged) {
            return false;
        }
    }
    return true;
}
