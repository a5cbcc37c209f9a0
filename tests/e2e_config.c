#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "cluster.h"
#include "configdoc.h"
#include "suite.h"

#define WAIT_TIMEOUT_MS 30000
#define CALL_TIMEOUT_MS 5000

/* Edits of the lists: the exit codes that operators get, and that each
   accepted edit reaches all nodes and persists. The tests observe nodes by
   their logs. */

static struct cluster *cluster;

static void
write_file (char path[128], const char *name, struct str text)
{
  snprintf (path, 128, "%s/%s", cluster->dir, name);
  FILE *f = fopen (path, "wb");
  CU_ASSERT_PTR_NOT_NULL_FATAL (f);
  if (!f)
    return;
  fwrite (text.data, 1, text.len, f);
  fclose (f);
}

/* Applies lists with the plans "a" and "b" of the given bursts. Returns the
   exit code. */
static int
apply_bursts (int burst_a, int burst_b, const char *const *flags)
{
  static const char uses[] = "{\"format\":1,\"services\":[],\"classes\":[],"
                             "\"models\":[],\"uses\":[]}";
  static const char plan[] = "{\"name\":\"%s\",\"requests_per_s\":1,"
                             "\"burst\":%d,\"in_flight\":0}";
  struct buf plans = { 0 };
  char plans_path[128];
  char uses_path[128];

  buf_append (&plans, STR ("{\"format\":1,\"customers\":[],\"plans\":["));
  buf_printf (&plans, plan, "a", burst_a);
  buf_append (&plans, STR (","));
  buf_printf (&plans, plan, "b", burst_b);
  buf_append (&plans, STR ("]}"));
  write_file (plans_path, "plans.json", buf_str (&plans));
  write_file (uses_path, "uses.json", STR (uses));
  buf_free (&plans);
  const int code = cluster_apply (cluster, plans_path, uses_path, flags);
  unlink (plans_path);
  unlink (uses_path);
  return code;
}

static json_int_t
stored_revision (void)
{
  return cluster_json_int (cluster->store, "/objects/config/root", "revision");
}

static void
start_store (void)
{
  cluster = cluster_create ("test");
  cluster_store (cluster, NULL);
}

/* Guards against an exit code that misreports whether an edit was applied or
   is in force. */
static void
test_exit_codes (void)
{
  static const struct
  {
    int burst_a;
    int burst_b;
    const char *flags[4];
    const char *faults;
    int code;
    json_int_t revision;
  } cases[] = {
    { 1, 1, { NULL }, NULL, 0, 1 },
    { 1, 1, { NULL }, NULL, 0, 1 },
    { 2, 1, { "--dry-run", NULL }, NULL, 0, 1 },
    { 2, 1, { "--base", "1", NULL }, NULL, 0, 2 },
    /* Changes another entry than revision 2 did, so both edits persist. */
    { 1, 2, { "--base", "1", NULL }, NULL, 0, 3 },
    /* Changes the entry that revision 2 changed: a conflict. */
    { 3, 1, { "--base", "1", NULL }, NULL, 3, 3 },
    { 3, 1, { "--base", "9", NULL }, NULL, 1, 3 },
    { 3, 1, { "--base", "x", NULL }, NULL, 2, 3 },
    { 3, 1, { "--wait", NULL }, NULL, 2, 3 },
    /* The list is invalid: a plan with a rate has a burst of 0. */
    { 0, 1, { NULL }, NULL, 1, 3 },
    /* The writes took effect, but their responses were lost. */
    { 3,
      3,
      { NULL },
      "{\"lose_answers\":1,\"prefix\":\"config/root\"}",
      0,
      4 },
    { 4, 3, { NULL }, "{\"lose_answers\":3,\"prefix\":\"config/\"}", 0, 5 },
    { 5, 3, { NULL }, "{\"down\":true}", 1, 5 },
    /* No node answers at that address, so it is unknown whether the edit is
       in force. */
    { 6,
      3,
      { "--wait", "--wait-ms=1", "--node=127.0.0.1:9", NULL },
      NULL,
      4,
      6 },
  };

  start_store ();
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      if (cases[i].faults)
        CU_ASSERT (cluster_set_faults (cluster, cases[i].faults));
      const int code
          = apply_bursts (cases[i].burst_a, cases[i].burst_b, cases[i].flags);
      CU_ASSERT (cluster_set_faults (
          cluster, "{\"down\":false,\"lose_answers\":0,\"prefix\":\"\"}"));
      const json_int_t revision = stored_revision ();
      CU_ASSERT_EQUAL (code, cases[i].code);
      CU_ASSERT_EQUAL (revision, cases[i].revision);
      if (code != cases[i].code || revision != cases[i].revision)
        printf ("case %zu: code %d, revision %lld\n", i, code,
                (long long)revision);
    }
  cluster_destroy (cluster);
}

