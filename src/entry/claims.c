/** @file
 * Claim commands to control. Each command is resent with the same command id
 * until it is answered: to the leader if it is known, otherwise to each
 * control host in turn. The number of pending commands is limited. New claims
 * may use only half of that number, so that the outcomes of granted claims can
 * be recorded.
 */
#include "entry/state.h"

#include <string.h>

#include <sodium.h>

#include "kernel/log.h"

#define COMMAND_ID_BYTES 16
#define COMMAND_RESEND_INTERVAL_US (500 * US_PER_MS)
/* Delay before a command that a host did not accept is resent. */
#define COMMAND_REJECTED_DELAY_US (50 * US_PER_MS)
#define COMMANDS_MAX 8192
/* Above this total size of the pending commands, outcomes are recorded as
 * unknown, without the answer. */
#define COMMANDS_MAX_BYTES (64u * 1024 * 1024)
/* Time after which a command is no longer resent. Control deletes the claim
 * later anyway. */
#define COMMAND_TIMEOUT_US (600 * US_PER_S)

struct ClaimCommand {
    GBytes *id;
    Wire__CommandKind kind;
    uint8_t *packed; /* serialized Wire__Command */
    size_t size;
    Request *request; /* NULL if the request has ended */
    TimeUs send_at;   /* time of the next resend */
    TimeUs expires_at;
    bool rejected; /* a host replied, but did not accept the command */
};

struct ClaimClient {
    Entry *entry;
    GHashTable *pending; /* command id -> ClaimCommand */
    /* Index in Entry.hosts, modulo its length, of the host that commands are
     * sent to. */
    uint32_t current_host;
    size_t bytes; /* total size of the pending commands */
};

static void
free_command(gpointer data)
{
    ClaimCommand *pending = data;
    g_bytes_unref(pending->id);
    g_free(pending->packed);
    g_free(pending);
}

ClaimClient *
EntryClaims_New(Entry *entry)
{
    ClaimClient *client = g_new0(ClaimClient, 1);
    client->entry = entry;
    client->pending =
        g_hash_table_new_full(g_bytes_hash, g_bytes_equal, NULL, free_command);
    return client;
}

void
EntryClaims_Free(ClaimClient *client)
{
    g_hash_table_destroy(client->pending);
    g_free(client);
}

uint32_t
EntryClaims_PendingCount(const ClaimClient *client)
{
    return g_hash_table_size(client->pending);
}

/* Sends a command to the current host, or to the next connected one. */
static void
send_command(ClaimClient *client, ClaimCommand *pending, TimeUs now)
{
    pending->send_at = now + COMMAND_RESEND_INTERVAL_US;
    Wire__Command *command =
        wire__command__unpack(NULL, pending->size, pending->packed);
    INVARIANT(command != NULL);
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_COMMAND;
    frame.command = command;
    GPtrArray *hosts = client->entry->hosts;
    for (guint i = 0; i < hosts->len; i++) {
        ControlHost *host =
            g_ptr_array_index(hosts, client->current_host % hosts->len);
        if (Link_Send(host->link, &frame) == ERR_OK) {
            break;
        }
        client->current_host++;
    }
    wire__command__free_unpacked(command, NULL);
}

static void
fill_answer(const Request *request, Wire__Command *command)
{
    command->status = request->answer_status;
    command->content_type =
        request->answer_type == NULL ? "" : request->answer_type;
    if (request->answer_buffer != NULL) {
        command->answer.data = request->answer_buffer->data;
        command->answer.len = request->answer_buffer->len;
    }
}

static void
add_command(ClaimClient *client, Request *request, Wire__CommandKind kind)
{
    uint8_t id[COMMAND_ID_BYTES];
    randombytes_buf(id, sizeof(id));
    Wire__Command command = WIRE__COMMAND__INIT;
    command.command_id.data = id;
    command.command_id.len = sizeof(id);
    command.kind = kind;
    command.account = request->account;
    command.key = request->idempotency_key;
    command.body_hash = request->body_hash;
    command.owner = client->entry->self.incarnation;
    if (kind == WIRE__COMMAND_KIND__COMMAND_CLAIM_DONE) {
        fill_answer(request, &command);
    }
    TimeUs now = Clock_Now();
    ClaimCommand *pending = g_new0(ClaimCommand, 1);
    pending->id = g_bytes_new(id, sizeof(id));
    pending->kind = kind;
    pending->size = wire__command__get_packed_size(&command);
    pending->packed = g_malloc(pending->size);
    pending->request = request;
    pending->expires_at = now + COMMAND_TIMEOUT_US;
    wire__command__pack(&command, pending->packed);
    request->command = pending;
    client->bytes += pending->size;
    g_hash_table_insert(client->pending, pending->id, pending);
    send_command(client, pending, now);
}

int
EntryClaims_RequestClaim(ClaimClient *client, Request *request)
{
    /* The other half is reserved for the outcomes of granted claims. */
    if (g_hash_table_size(client->pending) >= COMMANDS_MAX / 2) {
        return ERR_FULL;
    }
    add_command(client, request, WIRE__COMMAND_KIND__COMMAND_CLAIM);
    return ERR_OK;
}

static Wire__CommandKind
record_kind(LifeClaimOutcome record)
{
    switch (record) {
    case LIFE_RECORD_DONE:
        return WIRE__COMMAND_KIND__COMMAND_CLAIM_DONE;
    case LIFE_RECORD_RELEASE:
        return WIRE__COMMAND_KIND__COMMAND_CLAIM_RELEASE;
    default:
        return WIRE__COMMAND_KIND__COMMAND_CLAIM_UNKNOWN;
    }
}

