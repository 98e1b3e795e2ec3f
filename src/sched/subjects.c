/** @file
 * Subjects of a request.
 */
#include "sched/subjects.h"

#include <stdio.h>
#include <string.h>

#include <xxhash.h>

/* Differs from the seeds of whole requests. */
#define PART_SEED 1

const char *
Subject_KindName(Subject subject)
{
    return subject.is_part ? "part" : "request";
}

void
Subjects_AddPart(Subjects *subjects, const void *id, size_t length)
{
    if (subjects->part_count == SUBJECT_PARTS_MAX) {
        uint64_t *oldest_of_last = &subjects->parts[SUBJECT_PARTS_MAX / 2];
        memmove(oldest_of_last, oldest_of_last + 1,
                (SUBJECT_PARTS_MAX / 2 - 1) * sizeof(subjects->parts[0]));
        subjects->part_count--;
    }
    subjects->parts[subjects->part_count++] =
        XXH3_64bits_withSeed(id, length, PART_SEED);
}

const char *
Subjects_PrintParts(const Subjects *subjects, char *text)
{
    char *end = text;
    *end = '\0';
    for (uint32_t i = 0; i < subjects->part_count; i++) {
        end += sprintf(end, "%s%016llx", i == 0 ? "" : ",",
                       (unsigned long long)subjects->parts[i]);
    }
    return text;
}
