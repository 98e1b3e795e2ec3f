/** @file
 * Budget of the memory that a process holds for its clients.
 */
#include "sched/client_budget.h"

/* Part of the bound that large charges leave free. */
#define RESERVE_DIVISOR 4
/* Charge of an account up to which it may use the reserve. */
#define SMALL_BYTES (256u * 1024)
/* Part of the bound that connections may take without a request. */
#define CONNECTIONS_DIVISOR 2
/* Least rate of an incomplete request, and the time that it has besides. */
#define LEAST_BYTES_PER_S 32768
#define GRACE_US US_PER_S
/* Part of the bound up to which others may be charged beside one charge beyond
 * it. */
#define ALONE_DIVISOR 4
/* Part of the bound whose release is worth returning to the system. */
#define RELEASED_DIVISOR 8

struct ClientBudget {
    size_t bound;
    unsigned max_connections;
    unsigned connections;
    size_t charged;
    size_t answers;
    size_t most; /* charged, since the last release */
    GQueue phases[CLIENT_PHASES];
};

ClientBudget *
ClientBudget_New(size_t bound, unsigned max_connections)
{
    ClientBudget *budget = g_new0(ClientBudget, 1);
    size_t by_memory = bound / CONNECTIONS_DIVISOR / CLIENT_IDLE_BYTES;
    budget->bound = bound;
    budget->max_connections = (unsigned)MIN(by_memory, max_connections);
    for (int i = 0; i < CLIENT_PHASES; i++) {
        g_queue_init(&budget->phases[i]);
    }
    return budget;
}

void
ClientBudget_Free(ClientBudget *budget)
{
    g_free(budget);
}

static size_t
large_bound(size_t bound)
{
    return bound - bound / RESERVE_DIVISOR;
}

/* Returns the bound that a charge of this size must keep. */
static size_t
charge_bound(const ClientBudget *budget, size_t bytes)
{
    return bytes > SMALL_BYTES ? large_bound(budget->bound) : budget->bound;
}

size_t
ClientBudget_LargestBody(size_t bound)
{
    size_t overhead =
        CLIENT_IDLE_BYTES + CLIENT_BODY_KERNEL_BYTES + (size_t)SMALL_BYTES;
    size_t room = large_bound(bound);
    return room > overhead ? room - overhead : 0;
}

size_t
ClientBudget_Bound(const ClientBudget *budget)
{
    return budget->bound;
}

size_t
ClientBudget_Charged(const ClientBudget *budget)
{
    return budget->charged;
}

size_t
ClientBudget_Used(const ClientBudget *budget)
{
    return budget->charged + budget->answers;
}

void
ClientBudget_SetAnswers(ClientBudget *budget, size_t bytes)
{
    budget->answers = bytes;
}

bool
ClientBudget_Open(ClientBudget *budget, ClientAccount *account,
                  ClientYield *yield, void *owner, TimeUs now)
{
    if (budget->connections >= budget->max_connections) {
        return false;
    }
    *account = (ClientAccount){
        .yield = yield,
        .owner = owner,
        .since = now,
    };
    if (!ClientBudget_Charge(budget, account, CLIENT_IDLE_BYTES)) {
        return false;
    }
    account->node.data = account;
    budget->connections++;
    g_queue_push_tail_link(&budget->phases[account->phase], &account->node);
    return true;
}

void
ClientBudget_Close(ClientBudget *budget, ClientAccount *account)
{
    ClientBudget_Charge(budget, account, 0);
    g_queue_unlink(&budget->phases[account->phase], &account->node);
    budget->connections--;
}

bool
ClientBudget_Charge(ClientBudget *budget, ClientAccount *account, size_t bytes)
{
    size_t others = ClientBudget_Used(budget) - account->bytes;
    if (bytes > account->bytes && others + bytes > charge_bound(budget, bytes))
    {
        return false;
    }
    ClientBudget_Force(budget, account, bytes);
    return true;
}

