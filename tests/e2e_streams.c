#include <signal.h>
#include <stdio.h>
#include <unistd.h>

#include "edgecluster.h"
#include "suite.h"

/* Streams that have begun and need another server. With the routes of the
   tests a client waits 2,000 ms for the next event, and the node leaves a
   server that is silent for 1,000 ms. The first server gets the call, because
   both are idle; it runs one call and rejects all others as full, so that only
   the second one can resume the stream. */

#define ROUTE_TIMEOUT_MS 5000
#define WAIT_TIMEOUT_MS 15000
/* Time for which no server is listed; less than a client waits. */
#define UNLISTED_MS 300
#define CALL_ID "id-1"
#define CALL_ID_FIELD "id=id-1 " /* of log lines */
#define MODELS                                                                \
  "[{\"name\":\"m1\",\"version\":1,\"adapters\":[]},"                         \
  "{\"name\":\"m2\",\"version\":1,\"adapters\":[]}]"
#define SERVER(...)                                                           \
  CLUSTER_FLAGS ("--models", "m1,m2" __VA_OPT__ (, ) __VA_ARGS__)
#define FIRST(...) SERVER ("--reject-after", "1" __VA_OPT__ (, ) __VA_ARGS__)
/* More repeats than any of the tests needs. */
#define NODE(...)                                                             \
  CLUSTER_FLAGS ("--retry-slack", "1000" __VA_OPT__ (, ) __VA_ARGS__)

struct streams
{
  struct edgecluster e;
  struct cluster_proc *first;
  struct cluster_proc *second;
  struct cluster_proc *third; /* NULL in most cases */
  struct cluster_proc *plain; /* has no slots */
  struct cluster_proc *edge;
};

/**
 * struct stream_case - a stream that the last server completes, or the first
 * one if @second_runs is 0.
 * @path: of the call; NULL for that of most cases.
 * @first: flags of the first server.
 * @second: flags of the second server.
 * @third: flags of the third server, which runs the call once and whose entry
 * @meanwhile puts; NULL if there is none.
 * @node: flags of the node; NULL for those that suffice for most cases.
 * @second_unlisted: @meanwhile puts the second server's entry.
 * @meanwhile: runs once the first server has the call; may be NULL.
 * @afterwards: checks that follow the response; may be NULL.
 */
struct stream_case
{
  const char *path;
  const char *const *first;
  const char *const *second;
  const char *const *third;
  const char *const *node;
  bool second_unlisted;
  void (*meanwhile) (const struct streams *s);
  void (*afterwards) (const struct streams *s);
  int second_runs;
};

static struct streams
start (const struct stream_case *x)
{
  struct streams s = { .e = edgecluster_create () };

  s.first = cluster_server (s.e.cluster, "lm", "a", x->first);
  s.second = cluster_server (s.e.cluster, "lm", "a", x->second);
  s.plain = cluster_server (s.e.cluster, "plain", "a", NULL);
  if (x->third)
    s.third = cluster_server (s.e.cluster, "lm", "a", x->third);
  edgecluster_put_full_server (&s.e, s.plain);
  edgecluster_put_server (&s.e, s.first, "ready", MODELS);
  if (!x->second_unlisted)
    edgecluster_put_server (&s.e, s.second, "ready", MODELS);
  edgecluster_configure (&s.e, ROUTE_TIMEOUT_MS);
  s.edge = cluster_edge (s.e.cluster, "a", x->node ? x->node : NODE ());
  CU_ASSERT_TRUE_FATAL (cluster_ready (s.e.cluster));
  return s;
}

static bool
has_run (void *ctx)
{
  return edgecluster_run_count (ctx, CALL_ID) > 0;
}

static void
check_stream (const struct stream_case *x)
{
  struct streams s = start (x);
  struct cluster_request *call = edgecluster_call_begin (
      s.edge, "POST", x->path ? x->path : "/stream/x", CALL_ID, "m1",
      "prompt");

  CU_ASSERT_TRUE (cluster_poll_until (has_run, s.first, WAIT_TIMEOUT_MS));
  if (x->meanwhile)
    x->meanwhile (&s);
  struct cluster_reply r = cluster_http_wait (call);
  CU_ASSERT_EQUAL (r.error, CURLE_OK);
  CU_ASSERT_EQUAL (r.status, 200);
  CU_ASSERT (str_eq (buf_str (&r.body), edgecluster_whole_stream ()));
  CU_ASSERT_EQUAL (edgecluster_run_count (s.first, CALL_ID), 1);
  CU_ASSERT_EQUAL (edgecluster_run_count (s.second, CALL_ID), x->second_runs);
  if (s.third)
    CU_ASSERT_EQUAL (edgecluster_run_count (s.third, CALL_ID), 1);
  cluster_reply_free (&r);
  if (x->afterwards)
    x->afterwards (&s);
  edgecluster_destroy (&s.e);
}

static void
wait_attempt_failed (const struct streams *s)
{
  CU_ASSERT_TRUE (edgecluster_wait_logged (
      s->edge,
      (const char *const[]){ "event=attempt-failed", CALL_ID_FIELD, NULL }));
}

