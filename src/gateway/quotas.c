/** @file
 * Gateway: quotas of client accounts. The leading control host keeps the
 * ledger of all limits; a gateway that has too few units of an account asks it
 * before it refuses a request. While no leader answers, the gateway uses its
 * part of each limit.
 */
#include <string.h>

#include "gateway/state.h"
#include "kernel/counter.h"
#include "sched/quota_purse.h"

/* Longest wait for the leader's answer. It exceeds the round trip between two
 * regions and is shorter than a caller notices. */
#define ASK_MAX_US (250 * US_PER_MS)
/* Time for which no host is asked after one answered that it does not keep the
 * ledger, and for which no further spare units are asked for after a question
 * for them. */
#define NOT_KEPT_US (150 * US_PER_MS)
#define TOP_UP_US (200 * US_PER_MS)
/* Time for which an unanswered question is remembered, so that units that are
 * granted late are not lost. */
#define QUESTION_MAX_US (5 * US_PER_S)

typedef struct Quota {
    char *account;
    QuotaPurse purse;
    TimeUs topped_up_at; /* when spare units were last asked for */
} Quota;

/* A question to the leader. */
typedef struct QuotaQuestion {
    uint64_t nonce;
    char *account;
    Call *call;   /* NULL if only spare units are asked for, or once the call
                     does not wait for the answer */
    double cost;  /* of the call's request */
    double units; /* asked for the request */
    TimeUs sent_at;
    TimeUs until; /* end of the call's wait */
} QuotaQuestion;

struct Quotas {
    Gateway *gateway;
    GHashTable *by_account; /* account name -> Quota */
    GHashTable *questions;  /* nonce -> QuotaQuestion */
    uint64_t last_nonce;
    TimeUs not_kept_at; /* when a host last answered that it has no ledger */
};

static void
free_quota(gpointer data)
{
    Quota *quota = data;
    g_free(quota->account);
    g_free(quota);
}

static void
free_question(gpointer data)
{
    QuotaQuestion *question = data;
    if (question->call != NULL) {
        question->call->quota_question = NULL;
    }
    g_free(question->account);
    g_free(question);
}

static GHashTable *
new_questions(void)
{
    return g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                 free_question);
}

Quotas *
Quotas_New(Gateway *gateway)
{
    Quotas *quotas = g_new0(Quotas, 1);
    quotas->gateway = gateway;
    quotas->by_account =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_quota);
    quotas->questions = new_questions();
    return quotas;
}

void
Quotas_Free(Quotas *quotas)
{
    g_hash_table_destroy(quotas->questions);
    g_hash_table_destroy(quotas->by_account);
    g_free(quotas);
}

static Quota *
find_quota(Quotas *quotas, const char *account)
{
    Quota *quota = g_hash_table_lookup(quotas->by_account, account);
    if (quota == NULL) {
        quota = g_new0(Quota, 1);
        quota->account = g_strdup(account);
        QuotaPurse_Init(&quota->purse, Clock_Now());
        g_hash_table_insert(quotas->by_account, quota->account, quota);
    }
    return quota;
}

static QuotaPart
part_of(const Quotas *quotas, const RouteAccount *account)
{
    QuotaLimit limit = {.rate = account->rate, .burst = account->burst};
    double slack = account->counts_tokens
                       ? quotas->gateway->options->bounds.quota_slack
                       : 0;
    return QuotaPurse_Part(&limit, slack, Gateway_Count(quotas->gateway));
}

/* ---- Questions ---- */

/* Sends a question to the leader.
 * @return NULL if it cannot be asked. */
