/** @file
 * Fuzz target for the JSON input of the platform adapter: configuration
 * documents, heartbeats and deregistrations. Each must be either accepted and
 * usable, or refused with an error text.
 */
#include "fuzz.h"

#include <string.h>

#include <jansson.h>

#include "../../platform/announce.h"
#include "../../platform/config.h"

/* A valid document. Some of its bytes are replaced by bytes of the input. */
static const char document[] =
    "{\"version\":7,\"routeTable\":[{\"name\":\"r\",\"host\":\"h\","
    "\"pathPrefix\":\"/p/\",\"kind\":\"streaming\",\"timeoutMs\":4000,"
    "\"priority\":1,\"trafficSplit\":[{\"service\":\"s\",\"weight\":9},"
    "{\"service\":\"t\",\"weight\":1}],\"maxAttempts\":2}],"
    "\"services\":[{\"name\":\"s\",\"engine\":{\"slots\":5}},"
    "{\"name\":\"t\"}],\"limits\":{\"maxBodyBytes\":10},"
    "\"tenants\":[{\"name\":\"a\",\"apiKeys\":[\"k\"],\"ratePerS\":10}]}";

static const char heartbeat[] =
    "{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\","
    "\"slots\":5,\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":4,"
    "\"born\":99}";

/* Returns a copy with up to five bytes replaced. Sets @p length to that of the
 * copy, or in one of eight cases to a smaller one, which truncates the input.
 */
static char *
damaged_copy(FuzzInput *input, const char *text, size_t *length)
{
    *length = strlen(text);
    char *copy = g_strdup(text);
    for (unsigned i = fuzz_pick(input, 6); i > 0; i--) {
        size_t at =
            ((size_t)fuzz_byte(input) << 8 | fuzz_byte(input)) % *length;
        copy[at] = (char)fuzz_byte(input);
    }
    if (fuzz_pick(input, 8) == 0) {
        *length = fuzz_byte(input) % *length;
    }
    return copy;
}

static void
check_document(const char *text, size_t length)
{
    RouteTable *table = NULL;
    Error err = ERROR_INIT;
    int result = PlatformConfig_Codec.decode(text, length, &table, &err);
    FUZZ_CHECK((result == ERR_OK) == (table != NULL),
               "the result and the route table do not agree");
    FUZZ_CHECK(result == ERR_OK || err.text[0] != '\0',
               "a document was refused without an error text");
    if (table == NULL) {
        return;
    }
    FUZZ_CHECK(RouteTable_Version(table) > 0,
               "the version of an accepted document is 0");
    const Route *route = RouteTable_Match(table, "h", "/p/x");
    if (route != NULL) {
        const char *service = Route_PickService(route, "id");
        FUZZ_CHECK(service != NULL && Route_HasService(route, service),
                   "a route picked no service or one that it lacks");
        FUZZ_CHECK(RouteTable_Service(table, service) != NULL,
                   "the service of a route is not in the table");
        FUZZ_CHECK(route->timeout_ms > 0, "the timeout of a route is 0");
    }
    RouteTable_Account(table, "k");
    RouteTable_Unref(table);
}

static void
check_announcement(Directory *directory, const char *text, size_t length)
{
    json_t *body = json_loadb(text, length, 0, NULL);
    EndpointRecord record;
    Error err = ERROR_INIT;
    if (Announce_DecodeHeartbeat("i", body, &record, &err) == ERR_OK) {
        FUZZ_CHECK(record.service != NULL && record.address != NULL,
                   "an accepted heartbeat has no service or address");
        Directory_Update(directory, &record, NULL);
        FUZZ_CHECK(Directory_Find(directory, "i") != NULL,
                   "the directory lacks the announced endpoint");
    }
    if (Announce_DecodeDeregistration("i", body, &record, &err) == ERR_OK) {
        FUZZ_CHECK(record.state == ENDPOINT_GONE,
                   "the state after a deregistration is not gone");
    }
    json_decref(body);
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length)
{
    FuzzInput input = fuzz_input(bytes, length);
    Directory *directory = Directory_New();
    size_t size;
    char *text = damaged_copy(&input, document, &size);
    check_document(text, size);
    g_free(text);
    text = damaged_copy(&input, heartbeat, &size);
    check_announcement(directory, text, size);
    g_free(text);
    check_document((const char *)bytes, length);
    check_announcement(directory, (const char *)bytes, length);
    Directory_Free(directory);
    return 0;
}
