/** @file
 * Parts of prompts that crashed endpoints.
 */
#include "control/part_suspects.h"

#include "sched/crash_table.h"

/* A part with fewer crashes is not listed: most parts belong to requests that
 * ran beside one crash only. */
#define LISTED_CRASHES_MIN 2

struct PartSuspects {
    CrashTable *table;
    size_t barred; /* number of quarantined parts at the newest command */
};

PartSuspects *
PartSuspects_New(void)
{
    PartSuspects *suspects = g_new0(PartSuspects, 1);
    suspects->table = CrashTable_New();
    return suspects;
}

void
PartSuspects_Free(PartSuspects *suspects)
{
    CrashTable_Free(suspects->table);
    g_free(suspects);
}

static TimeUs
time_from_ms(uint64_t ms)
{
    return (TimeUs)ms * US_PER_MS;
}

static Subject
part_subject(uint64_t hash)
{
    return (Subject){.hash = hash, .is_part = true};
}

size_t
PartSuspects_Count(const PartSuspects *suspects)
{
    return CrashTable_Count(suspects->table, false) +
           CrashTable_Count(suspects->table, true);
}

/* ---- List ---- */

/* A list that is being filled; crashes of one part follow each other. */
typedef struct PartList {
    CrashTable *table;
    TimeUs now;
    GPtrArray *entries;
    uint64_t last; /* part of the newest entry */
    size_t barred;
} PartList;

static void
list_part(void *arg, const Crash *crash)
{
    PartList *list = arg;
    unsigned count = CrashTable_CrashCount(list->table, crash->subject);
    if (crash->subject.hash == list->last || count < LISTED_CRASHES_MIN) {
        return;
    }
    list->last = crash->subject.hash;
    bool barred = CrashTable_IsBarred(list->table, crash->subject, list->now);
    list->barred += barred ? 1 : 0;
    if (list->entries == NULL) {
        return;
    }
    Wire__QuarantineEntry *entry = g_new(Wire__QuarantineEntry, 1);
    wire__quarantine_entry__init(entry);
    entry->fingerprint = crash->subject.hash;
    entry->crashes = count;
    entry->quarantined = barred;
    entry->reason = "part of a prompt";
    entry->is_part = true;
    g_ptr_array_add(list->entries, entry);
}

void
PartSuspects_List(PartSuspects *suspects, uint64_t clock_ms,
                  GPtrArray *entries)
{
    PartList list = {
        .table = suspects->table,
        .now = time_from_ms(clock_ms),
        .entries = entries,
    };
    CrashTable_ForEach(suspects->table, list_part, &list);
}

/* ---- Changes ---- */

static size_t
count_barred(const PartSuspects *suspects, TimeUs now)
{
    PartList list = {.table = suspects->table, .now = now};
    if (CrashTable_Count(suspects->table, true) > 0) {
        CrashTable_ForEach(suspects->table, list_part, &list);
    }
    return list.barred;
}

bool
PartSuspects_RecordCrash(PartSuspects *suspects, const uint64_t *parts,
                         size_t count, uint64_t incarnation, uint64_t clock_ms)
{
    bool changed = false;
    TimeUs now = time_from_ms(clock_ms);
    for (size_t i = 0; i < count; i++) {
        Crash crash = {
            .subject = part_subject(parts[i]),
            .incarnation = incarnation,
            .at = now,
        };
        changed = CrashTable_AddCrash(suspects->table, &crash, now) || changed;
    }
    suspects->barred = count_barred(suspects, now);
    return changed;
}

size_t
PartSuspects_Acquit(PartSuspects *suspects, const uint64_t *parts,
                    size_t count, uint64_t clock_ms)
{
    size_t acquitted = 0;
    TimeUs now = time_from_ms(clock_ms);
    for (size_t i = 0; i < count; i++) {
        acquitted +=
            CrashTable_Acquit(suspects->table, part_subject(parts[i]), now)
                ? 1
                : 0;
    }
    suspects->barred = count_barred(suspects, now);
    return acquitted;
}

