#include "edge/quotashare.h"

#include <stdlib.h>

#include <uthash.h>
#include <utlist.h>

#include "edge/duequeue.h"
#include "err.h"
#include "random.h"
#include "tokenbucket.h"

/* A draw is repeated after this time, twice. An answer takes a round trip
   between failure domains, a few ms. */
#define REPEAT_MS 40
#define SENDS_MAX 3
/* Time after which a call without an answer is decided by the fallback: all
   sends had their time, and most latency objectives can still be met. */
#define ANSWER_TIMEOUT_MS 120
/* In the fallback, a draw is sent this often while there are calls. */
#define PROBE_INTERVAL_MS 250
/* A draw that timed out longer ago doesn't show that the owner is still
   unavailable, so calls wait for a draw again. */
#define TIMEOUT_VALID_MS 1000
/* Unused credit expires, because another node may need it. */
#define CREDIT_TTL_MS 1000
/* The fallback saves up this time of its rate. */
#define FALLBACK_SAVED_S 1.0
/* A fallback bucket that was not used for this time starts at random again:
   buckets of many nodes that are full at once would admit a call each. */
#define FALLBACK_IDLE_MS 8000
/* A tenant without calls is dropped; no sooner than FALLBACK_IDLE_MS, because
   a new one has a new fallback level. */
#define TENANT_IDLE_MS 10000
/* The use of the last 200 ms is counted in slots; the current one is left out,
   because a single call does not foretell the next. */
#define SLOT_MS 50
#define SLOTS_USED 4
#define SLOTS (SLOTS_USED + 1)

RB_HEAD (waiter_tree, quota_waiter);

/** enum draw_state - @DRAW_READY: to be collected; @DRAW_SENT: no answer yet.
 */
enum draw_state
{
  DRAW_NONE,
  DRAW_READY,
  DRAW_SENT,
};

/**
 * struct share_tenant - a tenant with recent calls.
 * @epoch: of the share when @credit was given or the draw was sent.
 * @waiting_units: sum of the costs of @waiting.
 * @covered_ordinal: calls up to this one are part of the sent draw.
 * @sent_ms: when the draw was sent, or made ready if it is not sent yet.
 * @send: when the draw is to be sent or repeated.
 * @timer: timeout of the draw; otherwise expiry of the tenant.
 */
struct share_tenant
{
  uint64_t hash;
  struct quota_spec spec;
  uint64_t used_ms;
  uint64_t credit;
  uint64_t credit_expires_ms;
  uint64_t epoch;
  bool answered;
  uint64_t answered_ms;
  struct waiter_tree waiting;
  uint64_t waiting_units;
  enum draw_state state;
  struct quota_draw draw;
  uint64_t draw_epoch;
  uint64_t covered_ordinal;
  uint64_t sent_ms;
  uint32_t sends;
  bool in_fallback;
  bool has_fallback;
  uint64_t timed_out_ms;
  uint64_t fallback_used_ms;
  struct tokenbucket fallback;
  uint64_t slots[SLOTS];
  uint64_t newest_slot;
  struct due_item send;
  struct due_item timer;
  UT_hash_handle hh;
};

/**
 * struct quotashare - credit of a node.
 * @decided: waiters to be called back.
 * @last_number: one count for all tenants, so that numbers grow although idle
 *   tenants are dropped.
 */
struct quotashare
{
  struct quotashare_events events;
  struct share_tenant *tenants;
  struct due_queue sends;
  struct due_queue timers;
  struct quota_waiter *decided;
  uint64_t epoch;
  uint64_t last_ordinal;
  uint64_t last_number;
  uint64_t random;
  uint32_t nodes;
  bool owner_known;
};

static int
compare (const struct quota_waiter *a, const struct quota_waiter *b)
{
  if (a->priority != b->priority)
    return a->priority < b->priority ? -1 : 1;
  if (a->ordinal != b->ordinal)
    return a->ordinal < b->ordinal ? -1 : 1;
  return 0;
}

RB_GENERATE_STATIC (waiter_tree, quota_waiter, entry, compare)

struct quotashare *
quotashare_create (uint64_t seed, const struct quotashare_events *events)
{
  struct quotashare *s = xcalloc (1, sizeof *s);

  s->events = *events;
  s->random = seed;
  s->nodes = 1;
  return s;
}

static struct share_tenant *
find_tenant (const struct quotashare *s, uint64_t hash)
{
  struct share_tenant *t;

  HASH_FIND (hh, s->tenants, &hash, sizeof hash, t);
  return t;
}

