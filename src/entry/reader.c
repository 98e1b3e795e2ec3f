/** @file
 * Reads a caller's HTTP request: account, route, headers, and the estimated
 * number of prompt and output tokens.
 */
#include "entry/state.h"

#include <string.h>

#include "server/json_size.h"

#define BEARER_PREFIX "Bearer "
#define DEFAULT_DEADLINE_MS 60000
#define MAX_DEADLINE_MS (3600u * 1000)
#define DEFAULT_OUTPUT_TOKENS 256
#define MAX_OUTPUT_TOKENS (1u << 20)
/* Estimated average number of prompt bytes per token. */
#define BYTES_PER_TOKEN 4
#define IDEMPOTENCY_KEY_MAX_BYTES 200
#define REQUEST_ID_MAX_BYTES 128

static const HttpError error_key = {
    .status = 401,
    .code = "bad_key",
    .message = "No account has this API key.",
    .outcome = "not_run",
};
static const HttpError error_route = {
    .status = 404,
    .code = "unknown_route",
    .message = "No route matches this method and path.",
    .outcome = "not_run",
};
static const HttpError error_header = {
    .status = 400,
    .code = "bad_header",
    .message = "A tier, deadline or request id header has an invalid value.",
    .outcome = "not_run",
};
static const HttpError error_uri = {
    .status = 400,
    .code = "bad_uri",
    .message = "The request URI cannot be parsed.",
    .outcome = "not_run",
};
static const HttpError error_method = {
    .status = 405,
    .code = "bad_method",
    .message = "Expected GET, POST, PUT or DELETE.",
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
    .message = "The rules define no model of this name.",
    .outcome = "not_run",
};

static bool
is_known_method(const char *method)
{
    static const char *const methods[] = {"GET", "POST", "PUT", "DELETE"};
    for (size_t i = 0; i < G_N_ELEMENTS(methods); i++) {
        if (strcmp(method, methods[i]) == 0) {
            return true;
        }
    }
    return false;
}

/* Reads an integer from a header. Leaves @p value unchanged if the header is
 * absent.
 * @return false if the header is not an integer from @p lowest to @p highest.
 */
