/** @file
 * Gateway: chooses the keepers that are told how a stream began. All gateways
 * choose alike, by a hash of the request id, so that two streams with one id
 * contradict each other at a keeper. What was told is remembered by the
 * address of the keeper, which outlives the engine beside it.
 */
#include <string.h>

#include <xxhash.h>

#include "gateway/keepers.h"
#include "gateway/origin_copies.h"
#include "routes/origin_news.h"

/* Keepers that are told of a stream: the one that granted its slot, and others
 * in case that the host of its engine is lost or replaced. */
#define COPIES 3

struct OriginCopies {
    const Gateway *gateway;
    GHashTable *told; /* address of a keeper -> StreamOrigins */
};

static void
free_table(gpointer table)
{
    StreamOrigins_Free(table);
}

OriginCopies *
OriginCopies_New(const Gateway *gateway)
{
    OriginCopies *copies = g_new0(OriginCopies, 1);
    copies->gateway = gateway;
    copies->told =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_table);
    return copies;
}

void
OriginCopies_Free(OriginCopies *copies)
{
    g_hash_table_destroy(copies->told);
    g_free(copies);
}

/* The keepers that are told of a stream. */
typedef struct CopyChoice {
    const Keeper *keepers[COPIES];
    size_t count;
} CopyChoice;

static bool
is_chosen(const CopyChoice *choice, const Keeper *keeper)
{
    for (size_t i = 0; i < choice->count; i++) {
        if (strcmp(choice->keepers[i]->address, keeper->address) == 0) {
            return true;
        }
    }
    return false;
}

/* Returns the keeper that granted the call's slot, or the one beside its
 * endpoint; NULL if it is not connected. */
static const Keeper *
find_granting(const Call *call)
{
    const Keepers *keepers = call->gateway->keepers;
    const Want *want =
        call->want_id == 0
            ? NULL
            : g_hash_table_lookup(keepers->wants, &call->want_id);
    const Keeper *keeper = want == NULL ? NULL : want->granted_by;
    if (keeper == NULL && call->endpoint != NULL) {
        keeper = g_hash_table_lookup(keepers->by_endpoint, call->endpoint->id);
    }
    return keeper != NULL && Link_IsConnected(keeper->link) ? keeper : NULL;
}

/* Returns the keeper of the service that comes next for the request, or NULL.
 * Those whose endpoints leave come last. */
static const Keeper *
find_next(const Keepers *keepers, const CopyChoice *choice,
          const StreamOrigin *origin)
{
    const Keeper *best = NULL;
    uint64_t best_score = 0;
    bool best_stays = false;
    uint64_t seed = XXH3_64bits(origin->request, strlen(origin->request));
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, keepers->by_endpoint);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const Keeper *keeper = value;
        const Endpoint *endpoint =
            Endpoints_Find(keepers->gateway, keeper->endpoint_id);
        if (endpoint == NULL || !Link_IsConnected(keeper->link) ||
            strcmp(endpoint->service, origin->service) != 0 ||
            is_chosen(choice, keeper))
        {
            continue;
        }
        bool stays = endpoint->state == ENDPOINT_READY;
        uint64_t score = XXH3_64bits_withSeed(keeper->address,
                                              strlen(keeper->address), seed);
        if (best == NULL || (stays && !best_stays) ||
            (stays == best_stays && score > best_score))
        {
            best = keeper;
            best_score = score;
            best_stays = stays;
        }
    }
    return best;
}

static void
choose_keepers(const Call *call, const StreamOrigin *origin,
               CopyChoice *choice)
{
    const Keeper *keeper = find_granting(call);
    if (keeper != NULL) {
        choice->keepers[choice->count++] = keeper;
    }
    while (choice->count < COPIES &&
           (keeper = find_next(call->gateway->keepers, choice, origin)) !=
               NULL)
    {
        choice->keepers[choice->count++] = keeper;
    }
}

/* Returns the table of what a keeper was told. Removes those of keepers that
 * were told nothing lately, when it makes a new one. */
static StreamOrigins *
find_table(OriginCopies *copies, const char *address, TimeUs now)
{
    StreamOrigins *table = g_hash_table_lookup(copies->told, address);
    if (table != NULL) {
        return table;
    }
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, copies->told);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (StreamOrigins_Expire(value, now) == 0) {
            g_hash_table_iter_remove(&iter);
        }
    }
    table = StreamOrigins_New(ORIGIN_NEWS_COPIES_MAX);
    g_hash_table_insert(copies->told, g_strdup(address), table);
    return table;
}

/* Sends an origin to all connected keepers at an address. */
static void
send_to_address(const OriginCopies *copies, const char *address,
                const StreamOrigin *origin, TimeUs now)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, copies->gateway->keepers->by_endpoint);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const Keeper *keeper = value;
        if (strcmp(keeper->address, address) == 0) {
            OriginNews_Send(keeper->link, origin, now);
        }
    }
}

/* Sends a correction to the keepers that know the stream. One that is not
 * connected gets it when it connects.
 * @return false if no keeper was told of the stream. */
static bool
correct(OriginCopies *copies, const StreamOrigin *origin, TimeUs now)
{
    bool known = false;
    GHashTableIter iter;
    gpointer address;
    gpointer table;
    g_hash_table_iter_init(&iter, copies->told);
    while (g_hash_table_iter_next(&iter, &address, &table)) {
        if (StreamOrigins_Find(table, origin->request, now) != NULL) {
            known = true;
            OriginNews_AddCopy(table, origin, now);
            send_to_address(copies, address, origin, now);
        }
    }
    return known;
}

void
OriginCopies_Tell(OriginCopies *copies, const Call *call,
                  const StreamOrigin *origin)
{
    TimeUs now = Clock_Now();
    if (correct(copies, origin, now)) {
        return;
    }
    CopyChoice choice = {.count = 0};
    choose_keepers(call, origin, &choice);
    for (size_t i = 0; i < choice.count; i++) {
        const Keeper *keeper = choice.keepers[i];
        OriginNews_AddCopy(find_table(copies, keeper->address, now), origin,
                           now);
        OriginNews_Send(keeper->link, origin, now);
    }
}

void
OriginCopies_SendAll(OriginCopies *copies, const char *address, Link *link)
{
    const StreamOrigins *table = g_hash_table_lookup(copies->told, address);
    if (table != NULL) {
        OriginNews_SendAll(table, link, Clock_Now());
    }
}