static void
free_tenant (struct quotashare *s, struct share_tenant *t)
{
  due_clear (&s->sends, &t->send);
  due_clear (&s->timers, &t->timer);
  HASH_DEL (s->tenants, t);
  free (t);
}

void
quotashare_destroy (struct quotashare *s)
{
  struct share_tenant *t;
  struct share_tenant *next;

  if (!s)
    return;
  HASH_ITER (hh, s->tenants, t, next) { free_tenant (s, t); }
  free (s);
}

static struct share_tenant *
get_tenant (struct quotashare *s, uint64_t hash, const struct quota_spec *spec,
            uint64_t now_ms)
{
  struct share_tenant *t = find_tenant (s, hash);

  if (!t)
    {
      t = xcalloc (1, sizeof *t);
      t->hash = hash;
      RB_INIT (&t->waiting);
      t->send.owner = t;
      t->send.ordinal = ++s->last_ordinal;
      t->timer.owner = t;
      t->timer.ordinal = ++s->last_ordinal;
      HASH_ADD (hh, s->tenants, hash, sizeof hash, t);
      due_set (&s->timers, &t->timer, now_ms + TENANT_IDLE_MS);
    }
  t->spec = *spec;
  t->used_ms = now_ms;
  return t;
}

/* ---- use and credit ---- */

static void
advance_slots (struct share_tenant *t, uint64_t now_ms)
{
  const uint64_t slot = now_ms / SLOT_MS;
  uint64_t i = t->newest_slot + 1;

  if (slot >= t->newest_slot + SLOTS)
    i = slot - SLOTS + 1;
  for (; i <= slot; i++)
    t->slots[i % SLOTS] = 0;
  if (slot > t->newest_slot)
    t->newest_slot = slot;
}

static uint64_t
recent_use (struct share_tenant *t, uint64_t now_ms)
{
  uint64_t sum = 0;

  advance_slots (t, now_ms);
  for (uint64_t i = 1; i <= SLOTS_USED; i++)
    sum += t->slots[(t->newest_slot + i) % SLOTS];
  return sum;
}

static void
count_use (struct share_tenant *t, uint32_t cost, uint64_t now_ms)
{
  advance_slots (t, now_ms);
  t->slots[t->newest_slot % SLOTS] += cost;
}

static void
expire_credit (const struct quotashare *s, struct share_tenant *t,
               uint64_t now_ms)
{
  if (now_ms >= t->credit_expires_ms || t->epoch != s->epoch)
    t->credit = 0;
}

static void
add_credit (const struct quotashare *s, struct share_tenant *t, uint64_t units,
            uint64_t now_ms)
{
  expire_credit (s, t, now_ms);
  t->credit += units;
  t->credit_expires_ms = now_ms + CREDIT_TTL_MS;
  t->epoch = s->epoch;
}

/* ---- waiting calls ---- */

static void
unlink_waiter (struct quota_waiter *w)
{
  RB_REMOVE (waiter_tree, &w->tenant->waiting, w);
  w->tenant->waiting_units -= w->cost;
}

static void
decide (struct quotashare *s, struct quota_waiter *w, bool granted,
        uint32_t retry_after_ms, enum quota_source source)
{
  unlink_waiter (w);
  w->decided = true;
  w->granted = granted;
  w->retry_after_ms = retry_after_ms;
  w->source = source;
  DL_APPEND (s->decided, w);
}

/* Callbacks run after all decisions are made, because they may change the
   waiting calls. */
static void
deliver (struct quotashare *s)
{
  struct quota_waiter *w;

  while ((w = s->decided))
    {
      DL_DELETE (s->decided, w);
      w->tenant = NULL;
      s->events.decided (s->events.ctx, w, w->granted, w->retry_after_ms,
                         w->source);
    }
}

void
quotashare_cancel (struct quotashare *s, struct quota_waiter *w)
{
  if (!w->tenant)
    return;
  if (w->decided)
    DL_DELETE (s->decided, w);
  else
    unlink_waiter (w);
  w->tenant = NULL;
}

static void
grant_from_credit (struct share_tenant *t, uint32_t cost, uint64_t now_ms)
{
  t->credit -= cost;
  count_use (t, cost, now_ms);
}

/* Decides the waiting calls by the credit. If @retry_after_ms is above 0, the
   owner is short: calls of the answered draw are refused if no credit is left
   for them. Others wait for the next draw. */
