/** @file
 * State machine of a request: rounds of wants, dispatch, resumed answers,
 * claims, deadlines and disconnected callers.
 */
#include "unit.h"

#include "entry/life.h"

#define NOW US_PER_S
#define DEADLINE (NOW + 5 * US_PER_S)

static const LifeAgent agent_1 = {.agent = 1, .incarnation = 7};
static const LifeAgent agent_2 = {.agent = 2, .incarnation = 8};

static LifeActions
step(Life *life, const LifeEvent *event, TimeUs now)
{
    LifeActions actions;
    Life_Step(life, event, now, &actions);
    return actions;
}

static LifeActions
on_wants_sent(Life *life, const LifeAgent *agents, uint32_t count)
{
    return step(life,
                &(LifeEvent){.kind = LIFE_ON_WANTS_SENT,
                             .want_agents = agents,
                             .want_agent_count = count},
                NOW);
}

static LifeActions
on_grant(Life *life, LifeAgent agent)
{
    return step(life,
                &(LifeEvent){.kind = LIFE_ON_GRANT,
                             .agent = agent,
                             .grant_id = 5,
                             .grant_expires_at = NOW + US_PER_S,
                             .lease_valid = true},
                NOW);
}

static void
start_request(Life *life, bool needs_claim)
{
    Life_Init(life, needs_claim, DEADLINE);
    step(life, &(LifeEvent){.kind = LIFE_ON_BEGIN}, NOW);
    if (needs_claim) {
        step(life,
             &(LifeEvent){.kind = LIFE_ON_CLAIM, .claim = LIFE_CLAIM_GRANTED},
             NOW);
    }
}

static void
start_streaming(Life *life, bool needs_claim)
{
    start_request(life, needs_claim);
    on_wants_sent(life, &agent_1, 1);
    on_grant(life, agent_1);
    step(life, &(LifeEvent){.kind = LIFE_ON_HEAD, .agent = agent_1}, NOW);
    step(life,
         &(LifeEvent){.kind = LIFE_ON_PIECE, .agent = agent_1, .length = 10},
         NOW);
}

static const LifeAction *
find_action(const LifeActions *actions, LifeActionKind kind)
{
    for (uint32_t i = 0; i < actions->count; i++) {
        if (actions->list[i].kind == kind) {
            return &actions->list[i];
        }
    }
    return NULL;
}

static void
sends_wants_again_after_all_refusals(void **state)
{
    Life life;
    start_request(&life, false);
    on_wants_sent(&life, &agent_1, 1);
    LifeEvent refuse = {
        .kind = LIFE_ON_REFUSE,
        .agent = agent_1,
        .reason = REFUSE_SHED,
        .retry_after_ms = 3000,
    };
    LifeActions actions = step(&life, &refuse, NOW);
    assert_non_null(find_action(&actions, LIFE_DO_SEND_WANTS));
    assert_true(Life_HasSentWant(&life, 1));
    /* No other agent is available: the request fails at once with the last
     * refusal. */
    actions = on_wants_sent(&life, NULL, 0);
    const LifeAction *fail = find_action(&actions, LIFE_DO_FAIL);
    assert_non_null(fail);
    assert_true(fail->not_run);
    assert_int_equal(fail->reason, REFUSE_SHED);
    assert_int_equal(fail->retry_after_ms, 3000);
}

static void
dispatches_once_and_withdraws_other_wants(void **state)
{
    Life life;
    start_request(&life, false);
    const LifeAgent agents[] = {agent_1, agent_2};
    on_wants_sent(&life, agents, 2);
    LifeActions actions = on_grant(&life, agent_1);
    assert_non_null(find_action(&actions, LIFE_DO_DISPATCH));
    assert_int_equal(find_action(&actions, LIFE_DO_WITHDRAW)->agent.agent, 2);
    actions = on_grant(&life, agent_2);
    assert_int_equal(actions.count, 1);
    assert_int_equal(actions.list[0].kind, LIFE_DO_WITHDRAW);
}

