#include <stdio.h>

#include "edge/freshness.h"

#include "suite.h"

#define STEPS_MAX 8

enum step_kind
{
  STEP_END = 0,
  STEP_TRUST,    /* the news are current */
  STEP_DISTRUST, /* nobody tells any more */
  STEP_TOLD,     /* a change with this revision */
  STEP_BEGIN,    /* a call; @result: may it be stale */
  STEP_LIST,     /* a call that must be fresh; likewise */
  STEP_SEEN,     /* its answer reaches this revision; @result: does it lag */
  STEP_OVERDUE,  /* @result: must the call be replaced */
};

struct step
{
  enum step_kind kind;
  uint64_t ms;
  uint64_t revision;
  bool result;
};

static bool
take (struct freshness *f, const struct step *s)
{
  switch (s->kind)
    {
    case STEP_TRUST:
    case STEP_DISTRUST:
      freshness_trust (f, s->kind == STEP_TRUST);
      return true;
    case STEP_TOLD:
      freshness_told (f, s->revision, s->ms);
      return true;
    case STEP_BEGIN:
    case STEP_LIST:
      return freshness_begin (f, s->kind == STEP_BEGIN, s->ms) == s->result;
    case STEP_SEEN:
      return freshness_seen (f, s->revision) == s->result;
    case STEP_OVERDUE:
      return freshness_overdue (f, s->ms) == s->result;
    case STEP_END:
      break;
    }
  return true;
}

/* Guards against a change that a stale view of the store holds back: by a view
   that lags, when nobody tells the newest revision any more, and for a node
   that starts or tells the others itself. */
static void
test_stale_views (void)
{
  static const struct
  {
    const char *name;
    struct step steps[STEPS_MAX];
  } cases[] = {
    { "nobody tells",
      { { STEP_BEGIN, 0, 0, false }, { STEP_OVERDUE, 9000, 0, false } } },
    { "listing", { { STEP_TRUST, 0, 0, false }, { STEP_LIST, 0, 0, false } } },
    { "view in time",
      { { STEP_TRUST, 0, 0, false },
        { STEP_TOLD, 0, 10, false },
        { STEP_BEGIN, 0, 0, true },
        { STEP_OVERDUE, 450, 0, false },
        { STEP_SEEN, 0, 10, false },
        { STEP_OVERDUE, 5000, 0, false },
        { STEP_BEGIN, 5000, 0, true } } },
    { "news while the call waits",
      { { STEP_TRUST, 0, 0, false },
        { STEP_SEEN, 0, 10, false },
        { STEP_BEGIN, 0, 0, true },
        { STEP_OVERDUE, 3000, 0, false },
        { STEP_TOLD, 3000, 11, false },
        { STEP_OVERDUE, 3400, 0, false },
        { STEP_OVERDUE, 3500, 0, true },
        { STEP_BEGIN, 3500, 0, false } } },
    { "news during the pause after an answer",
      { { STEP_TRUST, 0, 0, false },
        { STEP_TOLD, 0, 10, false },
        { STEP_BEGIN, 0, 0, true },
        { STEP_SEEN, 0, 10, false },
        { STEP_TOLD, 100, 11, false },
        { STEP_OVERDUE, 1600, 0, false },
        { STEP_BEGIN, 1600, 0, true } } },
    { "answer that lags",
      { { STEP_TRUST, 0, 0, false },
        { STEP_TOLD, 0, 11, false },
        { STEP_BEGIN, 0, 0, true },
        { STEP_SEEN, 0, 10, true },
        { STEP_BEGIN, 50, 0, false },
        { STEP_SEEN, 0, 11, false },
        { STEP_BEGIN, 60, 0, true } } },
    { "more news do not put the end off",
      { { STEP_TRUST, 0, 0, false },
        { STEP_BEGIN, 0, 0, true },
        { STEP_TOLD, 1000, 11, false },
        { STEP_TOLD, 1300, 12, false },
        { STEP_TOLD, 1490, 13, false },
        { STEP_OVERDUE, 1500, 0, true } } },
    { "silence of the one that tells",
      { { STEP_TRUST, 0, 0, false },
        { STEP_BEGIN, 0, 0, true },
        { STEP_DISTRUST, 0, 0, false },
        { STEP_OVERDUE, 10, 0, true },
        { STEP_BEGIN, 10, 0, false },
        { STEP_TRUST, 0, 0, false },
        { STEP_OVERDUE, 9000, 0, false } } },
    { "older news",
      { { STEP_TRUST, 0, 0, false },
        { STEP_SEEN, 0, 20, false },
        { STEP_TOLD, 0, 15, false },
        { STEP_BEGIN, 0, 0, true },
        { STEP_OVERDUE, 9000, 0, false } } },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct freshness f = { 0 };

      for (size_t j = 0; j < STEPS_MAX && cases[i].steps[j].kind; j++)
        {
          const bool ok = take (&f, &cases[i].steps[j]);

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
