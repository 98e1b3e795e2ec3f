/** @file
 * Replies: the first reply to each recent command, so that a resent command is
 * not applied again. A full table removes its oldest reply.
 */
#ifndef LAURELLIFT_CONTROL_REPLIES_H
#define LAURELLIFT_CONTROL_REPLIES_H

#include <stdbool.h>

#include "control/generated/state.pb-c.h"
#include "wire/generated/wire.pb-c.h"

#define COMMAND_ID_BYTES 16

typedef struct Replies Replies;

/** Creates a table for the newest @p capacity replies. */
Replies *Replies_New(size_t capacity);
void Replies_Free(Replies *replies);

/** Fills @p reply with the stored reply to the id of @p command, or with
 * ERR_INVALID when the id belongs to another kind of command. The strings are
 * valid until the next call of Replies_Add.
 * @return false when no reply to this id is stored. */
bool Replies_Find(const Replies *replies, const Wire__Command *command,
                  Wire__CommandReply *reply);

/** Stores @p reply as the first reply to @p command, without the answer of a
 * finished claim. */
void Replies_Add(Replies *replies, const Wire__Command *command,
                 const Wire__CommandReply *reply);

/** Returns the stored replies, oldest first. The strings stay owned by the
 * table; the caller frees each record and the array with g_free. */
State__Reply **Replies_Save(const Replies *replies, size_t *count);

/** Adds a reply read from a snapshot. */
void Replies_Load(Replies *replies, const State__Reply *record);

#endif
