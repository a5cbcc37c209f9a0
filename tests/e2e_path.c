#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "cluster_fleet.h"
#include "suite.h"

/* The whole request path: caller, entry node, scheduler, placement, engine. */

static struct fleet fleet;

/* Guards against responses that are lost or truncated, whether the model or
   adapter is already loaded (warm) or not (cold). */
static void
test_cold_and_warm (void)
{
  static const struct
  {
    const char *model;
    const char *text;
    bool stream;
  } cases[] = {
    { "lm-1", "cold stream", true },     { "lm-1", "warm stream", true },
    { "lm-1", "warm whole", false },     { "lm-2", "cold whole", false },
    { "lm-1:hr", "cold adapter", true }, { "lm-1:hr", "warm adapter", false },
  };

  if (fleet_start (&fleet, NULL))
    for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
      {
        struct cluster_reply r
            = fleet_chat (fleet.nodes[i % FLEET_NODES], cases[i].model,
                          cases[i].text, cases[i].stream);

        CU_ASSERT_TRUE (fleet_reply_complete (&r, cases[i].text));
        CU_ASSERT_TRUE (fleet_ran (&r, "yes"));
        if (!fleet_reply_complete (&r, cases[i].text))
          printf ("\n%s: status %ld curl %d " STR_FMT "\n", cases[i].text,
                  r.status, r.error, STR_ARG (buf_str (&r.body)));
        cluster_reply_free (&r);
      }
  fleet_stop (&fleet);
}

/* Checks that exactly one node reports that it holds the placement lease, and
   exactly one that it schedules the model. */
static void
check_single_holder_and_scheduler (void)
{
  size_t holders = 0;
  size_t schedulers = 0;

  for (size_t n = 0; n < FLEET_NODES; n++)
    {
      json_t *status = cluster_get_json (fleet.nodes[n], "/admin/status");
      size_t i;
      json_t *entry;

      json_array_foreach (json_object_get (status, "leases"), i, entry)
      {
        const char *name
            = json_string_value (json_object_get (entry, "lease"));
        holders += name && strcmp (name, "placement/engines") == 0
                   && json_is_true (json_object_get (entry, "held"));
      }
      json_array_foreach (json_object_get (status, "scheduled"), i, entry)
      {
        const char *model
            = json_string_value (json_object_get (entry, "model"));
        schedulers += model && strcmp (model, "lm-2") == 0;
      }
      json_decref (status);
    }
  CU_ASSERT_EQUAL (holders, 1);
  CU_ASSERT_EQUAL (schedulers, 1);
}

#define BURST_PER_NODE 20

/* Guards against one load per entry node, or per caller, when a burst of
   requests for an idle model reaches all nodes at once. */
static void
test_burst_loads_once (void)
{
  struct cluster_request *calls[FLEET_NODES * BURST_PER_NODE];
  const size_t n = sizeof calls / sizeof *calls;
  size_t whole = 0;

  if (fleet_start (&fleet, NULL))
    {
      for (size_t i = 0; i < n; i++)
        calls[i] = fleet_chat_start (fleet.nodes[i % FLEET_NODES], "lm-2",
                                     "burst", i % 2 == 0);
      for (size_t i = 0; i < n; i++)
        {
          struct cluster_reply r = cluster_http_wait (calls[i]);

          whole += fleet_reply_complete (&r, "burst");
          if (!fleet_reply_complete (&r, "burst"))
            printf ("\nstatus %ld curl %d " STR_FMT "\n", r.status, r.error,
                    STR_ARG (buf_str (&r.body)));
          cluster_reply_free (&r);
        }
      CU_ASSERT_EQUAL (whole, n);
      check_single_holder_and_scheduler ();
      CU_ASSERT_EQUAL (fleet_sum_counts (&fleet, "loads"), 1);
      CU_ASSERT_EQUAL (fleet_sum_counts (&fleet, "repeated"), 0);
    }
  fleet_stop (&fleet);
}

/* Guards against invalid requests that are forwarded, answered with the wrong
   error or disturb other requests. */
