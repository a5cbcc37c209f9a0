#pragma once

#include <stdbool.h>

#include "kernel.h"
#include "peer.h"

struct claims;

/**
 * claims_fn - end of a claim or a lookup; runs exactly once.
 * @err: 0 or a negative errno value; after an error nothing was granted, and
 *   the caller refuses its request as "not run". -EINVAL: a text is empty or
 *   longer than CLAIM_TEXT_MAX (claim.h); -EBUSY: too many wait; others: the
 *   owner was not reached in time.
 * @res: borrowed; NULL after an error. Only CLAIM_GRANTED allows to send the
 *   call. With CLAIM_FULL and CLAIM_STORE_DOWN nothing was granted either, and
 *   CLAIM_NONE means that this request gave its claim up before.
 */
typedef void (*claims_fn) (void *ctx, int err, const struct claim_res *res);
/** claims_settled_fn - @stored: the outcome is in the record. */
typedef void (*claims_settled_fn) (void *ctx, int err, bool stored);

struct claims *claims_get (struct kernel *kernel);
/**
 * claims_claim() - claim a key before a call that may not be repeated.
 * @args: deadline_ms is the time left, which also bounds the wait (at most
 *   12 s, in which another node takes over from an owner that died). A request
 * that voided its claim needs another request_id to claim the key again.
 *
 * A claim whose answer was lost is voided by itself.
 */
void claims_claim (struct claims *claims, const struct claim_args *args,
                   claims_fn fn, void *ctx);
/**
 * claims_settle() - record the outcome of a granted claim.
 * @args: SETTLE_VOID only with the proof that the call was not run. A body
 *   above CLAIM_BODY_MAX is not kept.
 * @fn: may be NULL.
 *
 * Tries for about 10 s.
 */
void claims_settle (struct claims *claims, const struct settle_args *args,
                    claims_settled_fn fn, void *ctx);
/** claims_lookup() - state of a key; CLAIM_NONE when there is no claim. */
void claims_lookup (struct claims *claims, const struct lookup_args *args,
                    claims_fn fn, void *ctx);
