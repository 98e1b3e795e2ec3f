/** @file
 * Claims: hash table by account and key, with queues of the running claims,
 * the ended claims and the stored answers.
 */
#include "control/claims.h"

#include <string.h>

#include "kernel/error.h"

typedef struct Claim {
    char *name; /* account and key, separated by a newline */
    uint64_t body_hash;
    Wire__ClaimState state; /* RUNNING, FINISHED or LOST */
    uint64_t owner;
    uint64_t expires_ms; /* replicated clock; 0 while the claim is running */
    uint32_t status;
    char *content_type;
    GBytes *answer;    /* NULL when no answer is stored */
    GList node;        /* in Claims.running or Claims.ended */
    GList answer_node; /* in Claims.answers while an answer is stored */
} Claim;

struct Claims {
    ClaimsLimits limits;
    GHashTable *by_name;
    GQueue running; /* in order of grant */
    GQueue ended;   /* in order of end */
    GQueue answers; /* claims with a stored answer, in order of end */
    size_t answer_bytes;
};

static void
free_claim(gpointer data)
{
    Claim *claim = data;
    g_free(claim->name);
    g_free(claim->content_type);
    if (claim->answer != NULL) {
        g_bytes_unref(claim->answer);
    }
    g_free(claim);
}

Claims *
Claims_New(const ClaimsLimits *limits)
{
    Claims *claims = g_new0(Claims, 1);
    claims->limits = *limits;
    claims->by_name =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_claim);
    g_queue_init(&claims->running);
    g_queue_init(&claims->ended);
    g_queue_init(&claims->answers);
    return claims;
}

void
Claims_Free(Claims *claims)
{
    g_hash_table_destroy(claims->by_name);
    g_free(claims);
}

static Claim *
find_claim(const Claims *claims, const Wire__Command *command)
{
    char name[CLAIM_ACCOUNT_MAX_BYTES + CLAIM_KEY_MAX_BYTES + 2];
    g_snprintf(name, sizeof(name), "%s\n%s", command->account, command->key);
    return g_hash_table_lookup(claims->by_name, name);
}

static Claim *
add_claim(Claims *claims, char *name)
{
    Claim *claim = g_new0(Claim, 1);
    claim->name = name;
    claim->node.data = claim;
    claim->answer_node.data = claim;
    g_hash_table_insert(claims->by_name, claim->name, claim);
    return claim;
}

static void
evict_answer(Claims *claims, Claim *claim)
{
    if (claim->answer == NULL) {
        return;
    }
    claims->answer_bytes -= g_bytes_get_size(claim->answer);
    g_queue_unlink(&claims->answers, &claim->answer_node);
    g_bytes_unref(claim->answer);
    claim->answer = NULL;
}

static void
remove_claim(Claims *claims, Claim *claim)
{
    bool is_running = claim->state == WIRE__CLAIM_STATE__CLAIM_RUNNING;
    evict_answer(claims, claim);
    g_queue_unlink(is_running ? &claims->running : &claims->ended,
                   &claim->node);
    g_hash_table_remove(claims->by_name, claim->name);
}

void
Claims_Expire(Claims *claims, uint64_t clock_ms)
{
    Claim *oldest;
    while ((oldest = g_queue_peek_head(&claims->ended)) != NULL &&
           oldest->expires_ms <= clock_ms)
    {
        remove_claim(claims, oldest);
    }
}

/* Sets the final state of a claim and moves it to the tail of the queue of
 * ended claims. */
static void
set_ended(Claims *claims, Claim *claim, Wire__ClaimState state,
          uint64_t expires_ms)
{
    bool is_running = claim->state == WIRE__CLAIM_STATE__CLAIM_RUNNING;
    g_queue_unlink(is_running ? &claims->running : &claims->ended,
                   &claim->node);
    g_queue_push_tail_link(&claims->ended, &claim->node);
    claim->state = state;
    claim->expires_ms = expires_ms;
}

/* Stores an answer unless it is too large. Evicts the oldest stored answers
 * until it fits. */
static void
store_answer(Claims *claims, Claim *claim, const uint8_t *bytes, size_t size)
{
    if (size > CLAIM_ANSWER_MAX_BYTES || size > claims->limits.answer_bytes) {
        return;
    }
    while (claims->answer_bytes + size > claims->limits.answer_bytes) {
        evict_answer(claims, g_queue_peek_head(&claims->answers));
    }
    claim->answer = g_bytes_new(bytes, size);
    claims->answer_bytes += size;
    g_queue_push_tail_link(&claims->answers, &claim->answer_node);
}

