#include <stdio.h>

#include "fleetsim.h"
#include "suite.h"

/* Placement decisions under load and faults, against simulated servers. */

/* Guards against loads that exceed a server's memory or adapter slots or the
   load limit of the weight store, also while answers are lost, orders are
   carried out late, servers restart and the holder changes. */
static void
test_limits (void)
{
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      struct sim m = sim_create (seed, seed % 2 ? 30 : 0);
      char model[16];
      char adapter[16];

      for (int i = 0; i < 6000; i++)
        {
          if (i % 25 == 0)
            {
              fleet_begin_digest (m.fleet, STR ("node"), m.now);
              for (int j = 0; j < 3; j++)
                {
                  snprintf (model, sizeof model, "m%u",
                            sim_random (&m, MODELS));
                  snprintf (adapter, sizeof adapter, "a%u",
                            sim_random (&m, 4));
                  sim_add_demand (&m, model, "", 1 + sim_random (&m, 4));
                  sim_add_demand (&m, model, adapter, 1);
                }
            }
          if (m.faults > 0 && sim_random (&m, 800) == 0)
            sim_restart (&m, (int)sim_random (&m, SERVERS));
          if (m.faults > 0 && sim_random (&m, 1500) == 0)
            {
              m.fence++;
              fleet_begin_term (m.fleet, 0, m.now);
            }
          sim_tick (&m);
        }
      CU_ASSERT_EQUAL (m.violations, 0);
      if (m.faults == 0)
        CU_ASSERT_TRUE (sim_max_cold_loads (&m) <= COLD_PER_S * 5 + 3);
      if (m.violations > 0)
        fprintf (stderr, "seed %lu: %d violations\n", seed, m.violations);
      sim_destroy (&m);
    }
}

/* Guards against a model or adapter that calls wait for and that is never
   loaded, also while answers are lost. */
static void
test_served (void)
{
  for (uint64_t seed = 1; seed <= 10; seed++)
    {
      struct sim m = sim_create (seed, seed % 2 ? 20 : 0);
      char model[16];

      for (int i = 0; i < 30; i++)
        {
          bool loaded = false;

          snprintf (model, sizeof model, "m%u", sim_random (&m, MODELS));
          for (int j = 0; j < 2500 && !loaded; j++)
            {
              if (j % 25 == 0)
                {
                  fleet_begin_digest (m.fleet, STR ("node"), m.now);
                  sim_add_demand (&m, model, "", 2);
                  sim_add_demand (&m, model, "a1", 1);
                }
              sim_tick (&m);
              loaded
                  = sim_holds (&m, model, "") && sim_holds (&m, model, "a1");
            }
          CU_ASSERT_TRUE (loaded);
        }
      sim_destroy (&m);
    }
}

/* Guards against a busy model that loses its replicas to rarely used ones:
   many models get a single call while one model is always in use. */
static void
test_busy_model_keeps_replica (void)
{
  struct sim m = sim_create (7, 0);
  char model[16];
  int absent = 0;

  for (int i = 0; i < 8000; i++)
    {
      if (i % 25 == 0)
        {
          const struct node_demand busy = { .service = STR ("lm"),
                                            .model = STR ("m0"),
                                            .running = 6,
                                            .arrivals = 10 };

          fleet_begin_digest (m.fleet, STR ("node"), m.now);
          fleet_add_node_demand (m.fleet, STR ("node"), &busy, m.now);
          snprintf (model, sizeof model, "m%u",
                    1 + sim_random (&m, MODELS - 1));
          sim_add_demand (&m, model, "", 1);
        }
      sim_tick (&m);
      if (i > 500 && !sim_holds (&m, "m0", ""))
        absent++;
    }
  CU_ASSERT_EQUAL (absent, 0);
  sim_destroy (&m);
}

/* Simulates calls that wait for "m0" until a reachable server holds it.
   Returns the time that passed, which is @max_ms if no server loaded it. */
