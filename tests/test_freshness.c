#include <stdio.h>

#include "edge/freshness.h"

#include "suite.h"

#define STEPS_MAX 8

enum step_kind
{
  STEP_END = 0,
  STEP_TRUST,        /* another node announces the newest revision */
  STEP_DISTRUST,     /* no node announces it any more */
  STEP_ANNOUNCE,     /* a change with this revision exists */
  STEP_START,        /* a call starts; @result: it may be stale */
  STEP_LIST,         /* a call that must be fresh starts; likewise */
  STEP_ANSWER,       /* the answer reaches this revision; @result: it lags */
  STEP_MUST_REPLACE, /* @result: the call must be replaced */
};

struct step
{
  enum step_kind kind;
  uint64_t ms;
  uint64_t revision;
  bool result;
};

/* Applies a step. Returns false if its result is not the expected one. */
static bool
apply_step (struct freshness *f, const struct step *s)
{
  switch (s->kind)
    {
    case STEP_TRUST:
    case STEP_DISTRUST:
      freshness_set_trusted (f, s->kind == STEP_TRUST);
      return true;
    case STEP_ANNOUNCE:
      freshness_announced (f, s->revision, s->ms);
      return true;
    case STEP_START:
    case STEP_LIST:
      return freshness_call_started (f, s->kind == STEP_START, s->ms)
             == s->result;
    case STEP_ANSWER:
      return freshness_answered (f, s->revision) == s->result;
    case STEP_MUST_REPLACE:
      return freshness_must_replace (f, s->ms) == s->result;
    case STEP_END:
      break;
    }
  return true;
}

/* Guards against a change that a node misses because its view of the store is
   stale: the view lags, the announcements of the newest revision stop, or the
   node has just started or announces the revision itself. */
static void
test_stale_views (void)
{
  static const struct
  {
    const char *name;
    struct step steps[STEPS_MAX];
  } cases[] = {
    { "no announcements",
      { { STEP_START, 0, 0, false }, { STEP_MUST_REPLACE, 9000, 0, false } } },
    { "listing", { { STEP_TRUST, 0, 0, false }, { STEP_LIST, 0, 0, false } } },
    { "view shows the change in time",
      { { STEP_TRUST, 0, 0, false },
        { STEP_ANNOUNCE, 0, 10, false },
        { STEP_START, 0, 0, true },
        { STEP_MUST_REPLACE, 450, 0, false },
        { STEP_ANSWER, 0, 10, false },
        { STEP_MUST_REPLACE, 5000, 0, false },
        { STEP_START, 5000, 0, true } } },
    { "announcement while the call waits",
      { { STEP_TRUST, 0, 0, false },
        { STEP_ANSWER, 0, 10, false },
        { STEP_START, 0, 0, true },
        { STEP_MUST_REPLACE, 3000, 0, false },
        { STEP_ANNOUNCE, 3000, 11, false },
        { STEP_MUST_REPLACE, 3400, 0, false },
        { STEP_MUST_REPLACE, 3500, 0, true },
        { STEP_START, 3500, 0, false } } },
    { "announcement during the pause after an answer",
      { { STEP_TRUST, 0, 0, false },
        { STEP_ANNOUNCE, 0, 10, false },
        { STEP_START, 0, 0, true },
        { STEP_ANSWER, 0, 10, false },
        { STEP_ANNOUNCE, 100, 11, false },
        { STEP_MUST_REPLACE, 1600, 0, false },
        { STEP_START, 1600, 0, true } } },
    { "lagging answer",
      { { STEP_TRUST, 0, 0, false },
        { STEP_ANNOUNCE, 0, 11, false },
        { STEP_START, 0, 0, true },
        { STEP_ANSWER, 0, 10, true },
        { STEP_START, 50, 0, false },
        { STEP_ANSWER, 0, 11, false },
        { STEP_START, 60, 0, true } } },
    { "later announcements do not extend the time limit",
      { { STEP_TRUST, 0, 0, false },
        { STEP_START, 0, 0, true },
        { STEP_ANNOUNCE, 1000, 11, false },
        { STEP_ANNOUNCE, 1300, 12, false },
        { STEP_ANNOUNCE, 1490, 13, false },
        { STEP_MUST_REPLACE, 1500, 0, true } } },
    { "announcements stop",
      { { STEP_TRUST, 0, 0, false },
        { STEP_START, 0, 0, true },
        { STEP_DISTRUST, 0, 0, false },
        { STEP_MUST_REPLACE, 10, 0, true },
        { STEP_START, 10, 0, false },
        { STEP_TRUST, 0, 0, false },
        { STEP_MUST_REPLACE, 9000, 0, false } } },
    { "announcement of an older revision",
      { { STEP_TRUST, 0, 0, false },
        { STEP_ANSWER, 0, 20, false },
        { STEP_ANNOUNCE, 0, 15, false },
        { STEP_START, 0, 0, true },
        { STEP_MUST_REPLACE, 9000, 0, false } } },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct freshness f = { 0 };

      for (size_t j = 0; j < STEPS_MAX && cases[i].steps[j].kind; j++)
        {
          const bool ok = apply_step (&f, &cases[i].steps[j]);

          CU_ASSERT_TRUE (ok);
          if (!ok)
            fprintf (stderr, "%s: step %zu\n", cases[i].name, j);
        }
    }
}

static const struct suite_case cases[] = {
  { "stale views", test_stale_views },
};
TEST_SUITE ("freshness", cases)