static void
fill_reply(const Claim *claim, const Wire__Command *command,
           Wire__CommandReply *reply)
{
    reply->claim = claim->state;
    if (claim->body_hash != command->body_hash) {
        reply->claim = WIRE__CLAIM_STATE__CLAIM_MISMATCH;
        return;
    }
    if (claim->state == WIRE__CLAIM_STATE__CLAIM_RUNNING) {
        reply->retry_after_ms = CLAIM_RETRY_AFTER_MS;
    }
    if (claim->state != WIRE__CLAIM_STATE__CLAIM_FINISHED) {
        return;
    }
    reply->status = claim->status;
    reply->content_type = claim->content_type;
    reply->answer_dropped = claim->answer == NULL;
    if (claim->answer != NULL) {
        gsize size;
        reply->answer.data = (uint8_t *)g_bytes_get_data(claim->answer, &size);
        reply->answer.len = size;
    }
}

static void
apply_claim(Claims *claims, const Wire__Command *command,
            Wire__CommandReply *reply)
{
    Claim *claim = find_claim(claims, command);
    if (claim != NULL) {
        fill_reply(claim, command, reply);
        return;
    }
    if (Claims_Count(claims) >= claims->limits.claims) {
        reply->code = ERR_FULL;
        reply->text = "The table of claims is full.";
        return;
    }
    claim = add_claim(
        claims, g_strdup_printf("%s\n%s", command->account, command->key));
    claim->body_hash = command->body_hash;
    claim->state = WIRE__CLAIM_STATE__CLAIM_RUNNING;
    claim->owner = command->owner;
    g_queue_push_tail_link(&claims->running, &claim->node);
    reply->claim = WIRE__CLAIM_STATE__CLAIM_GRANTED;
}

/* A lost claim may still become finished: its owner may only have been
 * disconnected and report the result later. */
static bool
can_finish(const Claim *claim)
{
    return claim->state == WIRE__CLAIM_STATE__CLAIM_RUNNING ||
           claim->state == WIRE__CLAIM_STATE__CLAIM_LOST;
}

static void
set_finished(Claims *claims, Claim *claim, const Wire__Command *command,
             uint64_t expires_ms)
{
    claim->status = command->status;
    g_free(claim->content_type);
    claim->content_type =
        g_strndup(command->content_type, CLAIM_CONTENT_TYPE_MAX_BYTES);
    set_ended(claims, claim, WIRE__CLAIM_STATE__CLAIM_FINISHED, expires_ms);
    store_answer(claims, claim, command->answer.data, command->answer.len);
}

static void
apply_result(Claims *claims, const Wire__Command *command, uint64_t clock_ms,
             Wire__CommandReply *reply)
{
    Claim *claim = find_claim(claims, command);
    if (claim == NULL) {
        reply->code = ERR_NOT_FOUND;
        reply->text = "There is no such claim.";
        return;
    }
    bool is_done = command->kind == WIRE__COMMAND_KIND__COMMAND_CLAIM_DONE;
    bool is_running = claim->state == WIRE__CLAIM_STATE__CLAIM_RUNNING;
    reply->claim = claim->state;
    if (claim->owner != command->owner ||
        !(is_running || (is_done && can_finish(claim))))
    {
        reply->code = ERR_CONFLICT;
        reply->text = "The claim has ended or has another owner.";
        return;
    }
    uint64_t expires_ms = clock_ms + command->retention_ms;
    if (is_done) {
        set_finished(claims, claim, command, expires_ms);
    }
    else if (command->kind == WIRE__COMMAND_KIND__COMMAND_CLAIM_UNKNOWN) {
        set_ended(claims, claim, WIRE__CLAIM_STATE__CLAIM_LOST, expires_ms);
    }
    else {
        remove_claim(claims, claim);
        reply->claim = WIRE__CLAIM_STATE__CLAIM_NONE;
        return;
    }
    reply->claim = claim->state;
}

static bool
is_valid_command(const Wire__Command *command)
{
    size_t account = strlen(command->account);
    size_t key = strlen(command->key);
    return account > 0 && account <= CLAIM_ACCOUNT_MAX_BYTES && key > 0 &&
           key <= CLAIM_KEY_MAX_BYTES &&
           strchr(command->account, '\n') == NULL;
}

void
Claims_Apply(Claims *claims, const Wire__Command *command, uint64_t clock_ms,
             Wire__CommandReply *reply)
{
    if (!is_valid_command(command)) {
        reply->code = ERR_INVALID;
        reply->text = "A claim needs an account and a key of 255 bytes.";
        return;
    }
    if (command->kind == WIRE__COMMAND_KIND__COMMAND_CLAIM) {
        apply_claim(claims, command, reply);
        return;
    }
    apply_result(claims, command, clock_ms, reply);
}

