/** @file
 * The replicated state of a fleet: the configuration document with the highest
 * version. Has no I/O and no clock.
 */
#ifndef LAURELLIFT_FLEET_DOCUMENT_H
#define LAURELLIFT_FLEET_DOCUMENT_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "kernel/error.h"
#include "wire/generated/wire.pb-c.h"

typedef struct Document {
    uint64_t version; /**< 0 before the first document. */
    GBytes *deflated; /**< Compressed text; NULL when the version is 0. */
    uint32_t inflated_length; /**< Length of the uncompressed text. */
} Document;

/** Serializes a command that proposes @p document.
 * @param id  random number that identifies the command. */
GBytes *Document_PackCommand(uint64_t id, const Document *document);

/** Applies a command. The document of the command replaces the current one
 * only if its version is higher.
 * @param id  set to the command's id, or to 0 for a corrupt command.
 * @return true when the document changed. */
bool Document_Apply(Document *document, const uint8_t *command, size_t length,
                    uint64_t *id);

/** Serializes the document as a snapshot. */
GBytes *Document_Save(const Document *document);

/** Appends another part of the state to a snapshot. A serialized message may
 * be continued by another one of its type, so that a snapshot without that
 * part is the document's alone.
 * @param snapshot  the function takes ownership. */
GBytes *Document_Append(GBytes *snapshot, const Wire__ConfigCommand *part);

/** Replaces the document by that of a snapshot.
 * @return ERR_OK, or ERR_CORRUPT, which leaves the document unchanged. */
int Document_Load(Document *document, const uint8_t *bytes, size_t length,
                  Error *err);

/** Frees the text and resets the version to 0. */
void Document_Clear(Document *document);

#endif
