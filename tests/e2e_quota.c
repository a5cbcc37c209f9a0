#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "edgecluster.h"
#include "suite.h"

/* Quotas of tenants over all nodes, with real processes. The servers count
   what they ran, independently of the nodes. */

#define NODES 3
#define ROUTE_TIMEOUT_MS 6000
#define WAIT_TIMEOUT_MS 20000
#define HEADERS_MAX 8

/* A call costs 500 tokens. Without a common limit the calls of a test cost
   more than ten times the bound. */
#define CALL_COST 500
#define TOKENS "X-Galenagate-Token-Usage: 300,200"
#define RATE_PER_S 5000.0
#define BURST 5000.0
/* In any window of this length at most the following is allowed to run. */
#define WINDOW_MS 8000
#define BEFORE_FAULT_MS 3000
#define PAUSE_MS 1500
#define BOUND_TOLERANCE 1.1
#define BOUND_TOKENS 7500.0

#define LIMITED "Authorization: Bearer limited-key"
#define WIDE "Authorization: Bearer wide-key"
#define UNLIMITED "Authorization: Bearer unlimited-key"
#define SLOW "Authorization: Bearer slow-key"
#define TENANTS                                                               \
  "[{\"name\":\"limited\",\"api_keys\":[\"limited-key\"],"                    \
  "\"unit\":\"tokens\",\"plain_tokens\":500,\"rate_per_s\":5000,"             \
  "\"burst\":5000},"                                                          \
  "{\"name\":\"wide\",\"api_keys\":[\"wide-key\"],\"unit\":\"tokens\","       \
  "\"plain_tokens\":500,\"rate_per_s\":1e9,\"burst\":1e9},"                   \
  "{\"name\":\"unlimited\",\"api_keys\":[\"unlimited-key\"]},"                \
  "{\"name\":\"slow\",\"api_keys\":[\"slow-key\"],\"unit\":\"requests\","     \
  "\"rate_per_s\":0.2,\"burst\":1}]"

static struct edgecluster edges;
static struct cluster_proc *server;
static struct cluster_proc *nodes[NODES];

/* Number of calls that the server ran for the limited tenant, and when it was
   read. */
struct sample
{
  uint64_t before_ms;
  uint64_t after_ms;
  json_int_t runs;
};

#define SAMPLES_MAX 512
#define SAMPLE_INTERVAL_MS 100

struct samples
{
  struct sample list[SAMPLES_MAX];
  size_t count;
};

/* Outcomes of calls. */
struct outcomes
{
  int served;
  int refused;
  int others;
};

/* ---- cluster ---- */

static void
wait_for_holder (const struct cluster_proc *edge)
{
  CU_ASSERT_TRUE_FATAL (
      edgecluster_wait_logged (edge, CLUSTER_FLAGS ("event=holder")));
}

/* Starts a plain server and the nodes; the first node is the holder. */
static void
start (void)
{
  static const char *const domains[NODES] = { "a", "b", "c" };

  edges = edgecluster_create ();
  server = cluster_server (edges.cluster, "plain", "a", NULL);
  edgecluster_put_server (&edges, server, "ready", "[]");
  edges.tenants = TENANTS;
  edgecluster_configure (&edges, ROUTE_TIMEOUT_MS);
  for (size_t i = 0; i < NODES; i++)
    {
      nodes[i] = cluster_edge (edges.cluster, domains[i], NULL);
      CU_ASSERT_TRUE_FATAL (cluster_ready (edges.cluster));
      wait_for_holder (nodes[i]);
    }
}

/* ---- calls ---- */

static struct cluster_reply
call (const struct cluster_proc *edge, const char *path, const char *id,
      const char *key, const char *tokens)
{
  char id_line[96];
  const char *lines[HEADERS_MAX] = { "Host: test.example", id_line, key };

  snprintf (id_line, sizeof id_line, "X-Galenagate-Attempt-Id: %s", id);
  lines[3] = tokens;
  return cluster_http (edge, "POST", path, lines, "b", EDGE_CALL_TIMEOUT_MS);
}

static double
retry_after (const struct cluster_reply *r)
{
  struct str text = str_dup (cluster_header (r, "retry-after"));
  const double seconds = text.len > 0 ? strtod (text.data, NULL) : 0;

  str_free (&text);
  return seconds;
}

