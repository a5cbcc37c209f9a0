#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cluster.h"
#include "lists.h"
#include "suite.h"

#define CALL_MS 5000
#define WAIT_MS 10000

/* Tests of the stand-in store, engine and service. All other end-to-end tests
   rely on their injected faults and their checks, so each one is verified
   here. */

static struct cluster *cluster;
static struct cluster_proc *store;
static struct cluster_proc *engine;

static void
start_standins (bool with_engine)
{
  cluster = cluster_create ("test");
  store = cluster_store (cluster, CLUSTER_FLAGS ("--loads-per-s", "100"));
  if (with_engine)
    engine = cluster_engine (cluster, "lm", "a",
                             CLUSTER_FLAGS ("--memory", "100", "--load-ms",
                                            "20", "--token-ms", "2"));
}

static long
put_object (const char *version, const char *value, CURLcode *error)
{
  char if_match[64];

  snprintf (if_match, sizeof if_match, "If-Match: %s", version);
  struct cluster_reply r
      = cluster_http (store, "PUT", "/objects/k/1",
                      (const char *const[]){ if_match, NULL }, value, CALL_MS);
  cluster_reply_free (&r);
  if (error)
    *error = r.error;
  return r.status;
}

/* Checks the value of the object and writes its version to @version. */
static void
check_object (const char *expected, char version[24])
{
  struct cluster_reply r
      = cluster_http (store, "GET", "/objects/k/1", NULL, NULL, CALL_MS);

  CU_ASSERT_EQUAL (r.status, 200);
  CU_ASSERT_TRUE (str_eq (buf_str (&r.body), str_from (expected)));
  snprintf (version, 24, STR_FMT, STR_ARG (cluster_header (&r, "x-version")));
  cluster_reply_free (&r);
}

/* Guards against a store in which two conditional writes to the same version
   both succeed. */
static void
test_conflict (void)
{
  char version[24];

  start_standins (false);
  CU_ASSERT_EQUAL (put_object ("0", "one", NULL), 200);
  CU_ASSERT_EQUAL (put_object ("0", "two", NULL), 409);
  check_object ("one", version);
  CU_ASSERT_EQUAL (put_object (version, "two", NULL), 200);
  CU_ASSERT_EQUAL (put_object (version, "three", NULL), 409);
  check_object ("two", version);
  CU_ASSERT_EQUAL (cluster_json_int (store, "/counts", "conflicts"), 2);
  cluster_destroy (cluster);
}

/* Guards against a store that keeps all or part of a value over the size
   limit. */
static void
test_value_limit (void)
{
  const size_t limit = (size_t)1 << 20;
  char *value = calloc (1, limit + 2);
  char version[24];

  start_standins (false);
  memset (value, 'v', limit + 1);
  CU_ASSERT_EQUAL (put_object ("0", value, NULL), 413);
  value[limit] = '\0';
  CU_ASSERT_EQUAL (put_object ("0", value, NULL), 200);
  check_object (value, version);
  free (value);
  cluster_destroy (cluster);
}

/* Guards against an injected lost response whose write did not take effect,
   and against an injected stale read that returns the current value. */
static void
test_store_faults (void)
{
  CURLcode error;
  char before[24];
  char current[24];

  start_standins (false);
  put_object ("0", "one", NULL);
  check_object ("one", before);
  CU_ASSERT_TRUE (cluster_set_faults (cluster, "{\"lose_answers\": 1}"));
  put_object (before, "two", &error);
  CU_ASSERT_EQUAL (error, CURLE_GOT_NOTHING);
  check_object ("two", current);
  CU_ASSERT_TRUE (cluster_set_faults (
      cluster, "{\"stale_reads\": 1, \"prefix\": \"k/\"}"));
  check_object ("one", current);
  CU_ASSERT_STRING_EQUAL (current, before);
  check_object ("two", current);
  CU_ASSERT_TRUE (cluster_set_faults (cluster, "{\"down\": true}"));
  CU_ASSERT_EQUAL (put_object (current, "three", NULL), 503);
  CU_ASSERT_TRUE (cluster_set_faults (cluster, "{\"down\": false}"));
  CU_ASSERT_EQUAL (put_object (current, "three", NULL), 200);
  cluster_destroy (cluster);
}

