/** @file
 * Gateway: connections of callers.
 */
#ifndef LAURELLIFT_GATEWAY_CONN_H
#define LAURELLIFT_GATEWAY_CONN_H

#include <stdbool.h>
#include <stddef.h>

#include <event2/buffer.h>
#include <event2/util.h>

#include "sched/held_bytes.h"

typedef struct Call Call;
typedef struct Conn Conn;
typedef struct Gateway Gateway;

/* Takes over an accepted socket.
 * @return NULL, and the socket is closed, if there is no room. */
Conn *Conn_New(Gateway *gateway, evutil_socket_t fd);

/* Sets the call whose answer is written to this connection. */
void Conn_SetCall(Conn *conn, Call *call);
Call *Conn_Call(const Conn *conn);

/* Writes the head of an answer, with its framing fields. */
void Conn_SendHead(Conn *conn, struct evbuffer *head);

/* Writes a whole body. */
void Conn_SendBody(Conn *conn, struct evbuffer *body);

/* Writes a part of a body whose length is not known, as a chunk if the caller
 * understands chunks. */
void Conn_SendPart(Conn *conn, struct evbuffer *part);

/* Ends a body that was written in parts. */
void Conn_EndParts(Conn *conn);

/* Ends a complete answer, then reads the next request or closes. */
void Conn_Finish(Conn *conn);

/* Closes the connection at once, so that the caller sees that its answer is
 * incomplete. */
void Conn_Abort(Conn *conn);

/* Returns whether the connection closes after the current answer. */
bool Conn_WillClose(const Conn *conn);
bool Conn_IsHttp10(const Conn *conn);

/* Returns the number of answer bytes that are not yet written. */
size_t Conn_UnsentBytes(const Conn *conn);

/* Returns the memory that the answer takes which is held for the connection's
 * caller. */
size_t Conn_AnswerBytes(const Conn *conn);

/* Returns the memory that request and answer take which are held for the
 * connection's caller. */
HeldFor Conn_Held(const Conn *conn);

/* Reads the endpoint's answer on if the caller has read enough of it. */
void Conn_ResumeReading(Conn *conn);

/* Closes the connection to free what is held for its caller. */
void Conn_CutOff(Conn *conn);

/* Closes the connection if it is idle and @p close_idle is set. Called
 * repeatedly during a planned stop. */
void Conn_Drain(Conn *conn, bool close_idle);

/* Refuses the connection's call if it still waits for an endpoint and would
 * outlast the planned stop. */
void Conn_CheckStop(Conn *conn);

/* Answers the connection's call, unless a part of the answer was sent, and
 * hands unsent answers to the kernel, which sends them after the process has
 * ended. */
void Conn_EndStop(Conn *conn);

/* Fails the connection's call if it waits and its request is barred. */
void Conn_CheckBarred(Conn *conn);

void Conn_Free(Conn *conn);

#endif