static long
call_status (const struct cluster_proc *edge, const char *path, const char *id,
             const char *key, const char *tokens)
{
  struct cluster_reply r = call (edge, path, id, key, tokens);
  const long status = r.status;

  cluster_reply_free (&r);
  return status;
}

/* Sends a call of the limited tenant. */
static void
call_limited (const struct cluster_proc *edge, struct outcomes *out)
{
  static int number;
  char id[32];

  snprintf (id, sizeof id, "limited-%d", ++number);
  struct cluster_reply r = call (edge, "/plain/x", id, LIMITED, TOKENS);
  out->served += r.status == 200;
  out->refused += r.status == 429;
  out->others += r.status != 200 && r.status != 429;
  if (r.status == 429)
    CU_ASSERT_TRUE (retry_after (&r) > 0);
  cluster_reply_free (&r);
}

/* ---- what ran ---- */

static void
take_sample (struct samples *s)
{
  struct sample x = { .before_ms = clock_ms () };
  json_t *counts = cluster_get_json (server, "/counts");
  const char *id;
  json_t *runs;

  x.after_ms = clock_ms ();
  json_object_foreach (json_object_get (counts, "runs"), id, runs)
  {
    if (strncmp (id, "limited-", strlen ("limited-")) == 0)
      x.runs += json_integer_value (runs);
  }
  json_decref (counts);
  CU_ASSERT_TRUE_FATAL (s->count < SAMPLES_MAX);
  s->list[s->count++] = x;
}

static void
sample_at_times (struct samples *s)
{
  if (clock_ms () >= s->list[s->count - 1].after_ms + SAMPLE_INTERVAL_MS)
    take_sample (s);
}

/* Checks the bound between any two samples that are certainly within a
   window. */
static void
check_windows (const struct samples *s)
{
  const double bound
      = (RATE_PER_S * WINDOW_MS / 1000 + BURST) * BOUND_TOLERANCE
        + BOUND_TOKENS;
  json_int_t most = 0;

  for (size_t i = 0; i < s->count; i++)
    for (size_t j = i + 1; j < s->count; j++)
      if (s->list[j].after_ms - s->list[i].before_ms <= WINDOW_MS
          && s->list[j].runs - s->list[i].runs > most)
        most = s->list[j].runs - s->list[i].runs;
  CU_ASSERT_TRUE ((double)most * CALL_COST <= bound);
}

/* ---- cases ---- */

/* Guards against a limit that holds for each node by itself, against refusals
   without a time to come back, and against a tenant that is refused because
   another one is over its limit. */
static void
test_one_limit (void)
{
  static const char *const words[]
      = { "event=quota-refused", "tenant=limited", "source=owner", NULL };
  struct samples samples = { 0 };
  struct outcomes out = { 0 };
  uint64_t end_ms;
  int round = 0;

  start ();
  take_sample (&samples);
  for (end_ms = clock_ms () + WINDOW_MS; clock_ms () < end_ms; round++)
    {
      const struct cluster_proc *edge = nodes[round % NODES];
      char id[32];

      for (int i = 0; i < NODES; i++)
        call_limited (nodes[i], &out);
      snprintf (id, sizeof id, "wide-%d", round);
      CU_ASSERT_EQUAL (call_status (edge, "/plain/x", id, WIDE, TOKENS), 200);
      snprintf (id, sizeof id, "unlimited-%d", round);
      CU_ASSERT_EQUAL (call_status (edge, "/plain/x", id, UNLIMITED, TOKENS),
                       200);
      sample_at_times (&samples);
    }
  take_sample (&samples);
  CU_ASSERT_TRUE (out.served > 0);
  CU_ASSERT_TRUE (out.refused > 0);
  CU_ASSERT_EQUAL (out.others, 0);
  check_windows (&samples);
  for (size_t i = 0; i < NODES; i++)
    CU_ASSERT_TRUE (edgecluster_wait_logged (nodes[i], words));
  edgecluster_destroy (&edges);
}

/* Sends calls to the nodes from @first on for @ms. */
static struct outcomes
call_for (size_t first, uint64_t ms, struct samples *samples)
{
  const uint64_t end_ms = clock_ms () + ms;
  struct outcomes out = { 0 };

  while (clock_ms () < end_ms)
    {
      for (size_t i = first; i < NODES; i++)
        call_limited (nodes[i], &out);
      sample_at_times (samples);
    }
  CU_ASSERT_TRUE (out.served > 0);
  CU_ASSERT_EQUAL (out.others, 0);
  return out;
}

