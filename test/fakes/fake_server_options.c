/** @file
 * Options of the fake server.
 */
#include <stdio.h>
#include <stdlib.h>

#include "fake_server.h"

/* Ends the process if an option is wrong or a required one is missing. */
static void
parse(Server *server, const GOptionEntry *entries, int argc, char **argv)
{
    const GOptionEntry raw_entries[] = {
        {"raw-answer", 0, 0, G_OPTION_ARG_STRING, &server->raw_answer,
         "File with the bytes that answer each request, before it closes",
         "FILE"},
        {"raw-rest", 0, 0, G_OPTION_ARG_STRING, &server->raw_rest,
         "The same for each request for the rest of a stream", "FILE"},
        {"raw-reset", 0, 0, G_OPTION_ARG_NONE, &server->raw_reset,
         "Reset the connection after these bytes", NULL},
        {NULL},
    };
    GOptionContext *context = g_option_context_new(NULL);
    g_option_context_add_main_entries(context, entries, NULL);
    g_option_context_add_main_entries(context, raw_entries, NULL);
    GError *error = NULL;
    if (!g_option_context_parse(context, &argc, &argv, &error) ||
        server->listen == NULL || server->control == NULL ||
        server->service == NULL || server->id == NULL)
    {
        fprintf(stderr, "fake_server: %s\n",
                error != NULL
                    ? error->message
                    : "expected --listen, --control, --service and --id");
        exit(2);
    }
    g_option_context_free(context);
}

void
FakeServer_ReadOptions(Server *server, int argc, char **argv)
{
    const GOptionEntry entries[] = {
        {"listen", 0, 0, G_OPTION_ARG_STRING, &server->listen,
         "Address to accept requests on", "IP:PORT"},
        {"control", 0, 0, G_OPTION_ARG_STRING, &server->control,
         "Control hosts to announce to", "IP:PORT,..."},
        {"service", 0, 0, G_OPTION_ARG_STRING, &server->service,
         "Service to announce", "NAME"},
        {"id", 0, 0, G_OPTION_ARG_STRING, &server->id,
         "Instance id to announce", "ID"},
        {"zone", 0, 0, G_OPTION_ARG_STRING, &server->zone,
         "Availability zone to announce", "NAME"},
        {"record", 0, 0, G_OPTION_ARG_STRING, &server->record,
         "File to append one line for each request to", "FILE"},
        {"fault", 0, 0, G_OPTION_ARG_STRING, &server->fault,
         "Fault: cut, extra, unframed, error, shed, shed-again, mute, "
         "no-seal, "
         "wrong-id or one of fake_endless.h",
         "KIND"},
        {"fault-count", 0, 0, G_OPTION_ARG_INT, &server->fault_count,
         "Number of requests with the fault", "N"},
        {"fault-every", 0, 0, G_OPTION_ARG_INT, &server->fault_every,
         "If above 1, each Nth stream gets the fault, and nothing else", "N"},
        {"error-every", 0, 0, G_OPTION_ARG_INT, &server->error_every,
         "Each Nth request is answered with status 500", "N"},
        {"error-after-ms", 0, 0, G_OPTION_ARG_INT, &server->error_after_ms,
         "Time after the start before the first of these", "MS"},
        {"arrivals", 0, 0, G_OPTION_ARG_NONE, &server->arrivals,
         "Record the arrival of each request", NULL},
        {"software", 0, 0, G_OPTION_ARG_STRING, &server->software,
         "Version of its software to announce and to put into events", "TEXT"},
        {"slots", 0, 0, G_OPTION_ARG_INT, &server->slots,
         "Number of slots to announce", "N"},
        {"events", 0, 0, G_OPTION_ARG_INT, &server->events,
         "Number of events in a stream", "N"},
        {"gap-ms", 0, 0, G_OPTION_ARG_INT, &server->gap_ms,
         "Time between two events", "MS"},
        {"delay-ms", 0, 0, G_OPTION_ARG_INT, &server->delay_ms,
         "Time before an answer starts", "MS"},
        {"restart-ms", 0, 0, G_OPTION_ARG_INT, &server->restart_ms,
         "Start again this long after an end", "MS"},
        {"new-id", 0, 0, G_OPTION_ARG_NONE, &server->new_id,
         "Add the number of the start to the id", NULL},
        {"leaves", 0, 0, G_OPTION_ARG_NONE, &server->leaves,
         "Deregister the start before, which has ended", NULL},
        {"moves", 0, 0, G_OPTION_ARG_INT, &server->moves,
         "Listen at the next of N IP addresses at each start", "N"},
        {"deadly-part", 0, 0, G_OPTION_ARG_STRING_ARRAY, &server->deadly_parts,
         "Part of a prompt that ends it, and how (fake_deadly.h)",
         "ID:WHEN-HOW"},
        {"limit-file", 0, 0, G_OPTION_ARG_STRING, &server->limit_file,
         "File with limits to name in answers, one a line", "FILE"},
        {"rest-file", 0, 0, G_OPTION_ARG_STRING, &server->rest_file,
         "File with the rest that it asks for while it refuses all requests",
         "FILE"},
        {"speed-file", 0, 0, G_OPTION_ARG_STRING, &server->speed_file,
         "File with the figure of its current speed (100 is usual)", "FILE"},
        {"health-path", 0, 0, G_OPTION_ARG_STRING, &server->health_path,
         "Path that it answers at once with its load", "PATH"},
        {"silent-ms", 0, 0, G_OPTION_ARG_INT, &server->silent_ms,
         "Time after a start before the first announcement", "MS"},
        {"event-bytes", 0, 0, G_OPTION_ARG_INT, &server->event_bytes,
         "Length to which the data of events are padded", "N"},
        {"read-rate", 0, 0, G_OPTION_ARG_INT, &server->read_rate,
         "Bytes per second that it reads of requests", "N"},
        {NULL},
    };
    parse(server, entries, argc, argv);
}
