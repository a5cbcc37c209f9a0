#include <stdlib.h>
#include <string.h>

#include "err.h"
#include "ledger.h"

#include "suite.h"

#define BOUND_MS 60000
#define MEMORY 100
#define ENGINES 3
#define MODELS 4
#define OWNERS 2
#define HELD_MAX 16
#define EVENTS_MAX 256
#define IDS_MAX 4096

/* What is switched off, to show that the checks find the violation. */
enum sabotage
{
  SABOTAGE_NONE,
  SABOTAGE_NO_BOUND,     /* pause bound 0 */
  SABOTAGE_FALSE_FENCE,  /* engines ignore fences but count as fenced */
  SABOTAGE_STALE_STATUS, /* a status counts from its arrival */
};

static const struct
{
  const char *name;
  uint64_t bytes;
  uint32_t max_replicas;
} models[MODELS]
    = { { "a", 30, 1 }, { "b", 50, 2 }, { "c", 60, 1 }, { "d", 40, 2 } };

struct engine
{
  bool fenced;
  uint64_t instance;
  uint64_t fence;
  struct target_entry held[HELD_MAX];
  uint64_t until_ms[HELD_MAX];
  size_t held_count;
  char ids[IDS_MAX][32]; /* orders that were carried out */
  size_t id_count;
};

enum event_kind
{
  EVENT_ORDER,  /* arrives at the engine */
  EVENT_ANSWER, /* arrives at the owner */
  EVENT_STATUS, /* arrives at the owner */
};

struct event
{
  enum event_kind kind;
  uint64_t at_ms;
  size_t owner;
  size_t engine;
  bool answer_lost;
  char id[32];
  enum order_kind order;
  uint64_t fence;
  uint64_t instance;
  size_t model;
  enum order_answer answer;
  uint64_t asked_ms;
  struct target_status status;
};

struct owner
{
  struct ledger *ledger;
  uint64_t version;
  uint64_t paused_until_ms;
  uint64_t polled_ms[ENGINES];
};

struct world
{
  enum sabotage sabotage;
  uint64_t random;
  uint64_t now;
  struct engine engines[ENGINES];
  struct owner owners[OWNERS];
  struct event events[EVENTS_MAX];
  size_t event_count;
  uint64_t lease_fence;
  size_t holder;
  struct str object;
  uint64_t version;
  unsigned violations;
  unsigned loads;
  unsigned stale_orders; /* arrived with the fence of a former holder */
  unsigned lost_writes;
  unsigned voided;
};

static uint64_t
draw (struct world *w, uint64_t n)
{
  w->random ^= w->random << 13;
  w->random ^= w->random >> 7;
  w->random ^= w->random << 17;
  return w->random % n;
}

static struct str
addr_of (size_t engine)
{
  static const char *const addrs[ENGINES] = { "e:0", "e:1", "e:2" };
  return str_from (addrs[engine]);
}

static struct replica_key
key_of (size_t model)
{
  return (struct replica_key){ .model = str_from (models[model].name),
                               .version = STR ("1") };
}

static void
check (struct world *w)
{
  for (size_t i = 0; i < ENGINES; i++)
    {
      uint64_t sum = 0;

      for (size_t j = 0; j < w->engines[i].held_count; j++)
        sum += w->engines[i].held[j].bytes;
      w->violations += sum > MEMORY;
    }
  for (size_t m = 0; m < MODELS; m++)
    {
      const struct replica_key key = key_of (m);
      uint32_t n = 0;

      for (size_t i = 0; i < ENGINES; i++)
        for (size_t j = 0; j < w->engines[i].held_count; j++)
          n += replica_key_eq (&w->engines[i].held[j].key, &key);
      w->violations += n > models[m].max_replicas;
    }
}

static struct event *
post (struct world *w, struct event e)
{
  CU_ASSERT_FATAL (w->event_count < EVENTS_MAX);
  w->events[w->event_count] = e;
  return &w->events[w->event_count++];
}

/* Engines. They check no memory, so that only the ledger prevents overuse. */

static struct target_entry *
held (struct engine *e, size_t model)
{
  const struct replica_key key = key_of (model);

  for (size_t i = 0; i < e->held_count; i++)
    if (replica_key_eq (&e->held[i].key, &key))
      return &e->held[i];
  return NULL;
}

