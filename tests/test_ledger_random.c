#include <stdlib.h>
#include <string.h>

#include "err.h"
#include "ledger.h"

#include "suite.h"

#define PAUSE_BOUND_MS 60000
#define MEMORY_BYTES 100
#define ENGINES 3
#define MODELS 4
#define OWNERS 2
#define REPLICAS_MAX 16
#define EVENTS_MAX 256
#define EXECUTED_MAX 4096

/* Safeguard that is disabled to show that the checks find the violations that
   it prevents. */
enum disabled_safeguard
{
  DISABLED_NONE,
  DISABLED_PAUSE_BOUND, /* the ledger assumes a pause bound of 0 */
  DISABLED_FENCING, /* engines ignore fences but the ledger relies on them */
  DISABLED_STATUS_TIME, /* a status counts as requested when it arrives */
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
  struct target_entry replicas[REPLICAS_MAX];
  uint64_t done_ms[REPLICAS_MAX];
  size_t replica_count;
  char executed_ids[EXECUTED_MAX][32]; /* orders carried out */
  size_t executed_count;
};

enum event_kind
{
  EVENT_ORDER,  /* delivered to the engine */
  EVENT_ANSWER, /* delivered to the owner */
  EVENT_STATUS, /* delivered to the owner */
};

struct event
{
  enum event_kind kind;
  uint64_t at_ms;
  size_t owner;
  size_t engine;
  bool answer_lost;
  char id[32];
  enum order_kind order_kind;
  uint64_t fence;
  uint64_t instance;
  size_t model;
  enum order_answer answer;
  uint64_t requested_ms;
  struct target_status status;
};

struct owner
{
  struct ledger *ledger;
  uint64_t version;
  uint64_t paused_until_ms;
  uint64_t next_poll_ms[ENGINES];
};

struct world
{
  enum disabled_safeguard disabled;
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
  unsigned stale_orders; /* delivered with the fence of a former holder */
  unsigned lost_writes;
  unsigned voided;
};

static uint64_t
random_below (struct world *w, uint64_t n)
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

      for (size_t j = 0; j < w->engines[i].replica_count; j++)
        sum += w->engines[i].replicas[j].bytes;
      w->violations += sum > MEMORY_BYTES;
    }
  for (size_t m = 0; m < MODELS; m++)
    {
      const struct replica_key key = key_of (m);
      uint32_t n = 0;

      for (size_t i = 0; i < ENGINES; i++)
        for (size_t j = 0; j < w->engines[i].replica_count; j++)
          n += replica_key_eq (&w->engines[i].replicas[j].key, &key);
      w->violations += n > models[m].max_replicas;
    }
}

static struct event *
queue_event (struct world *w, struct event e)
{
  CU_ASSERT_FATAL (w->event_count < EVENTS_MAX);
  w->events[w->event_count] = e;
  return &w->events[w->event_count++];
}

/* Engines. They don't check their memory, so that only the ledger prevents
   overcommitment. */

static struct target_entry *
find_replica (struct engine *e, size_t model)
{
  const struct replica_key key = key_of (model);

  for (size_t i = 0; i < e->replica_count; i++)
    if (replica_key_eq (&e->replicas[i].key, &key))
      return &e->replicas[i];
  return NULL;
}

