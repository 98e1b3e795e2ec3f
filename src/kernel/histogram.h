/** @file
 * Latency histograms, printed with the counters. One lives until the process
 * ends. Buckets are fixed, in seconds, so that processes can be added up.
 */
#ifndef LAURELLIFT_KERNEL_HISTOGRAM_H
#define LAURELLIFT_KERNEL_HISTOGRAM_H

#include <event2/buffer.h>

#include "kernel/clock.h"

typedef struct Histogram Histogram;

/** The histogram of this name, made at first use. Main loop only.
 * @param name  family without suffix, as in `gateway_request_seconds`.
 * @param label  one label with its value, as in `kind="stream"`; bounded. */
Histogram *Histogram_Get(const char *name, const char *label,
                         const char *help);

void Histogram_Record(Histogram *histogram, TimeUs span);

/** Prints all histograms in the Prometheus text format. */
void Histogram_PrintAll(struct evbuffer *out);

#endif
