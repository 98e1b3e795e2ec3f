/** @file
 * Writes answers from a file.
 */
#include "fake_raw.h"

#include <sys/socket.h>

#include <event2/buffer.h>
#include <glib.h>

#define ID_MARK "{id}"

bool
FakeRaw_Write(struct bufferevent *connection, const char *path, const char *id,
              bool reset)
{
    gchar *text;
    if (path == NULL || !g_file_get_contents(path, &text, NULL, NULL)) {
        return false;
    }
    GString *answer = g_string_new(text);
    g_string_replace(answer, ID_MARK, id, 0);
    evbuffer_add(bufferevent_get_output(connection), answer->str, answer->len);
    g_string_free(answer, TRUE);
    g_free(text);
    if (reset) {
        struct linger none = {.l_onoff = 1};
        setsockopt(bufferevent_getfd(connection), SOL_SOCKET, SO_LINGER, &none,
                   sizeof(none));
    }
    return true;
}
