#include "edge/fleet.h"

#include <jansson.h>

#include "platform/routingcodec.h"

#include "suite.h"

/* Single decisions of the plan, on one server that holds what a case says. */

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
      "{s:i, s:[], s:[{s:s, s:{s:i, s:i, s:i, s:i, s:[o, o, o, o]}}]}",
      "version", 1, "routes", "services", "name", "lm", "engine", "slots", 8,
      "weights_mb", SERVER_MB, "adapter_slots", 2, "loads_per_s", 3, "models",
      model_json ("a", SMALL_MB), model_json ("b", SMALL_MB),
      model_json ("c", SMALL_MB), model_json ("large", LARGE_MB));
  struct routing *r = routing_decode (json);

  json_decref (json);
  return r;
}

/* One server that holds a, b and c and has all weights on its disk. */
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

  fleet_routing (f, routing, 5000);
  fleet_term (f, 0, 1);
  fleet_entry (f, &entry);
  CU_ASSERT_PTR_NOT_NULL (fleet_next_report (f, NOW));
  fleet_report (f, STR ("i-1"), &report, NOW);
  return f;
}

/* Calls that run on models, by their letters, while one waits for "large". */
static void
tell (struct fleet *f, const char *running)
{
  const struct fleet_wish waits
      = { .service = STR ("lm"), .model = STR ("large"), .waiting = 1 };

  fleet_node_begin (f, STR ("node"), NOW);
  fleet_node_wish (f, STR ("node"), &waits, NOW);
  for (const char *p = running; *p; p++)
    {
      const struct fleet_wish runs = {
        .service = STR ("lm"), .model = { p, 1 }, .running = 1, .rate = 1
      };

      fleet_node_wish (f, STR ("node"), &runs, NOW);
    }
}

/* Guards against a replica that goes for a large model although the rest of
   the room cannot be made: a server gave up two models in turn and loaded the
   large one 7 s later. */
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

      tell (f, cases[i].running);
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

static const struct suite_case cases[]
    = { { "room for a large model", test_room_for_large } };
TEST_SUITE ("plan", cases)
