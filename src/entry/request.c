/** @file
 * Requests of the entry: passes events to their state machines and carries out
 * the resulting actions.
 */
#include "entry/state.h"

#include <string.h>

#include "kernel/log.h"

#define RETRY_AFTER_MS 1000

/* Message that an event was read from; both members are NULL for other
 * events. */
typedef struct EventMessage {
    const Wire__Frame *frame;
    const Wire__CommandReply *reply;
} EventMessage;

static const EventMessage no_message = {.frame = NULL};

/* Event that results from carrying out an action. */
typedef struct FollowUp {
    bool pending;
    LifeEvent event;
    LifeAgent want_agents[PLACE_WANTS_MAX];
} FollowUp;

static LifeAgent
life_agent(const Peer *peer)
{
    return (LifeAgent){
        .agent = peer->number,
        .incarnation = peer->incarnation,
    };
}

/* Fills in the placement handles of the agents that received a want for the
 * request and still exist.
 * @return their number. */
static uint32_t
collect_tried_places(const Request *request, PlaceHandle *places)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < request->life.wanted_agent_count; i++) {
        const Peer *peer = EntryPeers_ByNumber(request->entry,
                                               request->life.wanted_agents[i]);
        if (peer != NULL) {
            places[count++] = peer->place;
        }
    }
    return count;
}

/* Sends wants to the agents that placement selects, except for those that
 * received one before. */
static void
send_wants(Request *request, FollowUp *next)
{
    Entry *entry = request->entry;
    next->pending = true;
    next->event = (LifeEvent){.kind = LIFE_ON_WANTS_SENT,
                              .want_agents = next->want_agents};
    PlaceChoice choice;
    PlaceHandle tried[LIFE_AGENTS_MAX];
    uint32_t tried_count = collect_tried_places(request, tried);
    if (!Place_PickAgain(entry->places, &request->work, Clock_Now(), tried,
                         tried_count, &choice))
    {
        bool all_tried = tried_count > 0 && choice.reason == REFUSE_UNFIT;
        next->event.reason = all_tried ? REFUSE_NONE : choice.reason;
        next->event.retry_after_ms = choice.retry_after_ms;
        return;
    }
    for (uint32_t i = 0; i < choice.count; i++) {
        Peer *peer = EntryPeers_ByPlace(entry, choice.endpoints[i]);
        if (peer == NULL || Life_HasSentWant(&request->life, peer->number)) {
            continue;
        }
        if (EntrySend_Want(request, peer) == ERR_OK) {
            next->want_agents[next->event.want_agent_count++] =
                life_agent(peer);
        }
        else {
            next->event.reason = REFUSE_LEAVING;
        }
    }
}

static void
dispatch_request(Request *request, const LifeAction *action, FollowUp *next)
{
    Entry *entry = request->entry;
    Peer *peer = EntryPeers_ByNumber(entry, action->agent.agent);
    if (peer == NULL ||
        EntrySend_Dispatch(request, peer, action->grant_id) != ERR_OK)
    {
        next->pending = true;
        next->event = (LifeEvent){.kind = LIFE_ON_DISPATCH_FAILED};
        return;
    }
    request->dispatched_at = Clock_Now();
    Place_OnDispatched(entry->places, peer->place, &request->work,
                       request->dispatched_at);
    /* The body is not needed again: a dispatched request is never sent
     * elsewhere. */
    Request_DropBody(request);
}

static void
request_claim(Request *request, FollowUp *next)
{
    next->pending =
        EntryClaims_RequestClaim(request->entry->claims, request) != ERR_OK;
    next->event = (LifeEvent){
        .kind = LIFE_ON_CLAIM,
        .claim = LIFE_CLAIM_FAILED,
    };
}

static void
report_failure(Request *request, const LifeAction *action)
{
    HttpError error = EntryErrors_FromAction(action);
    if (action->not_run) {
        EntryCounters_CountRefused(error.code, request->work.tier);
    }
    EntryCounters_CountFinished(error.outcome, request->work.tier);
    EntryAnswer_Fail(request, &error);
}

