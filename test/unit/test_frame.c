/** @file
 * Frames: complete, incomplete and malformed ones.
 */
#include "unit.h"

#include "wire/frame.h"

static void
write_cancel(struct evbuffer *buffer, uint64_t low)
{
    Wire__RequestId id = WIRE__REQUEST_ID__INIT;
    id.low = low;
    Wire__Cancel cancel = WIRE__CANCEL__INIT;
    cancel.id = &id;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_CANCEL;
    frame.cancel = &cancel;
    assert_int_equal(Frame_Write(buffer, &frame), ERR_OK);
}

static void
reads_a_frame_that_arrives_byte_by_byte(void **state)
{
    struct evbuffer *whole = evbuffer_new();
    write_cancel(whole, 7);
    size_t length = evbuffer_get_length(whole);
    struct evbuffer *in = evbuffer_new();
    Wire__Frame *frame;
    Error err = ERROR_INIT;
    for (size_t i = 0; i < length; i++) {
        assert_int_equal(Frame_Read(in, &frame, &err), ERR_OK);
        assert_null(frame);
        evbuffer_remove_buffer(whole, in, 1);
    }
    assert_int_equal(Frame_Read(in, &frame, &err), ERR_OK);
    assert_non_null(frame);
    assert_int_equal(Frame_RequestId(frame)->low, 7);
    wire__frame__free_unpacked(frame, NULL);
    evbuffer_free(in);
    evbuffer_free(whole);
}

static void
refuses_malformed_frames(void **state)
{
    struct evbuffer *in = evbuffer_new();
    Wire__Frame *frame;
    Error err = ERROR_INIT;
    evbuffer_add(in, "\xff\xff\xff\xff", 4);
    assert_int_equal(Frame_Read(in, &frame, &err), ERR_TOO_LARGE);
    evbuffer_drain(in, 4);
    evbuffer_add(in, "\x00\x00\x00\x02\xff\xff", 6);
    assert_int_equal(Frame_Read(in, &frame, &err), ERR_CORRUPT);
    assert_null(frame);
    evbuffer_free(in);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(reads_a_frame_that_arrives_byte_by_byte),
        cmocka_unit_test(refuses_malformed_frames),
    };
    return cmocka_run_group_tests_name("frame", tests, NULL, NULL);
}
