/** @file
 * Account limits in this entry. Each account is assigned a row of the limit
 * table at its first request. It keeps the row when the rules change, so that
 * its current use still counts.
 */
#include "entry/state.h"

#include <string.h>

/* Minimum number of rows of the limit table. A full table is replaced. */
#define ACCOUNTS_MIN_SLOTS 4096

typedef struct PlaceRow {
    uint32_t index;
    AccountLimits limits;
    double share;
} Slot;

struct Accounts {
    LimitTable *table;
    uint32_t capacity;
    GHashTable *slots; /* account name -> Slot */
};

Accounts *
EntryAccounts_New(void)
{
    Accounts *accounts = g_new0(Accounts, 1);
    accounts->slots =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return accounts;
}

void
EntryAccounts_Free(Accounts *accounts)
{
    Limits_Free(accounts->table);
    g_hash_table_destroy(accounts->slots);
    g_free(accounts);
}

/* Replaces the limit table by an empty one with @p capacity rows, and admits
 * the running requests to it. */
static void
start_anew(Entry *entry, uint32_t capacity, TimeUs now)
{
    Accounts *accounts = entry->accounts;
    Limits_Free(accounts->table);
    g_hash_table_remove_all(accounts->slots);
    accounts->table = Limits_New(capacity);
    accounts->capacity = capacity;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, entry->requests);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        Request *request = value;
        const RulesAccount *account =
            Rules_AccountByName(entry->rules, request->account);
        uint32_t unused;
        request->account_slot = UINT32_MAX;
        if (account != NULL) {
            EntryAccounts_Admit(entry, account, request, now, &unused);
        }
    }
}

/* Returns the fraction of every limit that this entry may use: 1 divided by
 * the largest number of entries that a control host lists. */
static double
own_share(const Entry *entry)
{
    guint live = 1;
    for (guint i = 0; i < entry->hosts->len; i++) {
        const ControlHost *host = g_ptr_array_index(entry->hosts, i);
        live = MAX(live, g_hash_table_size(host->entries));
    }
    return 1.0 / live;
}

static Slot *
slot_of(Entry *entry, const RulesAccount *account, TimeUs now)
{
    Accounts *accounts = entry->accounts;
    Slot *slot = g_hash_table_lookup(accounts->slots, account->name);
    if (slot != NULL) {
        return slot;
    }
    if (g_hash_table_size(accounts->slots) == accounts->capacity) {
        uint32_t wanted = 2 * Rules_AccountCount(entry->rules);
        start_anew(entry, MAX(wanted, ACCOUNTS_MIN_SLOTS), now);
    }
    slot = g_new0(Slot, 1);
    slot->index = g_hash_table_size(accounts->slots);
    g_hash_table_insert(accounts->slots, g_strdup(account->name), slot);
    return slot;
}

static void
refresh(Entry *entry, Slot *slot, const RulesAccount *account, TimeUs now)
{
    AccountLimits limits = {
        .requests_s = account->requests_s,
        .tokens_s = account->tokens_s,
        .concurrent = account->concurrent,
    };
    LimitTable *table = entry->accounts->table;
    double share = own_share(entry);
    if (slot->share != share) {
        slot->share = share;
        Limits_SetShare(table, slot->index, share);
    }
    if (memcmp(&slot->limits, &limits, sizeof(limits)) != 0) {
        slot->limits = limits;
        Limits_Set(table, slot->index, &limits, now);
    }
}

static uint32_t
tokens_of(const Request *request)
{
    return request->work.prompt_tokens + request->work.output_tokens;
}

bool
EntryAccounts_Admit(Entry *entry, const RulesAccount *account,
                    Request *request, TimeUs now, uint32_t *retry_after_ms)
{
    Slot *slot = slot_of(entry, account, now);
    refresh(entry, slot, account, now);
    bool within = Limits_Admit(entry->accounts->table, slot->index,
                               tokens_of(request), now, retry_after_ms);
    request->account_slot = within ? slot->index : UINT32_MAX;
    return within;
}

void
EntryAccounts_Release(Entry *entry, const Request *request, TimeUs now)
{
    if (request->account_slot != UINT32_MAX) {
        uint32_t tokens = tokens_of(request);
        Limits_Release(entry->accounts->table, request->account_slot, tokens,
                       tokens, now);
    }
}
