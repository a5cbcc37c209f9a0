#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "member.h"
#include "str.h"

/* Plan limits at the node that owns a customer: token buckets, requests in
   flight, and who owned the customer before. Pure: events and clock values in,
   decisions out.

   A bucket begins empty at the moment since which this node has been the only
   owner. If another node may still hold the customer's bucket, that node is
   asked to hand it over first. */

struct quota;

/* Both limits: 0 means none. */
struct quota_limits
{
  uint32_t requests_per_s;
  uint32_t burst;
  uint32_t in_flight;
};

enum quota_code
{
  QUOTA_GRANTED,
  QUOTA_RATE,       /* bucket is empty */
  QUOTA_IN_FLIGHT,  /* too many requests in flight */
  QUOTA_SETTLING,   /* new owner; entries still report what is in flight */
  QUOTA_NOT_OWNER,  /* ask @node instead */
  QUOTA_ASK_FORMER, /* ask @node for a handover, then decide again */
};

/** struct quota_answer - @node is valid until the next call. */
struct quota_answer
{
  enum quota_code code;
  uint32_t retry_after_ms;
  struct str node;
};

/** struct quota_state - what a former owner hands over. */
struct quota_state
{
  bool known;           /* had a bucket */
  uint64_t tokens;      /* thousandths of a request */
  uint32_t settling_ms; /* until it would have known what is in flight */
  struct quota_hold *holds;
  size_t hold_count;
};

/* A request in flight that is not renewed is forgotten after this time. */
#define QUOTA_HOLD_MS 15000
/* Entries renew requests in flight this often. */
#define QUOTA_RENEW_MS 5000
/* Time after a change of owner for entries to report requests in flight. */
#define QUOTA_SETTLE_MS 2000
/* Longer gaps between calls count as a pause of the process, after which
   another node may have become owner. Failure detection takes longer. */
#define QUOTA_PAUSE_MS 2000
/* A former owner and a node that it does not know of differ in their views for
   less than this time. */
#define QUOTA_MEMORY_MS 60000
/* A node that handed a bucket over sends callers to the new owner this long,
   even if its own view does not know the new owner yet. */
#define QUOTA_YIELD_MS 3000

/** quota_key() - key of a customer's rendezvous order; heap-owned. */
struct str quota_key (struct str customer);
/** quota_id() - name of a request in messages and holds; never 0. */
uint64_t quota_id (struct str customer, struct str request_id);

struct quota *quota_create (struct str self, struct str region);
void quota_destroy (struct quota *q);

/**
 * quota_view() - a new member view; copied.
 *
 * Returns false when the live nodes are those of the former view.
 */
bool quota_view (struct quota *q, const struct member_view *view,
                 uint64_t now_ms);
/** quota_tick() - expire holds and idle buckets; call at least every second.
 */
void quota_tick (struct quota *q, uint64_t now_ms);

/**
 * quota_take() - take one request from a customer's limits.
 *
 * A repeat with the id of a request in flight is granted without a new token.
 */
struct quota_answer quota_take (struct quota *q, struct str customer,
                                const struct quota_limits *limits, uint64_t id,
                                uint64_t now_ms);
/** quota_finish() - a request is no longer in flight. */
void quota_finish (struct quota *q, struct str customer, uint64_t id,
                   uint64_t now_ms);
/** quota_renew() - an entry reports a request in flight. */
void quota_renew (struct quota *q, struct str customer, uint64_t id,
                  uint64_t now_ms);

/**
 * quota_yield() - hand a customer over to a node that became owner.
 * @out: its holds are heap-owned.
 */
void quota_yield (struct quota *q, struct str customer, struct str to,
                  uint64_t now_ms, struct quota_state *out);
/** quota_import() - the former owner's answer. */
void quota_import (struct quota *q, struct str customer,
                   const struct quota_state *state, uint64_t now_ms);
/** quota_former_silent() - the former owner did not answer. */
void quota_former_silent (struct quota *q, struct str customer,
                          uint64_t now_ms);
/**
 * quota_former_refused() - the former owner does not know this node yet.
 *
 * Counts as silence only when this node has been owner for the settling time.
 */
void quota_former_refused (struct quota *q, struct str customer,
                           uint64_t now_ms);
/** quota_knows() - is the node in the latest view. */
bool quota_knows (const struct quota *q, struct str addr);
/** quota_count() - number of customers with a bucket, for metrics. */
size_t quota_count (const struct quota *q);
