#include <stdio.h>
#include <unistd.h>

#include "edgecluster.h"
#include "suite.h"

/* A request that crashes each server that runs it. Its client sends it again
   and again, through any node. */

#define SERVERS 7
#define NODES 2
/* Calls of the request, each with two attempts. */
#define CALLS 4
/* Servers that may crash: the third crash refuses the request, and two
   attempts may be in flight when it becomes known. */
#define CRASHES_ALLOWED 4
/* Time for the nodes to notify each other of a crashed server. */
#define CRASH_NOTICE_S 3
#define NO_MODELS "[]"
#define CRASHING_PATH "/plain/crash"
#define TIMEOUT_MS 2000
/* The value that the deployments set for their nodes. */
#define RETRY_FLAGS CLUSTER_FLAGS ("--retry-slack", "54")

struct crash_test
{
  struct edgecluster edges;
  struct cluster_proc *servers[SERVERS];
  struct cluster_proc *nodes[NODES];
  unsigned calls;
  unsigned client_addresses; /* 0: the default address only */
  const char *parts_behind;  /* of all prompts; NULL for none */
};

static void
start_nodes (struct crash_test *t)
{
  static const char *const domains[NODES] = { "a", "b" };

  for (size_t i = 0; i < NODES; i++)
    {
      t->nodes[i] = cluster_edge (t->edges.cluster, domains[i], RETRY_FLAGS);
      CU_ASSERT_TRUE_FATAL (cluster_ready (t->edges.cluster));
    }
}

static void
start_servers_of (struct crash_test *t, const char *service,
                  const char *const *flags, const char *models)
{
  for (size_t i = 0; i < SERVERS; i++)
    {
      t->servers[i] = cluster_server (t->edges.cluster, service, "a", flags);
      edgecluster_put_server (&t->edges, t->servers[i], "ready", models);
    }
}

static void
start_servers (struct crash_test *t, const char *const *flags)
{
  start_servers_of (t, "plain", flags, NO_MODELS);
}

static struct crash_test
begin_with (uint32_t timeout_ms)
{
  struct crash_test t = { .edges = edgecluster_create () };

  edgecluster_configure (&t.edges, timeout_ms);
  return t;
}

static struct crash_test
begin (void)
{
  return begin_with (TIMEOUT_MS);
}

static unsigned
count_crashed (const struct crash_test *t)
{
  unsigned n = 0;

  for (size_t i = 0; i < SERVERS; i++)
    {
      struct cluster_reply r = cluster_http (t->servers[i], "GET", "/counts",
                                             NULL, NULL, EDGE_CALL_TIMEOUT_MS);

      n += r.error != CURLE_OK;
      cluster_reply_free (&r);
    }
  return n;
}

/* Sends the request through a node. Returns the status. */
static int
send_crashing (struct crash_test *t, const struct cluster_proc *node)
{
  char id[16];
  char client[24];
  struct cluster_reply r;
  int status;

  snprintf (id, sizeof id, "id-c%u", ++t->calls);
  if (t->client_addresses > 0)
    snprintf (client, sizeof client, "127.0.1.%u",
              1 + t->calls % t->client_addresses);
  r = edgecluster_call_from (node, t->client_addresses > 0 ? client : NULL,
                             "POST", CRASHING_PATH, id, "x");
  status = r.status;
  cluster_reply_free (&r);
  return status;
}

static void
crash_servers (struct crash_test *t)
{
  for (size_t i = 0; i < CALLS; i++)
    {
      const int status = send_crashing (t, t->nodes[i % NODES]);

      CU_ASSERT_TRUE (status == 502 || status == 503);
      sleep (CRASH_NOTICE_S);
    }
}

/* Checks that the node refuses the request, and no other one. */
static void
check_refused (struct crash_test *t, struct cluster_proc *node)
{
  char id[24];
  struct cluster_reply r;

  CU_ASSERT_EQUAL (send_crashing (t, node), 503);
  snprintf (id, sizeof id, "id=id-c%u ", t->calls);
  CU_ASSERT_TRUE (edgecluster_wait_logged (
      node, (const char *const[]){ id, "end=refused", "reason=crashes-servers",
                                   NULL }));
  r = edgecluster_call (node, "POST", "/plain/ok", "id-ok", NULL, "x");
  CU_ASSERT_EQUAL (r.status, 200);
  cluster_reply_free (&r);
}

