/** @file
 * Budget of the memory that a process holds for its clients. Answers the load
 * of many clients at once whose requests are each within the limits, but
 * together exceed the memory of the machine, and most of which never end.
 * Has no I/O and reads no clock.
 *
 * Each connection has an account, whose charge is raised before the bytes that
 * it stands for are read, and covers what the kernel receives for the
 * connection. Small charges may use the whole budget, large ones leave a part
 * of it free, so that ordinary requests pass while large bodies fill the rest.
 * When a charge does not fit, idle connections and the request that is
 * furthest behind the least rate give way. One that arrives at that rate never
 * does.
 */
#ifndef LAURELLIFT_SCHED_CLIENT_BUDGET_H
#define LAURELLIFT_SCHED_CLIENT_BUDGET_H

#include <stdbool.h>
#include <stddef.h>

#include <glib.h>

#include "kernel/clock.h"

/** Bytes of the kernel's receive buffer for a connection, as it counts them:
 * before the head of a request has been accepted, and while a body arrives. */
#define CLIENT_IDLE_KERNEL_BYTES (16u * 1024)
#define CLIENT_BODY_KERNEL_BYTES (64u * 1024)
/** Charge of a connection without a request: its buffers, its parser and the
 * kernel's receive buffer. */
#define CLIENT_IDLE_BYTES (CLIENT_IDLE_KERNEL_BYTES + 8u * 1024)

/** What a connection does, as far as the budget is concerned. */
typedef enum ClientPhase {
    CLIENT_IDLE,      /**< Between requests; may be closed. */
    CLIENT_RECEIVING, /**< A request is incomplete; may be refused. */
    CLIENT_SERVED,    /**< A request is complete, or the connection ends. */
    CLIENT_PHASES,
} ClientPhase;

/** Ends the request, or the idle connection, of an account that gives way.
 * Lowers its charge and changes its phase, or closes it. */
typedef void ClientYield(void *owner);

/** One connection, as the budget sees it. Its owner embeds it. */
typedef struct ClientAccount {
    GList node; /**< In the queue of its phase. */
    ClientYield *yield;
    ClientYield *cut; /**< Closes the connection, whatever it does; NULL if it
                         has no unsent answers that are charged. */
    void *owner;
    ClientPhase phase;
    size_t bytes;    /**< Charged. */
    size_t answer;   /**< Part of these for an unsent answer. */
    size_t received; /**< Bytes of the incomplete request. */
    TimeUs since;    /**< Start of the phase. */
} ClientAccount;

typedef struct ClientBudget ClientBudget;

/** @param bound  bytes for all clients.
 * @param max_connections  number of connections, as descriptors allow. */
ClientBudget *ClientBudget_New(size_t bound, unsigned max_connections);
void ClientBudget_Free(ClientBudget *budget);

/** Returns the largest request body that fits while nothing else is held. */
size_t ClientBudget_LargestBody(size_t bound);

size_t ClientBudget_Bound(const ClientBudget *budget);

/** Returns what is charged to accounts. */
size_t ClientBudget_Charged(const ClientBudget *budget);

/** Returns all that is held: what is charged, and the answers of
 * ClientBudget_SetAnswers. */
size_t ClientBudget_Used(const ClientBudget *budget);

/** Sets the bytes of answers that are charged to no account. */
void ClientBudget_SetAnswers(ClientBudget *budget, size_t bytes);

/** Opens the account of a new connection with CLIENT_IDLE_BYTES.
 * @return false if there is no room. */
bool ClientBudget_Open(ClientBudget *budget, ClientAccount *account,
                       ClientYield *yield, void *owner, TimeUs now);
void ClientBudget_Close(ClientBudget *budget, ClientAccount *account);

/** Sets the charge of an account. Lowering it always succeeds.
 * @return false, and the charge stays, if there is no room. */
bool ClientBudget_Charge(ClientBudget *budget, ClientAccount *account,
                         size_t bytes);

/** Sets the charge of an account that need not be open, for bytes that are
 * held already. */
void ClientBudget_Force(ClientBudget *budget, ClientAccount *account,
                        size_t bytes);

/** Sets the part of a charge for an unsent answer, which is held already. */
void ClientBudget_SetAnswer(ClientBudget *budget, ClientAccount *account,
                            size_t bytes);

/** Selects the account with the largest unsent answer if the bound is
 * exceeded. It must be cut: it is charged for the answer no more.
 * @return NULL within the bound, or if there is no unsent answer. */
ClientAccount *ClientBudget_TakeCut(ClientBudget *budget);

/** Raises a charge beyond the bound if little else is held, for what must
 * always be received at last.
 * @return false, and the charge stays, if more is held. */
bool ClientBudget_ChargeAlone(ClientBudget *budget, ClientAccount *account,
                              size_t bytes);

void ClientBudget_SetPhase(ClientBudget *budget, ClientAccount *account,
                           ClientPhase phase, TimeUs now);

/** Selects the account that gives way when there is no room for a charge: for
 * a small one the connection that has been idle longest, else the incomplete
 * request that is furthest behind the least rate; for a large one the other
 * way round.
 * @param account  that is charged; NULL for a new connection.
 * @param bytes  the charge that does not fit.
 * @return NULL if none does; the charge must then be refused. */
ClientAccount *ClientBudget_ChooseYielding(const ClientBudget *budget,
                                           const ClientAccount *account,
                                           size_t bytes, TimeUs now);

/** Returns whether so much has been released since the last call that
 * returned true that it should be given back to the system. */
bool ClientBudget_TakeReleased(ClientBudget *budget);

#endif
