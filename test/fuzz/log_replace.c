/** @file
 * Replacements of members of a simulated cluster.
 */
#include "log_replace.h"

#define STEPS 60
#define ZONES 3
#define NEVER INT64_MAX
#define CATCH_UP_US (4 * US_PER_S)
/* Longest time that a host takes to come back with an empty disk. */
#define BACK_MAX_MS 1000
/* Time in which the cluster must recover, and commit an entry. */
#define RECOVERY_ROUNDS 240
#define COMMIT_ROUNDS 40
/* Of 256 rounds, those in which a message is dropped. */
#define LOSSY_ROUNDS 48

typedef enum Presence {
    UNUSED,  /* not started yet */
    RUNNING, /* may be down while its disk is replaced */
    REMOVED, /* for good */
} Presence;

typedef struct Machine {
    Presence presence;
    uint32_t zone_id;
    TimeUs caught_up_at; /* when it has run for the catch-up time */
    TimeUs back_at;      /* when it restarts; 0: it is not down */
} Machine;

typedef struct Replacement {
    int old;       /* -1: none in progress */
    int successor; /* -1: not started yet */
} Replacement;

typedef struct Play {
    Net *net;
    FuzzInput *input;
    Machine machines[NET_HOSTS];
    Replacement replacement;
    int disk_lost; /* host whose disk loss still counts, or -1 */
} Play;

static TimeUs
caught_up_at(const Play *play, int index)
{
    return index < 0 ? NEVER : play->machines[index].caught_up_at;
}

/* Tells whether a host counts as lost. */
static bool
has_loss(const Play *play)
{
    TimeUs now = play->net->now;
    const Replacement *replacement = &play->replacement;
    bool removed = replacement->old >= 0 &&
                   play->machines[replacement->old].presence == REMOVED &&
                   now < caught_up_at(play, replacement->successor);
    bool disk =
        play->disk_lost >= 0 && now < caught_up_at(play, play->disk_lost);
    return removed || disk;
}

/* A replacement has ended when the old host is removed and its successor has
 * had its time. */
static void
finish_replacement(Play *play)
{
    const Replacement *replacement = &play->replacement;
    if (replacement->old >= 0 && replacement->successor >= 0 &&
        play->machines[replacement->old].presence == REMOVED &&
        play->net->now >= caught_up_at(play, replacement->successor))
    {
        play->replacement = (Replacement){.old = -1, .successor = -1};
    }
}

static void
restart_due(Play *play)
{
    for (int i = 0; i < NET_HOSTS; i++) {
        Machine *machine = &play->machines[i];
        if (machine->presence == RUNNING && machine->back_at != 0 &&
            play->net->now >= machine->back_at)
        {
            machine->back_at = 0;
            Net_Start(play->net, (unsigned)i);
        }
    }
}

static void
run_rounds(Play *play, unsigned rounds, bool lossy)
{
    for (unsigned round = 0; round < rounds; round++) {
        restart_due(play);
        for (uint32_t i = 0; i < NET_HOSTS; i++) {
            const Machine *machine = &play->machines[i];
            if (machine->presence == RUNNING && machine->back_at == 0) {
                Net_SendJoinRequests(play->net, i + 1, machine->zone_id);
            }
        }
        if (lossy && fuzz_byte(play->input) < LOSSY_ROUNDS) {
            Net_Drop(play->net, fuzz_byte(play->input));
        }
        Net_Run(play->net, 1);
    }
    finish_replacement(play);
}

static int
pick_machine(Play *play, Presence presence)
{
    unsigned first = fuzz_pick(play->input, NET_HOSTS);
    for (unsigned i = 0; i < NET_HOSTS; i++) {
        unsigned index = (first + i) % NET_HOSTS;
        if (play->machines[index].presence == presence) {
            return (int)index;
        }
    }
    return -1;
}

static void
start_successor(Play *play)
{
    Replacement *replacement = &play->replacement;
    int successor = pick_machine(play, UNUSED);
    if (replacement->successor >= 0 || successor < 0) {
        return;
    }
    if (replacement->old < 0) {
        replacement->old = pick_machine(play, RUNNING);
    }
    replacement->successor = successor;
    play->machines[successor] = (Machine){
        .presence = RUNNING,
        .zone_id = play->machines[replacement->old].zone_id,
        .caught_up_at = play->net->now + CATCH_UP_US,
    };
    Net_Start(play->net, (unsigned)successor);
}

/* Ends a host for good, with or without a planned stop. */
static void
remove_host(Play *play, int index)
{
    Net *net = play->net;
    const NetHost *host = &net->hosts[index];
    play->machines[index].presence = REMOVED;
    if (host->core != NULL && (fuzz_byte(play->input) & 1) != 0) {
        for (unsigned i = 0; i < NET_HOSTS; i++) {
            if (net->hosts[i].core != NULL) {
                LogCore_OnLeaving(net->hosts[i].core, host->id,
                                  host->disk.disk_id, true);
            }
        }
        Net_TransferLeadership(net, (unsigned)index);
        Net_Run(net, fuzz_pick(play->input, 8));
    }
    Net_Save(net, (unsigned)index, fuzz_pick(play->input, 4), false);
    Net_Crash(net, (unsigned)index);
    if (play->disk_lost == index) {
        play->disk_lost = -1;
    }
}

