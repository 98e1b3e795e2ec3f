/** @file
 * Status codes of HTTP.
 */
#include "server/status.h"

#include <stddef.h>

#include <glib.h>

const char *
HttpStatus_Phrase(unsigned status)
{
    static const struct {
        unsigned status;
        const char *phrase;
    } phrases[] = {
        {200, "OK"},
        {202, "Accepted"},
        {307, "Temporary Redirect"},
        {400, "Bad Request"},
        {401, "Unauthorized"},
        {403, "Forbidden"},
        {404, "Not Found"},
        {405, "Method Not Allowed"},
        {408, "Request Timeout"},
        {409, "Conflict"},
        {413, "Content Too Large"},
        {422, "Unprocessable Content"},
        {429, "Too Many Requests"},
        {431, "Request Header Fields Too Large"},
        {502, "Bad Gateway"},
        {503, "Service Unavailable"},
        {504, "Gateway Timeout"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(phrases); i++) {
        if (phrases[i].status == status) {
            return phrases[i].phrase;
        }
    }
    return status < 400 ? "OK" : "Error";
}
