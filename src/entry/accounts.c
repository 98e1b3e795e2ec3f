/** @file
 * Account limits in this entry. Each account is assigned a row of the limit
 * table at its first request. It keeps the row when the rules change, so that
 * its current use still counts.
 */
#include "entry/state.h"

#include <string.h>

/* Minimum number of rows of the limit table. A full table is replaced. */
#define ACCOUNTS_MIN_ROWS 4096

typedef struct AccountRow {
    uint32_t index;
    AccountLimits limits;
    double share;
} AccountRow;

struct Accounts {
    LimitTable *table;
    uint32_t capacity;
    GHashTable *rows; /* account name -> AccountRow */
};

Accounts *
EntryAccounts_New(void)
{
    Accounts *accounts = g_new0(Accounts, 1);
    accounts->rows =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return accounts;
}

void
EntryAccounts_Free(Accounts *accounts)
{
    Limits_Free(accounts->table);
    g_hash_table_destroy(accounts->rows);
    g_free(accounts);
}

/* Replaces the limit table by an empty one with @p capacity rows, and admits
 * the running requests to it. */
static void
replace_table(Entry *entry, uint32_t capacity, TimeUs now)
{
    Accounts *accounts = entry->accounts;
    Limits_Free(accounts->table);
    g_hash_table_remove_all(accounts->rows);
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
        request->account_row = UINT32_MAX;
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
    guint entry_count = 1;
    for (guint i = 0; i < entry->hosts->len; i++) {
        const ControlHost *host = g_ptr_array_index(entry->hosts, i);
        entry_count = MAX(entry_count, g_hash_table_size(host->entries));
    }
    return 1.0 / entry_count;
}

static AccountRow *
find_or_add_row(Entry *entry, const RulesAccount *account, TimeUs now)
{
    Accounts *accounts = entry->accounts;
    AccountRow *row = g_hash_table_lookup(accounts->rows, account->name);
    if (row != NULL) {
        return row;
    }
    if (g_hash_table_size(accounts->rows) == accounts->capacity) {
        uint32_t needed_rows = 2 * Rules_AccountCount(entry->rules);
        replace_table(entry, MAX(needed_rows, ACCOUNTS_MIN_ROWS), now);
    }
    row = g_new0(AccountRow, 1);
    row->index = g_hash_table_size(accounts->rows);
    g_hash_table_insert(accounts->rows, g_strdup(account->name), row);
    return row;
}

static void
update_limits(Entry *entry, AccountRow *row, const RulesAccount *account,
              TimeUs now)
{
    AccountLimits limits = {
        .requests_s = account->requests_s,
        .tokens_s = account->tokens_s,
        .concurrent = account->concurrent,
    };
    LimitTable *table = entry->accounts->table;
    double share = own_share(entry);
    if (row->share != share) {
        row->share = share;
        Limits_SetShare(table, row->index, share);
    }
    if (memcmp(&row->limits, &limits, sizeof(limits)) != 0) {
        row->limits = limits;
        Limits_Set(table, row->index, &limits, now);
    }
}

static uint32_t
estimated_tokens(const Request *request)
{
    return request->work.prompt_tokens + request->work.output_tokens;
}

bool
EntryAccounts_Admit(Entry *entry, const RulesAccount *account,
                    Request *request, TimeUs now, uint32_t *retry_after_ms)
{
    AccountRow *row = find_or_add_row(entry, account, now);
    update_limits(entry, row, account, now);
    bool admitted =
        Limits_Admit(entry->accounts->table, row->index,
                     estimated_tokens(request), now, retry_after_ms);
    request->account_row = admitted ? row->index : UINT32_MAX;
    return admitted;
}

void
EntryAccounts_Release(Entry *entry, const Request *request, TimeUs now)
{
    if (request->account_row != UINT32_MAX) {
        uint32_t tokens = estimated_tokens(request);
        Limits_Release(entry->accounts->table, request->account_row, tokens,
                       tokens, now);
    }
}
