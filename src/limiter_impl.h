#pragma once

/* Private to limiter*.c. */

#include <uthash.h>

#include "limiter.h"
#include "lists.h"
#include "member.h"
#include "quota.h"

#define TICK_MS 500

/** struct held - a request that counts as in flight. */
struct held
{
  uint64_t id;
  UT_hash_handle hh;
};

/* Requests of a customer that run at this entry. */
struct holder
{
  struct str customer;
  struct str owner; /* to which they were reported */
  uint64_t owner_instance;
  struct held *ids;
  UT_hash_handle hh;
};

/** struct take - a caller of limiter_take(). */
struct take
{
  struct limiter *limiter;
  struct str customer;
  struct str asked;
  uint64_t id;
  uint64_t ends_ms;
  bool is_held; /* the plan bounds requests in flight */
  bool second;  /* the first owner did not answer */
  unsigned hops;
  bus_reply_fn fn;
  void *ctx;
  struct take *next; /* of those that wait for a new owner to settle */
};

/* An answer without a call, given in the next loop turn. */
struct deferred
{
  int err;
  struct str hint; /* static text */
  bus_reply_fn fn;
  void *ctx;
  struct deferred *next;
};

struct waiting
{
  struct bus_request *req;
  uint64_t id;
  struct waiting *next;
};

/* A handover that this node asked for, and the calls that wait for it. */
struct handover
{
  struct limiter *limiter;
  struct str customer;
  struct waiting *waiting;
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
  struct deferred *deferred;
  struct deferred **deferred_end;
  struct holder *holders;
  struct take *parked;
  struct handover *handovers;
  uint64_t ticked_ms;
  uint64_t reported_ms;
};

/* limiter.c */
struct str limiter_self_addr (const struct limiter *l);
const struct member_info *limiter_ranked (const struct limiter *l,
                                          struct str customer, size_t place);
const struct plan *limiter_plan_of (const struct limiter *l,
                                    struct str customer);

/* limiter_held.c */
void limiter_add_held (struct limiter *l, struct str customer, uint64_t id);
void limiter_free_holder (struct limiter *l, struct holder *h);
bool limiter_remove_held (struct limiter *l, struct str customer, uint64_t id);
void limiter_send_finished (struct limiter *l, struct str customer,
                            struct str to, uint64_t id);
void limiter_report (struct limiter *l, struct holder *h);
void limiter_report_all (struct limiter *l, uint64_t now_ms);

/* limiter_take.c */
void limiter_ask_parked (struct limiter *l);
void limiter_free_takes (struct limiter *l);

/* limiter_owner.c */
/** limiter_on_quota() - handler of PEER_QUOTA. */
void limiter_on_quota (void *ctx, struct bus_request *req, const void *args);
