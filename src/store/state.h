/** @file
 * Definitions shared by the store's source files.
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

typedef struct Segment {
    uint64_t number;
    uint64_t last_index; /* highest log index in the file; 0 when none */
} Segment;

struct Store {
    StoreFiles files;
    uint32_t replica;
    uint64_t disk_id;
    uint64_t term;
    uint32_t vote;
    uint64_t snapshot_index;
    GArray *segments; /* Segment, oldest first; the last one is written to */
    int segment_file; /* handle of the last segment, or -1 */
    uint64_t segment_bytes; /* bytes written to the last segment */
    uint64_t synced_bytes;  /* bytes of the last segment known to be durable */
    bool sync_recorded;     /* the newest record is a RECORD_SYNCED */
    bool failed; /* a write or sync failed; all further ones are refused */
    bool tail_dropped;  /* since then, the last segment was made durable */
    bool unused;        /* a recovery began the last segment, and no batch is
                           durable in it */
    GByteArray *buffer; /* records to be written to the last segment */
};

/* Reads all files of the folder into @p store and @p image. Opens no segment
 * for writing. */
int StoreLoad_Read(Store *store, StoreImage *image, Error *err);

/* Formats the file name of a segment or snapshot. */
void StoreLoad_Name(char name[STORE_NAME_BYTES], const char *prefix,
                    uint64_t number);

#endif
