/** @file
 * Settings of one process. They are read from a YAML file and checked before
 * the process opens any port.
 */
#ifndef LAURELLIFT_KERNEL_SETTINGS_H
#define LAURELLIFT_KERNEL_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "kernel/error.h"

/** Control host. All processes list the same control hosts. */
typedef struct SettingsControlHost {
    uint32_t id;   /**< Replica id, starting at 1. */
    char *address; /**< IP:PORT for links. */
    char *admin;   /**< IP:PORT of the administration API. */
} SettingsControlHost;

/** Operator who may use the administration API. */
typedef struct SettingsOperator {
    char *name;
    char *key_hash; /**< Hex BLAKE2b-256 of the operator's key. */
} SettingsOperator;

/** Which control hosts must confirm a rule lease of an entry. */
typedef enum SettingsLeaseMode {
    SETTINGS_LEASE_MAJORITY = 0, /**< A majority of the voters. */
    SETTINGS_LEASE_LEADER,       /**< The leader alone. */
} SettingsLeaseMode;

typedef struct SettingsEntry {
    char *http; /**< IP:PORT for callers. */
    uint32_t max_body_bytes;
    uint32_t max_requests; /**< Limit of concurrent requests. */
    uint32_t lease_ms;     /**< Duration of a rule lease. */
    SettingsLeaseMode lease_mode;
} SettingsEntry;

typedef struct SettingsAgent {
    char *name;           /**< Name of the endpoint. */
    char *listen;         /**< IP:PORT for links from entries. */
    char *advertise;      /**< IP:PORT that entries dial; NULL for listen. */
    char *http;           /**< IP:PORT for announcements of the endpoint. */
    char *endpoint;       /**< IP:PORT of the endpoint. */
    uint32_t grant_ms;    /**< Time after which an unused grant expires. */
    uint32_t announce_ms; /**< Time without an announcement after which the
                            endpoint is unusable. */
    uint32_t idle_ms;     /**< Time without output after which a running
                            request fails. */
    uint32_t resume_ms;   /**< Time that a disconnected entry has to reconnect
                            before its idempotent requests are abandoned. */
    uint32_t keep_ms;     /**< Time for which a complete answer is kept for its
                            entry. */
} SettingsAgent;

typedef struct SettingsControl {
    uint32_t id;       /**< Id of this process in control_hosts. */
    char *data_dir;    /**< Directory of the replicated log. */
    bool bootstrap;    /**< Start a new cluster if data_dir is empty. */
    bool auto_members; /**< Admit new control hosts automatically. */
    char *rules;       /**< Rule file applied at bootstrap, or empty. */
    uint32_t claim_retention_s; /**< How long finished claims are kept. */
    SettingsOperator *operators;
    unsigned operators_count;
} SettingsControl;

typedef struct Settings {
    char *name; /**< Unique name of the process. */
    char *region;
    char *zone;
    char *log_level;
    uint32_t stop_timeout_ms; /**< Time limit of a planned stop. */
    uint32_t memory_mb; /**< Memory that the process may use, in MiB; 0: that
                             of the machine. */
    SettingsControlHost *control_hosts;
    unsigned control_hosts_count;
    SettingsEntry *entry;  /**< NULL if not an entry. */
    SettingsAgent *agents; /**< One for each endpoint of the process. */
    unsigned agents_count;
    SettingsControl *control; /**< NULL if not a control host. */
} Settings;

/** Reads and checks the settings file and fills in defaults. On failure the
 * message in @p err names the file, the line and what was expected. */
int Settings_Load(const char *path, Settings **settings, Error *err);

void Settings_Free(Settings *settings);

#endif
