#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "edgecluster.h"
#include "err.h"
#include "suite.h"

/* Names of models and adapters of any length, from clients, from the
   configuration and from servers. Their length has no limit. */

#define NODES 2
#define CLIENT_LEAVES_MS 1000
#define CALL_TIMEOUT_MS 8000

/* The first node is the placement holder, because the second one starts only
   after the first is ready. */
static struct edgecluster edges;
static struct cluster_proc *nodes[NODES];
static struct cluster_proc *servers[2];

/* Returns @n times the letter x, and @end. */
static char *
long_name (size_t n, const char *end)
{
  const size_t end_bytes = strlen (end) + 1;
  char *name = malloc (n + end_bytes);

  memset (name, 'x', n);
  memcpy (name + n, end, end_bytes);
  return name;
}

/* Starts two nodes, a plain server, and a model server that holds m1. */
static void
start (const char *const *more_models)
{
  edges = edgecluster_create ();
  edges.more_models = more_models;
  servers[0] = cluster_server (edges.cluster, "plain", "a", NULL);
  servers[1] = cluster_server (edges.cluster, "lm", "a",
                               CLUSTER_FLAGS ("--models", "m1"));
  edgecluster_put_server (&edges, servers[0], "ready", "[]");
  edgecluster_put_server (&edges, servers[1], "ready",
                          "[{\"name\":\"m1\",\"version\":1,\"adapters\":[]}]");
  edgecluster_configure (&edges, 5000);
  for (int i = 0; i < NODES; i++)
    {
      nodes[i] = cluster_edge (edges.cluster, "a", NULL);
      CU_ASSERT_TRUE_FATAL (cluster_ready (edges.cluster));
    }
}

static void
stop (void)
{
  edgecluster_destroy (&edges);
}

/* Sends a stream request for a model, or for "model/adapter". Returns the
   status, 0 if the client left before the response. */
static long
ask_for (const struct cluster_proc *node, const char *model, const char *id,
         uint32_t timeout_ms)
{
  struct str model_line = str_printf ("X-Galenagate-Model: %s", model);
  struct str id_line = str_printf ("X-Galenagate-Attempt-Id: %s", id);
  const char *const lines[]
      = { "Host: test.example", "X-Galenagate-Deadline-Ms: 6000",
          model_line.data, id_line.data, NULL };
  struct cluster_reply r = cluster_http (node, "POST", "/stream/x", lines,
                                         "question", timeout_ms);
  const long status = r.error == CURLE_OK ? r.status : 0;

  cluster_reply_free (&r);
  str_free (&model_line);
  str_free (&id_line);
  return status;
}

/* The nodes run, and the second one learns from the holder where a model was
   placed. */
static void
check_nodes_place (const char *model)
{
  struct cluster_reply r = edgecluster_call (nodes[0], "POST", "/once/x",
                                             "id-once", NULL, "body");

  CU_ASSERT_EQUAL (r.status, 200);
  cluster_reply_free (&r);
  CU_ASSERT_EQUAL (ask_for (nodes[1], model, "id-place", CALL_TIMEOUT_MS),
                   200);
  for (int i = 0; i < NODES; i++)
    CU_ASSERT_EQUAL (cluster_wait_exit (nodes[i], 0), -1);
}

/* Guards against a node that ends because a client asks for a model or adapter
   whose name does not fit into a datagram to the placement holder. */
static void
test_unknown (void)
{
  static const struct
  {
    const char *prefix;
    size_t bytes;
  } cases[] = { { "", 300 }, { "", 10000 }, { "m1/", 300 }, { "m9/", 10000 } };

  start (NULL);
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    for (int j = 0; j < NODES; j++)
      {
        char *name = long_name (cases[i].bytes, "");
        struct str asked = str_printf ("%s%s", cases[i].prefix, name);

        ask_for (nodes[j], asked.data, "id-unknown", CLIENT_LEAVES_MS);
        str_free (&asked);
        free (name);
      }
  check_nodes_place ("m2");
  stop ();
}

/* Guards against a model of the configuration that is not served, that is
   confused with another one, or whose calls the log does not show to their
   end, because its name is long. */
