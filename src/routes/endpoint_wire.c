/** @file
 * Conversion of endpoint records to and from their wire form.
 */
#include "routes/endpoint_wire.h"

void
EndpointWire_Fill(Wire__EndpointRecord *record, const EndpointRecord *news)
{
    wire__endpoint_record__init(record);
    record->id = (char *)news->id;
    record->service = news->service != NULL ? (char *)news->service : "";
    record->address = news->address != NULL ? (char *)news->address : "";
    record->zone = news->zone != NULL ? (char *)news->zone : "";
    record->state = (Wire__EndpointState)news->state;
    record->born = news->born;
    record->sequence = news->sequence;
    record->slots = news->slots;
    record->cold_ms = news->cold_ms;
}

static const char *
text_or_null(const char *text)
{
    return text[0] == '\0' ? NULL : text;
}

void
EndpointWire_Read(const Wire__EndpointRecord *record, EndpointRecord *news)
{
    *news = (EndpointRecord){
        .id = record->id,
        .service = text_or_null(record->service),
        .address = text_or_null(record->address),
        .zone = text_or_null(record->zone),
        .state = (EndpointState)record->state,
        .born = record->born,
        .sequence = record->sequence,
        .slots = record->slots,
        .cold_ms = record->cold_ms,
    };
}