void
EntryClaims_Record(ClaimClient *client, Request *request,
                   LifeClaimOutcome record)
{
    /* If the claim is still pending, complete_command() releases it once it is
     * granted. */
    if (request->command != NULL) {
        return;
    }
    if (g_hash_table_size(client->pending) >= COMMANDS_MAX) {
        LOG_WARN(ENTRY_PART,
                 "Too many pending commands; the outcome of a claim is not "
                 "recorded. account=%s",
                 request->account);
        return;
    }
    bool fits =
        request->answer_buffer == NULL ||
        client->bytes + request->answer_buffer->len <= COMMANDS_MAX_BYTES;
    add_command(client, request,
                record_kind(fits ? record : LIFE_RECORD_UNKNOWN));
}

void
EntryClaims_Detach(Request *request)
{
    if (request->command != NULL) {
        request->command->request = NULL;
        request->command = NULL;
    }
}

/* Releases a claim that was granted after its request had ended. Account, key
 * and body hash are taken from the claim command. */
static void
release_ended_claim(ClaimClient *client, const ClaimCommand *claim)
{
    Wire__Command *command =
        wire__command__unpack(NULL, claim->size, claim->packed);
    INVARIANT(command != NULL);
    Request ended = {
        .account = command->account,
        .idempotency_key = command->key,
        .body_hash = command->body_hash,
    };
    add_command(client, &ended, WIRE__COMMAND_KIND__COMMAND_CLAIM_RELEASE);
    EntryClaims_Detach(&ended);
    wire__command__free_unpacked(command, NULL);
}

static LifeClaimResult
claim_result(const Wire__CommandReply *reply)
{
    switch (reply->claim) {
    case WIRE__CLAIM_STATE__CLAIM_GRANTED:
        return LIFE_CLAIM_GRANTED;
    case WIRE__CLAIM_STATE__CLAIM_RUNNING:
        return LIFE_CLAIM_RUNNING;
    case WIRE__CLAIM_STATE__CLAIM_FINISHED:
        return LIFE_CLAIM_FINISHED;
    case WIRE__CLAIM_STATE__CLAIM_LOST:
        return LIFE_CLAIM_LOST;
    case WIRE__CLAIM_STATE__CLAIM_MISMATCH:
        return LIFE_CLAIM_MISMATCH;
    default:
        return LIFE_CLAIM_FAILED;
    }
}

static void
select_host(ClaimClient *client, uint32_t leader)
{
    GPtrArray *hosts = client->entry->hosts;
    for (guint i = 0; i < hosts->len; i++) {
        ControlHost *host = g_ptr_array_index(hosts, i);
        if (host->id == leader && Link_IsConnected(host->link)) {
            client->current_host = i;
            return;
        }
    }
    client->current_host++;
}

static void
remove_command(ClaimClient *client, ClaimCommand *pending)
{
    if (pending->request != NULL) {
        pending->request->command = NULL;
    }
    client->bytes -= pending->size;
    g_hash_table_remove(client->pending, pending->id);
}

static void
complete_command(ClaimClient *client, ClaimCommand *pending,
                 const Wire__CommandReply *reply)
{
    Request *request = pending->request;
    bool is_claim = pending->kind == WIRE__COMMAND_KIND__COMMAND_CLAIM;
    bool granted = reply->claim == WIRE__CLAIM_STATE__CLAIM_GRANTED;
    if (is_claim && request == NULL && granted) {
        release_ended_claim(client, pending);
    }
    remove_command(client, pending);
    if (request == NULL) {
        return;
    }
    if (is_claim) {
        Request_OnClaim(request, claim_result(reply), reply);
    }
    else {
        Request_OnRecorded(request);
    }
}

/* Returns true if the command has to be resent, to this host or another. If
 * the claim table is full, a claim fails at once, but an outcome is resent. */
static bool
must_resend(const ClaimCommand *pending, const Wire__CommandReply *reply)
{
    bool is_claim = pending->kind == WIRE__COMMAND_KIND__COMMAND_CLAIM;
    return reply->code == ERR_UNAVAILABLE || reply->code == ERR_STOPPING ||
           reply->code == ERR_TIMEOUT ||
           (reply->code == ERR_FULL && !is_claim);
}

void
EntryClaims_OnReply(ClaimClient *client, const Wire__CommandReply *reply)
{
    GBytes *id = g_bytes_new(reply->command_id.data, reply->command_id.len);
    ClaimCommand *pending = g_hash_table_lookup(client->pending, id);
    g_bytes_unref(id);
    if (pending == NULL) {
        return;
    }
    if (must_resend(pending, reply)) {
        select_host(client, reply->leader);
        pending->send_at = Clock_Now() + COMMAND_REJECTED_DELAY_US;
        pending->rejected = true;
        return;
    }
    complete_command(client, pending, reply);
}

static void
resend_command(ClaimClient *client, ClaimCommand *pending, TimeUs now,
               bool *host_changed)
{
    /* The current host has not replied in time: select the next one, once per
     * tick. */
    if (!pending->rejected && !*host_changed) {
        *host_changed = true;
        client->current_host++;
    }
    pending->rejected = false;
    send_command(client, pending, now);
}

void
EntryClaims_Tick(ClaimClient *client, TimeUs now)
{
    bool host_changed = false;
    GList *all = g_hash_table_get_values(client->pending);
    for (GList *at = all; at != NULL; at = at->next) {
        ClaimCommand *pending = at->data;
        if (now >= pending->expires_at) {
            remove_command(client, pending);
        }
        else if (now >= pending->send_at) {
            resend_command(client, pending, now, &host_changed);
        }
    }
    g_list_free(all);
}
