/** @file
 * State shared by the source files of the fleet task.
 */
#ifndef LAURELLIFT_FLEET_STATE_H
#define LAURELLIFT_FLEET_STATE_H

#include "control/replica.h"
#include "fleet/departures.h"
#include "fleet/document.h"
#include "fleet/fleet.h"
#include "fleet/state_file.h"
#include "kernel/clock.h"
#include "sched/crash_table.h"
#include "sched/quota_ledger.h"
#include "sched/stream_origins.h"
#include "wire/link.h"

#define FLEET_PART "fleet"

typedef struct FleetRollouts FleetRollouts;

/* A process that is connected to this host by a link. */
typedef struct FleetPeer {
    uint64_t serial; /* distinguishes links that reuse a pointer */
    Link *link;
    bool is_gateway;
    TimeUs last_query_at;         /* time of the last ConfigQuery; 0: none */
    GHashTable *endpoint_demands; /* endpoint id -> demand in requests/s */
} FleetPeer;

struct Fleet {
    TaskHandle task;
    struct event_base *base;
    const Settings *settings;
    const RouteCodec *codec;
    LinkIdentity self;
    LinkServer *link_server;
    Replica *replica;
    Document document;
    RouteTable
        *newest_table;   /* see Fleet_Table(); may be of an older document */
    bool table_is_stale; /* the document has changed since */
    unsigned tables_decoded; /* number of them since the start */
    Directory *directory;
    Departures *departures;       /* replicated; also in the directory */
    GHashTable *peers;            /* Link -> FleetPeer */
    GHashTable *pending_commands; /* command id -> PendingCommand */
    uint64_t last_serial;         /* serial of the link that connected last */
    TimeUs leader_since;
    bool is_leader;
    bool draining;
    bool push_scheduled;
    struct event *push_event;
    struct event *save_event; /* saves the directory after a delay */
    StateFile *directory_file;
    CrashTable *crashes;
    struct event *crash_save_event; /* saves the crash table after a delay */
    StateFile *crash_file;
    StreamOrigins *origins;
    QuotaLedger *quotas; /* in use while this host is the leader */
    TimeUs confirmed_at; /* a majority confirmed the leadership since then */
    GHashTable *lost_gateways; /* name -> time of the last query (TimeUs) of
                                  gateways that may still have a lease */
    double silent_fraction;    /* of the gateways, as of silent_checked_at */
    TimeUs silent_checked_at;
    struct event *tick_event;
    FleetRollouts *rollouts;
};

/* ---- fleet.c ---- */

/* Returns the table of the newest document, or NULL if there is none. Decodes
 * it if the document has changed, so that the documents which are applied in a
 * row, as after a start, cost no more than the last of them. */
RouteTable *Fleet_Table(Fleet *fleet);

/* Applies the report of a gateway that an endpoint leaves, and passes it on.
 */
void Fleet_OnEndpointLeaving(Fleet *fleet,
                             const Wire__EndpointLeaving *leaving);

/* ---- commands.c ---- */

/* Frees a value of `pending_commands`. */
void FleetCommands_FreePending(gpointer data);

/* Proposes a command and takes ownership of it. @p done, which may be NULL, is
 * called when it is applied or its outcome is unknown.
 * @return false if this host cannot propose; the call has been reported. */
bool FleetCommands_Propose(Fleet *fleet, uint64_t id, GBytes *command,
                           FleetDone done, void *arg);

/* Submits a command to the leader, wherever that is, again and again until it
 * is applied here or @p timeout has passed, which is reported as
 * FLEET_UNKNOWN. Takes ownership of the command, which must do no harm if
 * it is applied more than once. */
void FleetCommands_Submit(Fleet *fleet, uint64_t id, GBytes *command,
                          TimeUs timeout, FleetDone done, void *arg);

/* Returns whether this host proposed the command, still leads, and waits for
 * it. */
bool FleetCommands_IsPending(const Fleet *fleet, uint64_t id);

/* Reports the outcome of a command if this host proposed it. */
void FleetCommands_Finish(Fleet *fleet, uint64_t id, FleetOutcome outcome);

/* Reports FLEET_UNKNOWN for all pending commands. */
void FleetCommands_FailAll(Fleet *fleet);

/* The same for commands that only this host, as the leader, has proposed. */
void FleetCommands_OnLeadershipLost(Fleet *fleet);

/* Reports FLEET_UNKNOWN for commands that were not applied in time, and
 * submits the others that are due again. */
void FleetCommands_OnTick(Fleet *fleet, TimeUs now);

/* Reports the leader, or FLEET_UNAVAILABLE when no other host is known to be
 * the leader. */
