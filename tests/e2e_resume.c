#include <stdio.h>
#include <string.h>

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
   resume brought events, or at once because resumes fail for a moment. */
static void
test_breaks (void)
{
  static const char *const texts[] = {
    "DROP once",
    "DROPS again and again",
    "DROP and REFUSE 5 resumes",
    "DROPS and REFUSE 5 resumes",
  };

  if (fleet_start (&fleet, NULL))
    {
      for (size_t i = 0; i < sizeof texts / sizeof *texts; i++)
        {
          struct cluster_reply r = fleet_chat (fleet.nodes[i % FLEET_NODES],
                                               "lm-1", texts[i], true);

          check_stream (&r, texts[i], CHUNKS);
          cluster_reply_free (&r);
        }
      fleet_check_limits (&fleet);
    }
  fleet_stop (&fleet);
}

static const struct suite_case cases[] = {
  { "connections break off", test_breaks },
};
TEST_SUITE ("resume", cases)
