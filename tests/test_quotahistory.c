#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "edge/quotaowner.h"
#include "edge/quotashare.h"
#include "err.h"
#include "random.h"
#include "suite.h"

/* Random histories of an owner and the shares of many nodes, with simulated
   time, delay and loss of datagrams. Set QUOTA_HISTORY_REPORT to print the
   largest sums. */

#define STEP_MS 2
#define TRAFFIC_MS 5000 /* empty buckets have refilled by then */
#define FAILURE_MS 14000
/* The load grows before the failure by this time, times 1 to 3 by the seed:
   the bucket is empty, or not yet. */
#define LEAD_MS 500
#define LEADS 3
#define USUAL_LOAD 0.5
#define LAST_CALL_MS 29500 /* later, no call may still wait */
#define END_MS 30000
#define SLOT_MS 100
#define WINDOW_S 8
#define WINDOW_SLOTS (WINDOW_S * 1000 / SLOT_MS)
#define SLOTS (END_MS / SLOT_MS)
#define NODES_MAX 410
#define TENANTS 2
#define DELAY_MAX_MS 6
#define RING 8 /* above DELAY_MAX_MS / STEP_MS */
#define LOSS_PER_1000 5
/* The owner learns after this time that it has lost nodes. */
#define DETECT_MS 2000
#define OWNER_AWAY_MS 3000
#define CUT_MS 10000
#define CONFIG_MS 3000 /* config_apply_ms */
#define COST_MIN 500
#define COST_SPAN 2001

enum failure
{
  CALM,
  HOT,
  OWNER_DIES,
  OWNER_PAUSED,
  THIRD_CUT,
  ALL_START,
  LIMIT_LOWERED,
};

struct message
{
  bool to_owner;
  uint32_t node;
  struct quota_draw draw;
  struct quota_credit credit;
};

struct queue
{
  struct message *items;
  size_t n;
  size_t max;
};

struct history;

struct node
{
  struct history *history;
  struct quotashare *share;
  uint64_t lowered_ms;
};

struct pending
{
  struct quota_waiter waiter;
  uint32_t cost;
  uint32_t tenant;
};

struct history
{
  enum failure failure;
  uint32_t nodes;
  uint64_t random;
  uint64_t hot_ms;
  uint64_t now;
  struct node node[NODES_MAX];
  struct quotaowner *owner; /* NULL while there is none */
  struct queue ring[RING];
  struct queue held; /* for a paused owner */
  double next_call_ms[TENANTS];
  double granted[TENANTS][SLOTS];
  uint32_t waiting;
  uint32_t refused_calm;
  uint32_t bad_retry;
};

static const struct quota_spec specs[TENANTS] = {
  { .rate_per_s = 12000, .burst = 24000, .by_tokens = true },
  { .rate_per_s = 100000, .burst = 50000, .by_tokens = true },
};

static double
uniform (struct history *h)
{
  return ((double)random_next (&h->random) + 1) / ((1U << 31) + 1.0);
}

static uint32_t
below (struct history *h, uint32_t n)
{
  return (uint32_t)(uniform (h) * n) % n;
}

static bool
failing (const struct history *h, enum failure f, uint64_t for_ms)
{
  return h->failure == f && h->now >= FAILURE_MS
         && h->now < FAILURE_MS + for_ms;
}

static struct quota_spec
spec_at (const struct history *h, uint32_t tenant, uint64_t lowered_ms)
{
  struct quota_spec s = specs[tenant];

  if (h->failure == LIMIT_LOWERED && h->now >= lowered_ms)
    {
      s.rate_per_s /= 3;
      s.burst /= 3;
    }
  return s;
}

/* ---- datagrams ---- */

static void
append (struct queue *q, const struct message *m)
{
  if (q->n == q->max)
    {
      q->max = q->max * 2 + 64;
      q->items = xrealloc (q->items, q->max * sizeof *q->items);
    }
  q->items[q->n++] = *m;
}

static void
send_message (struct history *h, const struct message *m)
{
  const bool cut = failing (h, THIRD_CUT, CUT_MS) && m->node % 3 == 1;
  const uint32_t steps = 1 + below (h, DELAY_MAX_MS / STEP_MS);

  if (below (h, 1000) < LOSS_PER_1000 || cut)
    return;
  append (&h->ring[(h->now / STEP_MS + steps) % RING], m);
}

static void
receive (struct history *h, struct message m)
{
  char name[16];

  if (!m.to_owner)
    {
      quotashare_credit (h->node[m.node].share, &m.credit, h->now);
      return;
    }
  if (!h->owner)
    return;
  const struct quota_spec spec
      = spec_at (h, (uint32_t)m.draw.tenant_hash - 1, FAILURE_MS + 1000);
  const int len = snprintf (name, sizeof name, "node-%u", m.node);
  quotaowner_draw (h->owner, (struct str){ name, (size_t)len }, 7, &spec,
                   &m.draw, h->now, &m.credit);
  m.to_owner = false;
  send_message (h, &m);
}