static void
perform_action(Request *request, const LifeAction *action,
               const EventMessage *message, FollowUp *next)
{
    switch (action->kind) {
    case LIFE_DO_CLAIM:
        request_claim(request, next);
        break;
    case LIFE_DO_SEND_WANTS:
        send_wants(request, next);
        break;
    case LIFE_DO_WITHDRAW:
        EntrySend_Withdraw(request, action->agent);
        break;
    case LIFE_DO_DISPATCH:
        dispatch_request(request, action, next);
        break;
    case LIFE_DO_CANCEL:
        EntrySend_Cancel(request, action->agent);
        break;
    case LIFE_DO_RESUME:
        EntrySend_Resume(request, action);
        break;
    case LIFE_DO_HEAD:
        INVARIANT(message->frame != NULL);
        EntryAnswer_SendHead(request, message->frame->answer_head);
        break;
    case LIFE_DO_PIECE:
        INVARIANT(message->frame != NULL);
        EntryAnswer_SendPiece(request, message->frame->answer_piece,
                              action->offset);
        break;
    case LIFE_DO_RECORD:
        EntryClaims_Record(request->entry->claims, request, action->record);
        break;
    case LIFE_DO_FINISH:
        EntryCounters_CountFinished("ran", request->work.tier);
        EntryAnswer_Finish(request, action->recorded);
        break;
    case LIFE_DO_STORED_ANSWER:
        INVARIANT(message->reply != NULL);
        EntryCounters_CountFinished("kept", request->work.tier);
        EntryAnswer_SendStored(request, message->reply);
        break;
    case LIFE_DO_FAIL:
        report_failure(request, action);
        break;
    case LIFE_DO_END:
        break;
    }
}

static void
set_waiting(Request *request, bool waiting)
{
    if (request->is_waiting == waiting) {
        return;
    }
    request->is_waiting = waiting;
    GQueue *queue = &request->entry->waiting[request->work.tier];
    if (waiting) {
        request->waiting = (GList){.data = request};
        g_queue_push_tail_link(queue, &request->waiting);
    }
    else {
        g_queue_unlink(queue, &request->waiting);
    }
}

static void
set_timer(Request *request)
{
    TimeUs due_at = request->life.timer_at;
    if (due_at == request->timer_fires_at || due_at == TIME_NEVER) {
        return;
    }
    request->timer_fires_at = due_at;
    TimeUs remaining = MAX(due_at - Clock_Now(), 0) + 1;
    struct timeval delay = {
        .tv_sec = remaining / US_PER_S,
        .tv_usec = remaining % US_PER_S,
    };
    evtimer_add(&request->timer, &delay);
}

/* Handles an event and the events that result from its actions. Frees the
 * request if it has ended. */
static void
handle_event(Request *request, const LifeEvent *event,
             const EventMessage *message)
{
    FollowUp next = {.pending = true, .event = *event};
    LifeActions actions;
    while (next.pending) {
        next.pending = false;
        Life_Step(&request->life, &next.event, Clock_Now(), &actions);
        set_waiting(request, request->life.state < LIFE_DISPATCHED);
        set_timer(request);
        for (uint32_t i = 0; i < actions.count; i++) {
            perform_action(request, &actions.list[i], message, &next);
        }
    }
    if (request->life.state == LIFE_ENDED) {
        Request_Free(request);
    }
}

static void
on_timer(evutil_socket_t fd, short events, void *arg)
{
    Request *request = arg;
    request->timer_fires_at = TIME_NEVER;
    handle_event(request, &(LifeEvent){.kind = LIFE_ON_TIMER}, &no_message);
}

void
Request_Begin(Request *request)
{
    Entry *entry = request->entry;
    g_hash_table_insert(entry->requests, &request->work.id, request);
    EntryCounters_CountRequest(request->work.tier);
    request->received_at = Clock_Now();
    request->timer_fires_at = TIME_NEVER;
    evtimer_assign(&request->timer, entry->base, on_timer, request);
    Life_Init(&request->life, request->idempotency_key != NULL,
              request->work.deadline);
    handle_event(request, &(LifeEvent){.kind = LIFE_ON_BEGIN}, &no_message);
}

void
Request_OnClaim(Request *request, LifeClaimResult claim,
                const Wire__CommandReply *reply)
{
    handle_event(request, &(LifeEvent){.kind = LIFE_ON_CLAIM, .claim = claim},
                 &(EventMessage){.reply = reply});
}

void
Request_OnRecorded(Request *request)
{
    handle_event(request, &(LifeEvent){.kind = LIFE_ON_RECORDED}, &no_message);
}

