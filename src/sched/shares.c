/** @file
 * Max-min fair shares of a limit.
 */
#include "sched/shares.h"

double
Shares_Split(double rate, const double *demands, size_t count, size_t self)
{
    double total = 0;
    for (size_t i = 0; i < count; i++) {
        total += demands[i];
    }
    if (count == 0) {
        return 0;
    }
    if (total <= rate) {
        return demands[self] + (rate - total) / (double)count;
    }
    /* Raises the level until the demands above it share the rate that the
     * other demands leave. */
    double level = rate / (double)count;
    for (size_t round = 0; round < count; round++) {
        double below = 0;
        size_t above = 0;
        for (size_t i = 0; i < count; i++) {
            if (demands[i] <= level) {
                below += demands[i];
            }
            else {
                above++;
            }
        }
        double raised = (rate - below) / (double)(above > 0 ? above : 1);
        if (raised <= level) {
            break;
        }
        level = raised;
    }
    return demands[self] < level ? demands[self] : level;
}
