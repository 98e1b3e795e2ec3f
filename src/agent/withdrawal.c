/** @file
 * Withdrawal of the endpoint: that it has left, or that an operator has
 * drained it. It is recorded by the control hosts before it is acknowledged,
 * and read from them after a start of the agent.
 */
#include "agent/state.h"

#include <string.h>

#include <sodium.h>

#include "kernel/log.h"

/* Time after which a command that was not recorded is sent again, and after
 * which its waiters are told that it is not recorded. */
#define RESEND_MS 500
#define RECORD_TIMEOUT_MS 2000
/* Longest time after a start for which the endpoint takes no requests because
 * the withdrawal is not known. Without control hosts for that long, entries
 * have lost their leases. */
#define UNKNOWN_MAX_MS 3000

typedef struct Waiter {
    WithdrawalDone done;
    void *arg;
    TimeUs deadline;
} Waiter;

struct AgentWithdrawal {
    Agent *agent;
    bool known;
    bool given_up; /* requests are taken though it is not known */
    TimeUs started_at;
    char left_boot[ENDPOINT_TEXT_BYTES]; /* of the record; empty: none */
    bool pending;                        /* a command is not recorded yet */
    uint8_t id[COMMAND_ID_BYTES];        /* of that command */
    TimeUs sent_at;
    GArray *waiters; /* Waiter elements, oldest first */
};

AgentWithdrawal *
AgentWithdrawal_New(Agent *agent)
{
    AgentWithdrawal *withdrawal = g_new0(AgentWithdrawal, 1);
    withdrawal->agent = agent;
    withdrawal->started_at = Clock_Now();
    withdrawal->waiters = g_array_new(FALSE, FALSE, sizeof(Waiter));
    return withdrawal;
}

/* Reports the outcome to the first @p count waiters. */
static void
finish_waiters(AgentWithdrawal *withdrawal, guint count, bool recorded)
{
    for (; count > 0; count--) {
        Waiter waiter = g_array_index(withdrawal->waiters, Waiter, 0);
        g_array_remove_index(withdrawal->waiters, 0);
        waiter.done(waiter.arg, recorded);
    }
}

void
AgentWithdrawal_Free(AgentWithdrawal *withdrawal)
{
    finish_waiters(withdrawal, withdrawal->waiters->len, false);
    g_array_unref(withdrawal->waiters);
    g_free(withdrawal);
}

static void
send_command(AgentWithdrawal *withdrawal)
{
    const Agent *agent = withdrawal->agent;
    Wire__Withdrawal message = WIRE__WITHDRAWAL__INIT;
    message.left_boot = withdrawal->left_boot;
    message.drained = agent->drained_by_order;
    Wire__Command command = WIRE__COMMAND__INIT;
    command.command_id.data = withdrawal->id;
    command.command_id.len = COMMAND_ID_BYTES;
    command.kind = WIRE__COMMAND_KIND__COMMAND_WITHDRAWAL;
    command.author = agent->own->name;
    command.subject = agent->own->name;
    command.incarnation = agent->self.incarnation;
    command.withdrawal = &message;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_COMMAND;
    frame.command = &command;
    AgentControl_SendAll(withdrawal->agent, &frame);
    withdrawal->sent_at = Clock_Now();
}

/* Replaces the command that is not recorded yet, if any: its waiters get the
 * outcome of this one. */
static void
start_command(AgentWithdrawal *withdrawal)
{
    randombytes_buf(withdrawal->id, sizeof(withdrawal->id));
    withdrawal->pending = true;
    send_command(withdrawal);
}

void
AgentWithdrawal_Record(AgentWithdrawal *withdrawal, WithdrawalDone done,
                       void *arg)
{
    const Endpoint *endpoint = &withdrawal->agent->endpoint;
    g_strlcpy(withdrawal->left_boot,
              endpoint->leaving_reported ? endpoint->boot : "",
              sizeof(withdrawal->left_boot));
    if (done != NULL) {
        Waiter waiter = {
            .done = done,
            .arg = arg,
            .deadline = Clock_Now() + RECORD_TIMEOUT_MS * US_PER_MS,
        };
        g_array_append_val(withdrawal->waiters, waiter);
    }
    start_command(withdrawal);
}

void
AgentWithdrawal_OnReply(AgentWithdrawal *withdrawal,
                        const Wire__CommandReply *reply)
{
    if (!withdrawal->pending || reply->code != ERR_OK ||
        reply->command_id.len != COMMAND_ID_BYTES ||
        memcmp(reply->command_id.data, withdrawal->id, COMMAND_ID_BYTES) != 0)
    {
        return;
    }
    withdrawal->pending = false;
    finish_waiters(withdrawal, withdrawal->waiters->len, true);
}

void
AgentWithdrawal_OnAnnounced(AgentWithdrawal *withdrawal)
{
    Endpoint *endpoint = &withdrawal->agent->endpoint;
    if (withdrawal->left_boot[0] == '\0' || !endpoint->announced) {
        return;
    }
    if (strcmp(endpoint->boot, withdrawal->left_boot) == 0) {
        endpoint->leaving_reported = true;
        return;
    }
    AgentWithdrawal_Record(withdrawal, NULL, NULL);
}

void
AgentWithdrawal_OnKnown(AgentWithdrawal *withdrawal,
                        const Wire__Withdrawal *message)
{
    Agent *agent = withdrawal->agent;
    if (withdrawal->known) {
        return;
    }
    withdrawal->known = true;
    if (message != NULL) {
        LOG_INFO(AGENT_PART,
                 "Withdrawal received. endpoint=%s left_boot=%s drained=%s",
                 agent->own->name, message->left_boot,
                 message->drained ? "yes" : "no");
        agent->drained_by_order = message->drained;
        if (!agent->endpoint.leaving_reported) {
            g_strlcpy(withdrawal->left_boot, message->left_boot,
                      sizeof(withdrawal->left_boot));
        }
    }
    if (withdrawal->pending) {
        start_command(withdrawal);
    }
    AgentWithdrawal_OnAnnounced(withdrawal);
    Agent_Refresh(agent, Clock_Now());
}

bool
AgentWithdrawal_MayServe(const AgentWithdrawal *withdrawal)
{
    return withdrawal->known || withdrawal->given_up;
}

void
AgentWithdrawal_Tick(AgentWithdrawal *withdrawal, TimeUs now)
{
    if (!withdrawal->known && !withdrawal->given_up &&
        now - withdrawal->started_at >= UNKNOWN_MAX_MS * US_PER_MS)
    {
        LOG_WARN(AGENT_PART,
                 "No control host says whether the endpoint is withdrawn; "
                 "it takes requests. endpoint=%s",
                 withdrawal->agent->own->name);
        withdrawal->given_up = true;
    }
    if (withdrawal->pending &&
        now - withdrawal->sent_at >= RESEND_MS * US_PER_MS) {
        send_command(withdrawal);
    }
    guint expired = 0;
    while (expired < withdrawal->waiters->len &&
           g_array_index(withdrawal->waiters, Waiter, expired).deadline <= now)
    {
        expired++;
    }
    finish_waiters(withdrawal, expired, false);
}
