/** @file
 * Load generator: sends an open-loop mix of drafts, lookups and filings to
 * entries, resends filings without a complete answer, and prints goodput and
 * latency by tier. It stops after --seconds and a limited wait for the
 * remaining answers.
 */
#include "caller.h"

#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TIERS 4
/* Maximum wait for outstanding requests after --seconds. */
#define DRAIN_MAX_S 15
#define RESEND_DELAY_MS 300

typedef struct TierFigures {
    uint32_t offered;
    uint32_t good;          /* complete answers within the deadline */
    uint32_t refused;       /* requests with the outcome "not_run" */
    uint32_t other;         /* requests neither good nor refused */
    GArray *latency_ms;     /* array of double: latency of each good answer */
    GArray *first_piece_ms; /* array of double: time to the first piece of each
                         good answer */
} TierFigures;

typedef struct Load {
    Caller caller;
    gdouble rate;
    gint seconds;
    gint seed;
    gint draft_percent;
    gint filing_percent;
    gint tokens;
    gint first_number;
    GRand *random;
    struct event *send_timer;
    int64_t end_us;       /* time at which sending ends */
    uint32_t sent;        /* requests sent, without resends */
    uint32_t outstanding; /* requests without a final outcome */
    TierFigures tiers[TIERS];
} Load;

static void
count_outcome(Load *load, const Call *call, const CallOutcome *outcome)
{
    TierFigures *tier = &load->tiers[call->tier];
    double ms = (double)(Caller_Now() - call->sent_us) / 1000;
    if (outcome->complete && ms <= load->caller.deadline_ms) {
        tier->good++;
        g_array_append_val(tier->latency_ms, ms);
        double first = (double)(call->first_piece_us - call->sent_us) / 1000;
        g_array_append_val(tier->first_piece_ms, first);
    }
    else if (strcmp(outcome->outcome, "not_run") == 0) {
        tier->refused++;
    }
    else {
        tier->other++;
    }
}

static void
on_resend(evutil_socket_t fd, short events, void *arg)
{
    Call *call = arg;
    Caller_Send(call->caller, call);
}

static void
stop_when_done(Load *load)
{
    if (load->outstanding == 0 && Caller_Now() >= load->end_us) {
        event_base_loopbreak(load->caller.base);
    }
}

/* Resends a filing without a complete answer, at most Caller.resends times.
 * Otherwise counts the outcome. */
static bool
on_outcome(Caller *caller, Call *call, const CallOutcome *outcome)
{
    Load *load = (Load *)caller;
    bool resend = call->kind == CALL_FILING && !outcome->complete &&
                  call->attempt <= (uint32_t)caller->resends;
    if (resend) {
        struct timeval delay = {.tv_usec = RESEND_DELAY_MS * 1000};
        event_base_once(caller->base, -1, EV_TIMEOUT, on_resend, call, &delay);
        return true;
    }
    count_outcome(load, call, outcome);
    load->outstanding--;
    stop_when_done(load);
    return false;
}

static CallKind
choose_kind(Load *load)
{
    int roll = g_rand_int_range(load->random, 0, 100);
    if (roll < load->draft_percent) {
        return CALL_DRAFT;
    }
    roll -= load->draft_percent;
    return roll < load->filing_percent ? CALL_FILING : CALL_LOOKUP;
}

static void
send_request(Load *load)
{
    Call *call = g_new0(Call, 1);
    call->kind = choose_kind(load);
    call->number = (uint32_t)load->first_number + load->sent++;
    call->tier = (uint32_t)g_rand_int_range(load->random, 0, TIERS);
    bool is_long = g_rand_int_range(load->random, 0, 10) == 0;
    call->tokens = (uint32_t)load->tokens * (is_long ? 10 : 1);
    call->prompt_bytes = is_long ? 8000 : 200;
    load->tiers[call->tier].offered++;
    load->outstanding++;
    Caller_Send(&load->caller, call);
}

static void
on_send_timer(evutil_socket_t fd, short events, void *arg)
{
    Load *load = arg;
    if (Caller_Now() >= load->end_us) {
        stop_when_done(load);
        return;
    }
    send_request(load);
    double gap_s = -log(1 - g_rand_double(load->random)) / load->rate;
    struct timeval delay = {
        .tv_sec = (time_t)gap_s,
        .tv_usec = (suseconds_t)((gap_s - floor(gap_s)) * 1e6),
    };
    event_add(load->send_timer, &delay);
}

static gint
compare_doubles(gconstpointer a, gconstpointer b)
{
    double first = *(const double *)a;
    double second = *(const double *)b;
    return (first > second) - (first < second);
}

static double
percentile(GArray *values, double fraction)
{
    if (values->len == 0) {
        return 0;
    }
    g_array_sort(values, compare_doubles);
    guint index = (guint)(fraction * (values->len - 1));
    return g_array_index(values, double, index);
}