static enum order_answer
carry_out (struct world *w, struct engine *e, struct event *o)
{
  struct target_entry *t = held (e, o->model);

  if (o->instance != e->instance)
    return ORDER_WRONG_INSTANCE;
  w->stale_orders += o->fence < w->lease_fence;
  if (e->fenced && o->fence < e->fence)
    return ORDER_OLD_FENCE;
  if (o->fence > e->fence)
    e->fence = o->fence;
  if (o->order == ORDER_FENCE)
    return ORDER_ACCEPTED;
  for (size_t i = 0; i < e->id_count; i++)
    if (strcmp (e->ids[i], o->id) == 0)
      return ORDER_ACCEPTED;
  if (o->order == ORDER_LOAD && t && t->state != TARGET_LOADED)
    return ORDER_BUSY;
  /* Some loads are refused, for a reason of the engine's own. */
  if (o->order == ORDER_LOAD && draw (w, 10) == 0)
    return ORDER_REFUSED;
  CU_ASSERT_FATAL (e->id_count < IDS_MAX && e->held_count < HELD_MAX);
  memcpy (e->ids[e->id_count++], o->id, sizeof o->id);
  if (o->order == ORDER_UNLOAD && t)
    t->state = TARGET_UNLOADING;
  if (o->order != ORDER_LOAD || t)
    {
      if (t)
        e->until_ms[t - e->held] = w->now + draw (w, 3000);
      return ORDER_ACCEPTED;
    }
  e->until_ms[e->held_count] = w->now + draw (w, 8000);
  e->held[e->held_count++] = (struct target_entry){
    .key = key_of (o->model),
    .bytes = models[o->model].bytes,
    .state = TARGET_LOADING,
    .order_id = str_from (e->ids[e->id_count - 1]),
  };
  w->loads++;
  return ORDER_ACCEPTED;
}

static void
engine_work (struct world *w, struct engine *e)
{
  for (size_t i = e->held_count; i-- > 0;)
    {
      if (w->now < e->until_ms[i] || e->held[i].state == TARGET_LOADED)
        continue;
      if (e->held[i].state == TARGET_LOADING && draw (w, 10) > 0)
        {
          e->held[i].state = TARGET_LOADED;
          continue;
        }
      /* Unloaded, or the load failed. */
      e->held[i] = e->held[--e->held_count];
      e->until_ms[i] = e->until_ms[e->held_count];
    }
}

static void
restart (struct engine *e)
{
  e->instance++;
  e->fence = 0;
  e->held_count = 0;
  e->id_count = 0;
}

static void
order_arrives (struct world *w, struct event o)
{
  struct event answer = o;

  answer.kind = EVENT_ANSWER;
  answer.answer = carry_out (w, &w->engines[o.engine], &o);
  if (!o.answer_lost)
    post (w, answer);
}

/* Owners. */

static enum ledger_write
read_back (struct world *w, struct owner *o)
{
  o->version = w->version;
  return ledger_compare (o->ledger, w->object);
}

static void
owner_write (struct world *w, struct owner *o)
{
  struct str json = ledger_write_begin (o->ledger);
  const uint64_t dice = draw (w, 20);
  enum ledger_write result;

  if (json.len == 0)
    return;
  const bool takes_effect = dice != 0 && o->version == w->version;
  if (takes_effect)
    {
      str_free (&w->object);
      w->object = str_dup (json);
      w->version++;
    }
  w->lost_writes += dice < 3;
  if (takes_effect && dice >= 3)
    {
      o->version = w->version;
      result = LEDGER_STORED;
    }
  else
    result = read_back (w, o);
  ledger_write_done (o->ledger, result, w->now);
  str_free (&json);
}

static void
on_void (void *ctx, struct str id)
{
  struct world *w = ctx;

  w->voided += ledger_void (w->owners[w->holder].ledger, id);
}

static void
owner_take_over (struct world *w, size_t i)
{
  struct owner *o = &w->owners[i];
  const bool fenced
      = w->engines[0].fenced || w->sabotage == SABOTAGE_FALSE_FENCE;

  if (o->ledger)
    ledger_destroy (o->ledger);
  o->ledger = ledger_create (STR ("s"), fenced,
                             w->sabotage == SABOTAGE_NO_BOUND ? 0 : BOUND_MS);
  o->version = w->version;
  if (w->version > 0)
    CU_ASSERT_EQUAL_FATAL (ledger_decode (o->ledger, w->object), 0);
  CU_ASSERT_EQUAL_FATAL (
      ledger_take_over (o->ledger, w->lease_fence, addr_of (i), i, w->now), 0);
  for (size_t e = 0; e < ENGINES; e++)
    {
      ledger_server_add (o->ledger, addr_of (e), STR ("d"));
      o->polled_ms[e] = w->now;
    }
  owner_write (w, o);
  if (o->ledger->stamped_ms == 0)
    o->ledger->dropped = true;
}

/* Puts an order into the network. The sender was checked against its lease,
   but may be paused before the order leaves. */
