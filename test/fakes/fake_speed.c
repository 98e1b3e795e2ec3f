/** @file
 * Current speed of the fake server.
 */
#include "fake_speed.h"

#include <stdlib.h>

#include <glib.h>

/* Figures that change the time of an answer; others are only reported. */
#define FIGURE_MIN 10
#define FIGURE_MAX 2000

static char *
read_figure(const Server *server)
{
    gchar *text = NULL;
    if (server->speed_file == NULL) {
        return NULL;
    }
    if (!g_file_get_contents(server->speed_file, &text, NULL, NULL)) {
        return g_strdup("");
    }
    return g_strstrip(text);
}

void
FakeSpeed_Write(struct evbuffer *out, const Server *server)
{
    char *figure = read_figure(server);
    if (figure != NULL) {
        evbuffer_add_printf(out, "Load-Report: %u,0,%d%s%s\r\n",
                            server->running, server->slots,
                            figure[0] == '\0' ? "" : ",", figure);
    }
    g_free(figure);
}

int
FakeSpeed_DelayMs(const Server *server, int usual_ms)
{
    char *text = read_figure(server);
    int figure = text == NULL ? 100 : atoi(text);
    g_free(text);
    return figure < FIGURE_MIN || figure > FIGURE_MAX
               ? usual_ms
               : usual_ms * figure / 100;
}

void
FakeSpeed_SetRunning(Server *server, bool *counted, bool running)
{
    server->running += running;
    server->running -= *counted;
    *counted = running;
}
