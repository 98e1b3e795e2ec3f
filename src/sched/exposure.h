/** @file
 * Ledger of the requests that gateways may send to a candidate version while a
 * roll-out is in progress, kept by the leading control host. The sum of what
 * all gateways were lent never exceeds
 *
 *     0.8 * share * (requests that gateways have reported) + 0.5 * slack
 *
 * so that the bound share * requests + slack holds over all gateways under
 * every order of reports, changes of the leader and silent gateways.
 *
 * Answers the load of many gateways with few requests each, of which a tenth
 * may go to the candidate. Has no I/O and reads no clock.
 */
#ifndef LAURELLIFT_SCHED_EXPOSURE_H
#define LAURELLIFT_SCHED_EXPOSURE_H

#include <stddef.h>
#include <stdint.h>

#include "kernel/clock.h"

/** Time after the last reply of the leader for which a gateway may use what it
 * was lent, and for which a new leader lends nothing. */
#define EXPOSURE_PERMIT_US (1 * US_PER_S)

typedef struct Exposure Exposure;

/** Creates the ledger of a leader. It lends nothing for EXPOSURE_PERMIT_US,
 * while gateways report what they were lent by an earlier leader.
 * @param share  fraction of the service's requests, 0 to 1.
 * @param slack  requests beyond the share.
 * @param now    time since which this host leads. */
Exposure *Exposure_New(double share, double slack, TimeUs now);
void Exposure_Free(Exposure *exposure);

/** States that no earlier leader can have lent anything, since this leader
 * itself appended the order to the log. It then lends at once. To be called
 * before the first report. */
void Exposure_SetFirst(Exposure *exposure);

/** States the ids of all gateways to which an earlier leader may have lent.
 * Once all of them have reported, nothing is set aside for unknown ones.
 * Without this call, what the earlier leader may have lent stays set aside,
 * and only the share of requests that are reported from now on is lent. */
void Exposure_Expect(Exposure *exposure, const char *const *gateways,
                     size_t count);

/** Records a gateway's report. Reports may be lost, repeated or received in
 * any order; the largest numbers count.
 * @param gateway   id of the process: a gateway that has started again must
 *                  have another one, since it has forgotten what it sent.
 * @param requests  for the service since the order, on both sides.
 * @param sent      those of them that were sent to the candidate.
 * @param lent      largest cumulative number that the gateway has accepted
 *                  from any leader. Having reported to a leader, it accepts
 *                  none from earlier ones. */
void Exposure_OnReport(Exposure *exposure, const char *gateway,
                       uint64_t requests, uint64_t sent, uint64_t lent,
                       TimeUs now);

/** Returns how many requests the gateway may send to the candidate, counted
 * from the order; it never decreases. What is left is divided by recent
 * demand, and a gateway with demand is lent its first request before others
 * are lent more. 0 for a gateway that has not reported. */
uint64_t Exposure_Lend(Exposure *exposure, const char *gateway, TimeUs now);

/** Returns the sum of what all gateways were lent, and of what is set aside
 * for those that have not reported. */
double Exposure_Committed(const Exposure *exposure);

/** Returns the largest sum that may be lent now. */
double Exposure_Limit(const Exposure *exposure);

#endif
