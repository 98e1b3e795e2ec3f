/** @file
 * Plays a case of the simulated pool with several seeds and prints the
 * results.
 */
#include "unit.h"

#include "pool_report.h"

#define SEEDS 3

double
PoolReport_Fraction(unsigned part, unsigned all)
{
    return all == 0 ? 0 : (double)part / all;
}

void
PoolReport_Print(const char *what, const PoolResult *r)
{
    print_message("  %s: served %.3f of %u;", what,
                  PoolReport_Fraction(r->served, r->callers), r->callers);
    for (int c = 0; c < POOL_PLAY_CLASSES; c++) {
        print_message(" %.3f", PoolReport_Fraction(r->classes[c].served,
                                                   r->classes[c].callers));
    }
    print_message(
        "; refusals %u after %.0f/%.0f/%.0f ms (p10/50/90), wrong "
        "%.4f, keepers asked %.1f; known late %u, of these slow %u, "
        "over 12 asked %u; came back %u, served %.3f; wants %u, "
        "outlook bytes a want %.1f, rounds %u\n",
        r->refusals, r->refusal_p10_ms, r->refusal_p50_ms, r->refusal_p90_ms,
        PoolReport_Fraction(r->wrong, r->refusals),
        PoolReport_Fraction(r->refusal_wants, r->refusals), r->known_late,
        r->known_late_over, r->known_late_wants_over, r->returns,
        PoolReport_Fraction(r->returns_served, r->returns), r->wants,
        PoolReport_Fraction(r->outlook_bytes, r->wants), r->rounds);
}

static void
add_result(PoolResult *sum, const PoolResult *r)
{
    for (int c = 0; c < POOL_PLAY_CLASSES; c++) {
        sum->classes[c].callers += r->classes[c].callers;
        sum->classes[c].served += r->classes[c].served;
    }
    sum->callers += r->callers;
    sum->served += r->served;
    sum->refusals += r->refusals;
    sum->wrong += r->wrong;
    sum->returns += r->returns;
    sum->claimed += r->claimed;
    sum->claimed_refused += r->claimed_refused;
    sum->booked += r->booked;
    sum->not_booked += r->not_booked;
    sum->booked_callers += r->booked_callers;
    sum->booked_served += r->booked_served;
    sum->returns_served += r->returns_served;
    sum->wants += r->wants;
    sum->refusal_wants += r->refusal_wants;
    sum->known_late += r->known_late;
    sum->known_late_over += r->known_late_over;
    sum->known_late_wants_over += r->known_late_wants_over;
    sum->outlook_bytes += r->outlook_bytes;
    sum->rounds += r->rounds;
    sum->refusal_p10_ms += r->refusal_p10_ms / SEEDS;
    sum->refusal_p50_ms += r->refusal_p50_ms / SEEDS;
    sum->refusal_p90_ms += r->refusal_p90_ms / SEEDS;
    for (int i = 0; i < POOL_PLAY_SPANS; i++) {
        sum->refused_in[i] += r->refused_in[i];
        sum->arrived_in[i] += r->arrived_in[i];
    }
}

PoolResult
PoolReport_PlaySeeds(const PoolCase *spec, bool use_view)
{
    PoolResult sum = {.callers = 0};
    for (uint32_t seed = 1; seed <= SEEDS; seed++) {
        PoolCase play = *spec;
        play.seed = seed;
        play.use_view = use_view;
        PoolResult result;
        PoolPlay_Run(&play, &result);
        add_result(&sum, &result);
    }
    return sum;
}