static bool
one_watch_waits (void *ctx)
{
  (void)ctx;
  return cluster_json_int (store, "/counts", "waiting") == 1;
}

/* Guards against a watch that misses a change or returns without one before
   its timeout. */
static void
test_watch (void)
{
  char version[24];
  char path[80];

  start_standins (false);
  put_object ("0", "one", NULL);
  check_object ("one", version);
  snprintf (path, sizeof path, "/objects/k/1?watch=%s&timeout_ms=50", version);
  struct cluster_reply r
      = cluster_http (store, "GET", path, NULL, NULL, CALL_MS);
  CU_ASSERT_EQUAL (r.status, 204);
  cluster_reply_free (&r);
  snprintf (path, sizeof path, "/objects/k/1?watch=%s&timeout_ms=9000",
            version);
  struct cluster_request *call
      = cluster_http_start (store, "GET", path, NULL, NULL, WAIT_MS);
  CU_ASSERT_TRUE (cluster_poll_until (one_watch_waits, NULL, CALL_MS));
  put_object (version, "two", NULL);
  r = cluster_http_wait (call);
  CU_ASSERT_EQUAL (r.status, 200);
  CU_ASSERT_TRUE (cluster_contains (&r, "two"));
  cluster_reply_free (&r);
  cluster_destroy (cluster);
}

static long
send_order (const char *id, int fence, const char *kind, const char *model,
            int bytes)
{
  struct str body = str_printf (
      "{\"order_id\":\"%s\",\"fence\":%d,\"instance\":%lld,\"kind\":\"%s\","
      "\"model\":\"%s\",\"version\":\"1\",\"bytes\":%d}",
      id, fence, (long long)cluster_json_int (engine, "/status", "instance"),
      kind, model, bytes);
  struct cluster_reply r
      = cluster_http (engine, "POST", "/orders", NULL, body.data, CALL_MS);

  str_free (&body);
  cluster_reply_free (&r);
  return r.status;
}

static bool
loads_done (void *ctx)
{
  return cluster_json_int (engine, "/counts", "loads") == *(int *)ctx;
}

static bool
load_model (const char *id, const char *model, int bytes, int loads)
{
  CU_ASSERT_EQUAL (send_order (id, 1, "load", model, bytes), 202);
  return cluster_poll_until (loads_done, &loads, WAIT_MS);
}

/* Guards against an engine that overcommits memory, executes an order twice or
   accepts an order with an old fencing token. */
static void
test_orders (void)
{
  start_standins (true);
  CU_ASSERT_TRUE (load_model ("o1", "m", 60, 1));
  CU_ASSERT_EQUAL (send_order ("o2", 1, "load", "n", 60), 507);
  CU_ASSERT_EQUAL (send_order ("o3", 2, "unload", "m", 0), 202);
  CU_ASSERT_EQUAL (send_order ("o4", 1, "load", "n", 10), 409);
  /* A repeated order has no effect, whatever its fencing token, and gets the
     same response as before. */
  CU_ASSERT_EQUAL (send_order ("o1", 1, "load", "m", 60), 202);
  CU_ASSERT_EQUAL (cluster_json_int (engine, "/counts", "loads"), 1);
  CU_ASSERT_EQUAL (cluster_json_int (engine, "/counts", "unloads"), 1);
  CU_ASSERT_EQUAL (cluster_json_int (engine, "/counts", "refused_memory"), 1);
  CU_ASSERT_EQUAL (cluster_json_int (engine, "/counts", "old_fences"), 1);
  CU_ASSERT_EQUAL (cluster_json_int (engine, "/counts", "violations"), 0);
  CU_ASSERT_EQUAL (cluster_json_int (engine, "/counts", "most_bytes"), 60);
  cluster_destroy (cluster);
}

static struct cluster_reply
send_chat (const char *attempt, const char *text, bool stream)
{
  char header[64];
  struct str body
      = str_printf ("{\"model\":\"m\",\"stream\":%s,\"messages\":[{\"role\":"
                    "\"user\",\"content\":\"%s\"}]}",
                    stream ? "true" : "false", text);

  snprintf (header, sizeof header, "X-Attempt-Id: %s", attempt);
  struct cluster_reply r = cluster_http (
      engine, "POST", "/v1/chat/completions",
      (const char *const[]){ header, NULL }, body.data, CALL_MS);
  str_free (&body);
  return r;
}