static void
check_all_refuse (struct crash_test *t)
{
  CU_ASSERT_TRUE (count_crashed (t) <= CRASHES_ALLOWED);
  for (size_t i = 0; i < NODES; i++)
    check_refused (t, t->nodes[i]);
}

/* Guards against a request that crashes all servers of a service one after
   another while its client keeps sending it, through any node. */
static void
test_crashing_request (void)
{
  struct crash_test t = begin ();

  start_servers (&t, NULL);
  start_nodes (&t);
  crash_servers (&t);
  check_all_refuse (&t);
  edgecluster_destroy (&t.edges);
}

/* Guards against a request that is never refused because it comes from another
   client address each time. */
static void
test_many_clients (void)
{
  struct crash_test t = begin ();

  t.client_addresses = CALLS * 2;
  start_servers (&t, NULL);
  start_nodes (&t);
  crash_servers (&t);
  check_all_refuse (&t);
  edgecluster_destroy (&t.edges);
}

#define RUN_DELAY_FLAGS CLUSTER_FLAGS ("--delay-ms", "300")
/* Sound calls that run beside each crash; more than the servers. */
#define SOUND_CALLS 16

/* Sends the crashing request while sound ones run on all servers. Returns the
   number of sound ones that were refused. */
static unsigned
crash_beside_sound_calls (struct crash_test *t,
                          const struct cluster_proc *node)
{
  struct cluster_request *sound[SOUND_CALLS];
  unsigned refused = 0;
  char id[16];

  for (size_t i = 0; i < SOUND_CALLS; i++)
    {
      snprintf (id, sizeof id, "id-s%u-%zu", t->calls, i);
      sound[i] = edgecluster_call_begin (t->nodes[i % NODES], "GET",
                                         "/plain/ok", id, NULL, NULL);
    }
  send_crashing (t, node);
  for (size_t i = 0; i < SOUND_CALLS; i++)
    {
      struct cluster_reply r = cluster_http_wait (sound[i]);

      refused += r.status == 503;
      cluster_reply_free (&r);
    }
  return refused;
}

/* Guards against refusing a sound request that many clients send alike,
   because it ran on each of the servers that another request crashed. */
static void
test_sound_beside (void)
{
  struct crash_test t = begin ();
  unsigned refused = 0;

  t.client_addresses = CALLS * 2;
  start_servers (&t, RUN_DELAY_FLAGS);
  start_nodes (&t);
  for (size_t i = 0; i < CALLS; i++)
    {
      refused += crash_beside_sound_calls (&t, t.nodes[i % NODES]);
      sleep (CRASH_NOTICE_S);
    }
  CU_ASSERT_EQUAL (refused, 0);
  CU_ASSERT_TRUE (count_crashed (&t) >= 3);
  for (size_t i = 0; i < NODES; i++)
    {
      struct cluster_reply r = edgecluster_call (
          t.nodes[i], "GET", "/plain/ok", "id-g", NULL, NULL);

      CU_ASSERT_EQUAL (r.status, 200);
      cluster_reply_free (&r);
    }
  check_all_refuse (&t);
  edgecluster_destroy (&t.edges);
}

/* Guards against a request that is never refused because a failing server
   answered it with an error. */
static void
test_error_first (void)
{
  struct crash_test t = begin ();
  struct cluster_proc *failing = cluster_server (
      t.edges.cluster, "plain", "a", CLUSTER_FLAGS ("--fault", "error"));

  edgecluster_put_server (&t.edges, failing, "ready", NO_MODELS);
  start_nodes (&t);
  for (size_t i = 0; i < NODES; i++)
    CU_ASSERT_EQUAL (send_crashing (&t, t.nodes[i]), 500);
  edgecluster_delete_object (&t.edges, "servers", failing->name);
  start_servers (&t, NULL);
  sleep (CRASH_NOTICE_S);
  crash_servers (&t);
  check_all_refuse (&t);
  edgecluster_destroy (&t.edges);
}

/* Guards against new processes on all nodes that know of no crash and let the
   request crash further servers. */
static void
test_all_nodes_restart (void)
{
  struct crash_test t = begin ();
  unsigned crashed;

  start_servers (&t, NULL);
  start_nodes (&t);
  crash_servers (&t);
  crashed = count_crashed (&t);
  for (size_t i = 0; i < NODES; i++)
    cluster_kill (t.nodes[i]);
  start_nodes (&t);
  check_all_refuse (&t);
  CU_ASSERT_EQUAL (count_crashed (&t), crashed);
  edgecluster_destroy (&t.edges);
}