static uint64_t
wait_for_replica (struct sim *m, bool suspected, uint64_t max_ms)
{
  const struct node_demand waits
      = { .service = STR ("lm"), .model = STR ("m0"), .waiting = 2 };
  const uint64_t start_ms = m->now;

  while (sim_live_replicas (m, "m0") == 0 && m->now < start_ms + max_ms)
    {
      fleet_begin_digest (m->fleet, STR ("node"), m->now);
      fleet_add_node_demand (m->fleet, STR ("node"), &waits, m->now);
      for (int i = 0; i < SERVERS && suspected; i++)
        if (m->servers[i].unreachable)
          fleet_suspect (m->fleet, str_hash (str_from (m->servers[i].id), 0),
                         m->now);
      sim_tick (m);
    }
  return m->now - start_ms;
}

/* Guards against calls that wait for a crashed server until its entry expires,
   three heartbeats later, instead of getting a replica elsewhere; and against
   a server that counts as down because one node, itself cut off, reports it.
 */
static void
test_server_down (void)
{
  struct sim m = sim_create (3, 0);

  CU_ASSERT_TRUE (wait_for_replica (&m, false, 5000) < 2 * LOAD_MS);
  fleet_suspect (m.fleet, str_hash (STR ("i-0"), 0), m.now);
  for (int i = 0; i < SERVERS; i++)
    m.servers[i].unreachable = sim_find_replica (&m.servers[i], "m0") != NULL;
  CU_ASSERT_EQUAL (sim_live_replicas (&m, "m0"), 0);
  CU_ASSERT_TRUE (wait_for_replica (&m, true, 5000) < 2 * LOAD_MS);
  for (int i = 0; i < SERVERS; i++)
    m.servers[i].unreachable = false;
  for (int i = 0; i < 200; i++)
    sim_tick (&m);
  fleet_suspect (m.fleet, str_hash (STR ("i-0"), 0), m.now);
  const int live_before = sim_live_replicas (&m, "m0");
  for (int i = 0; i < 200; i++)
    {
      fleet_begin_digest (m.fleet, STR ("node"), m.now);
      sim_add_demand (&m, "m0", "", 0);
      sim_tick (&m);
    }
  CU_ASSERT_TRUE (sim_live_replicas (&m, "m0") <= live_before);
  CU_ASSERT_EQUAL (m.violations, 0);
  sim_destroy (&m);
}

struct call
{
  int model;
  uint64_t start_ms;
  uint64_t end_ms; /* 0 while it waits */
};

#define CALLS_MAX 256
#define RUN_MS 300
/* Calls per second over all models. */
#define CALLS_PER_S 10

/* Simulates calls of all models at equal rates. Returns the fraction of them
   that waited for a replica. */
static double
simulate_calls (struct sim *m, uint64_t duration_ms)
{
  struct call calls[CALLS_MAX];
  const uint64_t end_ms = m->now + duration_ms;
  size_t count = 0;
  unsigned total = 0;
  unsigned waited = 0;

  while (m->now < end_ms)
    {
      uint32_t arrivals[MODELS] = { 0 };
      uint32_t waiting[MODELS] = { 0 };
      uint32_t running[MODELS] = { 0 };
      char model[16];

      if (sim_random (m, 1000) < CALLS_PER_S * TICK_MS && count < CALLS_MAX)
        {
          struct call *c = &calls[count++];

          *c = (struct call){ (int)sim_random (m, MODELS), m->now, 0 };
          arrivals[c->model]++;
          total++;
        }
      for (size_t i = 0; i < count; i++)
        {
          struct call *c = &calls[i];

          snprintf (model, sizeof model, "m%d", c->model);
          if (c->end_ms == 0 && sim_live_replicas (m, model) > 0)
            {
              c->end_ms = m->now + RUN_MS;
              waited += m->now > c->start_ms;
            }
          if (c->end_ms == 0)
            waiting[c->model]++;
          else if (m->now < c->end_ms)
            running[c->model]++;
          else
            calls[i--] = calls[--count];
        }
      fleet_begin_digest (m->fleet, STR ("node"), m->now);
      for (int i = 0; i < MODELS; i++)
        {
          snprintf (model, sizeof model, "m%d", i);
          const struct node_demand w = { .service = STR ("lm"),
                                         .model = str_from (model),
                                         .waiting = waiting[i],
                                         .running = running[i],
                                         .arrivals = arrivals[i] };
          fleet_add_node_demand (m->fleet, STR ("node"), &w, m->now);
        }
      sim_tick (m);
    }
  return total > 0 ? (double)waited / total : 0;
}

