#pragma once

#include <stdbool.h>

#include "kernel.h"
#include "peer.h"

struct claims;

/**
 * claims_fn - result of a claim or a lookup; runs exactly once.
 * @err: 0 or a negative errno value. After an error nothing was granted, and
 *   the caller refuses its request as "not run". -EINVAL: a text is empty or
 *   longer than CLAIM_TEXT_MAX (claim.h); -EBUSY: too many requests wait at
 *   the owner; others: the owner was not reached in time.
 * @res: borrowed; NULL after an error. The call may be sent only after
 *   CLAIM_GRANTED. CLAIM_FULL and CLAIM_STORE_DOWN grant nothing either;
 *   CLAIM_NONE is the result of a claim that the same request voided before.
 */
typedef void (*claims_fn) (void *ctx, int err, const struct claim_res *res);
/**
 * claims_settled_fn - result of claims_settle(); runs at most once.
 * @stored: true if the outcome is in the record.
 */
typedef void (*claims_settled_fn) (void *ctx, int err, bool stored);

struct claims *claims_get (struct kernel *kernel);
/**
 * claims_claim() - claim a key before a call that may not be repeated.
 * @args: deadline_ms is the remaining time. It also limits the wait, which is
 *   12 s at most; within that time another node takes over from an owner that
 *   died. A request that voided its claim needs another request_id to claim
 *   the key again.
 *
 * If the answer of the owner is lost, the claim is voided automatically.
 */
void claims_claim (struct claims *claims, const struct claim_args *args,
                   claims_fn fn, void *ctx);
/**
 * claims_settle() - record the outcome of a granted claim.
 * @args: SETTLE_VOID only if it is certain that the call was not run. A body
 *   larger than CLAIM_BODY_MAX is not kept.
 * @fn: may be NULL.
 *
 * Retries for about 10 s.
 */
void claims_settle (struct claims *claims, const struct settle_args *args,
                    claims_settled_fn fn, void *ctx);
/** claims_lookup() - query the state of a key; CLAIM_NONE if unclaimed. */
void claims_lookup (struct claims *claims, const struct lookup_args *args,
                    claims_fn fn, void *ctx);
