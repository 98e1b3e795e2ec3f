/** @file
 * Answers that outlive the process.
 */
#include "server/handover.h"

#include <limits.h>

#include <sys/socket.h>

#include <event2/buffer.h>
#include <glib.h>

/* The kernel doubles the size that is set, for its own data, and returns the
 * doubled one. */
#define KERNEL_FACTOR 2

static int
buffer_bytes(evutil_socket_t fd)
{
    int bytes = 0;
    socklen_t length = sizeof(bytes);
    return getsockopt(fd, SOL_SOCKET, SO_SNDBUF, &bytes, &length) == 0 ? bytes
                                                                       : 0;
}

size_t
Handover_GrowBuffer(struct bufferevent *stream)
{
    size_t unsent = evbuffer_get_length(bufferevent_get_output(stream));
    evutil_socket_t fd = bufferevent_getfd(stream);
    int before = unsent == 0 ? 0 : buffer_bytes(fd);
    if (before <= 0) {
        return 0;
    }
    size_t wanted = (size_t)before / KERNEL_FACTOR + unsent;
    int size = (int)MIN(wanted, INT_MAX / KERNEL_FACTOR);
    if (setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &size, sizeof(size)) != 0) {
        return 0;
    }
    int after = buffer_bytes(fd);
    return after > before ? (size_t)(after - before) : 0;
}