static void
send_order (struct world *w, size_t owner, size_t engine, struct order *out)
{
  uint64_t delay = draw (w, 4) > 0 ? draw (w, 50) : draw (w, 25000);

  if (draw (w, 20) == 0)
    {
      w->owners[owner].paused_until_ms = w->now + draw (w, 30000);
      delay += w->owners[owner].paused_until_ms - w->now;
    }
  struct event e = { .kind = EVENT_ORDER,
                     .at_ms = w->now + delay,
                     .owner = owner,
                     .engine = engine,
                     .answer_lost = delay > 2000 || draw (w, 5) == 0,
                     .order = out->kind,
                     .fence = out->fence,
                     .instance = out->instance };
  snprintf (e.id, sizeof e.id, STR_FMT, STR_ARG (out->order_id));
  for (size_t m = 0; m < MODELS; m++)
    if (str_eq (out->key.model, str_from (models[m].name)))
      e.model = m;
  post (w, e);
  if (!e.answer_lost)
    return;
  e.kind = EVENT_ANSWER;
  e.answer = ORDER_UNANSWERED;
  e.at_ms = w->now + 2000;
  post (w, e);
}

static void
owner_send (struct world *w, size_t i)
{
  struct ledger *l = w->owners[i].ledger;
  const size_t e = draw (w, ENGINES);
  struct ledger_server *s = ledger_server (l, addr_of (e));
  struct order out = { .kind = ORDER_FENCE,
                       .order_id = STR ("fence"),
                       .fence = l->fence,
                       .instance = s->instance };

  if (l->fenced && !s->fence_known && s->seen && draw (w, 3) == 0)
    send_order (w, i, e, &out);
  for (size_t j = 0; j < s->entry_count; j++)
    if (ledger_order (l, s->entries[j], w->now, &out)
        && (s->entries[j]->fence == l->fence || draw (w, 40) == 0))
      {
        ledger_order_sent (s->entries[j], out.kind, w->now);
        send_order (w, i, e, &out);
        return;
      }
}

static void
owner_decide (struct world *w, struct ledger *l)
{
  const size_t e = draw (w, ENGINES);
  const size_t m = draw (w, MODELS);
  const struct replica_key key = key_of (m);

  if (draw (w, 2) == 0)
    ledger_load (l, addr_of (e), &key, models[m].bytes, models[m].max_replicas,
                 w->now);
  else
    ledger_unload (l, addr_of (e), &key, w->now);
}

/* The engine answers a status at once; the answer may be long on its way. */
static void
owner_poll (struct world *w, size_t i)
{
  const size_t e = draw (w, ENGINES);
  struct engine *g = &w->engines[e];
  uint64_t *free_at = &w->owners[i].polled_ms[e];

  if (w->now < *free_at)
    return;
  struct event ev = { .kind = EVENT_STATUS,
                      .at_ms = w->now + draw (w, 5000),
                      .owner = i,
                      .engine = e,
                      .asked_ms = w->now,
                      .fence = w->owners[i].ledger->fence };
  ev.status = (struct target_status){ .instance = g->instance,
                                      .fence = g->fenced ? g->fence : 0,
                                      .memory_bytes = MEMORY,
                                      .entry_count = g->held_count };
  ev.status.entries = xcalloc (HELD_MAX, sizeof *ev.status.entries);
  for (size_t j = 0; j < g->held_count; j++)
    {
      ev.status.entries[j] = g->held[j];
      ev.status.entries[j].key = replica_key_dup (&g->held[j].key);
      ev.status.entries[j].order_id = str_dup (g->held[j].order_id);
    }
  *free_at = ev.at_ms + 1;
  post (w, ev);
}

static void
owner_turn (struct world *w, size_t i)
{
  struct owner *o = &w->owners[i];
  const bool holds = w->holder == i;

  if (w->now < o->paused_until_ms)
    return;
  if (holds
      && (!o->ledger || o->ledger->dropped
          || o->ledger->fence < w->lease_fence))
    {
      owner_take_over (w, i);
      return;
    }
  if (!o->ledger || o->ledger->dropped)
    return;
  /* A former holder that does not know it yet may still write. */
  owner_write (w, o);
  if (!holds || o->ledger->dropped)
    return;
  owner_poll (w, i);
  if (draw (w, 3) == 0)
    owner_decide (w, o->ledger);
  owner_send (w, i);
  struct owner *former = &w->owners[1 - i];
  if (former->ledger && draw (w, 10) == 0 && w->now >= former->paused_until_ms)
    ledger_fence_off (former->ledger, w->lease_fence - 1, on_void, w);
}

