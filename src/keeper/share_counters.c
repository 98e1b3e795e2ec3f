/** @file
 * Counts refused wants by the share of their account.
 */
#include "keeper/share_counters.h"

#include <math.h>

#include <glib.h>

void
ShareCounters_Init(ShareCounters *counters)
{
    counters->accounts =
        Counter_Get("keeper_accounts", "Accounts that have a share.");
    counters->refused_within =
        Counter_Get("keeper_account_refused_total{share=\"within\"}",
                    "Refused wants of accounts within and beyond a share.");
    counters->refused_beyond =
        Counter_Get("keeper_account_refused_total{share=\"beyond\"}",
                    "Refused wants of accounts within and beyond a share.");
}

void
ShareCounters_OnRefused(ShareCounters *counters, const QueueAction *action,
                        char text[SHARE_TEXT_BYTES])
{
    const AccountStanding *standing = &action->standing;
    text[0] = '\0';
    if (action->account == 0) {
        return;
    }
    Counter_Add(standing->beyond ? counters->refused_beyond
                                 : counters->refused_within,
                1);
    char share[32] = "none";
    if (isfinite(standing->share)) {
        g_snprintf(share, sizeof(share), "%.3f", standing->share);
    }
    g_snprintf(text, SHARE_TEXT_BYTES,
               " account=%016llx share=%s used=%.3f asked=%.3f beyond=%s",
               (unsigned long long)action->account, share, standing->used,
               standing->asked, standing->beyond ? "yes" : "no");
}
