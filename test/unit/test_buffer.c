/** @file
 * Memory of answers that arrive in pieces: guards against buffers that keep a
 * block for each piece, or count less than their blocks take.
 */
#include "unit.h"

#include <malloc.h>

#include <glib.h>

#include "kernel/buffer.h"

#define TOTAL_BYTES 200000
/* The blocks at the two ends may be almost empty. */
#define ENDS_BYTES (2 * BUFFER_BLOCK_BYTES)

static const size_t pieces[] = {1, 5, 50, 300, 1000};

typedef void Append(struct evbuffer *out, struct evbuffer *in);

static void
move_blocks(struct evbuffer *out, struct evbuffer *in)
{
    evbuffer_add_buffer(out, in);
}

/* Fills a buffer with pieces that each arrived in a block of their own.
 * @return the bytes that were allocated for it. */
static size_t
fill(struct evbuffer *out, size_t piece, Append *append)
{
    char *bytes = g_strnfill(piece, 'x');
    struct evbuffer *in = evbuffer_new();
    size_t before = mallinfo2().uordblks;
    for (size_t i = 0; i < TOTAL_BYTES / piece; i++) {
        evbuffer_add(in, bytes, piece);
        append(out, in);
    }
    size_t allocated = mallinfo2().uordblks - before;
    evbuffer_free(in);
    g_free(bytes);
    return allocated;
}

static void
packed_pieces_share_blocks(void **state)
{
    for (size_t i = 0; i < G_N_ELEMENTS(pieces); i++) {
        struct evbuffer *out = evbuffer_new();
        size_t allocated = fill(out, pieces[i], Buffer_AppendPacked);
        size_t length = evbuffer_get_length(out);
        print_message("packed %zu: length %zu allocated %zu counted %zu\n",
                      pieces[i], length, allocated,
                      Buffer_AllocatedBytes(out));
        assert_int_equal(length, TOTAL_BYTES / pieces[i] * pieces[i]);
        assert_true(allocated <= length + length / 10 + ENDS_BYTES);
        evbuffer_free(out);
    }
}

static void
all_blocks_are_counted(void **state)
{
    for (size_t i = 0; i < G_N_ELEMENTS(pieces); i++) {
        struct evbuffer *out = evbuffer_new();
        size_t allocated = fill(out, pieces[i], move_blocks);
        size_t counted = Buffer_AllocatedBytes(out);
        print_message("moved %zu: length %zu allocated %zu counted %zu\n",
                      pieces[i], evbuffer_get_length(out), allocated, counted);
        /* The allocator's own header is 16 bytes a block. */
        assert_true(counted + counted / 50 + ENDS_BYTES >= allocated);
        assert_true(counted <= allocated + ENDS_BYTES);
        evbuffer_free(out);
    }
}

static void
empty_and_drained_buffers_are_counted(void **state)
{
    struct evbuffer *out = evbuffer_new();
    assert_int_equal(Buffer_AllocatedBytes(out), 0);
    fill(out, 50, Buffer_AppendPacked);
    evbuffer_drain(out, TOTAL_BYTES - 10);
    assert_true(Buffer_AllocatedBytes(out) <= BUFFER_BLOCK_BYTES);
    evbuffer_drain(out, 10);
    assert_int_equal(Buffer_AllocatedBytes(out), 0);
    evbuffer_free(out);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(packed_pieces_share_blocks),
        cmocka_unit_test(all_blocks_are_counted),
        cmocka_unit_test(empty_and_drained_buffers_are_counted),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
