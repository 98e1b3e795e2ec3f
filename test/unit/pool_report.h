/** @file
 * Sums and reports of plays of the simulated pool.
 */
#ifndef LAURELLIFT_TEST_UNIT_POOL_REPORT_H
#define LAURELLIFT_TEST_UNIT_POOL_REPORT_H

#include "pool_play.h"

/* Returns 0 if @p all is 0. */
double PoolReport_Fraction(unsigned part, unsigned all);

void PoolReport_Print(const char *what, const PoolResult *result);

/* Plays a case with three seeds and adds the results. Times are means. */
PoolResult PoolReport_PlaySeeds(const PoolCase *spec, bool use_view);

#endif
