#include "quota.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "err.h"

#define VIEWS_MAX 16
#define TOKEN 1000 /* a request in thousandths; one ms at 1/s gives 1 */

struct hold
{
  uint64_t id;
  uint64_t expires_ms;
  UT_hash_handle hh;
};

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

struct str
quota_key (struct str customer)
{
  return str_printf ("quota/" STR_FMT, STR_ARG (customer));
}

uint64_t
quota_id (struct str customer, struct str request_id)
{
  const uint64_t id = str_hash (request_id, str_hash (customer, 0));

  return id != 0 ? id : 1;
}

struct quota *
quota_create (struct str self, struct str region)
{
  struct quota *q = xcalloc (1, sizeof *q);

  q->self = str_dup (self);
  q->region = str_dup (region);
  return q;
}

/* ---- views ---- */

static void
snapshot_free (struct snapshot *s)
{
  free (s->members);
  buf_free (&s->texts);
  *s = (struct snapshot){ 0 };
}

static void
snapshot_make (const struct quota *q, const struct member_view *view,
               uint64_t now_ms, struct snapshot *out)
{
  struct snapshot s = { .since_ms = now_ms };
  size_t at = 0;

  s.members = xcalloc (view->count + 1, sizeof *s.members);
  for (size_t i = 0; i < view->count; i++)
    if (str_eq (view->members[i].region, q->region))
      {
        buf_append (&s.texts, view->members[i].addr);
        s.members[s.view.count++] = view->members[i];
      }
  for (size_t i = 0; i < s.view.count; i++)
    {
      s.members[i].addr.data = s.texts.data + at;
      at += s.members[i].addr.len;
      s.members[i].region = q->region;
      s.members[i].http_addr = (struct str){ 0 };
      s.members[i].domain = (struct str){ 0 };
    }
  s.view.members = s.members;
  *out = s;
}

static bool
same_nodes (const struct member_view *a, const struct member_view *b)
{
  if (a->count != b->count)
    return false;
  for (size_t i = 0; i < a->count; i++)
    if (!str_eq (a->members[i].addr, b->members[i].addr)
        || member_live (&a->members[i]) != member_live (&b->members[i])
        || a->members[i].instance != b->members[i].instance)
      return false;
  return true;
}

static const struct snapshot *
latest (const struct quota *q)
{
  return q->view_count > 0 ? &q->views[q->view_count - 1] : NULL;
}

static struct str
ranked (const struct quota *q, const struct snapshot *s, struct str key,
        size_t place)
{
  const struct member_info *m
      = s ? member_rank (&s->view, q->region, key, place) : NULL;

  return m ? m->addr : (struct str){ 0 };
}

static struct str
owner_of (const struct quota *q, struct str customer)
{
  struct str key = quota_key (customer);
  const struct str owner = ranked (q, latest (q), key, 0);

  str_free (&key);
  return owner;
}

static void
forget_views (struct quota *q, size_t n)
{
  for (size_t i = 0; i < n; i++)
    snapshot_free (&q->views[i]);
  q->view_count -= n;
  memmove (q->views, q->views + n, q->view_count * sizeof *q->views);
}

static void
bucket_free (struct quota *q, struct bucket *b)
{
  struct hold *h;
  struct hold *next;

  HASH_ITER (hh, b->holds, h, next)
  {
    HASH_DEL (b->holds, h);
    free (h);
  }
  HASH_DEL (q->buckets, b);
  str_free (&b->customer);
  free (b);
}

static void
mark_lost (struct quota *q, uint64_t now_ms)
{
  struct bucket *b;
  struct bucket *next;

  HASH_ITER (hh, q->buckets, b, next)
  {
    const bool mine = str_eq (owner_of (q, b->customer), q->self);

    if (!mine && !b->lost)
      {
        b->lost = true;
        b->lost_ms = now_ms;
      }
    else if (mine && b->lost)
      /* Another owner may have granted meanwhile. */
      bucket_free (q, b);
  }
}