/* Guards against responses that cannot be told apart, and against broken
   responses that a client would take for complete ones. */
static void
test_answers (void)
{
  static const struct
  {
    const char *text;
    bool stream;
    bool whole;
    const char *part;
  } cases[] = {
    { "first words", true, true, " words" },
    { "other text", false, true, "other text" },
    { "CUT here", true, false, " CUT" },
    { "CUT here", false, false, NULL },
    { "DROP here", true, false, " DROP" },
    { "CROSS here", true, true, "\"attempt\":\"another-attempt\"" },
    { "SLOW 20 start", true, true, " start" },
  };

  start_standins (true);
  CU_ASSERT_TRUE (load_model ("o1", "m", 60, 1));
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      char attempt[16];
      snprintf (attempt, sizeof attempt, "a%zu", i);
      struct cluster_reply r
          = send_chat (attempt, cases[i].text, cases[i].stream);
      CU_ASSERT_EQUAL (r.status, 200);
      CU_ASSERT_EQUAL (r.error == CURLE_OK, cases[i].whole);
      CU_ASSERT_TRUE (!cases[i].part || cluster_contains (&r, cases[i].part));
      CU_ASSERT_EQUAL (cluster_contains (&r, "data: [DONE]"),
                       cases[i].whole && cases[i].stream);
      cluster_reply_free (&r);
    }
  struct cluster_reply r = send_chat ("a0", "again", false);
  cluster_reply_free (&r);
  CU_ASSERT_EQUAL (cluster_json_int (engine, "/counts", "repeated"), 1);
  CU_ASSERT_EQUAL (cluster_json_int (engine, "/counts", "attempts/a0"), 2);
  cluster_destroy (cluster);
}

/* Guards against a resumed stream that repeats or omits events, and against a
   stream that can still be resumed after it was cut or cancelled. */
static void
test_resume (void)
{
  start_standins (true);
  CU_ASSERT_TRUE (load_model ("o1", "m", 60, 1));
  struct cluster_reply r = send_chat ("d", "DROP me", true);
  CU_ASSERT_NOT_EQUAL (r.error, CURLE_OK);
  CU_ASSERT_TRUE (cluster_contains (&r, "id: 8\n"));
  CU_ASSERT_FALSE (cluster_contains (&r, "id: 9\n"));
  cluster_reply_free (&r);
  r = cluster_http (engine, "GET", "/streams/d?from=8", NULL, NULL, CALL_MS);
  CU_ASSERT_EQUAL (r.error, CURLE_OK);
  CU_ASSERT_FALSE (cluster_contains (&r, "id: 8\n"));
  CU_ASSERT_TRUE (cluster_contains (&r, "id: 9\n"));
  CU_ASSERT_TRUE (cluster_contains (&r, "\"usage\":"));
  CU_ASSERT_TRUE (cluster_contains (&r, "data: [DONE]"));
  cluster_reply_free (&r);
  r = cluster_http (engine, "DELETE", "/streams/d", NULL, NULL, CALL_MS);
  CU_ASSERT_EQUAL (r.status, 200);
  cluster_reply_free (&r);
  r = cluster_http (engine, "GET", "/streams/d?from=0", NULL, NULL, CALL_MS);
  CU_ASSERT_EQUAL (r.status, 404);
  cluster_reply_free (&r);
  r = send_chat ("c", "CUT me", true);
  cluster_reply_free (&r);
  r = cluster_http (engine, "GET", "/streams/c?from=0", NULL, NULL, CALL_MS);
  CU_ASSERT_EQUAL (r.status, 404);
  cluster_reply_free (&r);
  cluster_destroy (cluster);
}

static bool
one_request_runs (void *ctx)
{
  (void)ctx;
  return cluster_json_int (engine, "/status", "running") == 1;
}

/* Guards against an unload that interrupts a running request, and against an
   engine that admits a new one during the unload. */
