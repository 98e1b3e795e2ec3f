/** @file
 * Latency histograms, served by /metrics with the counters. A histogram is
 * never freed. All histograms have the same buckets, in seconds, so that those
 * of several processes can be summed.
 */
#ifndef LAURELLIFT_KERNEL_HISTOGRAM_H
#define LAURELLIFT_KERNEL_HISTOGRAM_H

#include <event2/buffer.h>

#include "kernel/clock.h"

typedef struct Histogram Histogram;

/** Returns the histogram with this name and label and creates it on first use.
 * Histograms may only be used on the main loop.
 * @param name  metric name without suffix, as in `gateway_request_seconds`.
 * @param label  one label with its value, as in `kind="stream"`. The number of
 *               different values must be bounded, as histograms are not freed.
 * @param help  text of the `# HELP` line. */
Histogram *Histogram_Get(const char *name, const char *label,
                         const char *help);

void Histogram_Record(Histogram *histogram, TimeUs duration);

/** Prints all histograms in the Prometheus text format. */
void Histogram_PrintAll(struct evbuffer *out);

#endif