/* ---- nodes ---- */

struct log_search
{
  const struct cluster_proc *node;
  const char *text;
};

static bool
log_contains (void *ctx)
{
  const struct log_search *search = ctx;
  char line[4096];
  bool found = false;
  FILE *f = fopen (search->node->log, "rb");

  while (f && !found && fgets (line, sizeof line, f))
    found = strstr (line, search->text) != NULL;
  if (f)
    fclose (f);
  return found;
}

static bool
wait_logged (const struct cluster_proc *node, const char *text)
{
  struct log_search search = { .node = node, .text = text };
  const bool ok = cluster_poll_until (log_contains, &search, WAIT_TIMEOUT_MS);

  if (!ok)
    printf ("%s has not logged '%s'\n", node->bus_addr, text);
  return ok;
}

static bool
wait_adopted (const struct cluster_proc *node, int revision)
{
  char text[64];

  snprintf (text, sizeof text, "event=adopted revision=%d ", revision);
  return wait_logged (node, text);
}

/* Returns true if the node adopted a revision and each one was higher than the
   one before. */
static bool
revisions_increase (const struct cluster_proc *node)
{
  static const char event[] = "event=adopted revision=";
  char line[4096];
  long last = 0;
  bool ok = true;
  FILE *f = fopen (node->log, "rb");

  while (f && fgets (line, sizeof line, f))
    {
      const char *p = strstr (line, event);
      const long n = p ? strtol (p + sizeof event - 1, NULL, 10) : 0;

      if (p && n <= last)
        ok = false;
      if (p)
        last = n;
    }
  if (f)
    fclose (f);
  return ok && last > 0;
}

static void
start_nodes (struct cluster_proc *nodes[3])
{
  static const char *const domains[3] = { "a", "a", "b" };

  start_store ();
  CU_ASSERT_EQUAL (apply_bursts (1, 1, NULL), 0);
  for (size_t i = 0; i < 3; i++)
    nodes[i] = cluster_node (cluster, domains[i], NULL);
  for (size_t i = 0; i < 3; i++)
    {
      CU_ASSERT (wait_adopted (nodes[i], 1));
      CU_ASSERT (wait_logged (nodes[i], "module=config event=ready"));
    }
}

/* Guards against an edit that does not reach a node, and against a node that
   starts with an old configuration because the store is down or answers with a
   stale read. */
static void
test_edit_reaches_nodes (void)
{
  struct cluster_proc *nodes[3];

  start_nodes (nodes);
  CU_ASSERT_EQUAL (apply_bursts (2, 1, NULL), 0);
  for (size_t i = 0; i < 3; i++)
    CU_ASSERT (wait_adopted (nodes[i], 2));
  CU_ASSERT (cluster_set_faults (
      cluster, "{\"stale_reads\":2,\"prefix\":\"config/root\"}"));
  const struct cluster_proc *started_after_stale_read
      = cluster_node (cluster, "b", NULL);
  CU_ASSERT (wait_adopted (started_after_stale_read, 2));
  CU_ASSERT (
      cluster_set_faults (cluster, "{\"stale_reads\":0,\"down\":true}"));
  const struct cluster_proc *started_in_outage
      = cluster_node (cluster, "b", NULL);
  CU_ASSERT (wait_adopted (started_in_outage, 2));
  CU_ASSERT (wait_logged (started_in_outage,
                          "event=ready revision=2 store=no peer=yes"));
  CU_ASSERT (cluster_set_faults (cluster, "{\"down\":false}"));
  CU_ASSERT_EQUAL (apply_bursts (3, 1, NULL), 0);
  CU_ASSERT (wait_adopted (started_in_outage, 3));
  CU_ASSERT (revisions_increase (started_after_stale_read));
  cluster_destroy (cluster);
}