static QuotaQuestion *
send_question(Quotas *quotas, const char *account, const QuotaAsk *ask)
{
    TimeUs now = Clock_Now();
    if (now - quotas->not_kept_at < NOT_KEPT_US) {
        return NULL;
    }
    Wire__QuotaQuery query = WIRE__QUOTA_QUERY__INIT;
    query.nonce = quotas->last_nonce + 1;
    query.account = (char *)account;
    query.units = (float)ask->units;
    query.spare = (float)ask->spare;
    query.rank = ask->rank;
    query.delay_ms = ask->delay_ms;
    query.returned = (float)ask->returned;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_QUOTA_QUERY;
    frame.quota_query = &query;
    if (!GatewayControl_SendLeader(quotas->gateway->control, &frame)) {
        return NULL;
    }
    Counter_Add(Counter_Get("gateway_quota_questions_total",
                            "Questions to the leader for units of a limit."),
                1);
    QuotaQuestion *question = g_new0(QuotaQuestion, 1);
    question->nonce = ++quotas->last_nonce;
    question->account = g_strdup(account);
    question->units = ask->units;
    question->sent_at = now;
    g_hash_table_insert(quotas->questions, &question->nonce, question);
    return question;
}

/* Asks for spare units if the account has few. */
static void
top_up(Quotas *quotas, Quota *quota, const QuotaPart *part)
{
    TimeUs now = Clock_Now();
    QuotaAsk ask = {.spare = QuotaPurse_Lacking(&quota->purse, part, now)};
    if (ask.spare > 0 && now - quota->topped_up_at >= TOP_UP_US) {
        quota->topped_up_at = now;
        send_question(quotas, quota->account, &ask);
    }
}

/* Lets the question's call wait no longer. Units that are granted later are
 * added to the account's purse. */
static void
abandon_question(Quotas *quotas, QuotaQuestion *question)
{
    if (question->call == NULL) {
        return;
    }
    question->call->quota_question = NULL;
    question->call = NULL;
    QuotaPurse_Add(&find_quota(quotas, question->account)->purse,
                   question->cost - question->units);
}

void
Quotas_Forget(Call *call)
{
    if (call->quota_question != NULL) {
        abandon_question(call->gateway->quotas, call->quota_question);
    }
}

static void
remove_old_questions(Quotas *quotas)
{
    TimeUs now = Clock_Now();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, quotas->questions);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const QuotaQuestion *question = value;
        if (question->call == NULL &&
            now - question->sent_at > QUESTION_MAX_US) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

/* ---- Decisions ---- */

static QuotaDecision
take_alone(Quota *quota, const QuotaPart *part, const BucketRequest *request)
{
    BucketDecision answer =
        QuotaPurse_TakeAlone(&quota->purse, part, request, Clock_Now());
    return (QuotaDecision){
        .verdict = answer.admitted ? QUOTA_ADMITTED : QUOTA_REFUSED,
        .wait_ms = answer.wait_ms,
        .cost = request->cost,
        .level = answer.level,
        .reserve = answer.reserve,
    };
}

QuotaDecision
Quotas_Take(Call *call, const BucketRequest *request)
{
    Quotas *quotas = call->gateway->quotas;
    QuotaDecision decision = {.verdict = QUOTA_ADMITTED,
                              .cost = request->cost};
    if (call->account->rate <= 0) {
        return decision;
    }
    Quota *quota = find_quota(quotas, call->account->name);
    QuotaPart part = part_of(quotas, call->account);
    QuotaQuestion *question = call->quota_question;
    if (question != NULL && strcmp(question->account, quota->account) != 0) {
        /* The key belongs to another account by now. */
        abandon_question(quotas, question);
        question = NULL;
    }
    if (question != NULL && Clock_Now() < question->until) {
        decision.verdict = QUOTA_ASKED;
        decision.ask_until = question->until;
        return decision;
    }
    if (question != NULL) {
        abandon_question(quotas, question);
        return take_alone(quota, &part, request);
    }
    TimeUs now = Clock_Now();
    if (QuotaPurse_Take(&quota->purse, &part, request->cost, now)) {
        top_up(quotas, quota, &part);
        return decision;
    }
    double balance = quota->purse.level;
    QuotaAsk ask = QuotaPurse_Ask(&quota->purse, &part, request, now);
    question = send_question(quotas, quota->account, &ask);
    if (question == NULL) {
        QuotaPurse_Add(&quota->purse, balance);
        return take_alone(quota, &part, request);
    }
    question->call = call;
    question->cost = request->cost;
    question->until =
        MIN(question->sent_at + ASK_MAX_US, call->caller_deadline);
    call->quota_question = question;
    decision.verdict = QUOTA_ASKED;
    decision.ask_until = question->until;
    return decision;
}