void
Request_OnCallerDisconnect(Request *request)
{
    EntryCounters_CountFinished("caller_gone", request->work.tier);
    handle_event(request, &(LifeEvent){.kind = LIFE_ON_CALLER_DISCONNECTED},
                 &no_message);
}

bool
Request_ShedBelow(Entry *entry, uint32_t tier)
{
    for (uint32_t lowest = WORK_TIERS - 1; lowest > tier; lowest--) {
        for (GList *node = entry->waiting[lowest].tail; node != NULL;
             node = node->prev)
        {
            Request *request = node->data;
            if (request->life.state == LIFE_WANTING) {
                handle_event(request,
                             &(LifeEvent){.kind = LIFE_ON_SHED,
                                          .retry_after_ms = RETRY_AFTER_MS},
                             &no_message);
                return true;
            }
        }
    }
    return false;
}

void
Request_AnswerAll(Entry *entry)
{
    GList *requests = g_hash_table_get_values(entry->requests);
    for (GList *node = requests; node != NULL; node = node->next) {
        handle_event(node->data,
                     &(LifeEvent){.kind = LIFE_ON_STOP,
                                  .retry_after_ms = RETRY_AFTER_MS},
                     &no_message);
    }
    g_list_free(requests);
}

static void
read_answer_end(Request *request, const Wire__AnswerEnd *end, LifeEvent *event)
{
    event->kind = LIFE_ON_END;
    event->length = end->length;
    event->end = LIFE_END_BROKEN;
    if (end->outcome == WIRE__END_OUTCOME__END_COMPLETE) {
        event->end = LIFE_END_COMPLETE;
    }
    else if (end->outcome == WIRE__END_OUTCOME__END_NOT_RUN) {
        event->end = LIFE_END_NOT_RUN;
    }
    event->hash_matches = request->hash != NULL &&
                          end->hash == XXH3_64bits_digest(request->hash);
}

/* Fills @p event from an agent's frame. Returns false if the type of the frame
 * corresponds to no event. */
static bool
read_frame(Request *request, Peer *peer, const Wire__Frame *frame,
           LifeEvent *event)
{
    switch (frame->body_case) {
    case WIRE__FRAME__BODY_GRANT:
        event->kind = LIFE_ON_GRANT;
        event->grant_id = frame->grant->grant_id;
        event->grant_expires_at =
            Link_LastSeenAt(peer->link) + frame->grant->ttl_ms * US_PER_MS;
        event->lease_valid =
            EntryControl_HasLease(request->entry, Clock_Now());
        return true;
    case WIRE__FRAME__BODY_REFUSE:
        event->kind = LIFE_ON_REFUSE;
        event->grant_id = frame->refuse->grant_id;
        event->reason = (RefuseReason)frame->refuse->reason;
        event->retry_after_ms = frame->refuse->retry_after_ms;
        return true;
    case WIRE__FRAME__BODY_ANSWER_HEAD:
        event->kind = LIFE_ON_HEAD;
        return true;
    case WIRE__FRAME__BODY_ANSWER_PIECE:
        event->kind = LIFE_ON_PIECE;
        event->offset = frame->answer_piece->offset;
        event->length = frame->answer_piece->data.len;
        return true;
    case WIRE__FRAME__BODY_ANSWER_END:
        read_answer_end(request, frame->answer_end, event);
        return true;
    case WIRE__FRAME__BODY_UNKNOWN:
        event->kind = LIFE_ON_UNKNOWN;
        return true;
    default:
        return false;
    }
}

/* Handles a frame for a request that has ended. Ids are never reused, so the
 * frame cannot belong to another request. A grant is withdrawn and a running
 * request cancelled, so that the agent frees the slot. */
static void
handle_unknown_request(Peer *peer, const Wire__Frame *frame)
{
    Wire__Frame reply = WIRE__FRAME__INIT;
    Wire__Withdraw withdraw = WIRE__WITHDRAW__INIT;
    Wire__Cancel cancel = WIRE__CANCEL__INIT;
    if (frame->body_case == WIRE__FRAME__BODY_GRANT) {
        withdraw.id = frame->grant->id;
        reply.body_case = WIRE__FRAME__BODY_WITHDRAW;
        reply.withdraw = &withdraw;
        EntryPeers_Send(peer, &reply);
    }
    else if (frame->body_case == WIRE__FRAME__BODY_ANSWER_PIECE) {
        cancel.id = frame->answer_piece->id;
        reply.body_case = WIRE__FRAME__BODY_CANCEL;
        reply.cancel = &cancel;
        EntryPeers_Send(peer, &reply);
    }
}

