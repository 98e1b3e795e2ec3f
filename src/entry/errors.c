/** @file
 * HTTP errors for the failures of requests.
 */
#include "entry/state.h"

static const HttpError errors[] = {
    [LIFE_FAIL_REFUSED] =
        {
            .status = 503,
            .code = "refused",
            .message = "No endpoint can accept this request at present.",
        },
    [LIFE_FAIL_DEADLINE] =
        {
            .status = 504,
            .code = "deadline",
            .message = "No endpoint accepted the request before its deadline.",
        },
    [LIFE_FAIL_NO_LEASE] =
        {
            .status = 503,
            .code = "no_rule_lease",
            .message = "This entry cannot confirm that its rules are current.",
        },
    [LIFE_FAIL_STOPPING] =
        {
            .status = 503,
            .code = "stopping",
            .message = "This entry is shutting down.",
        },
    [LIFE_FAIL_LOST] =
        {
            .status = 502,
            .code = "outcome_unknown",
            .message = "The request was sent to an endpoint, but no complete "
                       "answer was received in time.",
        },
    [LIFE_FAIL_BROKEN] =
        {
            .status = 502,
            .code = "endpoint_failed",
            .message = "The endpoint failed while it ran the request.",
        },
    [LIFE_FAIL_CONTROL] =
        {
            .status = 503,
            .code = "control_unavailable",
            .message =
                "The claim for the idempotency key could not be recorded.",
        },
    [LIFE_FAIL_CLAIM_RUNNING] =
        {
            .status = 409,
            .code = "running",
            .message = "A request with this key is running.",
            .outcome = "unknown",
        },
    [LIFE_FAIL_CLAIM_LOST] =
        {
            .status = 409,
            .code = "outcome_unknown",
            .message =
                "A request with this key ended with an unknown outcome.",
            .outcome = "unknown",
        },
    [LIFE_FAIL_CLAIM_MISMATCH] =
        {
            .status = 422,
            .code = "key_reused",
            .message = "This key was used with another body.",
        },
};

HttpError
EntryErrors_FromAction(const LifeAction *action)
{
    HttpError error = errors[action->failure];
    error.retry_after_ms = action->retry_after_ms;
    if (error.outcome == NULL) {
        error.outcome = action->not_run ? "not_run" : "unknown";
    }
    if (action->failure != LIFE_FAIL_REFUSED) {
        return error;
    }
    error.code = RefuseReason_Name(action->reason);
    if (action->reason == REFUSE_QUARANTINED) {
        error.status = 422;
        error.message = "This request crashed endpoints and is quarantined.";
    }
    else if (error.retry_after_ms == 0) {
        error.retry_after_ms = LIFE_RETRY_AFTER_MS;
    }
    return error;
}