bool
quota_view (struct quota *q, const struct member_view *view, uint64_t now_ms)
{
  const struct snapshot *last = latest (q);
  struct snapshot s;

  snapshot_make (q, view, now_ms, &s);
  if (last && same_nodes (&last->view, &s.view))
    {
      snapshot_free (&s);
      return false;
    }
  /* Being alone proves nothing about owners: the node had not joined yet, or
     was cut off. */
  if (last && last->view.count <= 1)
    forget_views (q, q->view_count);
  if (q->view_count == VIEWS_MAX)
    forget_views (q, 1);
  q->views[q->view_count++] = s;
  mark_lost (q, now_ms);
  return true;
}

/* ---- buckets ---- */

static void
forget_all (struct quota *q, uint64_t now_ms)
{
  struct bucket *b;
  struct bucket *next;

  HASH_ITER (hh, q->buckets, b, next) { bucket_free (q, b); }
  /* Entries that did not notice the pause report by their next renewal. */
  q->settled_ms = now_ms + QUOTA_RENEW_MS + QUOTA_SETTLE_MS;
  if (q->view_count > 0)
    {
      forget_views (q, q->view_count - 1);
      q->views[0].since_ms = now_ms;
    }
}

/* Each event passes here first. */
static void
check_pause (struct quota *q, uint64_t now_ms)
{
  if (q->active_ms > 0 && now_ms - q->active_ms > QUOTA_PAUSE_MS)
    forget_all (q, now_ms);
  q->active_ms = now_ms;
}

static struct bucket *
find_bucket (const struct quota *q, struct str customer)
{
  struct bucket *b;

  HASH_FIND (hh, q->buckets, customer.data, customer.len, b);
  return b;
}

static struct bucket *
need_bucket (struct quota *q, struct str customer)
{
  struct bucket *b = find_bucket (q, customer);

  if (b)
    return b;
  b = xcalloc (1, sizeof *b);
  b->customer = str_dup (customer);
  HASH_ADD_KEYPTR (hh, q->buckets, b->customer.data, b->customer.len, b);
  return b;
}

static void
refill (struct bucket *b, uint64_t now_ms)
{
  const uint64_t full = (uint64_t)b->limits.burst * TOKEN;

  if (now_ms <= b->filled_ms)
    return;
  const uint64_t passed_ms = now_ms - b->filled_ms;
  /* Beyond this the bucket is full; avoids overflow. */
  if (passed_ms / 1000 > b->limits.burst)
    b->tokens = b->limits.requests_per_s > 0 ? full : b->tokens;
  else
    b->tokens += passed_ms * b->limits.requests_per_s;
  if (b->tokens > full)
    b->tokens = full;
  b->filled_ms = now_ms;
}

static void
set_hold (struct bucket *b, uint64_t id, uint64_t expires_ms)
{
  struct hold *h;

  HASH_FIND (hh, b->holds, &id, sizeof id, h);
  if (!h)
    {
      h = xcalloc (1, sizeof *h);
      h->id = id;
      HASH_ADD (hh, b->holds, id, sizeof h->id, h);
    }
  if (h->expires_ms < expires_ms)
    h->expires_ms = expires_ms;
}

static void
expire_holds (struct bucket *b, uint64_t now_ms)
{
  struct hold *h;
  struct hold *next;

  HASH_ITER (hh, b->holds, h, next)
  {
    if (h->expires_ms > now_ms)
      continue;
    HASH_DEL (b->holds, h);
    free (h);
  }
}

static struct yield *
find_yield (const struct quota *q, struct str customer)
{
  struct yield *y;

  HASH_FIND (hh, q->yields, customer.data, customer.len, y);
  return y;
}

static void
yield_free (struct quota *q, struct yield *y)
{
  HASH_DEL (q->yields, y);
  str_free (&y->customer);
  str_free (&y->to);
  free (y);
}

/* Since when this node is owner by all views that it remembers, and which
   node may have been owner before; empty if that is too long ago or the node
   does not know of any. */