#define CRASH_DELAY_FLAGS CLUSTER_FLAGS ("--delay-ms", "700")
#define PATIENCE_MS 300

/* Guards against crashes that do not count for a request because its client
   left just before. */
static void
test_client_leaves (void)
{
  struct crash_test t = begin ();

  start_servers (&t, CRASH_DELAY_FLAGS);
  start_nodes (&t);
  for (size_t i = 0; i < CALLS + 1; i++)
    {
      struct cluster_reply r = edgecluster_call_for (
          t.nodes[0], "POST", CRASHING_PATH, "id-left", "x", PATIENCE_MS);

      cluster_reply_free (&r);
      sleep (1);
      /* Lets the node notice that a server ended. */
      r = edgecluster_call (t.nodes[0], "POST", "/plain/ok", "id-ok", NULL,
                            "x");
      cluster_reply_free (&r);
    }
  sleep (CRASH_NOTICE_S);
  check_all_refuse (&t);
  edgecluster_destroy (&t.edges);
}

/* ---- prompts with a part that crashes servers ---- */

#define M1_ONLY "[{\"name\":\"m1\",\"version\":1,\"adapters\":[]}]"
#define STREAM_PATH "/stream/x"
/* Streams that are not resumed. */
#define WHOLE_PATH "/whole/x"
/* Longer than the longest stream. */
#define PROMPT_TIMEOUT_MS 5000
#define SHARED_PARTS "f1:100,x1:20"

/* Sends a prompt with an own last part, after the shared and the @extra ones
   and those behind, through a node. Returns the status. */
static int
send_prompt (struct crash_test *t, const struct cluster_proc *node,
             const char *path, const char *extra)
{
  char id[16];
  char parts[128];
  struct cluster_reply r;
  int status;

  snprintf (id, sizeof id, "id-p%u", ++t->calls);
  snprintf (parts, sizeof parts, SHARED_PARTS "%s%s,own%u:10", extra,
            t->parts_behind ? t->parts_behind : "", t->calls);
  r = edgecluster_call_prompt (node, path, id, parts);
  status = r.status;
  cluster_reply_free (&r);
  return status;
}

static void
check_sound_prompts (struct crash_test *t)
{
  for (size_t i = 0; i < NODES; i++)
    CU_ASSERT_EQUAL (send_prompt (t, t->nodes[i], STREAM_PATH, ""), 200);
}

static void
check_prompt_refused (struct crash_test *t, struct cluster_proc *node)
{
  char id[24];

  CU_ASSERT_EQUAL (send_prompt (t, node, STREAM_PATH, ",dead:30"), 503);
  snprintf (id, sizeof id, "id=id-p%u ", t->calls);
  CU_ASSERT_TRUE (edgecluster_wait_logged (
      node, (const char *const[]){ id, "end=refused", "reason=crashes-servers",
                                   NULL }));
}

/**
 * struct part_case - how servers crash.
 * @path: of the crashing prompts.
 * @sound_before: sound prompts are served before.
 * @parts_behind: parts behind the crashing one that all prompts have, sound
 *   ones that are served between the crashes too; NULL for none.
 * @flags: of the servers.
 * @crashes_allowed: servers that may crash. Those that have begun to respond
 *   make one crash more necessary, before which two attempts may be in flight.
 */
struct part_case
{
  const char *path;
  bool sound_before;
  const char *parts_behind;
  const char *const *flags;
  unsigned crashes_allowed;
};

static void
run_crashing_part (const struct part_case *c)
{
  struct crash_test t = begin_with (PROMPT_TIMEOUT_MS);

  t.parts_behind = c->parts_behind;
  start_servers_of (&t, "lm", c->flags, M1_ONLY);
  start_nodes (&t);
  if (c->sound_before)
    check_sound_prompts (&t);
  for (size_t i = 0; i < CALLS; i++)
    {
      const int status
          = send_prompt (&t, t.nodes[i % NODES], c->path, ",dead:30");

      CU_ASSERT_TRUE (
          status == 502 || status == 503
          || (status == 200 && c->crashes_allowed > CRASHES_ALLOWED));
      sleep (CRASH_NOTICE_S);
      if (c->parts_behind)
        check_sound_prompts (&t);
    }
  CU_ASSERT_TRUE (count_crashed (&t) <= c->crashes_allowed);
  for (size_t i = 0; i < NODES; i++)
    check_prompt_refused (&t, t.nodes[i]);
  check_sound_prompts (&t);
  edgecluster_destroy (&t.edges);
}