void
Quotas_Refund(Quotas *quotas, const RouteAccount *account, double cost)
{
    if (account->rate > 0) {
        QuotaPurse_Add(&find_quota(quotas, account->name)->purse, cost);
    }
}

/* ---- Answers ---- */

void
Quotas_OnReply(Quotas *quotas, const Wire__QuotaReply *reply)
{
    uint64_t nonce = reply->nonce;
    QuotaQuestion *question = g_hash_table_lookup(quotas->questions, &nonce);
    if (question == NULL) {
        return;
    }
    Call *call = question->call;
    if (!reply->kept) {
        quotas->not_kept_at = Clock_Now();
        abandon_question(quotas, question);
        g_hash_table_remove(quotas->questions, &nonce);
        if (call != NULL) {
            Call_Readmit(call);
        }
        return;
    }
    Quota *quota = find_quota(quotas, question->account);
    TimeUs now = Clock_Now();
    QuotaPurse_OnAnswer(&quota->purse, now);
    QuotaPurse_SetContended(&quota->purse, reply->contended, now);
    if (call == NULL) {
        QuotaPurse_Add(&quota->purse, reply->units);
        g_hash_table_remove(quotas->questions, &nonce);
        return;
    }
    QuotaDecision decision = {
        .verdict = reply->admitted ? QUOTA_ADMITTED : QUOTA_REFUSED,
        .by_ledger = true,
        .wait_ms = reply->wait_ms,
        .cost = question->cost,
        .level = reply->level,
        .reserve = reply->reserve,
    };
    if (reply->admitted) {
        QuotaPurse_Add(&quota->purse, reply->units - question->units);
        question->call = NULL;
        call->quota_question = NULL;
    }
    else {
        abandon_question(quotas, question);
    }
    g_hash_table_remove(quotas->questions, &nonce);
    Call_OnQuota(call, &decision);
}

void
Quotas_OnLeaderHeard(Quotas *quotas)
{
    TimeUs now = Clock_Now();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, quotas->by_account);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        Quota *quota = value;
        QuotaPurse_OnAnswer(&quota->purse, now);
    }
    remove_old_questions(quotas);
}

void
Quotas_OnLeaderLost(Quotas *quotas)
{
    GHashTable *lost = quotas->questions;
    quotas->questions = new_questions();
    GPtrArray *calls = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, lost);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        QuotaQuestion *question = value;
        if (question->call != NULL) {
            question->until = 0;
            g_ptr_array_add(calls, question->call);
        }
    }
    for (guint i = 0; i < calls->len; i++) {
        Call_Readmit(calls->pdata[i]);
    }
    g_ptr_array_unref(calls);
    g_hash_table_destroy(lost);
}

void
Quotas_TakeExcess(Quotas *quotas,
                  void (*visit)(void *arg, const char *account, double units),
                  void *arg)
{
    const Gateway *gateway = quotas->gateway;
    TimeUs now = Clock_Now();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, quotas->by_account);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        Quota *quota = value;
        const RouteAccount *account =
            gateway->table == NULL
                ? NULL
                : RouteTable_FindAccount(gateway->table, quota->account);
        if (account == NULL || account->rate <= 0) {
            g_hash_table_iter_remove(&iter);
            continue;
        }
        QuotaPart part = part_of(quotas, account);
        double excess = QuotaPurse_TakeExcess(&quota->purse, &part, now);
        if (excess > 0) {
            visit(arg, quota->account, excess);
        }
    }
}
