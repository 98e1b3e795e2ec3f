/** @file
 * Withdrawals: endpoints that take no requests because they have left, or
 * because an operator has drained them. Their agents record them before they
 * are acknowledged, and read them after a start.
 */
#ifndef LAURELLIFT_CONTROL_WITHDRAWALS_H
#define LAURELLIFT_CONTROL_WITHDRAWALS_H

#include <stdbool.h>

#include <glib.h>

#include "control/generated/state.pb-c.h"
#include "wire/generated/wire.pb-c.h"

/** Maximum number of subjects and of bytes in their names and boot ids. */
#define WITHDRAWALS_MAX 20000
#define WITHDRAWALS_TEXT_MAX 64

typedef struct Withdrawals Withdrawals;

Withdrawals *Withdrawals_New(void);
void Withdrawals_Free(Withdrawals *withdrawals);

/** Replaces the withdrawal of the command's subject. One that an agent records
 * which started before the last to record one is refused (ERR_CONFLICT). */
void Withdrawals_Apply(Withdrawals *withdrawals, const Wire__Command *command,
                       Wire__CommandReply *reply);

/** Fills @p withdrawal with that of a subject; its text is valid until the
 * next change.
 * @return false if there is none. */
bool Withdrawals_Find(const Withdrawals *withdrawals, const char *subject,
                      Wire__Withdrawal *withdrawal);

/** Adds the records to a snapshot. The texts stay owned by the table; the
 * caller frees each record and the array with g_free. */
void Withdrawals_Save(const Withdrawals *withdrawals,
                      State__Snapshot *snapshot);

/** Adds the records of a snapshot. */
void Withdrawals_Load(Withdrawals *withdrawals,
                      const State__Snapshot *snapshot);

#endif