static void
settle (struct quotashare *s, struct share_tenant *t, uint32_t retry_after_ms,
        uint64_t now_ms)
{
  struct quota_waiter *next;
  bool short_of_credit = false;

  for (struct quota_waiter *w = RB_MIN (waiter_tree, &t->waiting); w; w = next)
    {
      const bool refusable
          = retry_after_ms > 0 && w->ordinal <= t->covered_ordinal;

      next = RB_NEXT (waiter_tree, &t->waiting, w);
      if (w->cost <= t->credit && (refusable || !short_of_credit))
        {
          grant_from_credit (t, w->cost, now_ms);
          decide (s, w, true, 0, QUOTA_SOURCE_OWNER);
        }
      else if (refusable)
        decide (s, w, false, retry_after_ms, QUOTA_SOURCE_OWNER);
      else
        short_of_credit = true;
      if (short_of_credit && retry_after_ms == 0)
        return;
    }
}

/* ---- draws ---- */

static void
request_draw (struct quotashare *s, struct share_tenant *t, uint64_t now_ms)
{
  if (t->state != DRAW_NONE || !s->owner_known)
    return;
  t->state = DRAW_READY;
  t->draw_epoch = s->epoch;
  t->sent_ms = now_ms;
  due_set (&s->sends, &t->send, now_ms);
  due_set (&s->timers, &t->timer, now_ms + ANSWER_TIMEOUT_MS);
}

static void
end_draw (struct quotashare *s, struct share_tenant *t)
{
  t->state = DRAW_NONE;
  due_clear (&s->sends, &t->send);
  due_set (&s->timers, &t->timer, t->used_ms + TENANT_IDLE_MS);
}

static uint32_t
to_units (uint64_t n)
{
  return n < UINT32_MAX ? (uint32_t)n : UINT32_MAX;
}

/* Sets the draw from what is wanted. Returns false if nothing is. */
static bool
start_draw (struct quotashare *s, struct share_tenant *t, uint64_t now_ms)
{
  expire_credit (s, t, now_ms);
  settle (s, t, 0, now_ms);
  const struct quota_waiter *first = RB_MIN (waiter_tree, &t->waiting);
  const uint64_t spare = first ? 0 : t->credit;
  const uint64_t use = recent_use (t, now_ms);

  t->draw = (struct quota_draw){
    .tenant_hash = t->hash,
    .wanted_now = first ? to_units (t->waiting_units - t->credit) : 0,
    .step = first ? to_units (first->cost - t->credit) : 0,
    .wanted_ahead = use > spare ? to_units (use - spare) : 0,
  };
  /* In the fallback an empty draw still asks whether there is an owner. */
  if (!first && t->draw.wanted_ahead == 0 && !t->in_fallback)
    return false;
  t->draw.number = ++s->last_number;
  t->draw_epoch = s->epoch;
  t->covered_ordinal = s->last_ordinal;
  t->state = DRAW_SENT;
  t->sent_ms = now_ms;
  t->sends = 0;
  due_set (&s->timers, &t->timer, now_ms + ANSWER_TIMEOUT_MS);
  return true;
}

size_t
quotashare_collect (struct quotashare *s, uint64_t now_ms,
                    struct quota_draw *out, size_t max)
{
  size_t n = 0;
  struct due_item *d;

  while (n < max && (d = due_first (&s->sends, now_ms)))
    {
      struct share_tenant *t = d->owner;

      /* The answer to a draw from before a freeze may hold old credit. */
      if (t->state == DRAW_READY || t->draw_epoch != s->epoch)
        if (!start_draw (s, t, now_ms))
          {
            end_draw (s, t);
            continue;
          }
      out[n++] = t->draw;
      if (++t->sends < SENDS_MAX)
        due_set (&s->sends, d, now_ms + REPEAT_MS);
      else
        due_clear (&s->sends, d);
    }
  deliver (s);
  return n;
}

/* ---- fallback ---- */

static double
fallback_rate (const struct quotashare *s, const struct share_tenant *t)
{
  return QUOTA_FALLBACK_SHARE * t->spec.rate_per_s / s->nodes;
}

static void
set_fallback (struct quotashare *s, struct share_tenant *t, bool active)
{
  if (t->in_fallback == active)
    return;
  t->in_fallback = active;
  if (s->events.fallback_changed)
    s->events.fallback_changed (s->events.ctx, t->hash, active);
}

/* Sets the level at random between a debt of @cost and what can be saved up.
 */
