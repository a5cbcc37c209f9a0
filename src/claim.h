#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "peer.h"
#include "str.h"

/* State machine of one partition of idempotency keys. It does no I/O: it takes
   events and clock values and calls the actions of its caller. A change is
   stored before the request that made it is answered. */

/* Format of the stored objects. */
#define CLAIM_FORMAT 1
/* Maximum length in bytes of a customer, key, service, request id or content
   type. */
#define CLAIM_TEXT_MAX 512
/* Maximum size in bytes of a response body that is kept in a record. */
#define CLAIM_BODY_MAX 4096
/* A claim without a recorded outcome counts as CLAIM_UNKNOWN this long after
   its deadline. */
#define CLAIM_GRACE_MS 5000

struct claim_partition;

/**
 * struct claim_clock - clock values of an event, in ms.
 * @now: CLOCK_BOOTTIME.
 * @wall: wall-clock time since the epoch.
 */
struct claim_clock
{
  uint64_t now;
  uint64_t wall;
};

/**
 * struct claim_config - settings of a partition.
 * @key: key of the partition's head object, for example "claims/0".
 * @self: this process; each write carries it.
 * @write_interval_ms: minimum mean time between writes of the head; after an
 *   idle time, two writes may follow each other at once.
 * @lifetime_s: time after the claim at which a record expires.
 * @bytes_max: memory limit of the records; above it new claims are refused and
 *   response bodies are not kept.
 */
struct claim_config
{
  struct str key;
  node_id self;
  uint32_t write_interval_ms;
  uint32_t lifetime_s;
  size_t bytes_max;
};

/**
 * struct claim_actions - callbacks of the state machine.
 * @holds_lease: returns true if the lease of the partition is held with this
 *   fence at this moment.
 * @read: starts a store call. Only one store call is in progress at a time; it
 *   ends with claim_store_done().
 * @write: starts a store call that is conditional on @version.
 * @remove: starts a store call that is conditional on @version.
 * @answer: answers a claim or a lookup.
 * @answer_settle: answers a settle request.
 * @refuse: answers any request with a negative errno value: -ESTALE (another
 *   node owns the partition), -EINVAL, -EBUSY, -ETIMEDOUT (the outcome may be
 *   stored nevertheless).
 * @report: reports a fault to the operator; @what is a static string, @number
 *   the fence, object version or segment number concerned.
 *
 * No action may call back into the state machine.
 */
struct claim_actions
{
  bool (*holds_lease) (void *ctx, uint64_t fence);
  void (*read) (void *ctx, struct str key);
  void (*write) (void *ctx, struct str key, uint64_t version,
                 struct str value);
  void (*remove) (void *ctx, struct str key, uint64_t version);
  void (*answer) (void *ctx, void *request, const struct claim_res *res);
  void (*answer_settle) (void *ctx, void *request, bool stored);
  void (*refuse) (void *ctx, void *request, int err);
  void (*report) (void *ctx, const char *what, uint64_t number);
};

struct claim_partition *claim_create (const struct claim_config *config,
                                      const struct claim_actions *actions,
                                      void *ctx);
/** claim_destroy() - free the state; waiting requests are not answered. */
void claim_destroy (struct claim_partition *partition);
/** claim_lease_gained() - start to load the partition from the store. */
void claim_lease_gained (struct claim_partition *partition, uint64_t fence,
                         struct claim_clock t);
/** claim_lease_lost() - drop the state and refuse all waiting requests. */
void claim_lease_lost (struct claim_partition *partition);

/* Requests. @request is passed to exactly one of the actions answer,
   answer_settle and refuse. */
void claim_request (struct claim_partition *partition,
                    const struct claim_args *args, void *request,
                    struct claim_clock t);
void claim_settle (struct claim_partition *partition,
                   const struct settle_args *args, void *request,
                   struct claim_clock t);
void claim_lookup (struct claim_partition *partition,
                   const struct lookup_args *args, void *request,
                   struct claim_clock t);

/** claim_tick() - handle timeouts; call at least every write_interval_ms. */
void claim_tick (struct claim_partition *partition, struct claim_clock t);
/**
 * claim_store_done() - handle the end of the store call in progress.
 * @err: code of the error, as for store_fn (store.h), like @version and
 *   @value.
 */
void claim_store_done (struct claim_partition *partition, int err,
                       uint64_t version, struct str value,
                       struct claim_clock t);

/**
 * claim_segment_unreferenced() - check whether a segment may be removed.
 * @number: the N of claims/P/seg/N.
 *
 * Returns true while the partition is served if the segment was written by a
 * former owner and the head does not list it. Such a segment is left by a
 * write whose outcome was unknown, or by an owner that died while it sealed
 * the segment.
 */
bool claim_segment_unreferenced (const struct claim_partition *partition,
                                 uint64_t number);

/**
 * struct claim_counts - statistics for metrics and tests.
 * @bytes: estimated memory of the records.
 * @waiting: requests that are not answered yet.
 */
struct claim_counts
{
  size_t records;
  size_t bytes;
  size_t waiting;
  size_t segments;
  bool serving;
};
struct claim_counts claim_counts (const struct claim_partition *partition);