bool
ClientBudget_ChargeAlone(ClientBudget *budget, ClientAccount *account,
                         size_t bytes)
{
    size_t others = ClientBudget_Used(budget) - account->bytes;
    if (others > budget->bound / ALONE_DIVISOR) {
        return false;
    }
    ClientBudget_Force(budget, account, bytes);
    return true;
}

void
ClientBudget_Force(ClientBudget *budget, ClientAccount *account, size_t bytes)
{
    budget->charged = budget->charged - account->bytes + bytes;
    budget->most = MAX(budget->most, budget->charged);
    account->bytes = bytes;
}

void
ClientBudget_SetAnswer(ClientBudget *budget, ClientAccount *account,
                       size_t bytes)
{
    size_t charge = account->bytes - account->answer + bytes;
    account->answer = bytes;
    ClientBudget_Force(budget, account, charge);
}

ClientAccount *
ClientBudget_TakeCut(ClientBudget *budget)
{
    ClientAccount *largest = NULL;
    if (ClientBudget_Used(budget) <= budget->bound) {
        return NULL;
    }
    for (int i = 0; i < CLIENT_PHASES; i++) {
        const GList *node = budget->phases[i].head;
        for (; node != NULL; node = node->next) {
            ClientAccount *account = node->data;
            if (account->answer > (largest == NULL ? 0 : largest->answer)) {
                largest = account;
            }
        }
    }
    if (largest != NULL) {
        ClientBudget_SetAnswer(budget, largest, 0);
    }
    return largest;
}

void
ClientBudget_SetPhase(ClientBudget *budget, ClientAccount *account,
                      ClientPhase phase, TimeUs now)
{
    if (account->phase == phase) {
        return;
    }
    g_queue_unlink(&budget->phases[account->phase], &account->node);
    account->phase = phase;
    account->received = 0;
    account->since = now;
    g_queue_push_tail_link(&budget->phases[phase], &account->node);
}

/* Returns by how much a request is behind the least rate; negative if it is
 * not. */
static TimeUs
lateness(const ClientAccount *account, TimeUs now)
{
    TimeUs needed =
        (TimeUs)account->received * US_PER_S / LEAST_BYTES_PER_S + GRACE_US;
    return now - account->since - needed;
}

/* Returns the incomplete request that is furthest behind, or NULL. */
static ClientAccount *
find_latest(const ClientBudget *budget, const ClientAccount *account,
            TimeUs now)
{
    ClientAccount *latest = NULL;
    const GList *node = budget->phases[CLIENT_RECEIVING].head;
    for (; node != NULL; node = node->next) {
        ClientAccount *other = node->data;
        if (other != account && lateness(other, now) > 0 &&
            (latest == NULL || lateness(other, now) > lateness(latest, now)))
        {
            latest = other;
        }
    }
    return latest;
}

/* Returns the connection that has been idle longest, or NULL. None gives way
 * if all of them together would not make room. */
static ClientAccount *
find_idle(const ClientBudget *budget, const ClientAccount *account,
          size_t bytes)
{
    const GQueue *idle = &budget->phases[CLIENT_IDLE];
    size_t others =
        ClientBudget_Used(budget) - (account == NULL ? 0 : account->bytes);
    size_t room = idle->length * (size_t)CLIENT_IDLE_BYTES;
    bool suffices = others + bytes <= charge_bound(budget, bytes) + room;
    const GList *node = idle->head;
    if (node != NULL && node->data == account) {
        node = node->next;
    }
    return node != NULL && suffices ? node->data : NULL;
}

ClientAccount *
ClientBudget_ChooseYielding(const ClientBudget *budget,
                            const ClientAccount *account, size_t bytes,
                            TimeUs now)
{
    ClientAccount *idle = find_idle(budget, account, bytes);
    if (idle != NULL && bytes <= SMALL_BYTES) {
        return idle;
    }
    ClientAccount *latest = find_latest(budget, account, now);
    return latest != NULL ? latest : idle;
}

bool
ClientBudget_TakeReleased(ClientBudget *budget)
{
    size_t released = budget->most - MIN(budget->charged, budget->most);
    if (released < budget->bound / RELEASED_DIVISOR) {
        return false;
    }
    budget->most = budget->charged;
    return true;
}
