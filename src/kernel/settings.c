/** @file
 * Settings: the YAML schema, defaults, and checks that the schema language
 * cannot express.
 */
#include "kernel/settings.h"

#include <stdio.h>
#include <string.h>

#include <cyaml/cyaml.h>
#include <event2/util.h>
#include <glib.h>

#include "kernel/log.h"

#define DEFAULT_STOP_TIMEOUT_MS 20000
#define DEFAULT_MAX_BODY_BYTES (4u * 1024 * 1024)
#define DEFAULT_MAX_REQUESTS 20000
#define DEFAULT_LEASE_MS 3000
#define DEFAULT_GRANT_MS 1000
#define DEFAULT_ANNOUNCE_MS 2500
#define DEFAULT_IDLE_MS 120000
#define DEFAULT_RESUME_MS 5000
#define DEFAULT_KEEP_MS 30000
#define DEFAULT_CLAIM_RETENTION_S (7u * 24 * 3600)

#define TEXT(key, type, member)                                               \
    CYAML_FIELD_STRING_PTR(key, CYAML_FLAG_POINTER, type, member, 1, 255)
#define TEXT_OPTIONAL(key, type, member)                                      \
    CYAML_FIELD_STRING_PTR(key, CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,     \
                           type, member, 0, 255)
#define NUMBER(key, type, member)                                             \
    CYAML_FIELD_UINT(key, CYAML_FLAG_OPTIONAL, type, member)

static const cyaml_schema_field_t control_host_fields[] = {
    CYAML_FIELD_UINT("id", CYAML_FLAG_DEFAULT, SettingsControlHost, id),
    TEXT("address", SettingsControlHost, address),
    TEXT("admin", SettingsControlHost, admin),
    CYAML_FIELD_END,
};

static const cyaml_schema_value_t control_host_schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, SettingsControlHost,
                        control_host_fields),
};

static const cyaml_schema_field_t operator_fields[] = {
    TEXT("name", SettingsOperator, name),
    TEXT("key_hash", SettingsOperator, key_hash),
    CYAML_FIELD_END,
};

static const cyaml_schema_value_t operator_schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, SettingsOperator, operator_fields),
};

static const cyaml_schema_field_t entry_fields[] = {
    TEXT("http", SettingsEntry, http),
    NUMBER("max_body_bytes", SettingsEntry, max_body_bytes),
    NUMBER("max_requests", SettingsEntry, max_requests),
    NUMBER("lease_ms", SettingsEntry, lease_ms),
    CYAML_FIELD_END,
};

static const cyaml_schema_field_t agent_fields[] = {
    TEXT("name", SettingsAgent, name),
    TEXT("listen", SettingsAgent, listen),
    TEXT("http", SettingsAgent, http),
    TEXT("endpoint", SettingsAgent, endpoint),
    NUMBER("grant_ms", SettingsAgent, grant_ms),
    NUMBER("announce_ms", SettingsAgent, announce_ms),
    NUMBER("idle_ms", SettingsAgent, idle_ms),
    NUMBER("resume_ms", SettingsAgent, resume_ms),
    NUMBER("keep_ms", SettingsAgent, keep_ms),
    CYAML_FIELD_END,
};

static const cyaml_schema_value_t agent_schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, SettingsAgent, agent_fields),
};

static const cyaml_schema_field_t control_fields[] = {
    CYAML_FIELD_UINT("id", CYAML_FLAG_DEFAULT, SettingsControl, id),
    TEXT("data_dir", SettingsControl, data_dir),
    CYAML_FIELD_BOOL("bootstrap", CYAML_FLAG_OPTIONAL, SettingsControl,
                     bootstrap),
    TEXT_OPTIONAL("rules", SettingsControl, rules),
    NUMBER("claim_retention_s", SettingsControl, claim_retention_s),
    CYAML_FIELD_SEQUENCE("operators", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
                         SettingsControl, operators, &operator_schema, 0, 64),
    CYAML_FIELD_END,
};

static const cyaml_schema_field_t settings_fields[] = {
    TEXT("name", Settings, name),
    TEXT("region", Settings, region),
    TEXT("zone", Settings, zone),
    TEXT_OPTIONAL("log_level", Settings, log_level),
    NUMBER("stop_timeout_ms", Settings, stop_timeout_ms),
    CYAML_FIELD_SEQUENCE("control_hosts", CYAML_FLAG_POINTER, Settings,
                         control_hosts, &control_host_schema, 1, 9),
    CYAML_FIELD_MAPPING_PTR("entry", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
                            Settings, entry, entry_fields),
    CYAML_FIELD_SEQUENCE("agents", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
                         Settings, agents, &agent_schema, 0, 16),
    CYAML_FIELD_MAPPING_PTR("control",
                            CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL, Settings,
                            control, control_fields),
    CYAML_FIELD_END,
};

static const cyaml_schema_value_t settings_schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, Settings, settings_fields),
};

/* Collects the library's messages: the first says what is wrong, a later
 * one says where. */
