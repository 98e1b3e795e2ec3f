/** @file
 * Gateway: measured run times by route.
 */
#include "gateway/run_times.h"

#include "gateway/state.h"
#include "kernel/log.h"
#include "sched/run_bound.h"

struct RunTimes {
    GHashTable *by_route; /* route name -> RunBound */
};

RunTimes *
RunTimes_New(void)
{
    RunTimes *times = g_new0(RunTimes, 1);
    times->by_route =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return times;
}

size_t
RunTimes_Count(const RunTimes *times)
{
    return g_hash_table_size(times->by_route);
}

void
RunTimes_Free(RunTimes *times)
{
    g_hash_table_destroy(times->by_route);
    g_free(times);
}

static WorkSpec
spec_of(const Call *call)
{
    if (call->route->kind != ROUTE_STREAM) {
        return (WorkSpec){.tier = call->tier};
    }
    return (WorkSpec){
        .tier = call->tier,
        .prompt_tokens = call->prompt_tokens,
        .output_tokens = call->expected_tokens,
        .longest_output_tokens = call->output_tokens,
    };
}

void
RunTimes_Add(RunTimes *times, const Call *call)
{
    const char *after =
        Call_Field(call, call->gateway->options->fields->last_event);
    if (after != NULL || call->attempts != 1) {
        return; /* the newest attempt made only a part of the answer */
    }
    if (call->is_stream && call->first_output_at == 0) {
        return; /* a stream without an event */
    }
    RunBound *bound = g_hash_table_lookup(times->by_route, call->route->name);
    if (bound == NULL) {
        if (g_hash_table_size(times->by_route) >= RUN_TIMES_ROUTES_MAX) {
            LOG_INFO(GATEWAY_PART,
                     "Run times are measured anew, since there are too many "
                     "routes. routes=%u",
                     g_hash_table_size(times->by_route));
            g_hash_table_remove_all(times->by_route);
        }
        bound = g_new0(RunBound, 1);
        g_hash_table_insert(times->by_route, g_strdup(call->route->name),
                            bound);
    }
    WorkSpec work = spec_of(call);
    TimeUs first = call->is_stream ? call->first_output_at - call->sent_at : 0;
    RunBound_Add(bound, &work, first, Clock_Now() - call->sent_at);
}

TimeUs
RunTimes_Bound(const RunTimes *times, const Call *call)
{
    static const RunBound unmeasured;
    const RunBound *bound =
        g_hash_table_lookup(times->by_route, call->route->name);
    WorkSpec work = spec_of(call);
    return RunBound_Get(bound != NULL ? bound : &unmeasured, &work);
}
