/** @file
 * Settings: the YAML schema, loading and defaults.
 */
#include "kernel/settings.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cyaml/cyaml.h>
#include <glib.h>

#include "kernel/settings_check.h"

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

#define STRING(key, type, member)                                             \
    CYAML_FIELD_STRING_PTR(key, CYAML_FLAG_POINTER, type, member, 1, 255)
#define OPTIONAL_STRING(key, type, member)                                    \
    CYAML_FIELD_STRING_PTR(key, CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,     \
                           type, member, 0, 255)
#define OPTIONAL_NUMBER(key, type, member)                                    \
    CYAML_FIELD_UINT(key, CYAML_FLAG_OPTIONAL, type, member)

static const cyaml_schema_field_t control_host_fields[] = {
    CYAML_FIELD_UINT("id", CYAML_FLAG_DEFAULT, SettingsControlHost, id),
    STRING("address", SettingsControlHost, address),
    STRING("admin", SettingsControlHost, admin),
    CYAML_FIELD_END,
};

static const cyaml_schema_value_t control_host_schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, SettingsControlHost,
                        control_host_fields),
};

static const cyaml_schema_field_t operator_fields[] = {
    STRING("name", SettingsOperator, name),
    STRING("key_hash", SettingsOperator, key_hash),
    CYAML_FIELD_END,
};

static const cyaml_schema_value_t operator_schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, SettingsOperator, operator_fields),
};

static const cyaml_strval_t lease_modes[] = {
    {"leader", SETTINGS_LEASE_LEADER},
    {"majority", SETTINGS_LEASE_MAJORITY},
};

static const cyaml_schema_field_t entry_fields[] = {
    STRING("http", SettingsEntry, http),
    OPTIONAL_NUMBER("max_body_bytes", SettingsEntry, max_body_bytes),
    OPTIONAL_NUMBER("max_requests", SettingsEntry, max_requests),
    OPTIONAL_NUMBER("lease_ms", SettingsEntry, lease_ms),
    CYAML_FIELD_ENUM("lease_mode", CYAML_FLAG_OPTIONAL, SettingsEntry,
                     lease_mode, lease_modes, CYAML_ARRAY_LEN(lease_modes)),
    CYAML_FIELD_END,
};

static const cyaml_schema_field_t agent_fields[] = {
    STRING("name", SettingsAgent, name),
    STRING("listen", SettingsAgent, listen),
    OPTIONAL_STRING("advertise", SettingsAgent, advertise),
    STRING("http", SettingsAgent, http),
    STRING("endpoint", SettingsAgent, endpoint),
    OPTIONAL_NUMBER("grant_ms", SettingsAgent, grant_ms),
    OPTIONAL_NUMBER("announce_ms", SettingsAgent, announce_ms),
    OPTIONAL_NUMBER("idle_ms", SettingsAgent, idle_ms),
    OPTIONAL_NUMBER("resume_ms", SettingsAgent, resume_ms),
    OPTIONAL_NUMBER("keep_ms", SettingsAgent, keep_ms),
    CYAML_FIELD_END,
};

static const cyaml_schema_value_t agent_schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, SettingsAgent, agent_fields),
};

static const cyaml_schema_field_t control_fields[] = {
    CYAML_FIELD_UINT("id", CYAML_FLAG_DEFAULT, SettingsControl, id),
    STRING("data_dir", SettingsControl, data_dir),
    CYAML_FIELD_BOOL("bootstrap", CYAML_FLAG_OPTIONAL, SettingsControl,
                     bootstrap),
    CYAML_FIELD_BOOL("auto_members", CYAML_FLAG_OPTIONAL, SettingsControl,
                     auto_members),
    OPTIONAL_STRING("rules", SettingsControl, rules),
    OPTIONAL_NUMBER("claim_retention_s", SettingsControl, claim_retention_s),
    CYAML_FIELD_SEQUENCE("operators", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
                         SettingsControl, operators, &operator_schema, 0, 64),
    CYAML_FIELD_END,
};

static const cyaml_schema_field_t settings_fields[] = {
    STRING("name", Settings, name),
    STRING("region", Settings, region),
    STRING("zone", Settings, zone),
    OPTIONAL_STRING("log_level", Settings, log_level),
    OPTIONAL_NUMBER("stop_timeout_ms", Settings, stop_timeout_ms),
    OPTIONAL_NUMBER("memory_mb", Settings, memory_mb),
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

/* First error that libcyaml logged. The library logs the error first and then
 * its position, starting with the innermost mapping. */
typedef struct LoadError {
    char text[160];
    char field[64]; /* innermost field, in quotes; empty if unknown */
    unsigned line;  /* 0 if unknown */
} LoadError;

static void
on_cyaml_log(cyaml_log_t level, void *context, const char *format,
             va_list args)
{
    LoadError *error = context;
    char text[200];
    vsnprintf(text, sizeof(text), format, args);
    g_strchomp(text);
    const char *place = strstr(text, "(line: ");
    if (place != NULL && error->line == 0) {
        error->line = (unsigned)strtoul(place + strlen("(line: "), NULL, 10);
        sscanf(text, " in mapping field %63s", error->field);
    }
    const char *prefix = "Load: ";
    if (error->text[0] == '\0' && g_str_has_prefix(text, prefix)) {
        g_strlcpy(error->text, text + strlen(prefix), sizeof(error->text));
    }
}

/* libcyaml reports the first line of the mapping for an unknown key, so the
 * line of the key is searched from there. */
static int
set_load_error(const char *path, const LoadError *error, Error *err)
{
    const char *unknown = "Unexpected key: ";
    if (!g_str_has_prefix(error->text, unknown)) {
        return Error_Set(err, ERR_INVALID, "%s:%u: %s%s%s", path,
                         error->line == 0 ? 1 : error->line, error->text,
                         error->field[0] == '\0' ? "" : " near field ",
                         error->field);
    }
    const char *key = error->text + strlen(unknown);
    return Error_Set(err, ERR_INVALID,
                     "%s:%u: unknown key '%s'; docs/CONFIGURATION.md lists "
                     "the keys",
                     path, SettingsCheck_FindLine(path, key, error->line),
                     key);
}

static void
set_default(uint32_t *value, uint32_t fallback)
{
    if (*value == 0) {
        *value = fallback;
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
make_config(LoadError *error)
{
    return (cyaml_config_t){
        .log_fn = on_cyaml_log,
        .log_ctx = error,
        .log_level = CYAML_LOG_ERROR,
        .mem_fn = cyaml_mem,
    };
}

int
Settings_Load(const char *path, Settings **settings, Error *err)
{
    *settings = NULL;
    LoadError error = {.line = 0};
    cyaml_config_t config = make_config(&error);
    cyaml_data_t *data = NULL;
    cyaml_err_t outcome =
        cyaml_load_file(path, &config, &settings_schema, &data, NULL);
    if (outcome == CYAML_ERR_FILE_OPEN) {
        return Error_Set(err, ERR_IO, "%s: cannot be opened", path);
    }
    if (outcome != CYAML_OK) {
        return set_load_error(path, &error, err);
    }
    Settings *loaded = (Settings *)data;
    int result = SettingsCheck_All(path, loaded, err);
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
    LoadError error = {.line = 0};
    cyaml_config_t config = make_config(&error);
    cyaml_free(&config, &settings_schema, settings, 0);
}