static uint64_t
owner_since (const struct quota *q, struct str customer, uint64_t now_ms,
             struct str *former)
{
  struct str key = quota_key (customer);
  uint64_t since_ms = now_ms;
  size_t i = q->view_count;

  *former = (struct str){ 0 };
  while (i > 0 && str_eq (ranked (q, &q->views[i - 1], key, 0), q->self))
    since_ms = q->views[--i].since_ms;
  if (now_ms - since_ms < QUOTA_MEMORY_MS)
    *former = i > 0 ? ranked (q, &q->views[i - 1], key, 0)
                    : ranked (q, latest (q), key, 1);
  str_free (&key);
  return since_ms;
}

/* When entries have reported to this node what is in flight. */
static uint64_t
node_settled_ms (const struct quota *q)
{
  const uint64_t joined_ms = q->views[0].since_ms + QUOTA_SETTLE_MS;

  return joined_ms > q->settled_ms ? joined_ms : q->settled_ms;
}

/* Starts a bucket that fills from a time on; requests in flight are known
   from another time on. */
static void
start_empty (const struct quota *q, struct bucket *b, uint64_t filled_ms,
             uint64_t settled_ms)
{
  const uint64_t own_ms = node_settled_ms (q);

  b->ready = true;
  b->tokens = 0;
  b->filled_ms = filled_ms;
  b->settled_ms = settled_ms > own_ms ? settled_ms : own_ms;
}

static struct quota_answer
refer (struct quota *q, enum quota_code code, struct str node)
{
  struct str copy = str_dup (node);

  str_free (&q->answer_node);
  q->answer_node = copy;
  return (struct quota_answer){ .code = code, .node = copy };
}

/* Decides where a bucket starts. QUOTA_GRANTED means that it is ready. */
static struct quota_answer
start_bucket (struct quota *q, struct bucket *b, uint64_t now_ms)
{
  const struct yield *y = find_yield (q, b->customer);
  struct str former;
  uint64_t since_ms = owner_since (q, b->customer, now_ms, &former);

  if (y)
    {
      former = y->to;
      since_ms = now_ms;
    }
  if (former.len > 0 && member_find (&latest (q)->view, former))
    return refer (q, QUOTA_ASK_FORMER, former);
  start_empty (q, b, since_ms,
               former.len > 0 ? since_ms + QUOTA_SETTLE_MS : 0);
  return (struct quota_answer){ .code = QUOTA_GRANTED };
}

/* May this node decide on the customer. QUOTA_GRANTED means that it may. */
static struct quota_answer
check_owner (struct quota *q, struct str customer, uint64_t now_ms)
{
  const struct str owner = owner_of (q, customer);
  const struct yield *y = find_yield (q, customer);

  if (!str_eq (owner, q->self))
    return refer (q, QUOTA_NOT_OWNER, owner);
  if (y && now_ms - y->at_ms < QUOTA_YIELD_MS
      && member_find (&latest (q)->view, y->to))
    return refer (q, QUOTA_NOT_OWNER, y->to);
  return (struct quota_answer){ .code = QUOTA_GRANTED };
}

static struct quota_answer
take_token (struct bucket *b, uint64_t id, uint64_t now_ms)
{
  const struct quota_limits *l = &b->limits;
  struct quota_answer a = { .code = QUOTA_GRANTED };
  struct hold *h;

  HASH_FIND (hh, b->holds, &id, sizeof id, h);
  if (h && h->expires_ms > now_ms)
    return a;
  if (l->in_flight > 0 && now_ms < b->settled_ms)
    return (struct quota_answer){
      .code = QUOTA_SETTLING,
      .retry_after_ms = (uint32_t)(b->settled_ms - now_ms),
    };
  if (l->in_flight > 0 && HASH_COUNT (b->holds) >= l->in_flight)
    expire_holds (b, now_ms);
  if (l->in_flight > 0 && HASH_COUNT (b->holds) >= l->in_flight)
    return (struct quota_answer){ .code = QUOTA_IN_FLIGHT,
                                  .retry_after_ms = 1000 };
  if (l->requests_per_s > 0 && b->tokens < TOKEN)
    {
      const uint64_t missing = TOKEN - b->tokens;
      uint64_t wait_ms = (missing + l->requests_per_s - 1) / l->requests_per_s;

      if (b->filled_ms > now_ms)
        wait_ms += b->filled_ms - now_ms;
      return (struct quota_answer){ .code = QUOTA_RATE,
                                    .retry_after_ms = (uint32_t)wait_ms };
    }
  if (l->requests_per_s > 0)
    b->tokens -= TOKEN;
  if (l->in_flight > 0)
    set_hold (b, id, now_ms + QUOTA_HOLD_MS);
  return a;
}

