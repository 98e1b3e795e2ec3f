/** @file
 * Gateway: event streams, account quotas, retry budgets and error answers.
 */
#include "unit.h"

#include <string.h>

#include "gateway/load_report.h"
#include "gateway/state.h"

static GatewayOptions options = {
    .name = "test",
    .zone = "z",
    .region = "r",
    .bounds =
        {
            .retry_ratio = 0.2,
            .retry_min_count = 60,
            .retry_window_ms = 10000,
            .quota_slack = 0,
        },
};

static Gateway
new_gateway(void)
{
    return (Gateway){.options = &options, .gateway_count = 4};
}

static size_t
forward(Events *events, const char *bytes, struct evbuffer *in,
        struct evbuffer *out)
{
    evbuffer_add(in, bytes, strlen(bytes));
    assert_int_equal(Events_Forward(events, in, out), EVENTS_FORWARDED);
    return evbuffer_get_length(out);
}

static void
only_complete_events_are_forwarded(void **state)
{
    Events events = EVENTS_INIT;
    struct evbuffer *in = evbuffer_new();
    struct evbuffer *out = evbuffer_new();
    assert_int_equal(forward(&events, "id: 1\ndata: a\n", in, out), 0);
    assert_int_equal(forward(&events, "\nid: 2\nda", in, out), 15);
    assert_int_equal(events.last_id, 1);
    assert_int_equal(forward(&events, "ta: b\n\n", in, out), 30);
    assert_int_equal(events.last_id, 2);
    assert_int_equal(evbuffer_get_length(in), 0);
    evbuffer_free(in);
    evbuffer_free(out);
}

/* Guards against repeated events: an endpoint may resume a stream with events
 * that the caller already has. */
