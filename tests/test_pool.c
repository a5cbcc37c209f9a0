#include "edge/pool.h"

#include "suite.h"

static const struct engine_spec engine = { .batch = 4 };

/* Returns an entry whose strings are not owned by it. */
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
choose (struct pool *p, const struct pool_criteria *criteria, uint64_t now,
        enum pool_result expected)
{
  struct pool_server *s = NULL;

  CU_ASSERT_EQUAL (pool_choose (p, criteria, now, &s), expected);
  return s;
}

static const struct pool_criteria plain_criteria
    = { .service = { "s", 1 }, .domain = { "a", 1 } };

/* Guards against calls to a server that reported that it is leaving. Later
   entries must not make it usable again unless it restarted. */
static void
test_leaving (void)
{
  struct pool *p = pool_create ();
  const struct server_entry leaves = entry ("i-1", "a", 1000, SERVER_DRAINING);
  const struct server_entry ready = entry ("i-1", "a", 1000, SERVER_READY);
  const struct server_entry older = entry ("i-1", "a", 900, SERVER_READY);
  const struct server_entry again = entry ("i-1", "a", 2000, SERVER_READY);

  pool_update (p, &ready, 10);
  choose (p, &plain_criteria, 10, POOL_CHOSEN);
  pool_update (p, &leaves, 20);
  choose (p, &plain_criteria, 20, POOL_NO_SERVER);
  pool_update (p, &ready, 30);
  pool_update (p, &older, 30);
  choose (p, &plain_criteria, 30, POOL_NO_SERVER);
  pool_remove (p, STR ("i-1"), 40);
  pool_update (p, &ready, 50);
  choose (p, &plain_criteria, 50, POOL_NO_SERVER);
  pool_update (p, &again, 60);
  choose (p, &plain_criteria, 60, POOL_CHOSEN);
  pool_destroy (p);
}

/* Guards against giving up live servers whose entries expired while the store
   had an outage, and against using such servers forever. */
static void
test_expired_entries (void)
{
  struct pool *p = pool_create ();

  add (p, "i-1", "a", 1000);
  add (p, "i-2", "a", 1000);
  pool_remove (p, STR ("i-1"), 60000);
  CU_ASSERT_PTR_NOT_NULL (choose (p, &plain_criteria, 60000, POOL_CHOSEN));
  pool_remove (p, STR ("i-2"), 60000);
  choose (p, &plain_criteria, 60000, POOL_NO_SERVER);

  add (p, "i-1", "a", 61000);
  choose (p, &plain_criteria, 69000, POOL_CHOSEN);
  pool_store_outage_ended (p, 70000);
  pool_remove (p, STR ("i-1"), 70100);
  choose (p, &plain_criteria, 70100, POOL_CHOSEN);
  choose (p, &plain_criteria, 71500, POOL_CHOSEN);
  choose (p, &plain_criteria, 72100, POOL_NO_SERVER);
  add (p, "i-1", "a", 72200);
  choose (p, &plain_criteria, 72200, POOL_CHOSEN);
  pool_destroy (p);
}

/**
 * struct restored_case - an entry that comes after the store was restored from
 * an older copy.
 * @removed: the server's entry, with start time 1000 and sequence 5, had been
 *   removed before.
 * @usable: the server gets calls after that entry.
 * @usable_later: it does once the entry has lasted for a while.
 */
struct restored_case
{
  bool removed;
  uint64_t started_ms;
  uint64_t sequence;
  bool usable;
  bool usable_later;
};

static const struct restored_case restored_cases[] = {
  { true, 1000, 5, false, true },  /* as it was when it was removed */
  { true, 1000, 4, false, false }, /* as it was before */
  { true, 900, 9, false, false },  /* of an earlier process */
  { true, 1000, 6, true, true },   /* written again by the live server */
  { true, 1100, 1, true, true },   /* written by its next process */
  { false, 1000, 5, true, true },  { false, 1000, 4, true, true },
};

/* Guards against calls to a server that is gone, because its entry is there
   again in the store's older copy, and against giving up a live server,
   whether it wrote its entry again or has nothing new to write. */