/* Guards against a node that keeps using an old configuration after it was
   paused. */
static void
test_paused_node_catches_up (void)
{
  struct cluster_proc *nodes[3];

  start_nodes (nodes);
  CU_ASSERT (cluster_signal (nodes[1], SIGSTOP));
  CU_ASSERT_EQUAL (apply_bursts (2, 1, NULL), 0);
  CU_ASSERT_EQUAL (apply_bursts (3, 1, NULL), 0);
  CU_ASSERT (wait_adopted (nodes[2], 3));
  CU_ASSERT (cluster_signal (nodes[1], SIGCONT));
  for (size_t i = 0; i < 3; i++)
    {
      CU_ASSERT (wait_adopted (nodes[i], 3));
      CU_ASSERT (revisions_increase (nodes[i]));
    }
  cluster_destroy (cluster);
}

/* Writes a root for revision 2 that refers to a single new chunk. The chunk is
   valid JSON, but not a valid list of plans. */
static void
write_damaged_root (void)
{
  static const char chunk[] = "[{\"name\":\"a\"}]";
  struct str hash = config_hash (STR (chunk));
  struct str path
      = str_printf ("/objects/config/chunk/" STR_FMT, STR_ARG (hash));
  struct str root = str_printf (
      "{\"format\":1,\"revision\":2,\"writer\":\"test\",\"sequence\":1,"
      "\"applied_at_ms\":1,\"chunks\":[{\"name\":\"plans/0\","
      "\"hash\":\"" STR_FMT "\"}]}",
      STR_ARG (hash));
  struct cluster_reply r = cluster_http (
      cluster->store, "PUT", path.data,
      (const char *const[]){ "If-Match: 0", NULL }, chunk, CALL_TIMEOUT_MS);
  char if_match[64];

  CU_ASSERT_EQUAL (r.status, 200);
  cluster_reply_free (&r);
  r = cluster_http (cluster->store, "GET", "/objects/config/root", NULL, NULL,
                    CALL_TIMEOUT_MS);
  snprintf (if_match, sizeof if_match, "If-Match: " STR_FMT,
            STR_ARG (cluster_header (&r, "x-version")));
  cluster_reply_free (&r);
  r = cluster_http (cluster->store, "PUT", "/objects/config/root",
                    (const char *const[]){ if_match, NULL }, root.data,
                    CALL_TIMEOUT_MS);
  CU_ASSERT_EQUAL (r.status, 200);
  cluster_reply_free (&r);
  str_free (&hash);
  str_free (&path);
  str_free (&root);
}

/* Guards against nodes that adopt a damaged configuration, or that fail to
   adopt the next valid one because of it. */
static void
test_damaged_configuration (void)
{
  struct cluster_proc *nodes[3];

  start_nodes (nodes);
  write_damaged_root ();
  for (size_t i = 0; i < 3; i++)
    CU_ASSERT (wait_logged (nodes[i], "event=rejected revision=2 "));
  CU_ASSERT_EQUAL (apply_bursts (2, 1, NULL), 0);
  for (size_t i = 0; i < 3; i++)
    {
      struct log_search search
          = { .node = nodes[i], .text = "event=adopted revision=2 " };

      CU_ASSERT (wait_adopted (nodes[i], 3));
      CU_ASSERT_FALSE (log_contains (&search));
    }
  cluster_destroy (cluster);
}

static const struct suite_case cases[] = {
  { "exit codes of apply", test_exit_codes },
  { "an edit reaches all nodes", test_edit_reaches_nodes },
  { "a paused node catches up", test_paused_node_catches_up },
  { "a damaged configuration", test_damaged_configuration },
};
TEST_SUITE ("config", cases)
