/** @file
 * Fuzz target for the replicated log: several log cores with simulated disks
 * and undelivered messages. The bytes of the fuzz input choose the events, or
 * the replacements of log_replace.c. The oracle is in log_net.c.
 */
#include "fuzz.h"
#include "log_net.h"
#include "log_replace.h"

#define EVENTS_PER_RUN 500

typedef enum Event {
    EVENT_DELIVER,
    EVENT_DELIVER_ANY,
    EVENT_DUPLICATE,
    EVENT_DROP,
    EVENT_SAVE,
    EVENT_TICK,
    EVENT_RUN,
    EVENT_PROPOSE,
    EVENT_READ_INDEX,
    EVENT_CRASH,
    EVENT_RESTART,
    EVENT_CUT_LINK,
    EVENT_ISOLATE,
    EVENT_PARTITION,
    EVENT_HEAL,
    EVENT_LOSE_DISK,
    EVENT_FAIL_DISK,
    EVENT_SLOW_DISK,
    EVENT_FREEZE,
    EVENT_POWER_CUT,
    EVENT_MEMBERSHIP,
    EVENT_TRANSFER,
    EVENT_COMPACT,
} Event;

/* Events to choose from; an event that occurs more often here is likelier. */
static const Event events[] = {
    EVENT_DELIVER,     EVENT_DELIVER,    EVENT_DELIVER,   EVENT_DELIVER,
    EVENT_DELIVER_ANY, EVENT_DUPLICATE,  EVENT_DROP,      EVENT_SAVE,
    EVENT_SAVE,        EVENT_TICK,       EVENT_TICK,      EVENT_RUN,
    EVENT_RUN,         EVENT_RUN,        EVENT_RUN,       EVENT_RUN,
    EVENT_RUN,         EVENT_PROPOSE,    EVENT_PROPOSE,   EVENT_PROPOSE,
    EVENT_READ_INDEX,  EVENT_READ_INDEX, EVENT_CRASH,     EVENT_RESTART,
    EVENT_RESTART,     EVENT_CUT_LINK,   EVENT_ISOLATE,   EVENT_ISOLATE,
    EVENT_PARTITION,   EVENT_HEAL,       EVENT_HEAL,      EVENT_HEAL,
    EVENT_LOSE_DISK,   EVENT_FAIL_DISK,  EVENT_SLOW_DISK, EVENT_SLOW_DISK,
    EVENT_FREEZE,      EVENT_FREEZE,     EVENT_POWER_CUT, EVENT_MEMBERSHIP,
    EVENT_TRANSFER,    EVENT_COMPACT,
};

/* Returns a leader in three of four cases, so that most proposals are
 * accepted, otherwise any host. */
static unsigned
pick_leader(Net *net, FuzzInput *input)
{
    unsigned choice = fuzz_byte(input);
    for (unsigned i = 0; choice >= 64 && i < NET_HOSTS; i++) {
        unsigned index = (choice + i) % NET_HOSTS;
        LogStatus status;
        if (net->hosts[index].core == NULL) {
            continue;
        }
        LogCore_GetStatus(net->hosts[index].core, &status);
        if (status.is_leader) {
            return index;
        }
    }
    return choice % NET_HOSTS;
}

static void
isolate(Net *net, unsigned host, bool both_ways)
{
    for (unsigned i = 0; i < NET_HOSTS; i++) {
        net->cut[host][i] = i != host;
        net->cut[i][host] = i != host && both_ways;
    }
}

/* Disconnects the hosts whose bit in @p group is set from the others. */
static void
partition(Net *net, unsigned group)
{
    for (unsigned i = 0; i < NET_HOSTS; i++) {
        for (unsigned k = 0; k < NET_HOSTS; k++) {
            net->cut[i][k] = ((group >> i) & 1u) != ((group >> k) & 1u);
        }
    }
}

static bool
has_failed_disk(const Net *net, unsigned index)
{
    LogStatus status = {.failed = false};
    if (net->hosts[index].core != NULL) {
        LogCore_GetStatus(net->hosts[index].core, &status);
    }
    return status.failed;
}

static void
heal(Net *net)
{
    partition(net, 0);
    for (unsigned i = 0; i < NET_HOSTS; i++) {
        if (has_failed_disk(net, i)) {
            Net_Crash(net, i);
        }
        Net_Start(net, i);
        net->hosts[i].slow = false;
        net->hosts[i].frozen = false;
    }
}

/* Crashes and restarts all hosts at once. Each disk has saved some of its
 * pending batches. */
