#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "peer.h"
#include "str.h"

/* One partition of idempotency keys as pure state: events and clock values in,
   actions out. Changes are recorded in the store before they are answered. */

#define CLAIM_FORMAT 1
/* Longest customer, key, service, request id and content type. */
#define CLAIM_TEXT_MAX 512
/* A longer body of an outcome is not kept. */
#define CLAIM_BODY_MAX 4096
/* A claim that is not settled this long after its deadline has an unknown
   outcome. */
#define CLAIM_GRACE_MS 5000

struct claim;

/** struct claim_clock - @now on CLOCK_BOOTTIME, @wall since the epoch; ms. */
struct claim_clock
{
  uint64_t now;
  uint64_t wall;
};

/**
 * struct claim_config - fixed values of a partition.
 * @key: object of the partition, for example "claims/0".
 * @self: this process, stamped on each write.
 * @interval_ms: shortest time between two writes.
 * @bytes_max: bound of the memory for records; more are refused.
 */
struct claim_config
{
  struct str key;
  node_id self;
  uint32_t interval_ms;
  uint32_t lifetime_s;
  size_t bytes_max;
};

/**
 * struct claim_actions - what the state machine asks its caller to do.
 * @valid: is the lease of the partition held with this fence at this moment.
 * @read: start the one store call that is in progress; ends in claim_stored().
 * @write: likewise, conditional on @version.
 * @remove: likewise, conditional on @version.
 * @answer: answer a claim or a lookup.
 * @settled: answer a settling.
 * @refuse: answer any request with a negative errno value: -ESTALE (another
 *   node owns the partition), -EINVAL, -EBUSY, -ETIMEDOUT (may be stored).
 * @report: something that an operator has to know; a static name and the
 *   fence, version or number that it is about.
 *
 * No action may call back into the state machine.
 */
struct claim_actions
{
  bool (*valid) (void *ctx, uint64_t fence);
  void (*read) (void *ctx, struct str key);
  void (*write) (void *ctx, struct str key, uint64_t version,
                 struct str value);
  void (*remove) (void *ctx, struct str key, uint64_t version);
  void (*answer) (void *ctx, void *request, const struct claim_res *res);
  void (*settled) (void *ctx, void *request, bool stored);
  void (*refuse) (void *ctx, void *request, int err);
  void (*report) (void *ctx, const char *what, uint64_t number);
};

struct claim *claim_create (const struct claim_config *config,
                            const struct claim_actions *actions, void *ctx);
/** claim_destroy() - free the state; waiting requests are not answered. */
void claim_destroy (struct claim *claim);
/** claim_gain() - the lease of the partition was gained. */
void claim_gain (struct claim *claim, uint64_t fence, struct claim_clock t);
/** claim_lose() - the lease was lost; refuses all waiting requests. */
void claim_lose (struct claim *claim);

/* Requests. @request is handed back to exactly one of the answering actions.
 */
void claim_request (struct claim *claim, const struct claim_args *args,
                    void *request, struct claim_clock t);
void claim_settle (struct claim *claim, const struct settle_args *args,
                   void *request, struct claim_clock t);
void claim_lookup (struct claim *claim, const struct lookup_args *args,
                   void *request, struct claim_clock t);

/** claim_tick() - let time pass; call at least every interval_ms. */
void claim_tick (struct claim *claim, struct claim_clock t);
/** claim_stored() - end of the store call, with the values of store_fn. */
void claim_stored (struct claim *claim, int err, uint64_t version,
                   struct str value, struct claim_clock t);

/**
 * claim_unnamed() - may the object of a segment be removed.
 * @number: the N of claims/P/seg/N.
 *
 * True for a segment of a former owner that the head does not name: what is
 * left of a write in doubt, or of an owner that died while it sealed.
 */
bool claim_unnamed (const struct claim *claim, uint64_t number);

/** struct claim_counts - for metrics and tests. */
struct claim_counts
{
  size_t records;
  size_t bytes;
  size_t waiting;
  size_t segments;
  bool serving;
};
struct claim_counts claim_counts (const struct claim *claim);
