/** @file
 * Frames about a request that are sent to agents.
 */
#include "entry/state.h"

static Wire__RequestId
wire_id(const Request *request)
{
    Wire__RequestId id = WIRE__REQUEST_ID__INIT;
    id.high = request->work.id.high;
    id.low = request->work.id.low;
    return id;
}

static uint32_t
remaining_ms(const Request *request)
{
    TimeUs remaining = request->work.deadline - Clock_Now();
    return remaining <= 0 ? 1 : (uint32_t)(remaining / US_PER_MS) + 1;
}

static void
send_to_agent(Request *request, LifeAgent agent, Wire__Frame *frame)
{
    Peer *peer = EntryPeers_ByNumber(request->entry, agent.agent);
    if (peer != NULL) {
        EntryPeers_Send(peer, frame);
    }
}

void
EntrySend_Withdraw(Request *request, LifeAgent agent)
{
    Wire__RequestId id = wire_id(request);
    Wire__Withdraw withdraw = WIRE__WITHDRAW__INIT;
    withdraw.id = &id;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_WITHDRAW;
    frame.withdraw = &withdraw;
    send_to_agent(request, agent, &frame);
}

void
EntrySend_Cancel(Request *request, LifeAgent agent)
{
    Wire__RequestId id = wire_id(request);
    Wire__Cancel cancel = WIRE__CANCEL__INIT;
    cancel.id = &id;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_CANCEL;
    frame.cancel = &cancel;
    send_to_agent(request, agent, &frame);
}

void
EntrySend_Resume(Request *request, const LifeAction *action)
{
    Wire__RequestId id = wire_id(request);
    Wire__Resume resume = WIRE__RESUME__INIT;
    resume.id = &id;
    resume.offset = action->offset;
    resume.have_head = action->have_head;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_RESUME;
    frame.resume = &resume;
    send_to_agent(request, action->agent, &frame);
}

int
EntrySend_Want(Request *request, Peer *peer)
{
    Wire__RequestId id = wire_id(request);
    const WorkSpec *work = &request->work;
    Wire__Want want = WIRE__WANT__INIT;
    want.id = &id;
    want.tier = work->tier;
    want.deadline_ms = remaining_ms(request);
    want.model = request->model == NULL ? "" : request->model;
    want.service = request->service == NULL ? "" : request->service;
    want.prompt_tokens = work->prompt_tokens;
    want.output_tokens = work->output_tokens;
    want.prefix_hash = (uint64_t *)work->prefix;
    want.n_prefix_hash = work->prefix_count;
    want.fingerprint = work->subjects.request;
    want.parts = (uint64_t *)work->subjects.parts;
    want.n_parts = work->subjects.part_count;
    want.alone = work->alone;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_WANT;
    frame.want = &want;
    return EntryPeers_Send(peer, &frame);
}

int
EntrySend_Dispatch(Request *request, Peer *peer, uint64_t grant_id)
{
    Wire__RequestId id = wire_id(request);
    Wire__Header type = WIRE__HEADER__INIT;
    type.name = "Content-Type";
    type.value = request->content_type;
    Wire__Header *headers[] = {&type};
    Wire__Dispatch message = WIRE__DISPATCH__INIT;
    message.id = &id;
    message.grant_id = grant_id;
    message.deadline_ms = remaining_ms(request);
    message.method = request->method;
    message.path = request->path;
    message.headers = headers;
    message.n_headers = request->content_type == NULL ? 0 : 1;
    message.body.data = (uint8_t *)request->body;
    message.body.len = request->body_length;
    message.fingerprint = request->work.subjects.request;
    message.parts = request->work.subjects.parts;
    message.n_parts = request->work.subjects.part_count;
    message.idempotent = request->idempotency_key == NULL;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_DISPATCH;
    frame.dispatch = &message;
    return EntryPeers_Send(peer, &frame);
}

void
EntrySend_Ack(Request *request, uint64_t offset)
{
    Peer *peer = EntryPeers_ByNumber(request->entry,
                                     request->life.dispatched_agent.agent);
    if (peer == NULL) {
        return;
    }
    request->acked_bytes = offset;
    Wire__RequestId id = wire_id(request);
    Wire__AnswerAck ack = WIRE__ANSWER_ACK__INIT;
    ack.id = &id;
    ack.offset = offset;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_ANSWER_ACK;
    frame.answer_ack = &ack;
    EntryPeers_Send(peer, &frame);
}

void
EntrySend_LastAck(Peer *peer, const Wire__AnswerEnd *end)
{
    Wire__AnswerAck ack = WIRE__ANSWER_ACK__INIT;
    ack.id = end->id;
    ack.offset = end->length;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_ANSWER_ACK;
    frame.answer_ack = &ack;
    EntryPeers_Send(peer, &frame);
}
