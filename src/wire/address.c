/** @file
 * Addresses: parsing.
 */
#include "wire/address.h"

#include <arpa/inet.h>
#include <string.h>

#include <event2/util.h>

int
Address_Parse(const char *text, Address *address, Error *err)
{
    memset(address, 0, sizeof(*address));
    struct sockaddr *sockaddr = (struct sockaddr *)&address->storage;
    int length = sizeof(address->storage);
    if (text == NULL ||
        evutil_parse_sockaddr_port(text, sockaddr, &length) != 0) {
        return Error_Set(err, ERR_INVALID,
                         "'%s' is not an address; expected IP:PORT.",
                         text == NULL ? "" : text);
    }
    address->length = (socklen_t)length;
    const void *ip;
    if (sockaddr->sa_family == AF_INET6) {
        const struct sockaddr_in6 *v6 = (const void *)sockaddr;
        ip = &v6->sin6_addr;
        address->port = ntohs(v6->sin6_port);
    }
    else {
        const struct sockaddr_in *v4 = (const void *)sockaddr;
        ip = &v4->sin_addr;
        address->port = ntohs(v4->sin_port);
    }
    if (address->port == 0) {
        return Error_Set(err, ERR_INVALID,
                         "'%s' has no port; expected IP:PORT.", text);
    }
    inet_ntop(sockaddr->sa_family, ip, address->host, sizeof(address->host));
    return ERR_OK;
}
