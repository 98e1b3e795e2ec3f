/** @file
 * Fleet task: orders of roll-outs and their replicated records. Each change of
 * a record is a command that names the revision that it replaces.
 */
#include "fleet/rollouts.h"

#include <string.h>

#include <sodium.h>

#include "fleet/rollout_log.h"
#include "kernel/counter.h"
#include "kernel/log.h"

#define PART FLEET_PART
/* Most services with a roll-out. Orders are accepted only for services of the
 * configuration, so that the number is reached only if these keep changing. */
#define SERVICES_MAX 256

FleetRollouts *
FleetRollouts_New(const FleetRolloutBounds *bounds)
{
    FleetRollouts *rollouts = g_new0(FleetRollouts, 1);
    rollouts->bounds = *bounds;
    rollouts->table = RolloutTable_New();
    rollouts->runs = RolloutRuns_New();
    return rollouts;
}

void
FleetRollouts_Free(FleetRollouts *rollouts)
{
    g_hash_table_destroy(rollouts->runs);
    RolloutTable_Free(rollouts->table);
    g_free(rollouts);
}

const RolloutTable *
FleetRollouts_Table(const Fleet *fleet)
{
    return fleet->rollouts->table;
}

bool
Fleet_HasRollouts(const Fleet *fleet)
{
    return fleet->rollouts->bounds.exposure_share > 0;
}

/* ---- Changes ---- */

/* Returns whether an order for the target is a repetition of the one that
 * began the roll-out: it is in progress or completed, or was reverted before
 * its deadline, when the reply to the order may have been lost. */
static bool
is_repetition(const Rollout *rollout, const char *target)
{
    if (strcmp(rollout->target, target) != 0) {
        return false;
    }
    return rollout->state != WIRE__ROLLOUT_STATE__ROLLOUT_REVERTED ||
           Clock_WallMs() < (int64_t)rollout->deadline_ms;
}

static void
log_change(const Rollout *rollout)
{
    LOG_INFO(PART,
             "Roll-out changed. service=%s to=%s state=%s order=%llu "
             "revision=%llu left_ms=%lld verdict=\"%s\"",
             rollout->service, rollout->target,
             Rollout_StateName(rollout->state),
             (unsigned long long)rollout->order,
             (unsigned long long)rollout->revision,
             (long long)rollout->deadline_ms - (long long)Clock_WallMs(),
             rollout->verdict);
    char name[64];
    g_snprintf(name, sizeof(name), "fleet_rollouts_total{state=\"%s\"}",
               Rollout_StateName(rollout->state));
    Counter_Add(Counter_Get(name, "Roll-outs that reached the state."), 1);
}

FleetOutcome
FleetRollouts_OnApply(Fleet *fleet, uint64_t index, uint64_t id,
                      const uint8_t *command, size_t length)
{
    const RolloutTable *table = fleet->rollouts->table;
    Rollout *asked;
    RolloutApplied applied = RolloutLog_Apply(fleet->rollouts->table, index,
                                              command, length, &asked);
    FleetOutcome outcome = FLEET_DONE;
    if (applied == ROLLOUT_STALE) {
        const Rollout *present = RolloutTable_Find(table, asked->service);
        outcome = present != NULL && is_repetition(present, asked->target)
                      ? FLEET_DONE
                      : FLEET_CONFLICT;
        LOG_INFO(PART,
                 "Change of a roll-out came too late. service=%s to=%s "
                 "state=%s",
                 asked->service, asked->target,
                 Rollout_StateName(asked->state));
    }
    else if (applied == ROLLOUT_CHANGED) {
        const Rollout *rollout = RolloutTable_Find(table, asked->service);
        log_change(rollout);
        if (rollout->order == index && FleetCommands_IsPending(fleet, id)) {
            RolloutRuns_Begin(fleet, rollout);
        }
        FleetRollouts_Push(fleet);
    }
    if (asked != NULL) {
        Rollout_Free(asked);
    }
    return outcome;
}

int
FleetRollouts_OnRestore(Fleet *fleet, const uint8_t *bytes, size_t length,
                        Error *err)
{
    g_hash_table_remove_all(fleet->rollouts->runs);
    return RolloutLog_Load(fleet->rollouts->table, bytes, length, err);
}

void
FleetRollouts_Push(Fleet *fleet)
{
    if (!fleet->is_leader || fleet->document.version == 0 ||
        RolloutTable_Count(fleet->rollouts->table) == 0)
    {
        return;
    }
    RolloutMessages messages;
    RolloutMessages_Fill(&messages, fleet->rollouts->table);
    uint32_t silent;
    Wire__ConfigState state = WIRE__CONFIG_STATE__INIT;
    state.version = fleet->document.version;
    state.gateways = FleetGateways_Count(fleet, 0, &silent);
    state.n_rollouts = messages.count;
    state.rollouts = messages.pointers;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_CONFIG_STATE;
    frame.config_state = &state;
    FleetGateways_Broadcast(fleet, &frame);
    RolloutMessages_Clear(&messages);
}

static void
propose(Fleet *fleet, Rollout *rollout, uint64_t base, FleetDone done,
        void *arg)
{
    uint64_t id;
    randombytes_buf(&id, sizeof(id));
    GBytes *command = RolloutLog_PackCommand(id, rollout, base);
    FleetCommands_Propose(fleet, id, command, done, arg);
    Rollout_Free(rollout);
}

