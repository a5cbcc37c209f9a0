#include "edge/retries.h"

#include "suite.h"

static const struct retries_limits limits
    = { .ratio = 0.2, .slack = 54, .window_ms = 10000 };

/* Takes as many retries as the budget allows. */
static uint32_t
take_all (struct retries *r, uint32_t nodes, uint64_t now)
{
  uint32_t n = 0;

  while (n < 10000
         && retries_take (r, &limits, RETRY_AFTER_FAILURE, nodes, now))
    n++;
  return n;
}

/* Guards against more retries from all nodes in a window than the operators
   allow. */
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
        retries_count_first_send (&r, &limits, 50000 + n);
      taken = take_all (&r, cases[i].nodes, 52000);
      CU_ASSERT_TRUE (taken <= most);
      CU_ASSERT_TRUE (cases[i].first == 0 || taken >= most / 2);
    }
}

/* Guards against a budget that can be spent twice within one window, or that
   is never replenished. */
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

/* Guards against a budget that is used up by failed connections to dead
   servers: on one day, 466 retries reached no server, and 231 calls were
   refused because the budget was empty. */
static void
test_refund (void)
{
  struct retries r = { 0 };
  const uint32_t most = take_all (&r, 1, 100000);

  CU_ASSERT_FALSE (
      retries_allowed (&r, &limits, RETRY_AFTER_FAILURE, 1, 104000));
  retries_refund (&r, &limits, 104000);
  CU_ASSERT_TRUE (
      retries_allowed (&r, &limits, RETRY_AFTER_FAILURE, 1, 104000));
  CU_ASSERT_EQUAL (take_all (&r, 1, 104000), 1);
  retries_refund (&r, &limits, 900000);
  CU_ASSERT_EQUAL (take_all (&r, 1, 900000), most);
}

/* Guards against truncated streams because calls that could be refused used up
   the budget. This happens when the servers of an overloaded model reject many
   calls while servers of other models fail. */
static void
test_reserve (void)
{
  struct retries r = { 0 };
  uint32_t refusable = 0;

  for (uint64_t now = 100000; now < 104000; now += 10)
    if (retries_take (&r, &limits, RETRY_AFTER_REJECTION, 1, now))
      refusable++;
  CU_ASSERT_TRUE (refusable > 0);
  CU_ASSERT_FALSE (
      retries_allowed (&r, &limits, RETRY_AFTER_REJECTION, 1, 104000));
  CU_ASSERT_TRUE (take_all (&r, 1, 104000) >= refusable / 4);
}

static const struct suite_case cases[]
    = { { "budget", test_budget },
        { "reserve for executed calls", test_reserve },
        { "window", test_window },
        { "refund", test_refund } };
TEST_SUITE ("retries", cases)
