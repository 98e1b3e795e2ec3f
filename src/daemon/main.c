/** @file
 * laurelliftd: runs the roles that the settings file configures, until a
 * planned stop.
 */
#include <stdio.h>
#include <stdlib.h>

#include <glib.h>
#include <sodium.h>

#include "agent/agent.h"
#include "control/control.h"
#include "entry/entry.h"
#include "kernel/log.h"
#include "kernel/settings.h"
#include "kernel/task.h"
#include "wire/client_memory.h"

#define PART "daemon"
#define EXIT_USAGE 2
/* Part of the memory that clients may take: one of so many. */
#define CLIENT_DIVISOR 2

typedef struct Options {
    gboolean check_config;
    gchar **files;
} Options;

static int
read_options(int argc, char **argv, Options *options)
{
    GOptionEntry entries[] = {
        {"check-config", 0, 0, G_OPTION_ARG_NONE, &options->check_config,
         "Check the settings and exit", NULL},
        {G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_FILENAME_ARRAY,
         &options->files, NULL, "SETTINGS.yaml"},
        {NULL},
    };
    GOptionContext *context = g_option_context_new("- request scheduler");
    g_option_context_add_main_entries(context, entries, NULL);
    GError *error = NULL;
    bool parsed = g_option_context_parse(context, &argc, &argv, &error);
    g_option_context_free(context);
    if (!parsed) {
        fprintf(stderr, "laurelliftd: %s\n", error->message);
        g_error_free(error);
        return ERR_INVALID;
    }
    if (options->files == NULL || g_strv_length(options->files) != 1) {
        fprintf(stderr, "laurelliftd: expected one settings file\n");
        return ERR_INVALID;
    }
    return ERR_OK;
}

static int
add_roles(Kernel *kernel, const Settings *settings, Error *err)
{
    int result = ERR_OK;
    if (settings->control != NULL) {
        result = Control_AddTask(kernel, settings, err);
    }
    if (result == ERR_OK && settings->agents_count > 0) {
        result = Agent_AddTasks(kernel, settings, err);
    }
    if (result == ERR_OK && settings->entry != NULL) {
        result = Entry_AddTask(kernel, settings, err);
    }
    return result;
}

/* Checks that the largest request that an entry accepts fits into memory. */
static int
check_largest_body(const Settings *settings, Error *err)
{
    size_t bound = ClientBudget_Bound(ClientMemory_Budget());
    if (settings->entry == NULL ||
        settings->entry->max_body_bytes <= ClientBudget_LargestBody(bound))
    {
        return ERR_OK;
    }
    return Error_Set(err, ERR_INVALID,
                     "max_body_bytes %u does not fit into the part of "
                     "memory_mb that clients may take, %zu bytes.",
                     settings->entry->max_body_bytes, bound);
}

static int
run(const Settings *settings)
{
    LogLevel level = LOG_LEVEL_INFO;
    if (settings->log_level != NULL) {
        Log_ParseLevel(settings->log_level, &level);
    }
    Log_SetLevel(level);
    Error err = ERROR_INIT;
    Kernel *kernel = Kernel_New();
    int result = add_roles(kernel, settings, &err);
    if (result == ERR_OK) {
        LOG_INFO(PART, "Started. name=%s zone=%s", settings->name,
                 settings->zone);
        result = Kernel_Run(kernel, (int)settings->stop_timeout_ms, &err);
    }
    if (result != ERR_OK) {
        LOG_ERROR(PART, "Startup failed. why=\"%s\"", err.text);
    }
    Kernel_Free(kernel);
    return result == ERR_OK ? EXIT_SUCCESS : EXIT_FAILURE;
}

int
main(int argc, char **argv)
{
    Options options = {.check_config = FALSE};
    if (sodium_init() < 0 || read_options(argc, argv, &options) != ERR_OK) {
        return EXIT_USAGE;
    }
    Settings *settings;
    Error err = ERROR_INIT;
    int result = Settings_Load(options.files[0], &settings, &err);
    g_strfreev(options.files);
    if (result == ERR_OK) {
        ClientMemory_Init(settings->memory_mb, CLIENT_DIVISOR, 0);
        result = check_largest_body(settings, &err);
    }
    if (result != ERR_OK) {
        fprintf(stderr, "laurelliftd: %s\n", err.text);
        return EXIT_USAGE;
    }
    int status = EXIT_SUCCESS;
    if (options.check_config) {
        printf("settings are valid\n");
    }
    else {
        status = run(settings);
    }
    Settings_Free(settings);
    return status;
}
