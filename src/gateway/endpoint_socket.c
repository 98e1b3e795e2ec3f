/** @file
 * Gateway: sockets for connections to endpoints.
 */
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

#include "gateway/state.h"
#include "kernel/log.h"

/* Time without acknowledgement of bytes or keepalive probes after which a
 * connection is closed, because the peer is gone without a reset. */
#define UNACKED_TIMEOUT_MS 2500
#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 2

static void
set_socket_options(evutil_socket_t fd)
{
    int on = 1;
    unsigned unacked_ms = UNACKED_TIMEOUT_MS;
    int idle = KEEPALIVE_IDLE_S;
    int interval = KEEPALIVE_INTERVAL_S;
    int count = KEEPALIVE_PROBES;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked_ms,
               sizeof(unacked_ms));
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof(interval));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof(count));
}

evutil_socket_t
EndpointSocket_New(const Endpoint *endpoint, Address *address)
{
    Error err = ERROR_INIT;
    if (Address_Parse(endpoint->address, address, &err) != ERR_OK) {
        LOG_WARN(GATEWAY_PART,
                 "Invalid address of an endpoint. endpoint=%s why=\"%s\"",
                 endpoint->id, err.text);
        return -1;
    }
    evutil_socket_t fd = socket(address->storage.ss_family,
                                SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        LOG_WARN(GATEWAY_PART, "Failed to create a socket. endpoint=%s",
                 endpoint->id);
        return -1;
    }
    set_socket_options(fd);
    return fd;
}

uint32_t
EndpointSocket_RoundTrip(evutil_socket_t fd)
{
    struct tcp_info info = {.tcpi_rtt = 0};
    socklen_t length = sizeof(info);
    return getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &length) == 0
               ? info.tcpi_rtt
               : 0;
}

size_t
EndpointSocket_UnackedBytes(evutil_socket_t fd)
{
    int bytes = 0;
    return ioctl(fd, SIOCOUTQ, &bytes) == 0 && bytes > 0 ? (size_t)bytes : 0;
}
