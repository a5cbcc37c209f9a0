#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "cluster_fleet.h"
#include "suite.h"

/* Streams whose caller has received events and whose connection to the engine
   breaks off. */

#define TOKENS 12
/* Each token is an event, and the usage is one. */
#define CHUNKS (TOKENS + 1)

static struct fleet fleet;

static size_t
count_text (const struct cluster_reply *r, const char *text)
{
  const struct str body = buf_str (&r->body);
  size_t n = 0;

  for (const char *p = body.data;
       p
       && (p = memmem (p, body.len - (size_t)(p - body.data), text,
                       strlen (text)));
       p += strlen (text))
    n++;
  return n;
}

/* Asserts that a stream arrived to its end, each event once. */
static void
check_stream (const struct cluster_reply *r, const char *text, size_t chunks)
{
  const bool whole = fleet_reply_complete (r, text)
                     && count_text (r, "chat.completion.chunk") == chunks
                     && count_text (r, "[DONE]") == 1;

  CU_ASSERT_TRUE (whole);
  if (!whole)
    printf ("\n%s: status %ld curl %d, %zu events " STR_FMT "\n", text,
            r->status, r->error, count_text (r, "chat.completion.chunk"),
            STR_ARG (r->status == 200 ? STR ("") : buf_str (&r->body)));
}

/* ---- connections that break off ---- */

/* Guards against a stream that is cut after a number of breaks although each
   resume brought events, at once because resumes fail for a moment, or after
   its last event. */
static void
test_breaks (void)
{
  static const char *const texts[] = {
    "DROP once",
    "DROPS again and again",
    "DROP and REFUSE 5 resumes",
    "DROPS and REFUSE 5 resumes",
    "TAIL",
    "TAIL and REFUSE 5 resumes",
  };
  struct cluster_request *calls[sizeof texts / sizeof *texts];
  const size_t n = sizeof texts / sizeof *texts;

  if (fleet_start (&fleet, NULL))
    {
      for (size_t i = 0; i < n; i++)
        calls[i] = fleet_chat_start (fleet.nodes[i % FLEET_NODES], "lm-1",
                                     texts[i], true);
      for (size_t i = 0; i < n; i++)
        {
          struct cluster_reply r = cluster_http_wait (calls[i]);

          check_stream (&r, texts[i], CHUNKS);
          cluster_reply_free (&r);
        }
      fleet_check_limits (&fleet);
    }
  fleet_stop (&fleet);
}

/* ---- conditions of a request that has not begun ---- */

/* With these settings a DROP stream breaks off 2.25 s after its start. */
static const char *const slow_engine[]
    = { "--memory",   "100", "--slots",  "4",  "--load-ms", "200",
        "--token-ms", "150", "--tokens", "30", NULL };
#define SLOW_TOKENS 30
#define STREAMS 3

static struct cluster_request *
start_stream (const char *const *headers, const char *text,
              unsigned max_tokens)
{
  char body[256];

  snprintf (body, sizeof body,
            "{\"model\":\"lm-1\",\"stream\":true,\"max_tokens\":%u,"
            "\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]}",
            max_tokens, text);
  return cluster_http_start (fleet.nodes[0], "POST", "/v1/chat/completions",
                             headers, body, FLEET_CALL_MS);
}

static bool
streams_run (void *ctx)
{
  json_int_t running = 0;

  (void)ctx;
  for (size_t i = 0; i < FLEET_ENGINES; i++)
    running += cluster_json_int (fleet.engines[i], "/status", "running");
  return running == STREAMS;
}

/* All engines leave, no other node schedules, the store is down, and the node
   of the callers stops. */
static void
lose_everything_for_new_requests (void)
{
  for (size_t i = 0; i < FLEET_ENGINES; i++)
    {
      struct cluster_reply r = cluster_http (
          fleet.engines[i], "POST", "/leaving", NULL, "", FLEET_CALL_MS);
      cluster_reply_free (&r);
    }
  cluster_set_faults (fleet.cluster, "{\"down\":true}");
  for (size_t i = 1; i < FLEET_NODES; i++)
    cluster_kill (fleet.nodes[i]);
  cluster_signal (fleet.nodes[0], SIGTERM);
}

/* Guards against a stream that is cut because a new request would be refused
   when it has to be resumed. */
static void
test_conditions (void)
{
  static const char *const first[]
      = { "Authorization: Bearer key-opera", NULL };
  static const char *const deadline[]
      = { "Authorization: Bearer key-opera", "X-Deadline-Ms: 2000", NULL };
  static const char *const limited[]
      = { "Authorization: Bearer key-school", NULL };
  static const struct
  {
    const char *const *headers;
    const char *text;
  } streams[STREAMS] = {
    { deadline, "DROP past the deadline" },
    { limited, "DROP limited one" },
    { limited, "DROP limited two" },
  };
  static const struct fleet_options options = { .engine_flags = slow_engine };
  struct cluster_request *calls[STREAMS];

  if (fleet_start (&fleet, &options))
    {
      struct cluster_reply r
          = cluster_http_wait (start_stream (first, "warm", 2));
      check_stream (&r, "warm", 3);
      cluster_reply_free (&r);
      for (size_t i = 0; i < STREAMS; i++)
        calls[i]
            = start_stream (streams[i].headers, streams[i].text, SLOW_TOKENS);
      CU_ASSERT_TRUE (cluster_poll_until (streams_run, NULL, FLEET_CALL_MS));
      r = cluster_http_wait (start_stream (limited, "beyond the limit", 1));
      CU_ASSERT_EQUAL (r.status, 429);
      cluster_reply_free (&r);
      lose_everything_for_new_requests ();
      for (size_t i = 0; i < STREAMS; i++)
        {
          r = cluster_http_wait (calls[i]);
          check_stream (&r, streams[i].text, SLOW_TOKENS + 1);
          cluster_reply_free (&r);
        }
      CU_ASSERT_EQUAL (fleet_sum_counts (&fleet, "resumed"), STREAMS);
    }
  fleet_stop (&fleet);
}

static const struct suite_case cases[] = {
  { "connections break off", test_breaks },
  { "conditions of requests that have not begun", test_conditions },
};
TEST_SUITE ("resume", cases)
