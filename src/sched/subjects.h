/** @file
 * Subjects: what the end of an endpoint may be blamed on. A request has one
 * subject for itself and one for each part of its prompt that other requests
 * may share. Has no I/O and reads no clock.
 */
#ifndef LAURELLIFT_SCHED_SUBJECTS_H
#define LAURELLIFT_SCHED_SUBJECTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Maximum number of parts stored for one request. Of a longer prompt the
 * first and the last half of this number are stored. */
#define SUBJECT_PARTS_MAX 16

/** Bytes that hold the text of Subjects_PrintParts(). */
#define SUBJECTS_TEXT_BYTES (SUBJECT_PARTS_MAX * 17 + 1)

/** One subject. */
typedef struct Subject {
    uint64_t hash;
    bool is_part; /**< A part of a prompt, not a whole request. */
} Subject;

/** The subjects of one request. */
typedef struct Subjects {
    uint64_t request; /**< Hash of the whole request; 0 if unknown. */
    uint32_t part_count;
    uint64_t parts[SUBJECT_PARTS_MAX]; /**< Hashes, in the prompt's order. */
} Subjects;

/** Returns the number of subjects, the whole request included. */
static inline uint32_t
subject_count(const Subjects *subjects)
{
    return subjects->part_count + 1;
}

/** Returns the whole request for index 0, else a part. */
static inline Subject
subject_at(const Subjects *subjects, uint32_t index)
{
    return index == 0 ? (Subject){.hash = subjects->request}
                      : (Subject){.hash = subjects->parts[index - 1],
                                  .is_part = true};
}

/** Returns "part" or "request", for logs. */
const char *Subject_KindName(Subject subject);

/** Appends a part of the prompt. Beyond SUBJECT_PARTS_MAX it replaces one from
 * the middle. The last part of a prompt belongs to its request only and is not
 * added. */
void Subjects_AddPart(Subjects *subjects, const void *id, size_t length);

/** Writes the hashes of the parts, in hexadecimal and separated by commas.
 * @param text  of SUBJECTS_TEXT_BYTES. */
const char *Subjects_PrintParts(const Subjects *subjects, char *text);

#endif
