#pragma once

/* Private to quota*.c. */

#include <uthash.h>

#include "quota.h"

#define VIEWS_MAX 16
#define TOKEN 1000 /* a request in thousandths; one ms at 1/s gives 1 */

/** struct hold - a request in flight, until it expires without renewal. */
struct hold
{
  uint64_t id;
  uint64_t expires_ms;
  UT_hash_handle hh;
};

/** struct bucket - token bucket and requests in flight of a customer. */
struct bucket
{
  struct str customer;
  struct quota_limits limits;
  bool ready; /* the start is decided; else it has holds only */
  bool lost;  /* another node is owner */
  uint64_t lost_ms;
  uint64_t tokens;
  uint64_t filled_ms; /* may lie in the future: not filled before */
  uint64_t settled_ms;
  uint64_t used_ms;
  struct hold *holds;
  UT_hash_handle hh;
};

/* A customer that was handed over to a node. */
struct yield
{
  struct str customer;
  struct str to;
  uint64_t at_ms;
  UT_hash_handle hh;
};

/* A view as known since a time. The texts follow the members. */
struct snapshot
{
  uint64_t since_ms;
  struct member_view view;
  struct member_info *members;
  struct buf texts;
};

struct quota
{
  struct str self;
  struct str region;
  struct snapshot views[VIEWS_MAX]; /* oldest first */
  size_t view_count;
  struct bucket *buckets;
  struct yield *yields;
  struct str answer_node;
  uint64_t active_ms;
  uint64_t settled_ms; /* entries reported what is in flight after a pause */
};

/* quota.c */
void quota_check_pause (struct quota *q, uint64_t now_ms);
struct quota_answer quota_refer (struct quota *q, enum quota_code code,
                                 struct str node);

/* quota_views.c */
const struct snapshot *quota_latest_view (const struct quota *q);
struct str quota_owner_of (const struct quota *q, struct str customer);
void quota_forget_views (struct quota *q, size_t n);
uint64_t quota_owner_since (const struct quota *q, struct str customer,
                            uint64_t now_ms, struct str *former);

/* quota_bucket.c */
void quota_free_bucket (struct quota *q, struct bucket *b);
struct bucket *quota_find_bucket (const struct quota *q, struct str customer);
struct bucket *quota_need_bucket (struct quota *q, struct str customer);
void quota_refill (struct bucket *b, uint64_t now_ms);
void quota_set_hold (struct bucket *b, uint64_t id, uint64_t expires_ms);
void quota_expire_holds (struct bucket *b, uint64_t now_ms);
struct quota_answer quota_take_token (struct bucket *b, uint64_t id,
                                      uint64_t now_ms);
bool quota_is_idle (struct bucket *b, uint64_t now_ms);

/* quota_handover.c */
struct yield *quota_find_yield (const struct quota *q, struct str customer);
void quota_free_yield (struct quota *q, struct yield *y);
struct quota_answer quota_start_bucket (struct quota *q, struct bucket *b,
                                        uint64_t now_ms);
