/** @file
 * Crash news.
 */
#include "routes/crash_news.h"

#include "kernel/log.h"

#define PART "crashes"
/* One record for so many forgotten subjects. */
#define DISPLACED_LOG_STEP 256

struct CrashNews {
    TimeUs now;
    GPtrArray *records; /* Wire__CrashRecord */
    GArray *acquitted;  /* hashes of requests, uint64_t */
    GArray *acquitted_parts;
    size_t dropped; /* crashes and acquittals beyond CRASH_NEWS_MAX */
    Wire__CrashNews message;
    Wire__Frame frame;
};

CrashNews *
CrashNews_New(TimeUs now)
{
    CrashNews *news = g_new0(CrashNews, 1);
    news->now = now;
    news->records = g_ptr_array_new_with_free_func(g_free);
    news->acquitted = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    news->acquitted_parts = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    return news;
}

void
CrashNews_Free(CrashNews *news)
{
    g_ptr_array_unref(news->records);
    g_array_unref(news->acquitted);
    g_array_unref(news->acquitted_parts);
    g_free(news);
}

void
CrashNews_AddCrash(void *arg, const Crash *crash)
{
    CrashNews *news = arg;
    if (news->records->len == CRASH_NEWS_MAX) {
        news->dropped++;
        return;
    }
    Wire__CrashRecord *record = g_new(Wire__CrashRecord, 1);
    wire__crash_record__init(record);
    record->subject = crash->subject.hash;
    record->is_part = crash->subject.is_part;
    record->incarnation = crash->incarnation;
    record->age_s = (uint32_t)(MAX(news->now - crash->at, 0) / US_PER_S);
    g_ptr_array_add(news->records, record);
}

void
CrashNews_AddAcquittal(CrashNews *news, Subject subject)
{
    GArray *list = subject.is_part ? news->acquitted_parts : news->acquitted;
    if (list->len == CRASH_NEWS_MAX) {
        news->dropped++;
        return;
    }
    g_array_append_val(list, subject.hash);
}

bool
CrashNews_IsEmpty(const CrashNews *news)
{
    return news->records->len == 0 && news->acquitted->len == 0 &&
           news->acquitted_parts->len == 0;
}

Wire__CrashNews *
CrashNews_Message(CrashNews *news)
{
    if (news->dropped > 0) {
        LOG_WARN(PART, "Crash news are cut. dropped=%zu", news->dropped);
    }
    wire__crash_news__init(&news->message);
    news->message.n_crashes = news->records->len;
    news->message.crashes = (Wire__CrashRecord **)news->records->pdata;
    news->message.n_acquitted = news->acquitted->len;
    news->message.acquitted = (uint64_t *)(void *)news->acquitted->data;
    news->message.n_acquitted_parts = news->acquitted_parts->len;
    news->message.acquitted_parts =
        (uint64_t *)(void *)news->acquitted_parts->data;
    return &news->message;
}

const Wire__Frame *
CrashNews_Frame(CrashNews *news)
{
    wire__frame__init(&news->frame);
    news->frame.body_case = WIRE__FRAME__BODY_CRASH_NEWS;
    news->frame.crash_news = CrashNews_Message(news);
    return &news->frame;
}

Crash
CrashNews_ReadCrash(const Wire__CrashRecord *record, TimeUs now)
{
    return (Crash){
        .subject = {.hash = record->subject, .is_part = record->is_part},
        .incarnation = record->incarnation,
        .at = now - (TimeUs)record->age_s * US_PER_S,
    };
}

bool
CrashNews_CountCrash(CrashTable *table, const Crash *crash, TimeUs now)
{
    uint64_t before = CrashTable_Displaced(table);
    bool counted = CrashTable_AddCrash(table, crash, now);
    uint64_t displaced = CrashTable_Displaced(table);
    if (displaced / DISPLACED_LOG_STEP != before / DISPLACED_LOG_STEP ||
        (before == 0 && displaced > 0))
    {
        LOG_WARN(PART,
                 "Crash table is full and forgets the oldest. forgotten=%llu",
                 (unsigned long long)displaced);
    }
    return counted;
}

void
CrashNews_ForEachAcquittal(const Wire__CrashNews *news,
                           void (*visit)(void *arg, Subject subject),
                           void *arg)
{
    for (size_t i = 0; i < news->n_acquitted; i++) {
        visit(arg, (Subject){.hash = news->acquitted[i]});
    }
    for (size_t i = 0; i < news->n_acquitted_parts; i++) {
        visit(arg,
              (Subject){.hash = news->acquitted_parts[i], .is_part = true});
    }
}
