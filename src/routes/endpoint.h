/** @file
 * What an endpoint says of itself, and the order of such news. News may come
 * late and by several ways; `born` and `sequence` order it, arrival does not.
 */
#ifndef LAURELLIFT_ROUTES_ENDPOINT_H
#define LAURELLIFT_ROUTES_ENDPOINT_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

typedef enum EndpointState {
    ENDPOINT_UNKNOWN,
    ENDPOINT_READY,
    ENDPOINT_DRAINING, /**< Takes no new work; ends soon. */
    ENDPOINT_GONE,
} EndpointState;

/** News of one endpoint. Strings may be NULL in a farewell. */
typedef struct EndpointRecord {
    const char *id;
    const char *service;
    const char *address; /**< IP:PORT. */
    const char *zone;
    EndpointState state;
    uint64_t born;     /**< Unix milliseconds of its start; 0: not said. */
    uint64_t sequence; /**< Higher in each news of one start; 0: not said. */
    uint32_t slots;
    uint32_t cold_ms; /**< How much longer it is slow after its start. */
} EndpointRecord;

typedef struct Directory Directory;

Directory *Directory_New(void);
void Directory_Free(Directory *directory);

/** Takes in news.
 * @param superseded  gets the ids (char *) whose address another, later
 *                    started endpoint has taken; they count as gone. May be
 *                    NULL.
 * @return true when what is known of the endpoint changed in anything but
 *         its sequence. */
bool Directory_Update(Directory *directory, const EndpointRecord *news,
                      GPtrArray *superseded);

/** What is known of an endpoint, or NULL. Valid until the next update. */
const EndpointRecord *Directory_Find(const Directory *directory,
                                     const char *id);

/** Calls @p visit for each endpoint, gone ones included. */
void Directory_ForEach(const Directory *directory,
                       void (*visit)(void *arg, const EndpointRecord *news),
                       void *arg);

#endif
