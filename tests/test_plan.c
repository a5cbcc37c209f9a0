#include "edge/fleet.h"

#include <jansson.h>

#include "platform/routingcodec.h"

#include "suite.h"

/* Tests single decisions of the plan, on servers that hold the models that
   each case lists. */

#define NOW 100000
#define SMALL_MB 30
#define LARGE_MB 60
#define SERVER_MB 95

static json_t *
model_json (const char *name, int mb)
{
  return json_pack ("{s:s, s:i, s:f, s:f, s:f, s:i, s:f}", "name", name,
                    "weights_mb", mb, "load_s", 6.0, "warm_s", 0.3, "disk_s",
                    0.4, "adapters", 0, "adapter_mb", 1.0);
}

static struct routing *
routing_create (void)
{
  json_t *json = json_pack (
      "{s:i, s:[], s:[{s:s, s:{s:i, s:i, s:i, s:i, s:[o, o, o, o, o]}}]}",
      "version", 1, "routes", "services", "name", "lm", "engine", "slots", 8,
      "weights_mb", SERVER_MB, "adapter_slots", 2, "loads_per_s", 3, "models",
      model_json ("a", SMALL_MB), model_json ("b", SMALL_MB),
      model_json ("c", SMALL_MB), model_json ("d", SMALL_MB),
      model_json ("large", LARGE_MB));
  struct routing *r = routing_decode (json);

  json_decref (json);
  return r;
}

/* Creates a fleet of one server that holds a, b and c, and has their weights
   and those of "large" on its disk. */
static struct fleet *
fleet_with_server (const struct routing *routing)
{
  struct held_model held[] = { { .name = STR ("a") },
                               { .name = STR ("b") },
                               { .name = STR ("c") } };
  struct str disk[] = { STR ("a"), STR ("b"), STR ("c"), STR ("large") };
  const struct server_entry entry = { .id = STR ("i-1"),
                                      .service = STR ("lm"),
                                      .address = STR ("10.0.0.1:80"),
                                      .domain = STR ("d"),
                                      .started_ms = 1,
                                      .slots = 8 };
  const struct server_report report = {
    .started_ms = 1, .models = held, .model_count = 3, .on_disk = { disk, 4 }
  };
  struct fleet *f = fleet_create ();

  fleet_set_routing (f, routing, 5000);
  fleet_begin_term (f, 0, 1);
  fleet_update_server (f, &entry);
  CU_ASSERT_PTR_NOT_NULL (fleet_next_report (f, NOW));
  fleet_report (f, STR ("i-1"), &report, NOW);
  return f;
}

/* Reports the demand of one node: a running call for each model whose letter
   is in @running, and a call that waits for "large". */
static void
report_demand (struct fleet *f, const char *running)
{
  const struct node_demand waits
      = { .service = STR ("lm"), .model = STR ("large"), .waiting = 1 };

  fleet_begin_digest (f, STR ("node"), NOW);
  fleet_add_node_demand (f, STR ("node"), &waits, NOW);
  for (const char *p = running; *p; p++)
    {
      const struct node_demand runs = {
        .service = STR ("lm"), .model = { p, 1 }, .running = 1, .rate = 1
      };

      fleet_add_node_demand (f, STR ("node"), &runs, NOW);
    }
}

/* Guards against unloading a replica for a large model when the rest of the
   memory cannot be freed: a server unloaded two models one after the other and
   loaded the large one 7 s later. */
static void
test_room_for_large (void)
{
  static const struct
  {
    const char *running;
    bool unloads;
  } cases[]
      = { { "abc", false }, { "ac", false }, { "c", true }, { "", true } };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct routing *routing = routing_create ();
      struct fleet *f = fleet_with_server (routing);
      struct order order = { 0 };
      struct order_reason why;

      report_demand (f, cases[i].running);
      const bool ordered = fleet_next_order (f, NOW, &order, &why) != NULL;
      CU_ASSERT_EQUAL (ordered, cases[i].unloads);
      if (ordered)
        {
          CU_ASSERT_EQUAL (order.kind, ORDER_UNLOAD);
          CU_ASSERT_FALSE (str_eq (order.model, STR ("c"))
                           && cases[i].running[0] == 'c');
          CU_ASSERT_TRUE (str_eq (why.for_model, STR ("large")));
        }
      fleet_destroy (f);
      routing_destroy (routing);
    }
}

#define SERVERS_MAX 3
#define CROWDED_RUNNING 40

/* The models of a server, by their letters: those that it holds, and further
   ones whose weights are on its disk. */
struct server_models
{
  const char *loaded;
  const char *on_disk;
};

