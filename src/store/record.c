/** @file
 * Records: encoding, decoding and checksums.
 */
#include "store/record.h"

#include <endian.h>
#include <string.h>

#include <xxhash.h>

#define RECORD_MAGIC 0x31524c4cu /* "LLR1" */
#define FILE_SEED_FACTOR 0x9e3779b97f4a7c15u

/* Layout of a record's header on disk, little endian. */
typedef struct Header {
    uint64_t checksum; /* of the rest of the header and the payload */
    uint32_t magic;
    uint32_t length;
    uint64_t synced;
    uint64_t index;
    uint64_t term;
    uint32_t type;
    uint32_t vote_or_kind;
} Header;

_Static_assert(sizeof(Header) == RECORD_HEADER_BYTES, "header has no padding");

static uint64_t
compute_checksum(const uint8_t *record, size_t size, uint64_t file,
                 uint64_t offset)
{
    uint64_t seed = file * FILE_SEED_FACTOR + offset;
    size_t skip = sizeof(uint64_t);
    return XXH3_64bits_withSeed(record + skip, size - skip, seed);
}

uint64_t
Record_Size(const Record *record)
{
    return RECORD_HEADER_BYTES + (uint64_t)record->payload_bytes;
}

void
Record_Write(GByteArray *out, const Record *record, uint64_t file,
             uint64_t offset)
{
    Header header = {
        .magic = htole32(RECORD_MAGIC),
        .length = htole32(record->payload_bytes),
        .synced = htole64(record->synced_bytes),
        .index = htole64(record->index),
        .term = htole64(record->term),
        .type = htole32(record->type),
        .vote_or_kind = htole32(record->vote_or_kind),
    };
    guint start = out->len;
    g_byte_array_append(out, (const guint8 *)&header, sizeof(header));
    if (record->payload_bytes > 0) {
        g_byte_array_append(out, record->payload, record->payload_bytes);
    }
    uint64_t sum = htole64(
        compute_checksum(out->data + start, out->len - start, file, offset));
    memcpy(out->data + start, &sum, sizeof(sum));
}

bool
Record_Read(const uint8_t *bytes, size_t length, uint64_t file,
            uint64_t offset, Record *record)
{
    Header header;
    if (offset > length || length - offset < sizeof(header)) {
        return false;
    }
    memcpy(&header, bytes + offset, sizeof(header));
    uint32_t payload_bytes = le32toh(header.length);
    if (le32toh(header.magic) != RECORD_MAGIC ||
        payload_bytes > RECORD_PAYLOAD_MAX_BYTES ||
        length - offset - sizeof(header) < payload_bytes)
    {
        return false;
    }
    size_t size = sizeof(header) + payload_bytes;
    if (compute_checksum(bytes + offset, size, file, offset) !=
        le64toh(header.checksum))
    {
        return false;
    }
    *record = (Record){
        .type = (RecordType)le32toh(header.type),
        .vote_or_kind = le32toh(header.vote_or_kind),
        .index = le64toh(header.index),
        .term = le64toh(header.term),
        .synced_bytes = le64toh(header.synced),
        .payload = bytes + offset + sizeof(header),
        .payload_bytes = payload_bytes,
    };
    return true;
}