static void
test_restored_entries (void)
{
  for (size_t i = 0; i < sizeof restored_cases / sizeof *restored_cases; i++)
    {
      const struct restored_case *c = &restored_cases[i];
      struct pool *p = pool_create ();
      struct server_entry e = entry ("i-1", "a", 1000, SERVER_READY);

      e.sequence = 5;
      CU_ASSERT (pool_update (p, &e, 10));
      if (c->removed)
        pool_remove (p, e.id, 1000);
      pool_store_restored (p, 2000);
      e.started_ms = c->started_ms;
      e.sequence = c->sequence;
      pool_update (p, &e, 2010);
      choose (p, &plain_criteria, 5000,
              c->usable ? POOL_CHOSEN : POOL_NO_SERVER);
      choose (p, &plain_criteria, 15000,
              c->usable_later ? POOL_CHOSEN : POOL_NO_SERVER);
      /* The store removes the entry once more if the server is gone. */
      pool_remove (p, e.id, 15000);
      choose (p, &plain_criteria, 15000, POOL_NO_SERVER);
      pool_destroy (p);
    }
}

/* Guards against a server that stays unusable after another writer overwrote
   its entry once. */
static void
test_unreadable (void)
{
  struct pool *p = pool_create ();

  add (p, "i-1", "a", 10);
  pool_entry_unreadable (p, STR ("i-1"));
  pool_entry_unreadable (p, STR ("unknown"));
  choose (p, &plain_criteria, 10, POOL_NO_SERVER);
  add (p, "i-1", "a", 20);
  choose (p, &plain_criteria, 20, POOL_CHOSEN);
  pool_destroy (p);
}

/* Guards against sending calls to a loaded, remote or failing server while a
   better one is available, and against a service without a usable server
   because all servers failed once. */
static void
test_preference (void)
{
  struct pool *p = pool_create ();

  add (p, "i-1", "b", 10);
  add (p, "i-2", "a", 10);
  struct pool_server *near_server
      = choose (p, &plain_criteria, 10, POOL_CHOSEN);
  CU_ASSERT (str_eq (pool_server_id (near_server), STR ("i-2")));
  pool_call_started (near_server);
  struct pool_server *far_server
      = choose (p, &plain_criteria, 10, POOL_CHOSEN);
  CU_ASSERT (str_eq (pool_server_id (far_server), STR ("i-1")));
  pool_call_ended (near_server);
  pool_call_failed (near_server, 100);
  CU_ASSERT_PTR_EQUAL (choose (p, &plain_criteria, 110, POOL_CHOSEN),
                       far_server);
  pool_call_failed (far_server, 100);
  CU_ASSERT_PTR_NOT_NULL (choose (p, &plain_criteria, 110, POOL_CHOSEN));
  CU_ASSERT_PTR_EQUAL (choose (p, &plain_criteria, 60000, POOL_CHOSEN),
                       near_server);
  pool_server_replaced (near_server);
  CU_ASSERT_PTR_EQUAL (choose (p, &plain_criteria, 60000, POOL_CHOSEN),
                       far_server);
  pool_destroy (p);
}

static void
hold (struct pool *p, const char *id, const char *model,
      enum pool_model_state state, const char *adapter, uint64_t orders,
      uint64_t now)
{
  const struct str adapters[] = { str_from (adapter) };
  const struct pool_model_info holding = { .model = str_from (model),
                                           .state = state,
                                           .ready_in_ms = 400,
                                           .adapters = adapters,
                                           .adapter_count = adapter ? 1 : 0 };
  const struct pool_view view = { .server = str_hash (str_from (id), 0),
                                  .order_count = orders,
                                  .models_known = true,
                                  .models = &holding,
                                  .model_count = 1 };

  pool_apply_view (p, &view, now);
}

/* Guards against sending calls to servers without the model or adapter, and
   against an old report of the placement holder that replaces a newer one. */
