/** @file
 * Parsing of load reports.
 */
#include "gateway/load_report.h"

#include <stdio.h>

bool
LoadReport_Parse(const char *text, TimeUs now, LoadReport *report)
{
    int length = 0;
    *report = (LoadReport){.pace = {.received_at = now}};
    if (sscanf(text, "%u,%u,%u%n", &report->running, &report->waiting,
               &report->slots, &length) != 3)
    {
        return false;
    }
    if (text[length] == ',') {
        report->pace.figure = Pace_Parse(text + length + 1);
        report->pace_is_invalid = report->pace.figure <= 0;
    }
    return true;
}
