#include "edge/drainrate.h"
#include "suite.h"

/* Guards against an estimate from too few completions, by which calls would be
   refused that servers can run, and against one that ignores that the rate has
   changed. */
static void
test_estimate (void)
{
  static const struct
  {
    uint32_t completions; /* one at the end of each @gap_ms */
    uint64_t gap_ms;
    uint64_t then_gap_ms; /* of as many further ones; 0 for none */
    uint32_t places;
    bool known;
    uint64_t least_ms;
    uint64_t most_ms;
  } cases[] = {
    { 0, 100, 0, 1, false, 0, 0 },
    { DRAINRATE_COMPLETIONS_MIN - 1, 100, 0, 1, false, 0, 0 },
    { DRAINRATE_COMPLETIONS_MIN, 100, 0, 1, true, 100, 100 },
    { DRAINRATE_COMPLETIONS_MIN, 100, 0, 20, true, 2000, 2000 },
    { 1000, 100, 0, 20, true, 1900, 2100 },
    { 1000, 100, 200, 20, true, 3800, 4200 },
    { 1000, 200, 100, 20, true, 1900, 2300 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct drainrate rate;
      uint64_t now_ms = 5000;
      uint64_t time_ms = 0;

      drainrate_start (&rate, now_ms);
      for (uint32_t n = 0; n < cases[i].completions; n++)
        drainrate_completed (&rate, now_ms += cases[i].gap_ms);
      for (uint32_t n = 0; cases[i].then_gap_ms > 0 && n < 1000; n++)
        drainrate_completed (&rate, now_ms += cases[i].then_gap_ms);
      CU_ASSERT_EQUAL (
          drainrate_time_for (&rate, cases[i].places, now_ms, &time_ms),
          cases[i].known);
      CU_ASSERT (time_ms >= cases[i].least_ms && time_ms <= cases[i].most_ms);
    }
}

/* Guards against completions of an earlier shortage, or of a time without one,
   that count for the present one. */
static void
test_start (void)
{
  struct drainrate rate;
  uint64_t time_ms;

  drainrate_start (&rate, 0);
  for (uint64_t t = 1; t <= 100; t++)
    drainrate_completed (&rate, t);
  CU_ASSERT_TRUE (drainrate_time_for (&rate, 1, 100, &time_ms));
  drainrate_start (&rate, 100);
  CU_ASSERT_FALSE (drainrate_time_for (&rate, 1, 100, &time_ms));
}

static const struct suite_case cases[] = {
  { "estimate", test_estimate },
  { "start", test_start },
};
TEST_SUITE ("drainrate", cases)