static void
test_bad_input (void)
{
  static const struct
  {
    const char *name;
    const char *method;
    const char *path;
    const char *headers[4];
    const char *body;
    long status;
    const char *code;
  } cases[] = {
    { "no key",
      "POST",
      "/v1/chat/completions",
      { NULL },
      "{}",
      401,
      "invalid_key" },
    { "wrong key",
      "POST",
      "/v1/chat/completions",
      { "Authorization: Bearer nobody", NULL },
      "{}",
      401,
      "invalid_key" },
    { "broken JSON",
      "POST",
      "/v1/chat/completions",
      { "Authorization: Bearer key-opera", NULL },
      "{\"model\":",
      400,
      "invalid_json" },
    { "no model",
      "POST",
      "/v1/completions",
      { "Authorization: Bearer key-opera", NULL },
      "{\"prompt\":\"x\"}",
      400,
      "invalid_request" },
    { "unknown model",
      "POST",
      "/v1/completions",
      { "Authorization: Bearer key-opera", NULL },
      "{\"model\":\"none\",\"prompt\":\"x\"}",
      404,
      "model_not_found" },
    { "model not in plan",
      "POST",
      "/v1/completions",
      { "Authorization: Bearer key-school", NULL },
      "{\"model\":\"lm-2\",\"prompt\":\"x\"}",
      403,
      "not_in_plan" },
    { "service not in plan",
      "POST",
      "/services/stage/release",
      { "Authorization: Bearer key-school", NULL },
      "",
      403,
      "not_in_plan" },
    { "unknown service",
      "POST",
      "/services/none/x",
      { "Authorization: Bearer key-opera", NULL },
      "",
      404,
      "not_found" },
    { "bad deadline",
      "POST",
      "/v1/completions",
      { "Authorization: Bearer key-opera", "X-Deadline-Ms: soon", NULL },
      "{\"model\":\"lm-1\",\"prompt\":\"x\"}",
      400,
      "invalid_request" },
    { "wrong method",
      "GET",
      "/v1/completions",
      { "Authorization: Bearer key-opera", NULL },
      NULL,
      405,
      "method_not_allowed" },
    { "unknown path", "GET", "/v2/x", { NULL }, NULL, 404, "not_found" },
    { "too late",
      "POST",
      "/v1/completions",
      { "Authorization: Bearer key-opera", "X-Deadline-Ms: 1", NULL },
      "{\"model\":\"lm-6\",\"prompt\":\"x\"}",
      0,
      NULL },
  };

  if (fleet_start (&fleet, NULL))
    {
      for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
        {
          struct cluster_reply r = cluster_http (
              fleet.nodes[i % FLEET_NODES], cases[i].method, cases[i].path,
              cases[i].headers, cases[i].body, FLEET_CALL_MS);

          if (cases[i].status != 0)
            {
              CU_ASSERT_EQUAL (r.status, cases[i].status);
              CU_ASSERT_TRUE (cluster_contains (&r, cases[i].code));
            }
          else
            CU_ASSERT_TRUE (r.status == 503 || r.status == 504);
          CU_ASSERT_TRUE (fleet_ran (&r, "no"));
          CU_ASSERT_TRUE (cluster_contains (&r, "\"ran\":\"no\""));
          cluster_reply_free (&r);
        }
      CU_ASSERT_EQUAL (fleet_sum_counts (&fleet, "requests"), 0);
      CU_ASSERT_EQUAL (cluster_json_int (fleet.service, "/counts", "runs"), 0);
    }
  fleet_stop (&fleet);
}

/* Guards against a plan limit that each node enforces separately: 4 nodes
   would then admit 4 times as many requests. */
static void
test_limit_over_nodes (void)
{
  static const char *const headers[]
      = { "Authorization: Bearer key-school", NULL };
  size_t admitted = 0;

  if (fleet_start (&fleet, NULL))
    {
      for (size_t i = 0; i < 3 * FLEET_NODES; i++)
        {
          struct cluster_reply r = cluster_http (
              fleet.nodes[i % FLEET_NODES], "POST", "/v1/completions", headers,
              "{\"model\":\"lm-1\",\"prompt\":\"x\"}", FLEET_CALL_MS);

          admitted += r.status == 200;
          if (r.status != 200)
            {
              CU_ASSERT_EQUAL (r.status, 429);
              CU_ASSERT_TRUE (cluster_contains (&r, "plan_limit"));
              CU_ASSERT_TRUE (cluster_header (&r, "retry-after").len > 0);
            }
          cluster_reply_free (&r);
        }
      CU_ASSERT_TRUE (admitted < 3 * FLEET_NODES);
    }
  fleet_stop (&fleet);
}

/* Guards against callers who can read the operators' pages although these are
   served at a separate admin address. */
static void
test_admin_address (void)
{
  static const char *const paths[]
      = { "/metrics", "/admin/status", "/admin/explain?customer=a&key=b" };
  struct cluster *c = cluster_create ("test");
  const int port = 9000 + getpid () % 900;
  char addr[32];

  snprintf (addr, sizeof addr, "127.0.0.1:%d", port);
  cluster_store (c, NULL);
  struct cluster_proc *node
      = cluster_node (c, "a", CLUSTER_FLAGS ("--admin-addr", addr));
  struct cluster_proc admin = *node;
  snprintf (admin.url, sizeof admin.url, "http://%s", addr);
  CU_ASSERT_EQUAL (cluster_apply (c, "tests/lists/small/plans.json",
                                  "tests/lists/small/uses.json", NULL),
                   0);
  CU_ASSERT_TRUE (cluster_ready (c));
  for (size_t i = 0; i < sizeof paths / sizeof *paths; i++)
    {
      struct cluster_reply r
          = cluster_http (node, "GET", paths[i], NULL, NULL, FLEET_CALL_MS);
      CU_ASSERT_EQUAL (r.status, 404);
      cluster_reply_free (&r);
      r = cluster_http (&admin, "GET", paths[i], NULL, NULL, FLEET_CALL_MS);
      CU_ASSERT_TRUE (r.status == 200 || r.status == 503);
      cluster_reply_free (&r);
    }
  struct cluster_reply r = cluster_http (&admin, "POST", "/v1/completions",
                                         NULL, "{}", FLEET_CALL_MS);
  CU_ASSERT_EQUAL (r.status, 404);
  cluster_reply_free (&r);
  cluster_destroy (c);
}

static const struct suite_case cases[] = {
  { "cold and warm answers", test_cold_and_warm },
  { "burst at all nodes loads once", test_burst_loads_once },
  { "bad input", test_bad_input },
  { "plan limit over all nodes", test_limit_over_nodes },
  { "separate admin address", test_admin_address },
};
TEST_SUITE ("path", cases)