static void
add_server (struct fleet *f, const char *id, const struct server_models *h)
{
  struct held_model held[4];
  struct str disk[8];
  size_t held_count = 0;
  size_t disk_count = 0;
  const struct server_entry entry = { .id = str_from (id),
                                      .service = STR ("lm"),
                                      .address = STR ("10.0.0.1:80"),
                                      .domain = str_from (id),
                                      .started_ms = 1,
                                      .slots = 8 };

  for (const char *p = h->loaded; *p; p++)
    {
      held[held_count++] = (struct held_model){ .name = { p, 1 } };
      disk[disk_count++] = (struct str){ p, 1 };
    }
  for (const char *p = h->on_disk; *p; p++)
    disk[disk_count++] = (struct str){ p, 1 };
  const struct server_report report = { .started_ms = 1,
                                        .models = held,
                                        .model_count = held_count,
                                        .on_disk = { disk, disk_count } };
  fleet_update_server (f, &entry);
  CU_ASSERT_PTR_NOT_NULL (fleet_next_report (f, NOW));
  fleet_report (f, entry.id, &report, NOW);
}

/* Guards against a crowded model that gets no further replica because all
   servers with its weights already hold it: after a power loss three servers
   refused most calls of one model for 20 s, while others held idle models. */
static void
test_crowded_on_all_copies (void)
{
  static const struct
  {
    struct server_models servers[SERVERS_MAX];
    const char *server; /* id of the one that frees memory for "a", or NULL */
    bool crowded;
  } cases[] = {
    { { { "abc", "" }, { "abc", "" }, { "bcd", "" } }, NULL, false },
    /* Loaded from the weight store, in place of an idle model. */
    { { { "a", "bc" }, { "a", "bc" }, { "bcd", "" } }, "2", true },
    /* A server that has the weights on its disk is preferred. */
    { { { "a", "bc" }, { "bcd", "a" }, { "bcd", "" } }, "1", true },
  };
  static const char *const ids[] = { "0", "1", "2" };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct routing *routing = routing_create ();
      struct fleet *f = fleet_create ();
      const struct node_demand demand
          = { .service = STR ("lm"),
              .model = STR ("a"),
              .running = cases[i].crowded ? CROWDED_RUNNING : 1,
              .rate = 20 };
      struct order order = { 0 };
      struct order_reason why;

      fleet_set_routing (f, routing, 5000);
      fleet_begin_term (f, 0, 1);
      for (size_t j = 0; j < SERVERS_MAX; j++)
        add_server (f, ids[j], &cases[i].servers[j]);
      fleet_begin_digest (f, STR ("node"), NOW);
      fleet_add_node_demand (f, STR ("node"), &demand, NOW);
      const struct fleet_server *s = fleet_next_order (f, NOW, &order, &why);
      CU_ASSERT_EQUAL (s != NULL, cases[i].server != NULL);
      if (s && cases[i].server)
        {
          CU_ASSERT_EQUAL (order.kind, ORDER_UNLOAD);
          CU_ASSERT_TRUE (str_eq (why.for_model, STR ("a")));
          CU_ASSERT_TRUE (
              str_eq (fleet_server_id (s), str_from (cases[i].server)));
        }
      fleet_destroy (f);
      routing_destroy (routing);
    }
}

struct published_views
{
  char ids[8]; /* of servers, in the order of their publication */
  size_t count;
  size_t limit;
};

static bool
record_view (void *ctx, const struct fleet_view *v)
{
  struct published_views *seen = ctx;

  static const char ids[] = "0123456789";

  for (size_t i = 0; i < sizeof ids - 1; i++)
    if (v->hash == str_hash ((struct str){ &ids[i], 1 }, 0))
      seen->ids[seen->count++] = ids[i];
  return seen->count < seen->limit;
}

/* Guards against a new holder that publishes all servers to all nodes in one
   burst: the burst saturated its link, it could not renew its lease, and the
   next holder did the same. Also guards against changes that are published
   after servers that did not change. */
static void
test_views_in_batches (void)
{
  static const struct server_models holds = { "abc", "" };
  static const char *const ids[] = { "0", "1", "2" };
  struct routing *routing = routing_create ();
  struct fleet *f = fleet_create ();
  struct published_views all = { .limit = 8 };
  struct published_views part = { .limit = 1 };
  struct published_views rest = { .limit = 8 };

  fleet_set_routing (f, routing, 5000);
  fleet_begin_term (f, 0, 1);
  for (size_t i = 0; i < 3; i++)
    add_server (f, ids[i], &holds);
  CU_ASSERT_TRUE (fleet_each_changed (f, NOW, 60000, record_view, &all));
  CU_ASSERT_EQUAL (all.count, 3);
  fleet_republish (f);
  CU_ASSERT_FALSE (fleet_each_changed (f, NOW, 60000, record_view, &part));
  CU_ASSERT_EQUAL (part.count, 1);
  CU_ASSERT_TRUE (fleet_has_updates (f, NOW));
  add_server (f, "9", &holds);
  CU_ASSERT_TRUE (fleet_each_changed (f, NOW, 60000, record_view, &rest));
  CU_ASSERT_EQUAL (rest.count, 3);
  CU_ASSERT_EQUAL (rest.ids[0], '9');
  CU_ASSERT_FALSE (fleet_has_updates (f, NOW));
  fleet_destroy (f);
  routing_destroy (routing);
}

static const struct suite_case cases[] = {
  { "views published in batches", test_views_in_batches },
  { "room for a large model", test_room_for_large },
  { "crowded on all servers with the weights", test_crowded_on_all_copies },
};
TEST_SUITE ("plan", cases)