/* @reason is a word of the log line. */
static void
wait_for_wait (const struct streams *s, const char *reason)
{
  CU_ASSERT_TRUE (edgecluster_wait_logged (
      s->edge,
      (const char *const[]){ "event=wait ", CALL_ID_FIELD, reason, NULL }));
}

static void
drain_first (const struct streams *s)
{
  edgecluster_put_server (&s->e, s->first, "draining", MODELS);
  CU_ASSERT_TRUE (edgecluster_wait_logged (
      s->edge, (const char *const[]){ "event=server-leaving", NULL }));
}

static void
replace_first (const struct streams *s)
{
  drain_first (s);
  wait_attempt_failed (s);
  wait_for_wait (s, "reason=no-server ");
  usleep (UNLISTED_MS * 1000);
  edgecluster_put_server (&s->e, s->second, "ready", MODELS);
}

/* Each first call to the service adds to its retry budget. Only the second
   server may get this one, because a rejection would use up the budget. */
static void
send_first_call (const struct streams *s)
{
  drain_first (s);
  wait_attempt_failed (s);
  wait_for_wait (s, "reason=retry-budget ");
  struct cluster_reply r
      = edgecluster_call (s->edge, "POST", "/whole/x", "id-2", "m1", "prompt");

  CU_ASSERT_EQUAL (r.error, CURLE_OK);
  cluster_reply_free (&r);
}

/* Lists the third server only now, so that the second one is asked first. */
static void
add_third (const struct streams *s)
{
  CU_ASSERT_TRUE (cluster_poll_until (has_run, s->second, WAIT_TIMEOUT_MS));
  edgecluster_put_server (&s->e, s->third, "ready", MODELS);
}

/* Returns once the node has refused a call that waited when it was stopped,
   which it does after half of the grace period. */
static void
stop_node (const struct streams *s)
{
  struct cluster_request *waiting = edgecluster_call_begin (
      s->edge, "GET", "/plain/x", "id-2", NULL, NULL);

  CU_ASSERT_TRUE (edgecluster_wait_logged (
      s->edge, (const char *const[]){ "event=wait ", "id=id-2 ", NULL }));
  CU_ASSERT_TRUE (cluster_signal (s->edge, SIGTERM));
  struct cluster_reply r = cluster_http_wait (waiting);

  CU_ASSERT_EQUAL (r.status, 503);
  cluster_reply_free (&r);
}

static void
check_waited_after_refusal (const struct streams *s)
{
  const int refusal = edgecluster_log_line (
      s->edge, (const char *const[]){ "event=call ", "id=id-2 ",
                                      "reason=node-stops ", NULL });
  const int wait = edgecluster_log_line (
      s->edge, (const char *const[]){ "event=wait ", CALL_ID_FIELD, NULL });

  CU_ASSERT_TRUE (refusal > 0);
  CU_ASSERT_TRUE (wait > refusal);
}

enum
{
  LATE_STREAM,
  MANY_REJECTIONS,
  PAUSED_SERVER,
  SILENT_SERVER,
  NO_SERVER_LISTED,
  NO_RETRY_BUDGET,
  NODE_STOPS,
  CUT_FOR_GOOD,
  CUT_AFTER_LAST_EVENT,
  RESUME_FAILED,
};

static const struct stream_case stream_cases[] = {
  [LATE_STREAM]
  = { .first = FIRST ("--fault", "cut-event", "--event-gap-ms", "750"),
      .second = SERVER ("--reject-first", "2"),
      .second_runs = 1 },
  [MANY_REJECTIONS] = { .first = FIRST ("--fault", "cut-event"),
                        .second = SERVER ("--reject-first", "4"),
                        .second_runs = 1 },
  [PAUSED_SERVER] = { .first = FIRST ("--fault", "pause"),
                      .second = SERVER ("--fault", "shed") },
  [SILENT_SERVER]
  = { .first = FIRST ("--fault", "silent", "--event-gap-ms", "700"),
      .second = SERVER ("--reject-first", "2"),
      .second_runs = 1 },
  [NO_SERVER_LISTED]
  = { .first = FIRST ("--fault", "cut-event", "--event-gap-ms", "300"),
      .second = SERVER (),
      .second_unlisted = true,
      .meanwhile = replace_first,
      .second_runs = 1 },
  /* The budget allows a repeat for two first calls, but not for one. */
  [NO_RETRY_BUDGET]
  = { .first = FIRST ("--fault", "cut-event", "--event-gap-ms", "200"),
      .second = SERVER (),
      .node = CLUSTER_FLAGS ("--retry-slack", "0", "--retry-ratio", "1"),
      .meanwhile = send_first_call,
      .second_runs = 1 },
  /* The first server breaks off after half of the grace period. */
  [NODE_STOPS]
  = { .first = FIRST ("--fault", "cut-event", "--event-gap-ms", "800"),
      .second = SERVER ("--reject-first", "1"),
      .node = NODE ("--grace-s", "4"),
      .meanwhile = stop_node,
      .afterwards = check_waited_after_refusal,
      .second_runs = 1 },
  [CUT_FOR_GOOD]
  = { .first = FIRST ("--fault", "cut-event"), .second = SERVER () },
  /* The second server resumes with a complete response without events. */
  [CUT_AFTER_LAST_EVENT] = { .first = FIRST ("--fault", "cut-end"),
                             .second = SERVER (),
                             .second_runs = 1 },
  [RESUME_FAILED]
  = { .path = "/stream3/x",
      .first = FIRST ("--fault", "cut-event"),
      .second = SERVER ("--fault", "error", "--reject-after", "1"),
      .third = SERVER (),
      .meanwhile = add_third,
      .second_runs = 1 },
};

