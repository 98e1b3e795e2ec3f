/** @file
 * Crash news: crashes and acquittals in the wire form that gateways and
 * control hosts exchange.
 */
#ifndef LAURELLIFT_ROUTES_CRASH_NEWS_H
#define LAURELLIFT_ROUTES_CRASH_NEWS_H

#include <glib.h>

#include "sched/crash_table.h"
#include "wire/generated/wire.pb-c.h"

/** Maximum number of crashes, and of acquittals of either kind, in one
 * message.
 */
#define CRASH_NEWS_MAX 4096

/** A message that is being filled. */
typedef struct CrashNews CrashNews;

CrashNews *CrashNews_New(TimeUs now);
void CrashNews_Free(CrashNews *news);

/** Adds a crash, unless the message has CRASH_NEWS_MAX of them. Its signature
 * fits CrashTable_ForEach(). @param news  a CrashNews. */
void CrashNews_AddCrash(void *news, const Crash *crash);

/** Adds an acquittal, unless the message has CRASH_NEWS_MAX of them. */
void CrashNews_AddAcquittal(CrashNews *news, Subject subject);

bool CrashNews_IsEmpty(const CrashNews *news);

/** Returns the message, valid until the next call of this package. */
Wire__CrashNews *CrashNews_Message(CrashNews *news);

/** Returns the message in a frame, valid as long as the message. */
const Wire__Frame *CrashNews_Frame(CrashNews *news);

/** Reads a received crash. */
Crash CrashNews_ReadCrash(const Wire__CrashRecord *record, TimeUs now);

/** Counts a crash as CrashTable_AddCrash() does, and logs when the table is
 * full and forgets subjects. */
bool CrashNews_CountCrash(CrashTable *table, const Crash *crash, TimeUs now);

/** Visits the acquittals of a received message. */
void CrashNews_ForEachAcquittal(const Wire__CrashNews *news,
                                void (*visit)(void *arg, Subject subject),
                                void *arg);

#endif
