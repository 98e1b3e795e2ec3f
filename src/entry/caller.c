/** @file
 * HTTP connections from callers: admission of requests, and handling of closed
 * connections.
 */
#include "entry/state.h"

#include <string.h>

#include <event2/bufferevent.h>

#define MAX_HEADER_BYTES (64 * 1024)
/* A connection is closed after this time without traffic while the caller is
 * sending a request or is idle. */
#define CALLER_TIMEOUT_S 60
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
refuse_request(struct evhttp_request *http, const HttpError *error,
               uint32_t tier)
{
    EntryCounters_CountRefused(error->code, tier);
    Http_ReplyError(http, error);
}

/* Called before a connection is freed, by libevent or by this module. */
static void
on_connection_freed(struct evhttp_connection *connection, void *arg)
{
    Caller *caller = arg;
    Request *request = caller->request;
    g_hash_table_remove(caller->entry->callers, connection);
    event_free(caller->close_event);
    g_free(caller);
    if (request == NULL) {
        return;
    }
    struct evhttp_request *http = request->http;
    request->http = NULL;
    request->caller = NULL;
    /* libevent leaves it to the owner to free a request that has no
     * connection. */
    if (http != NULL && evhttp_request_get_connection(http) == NULL) {
        evhttp_request_free(http);
    }
    Request_OnCallerDisconnect(request);
}

static void
on_caller_closed(evutil_socket_t fd, short events, void *arg)
{
    Caller *caller = arg;
    evhttp_connection_free(caller->connection);
}

static Caller *
find_or_add_caller(Entry *entry, struct evhttp_connection *connection)
{
    Caller *caller = g_hash_table_lookup(entry->callers, connection);
    if (caller != NULL) {
        return caller;
    }
    struct bufferevent *socket = evhttp_connection_get_bufferevent(connection);
    caller = g_new0(Caller, 1);
    caller->entry = entry;
    caller->connection = connection;
    caller->close_event =
        event_new(entry->base, bufferevent_getfd(socket),
                  EV_CLOSED | EV_PERSIST, on_caller_closed, caller);
    event_add(caller->close_event, NULL);
    evhttp_connection_set_closecb(connection, on_connection_freed, caller);
    g_hash_table_insert(entry->callers, connection, caller);
    return caller;
}

void
EntryCaller_Detach(Request *request)
{
    if (request->caller != NULL) {
        request->caller->request = NULL;
    }
    request->caller = NULL;
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
on_request(struct evhttp_request *http, void *arg)
{
    Entry *entry = arg;
    struct evhttp_connection *connection = evhttp_request_get_connection(http);
    /* libevent also calls this function when the connection of a request has
     * failed. */
    if (connection == NULL || evhttp_request_get_uri(http) == NULL) {
        return;
    }
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
        refuse_request(http, error,
                       request->account == NULL ? NO_TIER
                                                : request->work.tier);
        Request_Free(request);
        return;
    }
    request->caller = find_or_add_caller(entry, connection);
    request->caller->request = request;
    Request_Begin(request);
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
    entry->http = Http_Listen(entry->base, &address, is_ready, entry, err);
    if (entry->http == NULL) {
        return err->code;
    }
    evhttp_set_max_body_size(entry->http, settings->max_body_bytes);
    evhttp_set_max_headers_size(entry->http, MAX_HEADER_BYTES);
    evhttp_set_timeout(entry->http, CALLER_TIMEOUT_S);
    /* All methods are allowed here, so that the reader can reply with a 405
     * that names the accepted ones. */
    evhttp_set_allowed_methods(
        entry->http, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD |
                         EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE |
                         EVHTTP_REQ_OPTIONS | EVHTTP_REQ_TRACE |
                         EVHTTP_REQ_CONNECT | EVHTTP_REQ_PATCH);
    Http_SetHandler(entry->http, NULL, on_request, entry);
    return ERR_OK;
}

void
EntryCaller_Close(Entry *entry)
{
    if (entry->http != NULL) {
        evhttp_free(entry->http);
    }
}
