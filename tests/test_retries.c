#include "edge/retries.h"

#include "suite.h"

static const struct retries_limits limits
    = { .ratio = 0.2, .slack = 54, .window_ms = 10000 };

/* Takes as many as allowed. */
static uint32_t
take_all (struct retries *r, uint32_t nodes, uint64_t now)
{
  uint32_t n = 0;

  while (n < 10000 && retries_take (r, &limits, RETRY_BEGUN, nodes, now))
    n++;
  return n;
}

/* Guards against more repeated calls from all nodes than the operators allow,
   in any window. */
static void
test_budget (void)
{
  static const struct
  {
    uint32_t first;
    uint32_t nodes;
  } cases[] = { { 0, 1 }, { 0, 4 }, { 1000, 1 }, { 1000, 4 }, { 50, 37 } };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct retries r = { 0 };
      const double most
          = limits.ratio * cases[i].first + limits.slack / cases[i].nodes;
      uint32_t taken;

      for (uint32_t n = 0; n < cases[i].first; n++)
        retries_first (&r, &limits, 50000 + n);
      taken = take_all (&r, cases[i].nodes, 52000);
      CU_ASSERT_TRUE (taken <= most);
      CU_ASSERT_TRUE (cases[i].first == 0 || taken >= most / 2);
    }
}

/* Guards against a budget that is spent twice within one window, or that never
   comes back. */
static void
test_window (void)
{
  struct retries r = { 0 };
  const uint32_t most = take_all (&r, 1, 100000);

  CU_ASSERT_TRUE (most > 0);
  CU_ASSERT_EQUAL (take_all (&r, 1, 105000), 0);
  CU_ASSERT_EQUAL (take_all (&r, 1, 108999), 0);
  CU_ASSERT_EQUAL (take_all (&r, 1, 111000), most);
  CU_ASSERT_EQUAL (take_all (&r, 1, 900000), most);
  CU_ASSERT_EQUAL (take_all (&r, 1, 950999), most);
  CU_ASSERT_EQUAL (take_all (&r, 1, 960000), 0);
}

/* Guards against a budget that connections refused by dead servers use up:
   466 of the repeats of one day reached no server, and 231 calls were refused
   for the budget. */
static void
test_give_back (void)
{
  struct retries r = { 0 };
  const uint32_t most = take_all (&r, 1, 100000);

  CU_ASSERT_FALSE (retries_left (&r, &limits, RETRY_BEGUN, 1, 104000));
  retries_give_back (&r, &limits, 104000);
  CU_ASSERT_TRUE (retries_left (&r, &limits, RETRY_BEGUN, 1, 104000));
  CU_ASSERT_EQUAL (take_all (&r, 1, 104000), 1);
  retries_give_back (&r, &limits, 900000);
  CU_ASSERT_EQUAL (take_all (&r, 1, 900000), most);
}

/* Guards against streams that are cut because calls that could be refused used
   up the budget: the pattern of one crowded model whose servers turn many
   calls away, while servers of other models break off. */
static void
test_begun_calls (void)
{
  struct retries r = { 0 };
  uint32_t refusable = 0;

  for (uint64_t now = 100000; now < 104000; now += 10)
    if (retries_take (&r, &limits, RETRY_REFUSABLE, 1, now))
      refusable++;
  CU_ASSERT_TRUE (refusable > 0);
  CU_ASSERT_FALSE (retries_left (&r, &limits, RETRY_REFUSABLE, 1, 104000));
  CU_ASSERT_TRUE (take_all (&r, 1, 104000) >= refusable / 4);
}

static const struct suite_case cases[] = { { "budget", test_budget },
                                           { "begun calls", test_begun_calls },
                                           { "window", test_window },
                                           { "give back", test_give_back } };
TEST_SUITE ("retries", cases)