/* Returns true if a node but the first one has gone back to the holder's
   buckets after a fallback. */
static bool
fallback_ended (void *ctx)
{
  static const char *const words[]
      = { "event=quota-fallback", "tenant=limited", "active=0", NULL };
  bool found = false;

  (void)ctx;
  for (size_t i = 1; i < NODES; i++)
    found = found || edgecluster_log_line (nodes[i], words) > 0;
  return found;
}

/* Guards against credit that is given twice, or without end, while the holder
   of the buckets is replaced. */
static void
test_holder_killed (void)
{
  struct samples samples = { 0 };

  start ();
  take_sample (&samples);
  call_for (0, BEFORE_FAULT_MS, &samples);
  cluster_kill (nodes[0]);
  CU_ASSERT_TRUE (call_for (1, WINDOW_MS, &samples).refused > 0);
  take_sample (&samples);
  check_windows (&samples);
  CU_ASSERT_TRUE (cluster_poll_until (fallback_ended, NULL, WAIT_TIMEOUT_MS));
  edgecluster_destroy (&edges);
}

/* Guards against buckets that refill while their holder is stopped, and the
   nodes use their fallbacks. The stop is shorter than the lease. */
static void
test_holder_paused (void)
{
  struct samples samples = { 0 };

  start ();
  take_sample (&samples);
  call_for (0, BEFORE_FAULT_MS, &samples);
  CU_ASSERT_TRUE (cluster_signal (nodes[0], SIGSTOP));
  call_for (1, PAUSE_MS, &samples);
  CU_ASSERT_TRUE (cluster_signal (nodes[0], SIGCONT));
  CU_ASSERT_TRUE (call_for (1, WINDOW_MS, &samples).refused > 0);
  take_sample (&samples);
  check_windows (&samples);
  CU_ASSERT_TRUE (cluster_poll_until (fallback_ended, NULL, WAIT_TIMEOUT_MS));
  edgecluster_destroy (&edges);
}

/* Guards against calls that wait for more than can ever be saved up, and
   against sums of tokens that wrap around. */
static void
test_never_passes (void)
{
  static const char *const usages[] = {
    "X-Galenagate-Token-Usage: 9000,1001",
    "X-Galenagate-Token-Usage: 4294967295,1",
    "X-Galenagate-Token-Usage: 18446744073709551615,18446744073709551615",
  };

  start ();
  for (size_t i = 0; i < sizeof usages / sizeof *usages; i++)
    {
      char id[32];

      snprintf (id, sizeof id, "large-%zu", i);
      struct cluster_reply r
          = call (nodes[i % NODES], "/plain/x", id, LIMITED, usages[i]);
      CU_ASSERT_EQUAL (r.status, 429);
      CU_ASSERT_TRUE (fabs (retry_after (&r) - 60) < 0.001);
      cluster_reply_free (&r);
      CU_ASSERT_EQUAL (edgecluster_run_count (server, id), 0);
    }
  edgecluster_destroy (&edges);
}

/* Sends calls of the slow tenant until @in_a_row of them were refused for lack
   of a server. */
struct unserved_calls
{
  int number;
  int in_a_row;
};

#define UNSERVED_IN_A_ROW 5

static bool
several_unserved (void *ctx)
{
  struct unserved_calls *u = ctx;
  char id[32];

  snprintf (id, sizeof id, "slow-%d", ++u->number);
  if (call_status (nodes[0], "/plain/x", id, SLOW, NULL) == 503)
    u->in_a_row++;
  else
    u->in_a_row = 0;
  return u->in_a_row == UNSERVED_IN_A_ROW;
}

/* Guards against calls that are charged although no server could run them. The
   tenant may send one call in five seconds. */
static void
test_refund (void)
{
  struct unserved_calls unserved = { 0 };

  start ();
  edgecluster_delete_object (&edges, "servers", server->name);
  CU_ASSERT_TRUE_FATAL (edgecluster_wait_logged (
      nodes[0], CLUSTER_FLAGS ("event=server-removed")));
  CU_ASSERT_TRUE (
      cluster_poll_until (several_unserved, &unserved, WAIT_TIMEOUT_MS));
  edgecluster_destroy (&edges);
}

static const struct suite_case cases[] = {
  { "one limit over all nodes", test_one_limit },
  { "holder killed", test_holder_killed },
  { "holder paused", test_holder_paused },
  { "never passes", test_never_passes },
  { "refund", test_refund },
};
TEST_SUITE ("quota", cases)
