#include "edge/quotaowner.h"

#include "suite.h"

#define DRAWS_MAX 4

static const struct quota_spec usual = { .rate_per_s = 1000, .burst = 2000 };
static const struct quota_spec lower = { .rate_per_s = 100, .burst = 500 };
static const struct quota_spec higher = { .rate_per_s = 10000, .burst = 9000 };
static const struct quota_spec no_burst = { .rate_per_s = 1 };
static const struct quota_spec wide = { .rate_per_s = 1000, .burst = 9999 };
static const struct quota_spec slow = { .rate_per_s = 0.001, .burst = 100 };

/* Ticks as often as the owner's user does. */
static void
run_until (struct quotaowner *o, uint64_t *now, uint64_t until)
{
  for (; *now < until; *now += 50)
    quotaowner_tick (o, *now);
  *now = until;
}

static struct quota_credit
draw (struct quotaowner *o, uint64_t instance, uint64_t number, uint32_t now,
      uint32_t step, uint32_t ahead, const struct quota_spec *spec,
      uint64_t at_ms)
{
  const struct quota_draw d = { .tenant_hash = 1,
                                .number = number,
                                .wanted_now = now,
                                .step = step,
                                .wanted_ahead = ahead };
  struct quota_credit c;

  quotaowner_draw (o, STR ("node"), instance, spec, &d, at_ms, &c);
  CU_ASSERT_EQUAL (c.tenant_hash, 1);
  CU_ASSERT_EQUAL (c.number, number);
  return c;
}

/* Guards against units given twice (repeats, a full bucket at the start, a
   lowered limit), parts of a call's cost that no call can use, ahead units
   that waiting calls need, and a wrong retry_after_ms. */
static void
test_draws (void)
{
  static const struct
  {
    const char *name;
    const struct quota_spec *first; /* of the first draw */
    const struct quota_spec *rest;
    struct
    {
      uint64_t at_ms, instance, number;
      uint32_t now, step, ahead, given, retry_after_ms;
    } draws[DRAWS_MAX];
  } cases[] = {
    { "empty at the start",
      &usual,
      &usual,
      { { 0, 1, 1, 500, 500, 0, 0, 500 },
        { 500, 1, 2, 500, 500, 0, 500, 0 },
        { 500, 1, 3, 1, 1, 0, 0, 100 } } },
    { "new tenant later",
      &usual,
      &usual,
      { { 1500, 1, 1, 1500, 500, 0, 1500, 0 } } },
    { "repeat",
      &usual,
      &usual,
      { { 500, 1, 7, 500, 500, 0, 500, 0 },
        { 540, 1, 7, 500, 500, 0, 500, 0 },
        { 540, 1, 8, 500, 500, 0, 0, 460 },
        { 540, 1, 8, 500, 500, 0, 0, 460 } } },
    { "older number",
      &usual,
      &usual,
      { { 5000, 1, 7, 500, 500, 0, 500, 0 },
        { 5000, 1, 6, 500, 500, 0, 0, 100 },
        { 5000, 1, 8, 1500, 1500, 0, 1500, 0 } } },
    { "same number of another process",
      &usual,
      &usual,
      { { 5000, 1, 7, 500, 500, 0, 500, 0 },
        { 5000, 2, 7, 1500, 1500, 0, 1500, 0 },
        { 5000, 1, 8, 500, 500, 0, 0, 500 } } },
    { "whole calls only",
      &usual,
      &usual,
      { { 2000, 1, 1, 4500, 1500, 0, 1500, 2500 },
        { 2000, 1, 2, 500, 500, 0, 500, 0 } } },
    { "step missing or too large",
      &usual,
      &usual,
      { { 2000, 1, 1, 2500, 0, 0, 2500, 0 },
        { 4000, 1, 2, 1600, 9000, 0, 0, 100 },
        { 5000, 1, 3, 1600, 9000, 0, 1600, 0 } } },
    { "call above the burst",
      &usual,
      &usual,
      { { 1900, 1, 1, 2500, 2500, 0, 0, 600 },
        { 2000, 1, 2, 2500, 2500, 0, 2500, 0 },
        { 2000, 1, 3, 1, 1, 0, 0, 501 } } },
    { "ahead from the upper half",
      &usual,
      &usual,
      { { 5000, 1, 1, 500, 500, 2000, 1000, 0 },
        { 5000, 1, 2, 0, 0, 2000, 0, 0 },
        { 5000, 1, 3, 1000, 1000, 0, 1000, 0 } } },
    { "nothing ahead while short",
      &usual,
      &usual,
      { { 2000, 1, 1, 3000, 1500, 500, 1500, 1000 } } },
    { "longest retry",
      &usual,
      &usual,
      { { 0, 1, 1, 900000, 1, 0, 0, 60000 } } },
    { "burst missing",
      &no_burst,
      &no_burst,
      { { 900, 1, 1, 1, 1, 0, 0, 100 }, { 1000, 1, 2, 1, 1, 0, 1, 0 } } },
    { "lowered limit",
      &usual,
      &lower,
      { { 5000, 1, 1, 1, 1, 0, 1, 0 },
        { 5000, 1, 2, 2000, 500, 0, 500, 15000 } } },
    { "raised limit",
      &usual,
      &higher,
      { { 5000, 1, 1, 2000, 2000, 0, 2000, 0 },
        { 6000, 1, 2, 3000, 1000, 0, 1000, 200 } } },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct quotaowner *o = quotaowner_create (0);
      uint64_t now = 0;

      for (size_t j = 0; j < DRAWS_MAX && cases[i].draws[j].number > 0; j++)
        {
          const __typeof__ (cases[i].draws[j]) *d = &cases[i].draws[j];

          run_until (o, &now, d->at_ms);
          const struct quota_credit c
              = draw (o, d->instance, d->number, d->now, d->step, d->ahead,
                      j == 0 ? cases[i].first : cases[i].rest, now);
          if (c.given != d->given || c.retry_after_ms != d->retry_after_ms)
            printf ("%s, draw %zu: %u units, %u ms\n", cases[i].name, j,
                    c.given, c.retry_after_ms);
          CU_ASSERT_EQUAL (c.given, d->given);
          CU_ASSERT_EQUAL (c.retry_after_ms, d->retry_after_ms);
        }
      quotaowner_destroy (o);
    }
}

