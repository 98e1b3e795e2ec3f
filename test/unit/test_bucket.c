/** @file
 * Tests of the token bucket with a reserve for urgent requests.
 */
#include "unit.h"

#include "sched/bucket.h"

#define DURATION_S 40
#define STEPS_PER_S 20

typedef struct Stream {
    BucketRequest request;
    double per_s;
    double due;
    unsigned requested;
    unsigned admitted;
} Stream;

/* Simulates evenly spaced requests for DURATION_S seconds. Returns the units
 * that were admitted after the first 5 s. */
static double
simulate(const BucketLimit *limit, Stream *streams, size_t count)
{
    Bucket bucket;
    Bucket_Init(&bucket, limit, 1);
    double units = 0;
    for (int step = 0; step < DURATION_S * STEPS_PER_S; step++) {
        TimeUs now = 1 + step * (US_PER_S / STEPS_PER_S);
        for (size_t i = 0; i < count; i++) {
            Stream *stream = &streams[i];
            stream->due += stream->per_s / STEPS_PER_S;
            for (; stream->due >= 1; stream->due -= 1) {
                bool admitted =
                    Bucket_Take(&bucket, limit, &stream->request, now)
                        .admitted;
                if (now > 5 * US_PER_S) {
                    stream->requested++;
                    stream->admitted += admitted;
                    units += admitted ? stream->request.cost : 0;
                }
            }
        }
    }
    return units;
}

static double
admitted_fraction(const Stream *stream)
{
    return (double)stream->admitted / stream->requested;
}

/* An account that requests about twice its limit. Its urgent and its small
 * requests are admitted, the others share the rest, and the whole limit is
 * used. */
static void
urgent_requests_are_admitted_first(void **state)
{
    BucketLimit limit = {.rate = 10000, .capacity = 10000};
    Stream streams[] = {
        {.request = {.cost = 3000, .rank = 0, .delay_ms = 200}, .per_s = 2},
        {.request = {.cost = 2000, .rank = 1, .delay_ms = 250}, .per_s = 4},
        {.request = {.cost = 3400, .rank = 2, .delay_ms = 250}, .per_s = 2},
        {.request = {.cost = 200, .rank = 2, .delay_ms = 50}, .per_s = 4},
    };
    double units = simulate(&limit, streams, 4);
    assert_true(admitted_fraction(&streams[0]) >= 0.95);
    assert_true(admitted_fraction(&streams[3]) >= 0.95);
    assert_true(admitted_fraction(&streams[1]) >=
                admitted_fraction(&streams[2]));
    assert_true(units >= 0.97 * limit.rate * (DURATION_S - 5));
    assert_true(units <= limit.rate * (DURATION_S - 5) + 2 * limit.capacity);
}

/* An account that stays within its limit. No request of any rank is
 * refused. */
static void
nothing_is_refused_within_the_limit(void **state)
{
    BucketLimit limit = {.rate = 10000, .capacity = 10000};
    Stream streams[] = {
        {.request = {.cost = 3000, .rank = 0, .delay_ms = 200}, .per_s = 1},
        {.request = {.cost = 3400, .rank = 2, .delay_ms = 250}, .per_s = 2},
    };
    simulate(&limit, streams, 2);
    assert_true(streams[0].admitted == streams[0].requested);
    assert_true(streams[1].admitted == streams[1].requested);
}

/* Refused requests of one rank get successive retry times, and less urgent
 * requests get later ones, so that they are not all retried at once. */
static void
refused_requests_retry_in_order(void **state)
{
    BucketLimit limit = {.rate = 1000, .capacity = 1000};
    Bucket bucket;
    Bucket_Init(&bucket, &limit, 1);
    BucketRequest large = {.cost = 2000, .rank = 0};
    BucketRequest urgent = {.cost = 500, .rank = 0};
    BucketRequest less_urgent = {.cost = 500, .rank = 1};
    assert_true(Bucket_Take(&bucket, &limit, &large, 1).admitted);
    assert_int_equal(Bucket_Take(&bucket, &limit, &urgent, 1).wait_ms, 1000);
    assert_int_equal(Bucket_Take(&bucket, &limit, &urgent, 1).wait_ms, 1500);
    assert_true(Bucket_Take(&bucket, &limit, &less_urgent, 1).wait_ms >= 2000);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(urgent_requests_are_admitted_first),
        cmocka_unit_test(nothing_is_refused_within_the_limit),
        cmocka_unit_test(refused_requests_retry_in_order),
    };
    return cmocka_run_group_tests_name("bucket", tests, NULL, NULL);
}
