/** @file
 * Load that an endpoint reports in its answers and on its health path.
 */
#ifndef LAURELLIFT_GATEWAY_LOAD_REPORT_H
#define LAURELLIFT_GATEWAY_LOAD_REPORT_H

#include <stdbool.h>

#include "sched/pace.h"

typedef struct LoadReport {
    unsigned running;
    unsigned waiting;
    unsigned slots;
    PaceReport pace; /* its figure is 0 if absent or invalid */
    bool pace_is_invalid;
} LoadReport;

/* Reads "RUNNING,WAITING,SLOTS[,PACE]". An invalid figure leaves the others
 * valid.
 * @return false if one of the first three is missing or not a number. */
bool LoadReport_Parse(const char *text, TimeUs now, LoadReport *report);

#endif