static bool
read_number(HttpRequest *http, const char *name, uint32_t lowest,
            uint32_t highest, uint32_t *value)
{
    const char *text = HttpRequest_Field(http, name);
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
find_account(const Entry *entry, const char *text)
{
    if (text == NULL || !g_str_has_prefix(text, BEARER_PREFIX)) {
        return NULL;
    }
    return Rules_AccountByKey(entry->rules, text + strlen(BEARER_PREFIX));
}

/* Hashes the prompt block by block. Each hash covers the target and the prompt
 * up to the end of its block. */
static void
hash_prompt(WorkSpec *work, const char *text, size_t length)
{
    const size_t block = WORK_BLOCK_TOKENS * BYTES_PER_TOKEN;
    uint64_t hash = work->target;
    for (size_t offset = 0; offset + block <= length; offset += block) {
        if (work->prefix_count == WORK_PREFIX_BLOCKS_MAX) {
            return;
        }
        hash = XXH3_64bits_withSeed(text + offset, block, hash);
        work->prefix[work->prefix_count++] = hash;
    }
}

static void
append_text(GString *prompt, const json_t *text)
{
    if (json_is_string(text)) {
        g_string_append_len(prompt, json_string_value(text),
                            (gssize)json_string_length(text));
    }
}

/* Appends role and content of a message. The content is a string, or an array
 * of parts of which some have a text. */
static void
append_message(GString *prompt, const json_t *message)
{
    const json_t *content = json_object_get(message, "content");
    append_text(prompt, json_object_get(message, "role"));
    g_string_append_c(prompt, '\n');
    append_text(prompt, content);
    size_t index;
    json_t *part;
    json_array_foreach(content, index, part)
    {
        append_text(prompt, json_object_get(part, "text"));
    }
    g_string_append_c(prompt, '\n');
}

static void
estimate_tokens(Request *request, const json_t *messages, const json_t *body)
{
    GString *prompt = g_string_new(NULL);
    size_t index;
    json_t *message;
    WorkSpec *work = &request->work;
    json_array_foreach(messages, index, message)
    {
        gsize start = prompt->len;
        append_message(prompt, message);
        if (index + 1 < json_array_size(messages)) {
            Subjects_AddPart(&work->subjects, prompt->str + start,
                             prompt->len - start);
        }
    }
    work->prompt_tokens = (uint32_t)(prompt->len / BYTES_PER_TOKEN) + 1;
    json_int_t max_tokens =
        json_integer_value(json_object_get(body, "max_tokens"));
    bool is_given = max_tokens > 0 && max_tokens <= MAX_OUTPUT_TOKENS;
    work->output_tokens =
        is_given ? (uint32_t)max_tokens : DEFAULT_OUTPUT_TOKENS;
    hash_prompt(work, prompt->str, prompt->len);
    g_string_free(prompt, TRUE);
}

static const HttpError *
read_model_request(Request *request)
{
    const HttpError *error =
        JsonSize_Check(request->body, request->body_length);
    if (error != NULL) {
        return error;
    }
    json_t *body = json_loadb(request->body, request->body_length, 0, NULL);
    const char *model = json_string_value(json_object_get(body, "model"));
    const json_t *messages = json_object_get(body, "messages");
    if (model == NULL || !json_is_array(messages)) {
        error = &error_json;
    }
    else if (!Rules_HasModel(request->entry->rules, model)) {
        error = &error_model;
    }
    else {
        request->model = g_strdup(model);
        request->work.target = Work_TargetHash(true, model);
        estimate_tokens(request, messages, body);
    }
    json_decref(body);
    return error;
}

static const HttpError *
read_service_request(Request *request, const RulesRoute *route)
{
    request->service = g_strdup(route->service);
    request->work.target = Work_TargetHash(false, route->service);
    if (route->idempotent) {
        return NULL;
    }
    const char *key = HttpRequest_Field(request->http, "Idempotency-Key");
    if (key == NULL || key[0] == '\0' ||
        strlen(key) > IDEMPOTENCY_KEY_MAX_BYTES) {
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
    HttpRequest *http = request->http;
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
set_identity(Request *request, const RulesAccount *account)
{
    Entry *entry = request->entry;
    request->account = g_strdup(account->name);
    uint64_t seed = XXH3_64bits(account->name, strlen(account->name)) ^
                    XXH3_64bits(request->path, strlen(request->path));
    request->body_hash =
        XXH3_64bits_withSeed(request->body, request->body_length, seed);
    request->work.subjects.request = request->body_hash;
    request->work.id = (RequestId){
        .high = entry->self.incarnation,
        .low = ++entry->last_request_id,
    };
}

static bool
is_valid_request_id(const char *text)
{
    size_t length = strlen(text);
    for (size_t i = 0; i < length; i++) {
        if (!g_ascii_isgraph(text[i])) {
            return false;
        }
    }
    return length > 0 && length <= REQUEST_ID_MAX_BYTES;
}

/* Sets the request id from the caller's header, or generates one, and adds it
 * to the headers of the answer. */
static const HttpError *
read_request_id(Request *request)
{
    const char *given = HttpRequest_Field(request->http, "X-Request-Id");
    if (given != NULL && !is_valid_request_id(given)) {
        return &error_header;
    }
    request->request_id =
        given != NULL
            ? g_strdup(given)
            : g_strdup_printf("%" G_GINT64_MODIFIER "x-%" G_GINT64_MODIFIER
                              "x",
                              request->work.id.high, request->work.id.low);
    HttpRequest_AddField(request->http, "X-Request-Id", request->request_id);
    return NULL;
}

static const HttpError *
read_route(Request *request, const RulesRoute **route)
{
    const HttpRequest *http = request->http;
    const char *path = HttpRequest_Path(http);
    if (path == NULL) {
        return &error_uri;
    }
    const char *method = HttpRequest_Method(http);
    if (!is_known_method(method)) {
        return &error_method;
    }
    *route = Rules_FindRoute(request->entry->rules, method, path);
    if (*route == NULL) {
        return &error_route;
    }
    request->method = g_strdup(method);
    request->path = g_strdup(HttpRequest_Target(http));
    return NULL;
}

const HttpError *
EntryReader_CheckHead(const Entry *entry, const H1Head *head)
{
    return find_account(entry, H1Head_Get(head, "Authorization")) == NULL
               ? &error_key
               : NULL;
}

const HttpError *
EntryReader_Read(Request *request)
{
    HttpRequest *http = request->http;
    const RulesAccount *account =
        find_account(request->entry, HttpRequest_Field(http, "Authorization"));
    if (account == NULL) {
        return &error_key;
    }
    request->work.tier = account->tier;
    const RulesRoute *route = NULL;
    const HttpError *error = read_route(request, &route);
    if (error != NULL) {
        return error;
    }
    request->content_type = g_strdup(HttpRequest_Field(http, "Content-Type"));
    request->body = HttpRequest_Body(http, &request->body_length);
    request->body_buffer = HttpRequest_TakeBody(http);
    set_identity(request, account);
    error = read_headers(request, account);
    if (error == NULL) {
        error = read_request_id(request);
    }
    if (error != NULL) {
        return error;
    }
    return route->is_model ? read_model_request(request)
                           : read_service_request(request, route);
}