static void
end_old_host(Play *play)
{
    Replacement *replacement = &play->replacement;
    bool counts = play->net->now < caught_up_at(play, replacement->successor);
    if (replacement->old < 0) {
        if (has_loss(play) || pick_machine(play, UNUSED) < 0) {
            return;
        }
        replacement->old = pick_machine(play, RUNNING);
    }
    else if (play->machines[replacement->old].presence == REMOVED ||
             (counts && has_loss(play)))
    {
        return;
    }
    remove_host(play, replacement->old);
}

static void
lose_disk(Play *play)
{
    int index = pick_machine(play, RUNNING);
    if (has_loss(play)) {
        return;
    }
    Net_ClearDisk(play->net, (unsigned)index);
    Machine *machine = &play->machines[index];
    machine->back_at = play->net->now + (1 + fuzz_pick(play->input, 100)) *
                                            BACK_MAX_MS / 100 * US_PER_MS;
    machine->caught_up_at = machine->back_at + CATCH_UP_US;
    play->disk_lost = index;
}

/* Kills all processes and starts them again. A host that was catching up has
 * its time from then on. */
static void
kill_all(Play *play)
{
    Net *net = play->net;
    for (unsigned i = 0; i < NET_HOSTS; i++) {
        Net_Save(net, i, fuzz_pick(play->input, 3), false);
        Net_Crash(net, i);
    }
    for (unsigned i = 0; i < NET_HOSTS; i++) {
        Machine *machine = &play->machines[i];
        if (machine->presence != RUNNING || machine->back_at != 0) {
            continue;
        }
        if (machine->caught_up_at > net->now) {
            machine->caught_up_at = net->now + CATCH_UP_US;
        }
        Net_Start(net, i);
    }
}

static void
run_step(Play *play)
{
    switch (fuzz_pick(play->input, 8)) {
    case 0:
    case 1:
        start_successor(play);
        break;
    case 2:
    case 3:
        end_old_host(play);
        break;
    case 4:
        lose_disk(play);
        break;
    case 5:
        kill_all(play);
        break;
    case 6:
        Net_TransferLeadership(play->net, fuzz_pick(play->input, NET_HOSTS));
        break;
    default:
        Net_Propose(play->net, fuzz_pick(play->input, NET_HOSTS));
        break;
    }
    unsigned choice = fuzz_byte(play->input);
    run_rounds(play, choice < 128 ? choice % 4 : choice % 32, true);
}

static int
find_leader(const Play *play)
{
    for (int i = 0; i < NET_HOSTS; i++) {
        LogStatus status = {.is_leader = false};
        if (play->net->hosts[i].core != NULL) {
            LogCore_GetStatus(play->net->hosts[i].core, &status);
        }
        if (status.is_leader) {
            return i;
        }
    }
    return -1;
}

static void
check_recovery(Play *play)
{
    Net *net = play->net;
    if (play->replacement.old >= 0 && play->replacement.successor < 0) {
        start_successor(play);
    }
    run_rounds(play, RECOVERY_ROUNDS, false);
    int leader = find_leader(play);
    FUZZ_CHECK(leader >= 0, "no host leads any more");
    guint committed = net->committed_entries->len;
    Net_Propose(net, (unsigned)leader);
    run_rounds(play, COMMIT_ROUNDS, false);
    FUZZ_CHECK(net->committed_entries->len > committed,
               "no entry is committed any more");
    leader = find_leader(play);
    FUZZ_CHECK(leader >= 0, "no host leads any more");
    LogStatus status;
    LogCore_GetStatus(net->hosts[leader].core, &status);
    FUZZ_CHECK(LogConfig_VoterCount(status.config) == ZONES,
               "%u voters are left", LogConfig_VoterCount(status.config));
    for (unsigned i = 0; i < status.config->count; i++) {
        const LogMember *member = &status.config->members[i];
        FUZZ_CHECK(play->machines[member->id - 1].presence == RUNNING,
                   "removed host %u is still a member", member->id);
    }
}

void
LogReplace_Run(Net *net, FuzzInput *input)
{
    Play play = {
        .net = net,
        .input = input,
        .replacement = {.old = -1, .successor = -1},
        .disk_lost = -1,
    };
    for (uint32_t i = 0; i < NET_HOSTS; i++) {
        if (i < ZONES) {
            play.machines[i].presence = RUNNING;
            play.machines[i].zone_id = i + 1;
        }
        else {
            Net_Crash(net, i);
        }
    }
    run_rounds(&play, COMMIT_ROUNDS, false);
    for (unsigned i = 0; i < STEPS; i++) {
        run_step(&play);
    }
    check_recovery(&play);
}