static void
test_models (void)
{
  struct pool *p = pool_create ();
  struct pool_criteria criteria = { .service = STR ("s"),
                                    .engine = &engine,
                                    .model = STR ("m"),
                                    .domain = STR ("a") };

  add (p, "i-1", "a", 10);
  choose (p, &criteria, 10, POOL_NO_MODEL);
  CU_ASSERT_EQUAL (pool_ready_in (p, &criteria, 10), UINT32_MAX);
  hold (p, "i-1", "m", POOL_MODEL_LOADING, NULL, 1, 10);
  choose (p, &criteria, 10, POOL_NO_MODEL);
  CU_ASSERT_EQUAL (pool_ready_in (p, &criteria, 110), 300);
  hold (p, "i-1", "m", POOL_MODEL_READY, "a1", 2, 20);
  struct pool_server *s = choose (p, &criteria, 20, POOL_CHOSEN);
  hold (p, "i-1", "other", POOL_MODEL_READY, NULL, 1, 30);
  choose (p, &criteria, 30, POOL_CHOSEN);
  criteria.adapter = STR ("a2");
  choose (p, &criteria, 30, POOL_NO_ADAPTER);
  criteria.adapter = STR ("a1");
  choose (p, &criteria, 30, POOL_CHOSEN);
  pool_model_missing (s, STR ("m"), STR ("a1"), 30);
  choose (p, &criteria, 30, POOL_NO_ADAPTER);
  choose (p, &criteria, 2000, POOL_CHOSEN);
  criteria.adapter = (struct str){ 0 };
  for (int i = 0; i < 4; i++)
    pool_call_started (s);
  choose (p, &criteria, 30, POOL_FULL);
  pool_call_ended (s);
  choose (p, &criteria, 30, POOL_CHOSEN);
  hold (p, "i-1", "m", POOL_MODEL_UNLOADING, NULL, 3, 40);
  choose (p, &criteria, 40, POOL_NO_MODEL);
  pool_destroy (p);
}

/* Guards against sending calls repeatedly to a server that is down, until they
   are refused, although the model could be loaded elsewhere. */
static void
test_unreachable (void)
{
  struct pool *p = pool_create ();
  const struct pool_criteria criteria = { .service = STR ("s"),
                                          .engine = &engine,
                                          .model = STR ("m"),
                                          .domain = STR ("a") };
  struct pool_load_report loads[2];

  add (p, "i-1", "a", 10);
  hold (p, "i-1", "m", POOL_MODEL_READY, NULL, 1, 10);
  struct pool_server *s = choose (p, &criteria, 20, POOL_CHOSEN);
  CU_ASSERT_EQUAL (pool_report_loads (p, 20, loads, 2), 0);
  pool_connect_failed (s, 20);
  choose (p, &criteria, 21, POOL_NO_MODEL);
  CU_ASSERT_EQUAL (pool_report_loads (p, 21, loads, 2), 1);
  CU_ASSERT_TRUE (loads[0].unreached);
  CU_ASSERT_EQUAL (loads[0].running, 0);
  choose (p, &plain_criteria, 21, POOL_CHOSEN);
  /* An old failure is not reported, or the holder would probe forever. */
  CU_ASSERT_EQUAL (pool_report_loads (p, 5000, loads, 2), 0);
  /* The server is tried again, since only this node may be cut off from it. */
  CU_ASSERT_PTR_EQUAL (choose (p, &criteria, 1000, POOL_CHOSEN), s);
  pool_connect_failed (s, 1000);
  pool_call_served (s);
  choose (p, &criteria, 1001, POOL_CHOSEN);
  CU_ASSERT_EQUAL (pool_report_loads (p, 1001, loads, 2), 0);
  pool_destroy (p);
}

/* Guards against sending calls repeatedly to servers that reject them, which
   uses up the retry budget of all calls. It happens when many nodes send calls
   for one model at once, as their counts of each other's calls lag. */
static void
test_turned_away (void)
{
  struct pool *p = pool_create ();
  const struct pool_criteria criteria = { .service = STR ("s"),
                                          .engine = &engine,
                                          .model = STR ("m"),
                                          .domain = STR ("a") };
  unsigned sends = 0;

  add (p, "i-1", "a", 10);
  add (p, "i-2", "a", 10);
  hold (p, "i-1", "m", POOL_MODEL_READY, NULL, 1, 10);
  hold (p, "i-2", "m", POOL_MODEL_READY, NULL, 1, 10);
  for (uint64_t now = 1000; now < 4000; now += 5)
    {
      struct pool_server *s;

      if (pool_choose (p, &criteria, now, &s) != POOL_CHOSEN)
        continue;
      sends++;
      pool_call_rejected (s, now);
    }
  /* About one send per second and server, plus the first ones. */
  CU_ASSERT_TRUE (sends <= 2 * (3 + 5));
  CU_ASSERT_TRUE (sends >= 2 * 3);
  struct pool_server *s = choose (p, &criteria, 9000, POOL_CHOSEN);
  pool_call_rejected (s, 9000);
  pool_call_served (s);
  choose (p, &criteria, 9001, POOL_CHOSEN);
  pool_destroy (p);
}

