/** @file
 * Callers' HTTP: reads a request, checks it against the rules, and hands it
 * to its life as a Request.
 */
#include "entry/state.h"

#include <string.h>

#include <sodium.h>

#define BEARER "Bearer "
#define DEFAULT_DEADLINE_MS 60000
#define MAX_DEADLINE_MS (3600u * 1000)
#define DEFAULT_OUTPUT_TOKENS 256
#define BYTES_PER_TOKEN 4
#define KEY_MAX_BYTES 200

static const HttpError error_no_lease = {
    .status = 503,
    .code = "no_rule_lease",
    .message = "This entry cannot confirm the rules in force.",
    .outcome = "not_run",
    .retry_after_ms = 1000,
};
static const HttpError error_stopping = {
    .status = 503,
    .code = "stopping",
    .message = "This entry is shutting down.",
    .outcome = "not_run",
    .retry_after_ms = 1000,
};
static const HttpError error_busy = {
    .status = 503,
    .code = "shed",
    .message = "This entry holds as many requests as it may.",
    .outcome = "not_run",
    .retry_after_ms = 1000,
};
static const HttpError error_key = {
    .status = 401,
    .code = "bad_key",
    .message = "No account has this API key.",
    .outcome = "not_run",
};
static const HttpError error_route = {
    .status = 404,
    .code = "unknown_route",
    .message = "No rule routes this method and path.",
    .outcome = "not_run",
};
static const HttpError error_header = {
    .status = 400,
    .code = "bad_header",
    .message = "A tier or deadline header is out of range.",
    .outcome = "not_run",
};
static const HttpError error_no_idempotency_key = {
    .status = 400,
    .code = "no_idempotency_key",
    .message = "This route needs an Idempotency-Key of 1 to 200 bytes.",
    .outcome = "not_run",
};
static const HttpError error_json = {
    .status = 400,
    .code = "bad_json",
    .message = "Expected a JSON object with model and messages.",
    .outcome = "not_run",
};
static const HttpError error_model = {
    .status = 404,
    .code = "unknown_model",
    .message = "No rule names this model.",
    .outcome = "not_run",
};

static const char *
header_of(struct evhttp_request *http, const char *name)
{
    return evhttp_find_header(evhttp_request_get_input_headers(http), name);
}

static const char *
method_name(enum evhttp_cmd_type method)
{
    switch (method) {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    default:
        return "";
    }
}

/* Reads a whole number from a header; @p value is kept when it is absent. */
static bool
read_number(struct evhttp_request *http, const char *name, uint32_t lowest,
            uint32_t highest, uint32_t *value)
{
    const char *text = header_of(http, name);
    if (text == NULL) {
        return true;
    }
    guint64 number;
    if (!g_ascii_string_to_unsigned(text, 10, lowest, highest, &number, NULL))
    {
        return false;
    }
    *value = (uint32_t)number;
    return true;
}

static const RulesAccount *
find_account(const Entry *entry, struct evhttp_request *http)
{
    const char *text = header_of(http, "Authorization");
    if (text == NULL || !g_str_has_prefix(text, BEARER)) {
        return NULL;
    }
    return Rules_AccountByKey(entry->rules, text + strlen(BEARER));
}

/* Hashes the prompt block by block; each hash covers all before it. */
static void
hash_prompt(Work *work, const char *text, size_t length)
{
    const size_t block = WORK_BLOCK_TOKENS * BYTES_PER_TOKEN;
    uint64_t chain = work->target;
    for (size_t at = 0; at + block <= length; at += block) {
        if (work->prefix_count == WORK_PREFIX_BLOCKS) {
            return;
        }
        chain = XXH3_64bits_withSeed(text + at, block, chain);
        work->prefix[work->prefix_count++] = chain;
    }
}

static void
append_message(GString *prompt, const json_t *message)
{
    const char *role = json_string_value(json_object_get(message, "role"));
    const char *content =
        json_string_value(json_object_get(message, "content"));
    g_string_append(prompt, role == NULL ? "" : role);
    g_string_append_c(prompt, '\n');
    g_string_append(prompt, content == NULL ? "" : content);
    g_string_append_c(prompt, '\n');
}

static void
measure_prompt(Request *request, const json_t *messages, const json_t *body)
{
    GString *prompt = g_string_new(NULL);
    size_t index;
    json_t *message;
    json_array_foreach(messages, index, message)
    {
        append_message(prompt, message);
    }
    Work *work = &request->work;
    work->prompt_tokens = (uint32_t)(prompt->len / BYTES_PER_TOKEN) + 1;
    json_int_t most = json_integer_value(json_object_get(body, "max_tokens"));
    bool stated = most > 0 && most < INT32_MAX;
    work->output_tokens = stated ? (uint32_t)most : DEFAULT_OUTPUT_TOKENS;
    hash_prompt(work, prompt->str, prompt->len);
    g_string_free(prompt, TRUE);
}