static void
print_figures(Load *load)
{
    printf("tier offered  good refused other goodput  "
           "p50_ms  p95_ms  p99_ms first_p95_ms\n");
    for (int i = 0; i < TIERS; i++) {
        TierFigures *tier = &load->tiers[i];
        double goodput =
            tier->offered == 0 ? 1 : (double)tier->good / tier->offered;
        printf("%4d %7u %5u %7u %5u %7.3f %7.1f %7.1f %7.1f %12.1f\n", i,
               tier->offered, tier->good, tier->refused, tier->other, goodput,
               percentile(tier->latency_ms, 0.50),
               percentile(tier->latency_ms, 0.95),
               percentile(tier->latency_ms, 0.99),
               percentile(tier->first_piece_ms, 0.95));
    }
    printf("open %u\n", load->outstanding);
}

static bool
parse_entries(Load *load, gchar **entries)
{
    load->caller.entries = g_ptr_array_new();
    for (gchar **text = entries; text != NULL && *text != NULL; text++) {
        Address *address = g_new0(Address, 1);
        if (Address_Parse(*text, address, NULL) != ERR_OK) {
            return false;
        }
        g_ptr_array_add(load->caller.entries, address);
    }
    return load->caller.entries->len > 0;
}

static void
run_load(Load *load)
{
    signal(SIGPIPE, SIG_IGN);
    load->caller.on_outcome = on_outcome;
    load->caller.base = event_base_new();
    load->random = g_rand_new_with_seed((guint32)load->seed);
    for (int i = 0; i < TIERS; i++) {
        load->tiers[i].latency_ms = g_array_new(FALSE, FALSE, sizeof(double));
        load->tiers[i].first_piece_ms =
            g_array_new(FALSE, FALSE, sizeof(double));
    }
    load->end_us = Caller_Now() + load->seconds * (int64_t)1000000;
    load->send_timer =
        event_new(load->caller.base, -1, 0, on_send_timer, load);
    event_active(load->send_timer, EV_TIMEOUT, 0);
    struct timeval limit = {.tv_sec = load->seconds + DRAIN_MAX_S};
    event_base_loopexit(load->caller.base, &limit);
    event_base_dispatch(load->caller.base);
    print_figures(load);
}

int
main(int argc, char **argv)
{
    Load load = {
        .caller = {.deadline_ms = 5000, .resends = 20},
        .rate = 100,
        .seconds = 5,
        .seed = 1,
        .draft_percent = 40,
        .filing_percent = 20,
        .tokens = 8,
        .first_number = 1,
    };
    gchar **entries = NULL;
    const GOptionEntry options[] = {
        {"entry", 0, 0, G_OPTION_ARG_STRING_ARRAY, &entries,
         "Address of an entry; may be repeated", "IP:PORT"},
        {"key", 0, 0, G_OPTION_ARG_STRING, &load.caller.key, "API key", "KEY"},
        {"record", 0, 0, G_OPTION_ARG_FILENAME, &load.caller.record,
         "File to append the outcome of each attempt to", "FILE"},
        {"rate", 0, 0, G_OPTION_ARG_DOUBLE, &load.rate, "Requests per second",
         "N"},
        {"seconds", 0, 0, G_OPTION_ARG_INT, &load.seconds,
         "Time to send requests for, in seconds", "N"},
        {"seed", 0, 0, G_OPTION_ARG_INT, &load.seed,
         "Seed of the random numbers", "N"},
        {"first", 0, 0, G_OPTION_ARG_INT, &load.first_number,
         "Number of the first request", "N"},
        {"drafts", 0, 0, G_OPTION_ARG_INT, &load.draft_percent,
         "Percentage of drafts", "PERCENT"},
        {"filings", 0, 0, G_OPTION_ARG_INT, &load.filing_percent,
         "Percentage of filings", "PERCENT"},
        {"tokens", 0, 0, G_OPTION_ARG_INT, &load.tokens,
         "Answer length of a draft in tokens; one draft in ten has ten times "
         "as many",
         "N"},
        {"deadline-ms", 0, 0, G_OPTION_ARG_INT, &load.caller.deadline_ms,
         "Deadline of each request", "MS"},
        {NULL},
    };
    GOptionContext *context =
        g_option_context_new("- load generator for entries");
    g_option_context_add_main_entries(context, options, NULL);
    GError *error = NULL;
    if (!g_option_context_parse(context, &argc, &argv, &error) ||
        !parse_entries(&load, entries) || load.rate <= 0)
    {
        fprintf(stderr, "load: %s\n",
                error == NULL
                    ? "expected --entry IP:PORT and a positive --rate"
                    : error->message);
        return 2;
    }
    g_option_context_free(context);
    if (load.caller.key == NULL) {
        load.caller.key = g_strdup("sahil-key");
    }
    run_load(&load);
    return 0;
}