static enum order_answer
execute_order (struct world *w, struct engine *e, struct event *o)
{
  struct target_entry *t = find_replica (e, o->model);

  if (o->instance != e->instance)
    return ORDER_WRONG_INSTANCE;
  w->stale_orders += o->fence < w->lease_fence;
  if (e->fenced && o->fence < e->fence)
    return ORDER_OLD_FENCE;
  if (o->fence > e->fence)
    e->fence = o->fence;
  if (o->order_kind == ORDER_FENCE)
    return ORDER_ACCEPTED;
  for (size_t i = 0; i < e->executed_count; i++)
    if (strcmp (e->executed_ids[i], o->id) == 0)
      return ORDER_ACCEPTED;
  if (o->order_kind == ORDER_LOAD && t && t->state != TARGET_LOADED)
    return ORDER_BUSY;
  /* The engine refuses some loads for reasons that the ledger can't know. */
  if (o->order_kind == ORDER_LOAD && random_below (w, 10) == 0)
    return ORDER_REFUSED;
  CU_ASSERT_FATAL (e->executed_count < EXECUTED_MAX
                   && e->replica_count < REPLICAS_MAX);
  memcpy (e->executed_ids[e->executed_count++], o->id, sizeof o->id);
  if (o->order_kind == ORDER_UNLOAD && t)
    t->state = TARGET_UNLOADING;
  if (o->order_kind != ORDER_LOAD || t)
    {
      if (t)
        e->done_ms[t - e->replicas] = w->now + random_below (w, 3000);
      return ORDER_ACCEPTED;
    }
  e->done_ms[e->replica_count] = w->now + random_below (w, 8000);
  e->replicas[e->replica_count++] = (struct target_entry){
    .key = key_of (o->model),
    .bytes = models[o->model].bytes,
    .state = TARGET_LOADING,
    .order_id = str_from (e->executed_ids[e->executed_count - 1]),
  };
  w->loads++;
  return ORDER_ACCEPTED;
}

static void
finish_operations (struct world *w, struct engine *e)
{
  for (size_t i = e->replica_count; i-- > 0;)
    {
      if (w->now < e->done_ms[i] || e->replicas[i].state == TARGET_LOADED)
        continue;
      if (e->replicas[i].state == TARGET_LOADING && random_below (w, 10) > 0)
        {
          e->replicas[i].state = TARGET_LOADED;
          continue;
        }
      /* The unload is complete, or the load has failed. */
      e->replicas[i] = e->replicas[--e->replica_count];
      e->done_ms[i] = e->done_ms[e->replica_count];
    }
}

static void
restart (struct engine *e)
{
  e->instance++;
  e->fence = 0;
  e->replica_count = 0;
  e->executed_count = 0;
}

static void
deliver_order (struct world *w, struct event o)
{
  struct event answer = o;

  answer.kind = EVENT_ANSWER;
  answer.answer = execute_order (w, &w->engines[o.engine], &o);
  if (!o.answer_lost)
    queue_event (w, answer);
}

/* Owners. */

static enum ledger_write_result
read_back (struct world *w, struct owner *o)
{
  o->version = w->version;
  return ledger_check_write (o->ledger, w->object);
}

static void
owner_write (struct world *w, struct owner *o)
{
  struct str json = ledger_write_begin (o->ledger);
  const uint64_t chance = random_below (w, 20);
  enum ledger_write_result result;

  if (json.len == 0)
    return;
  const bool takes_effect = chance != 0 && o->version == w->version;
  if (takes_effect)
    {
      str_free (&w->object);
      w->object = str_dup (json);
      w->version++;
    }
  w->lost_writes += chance < 3;
  if (takes_effect && chance >= 3)
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

  w->voided += ledger_void_order (w->owners[w->holder].ledger, id);
}

static void
owner_take_over (struct world *w, size_t i)
{
  struct owner *o = &w->owners[i];
  const bool fenced = w->engines[0].fenced || w->disabled == DISABLED_FENCING;

  if (o->ledger)
    ledger_destroy (o->ledger);
  o->ledger = ledger_create (
      STR ("s"), fenced,
      w->disabled == DISABLED_PAUSE_BOUND ? 0 : PAUSE_BOUND_MS);
  o->version = w->version;
  if (w->version > 0)
    CU_ASSERT_EQUAL_FATAL (ledger_decode (o->ledger, w->object), 0);
  CU_ASSERT_EQUAL_FATAL (
      ledger_take_over (o->ledger, w->lease_fence, addr_of (i), i, w->now), 0);
  for (size_t e = 0; e < ENGINES; e++)
    {
      ledger_server_add (o->ledger, addr_of (e), STR ("d"));
      o->next_poll_ms[e] = w->now;
    }
  owner_write (w, o);
  if (o->ledger->takeover_stored_ms == 0)
    o->ledger->is_superseded = true;
}