static void
test_unload (void)
{
  start_standins (true);
  CU_ASSERT_TRUE (load_model ("o1", "m", 60, 1));
  struct cluster_request *call = cluster_http_start (
      engine, "POST", "/v1/completions",
      (const char *const[]){ "X-Attempt-Id: u", NULL },
      "{\"model\":\"m\",\"stream\":true,\"prompt\":\"SLOW 300 end\"}",
      CALL_MS);
  CU_ASSERT_TRUE (cluster_poll_until (one_request_runs, NULL, CALL_MS));
  CU_ASSERT_EQUAL (send_order ("o2", 1, "unload", "m", 0), 202);
  struct cluster_reply r = send_chat ("v", "late", false);
  CU_ASSERT_EQUAL (r.status, 404);
  cluster_reply_free (&r);
  r = cluster_http_wait (call);
  CU_ASSERT_EQUAL (r.error, CURLE_OK);
  CU_ASSERT_TRUE (cluster_contains (&r, "data: [DONE]"));
  cluster_reply_free (&r);
  CU_ASSERT_EQUAL (cluster_json_int (engine, "/counts", "unloads"), 1);
  cluster_destroy (cluster);
}

/* Guards against an engine that still responds when it crashes, or that keeps
   its models or its instance number over a restart. */
static void
test_crash (void)
{
  start_standins (true);
  CU_ASSERT_TRUE (load_model ("o1", "m", 60, 1));
  const json_int_t instance = cluster_json_int (engine, "/status", "instance");
  struct cluster_reply r = send_chat ("x", "CRASH now", true);
  CU_ASSERT_EQUAL (r.error, CURLE_GOT_NOTHING);
  cluster_reply_free (&r);
  CU_ASSERT_EQUAL (cluster_wait_exit (engine, CALL_MS), 70);
  CU_ASSERT_TRUE (cluster_restart (engine));
  CU_ASSERT_NOT_EQUAL (cluster_json_int (engine, "/status", "instance"),
                       instance);
  r = send_chat ("y", "hello", false);
  CU_ASSERT_EQUAL (r.status, 404);
  cluster_reply_free (&r);
  cluster_destroy (cluster);
}

/* Guards against a replica count that omits an engine or includes one that has
   died. The count shows whether more replicas were loaded than placement
   decided. */
static void
test_replicas (void)
{
  start_standins (true);
  struct cluster_proc *first = engine;
  struct cluster_proc *second = cluster_engine (
      cluster, "lm", "b",
      CLUSTER_FLAGS ("--load-ms", "20", "--max-replicas-check", "1"));

  CU_ASSERT_TRUE (load_model ("o1", "m", 60, 1));
  engine = second;
  CU_ASSERT_TRUE (load_model ("o2", "m", 60, 1));
  CU_ASSERT_EQUAL (cluster_json_int (second, "/counts", "replica_violations"),
                   1);
  CU_ASSERT_EQUAL (
      cluster_json_int (store, "/weights/counts", "most_replicas/m"), 2);
  cluster_kill (first);
  CU_ASSERT_TRUE (cluster_restart (second));
  CU_ASSERT_TRUE (load_model ("o3", "m", 60, 1));
  CU_ASSERT_EQUAL (cluster_json_int (second, "/counts", "replica_violations"),
                   0);
  CU_ASSERT_EQUAL (
      cluster_json_int (store, "/weights/counts", "model_loads/m"), 3);
  cluster_destroy (cluster);
}

static struct str
read_file (const char *path)
{
  struct buf b = { 0 };
  char part[4096];
  size_t n;
  FILE *f = fopen (path, "r");

  while (f && (n = fread (part, 1, sizeof part, f)) > 0)
    buf_append (&b, (struct str){ .data = part, .len = n });
  if (f)
    fclose (f);
  return buf_str (&b);
}

/* Guards against sample lists that are invalid, so that the other tests cannot
   apply them. */
