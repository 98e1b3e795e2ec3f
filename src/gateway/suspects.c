/** @file
 * Gateway: subjects under which endpoints ended. The gateway counts the ends
 * that it sees, reports them to all control hosts, and receives the crashes
 * that the others count.
 */
#include "gateway/state.h"
#include "kernel/counter.h"
#include "kernel/log.h"
#include "routes/crash_news.h"
#include "sched/crash_table.h"

struct Suspects {
    Gateway *gateway;
    CrashTable *table;
};

Suspects *
Suspects_New(Gateway *gateway)
{
    Suspects *suspects = g_new0(Suspects, 1);
    suspects->gateway = gateway;
    suspects->table = CrashTable_New();
    return suspects;
}

void
Suspects_Free(Suspects *suspects)
{
    CrashTable_Free(suspects->table);
    g_free(suspects);
}

/* Counts a crash.
 * @param seen_by  "own" or "others".
 * @return true when it is new. */
static bool
add_crash(const Suspects *suspects, const Crash *crash, const char *seen_by)
{
    TimeUs now = Clock_Now();
    if (!CrashNews_CountCrash(suspects->table, crash, now)) {
        return false;
    }
    LOG_INFO(GATEWAY_PART,
             "Crash counted. subject=%016llx kind=%s incarnation=%016llx "
             "seen_by=%s crashes=%u barred=%s",
             (unsigned long long)crash->subject.hash,
             Subject_KindName(crash->subject),
             (unsigned long long)crash->incarnation, seen_by,
             CrashTable_CrashCount(suspects->table, crash->subject),
             CrashTable_IsBarred(suspects->table, crash->subject, now) ? "yes"
                                                                       : "no");
    Counter_Add(Counter_Get("gateway_crashes_counted_total",
                            "Crashes counted against a request or a part of a "
                            "prompt."),
                1);
    return true;
}

/* An end of an endpoint that is being counted. */
typedef struct CountedEnd {
    Suspects *suspects;
    uint64_t incarnation;
    CrashNews *news;
} CountedEnd;

static void
add_crashes_of_run(void *arg, const EndedRun *run)
{
    const CountedEnd *end = arg;
    for (uint32_t i = 0; i < subject_count(&run->subjects); i++) {
        Crash crash = {
            .subject = subject_at(&run->subjects, i),
            .incarnation = end->incarnation,
            .at = Clock_Now(),
            .own = true,
        };
        if (add_crash(end->suspects, &crash, "own")) {
            CrashNews_AddCrash(end->news, &crash);
        }
    }
}

size_t
Suspects_AddCrashes(Suspects *suspects, RunHistory *history, unsigned ends,
                    uint64_t incarnation)
{
    CountedEnd end = {
        .suspects = suspects,
        .incarnation = incarnation,
        .news = CrashNews_New(Clock_Now()),
    };
    size_t count = RunHistory_Take(history, ends, add_crashes_of_run, &end);
    if (!CrashNews_IsEmpty(end.news)) {
        GatewayControl_SendAll(suspects->gateway->control,
                               CrashNews_Frame(end.news));
        Gateway_FailBarred(suspects->gateway);
    }
    CrashNews_Free(end.news);
    return count;
}

static void
log_acquittal(Subject subject)
{
    LOG_INFO(GATEWAY_PART, "Subject acquitted. subject=%016llx kind=%s",
             (unsigned long long)subject.hash, Subject_KindName(subject));
}

void
Suspects_OnSurvived(Suspects *suspects, const Subjects *subjects)
{
    CrashNews *news = NULL; /* most survived subjects have no crashes */
    for (uint32_t i = 0; i < subject_count(subjects); i++) {
        Subject subject = subject_at(subjects, i);
        if (!CrashTable_Acquit(suspects->table, subject, Clock_Now())) {
            continue;
        }
        log_acquittal(subject);
        news = news == NULL ? CrashNews_New(Clock_Now()) : news;
        CrashNews_AddAcquittal(news, subject);
    }
    if (news != NULL) {
        GatewayControl_SendAll(suspects->gateway->control,
                               CrashNews_Frame(news));
        CrashNews_Free(news);
    }
}

static void
on_acquittal(void *arg, Subject subject)
{
    const Suspects *suspects = arg;
    CrashTable_Acquit(suspects->table, subject, Clock_Now());
}

void
Suspects_OnNews(Suspects *suspects, const Wire__CrashNews *news)
{
    TimeUs now = Clock_Now();
    CrashNews *reply = CrashNews_New(now);
    uint64_t answered = 0; /* subject of the last acquittal added */
    CrashNews_ForEachAcquittal(news, on_acquittal, suspects);
    for (size_t i = 0; i < news->n_crashes; i++) {
        Crash crash = CrashNews_ReadCrash(news->crashes[i], now);
        if (!add_crash(suspects, &crash, "others") &&
            crash.subject.hash != answered &&
            CrashTable_IsAcquitted(suspects->table, crash.subject, now))
        {
            /* Endpoints that this gateway uses survive the subject. */
            answered = crash.subject.hash;
            log_acquittal(crash.subject);
            CrashNews_AddAcquittal(reply, crash.subject);
        }
    }
    if (!CrashNews_IsEmpty(reply)) {
        GatewayControl_SendAll(suspects->gateway->control,
                               CrashNews_Frame(reply));
    }
    CrashNews_Free(reply);
    Gateway_FailBarred(suspects->gateway);
}

void
Suspects_SendAll(const Suspects *suspects, Link *link)
{
    CrashNews *news = CrashNews_New(Clock_Now());
    CrashTable_ForEach(suspects->table, CrashNews_AddCrash, news);
    if (!CrashNews_IsEmpty(news)) {
        Link_Send(link, CrashNews_Frame(news));
    }
    CrashNews_Free(news);
}

unsigned
Suspects_CrashCount(const Suspects *suspects, Subject subject)
{
    return CrashTable_CrashCount(suspects->table, subject);
}

/* Returns whether requests with the subject may be sent. */
static bool
may_send(const Suspects *suspects, Subject subject)
{
    TimeUs now = Clock_Now();
    return !CrashTable_IsBarred(suspects->table, subject, now) ||
           CrashTable_MayTry(suspects->table, subject, now, false);
}

bool
Suspects_FindBarred(const Suspects *suspects, Call *call, Subject *barred)
{
    if (!CrashTable_HasAny(suspects->table)) {
        return false;
    }
    Call_Fingerprint(call);
    for (uint32_t i = 0; i < subject_count(&call->subjects); i++) {
        *barred = subject_at(&call->subjects, i);
        if (!may_send(suspects, *barred)) {
            return true;
        }
    }
    return false;
}

void
Suspects_OnSend(const Suspects *suspects, const Call *call)
{
    if (!CrashTable_HasAny(suspects->table)) {
        return;
    }
    TimeUs now = Clock_Now();
    for (uint32_t i = 0; i < subject_count(&call->subjects); i++) {
        Subject subject = subject_at(&call->subjects, i);
        if (CrashTable_IsBarred(suspects->table, subject, now) &&
            CrashTable_MayTry(suspects->table, subject, now, true))
        {
            LOG_INFO(GATEWAY_PART,
                     "Barred request is tried once more. id=%s "
                     "subject=%016llx kind=%s",
                     call->id, (unsigned long long)subject.hash,
                     Subject_KindName(subject));
        }
    }
}
