/** @file
 * HTTP connections from callers: admission of requests, and handling of closed
 * connections.
 */
#include "entry/state.h"

#include <string.h>

#define MAX_HEADER_BYTES (64 * 1024)
#define HEAD_TIMEOUT_MS 10000
#define BODY_TIMEOUT_MS 60000
#define IDLE_TIMEOUT_MS 60000
#define NO_TIER UINT32_MAX

static const HttpError error_no_lease = {
    .status = 503,
    .code = "no_rule_lease",
    .message = "This entry cannot confirm that its rules are current.",
    .outcome = "not_run",
    .retry_after_ms = LIFE_RETRY_AFTER_MS,
};
static const HttpError error_stopping = {
    .status = 503,
    .code = "stopping",
    .message = "This entry is shutting down.",
    .outcome = "not_run",
    .retry_after_ms = LIFE_RETRY_AFTER_MS,
};
static const HttpError error_busy = {
    .status = 503,
    .code = "shed",
    .message = "This entry has reached its maximum number of requests.",
    .outcome = "not_run",
    .retry_after_ms = LIFE_RETRY_AFTER_MS,
};
static const HttpError error_quarantined = {
    .status = 422,
    .code = "quarantined",
    .message = "This request crashed endpoints and is quarantined.",
    .outcome = "not_run",
};
static const HttpError error_limit = {
    .status = 429,
    .code = "account_limit",
    .message = "The account has reached one of its limits.",
    .outcome = "not_run",
};

static void
refuse_request(HttpRequest *http, const HttpError *error, uint32_t tier)
{
    EntryCounters_CountRefused(error->code, tier);
    HttpRequest_ReplyError(http, error);
}

static void
on_disconnect(void *arg)
{
    Request *request = arg;
    request->http = NULL;
    Request_OnCallerDisconnect(request);
}

void
EntryCaller_Detach(Request *request)
{
    if (request->http != NULL) {
        HttpRequest_OnDisconnect(request->http, NULL, NULL);
    }
    request->http = NULL;
}

static const HttpError *
check_ready(const Entry *entry)
{
    if (entry->draining) {
        return &error_stopping;
    }
    return EntryControl_HasLease(entry, Clock_Now()) ? NULL : &error_no_lease;
}

/* Sheds a waiting request of a lower tier if the entry is full.
 * @return NULL, or the error if there is none to shed. */
static const HttpError *
check_capacity(Entry *entry, const Request *request)
{
    guint max_requests = entry->settings->entry->max_requests;
    if (g_hash_table_size(entry->requests) < max_requests ||
        Request_ShedBelow(entry, request->work.tier))
    {
        return NULL;
    }
    return &error_busy;
}

static const HttpError *
admit_request(Request *request, HttpError *limit_error)
{
    Entry *entry = request->entry;
    const HttpError *error = EntryReader_Read(request);
    if (error != NULL) {
        return error;
    }
    if (EntrySuspects_Check(entry->suspects, &request->work.subjects,
                            &request->work.alone))
    {
        return &error_quarantined;
    }
    error = check_capacity(entry, request);
    if (error != NULL) {
        return error;
    }
    const RulesAccount *account =
        Rules_AccountByName(entry->rules, request->account);
    *limit_error = error_limit;
    bool admitted = EntryAccounts_Admit(entry, account, request, Clock_Now(),
                                        &limit_error->retry_after_ms);
    if (!admitted && limit_error->retry_after_ms == 0) {
        limit_error->retry_after_ms = LIFE_RETRY_AFTER_MS;
    }
    return admitted ? NULL : limit_error;
}

static void
on_request(HttpRequest *http, void *arg)
{
    Entry *entry = arg;
    const HttpError *error = check_ready(entry);
    if (error != NULL) {
        refuse_request(http, error, NO_TIER);
        return;
    }
    Request *request = g_new0(Request, 1);
    request->entry = entry;
    request->http = http;
    HttpError limit_error;
    error = admit_request(request, &limit_error);
    if (error != NULL) {
        request->http = NULL;
        refuse_request(http, error,
                       request->account == NULL ? NO_TIER
                                                : request->work.tier);
        Request_Free(request);
        return;
    }
    HttpRequest_OnDisconnect(http, on_disconnect, request);
    Request_Begin(request);
}

static const HttpError *
check_head(void *arg, const H1Head *head)
{
    const Entry *entry = arg;
    const HttpError *error = check_ready(entry);
    if (error == NULL) {
        error = EntryReader_CheckHead(entry, head);
    }
    if (error != NULL) {
        EntryCounters_CountRefused(error->code, NO_TIER);
    }
    return error;
}

static bool
is_ready(void *owner)
{
    const Entry *entry = owner;
    return !entry->draining && EntryControl_HasLease(entry, Clock_Now());
}

int
EntryCaller_Listen(Entry *entry, Error *err)
{
    const SettingsEntry *settings = entry->settings->entry;
    Address address;
    int result = Address_Parse(settings->http, &address, err);
    if (result != ERR_OK) {
        return result;
    }
    entry->limits = (ReaderLimits){
        .max_head_bytes = MAX_HEADER_BYTES,
        .max_body_bytes = settings->max_body_bytes,
        .head_timeout_ms = HEAD_TIMEOUT_MS,
        .body_timeout_ms = BODY_TIMEOUT_MS,
        .idle_timeout_ms = IDLE_TIMEOUT_MS,
    };
    entry->http = HttpServer_Listen(entry->base, &address, &entry->limits,
                                    is_ready, entry, err);
    if (entry->http == NULL) {
        return err->code;
    }
    HttpServer_SetCheck(entry->http, check_head, entry);
    HttpServer_SetHandler(entry->http, NULL, on_request, entry);
    return ERR_OK;
}

void
EntryCaller_Close(Entry *entry)
{
    if (entry->http != NULL) {
        HttpServer_Free(entry->http);
    }
}
