/** @file
 * Counters: named integers that any thread may change and that /metrics
 * serves. A counter is never freed.
 */
#ifndef LAURELLIFT_KERNEL_COUNTER_H
#define LAURELLIFT_KERNEL_COUNTER_H

#include <stdint.h>

#include <event2/buffer.h>

/** Counter or gauge. The pointer from Counter_Get stays valid, so callers look
 * it up once. */
typedef struct Counter Counter;

/** Returns the counter with this name and creates it on first use.
 * @param name  metric name with labels, as in `entry_refused_total{tier="0"}`.
 *              A name that ends in `_total` is exported as a counter, any
 *              other name as a gauge.
 * @param help  text of the `# HELP` line, or NULL for no such line. */
Counter *Counter_Get(const char *name, const char *help);

void Counter_Add(Counter *counter, int64_t amount);
void Counter_Set(Counter *counter, int64_t value);
int64_t Counter_Value(const Counter *counter);

/** Prints all counters in the Prometheus text format. */
void Counter_PrintAll(struct evbuffer *out);

#endif