/* Sends an order with a random delay. The caller has checked the lease, but
   the sender may be paused before the order leaves. */
static void
send_order (struct world *w, size_t owner, size_t engine, struct order *out)
{
  uint64_t delay = random_below (w, 4) > 0 ? random_below (w, 50)
                                           : random_below (w, 25000);

  if (random_below (w, 20) == 0)
    {
      w->owners[owner].paused_until_ms = w->now + random_below (w, 30000);
      delay += w->owners[owner].paused_until_ms - w->now;
    }
  struct event e = { .kind = EVENT_ORDER,
                     .at_ms = w->now + delay,
                     .owner = owner,
                     .engine = engine,
                     .answer_lost = delay > 2000 || random_below (w, 5) == 0,
                     .order_kind = out->kind,
                     .fence = out->fence,
                     .instance = out->instance };
  snprintf (e.id, sizeof e.id, STR_FMT, STR_ARG (out->order_id));
  for (size_t m = 0; m < MODELS; m++)
    if (str_eq (out->key.model, str_from (models[m].name)))
      e.model = m;
  queue_event (w, e);
  if (!e.answer_lost)
    return;
  e.kind = EVENT_ANSWER;
  e.answer = ORDER_UNANSWERED;
  e.at_ms = w->now + 2000;
  queue_event (w, e);
}

static void
owner_send (struct world *w, size_t i)
{
  struct ledger *l = w->owners[i].ledger;
  const size_t e = random_below (w, ENGINES);
  struct ledger_server *s = ledger_find_server (l, addr_of (e));
  struct order out = { .kind = ORDER_FENCE,
                       .order_id = STR ("fence"),
                       .fence = l->fence,
                       .instance = s->instance };

  if (l->fenced && !s->fence_confirmed && s->status_known
      && random_below (w, 3) == 0)
    send_order (w, i, e, &out);
  for (size_t j = 0; j < s->entry_count; j++)
    if (ledger_due_order (l, s->entries[j], w->now, &out)
        && (s->entries[j]->fence == l->fence || random_below (w, 40) == 0))
      {
        ledger_order_sent (s->entries[j], out.kind, w->now);
        send_order (w, i, e, &out);
        return;
      }
}

static void
owner_decide (struct world *w, struct ledger *l)
{
  const size_t e = random_below (w, ENGINES);
  const size_t m = random_below (w, MODELS);
  const struct replica_key key = key_of (m);

  if (random_below (w, 2) == 0)
    ledger_decide_load (l, addr_of (e), &key, models[m].bytes,
                        models[m].max_replicas, w->now);
  else
    ledger_decide_unload (l, addr_of (e), &key, w->now);
}

/* Requests the status of a random engine. The engine answers at once, but its
   answer may be delayed. */
static void
owner_poll (struct world *w, size_t i)
{
  const size_t e = random_below (w, ENGINES);
  struct engine *g = &w->engines[e];
  uint64_t *next_poll_ms = &w->owners[i].next_poll_ms[e];

  if (w->now < *next_poll_ms)
    return;
  struct event ev = { .kind = EVENT_STATUS,
                      .at_ms = w->now + random_below (w, 5000),
                      .owner = i,
                      .engine = e,
                      .requested_ms = w->now,
                      .fence = w->owners[i].ledger->fence };
  ev.status = (struct target_status){ .instance = g->instance,
                                      .fence = g->fenced ? g->fence : 0,
                                      .memory_bytes = MEMORY_BYTES,
                                      .entry_count = g->replica_count };
  ev.status.entries = xcalloc (REPLICAS_MAX, sizeof *ev.status.entries);
  for (size_t j = 0; j < g->replica_count; j++)
    {
      ev.status.entries[j] = g->replicas[j];
      ev.status.entries[j].key = replica_key_dup (&g->replicas[j].key);
      ev.status.entries[j].order_id = str_dup (g->replicas[j].order_id);
    }
  *next_poll_ms = ev.at_ms + 1;
  queue_event (w, ev);
}