void
FleetRollouts_Propose(Fleet *fleet, Rollout *rollout)
{
    LOG_INFO(PART,
             "Change of a roll-out is proposed. service=%s to=%s state=%s "
             "revision=%llu verdict=\"%s\"",
             rollout->service, rollout->target,
             Rollout_StateName(rollout->state),
             (unsigned long long)rollout->revision, rollout->verdict);
    propose(fleet, rollout, rollout->revision, NULL, NULL);
}

/* ---- Orders and reads ---- */

/* An order or a read that waits for the confirmation that this host is the
 * leader, so that it sees all earlier changes. */
typedef struct Question {
    Fleet *fleet;
    char *service;
    char *target;         /* NULL for a read */
    uint64_t deadline_ms; /* from now */
    FleetDone done;
    void *arg;
} Question;

static Question *
new_question(Fleet *fleet, const char *service, FleetDone done, void *arg)
{
    Question *question = g_new0(Question, 1);
    *question = (Question){
        .fleet = fleet,
        .service = g_strdup(service),
        .done = done,
        .arg = arg,
    };
    return question;
}

static void
free_question(Question *question)
{
    g_free(question->service);
    g_free(question->target);
    g_free(question);
}

static void
report(const Question *question, FleetOutcome outcome, const char *text,
       const Rollout *rollout)
{
    FleetResult result = {
        .outcome = outcome,
        .text = text,
        .version = question->fleet->document.version,
        .rollout = rollout,
    };
    question->done(question->arg, &result);
}

/* Proposes the roll-out of an order that no earlier one stands against. */
static void
begin(const Question *question, const Rollout *present)
{
    Rollout *rollout =
        Rollout_Begin(question->service, question->target, present);
    rollout->ordered_at_ms = (uint64_t)Clock_WallMs();
    rollout->deadline_ms = rollout->ordered_at_ms + question->deadline_ms;
    propose(question->fleet, rollout, present == NULL ? 0 : present->revision,
            question->done, question->arg);
}

typedef enum OrderDecision {
    ORDER_BEGINS,
    ORDER_REPEATED,
    ORDER_CONFLICTS,
    ORDER_UNKNOWN_SERVICE,
    ORDER_TOO_MANY,
} OrderDecision;

/* What an order is answered with; nothing for one that begins a roll-out. */
typedef struct OrderAnswer {
    const char *name;
    FleetOutcome outcome;
    const char *text;
} OrderAnswer;

static const OrderAnswer order_answers[] = {
    [ORDER_BEGINS] = {.name = "begins"},
    [ORDER_REPEATED] = {.name = "repeated", .outcome = FLEET_DONE},
    [ORDER_CONFLICTS] =
        {
            .name = "conflict",
            .outcome = FLEET_CONFLICT,
            .text = "A roll-out of the service to another version is in "
                    "progress.",
        },
    [ORDER_UNKNOWN_SERVICE] =
        {
            .name = "unknown service",
            .outcome = FLEET_INVALID,
            .text = "The service is unknown.",
        },
    [ORDER_TOO_MANY] =
        {
            .name = "too many services",
            .outcome = FLEET_INVALID,
            .text = "Too many services have had a roll-out.",
        },
};

static OrderDecision
decide_order(const Question *question, const Rollout *present)
{
    const Fleet *fleet = question->fleet;
    const RouteTable *table = Fleet_Table(question->fleet);
    if (table == NULL || RouteTable_Service(table, question->service) == NULL)
    {
        return ORDER_UNKNOWN_SERVICE;
    }
    if (present == NULL) {
        return RolloutTable_Count(fleet->rollouts->table) < SERVICES_MAX
                   ? ORDER_BEGINS
                   : ORDER_TOO_MANY;
    }
    if (is_repetition(present, question->target)) {
        return ORDER_REPEATED;
    }
    return Rollout_InProgress(present) ? ORDER_CONFLICTS : ORDER_BEGINS;
}

static void
answer_order(const Question *question)
{
    const Rollout *present =
        RolloutTable_Find(question->fleet->rollouts->table, question->service);
    OrderDecision decision = decide_order(question, present);
    const OrderAnswer *answer = &order_answers[decision];
    LOG_INFO(PART,
             "Roll-out ordered. service=%s to=%s deadline_ms=%llu "
             "decision=\"%s\" present=%s",
             question->service, question->target,
             (unsigned long long)question->deadline_ms, answer->name,
             present == NULL ? "none" : Rollout_StateName(present->state));
    if (decision == ORDER_BEGINS) {
        begin(question, present);
    }
    else {
        report(question, answer->outcome, answer->text, present);
    }
}

static void
on_confirmed(void *arg, bool is_leader)
{
    Question *question = arg;
    Fleet *fleet = question->fleet;
    if (!is_leader) {
        FleetCommands_ReportNotLeader(fleet, question->done, question->arg);
    }
    else if (question->target == NULL) {
        report(question, FLEET_DONE, NULL,
               RolloutTable_Find(fleet->rollouts->table, question->service));
    }
    else {
        answer_order(question);
    }
    free_question(question);
}

void
Fleet_BeginRollout(Fleet *fleet, const char *service, const char *target,
                   uint64_t deadline_ms, FleetDone done, void *arg)
{
    Question *question = new_question(fleet, service, done, arg);
    question->target = g_strdup(target);
    question->deadline_ms = deadline_ms;
    Replica_ConfirmLeadership(fleet->replica, on_confirmed, question);
}

void
Fleet_ReadRollout(Fleet *fleet, const char *service, FleetDone done, void *arg)
{
    Replica_ConfirmLeadership(fleet->replica, on_confirmed,
                              new_question(fleet, service, done, arg));
}
