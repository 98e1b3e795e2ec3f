/** @file
 * Checks addresses, the log level, roles and the control host id in settings.
 */
#include "kernel/settings_check.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/util.h>

#include "kernel/log.h"

#define LINE_MAX_BYTES 512

unsigned
SettingsCheck_FindLine(const char *path, const char *text, unsigned from)
{
    FILE *file = fopen(path, "re");
    if (file == NULL) {
        return from;
    }
    char line[LINE_MAX_BYTES];
    unsigned number = 0;
    unsigned found = 0;
    while (found == 0 && fgets(line, sizeof(line), file) != NULL) {
        number++;
        bool matches = number >= from && strstr(line, text) != NULL;
        found = matches ? number : 0;
    }
    fclose(file);
    return found == 0 ? from : found;
}

static int
check_address(const char *path, const char *key, const char *value, Error *err)
{
    struct sockaddr_storage storage;
    int length = sizeof(storage);
    const char *colon = strrchr(value, ':');
    if (colon != NULL && atoi(colon + 1) > 0 &&
        evutil_parse_sockaddr_port(value, (struct sockaddr *)&storage,
                                   &length) == 0)
    {
        return ERR_OK;
    }
    return Error_Set(err, ERR_INVALID,
                     "%s:%u: %s: '%s' is not an address; expected IP:PORT",
                     path, SettingsCheck_FindLine(path, value, 1), key, value);
}

static int
check_control(const char *path, const Settings *settings, Error *err)
{
    bool found = settings->control == NULL;
    for (unsigned i = 0; i < settings->control_hosts_count; i++) {
        const SettingsControlHost *host = &settings->control_hosts[i];
        int result = check_address(path, "address", host->address, err);
        if (result == ERR_OK) {
            result = check_address(path, "admin", host->admin, err);
        }
        if (result != ERR_OK) {
            return result;
        }
        found = found || host->id == settings->control->id;
    }
    if (!found) {
        return Error_Set(err, ERR_INVALID,
                         "%s:%u: control: id %u is not in control_hosts", path,
                         SettingsCheck_FindLine(path, "control:", 1),
                         settings->control->id);
    }
    return ERR_OK;
}

static int
check_agent(const char *path, const SettingsAgent *agent, Error *err)
{
    int result = check_address(path, "listen", agent->listen, err);
    if (result == ERR_OK && agent->advertise != NULL) {
        result = check_address(path, "advertise", agent->advertise, err);
    }
    if (result == ERR_OK) {
        result = check_address(path, "http", agent->http, err);
    }
    if (result == ERR_OK) {
        result = check_address(path, "endpoint", agent->endpoint, err);
    }
    return result;
}

int
SettingsCheck_All(const char *path, const Settings *settings, Error *err)
{
    LogLevel level;
    if (settings->log_level != NULL &&
        Log_ParseLevel(settings->log_level, &level) != ERR_OK)
    {
        return Error_Set(err, ERR_INVALID,
                         "%s:%u: log_level: expected debug, info, warn or "
                         "error",
                         path, SettingsCheck_FindLine(path, "log_level", 1));
    }
    int result = check_control(path, settings, err);
    if (result == ERR_OK && settings->entry != NULL) {
        result = check_address(path, "http", settings->entry->http, err);
    }
    for (unsigned i = 0; result == ERR_OK && i < settings->agents_count; i++) {
        result = check_agent(path, &settings->agents[i], err);
    }
    if (result == ERR_OK && settings->entry == NULL &&
        settings->control == NULL && settings->agents_count == 0)
    {
        return Error_Set(err, ERR_INVALID,
                         "%s:1: no role is configured; expected entry, agents "
                         "or control",
                         path);
    }
    return result;
}
