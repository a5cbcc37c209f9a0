#include "crash.h"
#include "retry.h"

#include "suite.h"

#define A 100
#define B 200

static struct crash_verdict
check (struct crash *c, uint64_t fingerprint, uint64_t now_ms)
{
  return crash_check (c, fingerprint, now_ms);
}

/* Guards against running an unproven fingerprint on two targets at once, and
   against restricting one that has completed. */
static void
test_unproven (void)
{
  struct crash *c = crash_create (16);

  CU_ASSERT_EQUAL (check (c, 1, 0).rule, CRASH_ANYWHERE);
  crash_begin (c, 1, A, 0);
  CU_ASSERT_EQUAL (check (c, 1, 1).rule, CRASH_SAME_TARGET);
  CU_ASSERT_EQUAL (check (c, 1, 1).target, A);
  CU_ASSERT_FALSE (crash_end (c, 1, false, 2));
  CU_ASSERT_EQUAL (check (c, 1, 3).rule, CRASH_ANYWHERE);
  crash_begin (c, 1, B, 4);
  crash_end (c, 1, true, 5);
  crash_begin (c, 1, A, 6);
  CU_ASSERT_EQUAL (check (c, 1, 7).rule, CRASH_ANYWHERE);
  crash_destroy (c);
}

/* Guards against a third crash by the same fingerprint, against counting a
   death twice, and against a quarantine that never expires or leaves the
   fingerprint unrestricted. */
static void
test_quarantine (void)
{
  const uint64_t end_ms = 20 + CRASH_QUARANTINE_MS;
  struct crash *c = crash_create (16);

  crash_begin (c, 1, A, 0);
  CU_ASSERT_EQUAL (crash_record_death (c, 1, 7, 10), 1);
  CU_ASSERT_EQUAL (crash_record_death (c, 1, 7, 11), 0);
  CU_ASSERT_EQUAL (check (c, 1, 12).rule, CRASH_WAIT);
  crash_end (c, 1, false, 13);
  CU_ASSERT_EQUAL (check (c, 1, 14).rule, CRASH_ISOLATED);
  crash_merge (c, 1, 1, 0, 15); /* its own report comes back */
  CU_ASSERT_EQUAL (check (c, 1, 16).rule, CRASH_ISOLATED);
  crash_begin (c, 1, B, 17);
  CU_ASSERT_EQUAL (crash_record_death (c, 1, 8, 20), 2);
  crash_end (c, 1, true, 21);
  CU_ASSERT_EQUAL (check (c, 1, end_ms - 1).rule, CRASH_QUARANTINED);
  CU_ASSERT_EQUAL (check (c, 1, end_ms - 1).quarantine_left_ms, 1);
  CU_ASSERT_EQUAL (check (c, 1, end_ms).rule, CRASH_ISOLATED);
  crash_begin (c, 1, A, end_ms);
  CU_ASSERT_EQUAL (crash_record_death (c, 1, 9, end_ms + 5), 2);
  crash_destroy (c);
}

/* Guards against a suspect that is not cleared by a complete response, and
   against a quarantine lifted by a report that clears suspects. */
static void
test_cleared (void)
{
  struct crash *c = crash_create (16);

  crash_merge (c, 1, 1, 0, 0);
  CU_ASSERT_EQUAL (crash_marked_count (c), 1);
  crash_begin (c, 1, A, 1);
  CU_ASSERT_TRUE (crash_end (c, 1, true, 2));
  CU_ASSERT_EQUAL (crash_marked_count (c), 0);
  CU_ASSERT_EQUAL (check (c, 1, 3).rule, CRASH_ANYWHERE);
  crash_merge (c, 2, 2, 500, 10);
  CU_ASSERT_EQUAL (check (c, 2, 509).rule, CRASH_QUARANTINED);
  crash_merge (c, 2, 0, 0, 100);
  CU_ASSERT_EQUAL (check (c, 2, 509).rule, CRASH_QUARANTINED);
  crash_destroy (c);
}

/* Guards against unbounded memory, and against a flood of new fingerprints
   that evicts a quarantined one or one in flight. */
static void
test_bounded (void)
{
  struct crash *c = crash_create (64);

  crash_merge (c, 1, 2, CRASH_QUARANTINE_MS, 0);
  crash_begin (c, 2, A, 0);
  for (uint64_t f = 10; f < 10000; f++)
    {
      crash_begin (c, f, B, f);
      crash_end (c, f, true, f);
    }
  CU_ASSERT_TRUE (crash_count (c) <= 64);
  CU_ASSERT_EQUAL (check (c, 1, 10000).rule, CRASH_QUARANTINED);
  CU_ASSERT_EQUAL (check (c, 2, 10000).rule, CRASH_SAME_TARGET);
  for (uint64_t f = 10000; f < 20000; f++)
    crash_merge (c, f, 1, 0, f);
  CU_ASSERT_TRUE (crash_count (c) <= 64);
  crash_destroy (c);
}

/* Guards against retries that amplify an overload, and against a rarely used
   model that is never allowed a retry. */
static void
test_retry (void)
{
  struct retry_budget r;
  unsigned taken = 0;

  retry_init (&r, 0);
  for (unsigned i = 0; i < 5; i++)
    CU_ASSERT_TRUE (retry_take (&r, 0));
  CU_ASSERT_FALSE (retry_take (&r, 0));
  CU_ASSERT_FALSE (retry_take (&r, 999));
  CU_ASSERT_TRUE (retry_take (&r, 1000));
  for (unsigned i = 0; i < 1000; i++)
    {
      retry_add_first_attempt (&r, 1000);
      taken += retry_take (&r, 1000);
    }
  CU_ASSERT_EQUAL (taken, 100);
  for (unsigned i = 0; i < 1000; i++)
    retry_add_first_attempt (&r, 1000);
  for (taken = 0; retry_take (&r, 1000); taken++)
    ;
  CU_ASSERT_EQUAL (taken, 10);
  retry_refund (&r);
  CU_ASSERT_TRUE (retry_take (&r, 1000));
}

static const struct suite_case cases[] = {
  { "unproven fingerprint", test_unproven },
  { "second crash", test_quarantine },
  { "cleared suspect", test_cleared },
  { "bounded memory", test_bounded },
  { "retry budget", test_retry },
};
TEST_SUITE ("crash", cases)
