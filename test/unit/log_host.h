/** @file
 * Control hosts inside one process: replicas with real folders and links on
 * loopback, and a trivial replicated state (the list of applied commands).
 */
#ifndef LAURELLIFT_TEST_UNIT_LOG_HOST_H
#define LAURELLIFT_TEST_UNIT_LOG_HOST_H

#include "control/replica.h"

#define LOG_HOSTS_MAX 5

/** One host. */
typedef struct LogHost {
    struct event_base *base;
    Settings settings;
    SettingsControl control;
    SettingsControlHost hosts[LOG_HOSTS_MAX];
    char folder[64];
    LinkIdentity self;
    LinkServer *server;
    Replica *replica; /**< NULL while it is down. */
    GPtrArray *state; /**< Applied commands, as strings. */
    unsigned appended;
    unsigned truncated;
} LogHost;

/** Makes @p count hosts on free ports, with empty folders, not running. */
void LogHost_MakeGroup(struct event_base *base, LogHost *hosts,
                       unsigned count);

/** Starts the host. @return what Replica_Open reports in @p err. */
int LogHost_Start(LogHost *host, Error *err);

/** Ends it at once, as a kill does; what was synced stays. */
void LogHost_Kill(LogHost *host);

/** Removes everything in the host's folder. */
void LogHost_LoseDisk(LogHost *host);

void LogHost_FreeGroup(LogHost *hosts, unsigned count);

/** Runs the loop until @p done or the time is over. */
bool LogHost_RunUntil(LogHost *hosts, unsigned count,
                      bool (*done)(LogHost *hosts, unsigned count, void *arg),
                      void *arg, int limit_ms);

/** The host that leads, or NULL. */
LogHost *LogHost_Leader(LogHost *hosts, unsigned count);

/** Proposes the text at the leader. */
int LogHost_Propose(LogHost *hosts, unsigned count, const char *text);

#endif