/* Guards against calls to a server that said in a response that it is leaving.
   Entries that say "ready" must not make it usable again unless it
   restarted. */
static void
test_leaving_response (void)
{
  struct pool *p = pool_create ();
  const struct server_entry ready = entry ("i-1", "a", 1000, SERVER_READY);
  const struct server_entry again = entry ("i-1", "a", 2000, SERVER_READY);
  struct pool_server *s;

  pool_update (p, &ready, 10);
  s = choose (p, &plain_criteria, 10, POOL_CHOSEN);
  CU_ASSERT_TRUE (pool_server_announced_leaving (s));
  CU_ASSERT_FALSE (pool_server_announced_leaving (s));
  choose (p, &plain_criteria, 20, POOL_NO_SERVER);
  pool_update (p, &ready, 30);
  choose (p, &plain_criteria, 30, POOL_NO_SERVER);
  pool_update (p, &again, 40);
  choose (p, &plain_criteria, 40, POOL_CHOSEN);
  pool_destroy (p);
}

/* Guards against calls to a server before the time that it asked for, against
   leaving it alone for longer, also after a restart. */
static void
test_retry_after (void)
{
  struct pool *p = pool_create ();
  const struct server_entry first = entry ("i-1", "a", 1000, SERVER_READY);
  const struct server_entry second = entry ("i-2", "b", 1000, SERVER_READY);
  const struct server_entry again = entry ("i-2", "b", 2000, SERVER_READY);
  struct pool_server *s;

  pool_update (p, &first, 10);
  pool_update (p, &second, 10);
  s = choose (p, &plain_criteria, 10, POOL_CHOSEN);
  CU_ASSERT (str_eq (pool_server_id (s), STR ("i-1")));
  CU_ASSERT_EQUAL (pool_deferred_for (p, &plain_criteria, 10), UINT32_MAX);
  pool_defer_calls (s, 1010);
  /* An answer that was under way asks for less. */
  pool_defer_calls (s, 500);
  s = choose (p, &plain_criteria, 600, POOL_CHOSEN);
  CU_ASSERT (str_eq (pool_server_id (s), STR ("i-2")));
  pool_defer_calls (s, 3000);
  choose (p, &plain_criteria, 700, POOL_DEFERRED);
  CU_ASSERT_EQUAL (pool_deferred_for (p, &plain_criteria, 700), 310);
  s = choose (p, &plain_criteria, 1010, POOL_CHOSEN);
  CU_ASSERT (str_eq (pool_server_id (s), STR ("i-1")));
  pool_defer_calls (s, 3000);
  pool_update (p, &again, 1200);
  s = choose (p, &plain_criteria, 1200, POOL_CHOSEN);
  CU_ASSERT (str_eq (pool_server_id (s), STR ("i-2")));
  pool_destroy (p);
}

/* Guards against a node that keeps the last reported models of a server whose
   list has become too large for the placement holder's digests. */
static void
test_models_omitted (void)
{
  struct pool *p = pool_create ();
  struct held_model held = { .name = STR ("new") };
  struct server_entry e = entry ("i-1", "a", 0, SERVER_READY);
  const struct pool_view omitted
      = { .server = str_hash (STR ("i-1"), 0), .models_omitted = true };
  struct pool_criteria criteria = { .service = STR ("s"),
                                    .engine = &engine,
                                    .model = STR ("new"),
                                    .domain = STR ("a") };

  e.models = &held;
  e.model_count = 1;
  add (p, "i-1", "a", 10);
  hold (p, "i-1", "old", POOL_MODEL_READY, NULL, 1, 20);
  pool_update (p, &e, 30);
  choose (p, &criteria, 30, POOL_NO_MODEL);
  pool_apply_view (p, &omitted, 40);
  pool_update (p, &e, 50);
  choose (p, &criteria, 50, POOL_CHOSEN);
  criteria.model = STR ("old");
  choose (p, &criteria, 50, POOL_NO_MODEL);
  pool_destroy (p);
}

static void
add_version (struct pool *p, const char *id, const char *version, uint64_t now)
{
  struct server_entry e = entry (id, "a", 0, SERVER_READY);

  e.software_version = str_from (version);
  pool_update (p, &e, now);
}

/* Guards against a call that goes on at a server of another software version
   than the one that began it, or waits for such a server. */