static void
resumed_stream_skips_forwarded_events(void **state)
{
    Events events = {.last_id = 2};
    struct evbuffer *in = evbuffer_new();
    struct evbuffer *out = evbuffer_new();
    forward(&events, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", in, out);
    assert_int_equal(evbuffer_get_length(out), 0);
    forward(&events, "id: 3\r\ndata: c\r\n\r\n", in, out);
    assert_int_equal(events.last_id, 3);
    assert_int_equal(events.forwarded_count, 1);
    evbuffer_free(in);
    evbuffer_free(out);
}

/* Forwards `begun`, announces a rest and forwards it. */
static EventsResult
forward_rest(Events *events, const char *begun, const char *rest)
{
    *events = EVENTS_INIT;
    struct evbuffer *in = evbuffer_new();
    struct evbuffer *out = evbuffer_new();
    forward(events, begun, in, out);
    Events_ExpectRest(events);
    evbuffer_add(in, rest, strlen(rest));
    EventsResult result = Events_Forward(events, in, out);
    evbuffer_free(in);
    evbuffer_free(out);
    return result;
}

/* Guards against a stream whose rest lacks events, or is another text. */
static void
the_rest_follows_the_forwarded_events(void **state)
{
    static const char three[] =
        "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
    Events events;
    assert_int_equal(forward_rest(&events, three, "id: 4\ndata: d\n\n"),
                     EVENTS_FORWARDED);
    assert_int_equal(events.forwarded_count, 4);
    assert_int_equal(
        forward_rest(&events, three, "id: 3\ndata: c\n\nid: 4\ndata: d\n\n"),
        EVENTS_FORWARDED);
    assert_int_equal(events.forwarded_count, 4);
    assert_int_equal(forward_rest(&events, three, ": alive\n\n"),
                     EVENTS_FORWARDED);
    assert_true(events.expect_rest);
    assert_int_equal(forward_rest(&events, three, "id: 5\ndata: e\n\n"),
                     EVENTS_NOT_THE_REST);
    assert_int_equal(forward_rest(&events, three, "data: failed\n\n"),
                     EVENTS_NOT_THE_REST);
    assert_int_equal(events.forwarded_count, 3);
}

/* Ids may have any distance, as those that count tokens. */
static void
a_rest_after_ids_of_varying_distance_may_begin_anywhere(void **state)
{
    Events events;
    assert_int_equal(forward_rest(&events,
                                  "id: 1\ndata: a\n\nid: 5\ndata: b\n\n"
                                  "id: 7\ndata: c\n\n",
                                  "id: 20\ndata: d\n\n"),
                     EVENTS_FORWARDED);
    assert_int_equal(forward_rest(&events,
                                  "id: 4\ndata: a\n\nid: 8\ndata: b\n\n",
                                  "id: 20\ndata: d\n\n"),
                     EVENTS_FORWARDED);
}

static void
streams_with_events_without_an_id_do_not_go_on(void **state)
{
    Events events;
    forward_rest(&events, "id: 1\ndata: a\n\n: alive\n\n", "");
    assert_true(Events_CanGoOn(&events));
    forward_rest(&events, "id: 1\ndata: a\n\ndata: b\n\n", "");
    assert_false(Events_CanGoOn(&events));
    forward_rest(&events, "data: a\n\n", "");
    assert_false(Events_CanGoOn(&events));
    forward_rest(&events, "", "");
    assert_true(Events_CanGoOn(&events));
    assert_int_equal(forward_rest(&events, ": alive\n\n", "data: a\n\n"),
                     EVENTS_FORWARDED);
    forward_rest(&events, ": alive\n\n", "");
    assert_true(Events_CanGoOn(&events));
}

/* Guards against an invalid figure of the speed that hides the load, and
 * against a figure read from a report of three. */
static void
load_reports_are_read(void **state)
{
    LoadReport report;
    assert_true(LoadReport_Parse("3,1,6", 7, &report));
    assert_int_equal(report.running, 3);
    assert_int_equal(report.waiting, 1);
    assert_int_equal(report.slots, 6);
    assert_float_equal(report.pace.figure, 0, 0);
    assert_false(report.pace_is_invalid);
    assert_true(LoadReport_Parse("3,1,6,250", 7, &report));
    assert_float_equal(report.pace.figure, 250, 0);
    assert_int_equal(report.pace.received_at, 7);
    static const char *const invalid[] = {"3,1,6,",     "3,1,6,5",
                                          "3,1,6,fast", "3,1,6,100,1",
                                          "3,1,6,-100", "3,1,6, 100"};
    for (size_t i = 0; i < sizeof(invalid) / sizeof(invalid[0]); i++) {
        assert_true(LoadReport_Parse(invalid[i], 7, &report));
        assert_int_equal(report.running, 3);
        assert_true(report.pace_is_invalid);
        assert_float_equal(report.pace.figure, 0, 0);
    }
    assert_false(LoadReport_Parse("3,1", 7, &report));
    assert_false(LoadReport_Parse("", 7, &report));
}

/* A gateway whose control hosts are out of its reach. */
typedef struct AloneGateway {
    Gateway gateway;
    Call call;
} AloneGateway;

static void
set_up_alone(AloneGateway *alone, const RouteAccount *account)
{
    static const char *const no_hosts[] = {NULL};
    options.hosts = no_hosts;
    alone->gateway = new_gateway();
    alone->gateway.base = event_base_new();
    alone->gateway.control = GatewayControl_New(&alone->gateway);
    alone->gateway.quotas = Quotas_New(&alone->gateway);
    alone->call = (Call){.gateway = &alone->gateway, .account = account};
}

static void
tear_down_alone(AloneGateway *alone)
{
    Quotas_Free(alone->gateway.quotas);
    GatewayControl_Free(alone->gateway.control);
    event_base_free(alone->gateway.base);
}

static QuotaDecision
take(AloneGateway *alone, double cost, uint32_t delay_ms)
{
    BucketRequest request = {.cost = cost, .delay_ms = delay_ms};
    QuotaDecision decision = Quotas_Take(&alone->call, &request);
    assert_int_not_equal(decision.verdict, QUOTA_ASKED);
    return decision;
}

static bool
is_admitted(AloneGateway *alone, double cost, uint32_t delay_ms)
{
    return take(alone, cost, delay_ms).verdict == QUOTA_ADMITTED;
}

/* Returns the retry delay of a refused request in ms; 0 if it is admitted. */
static uint32_t
retry_delay_ms(AloneGateway *alone, double cost)
{
    QuotaDecision decision = take(alone, cost, 0);
    return decision.verdict == QUOTA_ADMITTED ? 0 : decision.wait_ms;
}

/* A short burst over the part is delayed instead of refused. */
static void
short_bursts_are_delayed(void **state)
{
    RouteAccount account = {
        .name = "a", .counts_tokens = true, .rate = 4000, .burst = 4000};
    AloneGateway alone;
    set_up_alone(&alone, &account);
    while (is_admitted(&alone, 100, 0)) {
    }
    TimeUs from = Clock_Now();
    QuotaDecision first = take(&alone, 100, 250);
    QuotaDecision second = take(&alone, 100, 250);
    assert_int_equal(first.verdict, QUOTA_ADMITTED);
    assert_int_equal(second.verdict, QUOTA_ADMITTED);
    /* 100 units refill in 100 ms at this gateway's part of 1,000 units/s. The
     * time between the two requests is subtracted. */
    int64_t passed_ms = (Clock_Now() - from) / US_PER_MS + 1;
    int64_t apart_ms = (int64_t)second.wait_ms - first.wait_ms;
    assert_true(apart_ms <= 101 && apart_ms >= 99 - passed_ms);
    unsigned more = 0;
    while (is_admitted(&alone, 100, 250)) {
        more++;
    }
    assert_true(more <= 1 + passed_ms / 100 + 1);
    Quotas_Refund(alone.gateway.quotas, &account, 100);
    assert_true(is_admitted(&alone, 100, 250));
    tear_down_alone(&alone);
}

/* A gateway that has just lost the leader has used nothing of its part, and
 * nothing of it is saved up. */
static void
part_starts_empty_and_retries_are_spread(void **state)
{
    RouteAccount account = {
        .name = "a", .counts_tokens = true, .rate = 4000, .burst = 4000};
    AloneGateway alone;
    set_up_alone(&alone, &account);
    unsigned served = 0;
    uint32_t wait_ms = 0;
    while ((wait_ms = retry_delay_ms(&alone, 100)) == 0) {
        served++;
    }
    assert_in_range(served, 1, 2);
    uint32_t later_ms = retry_delay_ms(&alone, 100);
    assert_true(later_ms > wait_ms);
    assert_in_range(later_ms - wait_ms, 50, 150);
    RouteAccount unlimited = {.name = "b"};
    alone.call.account = &unlimited;
    assert_int_equal(retry_delay_ms(&alone, 1e9), 0);
    tear_down_alone(&alone);
}

/* A gateway may owe its part of a fifth of the slack, whether or not it
 * reaches the leader. */
static void
requests_on_credit_need_no_answer(void **state)
{
    options.bounds.quota_slack = 40000;
    RouteAccount account = {
        .name = "a", .counts_tokens = true, .rate = 4000, .burst = 4000};
    AloneGateway alone;
    set_up_alone(&alone, &account);
    assert_int_equal(retry_delay_ms(&alone, 1900), 0); /* owed */
    assert_int_equal(retry_delay_ms(&alone, 7000), 0); /* its part */
    assert_int_not_equal(retry_delay_ms(&alone, 1900), 0);
    assert_int_equal(retry_delay_ms(&alone, 100), 0); /* the last owed units */
    assert_int_not_equal(retry_delay_ms(&alone, 3000), 0);
    tear_down_alone(&alone);
    options.bounds.quota_slack = 0;
}

static void
count_visit(void *arg, const char *account, double units)
{
    ++*(unsigned *)arg;
}

/* What is stored of an account ends with its limit, so that accounts that come
 * and go do not take ever more memory. */
static void
accounts_without_a_limit_are_forgotten(void **state)
{
    RouteAccount account = {
        .name = "a", .counts_tokens = true, .rate = 4000, .burst = 4000};
    AloneGateway alone;
    set_up_alone(&alone, &account);
    Quotas_Refund(alone.gateway.quotas, &account, 100);
    unsigned visits = 0;
    /* The gateway has no table, hence no account. */
    Quotas_TakeExcess(alone.gateway.quotas, count_visit, &visits);
    assert_int_equal(visits, 0);
    /* One request overdraws the empty part; the refund would admit another. */
    assert_true(is_admitted(&alone, 100, 0));
    assert_false(is_admitted(&alone, 100, 0));
    tear_down_alone(&alone);
}

static void
retries_stay_within_the_budget(void **state)
{
    Gateway gateway = new_gateway();
    Retries *retries = Retries_New(&gateway);
    for (unsigned i = 0; i < 50; i++) {
        Retries_AddRequest(retries, "s");
    }
    unsigned taken = 0;
    while (Retries_Take(retries, "s")) {
        taken++;
    }
    /* 0.2 * 50 requests + 0.8 * 60 allowed retries / 4 gateways. */
    assert_int_equal(taken, 22);
    assert_true(Retries_Take(retries, "other"));
    Retries_Free(retries);
}

static void
not_run_errors_are_replaced_when_maybe_ran(void **state)
{
    const CallError refused = {.status = 503, .code = "no_lease"};
    const CallError denied = {.status = 401, .code = "denied"};
    assert_ptr_equal(GatewayErrors_ForOutcome(&refused, false), &refused);
    assert_int_equal(GatewayErrors_ForOutcome(&refused, true)->status, 502);
    assert_ptr_equal(GatewayErrors_ForOutcome(&denied, true), &denied);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(only_complete_events_are_forwarded),
        cmocka_unit_test(load_reports_are_read),
        cmocka_unit_test(resumed_stream_skips_forwarded_events),
        cmocka_unit_test(the_rest_follows_the_forwarded_events),
        cmocka_unit_test(
            a_rest_after_ids_of_varying_distance_may_begin_anywhere),
        cmocka_unit_test(streams_with_events_without_an_id_do_not_go_on),
        cmocka_unit_test(short_bursts_are_delayed),
        cmocka_unit_test(part_starts_empty_and_retries_are_spread),
        cmocka_unit_test(requests_on_credit_need_no_answer),
        cmocka_unit_test(accounts_without_a_limit_are_forgotten),
        cmocka_unit_test(retries_stay_within_the_budget),
        cmocka_unit_test(not_run_errors_are_replaced_when_maybe_ran),
    };
    return cmocka_run_group_tests_name("gateway", tests, NULL, NULL);
}
