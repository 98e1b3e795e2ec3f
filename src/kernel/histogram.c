/** @file
 * Latency histograms in the Prometheus text format.
 */
#include "kernel/histogram.h"

#include <string.h>

#include <glib.h>

/* Upper bounds of the buckets, in milliseconds. They range from a round trip
 * within a zone to the longest time-out of a route. */
static const uint32_t bounds_ms[] = {
    1, 2, 5, 10, 20, 50, 100, 200, 400, 800, 1500, 3000, 6000, 15000, 30000,
};
#define BUCKET_COUNT G_N_ELEMENTS(bounds_ms)

struct Histogram {
    char *name;
    char *label;
    char *help;
    uint64_t counts[BUCKET_COUNT];
    uint64_t count;
    double sum_s;
};

static GPtrArray *histograms;

Histogram *
Histogram_Get(const char *name, const char *label, const char *help)
{
    if (histograms == NULL) {
        histograms = g_ptr_array_new();
    }
    guint index = histograms->len;
    for (guint i = 0; i < histograms->len; i++) {
        Histogram *other = histograms->pdata[i];
        if (strcmp(other->name, name) == 0) {
            if (strcmp(other->label, label) == 0) {
                return other;
            }
            index = i + 1; /* keeps histograms of one name adjacent */
        }
    }
    Histogram *histogram = g_new0(Histogram, 1);
    histogram->name = g_strdup(name);
    histogram->label = g_strdup(label);
    histogram->help = g_strdup(help);
    g_ptr_array_insert(histograms, (gint)index, histogram);
    return histogram;
}

void
Histogram_Record(Histogram *histogram, TimeUs duration)
{
    histogram->count++;
    histogram->sum_s += (double)duration / (double)US_PER_S;
    for (size_t i = 0; i < BUCKET_COUNT; i++) {
        if (duration <= bounds_ms[i] * US_PER_MS) {
            histogram->counts[i]++;
            return;
        }
    }
}

static void
print_histogram(const Histogram *histogram, struct evbuffer *out)
{
    uint64_t cumulative = 0;
    for (size_t i = 0; i < BUCKET_COUNT; i++) {
        cumulative += histogram->counts[i];
        evbuffer_add_printf(out, "laurellift_%s_bucket{%s,le=\"%g\"} %llu\n",
                            histogram->name, histogram->label,
                            bounds_ms[i] / 1000.0,
                            (unsigned long long)cumulative);
    }
    evbuffer_add_printf(out, "laurellift_%s_bucket{%s,le=\"+Inf\"} %llu\n",
                        histogram->name, histogram->label,
                        (unsigned long long)histogram->count);
    evbuffer_add_printf(out, "laurellift_%s_sum{%s} %.6f\n", histogram->name,
                        histogram->label, histogram->sum_s);
    evbuffer_add_printf(out, "laurellift_%s_count{%s} %llu\n", histogram->name,
                        histogram->label,
                        (unsigned long long)histogram->count);
}

void
Histogram_PrintAll(struct evbuffer *out)
{
    const char *family = "";
    for (guint i = 0; histograms != NULL && i < histograms->len; i++) {
        const Histogram *histogram = histograms->pdata[i];
        if (strcmp(family, histogram->name) != 0) {
            family = histogram->name;
            evbuffer_add_printf(out, "# HELP laurellift_%s %s\n", family,
                                histogram->help);
            evbuffer_add_printf(out, "# TYPE laurellift_%s histogram\n",
                                family);
        }
        print_histogram(histogram, out);
    }
}