/* Guards against a deadline for the first event that ends a begun stream. */
static void
test_late_stream (void)
{
  check_stream (&stream_cases[LATE_STREAM]);
}

/* Guards against a limit of rejections that ends a begun stream. */
static void
test_many_rejections (void)
{
  check_stream (&stream_cases[MANY_REJECTIONS]);
}

/* Guards against leaving a sound server before another one took the call. */
static void
test_paused_server (void)
{
  check_stream (&stream_cases[PAUSED_SERVER]);
}

/* Guards against a begun stream that ends when a silent server is left. */
static void
test_silent_server (void)
{
  check_stream (&stream_cases[SILENT_SERVER]);
}

/* Guards against a begun stream that ends while the server list is empty. */
static void
test_no_server_listed (void)
{
  check_stream (&stream_cases[NO_SERVER_LISTED]);
}

/* Guards against a begun stream that ends while the budget is used up. */
static void
test_no_retry_budget (void)
{
  check_stream (&stream_cases[NO_RETRY_BUDGET]);
}

/* Guards against a stopping node that ends a begun stream it could resume. */
static void
test_node_stops (void)
{
  check_stream (&stream_cases[NODE_STOPS]);
}

/* Guards against a complete stream that is cut because its resume brings no
   further event. */
static void
test_cut_after_last_event (void)
{
  check_stream (&stream_cases[CUT_AFTER_LAST_EVENT]);
}

/* Guards against a begun stream that ends with an attempt left, because a
   server answers the resume with a failure. */
static void
test_resume_failed (void)
{
  check_stream (&stream_cases[RESUME_FAILED]);
}

/* Guards against a stream whose client finds a server's failure between its
   events, or that ends as if it were complete, because the server that is to
   resume it responds with 200 and something else than events. */
static void
test_resume_without_events (void)
{
  static const char *const faults[]
      = { "text-busy", "text-lines", "text-empty", "events-lines",
          "events-head" };

  for (size_t i = 0; i < sizeof faults / sizeof *faults; i++)
    {
      struct stream_case x = stream_cases[RESUME_FAILED];
      const char *const second[]
          = { "--models",       "m1,m2", "--fault", faults[i],
              "--reject-after", "1",     NULL };

      x.second = second;
      check_stream (&x);
    }
}

/* Guards against a cut stream that the log and the metrics do not show. */
static void
test_cut_is_counted (void)
{
  struct streams s = start (&stream_cases[CUT_FOR_GOOD]);
  struct cluster_proc metrics = { .role = CLUSTER_EDGE };
  struct cluster_reply r
      = edgecluster_call (s.edge, "POST", "/whole/x", CALL_ID, "m1", "prompt");

  CU_ASSERT_EQUAL (r.error, CURLE_PARTIAL_FILE);
  cluster_reply_free (&r);
  CU_ASSERT_TRUE (edgecluster_wait_logged (
      s.edge,
      (const char *const[]){ "event=call", CALL_ID_FIELD, "end=cut",
                             "reason=server-broke-off", "silent_ms=", NULL }));
  snprintf (metrics.url, sizeof metrics.url, "%s", s.edge->metrics_url);
  r = cluster_http (&metrics, "GET", "/metrics", NULL, NULL, WAIT_TIMEOUT_MS);
  CU_ASSERT_TRUE (cluster_contains (
      &r, "\ngalenagate_cut_total{reason=\"server-broke-off\"} 1\n"));
  cluster_reply_free (&r);
  edgecluster_destroy (&s.e);
}

static const struct suite_case cases[] = {
  { "late stream, next server full for a moment", test_late_stream },
  { "begun stream, rejected many times", test_many_rejections },
  { "silent server, next server full", test_paused_server },
  { "silent server, next server full for a moment", test_silent_server },
  { "begun stream, no server listed for a moment", test_no_server_listed },
  { "begun stream, retry budget used up for a moment", test_no_retry_budget },
  { "begun stream, node stops", test_node_stops },
  { "stream broken after its last event", test_cut_after_last_event },
  { "begun stream, resume answered with 500", test_resume_failed },
  { "begun stream, resume answered without events",
    test_resume_without_events },
  { "cut stream logged and counted", test_cut_is_counted },
};
TEST_SUITE ("streams", cases)