static void
run_owner (struct world *w, size_t i)
{
  struct owner *o = &w->owners[i];
  const bool holds = w->holder == i;

  if (w->now < o->paused_until_ms)
    return;
  if (holds
      && (!o->ledger || o->ledger->is_superseded
          || o->ledger->fence < w->lease_fence))
    {
      owner_take_over (w, i);
      return;
    }
  if (!o->ledger || o->ledger->is_superseded)
    return;
  /* A former holder may still write, because it may not have noticed yet that
     it lost the lease. */
  owner_write (w, o);
  if (!holds || o->ledger->is_superseded)
    return;
  owner_poll (w, i);
  if (random_below (w, 3) == 0)
    owner_decide (w, o->ledger);
  owner_send (w, i);
  struct owner *former = &w->owners[1 - i];
  if (former->ledger && random_below (w, 10) == 0
      && w->now >= former->paused_until_ms)
    ledger_fence_off (former->ledger, w->lease_fence - 1, on_void, w);
}

static void
deliver_answer (struct world *w, struct event *e)
{
  struct ledger *l = w->owners[e->owner].ledger;

  if (!l || l->fence != e->fence)
    return;
  if (e->kind == EVENT_STATUS)
    ledger_apply_status (l, addr_of (e->engine), &e->status,
                         w->disabled == DISABLED_STATUS_TIME ? w->now
                                                             : e->requested_ms,
                         w->now);
  else if (e->order_kind != ORDER_FENCE)
    ledger_order_answer (l, addr_of (e->engine), str_from (e->id),
                         e->order_kind, e->answer, w->now);
  else if (e->answer == ORDER_ACCEPTED)
    ledger_fence_confirmed (l, addr_of (e->engine), w->now);
}

/* Removes the earliest event that is due. A paused owner gets no events, but
   orders that it sent still arrive. */
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
run_tick (struct world *w)
{
  struct event e;

  w->now += 50;
  while (next_event (w, &e))
    {
      if (e.kind == EVENT_ORDER)
        deliver_order (w, e);
      else
        deliver_answer (w, &e);
      target_status_free (&e.status);
      check (w);
    }
  if (random_below (w, 400) == 0)
    {
      w->holder = random_below (w, OWNERS);
      w->lease_fence++;
    }
  if (random_below (w, 2000) == 0)
    restart (&w->engines[random_below (w, ENGINES)]);
  if (random_below (w, 300) == 0)
    w->owners[random_below (w, OWNERS)].paused_until_ms
        = w->now + random_below (w, 30000);
  for (size_t i = 0; i < ENGINES; i++)
    finish_operations (w, &w->engines[i]);
  for (size_t i = 0; i < OWNERS; i++)
    run_owner (w, i);
  check (w);
}

static struct world *
run_world (uint64_t seed, bool fenced, enum disabled_safeguard disabled)
{
  struct world *w = xcalloc (1, sizeof *w);

  w->disabled = disabled;
  w->random = seed * 0x9e3779b97f4a7c15U;
  w->now = 1000000;
  w->lease_fence = 1;
  for (size_t i = 0; i < ENGINES; i++)
    {
      w->engines[i].instance = 1;
      w->engines[i].fenced = fenced && disabled != DISABLED_FENCING;
    }
  for (unsigned i = 0; i < 20000; i++)
    run_tick (w);
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

/* Guards against overcommitted memory and more than max_replicas replicas on
   the engines under pauses, takeovers, late orders, lost answers and restarts.
 */
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
        struct world *w = run_world (seed, fenced, DISABLED_NONE);

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

/* Guards against a random test that can't detect violations. */
static void
test_disabled_safeguards (void)
{
  static const enum disabled_safeguard all[]
      = { DISABLED_PAUSE_BOUND, DISABLED_FENCING, DISABLED_STATUS_TIME };

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
  { "violations are detected", test_disabled_safeguards },
};
TEST_SUITE ("ledger-random", cases)
