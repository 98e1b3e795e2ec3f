/** @file
 * Answers that outlive the process: the kernel goes on sending what it was
 * handed after the process has ended.
 */
#ifndef LAURELLIFT_SERVER_HANDOVER_H
#define LAURELLIFT_SERVER_HANDOVER_H

#include <stddef.h>

#include <event2/bufferevent.h>

/** Lets the kernel take all bytes that wait to be written to a connection, as
 * far as the system's bound of a socket's buffer allows. They are written by
 * the event loop. For sockets whose buffer was set to a small size: it would
 * be made smaller where the system let it grow beyond that bound.
 * @return the memory in bytes by which the kernel's buffer grew. */
size_t Handover_GrowBuffer(struct bufferevent *stream);

#endif
