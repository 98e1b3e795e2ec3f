/** @file
 * Gateway: header fields of callers' requests, what they decide alone, and
 * fingerprints.
 */
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <xxhash.h>

#include "gateway/state.h"

/* Deadline of a request that states none, and the longest deadline. */
#define DEFAULT_DEADLINE_MS 60000
#define DEADLINE_MAX_MS (24ul * 3600 * 1000)
#define BEARER "Bearer "

static uint64_t
parse_number(const char *text, uint64_t fallback)
{
    if (text == NULL || text[0] < '0' || text[0] > '9') {
        return fallback;
    }
    return strtoull(text, NULL, 10);
}

static void
clear_field(gpointer data)
{
    H1Field *field = data;
    g_free((char *)field->name);
    g_free((char *)field->value);
}

static void
copy_fields(Call *call, const H1Head *head)
{
    call->fields = g_array_new(FALSE, FALSE, sizeof(H1Field));
    g_array_set_clear_func(call->fields, clear_field);
    for (guint i = 0; i < head->fields->len; i++) {
        const H1Field *from = &g_array_index(head->fields, H1Field, i);
        H1Field field = {
            .name = g_strdup(from->name),
            .value = g_strdup(from->value),
        };
        g_array_append_val(call->fields, field);
    }
}

static void
read_tokens(Call *call, const H1Head *head)
{
    const char *text =
        H1Head_Get(head, call->gateway->options->fields->tokens);
    if (text == NULL) {
        return;
    }
    char *end = NULL;
    unsigned long in = strtoul(text, &end, 10);
    unsigned long out =
        end != NULL && *end == ',' ? strtoul(end + 1, NULL, 10) : 0;
    call->prompt_tokens = (uint32_t)MIN(in, UINT32_MAX);
    call->output_tokens = (uint32_t)MIN(out, UINT32_MAX);
    const char *hint =
        H1Head_Get(head, call->gateway->options->fields->length_hint);
    uint64_t expected = parse_number(hint, out);
    call->expected_tokens = (uint32_t)MIN(expected, call->output_tokens);
}

/* Reads the ids of the prompt's parts except the last. */
static void
read_prompt_parts(Call *call, const H1Head *head)
{
    const char *at =
        H1Head_Get(head, call->gateway->options->fields->prompt_parts);
    const char *next;
    for (; at != NULL && (next = strchr(at, ',')) != NULL; at = next + 1) {
        at += strspn(at, " \t");
        Subjects_AddPart(&call->subjects, at, strcspn(at, ":,"));
    }
}

void
Call_ReadFields(Call *call, const H1Head *head)
{
    copy_fields(call, head);
    read_tokens(call, head);
    read_prompt_parts(call, head);
}

void
Call_ReadDeadline(Call *call, const H1Head *head)
{
    const GatewayFields *fields = call->gateway->options->fields;
    uint64_t ms = parse_number(H1Head_Get(head, fields->deadline_ms),
                               DEFAULT_DEADLINE_MS);
    ms = MIN(ms, DEADLINE_MAX_MS);
    call->caller_deadline = call->received_at + (TimeUs)ms * US_PER_MS;
}

const char *
Call_Field(const Call *call, const char *name)
{
    for (guint i = 0; i < call->fields->len; i++) {
        const H1Field *field = &g_array_index(call->fields, H1Field, i);
        if (strcasecmp(field->name, name) == 0) {
            return field->value;
        }
    }
    return NULL;
}

const CallError CallError_Denied = {
    .status = 401,
    .code = "denied",
    .message = "The API key is missing or unknown.",
};

const CallError CallError_NoRoute = {
    .status = 404,
    .code = "no_route",
    .message = "No route matches the host and path.",
};

const char *
Call_FindKey(const H1Head *head)
{
    const char *field = H1Head_Get(head, "Authorization");
    return field != NULL &&
                   g_ascii_strncasecmp(field, BEARER, strlen(BEARER)) == 0
               ? field + strlen(BEARER)
               : NULL;
}

const CallError *
Call_CheckHead(const Gateway *gateway, const H1Head *head)
{
    if (gateway->table == NULL || !Gateway_HasLease(gateway)) {
        return NULL; /* a newer table may allow it */
    }
    const char *host = H1Head_Get(head, "Host");
    const Route *route = RouteTable_Match(
        gateway->table, host == NULL ? "" : host, head->target);
    if (route == NULL) {
        return &CallError_NoRoute;
    }
    if (route->is_public || !RouteTable_RequiresKeys(gateway->table)) {
        return NULL;
    }
    const char *key = Call_FindKey(head);
    bool known =
        key != NULL && RouteTable_Account(gateway->table, key) != NULL;
    return known ? NULL : &CallError_Denied;
}

/* Hashes a buffer as if it were one block, which it need not become. */
static uint64_t
hash_buffer(struct evbuffer *buffer, uint64_t seed)
{
    int count = evbuffer_peek(buffer, -1, NULL, NULL, 0);
    struct evbuffer_iovec *blocks =
        g_new0(struct evbuffer_iovec, MAX(count, 1));
    evbuffer_peek(buffer, -1, NULL, blocks, count);
    XXH3_state_t *state = XXH3_createState();
    XXH3_64bits_reset_withSeed(state, seed);
    for (int i = 0; i < count; i++) {
        XXH3_64bits_update(state, blocks[i].iov_base, blocks[i].iov_len);
    }
    uint64_t hash = XXH3_64bits_digest(state);
    XXH3_freeState(state);
    g_free(blocks);
    return hash;
}

uint64_t
Call_Fingerprint(Call *call)
{
    if (call->subjects.request != 0) {
        return call->subjects.request;
    }
    /* An account may send the request again with another of its keys. */
    const char *caller = call->account != NULL ? call->account->name
                         : call->key != NULL   ? call->key
                                               : "";
    uint64_t hash = XXH3_64bits(call->target, strlen(call->target));
    hash = XXH3_64bits_withSeed(caller, strlen(caller), hash);
    call->subjects.request = hash_buffer(call->body, hash);
    return call->subjects.request;
}