static void
receive_all (struct history *h, struct queue *q, bool paused)
{
  for (size_t i = 0; i < q->n; i++)
    if (paused && q->items[i].to_owner)
      append (&h->held, &q->items[i]);
    else
      receive (h, q->items[i]);
  q->n = 0;
}

/* ---- calls ---- */

static void
count_decision (struct history *h, uint32_t tenant, uint32_t cost,
                bool granted, uint32_t retry_after_ms)
{
  if (granted)
    h->granted[tenant][h->now / SLOT_MS] += cost;
  else if (h->failure == CALM)
    h->refused_calm++;
  if (!granted
      && (retry_after_ms < QUOTA_RETRY_MIN_MS
          || retry_after_ms > QUOTA_RETRY_MAX_MS))
    h->bad_retry++;
}

static void
decided (void *ctx, struct quota_waiter *w, bool granted,
         uint32_t retry_after_ms, enum quota_source source)
{
  struct node *n = ctx;
  struct pending *p = (struct pending *)w; /* first member */

  (void)source;
  n->history->waiting--;
  count_decision (n->history, p->tenant, p->cost, granted, retry_after_ms);
  free (p);
}

static void
start_call (struct history *h, uint32_t tenant)
{
  struct node *n = &h->node[below (h, h->nodes)];
  const struct quota_spec spec = spec_at (h, tenant, n->lowered_ms);
  struct pending *p = xcalloc (1, sizeof *p);
  uint32_t retry_after_ms = 0;

  p->cost = COST_MIN + below (h, COST_SPAN);
  p->tenant = tenant;
  const enum quota_result r
      = quotashare_take (n->share, tenant + 1, &spec, p->cost, below (h, 3),
                         h->now, &p->waiter, &retry_after_ms, NULL);
  if (r == QUOTASHARE_WAITING)
    {
      h->waiting++;
      return;
    }
  count_decision (h, tenant, p->cost, r == QUOTASHARE_GRANTED, retry_after_ms);
  free (p);
}

/* Part of the limit that the calls of a tenant cost. Its bucket is full until
   shortly before a failure, and runs empty in the same window. */
static double
load_at (const struct history *h)
{
  const bool hot = h->failure == HOT || h->failure == ALL_START;

  if (hot || (h->failure != CALM && h->now >= h->hot_ms))
    return USUAL_LOAD * 7;
  return USUAL_LOAD;
}

/* Calls arrive at random. */
static void
start_calls (struct history *h)
{
  const double load = load_at (h);
  const uint64_t from_ms = h->failure == ALL_START ? 0 : TRAFFIC_MS;

  for (uint32_t t = 0; t < TENANTS; t++)
    {
      const double mean_ms
          = (COST_MIN + COST_SPAN / 2.0) / (specs[t].rate_per_s * load) * 1000;

      for (; h->next_call_ms[t] <= (double)h->now;
           h->next_call_ms[t] -= mean_ms * log (uniform (h)))
        if (h->next_call_ms[t] >= (double)from_ms && h->now < LAST_CALL_MS)
          start_call (h, t);
    }
}

/* ---- histories ---- */

static void
run_node (struct history *h, uint32_t i)
{
  struct quotashare *s = h->node[i].share;
  struct message m = { .to_owner = true, .node = i };

  if (quotashare_next_due_ms (s) > h->now)
    return;
  quotashare_tick (s, h->now);
  while (quotashare_collect (s, h->now, &m.draw, 1) > 0)
    send_message (h, &m);
}

static void
set_all_nodes (struct history *h, bool owner_known)
{
  for (uint32_t i = 0; i < h->nodes; i++)
    quotashare_set_nodes (h->node[i].share, h->nodes, owner_known, h->now);
}

/* Replaces the owner, or tells it which nodes it reaches. */
static void
change_owner (struct history *h)
{
  const uint64_t since = h->now - FAILURE_MS;

  if (h->failure == ALL_START && h->now == OWNER_AWAY_MS)
    {
      h->owner = quotaowner_create (h->now);
      set_all_nodes (h, true);
    }
  if (h->now < FAILURE_MS)
    return;
  if (h->failure == OWNER_DIES && since == 0)
    {
      quotaowner_destroy (h->owner);
      h->owner = NULL;
    }
  if (h->failure == OWNER_DIES && since == OWNER_AWAY_MS)
    h->owner = quotaowner_create (h->now);
  if (h->failure == THIRD_CUT && since == DETECT_MS)
    quotaowner_set_nodes (h->owner, h->nodes, h->nodes - (h->nodes + 1) / 3,
                          h->now);
  if (h->failure == THIRD_CUT && since == CUT_MS + DETECT_MS)
    quotaowner_set_nodes (h->owner, h->nodes, h->nodes, h->now);
}

