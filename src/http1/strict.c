/** @file
 * Checks that http-parser omits: line ends, field names, and repeated or
 * unsupported framing fields.
 */
#include "http1/strict.h"

#include <ctype.h>
#include <string.h>
#include <strings.h>

#include "kernel/error.h"

/* Numbers of Host, Content-Length and Transfer-Encoding fields in a head. */
typedef struct FieldCounts {
    unsigned hosts;
    unsigned lengths;
    unsigned encodings;
} FieldCounts;

static bool
is_token(const char *text, size_t length)
{
    if (length == 0) {
        return false;
    }
    for (size_t i = 0; i < length; i++) {
        unsigned char c = (unsigned char)text[i];
        if (!isalnum(c) && strchr("!#$%&'*+-.^_`|~", c) == NULL) {
            return false;
        }
    }
    return true;
}

static bool
equals_name(const char *text, size_t length, const char *name)
{
    return length == strlen(name) && strncasecmp(text, name, length) == 0;
}

static int
check_content_length(const char *value, size_t length, Error *err)
{
    for (size_t i = 0; i < length; i++) {
        if (!isdigit((unsigned char)value[i])) {
            return Error_Set(err, ERR_INVALID,
                             "Content-Length is not a decimal number.");
        }
    }
    return length > 0
               ? ERR_OK
               : Error_Set(err, ERR_INVALID, "Content-Length is empty.");
}

static int
check_field(const char *line, size_t length, FieldCounts *counts, Error *err)
{
    const char *colon = memchr(line, ':', length);
    if (colon == NULL || !is_token(line, (size_t)(colon - line))) {
        return Error_Set(err, ERR_INVALID, "A field name is malformed.");
    }
    size_t name_length = (size_t)(colon - line);
    const char *value = colon + 1;
    const char *end = line + length;
    while (value < end && (*value == ' ' || *value == '\t')) {
        value++;
    }
    while (end > value && (end[-1] == ' ' || end[-1] == '\t')) {
        end--;
    }
    size_t value_length = (size_t)(end - value);
    if (equals_name(line, name_length, "Host")) {
        counts->hosts++;
    }
    if (equals_name(line, name_length, "Content-Length")) {
        counts->lengths++;
        return check_content_length(value, value_length, err);
    }
    if (equals_name(line, name_length, "Transfer-Encoding")) {
        counts->encodings++;
        if (!equals_name(value, value_length, "chunked")) {
            return Error_Set(err, ERR_INVALID,
                             "Transfer-Encoding is not chunked.");
        }
    }
    return ERR_OK;
}

static int
check_start_line(const char *line, size_t length, bool request, Error *err)
{
    static const char version_prefix[] = "HTTP/1.";
    size_t prefix_length = sizeof(version_prefix) - 1;
    if (!request) {
        return length > prefix_length + 1 &&
                       memcmp(line, version_prefix, prefix_length) == 0
                   ? ERR_OK
                   : Error_Set(err, ERR_INVALID, "The version is not HTTP/1.");
    }
    const char *first_space = memchr(line, ' ', length);
    const char *last_space = memrchr(line, ' ', length);
    if (first_space == NULL || first_space == last_space ||
        first_space + 1 == last_space ||
        memchr(first_space + 1, ' ', (size_t)(last_space - first_space - 1)) !=
            NULL)
    {
        return Error_Set(err, ERR_INVALID, "The request line is malformed.");
    }
    if (equals_name(line, (size_t)(first_space - line), "CONNECT")) {
        return Error_Set(err, ERR_INVALID, "Tunnels are not supported.");
    }
    if (first_space[1] != '/') {
        return Error_Set(err, ERR_INVALID,
                         "The request target does not start with a slash.");
    }
    size_t version_length = length - (size_t)(last_space + 1 - line);
    if (version_length != prefix_length + 1 ||
        memcmp(last_space + 1, version_prefix, prefix_length) != 0)
    {
        return Error_Set(err, ERR_INVALID, "The version is not HTTP/1.");
    }
    return ERR_OK;
}

static int
check_counts(const FieldCounts *counts, bool request, bool http10, Error *err)
{
    if (counts->lengths > 1 || counts->encodings > 1 ||
        (counts->lengths > 0 && counts->encodings > 0))
    {
        return Error_Set(err, ERR_INVALID, "The body's length is ambiguous.");
    }
    if (counts->encodings > 0 && http10) {
        return Error_Set(err, ERR_INVALID,
                         "An HTTP/1.0 message has a Transfer-Encoding field.");
    }
    if (request && (counts->hosts > 1 || (counts->hosts == 0 && !http10))) {
        return Error_Set(err, ERR_INVALID,
                         "The Host field must occur exactly once.");
    }
    return ERR_OK;
}

int
H1Head_CheckRaw(const char *raw, size_t length, bool request, Error *err)
{
    FieldCounts counts = {.hosts = 0};
    bool first = true;
    bool http10 = false;
    if (memchr(raw, '\0', length) != NULL) {
        return Error_Set(err, ERR_INVALID, "The head contains a NUL byte.");
    }
    const char *end = raw + length - 2; /* excludes the empty line */
    for (const char *line = raw; line < end;) {
        const char *line_feed = memchr(line, '\n', (size_t)(end - line));
        if (line_feed == NULL || line_feed == line || line_feed[-1] != '\r') {
            return Error_Set(err, ERR_INVALID,
                             "A line of the head does not end in CRLF.");
        }
        size_t size = (size_t)(line_feed - 1 - line);
        if (memchr(line, '\r', size) != NULL) {
            return Error_Set(err, ERR_INVALID, "The head contains a bare CR.");
        }
        int result = first ? check_start_line(line, size, request, err)
                           : check_field(line, size, &counts, err);
        if (result != ERR_OK) {
            return result;
        }
        if (first) {
            http10 = request ? line[size - 1] == '0' : line[7] == '0';
        }
        first = false;
        line = line_feed + 1;
    }
    return check_counts(&counts, request, http10, err);
}
