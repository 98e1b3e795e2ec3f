/** @file
 * Conversion of endpoint records to and from their wire form.
 */
#ifndef LAURELLIFT_ROUTES_ENDPOINT_WIRE_H
#define LAURELLIFT_ROUTES_ENDPOINT_WIRE_H

#include "routes/endpoint.h"
#include "wire/generated/wire.pb-c.h"

/** Fills the wire form. It shares the strings with the endpoint record. */
void EndpointWire_Fill(Wire__EndpointRecord *wire_record,
                       const EndpointRecord *record);

/** Fills the endpoint record. It shares the strings with the wire form; empty
 * strings become NULL. */
void EndpointWire_Read(const Wire__EndpointRecord *wire_record,
                       EndpointRecord *record);

#endif
