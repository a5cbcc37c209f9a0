#pragma once

/* Private to quota*.c. */

#include <uthash.h>

#include "quota.h"
#include "tokenbucket.h"

#define VIEWS_MAX 16

/** struct hold - a request in flight; expires unless renewed. */
struct hold
{
  uint64_t id;
  uint64_t expires_ms;
  UT_hash_handle hh;
};

/** struct bucket - token bucket and requests in flight of a customer.
 * @started: @tokens and @settled_ms are set; before that only @holds is used.
 * @ownership_lost: another node became owner at @ownership_lost_ms.
 * @tokens: one unit per request.
 * @settled_ms: time from which on @holds is complete.
 */
struct bucket
{
  struct str customer;
  struct quota_limits limits;
  bool started;
  bool ownership_lost;
  uint64_t ownership_lost_ms;
  struct tokenbucket tokens;
  uint64_t settled_ms;
  uint64_t last_take_ms;
  struct hold *holds;
  UT_hash_handle hh;
};

/** struct transfer - record of a customer handed over to node @to. */
struct transfer
{
  struct str customer;
  struct str to;
  uint64_t at_ms;
  UT_hash_handle hh;
};

/** struct view_snapshot - a member view that became current at @since_ms.
 * @addrs: the addresses that @members point to, in the same order.
 */
struct view_snapshot
{
  uint64_t since_ms;
  struct member_view view;
  struct member_info *members;
  struct buf addrs;
};

struct quota
{
  struct str self;
  struct str region;
  struct view_snapshot views[VIEWS_MAX]; /* oldest first */
  size_t view_count;
  struct bucket *buckets;
  struct transfer *transfers;
  struct str decision_node;
  uint64_t last_event_ms;
  uint64_t settled_ms; /* after a pause: when all entry nodes have reported */
};

/* quota.c */
void quota_check_pause (struct quota *q, uint64_t now_ms);
struct quota_decision quota_decide_with_node (struct quota *q,
                                              enum quota_code code,
                                              struct str node);

/* quota_views.c */
const struct view_snapshot *quota_latest_view (const struct quota *q);
struct str quota_owner_of (const struct quota *q, struct str customer);
void quota_drop_views (struct quota *q, size_t n);
uint64_t quota_owner_since (const struct quota *q, struct str customer,
                            uint64_t now_ms, struct str *previous);

/* quota_bucket.c */
void quota_free_bucket (struct quota *q, struct bucket *b);
struct bucket *quota_find_bucket (const struct quota *q, struct str customer);
struct bucket *quota_get_bucket (struct quota *q, struct str customer);
void quota_refill (struct bucket *b, uint64_t now_ms);
void quota_set_hold (struct bucket *b, uint64_t id, uint64_t expires_ms);
void quota_expire_holds (struct bucket *b, uint64_t now_ms);
struct quota_decision quota_take_token (struct bucket *b, uint64_t id,
                                        uint64_t now_ms);
bool quota_is_idle (struct bucket *b, uint64_t now_ms);

/* quota_handover.c */
struct transfer *quota_find_transfer (const struct quota *q,
                                      struct str customer);
void quota_free_transfer (struct quota *q, struct transfer *t);
struct quota_decision quota_start_bucket (struct quota *q, struct bucket *b,
                                          uint64_t now_ms);