bool
PartSuspects_Expire(PartSuspects *suspects, uint64_t clock_ms)
{
    size_t barred = count_barred(suspects, time_from_ms(clock_ms));
    bool changed = barred != suspects->barred;
    suspects->barred = barred;
    return changed;
}

/* ---- Snapshots ---- */

/* Arrays of records of a snapshot that is being saved. */
typedef struct PartRecords {
    GPtrArray *crashes;
    GPtrArray *acquittals;
    GPtrArray *ends;
} PartRecords;

static void
save_crash(void *arg, const Crash *crash)
{
    const PartRecords *records = arg;
    State__PartCrash *record = g_new(State__PartCrash, 1);
    state__part_crash__init(record);
    record->part = crash->subject.hash;
    record->incarnation = crash->incarnation;
    record->at_ms = (uint64_t)(crash->at / US_PER_MS);
    g_ptr_array_add(records->crashes, record);
}

static void
save_acquittal(void *arg, Subject subject, TimeUs at)
{
    const PartRecords *records = arg;
    State__PartAcquittal *record = g_new(State__PartAcquittal, 1);
    state__part_acquittal__init(record);
    record->part = subject.hash;
    record->at_ms = (uint64_t)(at / US_PER_MS);
    g_ptr_array_add(records->acquittals, record);
}

static void
save_end(void *arg, uint64_t incarnation, TimeUs at)
{
    const PartRecords *records = arg;
    State__EndpointEnd *record = g_new(State__EndpointEnd, 1);
    state__endpoint_end__init(record);
    record->incarnation = incarnation;
    record->at_ms = (uint64_t)(at / US_PER_MS);
    g_ptr_array_add(records->ends, record);
}

void
PartSuspects_Save(const PartSuspects *suspects, uint64_t clock_ms,
                  State__Snapshot *snapshot)
{
    static const CrashTableVisitor visitor = {
        .crash = save_crash,
        .acquittal = save_acquittal,
        .end = save_end,
    };
    PartRecords records = {
        .crashes = g_ptr_array_new(),
        .acquittals = g_ptr_array_new(),
        .ends = g_ptr_array_new(),
    };
    CrashTable_Save(suspects->table, time_from_ms(clock_ms), &visitor,
                    &records);
    snapshot->n_part_crashes = records.crashes->len;
    snapshot->n_part_acquittals = records.acquittals->len;
    snapshot->n_endpoint_ends = records.ends->len;
    snapshot->part_crashes =
        (State__PartCrash **)g_ptr_array_free(records.crashes, FALSE);
    snapshot->part_acquittals =
        (State__PartAcquittal **)g_ptr_array_free(records.acquittals, FALSE);
    snapshot->endpoint_ends =
        (State__EndpointEnd **)g_ptr_array_free(records.ends, FALSE);
}

void
PartSuspects_Load(PartSuspects *suspects, const State__Snapshot *snapshot)
{
    for (size_t i = 0; i < snapshot->n_endpoint_ends; i++) {
        const State__EndpointEnd *record = snapshot->endpoint_ends[i];
        CrashTable_RestoreEnd(suspects->table, record->incarnation,
                              time_from_ms(record->at_ms));
    }
    for (size_t i = 0; i < snapshot->n_part_crashes; i++) {
        const State__PartCrash *record = snapshot->part_crashes[i];
        Crash crash = {
            .subject = part_subject(record->part),
            .incarnation = record->incarnation,
            .at = time_from_ms(record->at_ms),
        };
        CrashTable_AddCrash(suspects->table, &crash, crash.at);
    }
    for (size_t i = 0; i < snapshot->n_part_acquittals; i++) {
        const State__PartAcquittal *record = snapshot->part_acquittals[i];
        CrashTable_RestoreAcquittal(suspects->table,
                                    part_subject(record->part),
                                    time_from_ms(record->at_ms));
    }
    suspects->barred =
        count_barred(suspects, time_from_ms(snapshot->clock_ms));
}
