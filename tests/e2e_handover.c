#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "edgecluster.h"
#include "netaddr.h"
#include "suite.h"

/* Handover of a call from a silent server to a second one. The second server
   is listed only after the first one has the call. With the routes of the
   tests the node sends a call to another server after 600 ms without a
   response or 1,000 ms without an event, and ends the silent attempt up to
   250 ms later. */

#define ROUTE_TIMEOUT_MS 5000
#define WAIT_TIMEOUT_MS 15000
#define CALL_ID "id-1"
#define CALL_ID_FIELD "id=id-1 " /* of log lines */
#define MODELS "[{\"name\":\"m1\",\"version\":1,\"adapters\":[]}]"
#define SERVER(...) CLUSTER_FLAGS ("--models", "m1", "--fault", __VA_ARGS__)
#define STREAM_REQUEST                                                        \
  "POST /stream/x HTTP/1.1\r\nHost: test.example\r\n"                         \
  "X-Galenagate-Deadline-Ms: 6000\r\nX-Galenagate-Attempt-Id: " CALL_ID       \
  "\r\nX-Galenagate-Model: m1\r\nContent-Length: 6\r\n\r\nprompt"
/* Rounds in which the client tries to leave before the silent attempt ends. */
#define ROUNDS_MAX 5

/**
 * struct handover_case - the servers of a call.
 * @first: flags of the first server.
 * @second: flags of the second server.
 */
struct handover_case
{
  const char *service;
  const char *models;
  const char *const *first;
  const char *const *second;
};

struct handover
{
  struct edgecluster e;
  const struct handover_case *x;
  struct cluster_proc *first;
  struct cluster_proc *second;
  struct cluster_proc *edge;
};

enum
{
  SILENT_STREAM,
  SLOW_PLAIN,
};

static const struct handover_case handover_cases[] = {
  [SILENT_STREAM] = { .service = "lm",
                      .models = MODELS,
                      .first = SERVER ("silent"),
                      .second = SERVER ("no-answer") },
  [SLOW_PLAIN] = { .service = "plain",
                   .models = "[]",
                   .first = CLUSTER_FLAGS ("--delay-ms", "2000"),
                   .second = CLUSTER_FLAGS ("--fault", "shed") },
};

static struct handover
start (const struct handover_case *x)
{
  struct handover h = { .e = edgecluster_create (), .x = x };

  h.first = cluster_server (h.e.cluster, x->service, "a", x->first);
  h.second = cluster_server (h.e.cluster, x->service, "a", x->second);
  edgecluster_put_server (&h.e, h.first, "ready", x->models);
  edgecluster_configure (&h.e, ROUTE_TIMEOUT_MS);
  h.edge = cluster_edge (h.e.cluster, "a",
                         CLUSTER_FLAGS ("--retry-slack", "1000"));
  CU_ASSERT_TRUE_FATAL (cluster_ready (h.e.cluster));
  return h;
}

static bool
has_run (void *ctx)
{
  return edgecluster_run_count (ctx, CALL_ID) > 0;
}

static bool
ended_early (void *ctx)
{
  return cluster_json_int (ctx, "/counts", "ended_early") == 1;
}

static void
list_second (const struct handover *h)
{
  CU_ASSERT_TRUE (cluster_poll_until (has_run, h->first, WAIT_TIMEOUT_MS));
  edgecluster_put_server (&h->e, h->second, "ready", h->x->models);
}

static void
check_runs (const struct handover *h, json_int_t second_runs)
{
  CU_ASSERT_EQUAL (edgecluster_run_count (h->first, CALL_ID), 1);
  CU_ASSERT_EQUAL (edgecluster_run_count (h->second, CALL_ID), second_runs);
}

/* ---- server left for good ---- */

static void
check_first_left (const struct handover *h)
{
  char server[64];
  const char *const left[] = { "event=attempt-failed ", CALL_ID_FIELD, server,
                               "timed_out=1 ", NULL };
  const char *const handover[] = { "event=handover ", CALL_ID_FIELD, NULL };

  snprintf (server, sizeof server, "server=%s ", h->first->name);
  CU_ASSERT_TRUE (edgecluster_wait_logged (h->edge, left));
  CU_ASSERT_TRUE (edgecluster_log_line (h->edge, handover) > 0);
  CU_ASSERT_TRUE (edgecluster_log_line (h->edge, handover)
                  < edgecluster_log_line (h->edge, left));
  CU_ASSERT_TRUE (cluster_poll_until (ended_early, h->first, WAIT_TIMEOUT_MS));
}