struct quota_answer
quota_take (struct quota *q, struct str customer,
            const struct quota_limits *limits, uint64_t id, uint64_t now_ms)
{
  check_pause (q, now_ms);
  struct quota_answer a = check_owner (q, customer, now_ms);
  if (a.code != QUOTA_GRANTED)
    return a;
  struct bucket *b = need_bucket (q, customer);
  if (b->ready)
    refill (b, now_ms);
  b->limits = *limits;
  b->used_ms = now_ms;
  if (!b->ready)
    {
      a = start_bucket (q, b, now_ms);
      if (a.code != QUOTA_GRANTED)
        return a;
    }
  refill (b, now_ms);
  const uint64_t full = (uint64_t)limits->burst * TOKEN;
  if (b->tokens > full)
    b->tokens = full;
  return take_token (b, id, now_ms);
}

void
quota_finish (struct quota *q, struct str customer, uint64_t id,
              uint64_t now_ms)
{
  struct hold *h = NULL;

  check_pause (q, now_ms);
  struct bucket *b = find_bucket (q, customer);
  if (b)
    HASH_FIND (hh, b->holds, &id, sizeof id, h);
  if (!h)
    return;
  HASH_DEL (b->holds, h);
  free (h);
}

void
quota_renew (struct quota *q, struct str customer, uint64_t id,
             uint64_t now_ms)
{
  check_pause (q, now_ms);
  if (str_eq (owner_of (q, customer), q->self))
    set_hold (need_bucket (q, customer), id, now_ms + QUOTA_HOLD_MS);
}

/* ---- changes of owner ---- */

void
quota_yield (struct quota *q, struct str customer, struct str to,
             uint64_t now_ms, struct quota_state *out)
{
  struct quota_state state = { 0 };
  struct hold *h;
  struct hold *next;

  check_pause (q, now_ms);
  struct bucket *b = find_bucket (q, customer);
  struct yield *y = find_yield (q, customer);
  if (y)
    yield_free (q, y);
  y = xcalloc (1, sizeof *y);
  y->customer = str_dup (customer);
  y->to = str_dup (to);
  y->at_ms = now_ms;
  HASH_ADD_KEYPTR (hh, q->yields, y->customer.data, y->customer.len, y);
  /* What was lost longer ago has been granted from by others since. */
  if (b && b->lost && now_ms - b->lost_ms > QUOTA_SETTLE_MS)
    {
      bucket_free (q, b);
      b = NULL;
    }
  uint64_t settled_ms = q->view_count > 0 ? node_settled_ms (q) : 0;
  if (b)
    settled_ms = b->ready ? b->settled_ms : now_ms + QUOTA_SETTLE_MS;
  if (settled_ms > now_ms)
    state.settling_ms = (uint32_t)(settled_ms - now_ms);
  if (b)
    {
      state.known = b->ready;
      if (b->ready)
        refill (b, now_ms);
      state.tokens = b->tokens;
      state.holds = xcalloc (HASH_COUNT (b->holds) + 1, sizeof *state.holds);
      HASH_ITER (hh, b->holds, h, next)
      {
        if (h->expires_ms > now_ms)
          state.holds[state.hold_count++] = (struct quota_hold){
            .id = h->id, .left_ms = (u_int)(h->expires_ms - now_ms)
          };
      }
      bucket_free (q, b);
    }
  *out = state;
}