static void
randomize_fallback (struct quotashare *s, struct share_tenant *t,
                    uint32_t cost, uint64_t now_ms)
{
  const double saved = fallback_rate (s, t) * FALLBACK_SAVED_S;
  const double part = (double)random_next (&s->random) / (1U << 31);

  t->has_fallback = true;
  t->fallback.level = (part * (saved + cost) - cost) * TOKENBUCKET_PARTS;
  t->fallback.refilled_ms = now_ms;
}

/* Charges the local bucket. Returns false if its level is not above 0; it may
   go one call into debt. */
static bool
take_fallback (struct quotashare *s, struct share_tenant *t, uint32_t cost,
               uint32_t *retry_after_ms, uint64_t now_ms)
{
  const double rate = fallback_rate (s, t);
  const double saved = rate * FALLBACK_SAVED_S;

  tokenbucket_refill (&t->fallback, rate, saved, now_ms);
  if (!t->has_fallback
      || (now_ms - t->fallback_used_ms > FALLBACK_IDLE_MS
          && tokenbucket_holds (&t->fallback, saved)))
    randomize_fallback (s, t, cost, now_ms);
  t->fallback_used_ms = now_ms;
  if (t->fallback.level > 0)
    {
      tokenbucket_charge (&t->fallback, cost);
      count_use (t, cost, now_ms);
      return true;
    }
  const uint64_t wait_ms = tokenbucket_wait_ms (&t->fallback, rate, 0, now_ms);
  /* The level must be above 0, so the wait is 1 ms longer. */
  *retry_after_ms = quota_retry_after_ms ((double)wait_ms + 1);
  return false;
}

/* Decides all waiting calls by the fallback. */
static void
fall_back (struct quotashare *s, struct share_tenant *t, uint64_t now_ms)
{
  struct quota_waiter *w;

  end_draw (s, t);
  t->timed_out_ms = now_ms;
  set_fallback (s, t, true);
  expire_credit (s, t, now_ms);
  settle (s, t, 0, now_ms);
  while ((w = RB_MIN (waiter_tree, &t->waiting)))
    {
      uint32_t retry_after_ms = 0;
      const bool granted
          = take_fallback (s, t, w->cost, &retry_after_ms, now_ms);

      decide (s, w, granted, retry_after_ms, QUOTA_SOURCE_FALLBACK);
    }
}

/* ---- calls ---- */

static bool
can_never_pass (const struct quota_spec *spec, uint32_t cost)
{
  return cost > quota_burst (spec) + spec->rate_per_s;
}

/* Returns true if a call is to be decided without the owner. */
static bool
owner_is_unavailable (const struct quotashare *s, const struct share_tenant *t,
                      uint64_t now_ms)
{
  if (!s->owner_known)
    return true;
  return t->in_fallback && RB_EMPTY (&t->waiting)
         && now_ms - t->timed_out_ms < TIMEOUT_VALID_MS;
}

static enum quota_result
decide_without_owner (struct quotashare *s, struct share_tenant *t,
                      uint32_t cost, uint32_t *retry_after_ms, uint64_t now_ms)
{
  set_fallback (s, t, true);
  if (now_ms - t->sent_ms >= PROBE_INTERVAL_MS)
    request_draw (s, t, now_ms);
  return take_fallback (s, t, cost, retry_after_ms, now_ms)
             ? QUOTASHARE_GRANTED
             : QUOTASHARE_REFUSED;
}

static void
add_waiter (struct quotashare *s, struct share_tenant *t, uint32_t cost,
            uint32_t priority, struct quota_waiter *w)
{
  *w = (struct quota_waiter){
    .tenant = t,
    .cost = cost,
    .priority = priority,
    .ordinal = ++s->last_ordinal,
  };
  RB_INSERT (waiter_tree, &t->waiting, w);
  t->waiting_units += cost;
}

