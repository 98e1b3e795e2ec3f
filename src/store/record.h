/** @file
 * Records: the checksummed units of segment and snapshot files.
 *
 * A record is a header of RECORD_HEADER_BYTES, little endian, and a payload.
 * The XXH3 checksum covers both and is seeded with the record's place (file
 * number and offset), so that a record in the wrong place is invalid.
 */
#ifndef LAURELLIFT_STORE_RECORD_H
#define LAURELLIFT_STORE_RECORD_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#define RECORD_HEADER_BYTES 48u
#define RECORD_PAYLOAD_MAX_BYTES (256u * 1024 * 1024)

typedef enum RecordType {
    RECORD_SEGMENT = 1,  /**< First in a segment: identity, term and vote. */
    RECORD_STATE = 2,    /**< Term and vote. */
    RECORD_ENTRY = 3,    /**< Log entry; replaces all from its index on. */
    RECORD_RESET = 4,    /**< The log is empty and goes on after index. */
    RECORD_SYNCED = 5,   /**< Only says how much is durable. */
    RECORD_SNAPSHOT = 6, /**< The only record of a snapshot file. */
} RecordType;

typedef struct Record {
    RecordType type;
    uint32_t vote_or_kind; /**< Vote, or kind of entry. */
    uint64_t index;
    uint64_t term;
    uint64_t synced; /**< Bytes of the file durable when it was written. */
    const uint8_t *payload;
    uint32_t length; /**< Of the payload. */
} Record;

/** Appends the record to @p out; its place is @p file and @p offset. */
void Record_Write(GByteArray *out, const Record *record, uint64_t file,
                  uint64_t offset);

/** Reads the record at @p offset of @p bytes, which hold file @p file from
 * its beginning. The payload points into @p bytes.
 * @return false when there is no valid record. */
bool Record_Read(const uint8_t *bytes, size_t length, uint64_t file,
                 uint64_t offset, Record *record);

/** Bytes of the whole record. */
uint64_t Record_Size(const Record *record);

#endif