static void
test_sample_lists (void)
{
  static const struct
  {
    const char *plans;
    const char *uses;
    const char *customer;
    size_t adapters;
  } samples[] = {
    { "tests/lists/titlovi/plans.json", "tests/lists/titlovi/uses.json",
      "hnk-split", 56 },
    { "tests/lists/magnolia/plans.json", "tests/lists/magnolia/uses.json",
      "desk-mobile", 64 },
  };

  for (size_t i = 0; i < sizeof samples / sizeof *samples; i++)
    {
      struct str plans = read_file (samples[i].plans);
      struct str uses = read_file (samples[i].uses);
      struct lists *lists = NULL;
      struct lists_error error = { 0 };
      size_t adapters = 0;
      CU_ASSERT_EQUAL_FATAL (lists_parse (plans, uses, 1, &lists, &error), 0);
      for (size_t j = 0; j < lists->model_count; j++)
        adapters += lists->models[j].adapter_count;
      CU_ASSERT_EQUAL (lists->model_count, 30);
      CU_ASSERT_EQUAL (adapters, samples[i].adapters);
      CU_ASSERT_PTR_NOT_NULL (
          lists_customer_by_name (lists, str_from (samples[i].customer)));
      lists_destroy (lists);
      str_free (&plans);
      str_free (&uses);
    }
}

/* Guards against a silenced connection on which data is sent again, and
   against new connections that are silent too. */
static void
test_silence (void)
{
  start_standins (true);
  CU_ASSERT_TRUE (load_model ("o1", "m", 60, 1));
  struct cluster_request *call = cluster_http_start (
      engine, "POST", "/v1/completions",
      (const char *const[]){ "X-Attempt-Id: s", NULL },
      "{\"model\":\"m\",\"stream\":true,\"prompt\":\"SLOW 3000 end\"}", 4000);
  CU_ASSERT_TRUE (cluster_poll_until (one_request_runs, NULL, CALL_MS));
  struct cluster_reply r
      = cluster_http (engine, "POST", "/silence", NULL, "", CALL_MS);
  CU_ASSERT_EQUAL (r.status, 200);
  cluster_reply_free (&r);
  r = cluster_http_wait (call);
  CU_ASSERT_EQUAL (r.error, CURLE_OPERATION_TIMEDOUT);
  CU_ASSERT_FALSE (cluster_contains (&r, "data:"));
  cluster_reply_free (&r);
  r = cluster_http (engine, "GET", "/streams/s?from=0", NULL, NULL, CALL_MS);
  CU_ASSERT_EQUAL (r.error, CURLE_OK);
  CU_ASSERT_TRUE (cluster_contains (&r, "data: [DONE]"));
  cluster_reply_free (&r);
  cluster_destroy (cluster);
}

static size_t
discard_body (char *data, size_t size, size_t n, void *ctx)
{
  (void)data;
  (void)ctx;
  return size * n;
}

/* Guards against a service that does not count a run whose response was lost.
   libcurl repeats a POST on a reused connection that closes before the
   response. */
static void
test_service (void)
{
  start_standins (false);
  struct cluster_proc *service
      = cluster_service (cluster, "app", "a", CLUSTER_FLAGS ());
  CURL *curl = curl_easy_init ();
  struct str url = str_printf ("%s/release", service->url);
  struct curl_slist *headers
      = curl_slist_append (NULL, "Idempotency-Key: cue-1");

  curl_easy_setopt (curl, CURLOPT_URL, url.data);
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, discard_body);
  curl_easy_setopt (curl, CURLOPT_POSTFIELDS, "CLOSE");
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, (long)CALL_MS);
  CU_ASSERT_EQUAL (curl_easy_perform (curl), CURLE_OK);
  CU_ASSERT_EQUAL (cluster_json_int (service, "/counts", "keys/cue-1"), 1);
  CU_ASSERT_EQUAL (curl_easy_perform (curl), CURLE_OK);
  CU_ASSERT_EQUAL (cluster_json_int (service, "/counts", "keys/cue-1"), 3);
  curl_easy_cleanup (curl);
  curl_slist_free_all (headers);
  str_free (&url);
  cluster_destroy (cluster);
}

static const struct suite_case cases[] = {
  { "conditional update", test_conflict },
  { "value limit", test_value_limit },
  { "lost answer, stale read, outage", test_store_faults },
  { "watch", test_watch },
  { "orders", test_orders },
  { "answers", test_answers },
  { "resume", test_resume },
  { "unload while running", test_unload },
  { "crash and restart", test_crash },
  { "replica count", test_replicas },
  { "silent connection", test_silence },
  { "service counts runs", test_service },
  { "sample lists", test_sample_lists },
};
TEST_SUITE ("standins", cases)