static void
test_software_version (void)
{
  static const struct
  {
    const char *entries[2]; /* versions of the servers i-0 and i-1 */
    bool bound;
    const char *version;
    enum pool_result expected;
    const char *server;
  } cases[] = {
    { { "1", "2" }, true, "1", POOL_CHOSEN, "i-0" },
    { { "1", "2" }, true, "2", POOL_CHOSEN, "i-1" },
    { { "1", "2" }, true, "3", POOL_OTHER_VERSION, NULL },
    { { "1", "2" }, true, "", POOL_OTHER_VERSION, NULL },
    { { "", "2" }, true, "", POOL_OTHER_VERSION, NULL },
    { { "", "2" }, true, "2", POOL_CHOSEN, "i-1" },
    { { "", "2" }, false, "", POOL_CHOSEN, "i-0" },
    { { "1", "2" }, false, "2", POOL_CHOSEN, "i-0" },
    { { NULL }, true, "1", POOL_NO_SERVER, NULL },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      static const char *const ids[] = { "i-0", "i-1" };
      struct pool *p = pool_create ();
      struct pool_criteria criteria = plain_criteria;

      criteria.version_bound = cases[i].bound;
      criteria.software_version = str_from (cases[i].version);
      for (size_t j = 0; j < 2 && cases[i].entries[j]; j++)
        add_version (p, ids[j], cases[i].entries[j], 10);
      const struct pool_server *s
          = choose (p, &criteria, 10, cases[i].expected);
      CU_ASSERT_EQUAL (s != NULL, cases[i].server != NULL);
      if (s)
        CU_ASSERT (str_eq (pool_server_id (s), str_from (cases[i].server)));
      pool_destroy (p);
    }
}

/* Guards against a call that waits for a load, or for the end of a time that a
   server asked for, at a server of another software version. */
static void
test_times_of_version (void)
{
  struct pool *p = pool_create ();
  struct pool_criteria criteria = { .service = STR ("s"),
                                    .engine = &engine,
                                    .model = STR ("m"),
                                    .domain = STR ("a"),
                                    .software_version = STR ("1"),
                                    .version_bound = true };

  add_version (p, "i-1", "1", 10);
  add_version (p, "i-2", "2", 10);
  hold (p, "i-2", "m", POOL_MODEL_LOADING, NULL, 1, 10);
  CU_ASSERT_EQUAL (pool_ready_in (p, &criteria, 10), UINT32_MAX);
  hold (p, "i-2", "m", POOL_MODEL_READY, NULL, 2, 10);
  pool_defer_calls (pool_find (p, STR ("i-2")), 1010);
  CU_ASSERT_EQUAL (pool_deferred_for (p, &criteria, 10), UINT32_MAX);
  choose (p, &criteria, 10, POOL_NO_MODEL);
  criteria.software_version = STR ("2");
  CU_ASSERT_EQUAL (pool_deferred_for (p, &criteria, 10), 1000);
  choose (p, &criteria, 10, POOL_DEFERRED);
  hold (p, "i-2", "m", POOL_MODEL_LOADING, NULL, 3, 10);
  CU_ASSERT_EQUAL (pool_ready_in (p, &criteria, 10), 400);
  pool_destroy (p);
}

/* Guards against a version that stays that of an earlier process of the same
   id, or of an entry that another writer overwrote. */
static void
test_version_changes (void)
{
  struct pool *p = pool_create ();

  add_version (p, "i-1", "1", 10);
  const struct pool_server *s = pool_find (p, STR ("i-1"));
  CU_ASSERT (str_eq (pool_server_software_version (s), STR ("1")));
  add_version (p, "i-1", "2", 20);
  CU_ASSERT (str_eq (pool_server_software_version (s), STR ("2")));
  add_version (p, "i-1", "", 30);
  CU_ASSERT_EQUAL (pool_server_software_version (s).len, 0);
  pool_destroy (p);
}

static const struct suite_case cases[] = {
  { "turned away", test_turned_away },
  { "leaving", test_leaving },
  { "leaving, said in a response", test_leaving_response },
  { "retry after", test_retry_after },
  { "expired entries", test_expired_entries },
  { "entries of a restored store", test_restored_entries },
  { "unreadable entry", test_unreadable },
  { "preference", test_preference },
  { "models", test_models },
  { "models omitted", test_models_omitted },
  { "unreachable server", test_unreachable },
  { "software version", test_software_version },
  { "loads and pauses of a version", test_times_of_version },
  { "version of an entry changes", test_version_changes },
};
TEST_SUITE ("pool", cases)