static void
end_yield (struct quota *q, struct str customer)
{
  struct yield *y = find_yield (q, customer);

  if (y)
    yield_free (q, y);
}

void
quota_import (struct quota *q, struct str customer,
              const struct quota_state *state, uint64_t now_ms)
{
  struct str former;

  check_pause (q, now_ms);
  struct bucket *b = need_bucket (q, customer);
  if (b->ready || q->view_count == 0)
    return;
  uint64_t since_ms = owner_since (q, customer, now_ms, &former);
  uint64_t settled_ms = now_ms + state->settling_ms;
  if (find_yield (q, customer))
    since_ms = now_ms;
  if (settled_ms < since_ms + QUOTA_SETTLE_MS)
    settled_ms = since_ms + QUOTA_SETTLE_MS;
  /* A former owner without a bucket granted nothing that counts, so the
     bucket fills since this node became owner. */
  start_empty (q, b, since_ms, settled_ms);
  if (state->known)
    {
      b->tokens = state->tokens;
      b->filled_ms = now_ms;
      b->settled_ms = now_ms + state->settling_ms;
    }
  end_yield (q, customer);
  for (size_t i = 0; i < state->hold_count; i++)
    set_hold (b, state->holds[i].id, now_ms + state->holds[i].left_ms);
}

void
quota_former_silent (struct quota *q, struct str customer, uint64_t now_ms)
{
  check_pause (q, now_ms);
  struct bucket *b = need_bucket (q, customer);
  if (b->ready || q->view_count == 0)
    return;
  end_yield (q, customer);
  /* The former owner may still grant until its view changes too. */
  start_empty (q, b, now_ms + QUOTA_SETTLE_MS, now_ms + QUOTA_SETTLE_MS);
}

void
quota_former_refused (struct quota *q, struct str customer, uint64_t now_ms)
{
  struct str former;

  if (now_ms - owner_since (q, customer, now_ms, &former) >= QUOTA_SETTLE_MS)
    quota_former_silent (q, customer, now_ms);
}

bool
quota_knows (const struct quota *q, struct str addr)
{
  const struct snapshot *s = latest (q);

  return s && member_find (&s->view, addr);
}

/* ---- upkeep ---- */

static bool
is_idle (struct bucket *b, uint64_t now_ms)
{
  if (b->holds)
    return false;
  if (b->lost)
    return now_ms - b->lost_ms > QUOTA_MEMORY_MS;
  /* Not earlier, because a new bucket might ask the former owner again. */
  if (now_ms - b->used_ms <= QUOTA_MEMORY_MS)
    return false;
  if (!b->ready)
    return true;
  refill (b, now_ms);
  return b->tokens >= (uint64_t)b->limits.burst * TOKEN
         || b->limits.requests_per_s == 0;
}

void
quota_tick (struct quota *q, uint64_t now_ms)
{
  struct bucket *b;
  struct bucket *next;
  struct yield *y;
  struct yield *next_yield;

  check_pause (q, now_ms);
  HASH_ITER (hh, q->buckets, b, next)
  {
    expire_holds (b, now_ms);
    if (is_idle (b, now_ms))
      bucket_free (q, b);
  }
  HASH_ITER (hh, q->yields, y, next_yield)
  {
    if (now_ms - y->at_ms > QUOTA_MEMORY_MS)
      yield_free (q, y);
  }
}

size_t
quota_count (const struct quota *q)
{
  return HASH_COUNT (q->buckets);
}

void
quota_destroy (struct quota *q)
{
  struct bucket *b;
  struct bucket *next;
  struct yield *y;
  struct yield *next_yield;

  HASH_ITER (hh, q->buckets, b, next) { bucket_free (q, b); }
  HASH_ITER (hh, q->yields, y, next_yield) { yield_free (q, y); }
  forget_views (q, q->view_count);
  str_free (&q->self);
  str_free (&q->region);
  str_free (&q->answer_node);
  free (q);
}
