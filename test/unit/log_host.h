/** @file
 * Control hosts inside one process: replicas with real data folders, links
 * over loopback and the list of applied commands as replicated state.
 */
#ifndef LAURELLIFT_TEST_UNIT_LOG_HOST_H
#define LAURELLIFT_TEST_UNIT_LOG_HOST_H

#include "control/replica.h"

#define LOG_HOSTS_MAX 5

/** One control host. */
typedef struct LogHost {
    struct event_base *base;
    Settings settings;
    SettingsControl control;
    SettingsControlHost hosts[LOG_HOSTS_MAX];
    char folder[64];
    LinkIdentity self;
    LinkServer *server;
    Replica *replica;          /**< NULL while the host is stopped. */
    GPtrArray *state;          /**< Applied commands, as strings. */
    unsigned durable_commands; /**< Calls of ReplicaOps.command_durable. */
    unsigned truncated;        /**< Calls of ReplicaOps.truncated. */
} LogHost;

/** Initializes @p count stopped hosts with free ports and empty folders. */
void LogHost_InitGroup(struct event_base *base, LogHost *hosts,
                       unsigned count);

/** Starts the host.
 * @return ERR_OK, or the code of @p err when the replica or its listener
 * cannot be opened. */
int LogHost_Start(LogHost *host, Error *err);

/** Stops the host without a planned stop. Saved data stays in its folder. */
void LogHost_Kill(LogHost *host);

/** Removes all files in the host's folder. */
void LogHost_EraseDisk(LogHost *host);

void LogHost_FreeGroup(LogHost *hosts, unsigned count);

/** Runs the event loop until @p done returns true.
 * @return false after @p limit_ms milliseconds. */
bool LogHost_RunUntil(LogHost *hosts, unsigned count,
                      bool (*done)(LogHost *hosts, unsigned count, void *arg),
                      void *arg, int limit_ms);

/** Returns the running leader with the highest term, or NULL. */
LogHost *LogHost_Leader(LogHost *hosts, unsigned count);

/** Proposes the text as a command at the leader.
 * @return ERR_UNAVAILABLE when there is no leader, or as Replica_Propose. */
int LogHost_Propose(LogHost *hosts, unsigned count, const char *text);

#endif