/* Guards against replicas that keep evicting each other: slightly more models
   are in equal use than fit into memory. At best only the calls of the models
   that do not fit wait, here a tenth; twice that is allowed. */
static void
test_more_models_than_memory (void)
{
  struct sim m = sim_create (5, 0);

  sim_remove_server (&m, 0);
  sim_fill_disks (&m, MODELS);
  simulate_calls (&m, 5000);
  CU_ASSERT_TRUE (simulate_calls (&m, 60000) <= 0.2);
  CU_ASSERT_EQUAL (m.cold_count, 0);
  CU_ASSERT_EQUAL (m.violations, 0);
  sim_destroy (&m);
}

/* Guards against loads from the weight store that take up memory for seconds
   although another server has the weights on its disk: many models take turns,
   each with its weights on one server only. */
static void
test_weights_cached_elsewhere (void)
{
  struct sim m = sim_create (9, 0);

  sim_remove_server (&m, 0);
  for (int j = 0; j < MODELS; j++)
    {
      struct sim_server *s = &m.servers[1 + j % (SERVERS - 1)];

      snprintf (s->on_disk[s->disk_count++], 16, "m%d", j);
    }
  /* Free memory may be filled from the weight store. */
  simulate_calls (&m, 10000);
  const size_t filled = m.cold_count;
  simulate_calls (&m, 60000);
  CU_ASSERT_EQUAL (m.cold_count, filled);
  CU_ASSERT_EQUAL (m.violations, 0);
  sim_destroy (&m);
}

/* Guards against the eviction of a replica in use for a model that no call
   waits for: the calls ended before their model was loaded. */
static void
test_no_waiting_call (void)
{
  struct sim m = sim_create (11, 0);
  char model[16];

  sim_remove_server (&m, 0);
  for (int i = 0; i < MODELS - 1; i++)
    {
      snprintf (model, sizeof model, "m%d", i);
      fleet_begin_digest (m.fleet, STR ("node"), m.now);
      sim_add_demand (&m, model, "", 1);
      for (int j = 0; j < 80; j++)
        sim_tick (&m);
    }
  for (int j = 0; j < 300; j++)
    {
      const struct node_demand ended = { .service = STR ("lm"),
                                         .model = STR ("m9"),
                                         .arrivals = j == 0 ? 5 : 0 };

      fleet_begin_digest (m.fleet, STR ("node"), m.now);
      fleet_add_node_demand (m.fleet, STR ("node"), &ended, m.now);
      sim_tick (&m);
    }
  for (int i = 0; i < MODELS - 1; i++)
    {
      snprintf (model, sizeof model, "m%d", i);
      CU_ASSERT_TRUE (sim_live_replicas (&m, model) > 0);
    }
  sim_destroy (&m);
}

/* Simulates calls that overload the replica of "m0", and single calls of all
   other models. */
