#include "edge/pool.h"

#include "suite.h"

static const struct engine_spec engine = { .batch = 4 };

/* An entry whose strings are literals. */
static struct server_entry
entry (const char *id, const char *domain, uint64_t started_ms,
       enum server_state state)
{
  return (struct server_entry){ .id = str_from (id),
                                .service = STR ("s"),
                                .address = STR ("10.0.0.1:80"),
                                .domain = str_from (domain),
                                .state = state,
                                .started_ms = started_ms,
                                .slots = 4 };
}

static void
add (struct pool *p, const char *id, const char *domain, uint64_t now)
{
  const struct server_entry e = entry (id, domain, 0, SERVER_READY);

  pool_update (p, &e, now);
}

static struct pool_server *
choose (struct pool *p, const struct pool_need *need, uint64_t now,
        enum pool_verdict expected)
{
  struct pool_server *s = NULL;

  CU_ASSERT_EQUAL (pool_choose (p, need, now, &s), expected);
  return s;
}

static const struct pool_need plain
    = { .service = { "s", 1 }, .domain = { "a", 1 } };

/* Guards against calls to a server that once said it leaves, whatever entries
   come later, unless it started again. */
static void
test_leaving (void)
{
  struct pool *p = pool_create ();
  const struct server_entry leaves = entry ("i-1", "a", 1000, SERVER_LEAVING);
  const struct server_entry ready = entry ("i-1", "a", 1000, SERVER_READY);
  const struct server_entry older = entry ("i-1", "a", 900, SERVER_READY);
  const struct server_entry again = entry ("i-1", "a", 2000, SERVER_READY);

  pool_update (p, &ready, 10);
  choose (p, &plain, 10, POOL_CHOSEN);
  pool_update (p, &leaves, 20);
  choose (p, &plain, 20, POOL_NO_SERVER);
  pool_update (p, &ready, 30);
  pool_update (p, &older, 30);
  choose (p, &plain, 30, POOL_NO_SERVER);
  pool_remove (p, STR ("i-1"), 40);
  pool_update (p, &ready, 50);
  choose (p, &plain, 50, POOL_NO_SERVER);
  pool_update (p, &again, 60);
  choose (p, &plain, 60, POOL_CHOSEN);
  pool_destroy (p);
}

/* Guards against servers that are given up because their entries lapsed while
   the store was away, and against ones that are used for ever after. */
static void
test_lapse (void)
{
  struct pool *p = pool_create ();

  pool_store_reachable (p, true, 1000);
  add (p, "i-1", "a", 1000);
  add (p, "i-2", "a", 1000);
  pool_remove (p, STR ("i-1"), 60000);
  CU_ASSERT_PTR_NOT_NULL (choose (p, &plain, 60000, POOL_CHOSEN));
  pool_remove (p, STR ("i-2"), 60000);
  choose (p, &plain, 60000, POOL_NO_SERVER);

  add (p, "i-1", "a", 61000);
  pool_store_reachable (p, false, 62000);
  choose (p, &plain, 69000, POOL_CHOSEN);
  pool_store_reachable (p, true, 70000);
  pool_remove (p, STR ("i-1"), 70100);
  choose (p, &plain, 70100, POOL_CHOSEN);
  choose (p, &plain, 71500, POOL_CHOSEN);
  choose (p, &plain, 72100, POOL_NO_SERVER);
  add (p, "i-1", "a", 72200);
  choose (p, &plain, 72200, POOL_CHOSEN);
  pool_destroy (p);
}

/* Guards against entries of other writers that hide a server for good. */
static void
test_unreadable (void)
{
  struct pool *p = pool_create ();

  add (p, "i-1", "a", 10);
  pool_unreadable (p, STR ("i-1"));
  pool_unreadable (p, STR ("unknown"));
  choose (p, &plain, 10, POOL_NO_SERVER);
  add (p, "i-1", "a", 20);
  choose (p, &plain, 20, POOL_CHOSEN);
  pool_destroy (p);
}

/* Guards against calls that go to a loaded, distant or failing server while a
   better one is there, and against a service without a server because all
   failed once. */
static void
test_preference (void)
{
  struct pool *p = pool_create ();

  add (p, "i-1", "b", 10);
  add (p, "i-2", "a", 10);
  struct pool_server *near = choose (p, &plain, 10, POOL_CHOSEN);
  CU_ASSERT (str_eq (pool_server_id (near), STR ("i-2")));
  pool_begin (near);
  struct pool_server *far = choose (p, &plain, 10, POOL_CHOSEN);
  CU_ASSERT (str_eq (pool_server_id (far), STR ("i-1")));
  pool_end (near);
  pool_failed (near, 100);
  CU_ASSERT_PTR_EQUAL (choose (p, &plain, 110, POOL_CHOSEN), far);
  pool_failed (far, 100);
  CU_ASSERT_PTR_NOT_NULL (choose (p, &plain, 110, POOL_CHOSEN));
  CU_ASSERT_PTR_EQUAL (choose (p, &plain, 60000, POOL_CHOSEN), near);
  pool_replaced (near);
  CU_ASSERT_PTR_EQUAL (choose (p, &plain, 60000, POOL_CHOSEN), far);
  pool_destroy (p);
}

static void
hold (struct pool *p, const char *id, const char *model, enum held_state state,
      const char *adapter, uint64_t orders, uint64_t now)
{
  const struct str adapters[] = { str_from (adapter) };
  const struct holding holding = { .model = str_from (model),
                                   .state = state,
                                   .ready_in_ms = 400,
                                   .adapters = adapters,
                                   .adapter_count = adapter ? 1 : 0 };
  const struct pool_view view = { .server = str_hash (str_from (id), 0),
                                  .order_count = orders,
                                  .placed = true,
                                  .holdings = &holding,
                                  .holding_count = 1 };

  pool_apply_view (p, &view, now);
}

