#include "edge/outage.h"

#include "suite.h"

#define CALL_MAX_MS 2600
#define CALLS_MAX 3

/* Guards against the loss of one connection that is taken for an outage, in
   which a server without an entry stays in use, and against an outage that is
   not noticed, after which live servers would be given up. */
static void
test_outage (void)
{
  static const struct
  {
    const char *name;
    uint64_t failed_since_ms[CALLS_MAX]; /* 0 ends the list */
    bool first_opened; /* the first failed call opened its connection */
    uint64_t answered_ms;
    bool ended;
  } cases[] = {
    { "no failure", { 0 }, false, 60000, false },
    { "silent connection", { 10000 }, false, 12750, false },
    { "silent connection, slow repetition", { 10000 }, false, 13000, false },
    { "connection closed", { 10000 }, false, 10002, false },
    { "new connection closed", { 10000 }, true, 10002, false },
    { "two connections closed", { 10000, 10001 }, false, 10150, false },
    { "silent store", { 10000, 12700 }, false, 15500, true },
    { "silent store, third answer",
      { 10000, 12700, 15400 },
      false,
      20000,
      true },
    { "silent store, call on a new connection", { 10000 }, true, 12750, true },
    { "store refuses calls", { 10000, 10100, 10300 }, false, 14000, true },
    { "node stood still", { 10000 }, false, 19000, true },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct outage o = { 0 };

      for (size_t j = 0; j < CALLS_MAX && cases[i].failed_since_ms[j] > 0; j++)
        outage_call_failed (&o, cases[i].failed_since_ms[j],
                            j > 0 || cases[i].first_opened);
      CU_ASSERT_EQUAL (outage_ended (&o, CALL_MAX_MS, cases[i].answered_ms),
                       cases[i].ended);
      /* The next answer follows no failure. */
      CU_ASSERT_FALSE (outage_ended (&o, CALL_MAX_MS, 90000));
    }
}

static const struct suite_case cases[] = {
  { "outage", test_outage },
};
TEST_SUITE ("outage", cases)