static void
simulate_busy_and_rare (struct sim *m, int model_count)
{
  char model[16];

  for (int j = 0; j < 500; j++)
    {
      const struct node_demand busy = { .service = STR ("lm"),
                                        .model = STR ("m0"),
                                        .running = 16,
                                        .arrivals = j % 5 == 0 };

      fleet_begin_digest (m->fleet, STR ("node"), m->now);
      fleet_add_node_demand (m->fleet, STR ("node"), &busy, m->now);
      for (int i = 1; i < model_count; i++)
        {
          snprintf (model, sizeof model, "m%d", i);
          const struct node_demand rare = { .service = STR ("lm"),
                                            .model = str_from (model),
                                            .arrivals = j % 200 == i };

          fleet_add_node_demand (m->fleet, STR ("node"), &rare, m->now);
        }
      sim_tick (m);
    }
}

/* Guards against a model whose calls overload its only replica while models
   with few calls keep theirs: demand moves from one model to another. */
static void
test_crowded (void)
{
  struct sim m = sim_create (13, 0);

  sim_remove_server (&m, 0);
  sim_fill_disks (&m, MODELS);
  simulate_calls (&m, 5000);
  simulate_busy_and_rare (&m, MODELS);
  CU_ASSERT_TRUE (sim_live_replicas (&m, "m0") >= 2);
  sim_destroy (&m);
}

/* Guards against a new holder that treats busy models as unused, because a
   node with waiting calls reports its demand before the others do, or because
   the holder has counted no calls before its term. */
static void
test_takeover (void)
{
  struct sim m = sim_create (17, 0);
  int absent = 0;

  sim_remove_server (&m, 0);
  sim_fill_disks (&m, MODELS);
  wait_for_replica (&m, false, 5000);
  simulate_calls (&m, 5000);
  wait_for_replica (&m, false, 5000);
  m.fence++;
  fleet_begin_term (m.fleet, 0, m.now);
  for (int i = 0; i < 200; i++)
    {
      const struct node_demand busy = { .service = STR ("lm"),
                                        .model = STR ("m0"),
                                        .arrivals = i % 50 == 40,
                                        .rate = 10,
                                        .idle_ms = 100 };
      char model[16];

      fleet_begin_digest (m.fleet, STR ("first"), m.now);
      for (int j = 1; j < MODELS; j++)
        {
          snprintf (model, sizeof model, "m%d", j);
          const struct node_demand waits = { .service = STR ("lm"),
                                             .model = str_from (model),
                                             .waiting = 1 };
          fleet_add_node_demand (m.fleet, STR ("first"), &waits, m.now);
        }
      if (i >= 30)
        {
          fleet_begin_digest (m.fleet, STR ("second"), m.now);
          fleet_add_node_demand (m.fleet, STR ("second"), &busy, m.now);
        }
      sim_tick (&m);
      absent += sim_live_replicas (&m, "m0") == 0;
    }
  CU_ASSERT_EQUAL (absent, 0);
  sim_destroy (&m);
}

/* Guards against an overloaded model that gets no second replica because many
   models in use have neither a replica nor memory for one. At a site that had
   grown, 1,500 calls found all servers of one model full. */
static void
test_crowded_among_many (void)
{
  struct sim m = sim_create_with (19, 0, MODELS_MAX);

  sim_remove_server (&m, 0);
  sim_fill_disks (&m, MODELS_MAX);
  wait_for_replica (&m, false, 5000);
  simulate_busy_and_rare (&m, MODELS_MAX);
  CU_ASSERT_TRUE (sim_live_replicas (&m, "m0") >= 2);
  sim_destroy (&m);
}

static const struct suite_case cases[] = {
  { "crowded among many", test_crowded_among_many },
  { "takeover", test_takeover },
  { "crowded", test_crowded },
  { "no eviction without waiting call", test_no_waiting_call },
  { "more models than memory", test_more_models_than_memory },
  { "weights cached elsewhere", test_weights_cached_elsewhere },
  { "limits", test_limits },
  { "server down", test_server_down },
  { "served", test_served },
  { "busy model keeps its replica", test_busy_model_keeps_replica },
};
TEST_SUITE ("fleet", cases)