bool
Claims_FillAnswer(const Claims *claims, const Wire__Command *command,
                  Wire__CommandReply *reply)
{
    const Claim *claim =
        is_valid_command(command) ? find_claim(claims, command) : NULL;
    /* The claim may have expired and been granted again for a request with
     * another body. */
    if (claim == NULL || claim->state != WIRE__CLAIM_STATE__CLAIM_FINISHED ||
        claim->body_hash != command->body_hash)
    {
        return false;
    }
    fill_reply(claim, command, reply);
    return true;
}

static bool
contains_owner(uint64_t owner, const uint64_t *owners, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        if (owners[i] == owner) {
            return true;
        }
    }
    return false;
}

size_t
Claims_MarkLost(Claims *claims, const uint64_t *owners, size_t count,
                uint64_t expires_ms)
{
    size_t lost = 0;
    GList *node = claims->running.head;
    while (node != NULL) {
        Claim *claim = node->data;
        node = node->next;
        if (contains_owner(claim->owner, owners, count)) {
            set_ended(claims, claim, WIRE__CLAIM_STATE__CLAIM_LOST,
                      expires_ms);
            lost++;
        }
    }
    return lost;
}

GHashTable *
Claims_RunningOwners(const Claims *claims)
{
    GHashTable *owners =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    for (GList *node = claims->running.head; node != NULL; node = node->next) {
        const Claim *claim = node->data;
        if (!g_hash_table_contains(owners, &claim->owner)) {
            g_hash_table_add(owners,
                             g_memdup2(&claim->owner, sizeof(uint64_t)));
        }
    }
    return owners;
}

size_t
Claims_Count(const Claims *claims)
{
    return g_hash_table_size(claims->by_name);
}

size_t
Claims_RunningCount(const Claims *claims)
{
    return claims->running.length;
}

size_t
Claims_AnswerBytes(const Claims *claims)
{
    return claims->answer_bytes;
}

static State__Claim *
save_claim(const Claim *claim)
{
    State__Claim *record = g_new(State__Claim, 1);
    state__claim__init(record);
    record->name = claim->name;
    record->body_hash = claim->body_hash;
    record->state = claim->state;
    record->owner = claim->owner;
    record->expires_ms = claim->expires_ms;
    record->status = claim->status;
    if (claim->content_type != NULL) {
        record->content_type = claim->content_type;
    }
    if (claim->answer != NULL) {
        gsize size;
        record->has_answer = true;
        record->answer.data =
            (uint8_t *)g_bytes_get_data(claim->answer, &size);
        record->answer.len = size;
    }
    return record;
}

static State__Claim **
save_queue(const GQueue *queue, size_t *count)
{
    State__Claim **records = g_new0(State__Claim *, queue->length);
    *count = 0;
    for (GList *node = queue->head; node != NULL; node = node->next) {
        records[(*count)++] = save_claim(node->data);
    }
    return records;
}

void
Claims_Save(const Claims *claims, State__Snapshot *snapshot)
{
    snapshot->ended = save_queue(&claims->ended, &snapshot->n_ended);
    snapshot->running = save_queue(&claims->running, &snapshot->n_running);
}

static int
load_claim(Claims *claims, const State__Claim *record, GQueue *queue)
{
    bool is_running = queue == &claims->running;
    if ((record->state == WIRE__CLAIM_STATE__CLAIM_RUNNING) != is_running ||
        record->answer.len > CLAIM_ANSWER_MAX_BYTES ||
        g_hash_table_contains(claims->by_name, record->name))
    {
        return ERR_CORRUPT;
    }
    Claim *claim = add_claim(claims, g_strdup(record->name));
    claim->body_hash = record->body_hash;
    claim->state = (Wire__ClaimState)record->state;
    claim->owner = record->owner;
    claim->expires_ms = record->expires_ms;
    claim->status = record->status;
    claim->content_type = g_strdup(record->content_type);
    g_queue_push_tail_link(queue, &claim->node);
    if (record->has_answer) {
        store_answer(claims, claim, record->answer.data, record->answer.len);
    }
    return ERR_OK;
}

int
Claims_Load(Claims *claims, const State__Snapshot *snapshot)
{
    int result = ERR_OK;
    for (size_t i = 0; result == ERR_OK && i < snapshot->n_ended; i++) {
        result = load_claim(claims, snapshot->ended[i], &claims->ended);
    }
    for (size_t i = 0; result == ERR_OK && i < snapshot->n_running; i++) {
        result = load_claim(claims, snapshot->running[i], &claims->running);
    }
    return result;
}
