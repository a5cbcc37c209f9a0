#include "tokenbucket.h"

#include "suite.h"

/* Guards against lost or invented units: fractional rates, long gaps, a lower
   burst, and times that go backwards or lie ahead. */
static void
test_refill (void)
{
  static const struct
  {
    double level, rate, burst;
    uint64_t refilled_ms, now_ms;
    double units;
  } cases[] = {
    { 0, 1, 5, 1000, 1999, 0.999 },   { 0, 1, 5, 1000, 2000, 1 },
    { 0, 0.5, 5, 1000, 3000, 1 },     { 0, 1e9, 7, 0, UINT64_MAX, 7 },
    { 3000, 0, 5, 0, UINT64_MAX, 3 }, { 9000, 1, 5, 1000, 1000, 5 },
    { 2000, 1, 5, 9000, 1000, 2 },    { -4000, 2, 5, 1000, 2000, -2 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct tokenbucket b
          = { .level = cases[i].level, .refilled_ms = cases[i].refilled_ms };

      tokenbucket_refill (&b, cases[i].rate, cases[i].burst, cases[i].now_ms);
      CU_ASSERT_DOUBLE_EQUAL (tokenbucket_units (&b), cases[i].units, 1e-9);
    }
}

/* Guards against a wait after which the units are not there, or that is
   longer than needed. */
static void
test_wait (void)
{
  static const struct
  {
    double level, rate, units;
    uint64_t refilled_ms, now_ms, wait_ms;
  } cases[] = {
    { 1000, 1, 1, 0, 0, 0 },
    { 999, 1, 1, 0, 0, 1 },
    { 0, 3, 1, 0, 0, 334 },
    { -2000, 1000, 1500, 5, 5, 1502 },
    { 0, 1, 1, 700, 200, 1500 },
    { 0, 0, 1, 0, 0, UINT64_MAX },
    { 0, 1e-9, 1e9, 0, 0, UINT64_MAX },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct tokenbucket b
          = { .level = cases[i].level, .refilled_ms = cases[i].refilled_ms };

      CU_ASSERT_EQUAL (tokenbucket_wait_ms (&b, cases[i].rate, cases[i].units,
                                            cases[i].now_ms),
                       cases[i].wait_ms);
    }
}

/* Guards against thousands of small refills that add up to less than one
   large one. */
static void
test_exact (void)
{
  struct tokenbucket b = { 0 };

  for (uint64_t now = 1; now <= 10000; now++)
    tokenbucket_refill (&b, 7, 100, now);
  CU_ASSERT_TRUE (tokenbucket_holds (&b, 70));
  tokenbucket_charge (&b, 71);
  CU_ASSERT_EQUAL (tokenbucket_units (&b), -1);
}

static const struct suite_case cases[] = { { "refill", test_refill },
                                           { "wait", test_wait },
                                           { "exactness", test_exact } };
TEST_SUITE ("tokenbucket", cases)