static void
cut_power(Net *net, FuzzInput *input)
{
    for (unsigned i = 0; i < NET_HOSTS; i++) {
        Net_Save(net, i, fuzz_pick(input, 3), false);
        Net_Crash(net, i);
    }
    for (unsigned i = 0; i < NET_HOSTS; i++) {
        Net_Start(net, i);
    }
}

static void
inject_fault(Net *net, FuzzInput *input, Event event)
{
    unsigned host = fuzz_pick(input, NET_HOSTS);
    switch (event) {
    case EVENT_CRASH:
        Net_Save(net, host, fuzz_pick(input, 4), false);
        Net_Crash(net, host);
        break;
    case EVENT_RESTART:
        Net_Save(net, host, fuzz_pick(input, 4), false);
        Net_Crash(net, host);
        Net_Start(net, host);
        break;
    case EVENT_CUT_LINK:
        net->cut[host][fuzz_pick(input, NET_HOSTS)] = true;
        break;
    case EVENT_ISOLATE:
        isolate(net, host, fuzz_byte(input) & 1);
        break;
    case EVENT_PARTITION:
        partition(net, fuzz_byte(input));
        break;
    case EVENT_SLOW_DISK:
        net->hosts[host].slow = !net->hosts[host].slow;
        break;
    case EVENT_FREEZE:
        host = pick_leader(net, input);
        net->hosts[host].frozen = !net->hosts[host].frozen;
        break;
    case EVENT_POWER_CUT:
        cut_power(net, input);
        break;
    case EVENT_LOSE_DISK:
        Net_LoseDisk(net, host);
        break;
    case EVENT_FAIL_DISK:
        if (has_failed_disk(net, host)) {
            Net_RecoverDisk(net, host);
        }
        else {
            Net_FailDisk(net, host);
        }
        break;
    default:
        heal(net);
        break;
    }
}

static void
run_leader_event(Net *net, FuzzInput *input, Event event)
{
    unsigned host = pick_leader(net, input);
    unsigned choice;
    switch (event) {
    case EVENT_PROPOSE:
        Net_Propose(net, host);
        break;
    case EVENT_READ_INDEX:
        Net_RequestReadIndex(net, host);
        break;
    case EVENT_MEMBERSHIP:
        choice = fuzz_byte(input);
        Net_ChangeMember(net, host, choice % NET_HOSTS + 1, choice >= 96);
        break;
    case EVENT_TRANSFER:
        Net_TransferLeadership(net, host);
        break;
    default:
        Net_Compact(net, host);
        break;
    }
}

static void
run_event(Net *net, FuzzInput *input, Event event)
{
    unsigned host;
    switch (event) {
    case EVENT_DELIVER:
        for (unsigned left = 1 + fuzz_pick(input, 6); left > 0; left--) {
            Net_Deliver(net, 0, false);
        }
        break;
    case EVENT_DELIVER_ANY:
        Net_Deliver(net, fuzz_byte(input), false);
        break;
    case EVENT_DUPLICATE:
        Net_Deliver(net, fuzz_byte(input), true);
        break;
    case EVENT_DROP:
        Net_Drop(net, fuzz_byte(input));
        break;
    case EVENT_SAVE:
        host = fuzz_pick(input, NET_HOSTS);
        Net_Save(net, host, 1 + fuzz_pick(input, 3), true);
        break;
    case EVENT_TICK:
        host = fuzz_pick(input, NET_HOSTS);
        Net_Tick(net, host, fuzz_byte(input) * 5 * US_PER_MS);
        break;
    case EVENT_RUN:
        Net_Run(net, 1 + fuzz_pick(input, 12));
        break;
    case EVENT_PROPOSE:
    case EVENT_READ_INDEX:
    case EVENT_MEMBERSHIP:
    case EVENT_TRANSFER:
    case EVENT_COMPACT:
        run_leader_event(net, input, event);
        break;
    default:
        inject_fault(net, input, event);
        break;
    }
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length)
{
    FuzzInput input = fuzz_input(bytes, length);
    unsigned kind = fuzz_byte(&input);
    if ((kind & 2) != 0) {
        Net *net = Net_NewAutomatic(3, 3);
        LogReplace_Run(net, &input);
        Net_Free(net);
        return 0;
    }
    Net *net = Net_New((kind & 1) != 0 ? 3 : 5);
    for (unsigned i = 0; i < EVENTS_PER_RUN; i++) {
        unsigned choice = fuzz_pick(&input, G_N_ELEMENTS(events));
        run_event(net, &input, events[choice]);
    }
    Net_Free(net);
    return 0;
}
