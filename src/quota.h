#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "member.h"
#include "str.h"

/* Plan limits at the node that owns a customer: token buckets, requests in
   flight, and previous owners. Pure logic: takes events and clock values,
   returns decisions.

   A bucket starts empty at the time when this node became the only owner. If
   another node may still hold the customer's bucket, that node must hand it
   over first. Entry nodes are those at which the requests arrive; they report
   their requests in flight to the owner. */

struct quota;

/** struct quota_limits - limits of a plan; 0 means unlimited, for
 * @requests_per_s and @in_flight. */
struct quota_limits
{
  uint32_t requests_per_s;
  uint32_t burst;
  uint32_t in_flight;
};

enum quota_code
{
  QUOTA_GRANTED,
  QUOTA_RATE,           /* the bucket is empty */
  QUOTA_IN_FLIGHT,      /* too many requests in flight */
  QUOTA_SETTLING,       /* entry nodes still report to the new owner */
  QUOTA_NOT_OWNER,      /* send the take to @node instead */
  QUOTA_NEEDS_HANDOVER, /* request a handover from @node, then retry */
};

/** struct quota_decision - @node is valid until the next call. */
struct quota_decision
{
  enum quota_code code;
  uint32_t retry_after_ms;
  struct str node;
};

/** struct quota_state - state of a customer that a previous owner hands over.
 */
struct quota_state
{
  bool known;           /* the previous owner had a started bucket */
  uint64_t tokens;      /* thousandths of a request */
  uint32_t settling_ms; /* time until @holds would have been complete there */
  struct quota_hold *holds;
  size_t hold_count;
};

/* A request in flight expires if it is not renewed within this time. */
#define QUOTA_HOLD_TTL_MS 15000
/* Interval at which entry nodes renew requests in flight. */
#define QUOTA_RENEW_INTERVAL_MS 5000
/* Time that entry nodes have to report requests in flight to a new owner. */
#define QUOTA_SETTLE_MS 2000
/* A longer gap between calls counts as a pause of the process, after which
   another node may have become owner. Failure detection takes longer. */
#define QUOTA_PAUSE_MIN_MS 2000
/* The member views of a previous owner and of a node that is missing in its
   view differ for less than this time. An owner that took over longer ago
   requests no handover. */
#define QUOTA_HISTORY_MS 60000
/* For this long after a handover, the previous owner redirects takes to the
   new owner, even if its own view does not rank that node first yet. */
#define QUOTA_REDIRECT_MS 3000

/** quota_key() - key of a customer's rendezvous order; heap-owned. */
struct str quota_key (struct str customer);
/** quota_request_id() - id of a request in messages and holds; never 0. */
uint64_t quota_request_id (struct str customer, struct str request_id);

struct quota *quota_create (struct str self, struct str region);
void quota_destroy (struct quota *q);

/**
 * quota_set_view() - set the latest member view, which is copied.
 *
 * Returns false if the region's nodes, their instances and which of them are
 * live are the same as in the previous view.
 */
bool quota_set_view (struct quota *q, const struct member_view *view,
                     uint64_t now_ms);
/** quota_tick() - drop expired holds, idle buckets and old records of
 * handovers; call at least every second. */
void quota_tick (struct quota *q, uint64_t now_ms);

/**
 * quota_take() - take one request from a customer's limits.
 * @id: from quota_request_id(). If that request is in flight already, it is
 *   granted again without taking a token.
 */
struct quota_decision quota_take (struct quota *q, struct str customer,
                                  const struct quota_limits *limits,
                                  uint64_t id, uint64_t now_ms);
/** quota_finish() - remove a request that is no longer in flight. */
void quota_finish (struct quota *q, struct str customer, uint64_t id,
                   uint64_t now_ms);
/** quota_renew() - record an entry node's report of a request in flight. */
void quota_renew (struct quota *q, struct str customer, uint64_t id,
                  uint64_t now_ms);

/**
 * quota_hand_over() - hand a customer over to the node that became owner.
 * @out: its holds are heap-owned.
 */
void quota_hand_over (struct quota *q, struct str customer, struct str to,
                      uint64_t now_ms, struct quota_state *out);
/** quota_import() - start a bucket from the previous owner's reply. */
void quota_import (struct quota *q, struct str customer,
                   const struct quota_state *state, uint64_t now_ms);
/** quota_handover_failed() - start a bucket after the previous owner did not
 * reply. */
void quota_handover_failed (struct quota *q, struct str customer,
                            uint64_t now_ms);
/**
 * quota_handover_refused() - handle a refusal by a previous owner whose view
 * lacks this node.
 *
 * Does the same as quota_handover_failed() if this node has been owner for
 * QUOTA_SETTLE_MS, else nothing.
 */
void quota_handover_refused (struct quota *q, struct str customer,
                             uint64_t now_ms);
/** quota_has_node() - return true if the node is in the latest view. */
bool quota_has_node (const struct quota *q, struct str addr);
/** quota_count() - number of customers with a bucket, for metrics. */
size_t quota_count (const struct quota *q);