static void
step (struct history *h)
{
  const bool paused = failing (h, OWNER_PAUSED, OWNER_AWAY_MS);

  change_owner (h);
  if (h->owner && !paused)
    quotaowner_tick (h->owner, h->now);
  if (!paused)
    receive_all (h, &h->held, false);
  receive_all (h, &h->ring[h->now / STEP_MS % RING], paused);
  start_calls (h);
  for (uint32_t i = 0; i < h->nodes; i++)
    run_node (h, i);
}

static void
run_history (struct history *h)
{
  for (uint32_t i = 0; i < h->nodes; i++)
    {
      struct node *n = &h->node[i];
      const struct quotashare_events events = { .decided = decided, .ctx = n };

      n->history = h;
      n->lowered_ms = FAILURE_MS + below (h, CONFIG_MS);
      n->share = quotashare_create (random_next (&h->random) * 7919, &events);
    }
  set_all_nodes (h, h->failure != ALL_START);
  if (h->failure != ALL_START)
    h->owner = quotaowner_create (0);
  for (h->now = 0; h->now < END_MS; h->now += STEP_MS)
    step (h);
}

static void
free_history (struct history *h)
{
  for (uint32_t i = 0; i < h->nodes; i++)
    quotashare_destroy (h->node[i].share);
  for (size_t i = 0; i < RING; i++)
    free (h->ring[i].items);
  free (h->held.items);
  quotaowner_destroy (h->owner);
  free (h);
}

/* Returns the largest sum of a window, as a part of the bound in force. */
static double
worst_window (const struct history *h, uint32_t tenant, size_t first_slot)
{
  double worst = 0;

  for (size_t from = first_slot; from + WINDOW_SLOTS <= SLOTS; from++)
    {
      const bool lowered = h->failure == LIMIT_LOWERED
                           && from >= FAILURE_MS / SLOT_MS + WINDOW_SLOTS;
      const double part = lowered ? 1.0 / 3 : 1;
      const double bound
          = (specs[tenant].rate_per_s * WINDOW_S + specs[tenant].burst) * part
                * 1.1
            + 7500;
      double sum = 0;

      for (size_t i = from; i < from + WINDOW_SLOTS; i++)
        sum += h->granted[tenant][i];
      if (sum / bound > worst)
        worst = sum / bound;
    }
  return worst;
}

static const struct
{
  const char *name;
  enum failure failure;
} failures[] = {
  { "calm", CALM },
  { "hot", HOT },
  { "owner dies", OWNER_DIES },
  { "owner paused", OWNER_PAUSED },
  { "third cut", THIRD_CUT },
  { "all start", ALL_START },
  { "limit lowered", LIMIT_LOWERED },
};

static void
check_history (size_t failure, uint32_t nodes, uint64_t seed)
{
  struct history *h = xcalloc (1, sizeof *h);

  h->failure = failures[failure].failure;
  h->nodes = nodes;
  h->hot_ms = FAILURE_MS - LEAD_MS * (1 + seed % LEADS);
  h->random = seed * 1000003 + nodes;
  run_history (h);
  for (uint32_t t = 0; t < TENANTS; t++)
    {
      const double worst = worst_window (h, t, 0);
      double sum = 0;

      for (size_t i = FAILURE_MS / SLOT_MS; i < SLOTS; i++)
        sum += h->granted[t][i];
      const double used
          = sum / specs[t].rate_per_s / ((END_MS - FAILURE_MS) / 1000.0);
      if (getenv ("QUOTA_HISTORY_REPORT"))
        printf ("%-14s nodes %3u seed %2lu tenant %u: worst window %.3f, used "
                "%.3f of the rate\n",
                failures[failure].name, nodes, (unsigned long)seed, t, worst,
                used);
      CU_ASSERT_TRUE (worst <= 1);
      /* Credit must not get lost by expiry at many nodes. */
      CU_ASSERT_TRUE (h->failure != HOT || used > 0.8);
    }
  CU_ASSERT_EQUAL (h->refused_calm, 0);
  CU_ASSERT_EQUAL (h->bad_retry, 0);
  CU_ASSERT_EQUAL (h->waiting, 0);
  free_history (h);
}

/* Guards against more units than the limit in a window, refusals below half
   the limit, and calls that are never decided. */
static void
test_histories (void)
{
  static const struct
  {
    uint32_t nodes;
    uint64_t seeds;
  } sizes[] = { { 4, 4 }, { 32, 4 }, { 410, 1 } };
  const char *more = getenv ("QUOTA_HISTORY_SEEDS");
  const uint64_t times = more ? strtoul (more, NULL, 10) : 1;

  for (size_t f = 0; f < sizeof failures / sizeof *failures; f++)
    for (size_t i = 0; i < sizeof sizes / sizeof *sizes; i++)
      for (uint64_t seed = 1; seed <= sizes[i].seeds * times; seed++)
        check_history (f, sizes[i].nodes, seed);
}

static const struct suite_case cases[] = { { "histories", test_histories } };
TEST_SUITE ("quotahistory", cases)
