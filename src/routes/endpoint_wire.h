/** @file
 * News of endpoints as frames carry it.
 */
#ifndef LAURELLIFT_ROUTES_ENDPOINT_WIRE_H
#define LAURELLIFT_ROUTES_ENDPOINT_WIRE_H

#include "routes/endpoint.h"
#include "wire/generated/wire.pb-c.h"

/** Each fills the other form; strings are shared. */
void EndpointWire_Fill(Wire__EndpointRecord *record,
                       const EndpointRecord *news);
void EndpointWire_Read(const Wire__EndpointRecord *record,
                       EndpointRecord *news);

#endif
