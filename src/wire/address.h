/** @file
 * Addresses: an IP address with a port, as in `127.0.0.1:7001` or
 * `[::1]:7001`.
 */
#ifndef LAURELLIFT_WIRE_ADDRESS_H
#define LAURELLIFT_WIRE_ADDRESS_H

#include <stdint.h>

#include <sys/socket.h>

#include "kernel/error.h"

#define ADDRESS_TEXT_BYTES 64

typedef struct Address {
    struct sockaddr_storage storage;
    socklen_t length;
    char host[ADDRESS_TEXT_BYTES]; /**< IP address without the port. */
    uint16_t port;
} Address;

/** Parses an IP address with a port. Host names are not resolved.
 * @return ERR_OK or ERR_INVALID. */
int Address_Parse(const char *text, Address *address, Error *err);

#endif