static void
answer_arrives (struct world *w, struct event *e)
{
  struct ledger *l = w->owners[e->owner].ledger;

  if (!l || l->fence != e->fence)
    return;
  if (e->kind == EVENT_STATUS)
    ledger_status (l, addr_of (e->engine), &e->status,
                   w->sabotage == SABOTAGE_STALE_STATUS ? w->now : e->asked_ms,
                   w->now);
  else if (e->order != ORDER_FENCE)
    ledger_order_answer (l, addr_of (e->engine), str_from (e->id), e->order,
                         e->answer, w->now);
  else if (e->answer == ORDER_ACCEPTED)
    ledger_fence_known (l, addr_of (e->engine), w->now);
}

/* Takes the earliest event that can happen now. */
static bool
next_event (struct world *w, struct event *out)
{
  size_t best = EVENTS_MAX;

  for (size_t i = 0; i < w->event_count; i++)
    {
      const struct event *e = &w->events[i];

      if (e->at_ms > w->now
          || (e->kind != EVENT_ORDER
              && w->now < w->owners[e->owner].paused_until_ms))
        continue;
      if (best == EVENTS_MAX || e->at_ms < w->events[best].at_ms)
        best = i;
    }
  if (best == EVENTS_MAX)
    return false;
  *out = w->events[best];
  memmove (&w->events[best], &w->events[best + 1],
           (--w->event_count - best) * sizeof (struct event));
  return true;
}

static void
turn (struct world *w)
{
  struct event e;

  w->now += 50;
  while (next_event (w, &e))
    {
      if (e.kind == EVENT_ORDER)
        order_arrives (w, e);
      else
        answer_arrives (w, &e);
      target_status_free (&e.status);
      check (w);
    }
  if (draw (w, 400) == 0)
    {
      w->holder = draw (w, OWNERS);
      w->lease_fence++;
    }
  if (draw (w, 2000) == 0)
    restart (&w->engines[draw (w, ENGINES)]);
  if (draw (w, 300) == 0)
    w->owners[draw (w, OWNERS)].paused_until_ms = w->now + draw (w, 30000);
  for (size_t i = 0; i < ENGINES; i++)
    engine_work (w, &w->engines[i]);
  for (size_t i = 0; i < OWNERS; i++)
    owner_turn (w, i);
  check (w);
}

static struct world *
run_world (uint64_t seed, bool fenced, enum sabotage sabotage)
{
  struct world *w = xcalloc (1, sizeof *w);

  w->sabotage = sabotage;
  w->random = seed * 0x9e3779b97f4a7c15U;
  w->now = 1000000;
  w->lease_fence = 1;
  for (size_t i = 0; i < ENGINES; i++)
    {
      w->engines[i].instance = 1;
      w->engines[i].fenced = fenced && sabotage != SABOTAGE_FALSE_FENCE;
    }
  for (unsigned i = 0; i < 20000; i++)
    turn (w);
  return w;
}

static void
free_world (struct world *w)
{
  for (size_t i = 0; i < OWNERS; i++)
    if (w->owners[i].ledger)
      ledger_destroy (w->owners[i].ledger);
  for (size_t i = 0; i < w->event_count; i++)
    target_status_free (&w->events[i].status);
  str_free (&w->object);
  free (w);
}

/* Guards against overcommitted memory and surplus replicas on the engines
   under pauses, takeovers, late orders, lost answers and restarts. */
static void
test_random (void)
{
  unsigned loads = 0;
  unsigned stale_orders = 0;
  unsigned lost_writes = 0;
  unsigned voided = 0;

  for (uint64_t seed = 1; seed <= 10; seed++)
    for (int fenced = 0; fenced < 2; fenced++)
      {
        struct world *w = run_world (seed, fenced, SABOTAGE_NONE);

        CU_ASSERT_EQUAL (w->violations, 0);
        loads += w->loads;
        stale_orders += w->stale_orders;
        lost_writes += w->lost_writes;
        voided += w->voided;
        free_world (w);
      }
  CU_ASSERT (loads > 1000);
  CU_ASSERT (stale_orders > 100);
  CU_ASSERT (lost_writes > 100);
  CU_ASSERT (voided > 0);
}

/* Guards against a randomised test that could not find a violation. */
static void
test_sabotage (void)
{
  static const enum sabotage all[]
      = { SABOTAGE_NO_BOUND, SABOTAGE_FALSE_FENCE, SABOTAGE_STALE_STATUS };

  for (size_t i = 0; i < sizeof all / sizeof *all; i++)
    {
      unsigned violations = 0;

      for (uint64_t seed = 1; seed <= 10; seed++)
        {
          struct world *w = run_world (seed, false, all[i]);
          violations += w->violations;
          free_world (w);
        }
      CU_ASSERT (violations > 0);
    }
}

static const struct suite_case cases[] = {
  { "random faults", test_random },
  { "violations are found", test_sabotage },
};
TEST_SUITE ("ledger-random", cases)
