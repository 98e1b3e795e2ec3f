/** @file
 * Conversion of endpoint records to and from their wire form.
 */
#include "routes/endpoint_wire.h"

void
EndpointWire_Fill(Wire__EndpointRecord *wire_record,
                  const EndpointRecord *record)
{
    wire__endpoint_record__init(wire_record);
    wire_record->id = (char *)record->id;
    wire_record->service =
        record->service != NULL ? (char *)record->service : "";
    wire_record->address =
        record->address != NULL ? (char *)record->address : "";
    wire_record->zone = record->zone != NULL ? (char *)record->zone : "";
    wire_record->software =
        record->software != NULL ? (char *)record->software : "";
    wire_record->state = (Wire__EndpointState)record->state;
    wire_record->born = record->born;
    wire_record->sequence = record->sequence;
    wire_record->slots = record->slots;
    wire_record->cold_ms = record->cold_ms;
    wire_record->leaving = record->leaving;
    wire_record->stored = record->stored;
}

static const char *
text_or_null(const char *text)
{
    return text[0] == '\0' ? NULL : text;
}

void
EndpointWire_Read(const Wire__EndpointRecord *wire_record,
                  EndpointRecord *record)
{
    *record = (EndpointRecord){
        .id = wire_record->id,
        .service = text_or_null(wire_record->service),
        .address = text_or_null(wire_record->address),
        .zone = text_or_null(wire_record->zone),
        .software = text_or_null(wire_record->software),
        .state = (EndpointState)wire_record->state,
        .born = wire_record->born,
        .sequence = wire_record->sequence,
        .slots = wire_record->slots,
        .cold_ms = wire_record->cold_ms,
        .leaving = wire_record->leaving,
        .stored = wire_record->stored,
    };
}
