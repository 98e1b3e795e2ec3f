/** @file
 * Settings of one process, read from a YAML file and checked against a
 * schema before any port is opened.
 */
#ifndef LAURELLIFT_KERNEL_SETTINGS_H
#define LAURELLIFT_KERNEL_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "kernel/error.h"

/** One control host, as every process names it. */
typedef struct SettingsControlHost {
    uint32_t id;   /**< Replica number, 1 and up. */
    char *address; /**< IP:PORT of its links. */
    char *admin;   /**< IP:PORT of its administration API. */
} SettingsControlHost;

/** An operator who may use the administration API. */
typedef struct SettingsOperator {
    char *name;
    char *key_hash; /**< Hex BLAKE2b-256 of the operator's key. */
} SettingsOperator;

/** How an entry confirms the rules in force. */
typedef enum SettingsLeaseMode {
    SETTINGS_LEASE_MAJORITY = 0, /**< A majority of voters answers. */
    SETTINGS_LEASE_LEADER,       /**< One host that leads answers. */
} SettingsLeaseMode;

typedef struct SettingsEntry {
    char *http; /**< IP:PORT for callers. */
    uint32_t max_body_bytes;
    uint32_t max_requests; /**< Requests held at one time. */
    uint32_t lease_ms;     /**< Length of a rule lease. */
    SettingsLeaseMode lease_mode;
} SettingsEntry;

typedef struct SettingsAgent {
    char *name;           /**< Name of the endpoint. */
    char *listen;         /**< IP:PORT for links from entries. */
    char *advertise;      /**< IP:PORT that entries dial; NULL: listen. */
    char *http;           /**< IP:PORT where the endpoint announces itself. */
    char *endpoint;       /**< IP:PORT where the endpoint takes requests. */
    uint32_t grant_ms;    /**< Life of a grant. */
    uint32_t announce_ms; /**< Longest silence of the endpoint. */
    uint32_t idle_ms;     /**< Longest silence of a running request. */
    uint32_t resume_ms;   /**< How long a lost entry may come back. */
    uint32_t keep_ms;     /**< How long an answer waits for its entry. */
} SettingsAgent;

typedef struct SettingsControl {
    uint32_t id;       /**< Which of control_hosts this process is. */
    char *data_dir;    /**< Folder of the replicated log. */
    bool bootstrap;    /**< Found a new cluster when the folder is empty. */
    bool auto_members; /**< Admit control hosts without a command. */
    char *rules;       /**< Rule file applied at bootstrap; may be empty. */
    uint32_t claim_retention_s; /**< How long claims are kept. */
    SettingsOperator *operators;
    unsigned operators_count;
} SettingsControl;

typedef struct Settings {
    char *name; /**< Unique name of the process. */
    char *region;
    char *zone;
    char *log_level;
    uint32_t stop_timeout_ms; /**< Longest time of a planned stop. */
    SettingsControlHost *control_hosts;
    unsigned control_hosts_count;
    SettingsEntry *entry;  /**< NULL: no such role here. */
    SettingsAgent *agents; /**< One for each endpoint beside the process. */
    unsigned agents_count;
    SettingsControl *control; /**< NULL: no such role here. */
} Settings;

/** Reads and checks @p path. On failure @p err holds file, line and what
 * was expected. */
int Settings_Load(const char *path, Settings **settings, Error *err);

void Settings_Free(Settings *settings);

#endif