/* Guards against different requests that crash one server after another with
   the same part of their prompts, and against refusing sound ones that share
   the other parts. */
static void
test_crashing_part (void)
{
  run_crashing_part (&(struct part_case){ STREAM_PATH, true, NULL,
                                          CLUSTER_FLAGS ("--models", "m1"),
                                          CRASHES_ALLOWED });
}

/* Likewise before any request with the other parts was served. */
static void
test_crashing_part_first (void)
{
  run_crashing_part (&(struct part_case){ STREAM_PATH, false, NULL,
                                          CLUSTER_FLAGS ("--models", "m1"),
                                          CRASHES_ALLOWED });
}

/* Guards against a part that is never refused because the same part is behind
   it in all prompts, also in the sound ones. */
static void
test_crashing_part_between (void)
{
  run_crashing_part (&(struct part_case){ STREAM_PATH, true, ",l1:5",
                                          CLUSTER_FLAGS ("--models", "m1"),
                                          CRASHES_ALLOWED });
}

/* Likewise because many parts are behind it. */
static void
test_crashing_part_before_many (void)
{
  run_crashing_part (&(struct part_case){
      STREAM_PATH, true, ",b1:9,b2:9,b3:9,b4:9,b5:9,b6:9,b7:9,b8:9,b9:9",
      CLUSTER_FLAGS ("--models", "m1"), CRASHES_ALLOWED });
}

/* Guards against a part that is never refused because servers begin to respond
   to it before they crash. */
static void
test_crashing_begun (void)
{
  run_crashing_part (&(struct part_case){
      STREAM_PATH, true, NULL,
      CLUSTER_FLAGS ("--models", "m1", "--crash-after-ms", "1"),
      CRASHES_ALLOWED + 1 });
}

/* Likewise when they crash late in their responses. */
static void
test_crashing_later (void)
{
  run_crashing_part (
      &(struct part_case){ WHOLE_PATH, true, NULL,
                           CLUSTER_FLAGS ("--models", "m1", "--crash-after-ms",
                                          "1300", "--event-gap-ms", "400"),
                           CRASHES_ALLOWED + 1 });
}

/* That a prompt may have. */
#define SHARED_PARTS_MAX 4096

static int
send_parts (struct crash_test *t, size_t shared)
{
  struct buf parts = { 0 };

  for (size_t i = 0; i < shared; i++)
    buf_printf (&parts, "%zx:1,", i % 16);
  buf_append (&parts, STR ("own:1"));
  struct cluster_reply r = edgecluster_call_prompt (
      t->nodes[0], STREAM_PATH, "id-n", buf_str (&parts).data);
  const int status = r.status;

  cluster_reply_free (&r);
  buf_free (&parts);
  return status;
}

/* Guards against memory and processor time that a single call takes with a
   list of parts of any length, and against refusing one within the limit for
   headers. */
static void
test_parts_limit (void)
{
  struct crash_test t = begin_with (PROMPT_TIMEOUT_MS);

  start_servers_of (&t, "lm", CLUSTER_FLAGS ("--models", "m1"), M1_ONLY);
  start_nodes (&t);
  CU_ASSERT_EQUAL (send_parts (&t, SHARED_PARTS_MAX), 200);
  CU_ASSERT_EQUAL (send_parts (&t, SHARED_PARTS_MAX + 1), 431);
  edgecluster_destroy (&t.edges);
}

static const struct suite_case cases[] = {
  { "crashing request", test_crashing_request },
  { "many clients", test_many_clients },
  { "sound calls beside", test_sound_beside },
  { "error first", test_error_first },
  { "all nodes restart", test_all_nodes_restart },
  { "client leaves", test_client_leaves },
  { "crashing prompt part", test_crashing_part },
  { "crashing prompt part first", test_crashing_part_first },
  { "crashing prompt part between others", test_crashing_part_between },
  { "crashing prompt part before many", test_crashing_part_before_many },
  { "crashing prompt part, begun", test_crashing_begun },
  { "crashing prompt part, later", test_crashing_later },
  { "number of prompt parts", test_parts_limit },
};
TEST_SUITE ("crashes", cases)