static void
test_configured (void)
{
  static const struct
  {
    size_t bytes;
    const char *end;
    const char *adapter;
  } cases[] = { { 300, "1", "" },     { 300, "2", "" },  { 300, "1", "/a1" },
                { 300, "2", "/a4" },  { 9000, "1", "" }, { 9000, "2", "/a2" },
                { 9000, "1", "/a3" }, { 300, "2", "" } };
  char *names[] = { long_name (300, "1"), long_name (300, "2"),
                    long_name (9000, "1"), long_name (9000, "2"), NULL };

  start ((const char *const *)names);
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    for (int j = 0; j < NODES; j++)
      {
        char *name = long_name (cases[i].bytes, cases[i].end);
        struct str asked = str_printf ("%s%s", name, cases[i].adapter);
        struct str id = str_printf ("id-%zu-%d", i, j);

        CU_ASSERT_EQUAL (
            ask_for (nodes[j], asked.data, id.data, CALL_TIMEOUT_MS), 200);
        CU_ASSERT_EQUAL (edgecluster_run_count (servers[1], id.data), 1);
        const char *const words[]
            = { "event=call", id.data, "end=served", NULL };
        CU_ASSERT_TRUE (edgecluster_wait_logged (nodes[j], words));
        str_free (&id);
        str_free (&asked);
        free (name);
      }
  check_nodes_place ("m3");
  stop ();
  for (size_t i = 0; names[i]; i++)
    free (names[i]);
}

/* Writes the entry of a server that does not run. It has @models models, each
   with @adapters adapters. */
static void
put_foreign_server (const char *service, int models, size_t name_bytes,
                    int adapters, size_t adapter_bytes)
{
  char *model_name = long_name (name_bytes, "");
  char *adapter_name = long_name (adapter_bytes, "");
  json_t *held = json_array ();

  for (int i = 0; i < models; i++)
    {
      json_t *names = json_array ();
      struct str model = str_printf ("%s%d", model_name, i);

      for (int j = 0; j < adapters; j++)
        {
          struct str adapter = str_printf ("%s%d", adapter_name, j);

          json_array_append_new (names, json_string (adapter.data));
          str_free (&adapter);
        }
      json_array_append_new (held,
                             json_pack ("{s:s, s:i, s:o}", "name", model.data,
                                        "version", 1, "adapters", names));
      str_free (&model);
    }
  json_t *spec = json_pack (
      "{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:i, s:o}", "service", service,
      "address", "127.0.0.1:9", "zone", "a", "version", "v1", "slots", 8,
      "state", "ready", "seq", 1, "cold_remaining_ms", 0, "models", held);
  char *text = json_dumps (spec, JSON_COMPACT);

  edgecluster_put_object (&edges, "servers", "foreign", text);
  free (text);
  json_decref (spec);
  free (model_name);
  free (adapter_name);
}

/* Guards against a placement holder that ends, or whose digests are lost with
   all servers in them, because an entry of another writer has long names or
   many. */
static void
test_foreign_entry (void)
{
  static const struct
  {
    const char *service;
    int models;
    size_t name_bytes;
    int adapters;
    size_t adapter_bytes;
  } cases[] = {
    { "other", 1, 300, 0, 0 },    { "other", 1, 2, 1, 300 },
    { "other", 400, 2, 0, 0 },    { "other", 1, 2, 2000, 2 },
    { "other", 1, 2, 250, 250 },  { "other", 40, 2, 250, 200 },
    { "lm", 200, 300, 1, 300 },   { "lm", 1, 70000, 0, 0 },
    { "other", 1, 2, 2000, 250 },
  };

  start (NULL);
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      put_foreign_server (cases[i].service, cases[i].models,
                          cases[i].name_bytes, cases[i].adapters,
                          cases[i].adapter_bytes);
      check_nodes_place (i % 2 == 0 ? "m2" : "m3");
      check_nodes_place (i % 2 == 0 ? "m4" : "m1");
    }
  stop ();
}

static const struct suite_case cases[] = {
  { "unknown long names", test_unknown },
  { "configured long names", test_configured },
  { "foreign entry", test_foreign_entry },
};
TEST_SUITE ("names", cases)