static const HttpError *
read_model_work(Request *request)
{
    json_t *body = json_loadb(request->body, request->body_length, 0, NULL);
    const char *model = json_string_value(json_object_get(body, "model"));
    const json_t *messages = json_object_get(body, "messages");
    const HttpError *fault = NULL;
    if (model == NULL || !json_is_array(messages)) {
        fault = &error_json;
    }
    else if (!Rules_HasModel(request->entry->rules, model)) {
        fault = &error_model;
    }
    else {
        request->model = g_strdup(model);
        request->work.target = Work_Target(true, model);
        measure_prompt(request, messages, body);
    }
    json_decref(body);
    return fault;
}

static const HttpError *
read_service_work(Request *request, const RulesRoute *route)
{
    request->service = g_strdup(route->service);
    request->work.target = Work_Target(false, route->service);
    if (route->idempotent) {
        return NULL;
    }
    const char *key = header_of(request->http, "Idempotency-Key");
    if (key == NULL || key[0] == '\0' || strlen(key) > KEY_MAX_BYTES) {
        return &error_no_idempotency_key;
    }
    request->idempotency_key = g_strdup(key);
    return NULL;
}

static const HttpError *
read_headers(Request *request, const RulesAccount *account)
{
    uint32_t tier = account->tier;
    uint32_t deadline_ms = DEFAULT_DEADLINE_MS;
    struct evhttp_request *http = request->http;
    if (!read_number(http, "X-Laurellift-Tier", account->tier, WORK_TIERS - 1,
                     &tier) ||
        !read_number(http, "X-Laurellift-Deadline-Ms", 1, MAX_DEADLINE_MS,
                     &deadline_ms))
    {
        return &error_header;
    }
    request->work.tier = tier;
    request->work.deadline = Clock_Now() + deadline_ms * US_PER_MS;
    return NULL;
}

static void
fill_identity(Request *request, const RulesAccount *account)
{
    Entry *entry = request->entry;
    request->work.id = (RequestId){
        .high = entry->self.incarnation,
        .low = ++entry->next_id,
    };
    request->account = g_strdup(account->name);
    request->account_index = account->index;
    uint64_t seed = XXH3_64bits(account->name, strlen(account->name)) ^
                    XXH3_64bits(request->path, strlen(request->path));
    request->body_hash =
        XXH3_64bits_withSeed(request->body, request->body_length, seed);
    request->work.fingerprint = request->body_hash;
}

static const HttpError *
read_request(Request *request)
{
    Entry *entry = request->entry;
    struct evhttp_request *http = request->http;
    const RulesAccount *account = find_account(entry, http);
    if (account == NULL) {
        return &error_key;
    }
    const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(http);
    const char *path = evhttp_uri_get_path(uri);
    const char *method = method_name(evhttp_request_get_command(http));
    const RulesRoute *route = Rules_FindRoute(entry->rules, method, path);
    if (route == NULL) {
        return &error_route;
    }
    request->method = g_strdup(method);
    request->path = g_strdup(evhttp_request_get_uri(http));
    request->content_type = g_strdup(header_of(http, "Content-Type"));
    request->body = Http_Body(http, &request->body_length);
    fill_identity(request, account);
    const HttpError *fault = read_headers(request, account);
    if (fault != NULL) {
        return fault;
    }
    return route->is_model ? read_model_work(request)
                           : read_service_work(request, route);
}

static const HttpError *
check_entry(const Entry *entry)
{
    if (entry->draining) {
        return &error_stopping;
    }
    if (!EntryControl_HasLease(entry, Clock_Now())) {
        return &error_no_lease;
    }
    if (g_hash_table_size(entry->requests) >=
        entry->settings->entry->max_requests) {
        return &error_busy;
    }
    return NULL;
}

static void
on_request(struct evhttp_request *http, void *arg)
{
    Entry *entry = arg;
    const HttpError *fault = check_entry(entry);
    if (fault != NULL) {
        Http_ReplyError(http, fault);
        return;
    }
    Request *request = g_new0(Request, 1);
    request->entry = entry;
    request->http = http;
    fault = read_request(request);
    if (fault != NULL) {
        Http_ReplyError(http, fault);
        request->http = NULL;
        Request_Free(request);
        return;
    }
    Request_Begin(request);
}

static bool
is_ready(void *owner)
{
    return EntryControl_HasLease(owner, Clock_Now());
}

int
EntryCaller_Listen(Entry *entry, Error *err)
{
    const SettingsEntry *own = entry->settings->entry;
    Address address;
    int result = Address_Parse(own->http, &address, err);
    if (result != ERR_OK) {
        return result;
    }
    entry->http = Http_Listen(entry->base, &address, is_ready, entry, err);
    if (entry->http == NULL) {
        return err->code;
    }
    evhttp_set_max_body_size(entry->http, own->max_body_bytes);
    evhttp_set_allowed_methods(entry->http, EVHTTP_REQ_GET | EVHTTP_REQ_POST |
                                                EVHTTP_REQ_PUT |
                                                EVHTTP_REQ_DELETE);
    evhttp_set_gencb(entry->http, on_request, entry);
    return ERR_OK;
}
