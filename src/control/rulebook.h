/** @file
 * Rule book: the rules in force, the history of their changes, and recent rule
 * texts, which are the bases of deltas. Pure.
 */
#ifndef LAURELLIFT_CONTROL_RULEBOOK_H
#define LAURELLIFT_CONTROL_RULEBOOK_H

#include <stdint.h>

#include "control/generated/state.pb-c.h"
#include "wire/generated/wire.pb-c.h"

/** Maximum number of changes in the history. */
#define RULEBOOK_HISTORY_MAX 256
/** Limits on the stored texts older than the one in force: their number and
 * their total size. */
#define RULEBOOK_TEXTS_MAX 16
#define RULEBOOK_TEXTS_MAX_BYTES (16u * 1024 * 1024)
#define RULEBOOK_AUTHOR_MAX_BYTES 64

typedef struct Rulebook Rulebook;

/** One accepted change. */
typedef struct RulebookChange {
    uint64_t version;
    char author[RULEBOOK_AUTHOR_MAX_BYTES + 1];
    uint64_t wall_ms; /**< Leader's wall clock, ms since 1970. */
    uint64_t bytes;   /**< Length of the rule text. */
} RulebookChange;

Rulebook *Rulebook_New(void);
void Rulebook_Free(Rulebook *book);

/** Applies COMMAND_APPLY_RULES at log index @p index. The reply's text is
 * valid until the next call. */
void Rulebook_Apply(Rulebook *book, uint64_t index,
                    const Wire__Command *command, Wire__CommandReply *reply);

/** Version in force; 0 before the first change. */
uint64_t Rulebook_Version(const Rulebook *book);

/** Text in force; empty before the first change. */
const char *Rulebook_Text(const Rulebook *book);

/** Text of @p version, or NULL when it is not stored. */
const char *Rulebook_FindText(const Rulebook *book, uint64_t version);

/** Number of changes in the history. */
size_t Rulebook_HistoryCount(const Rulebook *book);
/** Change at @p position of the history; 0 is the oldest. */
const RulebookChange *Rulebook_ChangeAt(const Rulebook *book, size_t position);

/** Replaces the text of an APPLY_RULES command with a delta against the rules
 * in force, if they are the command's base version. The delta points into the
 * original text, which must outlive the command.
 * @param delta  storage for the delta; must outlive the command. */
void Rulebook_MakeDelta(const Rulebook *book, Wire__Command *command,
                        Wire__RulesDelta *delta);

/** Adds history and texts to a snapshot. The strings stay owned by the rule
 * book; the caller frees the records and arrays with g_free. */
void Rulebook_Save(const Rulebook *book, State__Snapshot *snapshot);

/** Loads the rules of a snapshot into an empty rule book.
 * @return ERR_CORRUPT when the versions of the texts do not increase. */
int Rulebook_Load(Rulebook *book, const State__Snapshot *snapshot);

#endif