/* Guards against units given in addition to what the fallbacks of nodes give
   that are out of touch, or of all nodes while the owner was paused. */
static void
test_pace (void)
{
  static const struct
  {
    uint32_t nodes, reached;
    uint64_t pause_ms;
    uint32_t given; /* within a second, and the pause, at 1,000 units/s */
  } cases[] = { { 3, 3, 0, 1000 },   { 3, 2, 0, 750 },  { 4, 0, 0, 250 },
                { 0, 0, 0, 1000 },   { 2, 3, 0, 1000 }, { 3, 3, 100, 1100 },
                { 3, 3, 520, 1220 }, { 3, 2, 520, 940 } };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct quotaowner *o = quotaowner_create (0);
      uint64_t now = 0;

      quotaowner_set_nodes (o, cases[i].nodes, cases[i].reached, 0);
      run_until (o, &now, 1000);
      quotaowner_tick (o, now);
      now += cases[i].pause_ms;
      CU_ASSERT_EQUAL (draw (o, 1, 1, 9999, 1, 0, &wide, now).given,
                       cases[i].given);
      quotaowner_destroy (o);
    }
}

/* Guards against memory that grows with each tenant or process ever seen, and
   against a bucket that is forgotten while it is short. */
static void
test_expiry (void)
{
  struct quotaowner *o = quotaowner_create (0);
  uint64_t now = 0;

  for (uint64_t instance = 1; instance <= 3; instance++)
    draw (o, instance, 1, 1, 1, 0, &slow, now);
  CU_ASSERT_EQUAL (quotaowner_bucket_count (o), 1);
  CU_ASSERT_EQUAL (quotaowner_record_count (o), 3);
  run_until (o, &now, 200000);
  CU_ASSERT_EQUAL (quotaowner_bucket_count (o), 1);
  CU_ASSERT_EQUAL (quotaowner_record_count (o), 0);
  draw (o, 1, 2, 1, 1, 0, &usual, now);
  run_until (o, &now, 300000);
  CU_ASSERT_EQUAL (quotaowner_bucket_count (o), 0);
  CU_ASSERT_EQUAL (quotaowner_record_count (o), 0);
  draw (o, 1, 1, 1, 1, 0, &usual, now);
  quotaowner_destroy (o);
}

static const struct suite_case cases[] = { { "draws", test_draws },
                                           { "pace", test_pace },
                                           { "expiry", test_expiry } };
TEST_SUITE ("quotaowner", cases)
