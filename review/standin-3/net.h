/** @file
 * Small helpers that the stand-ins share: time, sockets and plain HTTP calls.
 */
#ifndef STANDIN_NET_H
#define STANDIN_NET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Returns the monotonic time in milliseconds. */
int64_t Net_NowMs(void);

/** Returns the time of day in milliseconds. */
int64_t Net_WallMs(void);

/** Raises the number of descriptors as far as the system allows. */
void Net_RaiseDescriptors(void);

/** Connects to `IP:PORT` and waits for it.
 * @param rcvbuf  size of the receive buffer; 0 leaves the default.
 * @param from    IP address to connect from, or NULL.
 * @return a descriptor, or -1. */
int Net_Connect(const char *address, int rcvbuf, const char *from);

/** Listens on `IP:PORT`, ends the process on failure. */
int Net_Listen(const char *address);

void Net_SetNonblocking(int fd);

/** Sends one HTTP request and follows up to two redirections (307).
 * @param answer  receives the body, terminated, if it is not NULL.
 * @return the status, or 0 without an answer within @p timeout_ms. */
int Net_Call(const char *address, const char *method, const char *path,
             const char *body, size_t length, char *answer, size_t capacity,
             int timeout_ms);

/** Returns the value of an option `--name VALUE`, or the fallback. */
const char *Net_Option(int argc, char **argv, const char *name,
                       const char *fallback);
long Net_Number(int argc, char **argv, const char *name, long fallback);

/** Copies the value of a header field.
 * @return false if the head does not have it. */
bool Net_Field(const char *head, const char *name, char *value,
               size_t capacity);

#endif
