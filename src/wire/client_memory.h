/** @file
 * Memory that this process holds for its clients: the one budget of all its
 * ports, and the return of what was released to the system. Main loop only.
 */
#ifndef LAURELLIFT_WIRE_CLIENT_MEMORY_H
#define LAURELLIFT_WIRE_CLIENT_MEMORY_H

#include <stdbool.h>
#include <stddef.h>

#include <event2/event.h>

#include "sched/client_budget.h"

/** Sets the budget to a part of the machine's memory, and how the process
 * allocates. Must be called before the first use of the budget; else clients
 * may take half of what the system has.
 * @param memory_mb  memory of the machine in MiB; 0 asks the system.
 * @param divisor  clients may take one part of so many; the rest is for the
 *                 program, its tables, and what passes through it.
 * @param max_descriptors  0 raises them as far as the system allows. */
void ClientMemory_Init(size_t memory_mb, unsigned divisor,
                       size_t max_descriptors);

/** Returns the memory of the machine in bytes.
 * @param memory_mb  as for ClientMemory_Init. */
size_t ClientMemory_MachineBytes(size_t memory_mb);

/** Returns the budget of the process. */
ClientBudget *ClientMemory_Budget(void);

/** Raises or lowers the charge of an account. If there is no room, requests
 * that are behind give way.
 * @return false if there is no room then either; the charge stays. */
bool ClientMemory_Charge(ClientAccount *account, size_t bytes);

/** Sets the charge of an unsent answer. Beyond the bound, the accounts with
 * the largest answers are cut. */
void ClientMemory_ChargeAnswer(ClientAccount *account, size_t bytes);

/** Opens an account for a new connection; an idle one may be closed for it.
 * @return false if there is no room. */
bool ClientMemory_Open(ClientAccount *account, ClientYield *yield,
                       void *owner);

void ClientMemory_Close(ClientAccount *account);

/** Returns memory to the system if much has been released. Called after a
 * charge was lowered. */
void ClientMemory_OnReleased(struct event_base *base);

#endif