static void
resumes_with_the_same_incarnation_only(void **state)
{
    Life life;
    start_streaming(&life, false);
    step(&life,
         &(LifeEvent){.kind = LIFE_ON_AGENT_DISCONNECTED, .agent = agent_1},
         NOW);
    LifeActions actions = step(
        &life, &(LifeEvent){.kind = LIFE_ON_AGENT_CONNECTED, .agent = agent_1},
        NOW);
    const LifeAction *resume = find_action(&actions, LIFE_DO_RESUME);
    assert_non_null(resume);
    assert_int_equal(resume->offset, 10);
    assert_true(resume->have_head);
    LifeAgent restarted = {.agent = 1, .incarnation = 9};
    actions =
        step(&life,
             &(LifeEvent){.kind = LIFE_ON_AGENT_CONNECTED, .agent = restarted},
             NOW);
    assert_false(find_action(&actions, LIFE_DO_FAIL)->not_run);
}

static void
fails_when_the_agent_does_not_reconnect(void **state)
{
    Life life;
    start_streaming(&life, false);
    life.timer_at = life.deadline = NOW + 100 * US_PER_S;
    step(&life,
         &(LifeEvent){.kind = LIFE_ON_AGENT_DISCONNECTED, .agent = agent_1},
         NOW);
    assert_int_equal(life.timer_at, NOW + LIFE_RESUME_TIMEOUT_US);
    LifeActions actions =
        step(&life, &(LifeEvent){.kind = LIFE_ON_TIMER}, life.timer_at);
    assert_false(find_action(&actions, LIFE_DO_FAIL)->not_run);
}

static void
grant_after_the_deadline_is_not_dispatched(void **state)
{
    Life life;
    start_request(&life, false);
    on_wants_sent(&life, &agent_1, 1);
    LifeEvent grant = {
        .kind = LIFE_ON_GRANT,
        .agent = agent_1,
        .grant_id = 5,
        .grant_expires_at = DEADLINE + US_PER_S,
        .lease_valid = true,
    };
    LifeActions actions = step(&life, &grant, DEADLINE);
    assert_null(find_action(&actions, LIFE_DO_DISPATCH));
    assert_true(find_action(&actions, LIFE_DO_FAIL)->not_run);
}

static void
deadline_while_claiming_releases_the_claim(void **state)
{
    Life life;
    Life_Init(&life, true, DEADLINE);
    step(&life, &(LifeEvent){.kind = LIFE_ON_BEGIN}, NOW);
    LifeActions actions =
        step(&life, &(LifeEvent){.kind = LIFE_ON_TIMER}, DEADLINE);
    assert_int_equal(find_action(&actions, LIFE_DO_RECORD)->record,
                     LIFE_RECORD_RELEASE);
    assert_true(find_action(&actions, LIFE_DO_FAIL)->not_run);
}

static void
claimed_request_continues_without_its_caller(void **state)
{
    Life life;
    start_streaming(&life, true);
    LifeActions actions =
        step(&life, &(LifeEvent){.kind = LIFE_ON_CALLER_DISCONNECTED}, NOW);
    assert_int_equal(actions.count, 0);
    actions = step(&life,
                   &(LifeEvent){.kind = LIFE_ON_END,
                                .agent = agent_1,
                                .length = 10,
                                .hash_matches = true},
                   NOW);
    assert_int_equal(find_action(&actions, LIFE_DO_RECORD)->record,
                     LIFE_RECORD_DONE);
    actions = step(&life, &(LifeEvent){.kind = LIFE_ON_RECORDED}, NOW);
    assert_non_null(find_action(&actions, LIFE_DO_END));
}

static void
disconnected_caller_cancels_an_idempotent_request(void **state)
{
    Life life;
    start_streaming(&life, false);
    LifeActions actions =
        step(&life, &(LifeEvent){.kind = LIFE_ON_CALLER_DISCONNECTED}, NOW);
    assert_non_null(find_action(&actions, LIFE_DO_CANCEL));
    assert_non_null(find_action(&actions, LIFE_DO_END));
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(sends_wants_again_after_all_refusals),
        cmocka_unit_test(dispatches_once_and_withdraws_other_wants),
        cmocka_unit_test(resumes_with_the_same_incarnation_only),
        cmocka_unit_test(fails_when_the_agent_does_not_reconnect),
        cmocka_unit_test(grant_after_the_deadline_is_not_dispatched),
        cmocka_unit_test(deadline_while_claiming_releases_the_claim),
        cmocka_unit_test(claimed_request_continues_without_its_caller),
        cmocka_unit_test(disconnected_caller_cancels_an_idempotent_request),
    };
    return cmocka_run_group_tests_name("request life", tests, NULL, NULL);
}