typedef struct LoadReport {
    char what[160];
    char where[80];
} LoadReport;

static void
on_cyaml_log(cyaml_log_t level, void *context, const char *format,
             va_list args)
{
    LoadReport *report = context;
    char line[160];
    vsnprintf(line, sizeof(line), format, args);
    g_strchomp(line);
    const char *text = strncmp(line, "Load: ", 6) == 0 ? line + 6 : line;
    const char *at = strstr(text, "(line:");
    if (at != NULL && report->where[0] == '\0') {
        g_strlcpy(report->where, at, sizeof(report->where));
    }
    if (report->what[0] == '\0' && strcmp(text, "Backtrace:") != 0) {
        g_strlcpy(report->what, text, sizeof(report->what));
    }
}

/* Line of the first occurrence of @p value in the file, or 0. */
static unsigned
line_of(const char *path, const char *value)
{
    FILE *file = fopen(path, "re");
    if (file == NULL) {
        return 0;
    }
    char line[512];
    unsigned number = 0;
    unsigned found = 0;
    while (found == 0 && fgets(line, sizeof(line), file) != NULL) {
        number++;
        found = strstr(line, value) != NULL ? number : 0;
    }
    fclose(file);
    return found;
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
                     "%s:%u: %s: '%s' is no address; expected IP:PORT", path,
                     line_of(path, value), key, value);
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
                         line_of(path, "control:"), settings->control->id);
    }
    return ERR_OK;
}

static int
check_agent(const char *path, const SettingsAgent *agent, Error *err)
{
    int result = check_address(path, "listen", agent->listen, err);
    if (result == ERR_OK) {
        result = check_address(path, "http", agent->http, err);
    }
    if (result == ERR_OK) {
        result = check_address(path, "endpoint", agent->endpoint, err);
    }
    return result;
}

static int
check_settings(const char *path, const Settings *settings, Error *err)
{
    LogLevel level;
    if (settings->log_level != NULL &&
        Log_ParseLevel(settings->log_level, &level) != ERR_OK)
    {
        return Error_Set(err, ERR_INVALID,
                         "%s:%u: log_level: expected debug, info, warn or "
                         "error",
                         path, line_of(path, "log_level"));
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
                         "%s:1: no role; expected entry, agents or control",
                         path);
    }
    return result;
}

static void
set_default(uint32_t *value, uint32_t otherwise)
{
    if (*value == 0) {
        *value = otherwise;
    }
}

static void
fill_defaults(Settings *settings)
{
    set_default(&settings->stop_timeout_ms, DEFAULT_STOP_TIMEOUT_MS);
    if (settings->entry != NULL) {
        SettingsEntry *entry = settings->entry;
        set_default(&entry->max_body_bytes, DEFAULT_MAX_BODY_BYTES);
        set_default(&entry->max_requests, DEFAULT_MAX_REQUESTS);
        set_default(&entry->lease_ms, DEFAULT_LEASE_MS);
    }
    for (unsigned i = 0; i < settings->agents_count; i++) {
        SettingsAgent *agent = &settings->agents[i];
        set_default(&agent->grant_ms, DEFAULT_GRANT_MS);
        set_default(&agent->announce_ms, DEFAULT_ANNOUNCE_MS);
        set_default(&agent->idle_ms, DEFAULT_IDLE_MS);
        set_default(&agent->resume_ms, DEFAULT_RESUME_MS);
        set_default(&agent->keep_ms, DEFAULT_KEEP_MS);
    }
    if (settings->control != NULL) {
        set_default(&settings->control->claim_retention_s,
                    DEFAULT_CLAIM_RETENTION_S);
    }
}

static cyaml_config_t
make_config(LoadReport *report)
{
    return (cyaml_config_t){
        .log_fn = on_cyaml_log,
        .log_ctx = report,
        .log_level = CYAML_LOG_ERROR,
        .mem_fn = cyaml_mem,
    };
}

int
Settings_Load(const char *path, Settings **settings, Error *err)
{
    *settings = NULL;
    LoadReport report = {.what = "", .where = ""};
    cyaml_config_t config = make_config(&report);
    cyaml_data_t *data = NULL;
    cyaml_err_t outcome =
        cyaml_load_file(path, &config, &settings_schema, &data, NULL);
    if (outcome != CYAML_OK) {
        const char *what =
            report.what[0] ? report.what : cyaml_strerror(outcome);
        return Error_Set(err, ERR_INVALID, "%s: %s %s", path, what,
                         report.where);
    }
    Settings *loaded = (Settings *)data;
    int result = check_settings(path, loaded, err);
    if (result != ERR_OK) {
        Settings_Free(loaded);
        return result;
    }
    fill_defaults(loaded);
    *settings = loaded;
    return ERR_OK;
}

void
Settings_Free(Settings *settings)
{
    LoadReport report = {.what = "", .where = ""};
    cyaml_config_t config = make_config(&report);
    cyaml_free(&config, &settings_schema, settings, 0);
}
