/** @file
 * Frames: packing, unpacking and classification.
 */
#include "wire/frame.h"

#include <string.h>

#include <arpa/inet.h>

int
Frame_Write(struct evbuffer *out, const Wire__Frame *frame)
{
    size_t length = wire__frame__get_packed_size(frame);
    if (length > FRAME_MAX_BYTES) {
        return ERR_TOO_LARGE;
    }
    struct evbuffer_iovec space;
    size_t total = length + FRAME_HEADER_BYTES;
    if (evbuffer_reserve_space(out, (ev_ssize_t)total, &space, 1) < 1) {
        return ERR_NO_MEMORY;
    }
    uint32_t header = htonl((uint32_t)length);
    uint8_t *bytes = space.iov_base;
    memcpy(bytes, &header, FRAME_HEADER_BYTES);
    wire__frame__pack(frame, bytes + FRAME_HEADER_BYTES);
    space.iov_len = total;
    evbuffer_commit_space(out, &space, 1);
    return ERR_OK;
}

int
Frame_Read(struct evbuffer *in, Wire__Frame **frame, Error *err)
{
    *frame = NULL;
    uint32_t header;
    if (evbuffer_copyout(in, &header, FRAME_HEADER_BYTES) < FRAME_HEADER_BYTES)
    {
        return ERR_OK;
    }
    size_t length = ntohl(header);
    if (length > FRAME_MAX_BYTES) {
        return Error_Set(err, ERR_TOO_LARGE,
                         "Frame of %zu bytes is too large.", length);
    }
    if (evbuffer_get_length(in) < FRAME_HEADER_BYTES + length) {
        return ERR_OK;
    }
    evbuffer_drain(in, FRAME_HEADER_BYTES);
    const uint8_t *bytes = evbuffer_pullup(in, (ev_ssize_t)length);
    *frame = wire__frame__unpack(NULL, length, bytes);
    evbuffer_drain(in, length);
    if (*frame == NULL) {
        return Error_Set(err, ERR_CORRUPT, "Frame of %zu bytes is malformed.",
                         length);
    }
    return ERR_OK;
}

bool
Frame_IsBulk(const Wire__Frame *frame)
{
    switch (frame->body_case) {
    case WIRE__FRAME__BODY_DISPATCH:
    case WIRE__FRAME__BODY_ANSWER_HEAD:
    case WIRE__FRAME__BODY_ANSWER_PIECE:
    case WIRE__FRAME__BODY_ANSWER_END:
    case WIRE__FRAME__BODY_RULES:
    case WIRE__FRAME__BODY_INSTALL_SNAPSHOT:
        return true;
    default:
        return false;
    }
}

const Wire__RequestId *
Frame_RequestId(const Wire__Frame *frame)
{
    switch (frame->body_case) {
    case WIRE__FRAME__BODY_WANT:
        return frame->want->id;
    case WIRE__FRAME__BODY_WITHDRAW:
        return frame->withdraw->id;
    case WIRE__FRAME__BODY_REFUSE:
        return frame->refuse->id;
    case WIRE__FRAME__BODY_GRANT:
        return frame->grant->id;
    case WIRE__FRAME__BODY_DISPATCH:
        return frame->dispatch->id;
    case WIRE__FRAME__BODY_CANCEL:
        return frame->cancel->id;
    case WIRE__FRAME__BODY_ANSWER_HEAD:
        return frame->answer_head->id;
    case WIRE__FRAME__BODY_ANSWER_PIECE:
        return frame->answer_piece->id;
    case WIRE__FRAME__BODY_ANSWER_END:
        return frame->answer_end->id;
    case WIRE__FRAME__BODY_ANSWER_ACK:
        return frame->answer_ack->id;
    case WIRE__FRAME__BODY_RESUME:
        return frame->resume->id;
    case WIRE__FRAME__BODY_UNKNOWN:
        return frame->unknown->id;
    default:
        return NULL;
    }
}
