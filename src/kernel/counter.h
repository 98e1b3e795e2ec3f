/** @file
 * Counters: named numbers that any thread may change and that /metrics
 * prints. A counter lives until the process ends.
 */
#ifndef LAURELLIFT_KERNEL_COUNTER_H
#define LAURELLIFT_KERNEL_COUNTER_H

#include <stdint.h>

#include <event2/buffer.h>

/** Opaque counter; get it once and keep the pointer. */
typedef struct Counter Counter;

/** The counter of this name, made at first use.
 * @param name  metric name with labels, as in `entry_refused_total{tier="0"}`;
 *              `_total` names count up, others are gauges.
 * @param help  one line for `# HELP`, or NULL. */
Counter *Counter_Get(const char *name, const char *help);

void Counter_Add(Counter *counter, int64_t amount);
void Counter_Set(Counter *counter, int64_t value);
int64_t Counter_Value(const Counter *counter);

/** Prints all counters in the Prometheus text format. */
void Counter_PrintAll(struct evbuffer *out);

#endif
