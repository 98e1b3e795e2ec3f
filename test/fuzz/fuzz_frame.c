/** @file
 * Fuzz target for the frame reader: it must read frames from arbitrary bytes
 * or report an error, and each frame that it read must be writable.
 */
#include <stdlib.h>

#include "wire/frame.h"

/* Writes a frame that was read and checks the number of bytes written. The
 * copy is not read again: it may be unreadable, because unknown fields are
 * copied unchanged. */
static void
check_copy(const Wire__Frame *frame)
{
    struct evbuffer *copy = evbuffer_new();
    size_t packed = wire__frame__get_packed_size(frame);
    int result = Frame_Write(copy, frame);
    size_t expected = result == ERR_OK ? packed + FRAME_HEADER_BYTES : 0;
    if (evbuffer_get_length(copy) != expected) {
        abort();
    }
    evbuffer_free(copy);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    struct evbuffer *in = evbuffer_new();
    evbuffer_add(in, data, size);
    Wire__Frame *frame;
    Error err = ERROR_INIT;
    while (Frame_Read(in, &frame, &err) == ERR_OK && frame != NULL) {
        (void)Frame_IsBulk(frame);
        (void)Frame_RequestId(frame);
        check_copy(frame);
        wire__frame__free_unpacked(frame, NULL);
    }
    evbuffer_free(in);
    return 0;
}
