/** @file
 * Directory of endpoint records. Records may arrive late and by several paths;
 * `born` and `sequence` decide which record is newer, not the order of
 * arrival.
 */
#ifndef LAURELLIFT_ROUTES_ENDPOINT_H
#define LAURELLIFT_ROUTES_ENDPOINT_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "routes/table.h"

typedef enum EndpointState {
    ENDPOINT_UNKNOWN,
    ENDPOINT_READY,
    ENDPOINT_DRAINING, /**< Accepts no new requests and finishes the rest. */
    ENDPOINT_GONE,     /**< Deregistered, or replaced at its address. */
} EndpointState;

/** Longest version of an endpoint's software, in bytes. */
#define ENDPOINT_SOFTWARE_MAX 128
/** Longest id, service, address or zone of an endpoint, in bytes. */
#define ENDPOINT_TEXT_MAX 256

/** Record of one endpoint. In an update, strings other than `id` may be NULL;
 * the directory then keeps the stored strings, but for the software of another
 * start. */
typedef struct EndpointRecord {
    const char *id;
    const char *service;
    const char *address; /**< IP:PORT. */
    const char *zone;
    const char *software; /**< Version of its software, not of the weights of
                             its models; NULL or "": unknown. */
    EndpointState state;
    uint64_t born;     /**< Start time in Unix milliseconds; 0: unknown. */
    uint64_t sequence; /**< Grows within one incarnation; 0: unknown. */
    uint32_t slots;    /**< Maximum number of concurrent requests. */
    uint32_t cold_ms;  /**< Remaining warm-up time after a start. */
    bool leaving; /**< An answer of this start said that it leaves, so that it
                     is never ready again. */
    bool stored;  /**< Comes from a file of a control host that has not heard
                     of the endpoint since it started, so that another start
                     may have followed. */
} EndpointRecord;

typedef struct Directory Directory;

Directory *Directory_New(void);
void Directory_Free(Directory *directory);

/** Sets the configuration in force. While it does not name the service of an
 * endpoint, that endpoint takes neither the id nor the address of one whose
 * service it names.
 * @param table  NULL if there is none: all endpoints are treated alike.
 * @param superseded  as for Directory_Update, for addresses that pass to
 *                    endpoints whose service is named now. May be NULL. */
void Directory_SetTable(Directory *directory, RouteTable *table,
                        GPtrArray *superseded);

/** Adds or updates the record of an endpoint. An outdated record is ignored.
 * @param superseded  receives the ids (char *) of endpoints whose address now
 *                    belongs to an endpoint that started later; their state
 *                    becomes ENDPOINT_GONE. May be NULL.
 * @return true when the endpoint is new, or when its state, start time, slots,
 *         service, address or software changed, or when a stored record is
 *         confirmed by an announcement. */
bool Directory_Update(Directory *directory, const EndpointRecord *record,
                      GPtrArray *superseded);

/** Records that an answer of an endpoint said that it leaves. It is at most
 * draining from then on, until a later start.
 * @param born  the start that the answer is of.
 * @return true when this is new. */
bool Directory_SetLeaving(Directory *directory, const char *id, uint64_t born);

/** Returns the record of an endpoint, or NULL. Valid until the next update. */
const EndpointRecord *Directory_Find(const Directory *directory,
                                     const char *id);

/** Calls @p visit for each endpoint, gone ones included. */
void Directory_ForEach(const Directory *directory,
                       void (*visit)(void *arg, const EndpointRecord *record),
                       void *arg);

#endif