enum quota_result
quotashare_take (struct quotashare *s, uint64_t tenant_hash,
                 const struct quota_spec *spec, uint32_t cost,
                 uint32_t priority, uint64_t now_ms, struct quota_waiter *w,
                 uint32_t *retry_after_ms, enum quota_source *source)
{
  enum quota_source unused;

  source = source ? source : &unused;
  *source = QUOTA_SOURCE_LIMIT;
  if (spec->rate_per_s <= 0)
    return QUOTASHARE_GRANTED;
  if (can_never_pass (spec, cost))
    {
      *retry_after_ms = QUOTA_RETRY_MAX_MS;
      return QUOTASHARE_REFUSED;
    }
  struct share_tenant *t = get_tenant (s, tenant_hash, spec, now_ms);
  expire_credit (s, t, now_ms);
  *source = QUOTA_SOURCE_OWNER;
  if (RB_EMPTY (&t->waiting) && cost <= t->credit)
    {
      grant_from_credit (t, cost, now_ms);
      if (t->credit < recent_use (t, now_ms) / 2)
        request_draw (s, t, now_ms);
      return QUOTASHARE_GRANTED;
    }
  if (owner_is_unavailable (s, t, now_ms))
    {
      *source = QUOTA_SOURCE_FALLBACK;
      return decide_without_owner (s, t, cost, retry_after_ms, now_ms);
    }
  add_waiter (s, t, cost, priority, w);
  request_draw (s, t, now_ms);
  return QUOTASHARE_WAITING;
}

void
quotashare_refund (struct quotashare *s, uint64_t tenant_hash, uint32_t units,
                   uint64_t now_ms)
{
  struct share_tenant *t = find_tenant (s, tenant_hash);

  if (!t)
    return;
  expire_credit (s, t, now_ms);
  const uint64_t use = recent_use (t, now_ms);
  const uint64_t most = use > units ? use : units;
  if (t->credit >= most)
    return;
  const uint64_t room = most - t->credit;
  add_credit (s, t, units < room ? units : room, now_ms);
}

void
quotashare_credit (struct quotashare *s, const struct quota_credit *c,
                   uint64_t now_ms)
{
  struct share_tenant *t = find_tenant (s, c->tenant_hash);

  if (!t || t->state != DRAW_SENT || t->draw.number != c->number
      || t->draw_epoch != s->epoch)
    return;
  t->answered = true;
  t->answered_ms = now_ms;
  end_draw (s, t);
  add_credit (s, t, c->given, now_ms);
  settle (s, t, c->retry_after_ms, now_ms);
  set_fallback (s, t, false);
  if (!RB_EMPTY (&t->waiting) && s->owner_known)
    request_draw (s, t, now_ms);
  else if (!RB_EMPTY (&t->waiting))
    fall_back (s, t, now_ms);
  deliver (s);
}

/* ---- time ---- */

void
quotashare_set_nodes (struct quotashare *s, uint32_t nodes, bool owner_known,
                      uint64_t now_ms)
{
  struct due_item *d;

  s->nodes = nodes > 0 ? nodes : 1;
  s->owner_known = owner_known;
  if (owner_known)
    return;
  while ((d = due_first (&s->sends, UINT64_MAX)))
    fall_back (s, d->owner, now_ms);
  deliver (s);
}

void
quotashare_resume (struct quotashare *s, uint64_t now_ms)
{
  (void)now_ms;
  s->epoch++;
}

/* Handles a due timer. The calls of a draw from before a freeze wait for a new
   one. */
static void
run_timer (struct quotashare *s, struct share_tenant *t, uint64_t now_ms)
{
  if (t->state == DRAW_NONE && now_ms - t->used_ms >= TENANT_IDLE_MS)
    free_tenant (s, t);
  else if (t->state == DRAW_NONE)
    due_set (&s->timers, &t->timer, t->used_ms + TENANT_IDLE_MS);
  else if (t->draw_epoch != s->epoch && s->owner_known)
    {
      end_draw (s, t);
      request_draw (s, t, now_ms);
    }
  else
    fall_back (s, t, now_ms);
}

void
quotashare_tick (struct quotashare *s, uint64_t now_ms)
{
  struct due_item *d;

  while ((d = due_first (&s->timers, now_ms)))
    run_timer (s, d->owner, now_ms);
  deliver (s);
}

uint64_t
quotashare_next_due_ms (const struct quotashare *s)
{
  const struct due_item *send = due_first (&s->sends, UINT64_MAX);
  const struct due_item *timer = due_first (&s->timers, UINT64_MAX);
  const uint64_t send_ms = send ? send->at_ms : UINT64_MAX;
  const uint64_t timer_ms = timer ? timer->at_ms : UINT64_MAX;

  return send_ms < timer_ms ? send_ms : timer_ms;
}

uint64_t
quotashare_credit_age_ms (const struct quotashare *s, uint64_t tenant_hash,
                          uint64_t now_ms)
{
  const struct share_tenant *t = find_tenant (s, tenant_hash);

  return t && t->answered ? now_ms - t->answered_ms : UINT64_MAX;
}

size_t
quotashare_tenant_count (const struct quotashare *s)
{
  return HASH_COUNT (s->tenants);
}