void FleetCommands_ReportNotLeader(Fleet *fleet, FleetDone done, void *arg);

/* ---- gateways.c ---- */

/* Handles a frame from a process other than a control host. */
void FleetGateways_OnFrame(Fleet *fleet, Link *link, const Wire__Frame *frame);

/* Schedules sending the newest document to every gateway. */
void FleetGateways_SchedulePush(Fleet *fleet);

/* Sends all endpoint records to one gateway. */
void FleetGateways_SendDirectory(Fleet *fleet, Link *link);

/* Sends one endpoint record to every gateway. */
void FleetGateways_SendRecord(Fleet *fleet, const EndpointRecord *record);

/* Sends a frame to every gateway. */
void FleetGateways_Broadcast(Fleet *fleet, const Wire__Frame *frame);

/* Event callback that sends the newest document to every gateway. */
void FleetGateways_OnPush(evutil_socket_t fd, short events, void *arg);

/* Counts the gateways that have queried this host lately.
 * @param silent_us  time without a query after which one counts as silent.
 * @param silent  set to the number of silent ones. */
uint32_t FleetGateways_Count(const Fleet *fleet, TimeUs silent_us,
                             uint32_t *silent);

/* ---- quotas.c ---- */

/* Starts the ledger of account limits when this host becomes the leader. */
void FleetQuotas_OnLeader(Fleet *fleet);

/* Records that a majority has confirmed the leadership after @p asked_at. */
void FleetQuotas_OnConfirmed(Fleet *fleet, TimeUs asked_at);

/* Records the end of the link of a gateway, which may go on with its part of
 * each limit until its lease ends, and that it is back. */
void FleetQuotas_OnGatewayLost(Fleet *fleet, const FleetPeer *peer);
void FleetQuotas_OnGatewayBack(Fleet *fleet, const char *name);

/* Returns the fraction of the gateways that may be using their part of each
 * limit. */
double FleetQuotas_SilentFraction(Fleet *fleet);

/* Answers a gateway that asks for units of an account. */
void FleetQuotas_OnQuery(Fleet *fleet, Link *link,
                         const Wire__QuotaQuery *query);

/* Adds the units that a gateway returns with a query. */
void FleetQuotas_OnReturned(Fleet *fleet, const Wire__ConfigQuery *query);

/* ---- rollouts.c: orders and records ---- */

FleetRollouts *FleetRollouts_New(const FleetRolloutBounds *bounds);
void FleetRollouts_Free(FleetRollouts *rollouts);

const RolloutTable *FleetRollouts_Table(const Fleet *fleet);

/* Applies a command if it is about a roll-out.
 * @return the outcome for the caller that proposed it. */
FleetOutcome FleetRollouts_OnApply(Fleet *fleet, uint64_t index, uint64_t id,
                                   const uint8_t *command, size_t length);

/* Replaces the roll-outs by those of a snapshot. */
int FleetRollouts_OnRestore(Fleet *fleet, const uint8_t *bytes, size_t length,
                            Error *err);

/* Sends all roll-outs to every gateway if this host is the leader. */
void FleetRollouts_Push(Fleet *fleet);

/* ---- rollout_runs.c: evidence and ledger of the leader ---- */

/* Begins with no evidence and an unknown ledger, as this host became the
 * leader or lost the leadership. */
void FleetRollouts_OnLeadership(Fleet *fleet);

/* Handles the report of a gateway and replies to it. */
void FleetRollouts_OnReport(Fleet *fleet, Link *link,
                            const Wire__RolloutReport *report);

/* Decides roll-outs in progress if this host is the leader. */
void FleetRollouts_OnTick(Fleet *fleet, TimeUs now);

/* ---- crashes.c ---- */

/* Applies crashes and acquittals that a gateway reports. */
void FleetCrashes_OnNews(Fleet *fleet, const Wire__CrashNews *news);

/* Sends all crashes to one gateway. */
void FleetCrashes_SendAll(const Fleet *fleet, Link *link);

/* Loads the crash table from its file. */
void FleetCrashes_Load(Fleet *fleet);

/* Event callback that saves the crash table. */
void FleetCrashes_OnSave(evutil_socket_t fd, short events, void *arg);

/* ---- origins.c ---- */

/* Applies the origins of streams that a gateway reports. */
void FleetOrigins_OnNews(Fleet *fleet, const Wire__StreamOriginNews *news);

/* Answers a gateway's question, also if the origin is not known: the gateway
 * then has every endpoint record that this host had sent before. */
void FleetOrigins_OnQuery(const Fleet *fleet, Link *link,
                          const Wire__StreamOriginQuery *query);

#endif
