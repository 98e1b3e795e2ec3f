/** @file
 * What the parts of the store share.
 */
#ifndef LAURELLIFT_STORE_STATE_H
#define LAURELLIFT_STORE_STATE_H

#include "store/record.h"
#include "store/store.h"

#define STORE_SEGMENT_PREFIX "log-"
#define STORE_SNAPSHOT_PREFIX "snapshot-"
#define STORE_TEMPORARY_SUFFIX ".tmp"
#define STORE_NAME_BYTES 48
/* Payload of RECORD_SEGMENT: replica (4 bytes) and disk id (8). */
#define STORE_IDENTITY_BYTES 12u

/* One segment file. */
typedef struct Segment {
    uint64_t number;
    uint64_t last_index; /* highest in it; 0: none */
} Segment;

struct Store {
    StoreFiles files;
    uint32_t replica;
    uint64_t disk_id;
    uint64_t term;
    uint32_t vote;
    uint64_t snapshot_index;
    GArray *segments; /* Segment, oldest first; the last one is open */
    int file;         /* the open segment; -1: none */
    uint64_t size;    /* of the open segment */
    uint64_t synced;  /* durable bytes of the open segment */
    bool marked;      /* the newest record says all before is durable */
    bool failed;
    GByteArray *buffer; /* records of the open segment not yet written */
};

/* Reads the folder into a store without an open segment. */
int StoreLoad_Read(Store *store, StoreImage *image, Error *err);

/* Formats the name of a segment or snapshot. */
void StoreLoad_Name(char name[STORE_NAME_BYTES], const char *prefix,
                    uint64_t number);

#endif
