/** @file
 * Limits and rests of the fake server.
 */
#include "fake_limit.h"

#include <glib.h>

void
FakeLimit_Write(struct evbuffer *out, const char *path)
{
    gchar *text = NULL;
    if (path == NULL || !g_file_get_contents(path, &text, NULL, NULL)) {
        return;
    }
    gchar **lines = g_strsplit(text, "\n", -1);
    for (int i = 0; lines[i] != NULL && lines[i][0] != '\0'; i++) {
        evbuffer_add_printf(out, "Server-Limit: %s\r\n", lines[i]);
    }
    g_strfreev(lines);
    g_free(text);
}

char *
FakeLimit_ReadRest(const char *path)
{
    gchar *text = NULL;
    if (path == NULL || !g_file_get_contents(path, &text, NULL, NULL)) {
        return NULL;
    }
    g_strstrip(text);
    if (text[0] == '\0') {
        g_clear_pointer(&text, g_free);
    }
    return text;
}