static void
report_refusal(Request *request, Peer *peer, const LifeEvent *event)
{
    if (event->kind == LIFE_ON_REFUSE && request->life.state == LIFE_WANTING) {
        Place_OnRefused(request->entry->places, peer->place, &request->work,
                        event->reason, event->retry_after_ms, Clock_Now());
    }
}

/* Reports the result of a dispatched request to placement, once. */
static void
report_result(Request *request, bool complete, uint32_t cached_tokens)
{
    Entry *entry = request->entry;
    Peer *peer =
        EntryPeers_ByNumber(entry, request->life.dispatched_agent.agent);
    if (peer == NULL || request->dispatched_at == 0) {
        return;
    }
    PlaceResult result = {
        .dispatched_at = request->dispatched_at,
        .first_piece_at = request->first_piece_at,
        .ended_at = Clock_Now(),
        .output_tokens = request->model == NULL ? 0 : request->piece_count,
        .cached_tokens = cached_tokens,
        .complete = complete,
    };
    request->dispatched_at = 0;
    Place_OnFinished(entry->places, peer->place, &request->work, &result,
                     result.ended_at);
}

void
Request_OnFrame(Entry *entry, Peer *peer, const Wire__Frame *frame)
{
    const Wire__RequestId *wire = Frame_RequestId(frame);
    if (wire == NULL) {
        return;
    }
    RequestId id = {.high = wire->high, .low = wire->low};
    Request *request = g_hash_table_lookup(entry->requests, &id);
    if (request == NULL) {
        handle_unknown_request(peer, frame);
        return;
    }
    LifeEvent event = {.agent = life_agent(peer)};
    if (!read_frame(request, peer, frame, &event)) {
        return;
    }
    report_refusal(request, peer, &event);
    if (event.kind == LIFE_ON_PIECE && request->first_piece_at == 0) {
        request->first_piece_at = Clock_Now();
    }
    if (event.kind == LIFE_ON_END &&
        peer->number == request->life.dispatched_agent.agent)
    {
        report_result(request, event.end == LIFE_END_COMPLETE,
                      frame->answer_end->cached_tokens);
    }
    if (event.kind == LIFE_ON_END && request->life.dispatched) {
        EntrySend_LastAck(peer, frame->answer_end);
    }
    handle_event(request, &event, &(EventMessage){.frame = frame});
}

void
Request_OnLink(Entry *entry, Peer *peer, bool connected)
{
    LifeEvent event = {
        .kind =
            connected ? LIFE_ON_AGENT_CONNECTED : LIFE_ON_AGENT_DISCONNECTED,
        .agent = life_agent(peer),
    };
    /* Handling the event may free that request but no other one, so the
     * remaining pointers in the list stay valid. */
    GList *requests = g_hash_table_get_values(entry->requests);
    for (GList *node = requests; node != NULL; node = node->next) {
        handle_event(node->data, &event, &no_message);
    }
    g_list_free(requests);
}

void
Request_DropBody(Request *request)
{
    if (request->body_buffer != NULL) {
        evbuffer_free(request->body_buffer);
    }
    request->body_buffer = NULL;
    request->body = NULL;
}

void
Request_Free(Request *request)
{
    Entry *entry = request->entry;
    if (request->received_at != 0) {
        g_hash_table_remove(entry->requests, &request->work.id);
        evtimer_del(&request->timer);
        set_waiting(request, false);
        report_result(request, false, 0);
        EntryClaims_Detach(request);
        EntryAccounts_Release(entry, request, Clock_Now());
    }
    if (request->ack_due) {
        g_ptr_array_remove_fast(entry->ack_due, request);
    }
    HttpRequest *http = request->http;
    EntryCaller_Detach(request);
    if (http != NULL) {
        HttpRequest_Abort(http);
    }
    XXH3_freeState(request->hash);
    if (request->answer_buffer != NULL) {
        g_byte_array_unref(request->answer_buffer);
    }
    g_free(request->request_id);
    g_free(request->account);
    g_free(request->method);
    g_free(request->path);
    g_free(request->model);
    g_free(request->service);
    g_free(request->content_type);
    g_free(request->idempotency_key);
    Request_DropBody(request);
    g_free(request->answer_type);
    g_free(request);
}
