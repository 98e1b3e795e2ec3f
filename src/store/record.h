/** @file
 * Records: the checksummed units of segment and snapshot files.
 *
 * A record consists of a little-endian header of RECORD_HEADER_BYTES and a
 * payload. An XXH3 checksum covers both. Its seed is computed from the file
 * number and the record's offset, so that a record found at any other
 * position is invalid.
 */
#ifndef LAURELLIFT_STORE_RECORD_H
#define LAURELLIFT_STORE_RECORD_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#define RECORD_HEADER_BYTES 48u
#define RECORD_PAYLOAD_MAX_BYTES (256u * 1024 * 1024)

typedef enum RecordType {
    /** First record of a segment: identity, term and vote. */
    RECORD_SEGMENT = 1,
    RECORD_STATE = 2, /**< Term and vote. */
    /** Log entry. Replaces all earlier entries from its index on. */
    RECORD_ENTRY = 3,
    /** Discards all entries; the next entry has the index after this one. */
    RECORD_RESET = 4,
    RECORD_SYNCED = 5,   /**< Carries no data besides Record.synced_bytes. */
    RECORD_SNAPSHOT = 6, /**< The only record of a snapshot file. */
} RecordType;

typedef struct Record {
    RecordType type;
    uint32_t vote_or_kind; /**< Kind for RECORD_ENTRY, else the vote. */
    uint64_t index;
    uint64_t term;
    /** Number of bytes at the start of the file that were durable when the
     * record was written. */
    uint64_t synced_bytes;
    const uint8_t *payload;
    uint32_t payload_bytes;
} Record;

/** Encodes the record for offset @p offset of file number @p file and appends
 * it to @p out. */
void Record_Write(GByteArray *out, const Record *record, uint64_t file,
                  uint64_t offset);

/** Decodes the record at @p offset of @p bytes, the content of file number
 * @p file. The record's payload points into @p bytes.
 * @return false when there is no valid record at the offset. */
bool Record_Read(const uint8_t *bytes, size_t length, uint64_t file,
                 uint64_t offset, Record *record);

/** Returns the size of header and payload, in bytes. */
uint64_t Record_Size(const Record *record);

#endif
