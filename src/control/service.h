/** @file
 * Control task: its state and the functions that its source files share.
 * Internal to the control package.
 */
#ifndef LAURELLIFT_CONTROL_SERVICE_H
#define LAURELLIFT_CONTROL_SERVICE_H

#include <event2/event.h>
#include <glib.h>

#include "control/members.h"
#include "control/replica.h"
#include "control/state.h"
#include "kernel/clock.h"
#include "kernel/settings.h"
#include "kernel/task.h"
#include "server/http.h"
#include "wire/link.h"

#define CONTROL_PART "control"
/** Period of the checks for timeouts, expired members and lost claims. */
#define CONTROL_TICK_MS 250
/** Time within which a majority must accept a command. */
#define CONTROL_COMMAND_TIMEOUT_MS 5000
/** Time within which an agent must answer an order. */
#define CONTROL_ORDER_TIMEOUT_MS 10000
/** Retry-After while the leader is not known or is being replaced. */
#define CONTROL_RETRY_AFTER_MS 500
/** Time without a link after which the claims of an entry's incarnation are
 * marked lost. */
#define CONTROL_OWNER_ABSENCE_MS 10000

/** A lease request whose reply needs a confirmation of leadership by a
 * majority. */
typedef struct PendingLeaseRequest {
    Link *link; /**< NULL once the link is disconnected. */
    uint64_t sequence;
} PendingLeaseRequest;

typedef struct Control {
    const Settings *settings;
    LinkIdentity self;
    TaskHandle task;
    struct event_base *base;
    struct event *tick;
    LinkServer *link_server;
    GHashTable *open_links; /* Link -> serial (uint64_t, never reused) */
    uint64_t link_serial;
    HttpServer *http;
    Replica *replica;
    State *state;
    Members *members;
    bool is_leader;
    bool draining;
    TimeUs clock_base_time; /* time of the last change of leadership */
    uint64_t clock_base_ms; /* replicated clock at that time */
    GArray *pending_rules;  /* of uint64_t: log indices of rule changes on disk
                               that are not applied yet, ascending */
    GHashTable *waiters;    /* command id (GBytes) -> Waiter */
    GArray *lease_queue;    /* of PendingLeaseRequest, waiting for the next
                               confirmation */
    GArray *lease_confirming; /* of PendingLeaseRequest, being confirmed */
    GHashTable *orders;       /* command id (GBytes) -> PendingOrder */
    GHashTable *absent_since; /* owner (uint64_t) -> absent since (TimeUs) */
} Control;

/* ---- control.c ---- */

/** Serial of a link; 0 when it is disconnected. */
uint64_t Control_LinkSerial(const Control *control, const Link *link);

/** Whether a process of this incarnation has a link to this host. */
bool Control_HasPeer(const Control *control, uint64_t incarnation);

/** Settings of the control host with replica number @p id, or NULL. */
const SettingsControlHost *Control_FindHost(const Control *control,
                                            uint32_t id);

/** Receives the outcome of a command. @p reply is valid only during the
 * call. */
typedef void (*CommandDone)(void *arg, const Wire__CommandReply *reply);

/* ---- commands.c: proposals and their outcomes ---- */

/** Proposes a command with the leader's clocks and settings added. If the
 * command id is already pending, only waits for its outcome. @p done is called
 * exactly once, possibly before this function returns. */
void Commands_Submit(Control *control, const Wire__Command *command,
                     CommandDone done, void *arg);

/** Passes the reply to an applied command to its waiters. */
void Commands_OnApplied(Control *control, const Wire__CommandReply *reply);

/** Fails all waiters; the outcomes of their commands are unknown. */
void Commands_FailAll(Control *control, int code, const char *text);

/** Fails the waiters whose deadline has passed. */
void Commands_Tick(Control *control, TimeUs now);

/** Handles a Command frame. */
void Commands_OnFrame(Control *control, Link *link,
                      const Wire__Command *command);

/** Discards the replies to commands received over @p link, which has
 * disconnected. The commands stay pending. */
void Commands_OnLinkDown(Control *control, Link *link);

/** Replicated clock, in milliseconds, that this host would stamp into a
 * command now. */
uint64_t Commands_ClockMs(const Control *control);

/* ---- leases.c: which rules are in force ---- */

void Leases_OnFrame(Control *control, Link *link,
                    const Wire__LeaseRequest *request);
void Leases_OnLinkDown(Control *control, Link *link);

/** Track the rule changes on this host's disk that are not applied yet. */
void Leases_OnAppended(Control *control, uint64_t index,
                       const Wire__Command *command);
void Leases_OnTruncated(Control *control, uint64_t index);
void Leases_OnApplied(Control *control, uint64_t index);

/** Newest rules version on this host's disk, committed or not. */
uint64_t Leases_PendingVersion(const Control *control);

/* ---- queries.c: rules, members, quarantine, fencing floors ---- */

/** Answers a query frame. @return false when the frame is not a query. */
bool Queries_OnFrame(Control *control, Link *link, const Wire__Frame *frame);

/* ---- orders.c: operators' orders to endpoints ---- */

/** Receives the agent's reply or an error. With ERR_TIMEOUT the outcome of the
 * order is unknown. */
typedef void (*OrderDone)(void *arg, const Wire__OrderReply *reply);

/** Gets a fencing number through the log, then sends the order to the agent.
 */
void Orders_Submit(Control *control, const Wire__Order *order,
                   const char *author, OrderDone done, void *arg);

void Orders_OnReply(Control *control, const Wire__OrderReply *reply);
void Orders_Tick(Control *control, TimeUs now);
void Orders_FailAll(Control *control);

/* ---- sweep.c: claims of disconnected entries ---- */

/** Proposes to mark the claims of entries without a link for
 * CONTROL_OWNER_ABSENCE_MS as lost. Does nothing on followers. */
void Sweep_Tick(Control *control, TimeUs now);
/** Discards the recorded absences; called on a change of leadership. */
void Sweep_Reset(Control *control);

/* ---- admin.c: administration API ---- */

/** Listens for the API at the host's admin address. */
int Admin_Open(Control *control, const Address *address, Error *err);
void Admin_Close(Control *control);

#endif
