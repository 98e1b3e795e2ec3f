/** @file
 * Serializes and applies the replicated configuration document.
 */
#include "fleet/document.h"

#include <string.h>

GBytes *
Document_PackCommand(uint64_t id, const Document *document)
{
    Wire__ConfigCommand command = WIRE__CONFIG_COMMAND__INIT;
    command.id = id;
    command.version = document->version;
    command.document_bytes = document->inflated_length;
    if (document->deflated != NULL) {
        gsize length;
        command.document.data =
            (uint8_t *)g_bytes_get_data(document->deflated, &length);
        command.document.len = length;
    }
    size_t size = wire__config_command__get_packed_size(&command);
    uint8_t *bytes = g_malloc(size);
    wire__config_command__pack(&command, bytes);
    return g_bytes_new_take(bytes, size);
}

static void
replace_document(Document *document, const Wire__ConfigCommand *command)
{
    Document_Clear(document);
    document->version = command->version;
    document->inflated_length = command->document_bytes;
    document->deflated =
        g_bytes_new(command->document.data, command->document.len);
}

bool
Document_Apply(Document *document, const uint8_t *command, size_t length,
               uint64_t *id)
{
    Wire__ConfigCommand *decoded =
        wire__config_command__unpack(NULL, length, command);
    *id = 0;
    if (decoded == NULL) {
        return false;
    }
    *id = decoded->id;
    bool newer = decoded->version > document->version;
    if (newer) {
        replace_document(document, decoded);
    }
    wire__config_command__free_unpacked(decoded, NULL);
    return newer;
}

GBytes *
Document_Save(const Document *document)
{
    return Document_PackCommand(0, document);
}

GBytes *
Document_Append(GBytes *snapshot, const Wire__ConfigCommand *part)
{
    gsize length;
    const void *bytes = g_bytes_get_data(snapshot, &length);
    size_t size = wire__config_command__get_packed_size(part);
    uint8_t *all = g_malloc(length + size);
    memcpy(all, bytes, length);
    wire__config_command__pack(part, all + length);
    g_bytes_unref(snapshot);
    return g_bytes_new_take(all, length + size);
}

int
Document_Load(Document *document, const uint8_t *bytes, size_t length,
              Error *err)
{
    Wire__ConfigCommand *decoded =
        wire__config_command__unpack(NULL, length, bytes);
    if (decoded == NULL) {
        return Error_Set(err, ERR_CORRUPT,
                         "The saved configuration cannot be decoded.");
    }
    if (decoded->version > 0) {
        replace_document(document, decoded);
    }
    else {
        Document_Clear(document);
    }
    wire__config_command__free_unpacked(decoded, NULL);
    return ERR_OK;
}

void
Document_Clear(Document *document)
{
    g_clear_pointer(&document->deflated, g_bytes_unref);
    *document = (Document){.version = 0};
}
