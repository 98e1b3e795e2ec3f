/** @file
 * Crash table: subjects under which endpoints ended (subjects.h), and the
 * decision which of them are barred. Pure: the caller passes the time.
 *
 * A crash is one incarnation of an endpoint that ended under a subject. The
 * same crash may be reported several times and counts once, so tables that
 * exchange their crashes in any order agree. A subject that an endpoint
 * survived is acquitted: its crashes so far no longer count, and others are
 * ignored for some time.
 *
 * Requests that ran beside the one that crashes an endpoint are suspected too.
 * A subject is not barred while all its crashes are also those of a part with
 * more of them, or those of a request, if the subject is a part. Otherwise a
 * request is barred after CRASHES_TO_BAR crashes; so is a part if no other
 * part has the same crashes and if it explains at least half of all ends
 * meanwhile, else after CRASHES_TO_BAR_IN_DOUBT.
 */
#ifndef LAURELLIFT_SCHED_CRASH_TABLE_H
#define LAURELLIFT_SCHED_CRASH_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kernel/clock.h"
#include "sched/subjects.h"

/** Crashes after which a subject is barred. */
#define CRASHES_TO_BAR 3
/** The same for a part of a prompt that is not the only explanation. */
#define CRASHES_TO_BAR_IN_DOUBT 5
/** Time from the newest crash for which a subject is barred. It doubles with
 * each further crash, up to CRASHES_BAR_MAX_US. */
#define CRASHES_BAR_FIRST_US (3600 * US_PER_S)
#define CRASHES_BAR_MAX_US (24 * CRASHES_BAR_FIRST_US)
/** Time from the newest crash after which one host may send a request with a
 * barred subject once more, so that a subject that is barred by mistake can be
 * acquitted. */
#define CRASHES_TRIAL_DELAY_US (60 * US_PER_S)
/** The same for a part of a prompt that was barred in doubt. */
#define CRASHES_TRIAL_DELAY_IN_DOUBT_US (5 * US_PER_S)
/** Time from the newest crash after which a subject that is not barred is
 * forgotten. */
#define CRASHES_WINDOW_US (3600 * US_PER_S)
/** Time from an acquittal for which crashes are ignored. It is shorter for a
 * part of a prompt: while others share it, endpoints go on surviving it. */
#define CRASHES_ACQUITTAL_US (60 * US_PER_S)
#define CRASHES_PART_ACQUITTAL_US (10 * US_PER_S)
/** Maximum number of subjects with fewer than CRASHES_TO_BAR crashes and,
 * separately, of the others. Beyond it the one with the oldest newest crash is
 * removed. */
#define CRASHES_MAX 4096
/** Newest crashes stored for each subject. */
#define CRASHES_STORED_MAX 8

/** An endpoint that ended under a subject. */
typedef struct Crash {
    Subject subject;
    uint64_t incarnation; /**< CrashTable_Incarnation() of the endpoint. */
    TimeUs at; /**< When it was detected, by this process's clock. */
    bool own;  /**< This host detected it. */
} Crash;

typedef struct CrashTable CrashTable;

CrashTable *CrashTable_New(void);
void CrashTable_Free(CrashTable *table);

/** Returns the hash of an endpoint's id and start time. */
uint64_t CrashTable_Incarnation(const char *endpoint_id, uint64_t born);

/** Counts a crash, unless it is known or the subject is acquitted.
 * @return true when it was counted. */
bool CrashTable_AddCrash(CrashTable *table, const Crash *crash, TimeUs now);

/** Records that an endpoint survived the subject.
 * @return true when crashes of the subject were removed. */
bool CrashTable_Acquit(CrashTable *table, Subject subject, TimeUs now);

bool CrashTable_IsAcquitted(const CrashTable *table, Subject subject,
                            TimeUs now);

/** Returns the number of crashes counted for the subject, CRASHES_STORED_MAX
 * at most. */
unsigned CrashTable_CrashCount(const CrashTable *table, Subject subject);

/** Returns whether requests with the subject may not be sent to endpoints. */
bool CrashTable_IsBarred(CrashTable *table, Subject subject, TimeUs now);

/** Returns whether a request with a barred subject may be sent once: this host
 * detected the newest crash, some time has passed, and it has not sent one
 * since. A whole request is tried only after its third crash.
 * @param take  records that the request is sent. */
bool CrashTable_MayTry(CrashTable *table, Subject subject, TimeUs now,
                       bool take);

/** Returns whether the table has any subject with crashes. */
bool CrashTable_HasAny(const CrashTable *table);

/** Number of subjects with fewer than CRASHES_TO_BAR crashes, or with that
 * many if @p many is set. */
size_t CrashTable_Count(const CrashTable *table, bool many);

/** Returns the number of subjects that were removed because the table was
 * full. */
uint64_t CrashTable_Displaced(const CrashTable *table);

/** Visits the stored crashes of all subjects, those of subjects with
 * CRASHES_TO_BAR or more first, and the newest first. */
void CrashTable_ForEach(const CrashTable *table,
                        void (*visit)(void *arg, const Crash *crash),
                        void *arg);

/** Receives the content of a table. */
typedef struct CrashTableVisitor {
    void (*crash)(void *arg, const Crash *crash);
    void (*acquittal)(void *arg, Subject subject, TimeUs at);
    void (*end)(void *arg, uint64_t incarnation, TimeUs at);
} CrashTableVisitor;

/** Visits the crashes, then the acquittals of parts in force, then the ends of
 * endpoints, in the order in which they are to be restored: ends first, then
 * crashes with CrashTable_AddCrash(), then acquittals. */
void CrashTable_Save(const CrashTable *table, TimeUs now,
                     const CrashTableVisitor *visitor, void *arg);
void CrashTable_RestoreAcquittal(CrashTable *table, Subject subject,
                                 TimeUs at);
void CrashTable_RestoreEnd(CrashTable *table, uint64_t incarnation, TimeUs at);

#endif