/* Guards against calls to servers without the model or adapter, and against
   old news of the holder that replaces newer ones. */
static void
test_models (void)
{
  struct pool *p = pool_create ();
  struct pool_need need = { .service = STR ("s"),
                            .engine = &engine,
                            .model = STR ("m"),
                            .domain = STR ("a") };

  add (p, "i-1", "a", 10);
  choose (p, &need, 10, POOL_NO_MODEL);
  CU_ASSERT_EQUAL (pool_ready_in (p, &need, 10), UINT32_MAX);
  hold (p, "i-1", "m", HELD_LOADING, NULL, 1, 10);
  choose (p, &need, 10, POOL_NO_MODEL);
  CU_ASSERT_EQUAL (pool_ready_in (p, &need, 110), 300);
  hold (p, "i-1", "m", HELD_READY, "a1", 2, 20);
  struct pool_server *s = choose (p, &need, 20, POOL_CHOSEN);
  hold (p, "i-1", "other", HELD_READY, NULL, 1, 30);
  choose (p, &need, 30, POOL_CHOSEN);
  need.adapter = STR ("a2");
  choose (p, &need, 30, POOL_NO_ADAPTER);
  need.adapter = STR ("a1");
  choose (p, &need, 30, POOL_CHOSEN);
  pool_misplaced (s, STR ("m"), STR ("a1"), 30);
  choose (p, &need, 30, POOL_NO_ADAPTER);
  choose (p, &need, 2000, POOL_CHOSEN);
  need.adapter = (struct str){ 0 };
  for (int i = 0; i < 4; i++)
    pool_begin (s);
  choose (p, &need, 30, POOL_FULL);
  pool_end (s);
  choose (p, &need, 30, POOL_CHOSEN);
  hold (p, "i-1", "m", HELD_UNLOADING, NULL, 3, 40);
  choose (p, &need, 40, POOL_NO_MODEL);
  pool_destroy (p);
}

/* Guards against calls that go again and again to a server that is down, which
   are refused after a few tries, while the model could be loaded elsewhere. */
static void
test_unreached (void)
{
  struct pool *p = pool_create ();
  const struct pool_need need = { .service = STR ("s"),
                                  .engine = &engine,
                                  .model = STR ("m"),
                                  .domain = STR ("a") };
  struct pool_load loads[2];

  add (p, "i-1", "a", 10);
  hold (p, "i-1", "m", HELD_READY, NULL, 1, 10);
  struct pool_server *s = choose (p, &need, 20, POOL_CHOSEN);
  CU_ASSERT_EQUAL (pool_loads (p, 20, loads, 2), 0);
  pool_unreached (s, 20);
  choose (p, &need, 21, POOL_NO_MODEL);
  CU_ASSERT_EQUAL (pool_loads (p, 21, loads, 2), 1);
  CU_ASSERT_TRUE (loads[0].unreached);
  CU_ASSERT_EQUAL (loads[0].running, 0);
  choose (p, &plain, 21, POOL_CHOSEN);
  /* Old news is not told: the holder would ask the server for ever. */
  CU_ASSERT_EQUAL (pool_loads (p, 5000, loads, 2), 0);
  /* It is tried again, since only this node's path may have been cut. */
  CU_ASSERT_PTR_EQUAL (choose (p, &need, 1000, POOL_CHOSEN), s);
  pool_unreached (s, 1000);
  pool_served (s);
  choose (p, &need, 1001, POOL_CHOSEN);
  CU_ASSERT_EQUAL (pool_loads (p, 1001, loads, 2), 0);
  pool_destroy (p);
}

/* Guards against calls that are sent again and again to servers that turn them
   away, which uses up the retry budget of all calls: the pattern of one model
   that many nodes ask for at once, whose counts of each other's calls are
   late. */
static void
test_turned_away (void)
{
  struct pool *p = pool_create ();
  const struct pool_need need = { .service = STR ("s"),
                                  .engine = &engine,
                                  .model = STR ("m"),
                                  .domain = STR ("a") };
  unsigned sends = 0;

  add (p, "i-1", "a", 10);
  add (p, "i-2", "a", 10);
  hold (p, "i-1", "m", HELD_READY, NULL, 1, 10);
  hold (p, "i-2", "m", HELD_READY, NULL, 1, 10);
  for (uint64_t now = 1000; now < 4000; now += 5)
    {
      struct pool_server *s;

      if (pool_choose (p, &need, now, &s) != POOL_CHOSEN)
        continue;
      sends++;
      pool_turned_away (s, now);
    }
  /* About one a second for each server, and the first ones. */
  CU_ASSERT_TRUE (sends <= 2 * (3 + 5));
  CU_ASSERT_TRUE (sends >= 2 * 3);
  struct pool_server *s = choose (p, &need, 9000, POOL_CHOSEN);
  pool_turned_away (s, 9000);
  pool_served (s);
  choose (p, &need, 9001, POOL_CHOSEN);
  pool_destroy (p);
}

static const struct suite_case cases[] = {
  { "turned away", test_turned_away },
  { "leaving", test_leaving },
  { "lapse", test_lapse },
  { "unreadable", test_unreadable },
  { "preference", test_preference },
  { "models", test_models },
  { "unreached", test_unreached },
};
TEST_SUITE ("pool", cases)
