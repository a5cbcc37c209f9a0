#pragma once

/* Private to limiter*.c. */

#include <uthash.h>

#include "limiter.h"
#include "lists.h"
#include "member.h"
#include "quota.h"

#define TICK_MS 500

/** struct running_request - a granted request that counts as in flight. */
struct running_request
{
  uint64_t id; /* from quota_request_id() */
  UT_hash_handle hh;
};

/** struct customer_requests - requests of a customer in flight at this node.
 */
struct customer_requests
{
  struct str customer;
  struct str reported_to; /* address of the owner they were reported to */
  uint64_t reported_instance;
  struct running_request *requests;
  UT_hash_handle hh;
};

/** struct pending_take - a call of limiter_take() without a result yet. */
struct pending_take
{
  struct limiter *limiter;
  struct str customer;
  struct str node; /* address the take was last sent to */
  uint64_t id;
  uint64_t expires_ms;
  bool limits_in_flight; /* the plan limits requests in flight */
  bool failed_over;      /* the take was sent to a fallback node */
  unsigned redirects;
  bus_reply_fn fn;
  void *ctx;
  struct pending_take *next; /* in limiter::waiting_takes */
};

/** struct deferred_reply - a result decided without a call to an owner; it is
 * passed on in the next turn of the event loop. */
struct deferred_reply
{
  int err;
  struct str hint; /* static text */
  bus_reply_fn fn;
  void *ctx;
  struct deferred_reply *next;
};

/** struct queued_take - a take received by this node as the owner, waiting for
 * a handover. */
struct queued_take
{
  struct bus_request *req;
  uint64_t id;
  struct queued_take *next;
};

/** struct handover - a handover requested from the previous owner. */
struct handover
{
  struct limiter *limiter;
  struct str customer;
  struct queued_take *takes;
  UT_hash_handle hh;
};

struct limiter
{
  struct plugin plugin;
  struct kernel *kernel;
  struct bus *bus;
  struct quota *quota;
  uv_timer_t tick;
  uv_timer_t deferred_timer;
  struct deferred_reply *deferred;
  struct deferred_reply **deferred_tail;
  struct customer_requests *customers;
  struct pending_take *waiting_takes; /* owner settles; retried each tick */
  struct handover *handovers;
  uint64_t ticked_ms;
  uint64_t reported_ms;
};

/* limiter.c */
struct str limiter_self_addr (const struct limiter *l);
const struct member_info *limiter_ranked_node (const struct limiter *l,
                                               struct str customer,
                                               size_t rank);
const struct plan *limiter_plan_of (const struct limiter *l,
                                    struct str customer);

/* limiter_running.c */
void limiter_add_running (struct limiter *l, struct str customer, uint64_t id);
void limiter_free_customer (struct limiter *l, struct customer_requests *c);
bool limiter_remove_running (struct limiter *l, struct str customer,
                             uint64_t id);
void limiter_send_finished (struct limiter *l, struct str customer,
                            struct str to, uint64_t id);
void limiter_report_customer (struct limiter *l, struct customer_requests *c);
void limiter_report_all (struct limiter *l, uint64_t now_ms);

/* limiter_take.c */
void limiter_retry_waiting (struct limiter *l);
void limiter_free_pending (struct limiter *l);

/* limiter_owner.c */
/** limiter_on_quota() - handler of PEER_QUOTA. */
void limiter_on_quota (void *ctx, struct bus_request *req, const void *args);
