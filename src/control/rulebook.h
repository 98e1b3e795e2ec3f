/** @file
 * Rule book: the rules in force, their history, and the recent texts that
 * deltas are made against. Pure.
 */
#ifndef LAURELLIFT_CONTROL_RULEBOOK_H
#define LAURELLIFT_CONTROL_RULEBOOK_H

#include <stdint.h>

#include "control/generated/state.pb-c.h"
#include "wire/generated/wire.pb-c.h"

/** Changes of which author, time and size are kept. */
#define RULEBOOK_HISTORY_MAX 256
/** Older texts kept beside the one in force, in number and bytes. */
#define RULEBOOK_TEXTS_MAX 16
#define RULEBOOK_TEXTS_MAX_BYTES (16u * 1024 * 1024)
#define RULEBOOK_AUTHOR_MAX_BYTES 64

typedef struct Rulebook Rulebook;

/** One accepted change. */
typedef struct RulebookChange {
    uint64_t version;
    char author[RULEBOOK_AUTHOR_MAX_BYTES + 1];
    uint64_t wall_ms; /**< Leader's clock, since 1970. */
    uint64_t bytes;   /**< Length of the whole text. */
} RulebookChange;

Rulebook *Rulebook_New(void);
void Rulebook_Free(Rulebook *book);

/** Applies COMMAND_APPLY_RULES at log index @p index. The reply's text lives
 * until the next call. */
void Rulebook_Apply(Rulebook *book, uint64_t index,
                    const Wire__Command *command, Wire__CommandReply *reply);

/** Version in force; 0 before the first change. */
uint64_t Rulebook_Version(const Rulebook *book);

/** Text in force; empty before the first change. */
const char *Rulebook_Text(const Rulebook *book);

/** Text of a version that is still kept, or NULL. */
const char *Rulebook_TextOf(const Rulebook *book, uint64_t version);

/** Number of changes kept, and the one at @p position, oldest first. */
size_t Rulebook_HistoryCount(const Rulebook *book);
const RulebookChange *Rulebook_ChangeAt(const Rulebook *book, size_t position);

/** Replaces the text of an APPLY_RULES command by a delta against the rules
 * in force, when the command is based on them. The delta points into the
 * command's text, whose owner keeps it.
 * @param delta  storage for the delta; lives as long as the command. */
void Rulebook_Compress(const Rulebook *book, Wire__Command *command,
                       Wire__RulesDelta *delta);

/** Adds history and texts to a snapshot. The strings stay owned by the book;
 * the caller frees the records and arrays with g_free. */
void Rulebook_Save(const Rulebook *book, State__Snapshot *snapshot);

/** Fills an empty book. ERR_CORRUPT when the snapshot makes no sense. */
int Rulebook_Load(Rulebook *book, const State__Snapshot *snapshot);

#endif
