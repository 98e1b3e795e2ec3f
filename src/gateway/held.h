/** @file
 * Gateway: the bound of the bytes that it holds for slow callers and
 * endpoints. What it holds of requests is counted by the budget of the
 * process.
 */
#ifndef LAURELLIFT_GATEWAY_HELD_H
#define LAURELLIFT_GATEWAY_HELD_H

#include <stdbool.h>
#include <stddef.h>

#include <event2/util.h>

typedef struct Gateway Gateway;
typedef struct Held Held;

Held *Held_New(Gateway *gateway);
void Held_Free(Held *held);

/* Returns the unsent bytes of an answer at which its endpoint is read no
 * further. */
size_t Held_CallerPart(const Held *held);

/* Returns the bytes that all buffered answers together may have. */
size_t Held_AnswersMax(const Held *held);

/* Bounds the kernel's buffer of what is written to a socket. */
void Held_LimitSocket(const Held *held, evutil_socket_t fd);

/* Returns the bytes that the kernel holds for a caller who has not read all
 * that was written. */
size_t Held_KernelBytes(const Held *held);

/* Starts to count if much may be held: called when a caller has this many
 * unsent bytes. */
void Held_OnUnsent(Held *held, size_t unsent);

/* Returns whether new requests are refused. */
bool Held_RefusesNew(const Held *held);

#endif