/* Guards against two servers that work on one call after a handover. */
static void
test_silent_server_left (void)
{
  struct handover h = start (&handover_cases[SILENT_STREAM]);
  struct cluster_request *call = edgecluster_call_begin (
      h.edge, "POST", "/stream/x", CALL_ID, "m1", "prompt");

  list_second (&h);
  check_first_left (&h);
  check_runs (&h, 1);
  cluster_kill (h.second);
  struct cluster_reply r = cluster_http_wait (call);
  CU_ASSERT_EQUAL (r.error, CURLE_PARTIAL_FILE);
  cluster_reply_free (&r);
  edgecluster_destroy (&h.e);
}

/* ---- client leaves ---- */

static int
send_stream_request (const struct cluster_proc *edge)
{
  const int fd = socket (AF_INET, SOCK_STREAM, 0);
  const size_t len = strlen (STREAM_REQUEST);
  struct sockaddr_in sin;

  CU_ASSERT_TRUE_FATAL (
      netaddr_parse (str_from (edge->url + strlen ("http://")), &sin));
  CU_ASSERT_EQUAL_FATAL (connect (fd, (struct sockaddr *)&sin, sizeof sin), 0);
  CU_ASSERT_EQUAL (send (fd, STREAM_REQUEST, len, MSG_NOSIGNAL), (ssize_t)len);
  return fd;
}

/* Returns true if both attempts were in flight when the client left. */
static bool
leave_during_handover (void)
{
  struct handover h = start (&handover_cases[SILENT_STREAM]);
  const int fd = send_stream_request (h.edge);

  list_second (&h);
  CU_ASSERT_TRUE (cluster_poll_until (has_run, h.second, WAIT_TIMEOUT_MS));
  close (fd);
  CU_ASSERT_TRUE (cluster_poll_until (ended_early, h.first, WAIT_TIMEOUT_MS));
  CU_ASSERT_TRUE (cluster_poll_until (ended_early, h.second, WAIT_TIMEOUT_MS));
  CU_ASSERT_TRUE (edgecluster_wait_logged (
      h.edge, (const char *const[]){ "event=call ", CALL_ID_FIELD, "end=left ",
                                     "reason=left-running ", NULL }));
  check_runs (&h, 1);
  const bool both = edgecluster_log_line (
                        h.edge, (const char *const[]){ "event=attempt-failed ",
                                                       CALL_ID_FIELD, NULL })
                    == 0;
  edgecluster_destroy (&h.e);
  return both;
}

/* Guards against servers that work on a call whose client left during the
   handover. */
static void
test_client_leaves (void)
{
  bool both = false;

  for (int i = 0; i < ROUNDS_MAX && !both; i++)
    both = leave_during_handover ();
  CU_ASSERT_TRUE (both);
}

/* ---- idempotent call ---- */

/* Guards against a call that loses the answer of a slow server because another
   server rejects the call. */
static void
test_slow_plain_server (void)
{
  struct handover h = start (&handover_cases[SLOW_PLAIN]);
  struct cluster_request *call = edgecluster_call_begin (
      h.edge, "POST", "/plain/x", CALL_ID, NULL, "prompt");

  list_second (&h);
  struct cluster_reply r = cluster_http_wait (call);
  CU_ASSERT_EQUAL (r.error, CURLE_OK);
  CU_ASSERT_EQUAL (r.status, 200);
  CU_ASSERT (str_eq (buf_str (&r.body), STR ("POST /plain/x prompt")));
  CU_ASSERT_TRUE (edgecluster_wait_logged (
      h.edge, (const char *const[]){ "event=attempt-failed ", CALL_ID_FIELD,
                                     "outcome=not-executed ", NULL }));
  CU_ASSERT_TRUE (edgecluster_log_line (
                      h.edge, (const char *const[]){ "event=handover ",
                                                     CALL_ID_FIELD, NULL })
                  > 0);
  check_runs (&h, 0);
  cluster_reply_free (&r);
  edgecluster_destroy (&h.e);
}

static const struct suite_case cases[] = {
  { "silent server is left for good", test_silent_server_left },
  { "client leaves during the handover", test_client_leaves },
  { "idempotent call with two attempts", test_slow_plain_server },
};
TEST_SUITE ("handover", cases)
