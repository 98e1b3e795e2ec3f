/** @file
 * Fleet task: the crash table of a control host. Gateways report crashes to
 * every control host; each passes new ones on to all gateways, and keeps its
 * table in a state file. No agreement is needed, since tables with
 * the same crashes are equal whatever their order.
 */
#include "fleet/state.h"
#include "kernel/counter.h"
#include "kernel/log.h"
#include "routes/crash_news.h"

/* Delay that combines several changes of the table into one save. */
#define SAVE_DELAY_MS 100

static void
update_gauges(const Fleet *fleet)
{
    Counter_Set(Counter_Get("fleet_suspects",
                            "Requests and parts of prompts with crashes."),
                (int64_t)(CrashTable_Count(fleet->crashes, false) +
                          CrashTable_Count(fleet->crashes, true)));
    Counter_Set(Counter_Get("fleet_barred",
                            "Those with so many crashes that they may be "
                            "barred."),
                (int64_t)CrashTable_Count(fleet->crashes, true));
    Counter_Set(Counter_Get("fleet_suspects_displaced",
                            "Those forgotten because there are too many."),
                (int64_t)CrashTable_Displaced(fleet->crashes));
}

static void
schedule_save(Fleet *fleet)
{
    update_gauges(fleet);
    if (!event_pending(fleet->crash_save_event, EV_TIMEOUT, NULL)) {
        struct timeval delay = {.tv_usec = SAVE_DELAY_MS * US_PER_MS};
        event_add(fleet->crash_save_event, &delay);
    }
}

/* Adds a reported crash, and to @p changes too if it is new. */
static void
add_crash(Fleet *fleet, const Crash *crash, CrashNews *changes, TimeUs now)
{
    if (!CrashNews_CountCrash(fleet->crashes, crash, now)) {
        return;
    }
    LOG_INFO(FLEET_PART,
             "Crash counted. subject=%016llx kind=%s incarnation=%016llx "
             "crashes=%u barred=%s",
             (unsigned long long)crash->subject.hash,
             Subject_KindName(crash->subject),
             (unsigned long long)crash->incarnation,
             CrashTable_CrashCount(fleet->crashes, crash->subject),
             CrashTable_IsBarred(fleet->crashes, crash->subject, now) ? "yes"
                                                                      : "no");
    CrashNews_AddCrash(changes, crash);
}

/* Changes of the table that are being sent to the gateways. */
typedef struct Changes {
    Fleet *fleet;
    CrashNews *news;
    TimeUs now;
} Changes;

static void
on_acquittal(void *arg, Subject subject)
{
    const Changes *changes = arg;
    if (CrashTable_Acquit(changes->fleet->crashes, subject, changes->now)) {
        LOG_INFO(FLEET_PART, "Subject acquitted. subject=%016llx kind=%s",
                 (unsigned long long)subject.hash, Subject_KindName(subject));
        CrashNews_AddAcquittal(changes->news, subject);
    }
}

void
FleetCrashes_OnNews(Fleet *fleet, const Wire__CrashNews *news)
{
    TimeUs now = Clock_Now();
    Changes changes = {
        .fleet = fleet,
        .news = CrashNews_New(now),
        .now = now,
    };
    for (size_t i = 0; i < news->n_crashes; i++) {
        Crash crash = CrashNews_ReadCrash(news->crashes[i], now);
        add_crash(fleet, &crash, changes.news, now);
    }
    CrashNews_ForEachAcquittal(news, on_acquittal, &changes);
    if (!CrashNews_IsEmpty(changes.news)) {
        FleetGateways_Broadcast(fleet, CrashNews_Frame(changes.news));
        schedule_save(fleet);
    }
    CrashNews_Free(changes.news);
}

void
FleetCrashes_SendAll(const Fleet *fleet, Link *link)
{
    CrashNews *news = CrashNews_New(Clock_Now());
    CrashTable_ForEach(fleet->crashes, CrashNews_AddCrash, news);
    if (!CrashNews_IsEmpty(news)) {
        Link_Send(link, CrashNews_Frame(news));
    }
    CrashNews_Free(news);
}

void
FleetCrashes_OnSave(evutil_socket_t fd, short events, void *arg)
{
    const Fleet *fleet = arg;
    CrashNews *news = CrashNews_New(Clock_Now());
    CrashTable_ForEach(fleet->crashes, CrashNews_AddCrash, news);
    Wire__CrashNews *message = CrashNews_Message(news);
    message->saved_at_ms = (uint64_t)Clock_WallMs();
    size_t size = wire__crash_news__get_packed_size(message);
    uint8_t *bytes = g_malloc(size);
    wire__crash_news__pack(message, bytes);
    CrashNews_Free(news);
    StateFile_Save(fleet->crash_file, g_bytes_new_take(bytes, size));
}

void
FleetCrashes_Load(Fleet *fleet)
{
    GBytes *content = StateFile_Load(fleet->crash_file);
    if (content == NULL) {
        return;
    }
    gsize length;
    const uint8_t *bytes = g_bytes_get_data(content, &length);
    Wire__CrashNews *news = wire__crash_news__unpack(NULL, length, bytes);
    g_bytes_unref(content);
    if (news == NULL) {
        LOG_WARN(FLEET_PART, "File with crashes is malformed and ignored.");
        return;
    }
    TimeUs now = Clock_Now();
    int64_t age_ms = Clock_WallMs() - (int64_t)news->saved_at_ms;
    for (size_t i = 0; i < news->n_crashes; i++) {
        Crash crash = CrashNews_ReadCrash(news->crashes[i], now);
        crash.at -= MAX(age_ms, 0) * US_PER_MS;
        CrashTable_AddCrash(fleet->crashes, &crash, now);
    }
    LOG_INFO(FLEET_PART, "Crashes loaded. few=%zu many=%zu",
             CrashTable_Count(fleet->crashes, false),
             CrashTable_Count(fleet->crashes, true));
    update_gauges(fleet);
    wire__crash_news__free_unpacked(news, NULL);
}
