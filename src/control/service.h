/** @file
 * Control task: its state, and the calls between its sources. Nothing
 * outside the control package includes this.
 */
#ifndef LAURELLIFT_CONTROL_SERVICE_H
#define LAURELLIFT_CONTROL_SERVICE_H

#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>

#include "control/members.h"
#include "control/replica.h"
#include "control/state.h"
#include "kernel/clock.h"
#include "kernel/settings.h"
#include "kernel/task.h"
#include "wire/link.h"

#define CONTROL_PART "control"
/** Period of timeouts, lapses and sweeps. */
#define CONTROL_TICK_MS 250
/** Longest wait for a command to be accepted. */
#define CONTROL_COMMAND_TIMEOUT_MS 5000
/** Longest wait for an agent's answer to an order. */
#define CONTROL_ORDER_TIMEOUT_MS 10000
/** Retry-After where the leader is not known or is being replaced. */
#define CONTROL_RETRY_AFTER_MS 500
/** Absence after which the claims of an entry's incarnation are lost. */
#define CONTROL_OWNER_GONE_MS 10000

/** A question about the lease that the majority must confirm. */
typedef struct LeaseAsk {
    Link *link; /**< NULL once the link is gone. */
    uint64_t sequence;
} LeaseAsk;

typedef struct Control {
    const Settings *settings;
    LinkIdentity self;
    TaskHandle task;
    struct event_base *base;
    struct event *tick;
    LinkServer *links;
    GHashTable *open_links; /* Link -> serial (uint64_t), never reused */
    uint64_t link_serial;
    struct evhttp *http;
    Replica *replica;
    State *state;
    Members *members;
    bool is_leader;
    bool draining;
    TimeUs clock_base_at;   /* when this host began to lead */
    uint64_t clock_base_ms; /* replicated time at that moment */
    GArray *pending_rules;  /* of uint64_t: log indices, ascending */
    GHashTable *waiters;    /* command id (GBytes) -> Waiter */
    GArray *lease_waiting;  /* of LeaseAsk, for the next confirmation */
    GArray *lease_asked;    /* of LeaseAsk, under confirmation */
    GHashTable *orders;     /* command id (GBytes) -> Order */
    GHashTable *absent;     /* owner (uint64_t) -> absent since (TimeUs) */
} Control;

/* ---- control.c ---- */

/** Serial of an open link; 0 when the link is gone. */
uint64_t Control_LinkSerial(const Control *control, const Link *link);

/** True while a process of this incarnation has a link to this host. */
bool Control_HasPeer(const Control *control, uint64_t incarnation);

/** The control host of this replica number, or NULL. */
const SettingsControlHost *Control_HostOf(const Control *control, uint32_t id);

/** Told the outcome of a command; the reply lives for the call only. */
typedef void (*CommandDone)(void *arg, const Wire__CommandReply *reply);

/* ---- commands.c: proposals and their outcomes ---- */

/** Proposes a command, or joins the wait for the same command id. The
 * leader's stamps are added. @p done is called once, perhaps at once. */
void Commands_Submit(Control *control, const Wire__Command *command,
                     CommandDone done, void *arg);

/** A command was applied: tells those who wait for it. */
void Commands_Applied(Control *control, const Wire__CommandReply *reply);

/** Tells all who wait that the outcome is open. */
void Commands_FailAll(Control *control, int code, const char *text);

/** Fails the waits that are too old. */
void Commands_Tick(Control *control, TimeUs now);

/** A Command frame of a link. */
void Commands_OnFrame(Control *control, Link *link,
                      const Wire__Command *command);

/** Forgets replies that were to go to this link. */
void Commands_LinkDown(Control *control, Link *link);

/** Replicated time as this host would stamp it now. */
uint64_t Commands_ClockMs(const Control *control);

/* ---- leases.c: answers about the rules in force ---- */

void Leases_OnFrame(Control *control, Link *link,
                    const Wire__LeaseRequest *request);
void Leases_LinkDown(Control *control, Link *link);

/** Bookkeeping of rule changes on this host's disk. */
void Leases_Appended(Control *control, uint64_t index,
                     const Wire__Command *command);
void Leases_Truncated(Control *control, uint64_t index);
void Leases_Applied(Control *control, uint64_t index);

/** Newest rules version on this host's disk, accepted or not. */
uint64_t Leases_PendingVersion(const Control *control);

/* ---- queries.c: rules, members, quarantine, fencing floors ---- */

/** Answers a query. @return false when the frame is none. */
bool Queries_OnFrame(Control *control, Link *link, const Wire__Frame *frame);

/* ---- orders.c: operators' orders to endpoints ---- */

/** Told the agent's answer, or what went wrong. ERR_TIMEOUT: the outcome is
 * open. */
typedef void (*OrderDone)(void *arg, const Wire__OrderReply *reply);

/** Takes a fencing number through the log, then passes the order on. */
void Orders_Submit(Control *control, const Wire__Order *order,
                   const char *author, OrderDone done, void *arg);

void Orders_OnReply(Control *control, const Wire__OrderReply *reply);
void Orders_Tick(Control *control, TimeUs now);
void Orders_FailAll(Control *control);

/* ---- sweep.c: claims of dead entries ---- */

/** Proposes that the claims of entries gone too long are lost. */
void Sweep_Tick(Control *control, TimeUs now);
void Sweep_Reset(Control *control);

/* ---- admin.c: administration API ---- */

/** Opens the API at the host's admin address. */
int Admin_Open(Control *control, const Address *address, Error *err);
void Admin_Close(Control *control);

#endif
