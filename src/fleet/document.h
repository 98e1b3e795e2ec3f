/** @file
 * The replicated state of a fleet: one configuration document, of which the
 * highest version wins. Pure.
 */
#ifndef LAURELLIFT_FLEET_DOCUMENT_H
#define LAURELLIFT_FLEET_DOCUMENT_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "kernel/error.h"

typedef struct Document {
    uint64_t version; /**< 0: none yet. */
    GBytes *deflated; /**< NULL with version 0. */
    uint32_t bytes;   /**< Inflated length. */
} Document;

/** Packs a command that offers @p document under a random @p id. */
GBytes *Document_PackCommand(uint64_t id, const Document *document);

/** Applies a command. A version that is not higher changes nothing.
 * @param id  set to the command's id.
 * @return true when the document changed; ERR_CORRUPT bytes change nothing. */
bool Document_Apply(Document *document, const uint8_t *command, size_t length,
                    uint64_t *id);

/** The whole state as a snapshot, and back. */
GBytes *Document_Save(const Document *document);
int Document_Load(Document *document, const uint8_t *bytes, size_t length,
                  Error *err);

void Document_Clear(Document *document);

#endif
