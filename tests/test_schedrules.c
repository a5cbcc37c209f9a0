#include "sched.h"

#include <string.h>

#include "suite.h"

/* Tests individual rules of the scheduler with a small set of targets. */

struct fixture
{
  struct crash *crash;
  struct sched *s;
};

static const struct sched_target targets[] = {
  { .target = { "t1", 2 }, .domain = { "a", 1 }, .instance = 1, .slots = 2 },
  { .target = { "t2", 2 }, .domain = { "a", 1 }, .instance = 1, .slots = 2 },
  { .target = { "t3", 2 }, .domain = { "b", 1 }, .instance = 1, .slots = 2 },
};

static struct fixture
setup (bool plain, size_t count)
{
  const struct sched_config config = { .queue_max = 4,
                                       .grant_use_ms = 2000,
                                       .grant_hold_ms = 10000,
                                       .slots = 2,
                                       .replicas_max = 3,
                                       .plain = plain };
  struct fixture f = { .crash = crash_create (64) };

  f.s = sched_create (&sched_real, &config, f.crash, 0);
  sched_targets (f.s, targets, count, 0);
  return f;
}

static void
teardown (struct fixture *f)
{
  sched_destroy (f->s);
  crash_destroy (f->crash);
}

/* Submits a request and returns the first action. */
static struct sched_action
submit_request (struct fixture *f, struct sched_request q, uint64_t now_ms)
{
  struct sched_action a = { .kind = -1 };

  if (!q.deadline_ms)
    q.deadline_ms = now_ms + 5000;
  if (!q.attempt)
    q.attempt = 1;
  sched_submit (f->s, &q, now_ms);
  if (!sched_next (f->s, &a))
    a.kind = -1;
  return a;
}

static struct sched_action
next_action (struct fixture *f)
{
  struct sched_action a;

  if (!sched_next (f->s, &a))
    a.kind = -1;
  return a;
}

static void
release_grant (struct fixture *f, uint64_t grant, attempt_outcome outcome,
               uint64_t now_ms)
{
  const struct sched_result r
      = { .outcome = outcome, .first_byte_ms = 100, .total_ms = 100 };

  CU_ASSERT_TRUE (sched_release (f->s, grant, &r, now_ms));
}

#define NO_ACTION ((enum sched_action_kind) - 1)

/* Guards against one wake for each waiting request, and against a failed wake
   that is not retried. */
static void
test_wake_once (void)
{
  struct fixture f = setup (false, 0);
  struct sched_action a = submit_request (&f, (struct sched_request){ 0 }, 0);

  CU_ASSERT_EQUAL (a.kind, SCHED_WAKE);
  CU_ASSERT_EQUAL (a.replicas, 1);
  CU_ASSERT_EQUAL (submit_request (&f, (struct sched_request){ 0 }, 1).kind,
                   NO_ACTION);
  a = submit_request (&f, (struct sched_request){ .adapter = STR ("cro") }, 2);
  CU_ASSERT_EQUAL (a.kind, SCHED_WAKE);
  CU_ASSERT_TRUE (str_eq (a.adapter, STR ("cro")));
  sched_wake_done (f.s, STR (""), WAKE_FAILED, 0, 10);
  CU_ASSERT_EQUAL (next_action (&f).kind, NO_ACTION);
  sched_tick (f.s, 300);
  CU_ASSERT_EQUAL (next_action (&f).kind, SCHED_WAKE);
  sched_targets_loaded (f.s, STR (""), targets, 1, 400);
  sched_wake_done (f.s, STR (""), WAKE_LOADED, 0, 400);
  CU_ASSERT_EQUAL (next_action (&f).kind, SCHED_GRANT);
  CU_ASSERT_EQUAL (next_action (&f).kind, SCHED_GRANT);
  CU_ASSERT_EQUAL (next_action (&f).kind, NO_ACTION);
  CU_ASSERT_EQUAL (sched_waiting (f.s), 1);
  teardown (&f);
}

/* Guards against a burst of requests that all wait for a single replica. */
static void
test_wake_more (void)
{
  struct fixture f = setup (false, 0);

  CU_ASSERT_EQUAL (submit_request (&f, (struct sched_request){ 0 }, 0).kind,
                   SCHED_WAKE);
  for (int i = 0; i < 3; i++)
    CU_ASSERT_EQUAL (submit_request (&f, (struct sched_request){ 0 }, 1).kind,
                     NO_ACTION);
  sched_tick (f.s, 500);
  const struct sched_action a = next_action (&f);

  CU_ASSERT_EQUAL (a.kind, SCHED_WAKE);
  CU_ASSERT_EQUAL (a.replicas, 2);
  sched_tick (f.s, 1000);
  CU_ASSERT_EQUAL (next_action (&f).kind, NO_ACTION);
  teardown (&f);
}

/* Guards against a model that is never loaded because its load takes longer
   than every deadline. */
static void
test_wake_too_late (void)
{
  struct fixture f = setup (false, 0);

  submit_request (&f, (struct sched_request){ .deadline_ms = 1000 }, 0);
  sched_wake_done (f.s, STR (""), WAKE_TOO_LATE, 8000, 5);
  struct sched_action a = next_action (&f);

  CU_ASSERT_EQUAL (a.kind, SCHED_REFUSE);
  CU_ASSERT_EQUAL (a.code, GRANT_DEADLINE);
  CU_ASSERT_EQUAL (a.retry_after_ms, 8000);
  sched_tick (f.s, 300);
  CU_ASSERT_EQUAL (next_action (&f).kind, SCHED_WAKE);
  a = submit_request (&f, (struct sched_request){ .deadline_ms = 2000 }, 400);
  CU_ASSERT_EQUAL (a.kind, SCHED_REFUSE);
  a = submit_request (&f, (struct sched_request){ .deadline_ms = 20000 }, 400);
  CU_ASSERT_EQUAL (a.kind, NO_ACTION);
  teardown (&f);
}

/* Guards against granting a request for an adapter on a replica that has not
   loaded it. */
static void
test_adapter (void)
{
  struct fixture f = setup (false, 3);

  submit_request (&f, (struct sched_request){ .adapter = STR ("cro") }, 0);
  sched_adapter_targets (f.s, STR ("cro"), &targets[2], 1, 10);
  struct sched_action a = next_action (&f);

  CU_ASSERT_EQUAL (a.kind, SCHED_GRANT);
  CU_ASSERT_TRUE (str_eq (a.target, STR ("t3")));
  release_grant (&f, a.grant, ATTEMPT_NOT_LOADED, 20);
  CU_ASSERT_EQUAL (sched_target_count (f.s), 3);
  sched_wake_done (f.s, STR ("cro"), WAKE_LOADED, 0, 30);
  a = submit_request (&f, (struct sched_request){ .adapter = STR ("cro") },
                      2000);
  CU_ASSERT_EQUAL (a.kind, SCHED_WAKE);
  teardown (&f);
}

/* Guards against new requests for targets that are leaving, dead or
   excluded. */
static void
test_unusable (void)
{
  const struct str excluded[] = { STR ("t1"), STR ("t3") };
  struct sched_request q = { .excluded = excluded, .excluded_count = 2 };
  struct fixture f = setup (false, 3);
  struct sched_action a = submit_request (&f, q, 0);

  CU_ASSERT_TRUE (str_eq (a.target, STR ("t2")));
  release_grant (&f, a.grant, ATTEMPT_LEAVING, 10);
  sched_targets (f.s, targets, 3, 20);
  q.excluded_count = 1;
  a = submit_request (&f, q, 30);
  CU_ASSERT_TRUE (str_eq (a.target, STR ("t3")));
  release_grant (&f, a.grant, ATTEMPT_CRASHED, 40);
  CU_ASSERT_EQUAL (next_action (&f).kind, SCHED_TARGET_LOST);
  sched_targets (f.s, targets, 3, 50);
  CU_ASSERT_EQUAL (sched_target_count (f.s), 1);
  /* An excluded target is used if no other is left. */
  a = submit_request (&f, q, 60);
  CU_ASSERT_TRUE (str_eq (a.target, STR ("t1")));
  sched_target_leaving (f.s, STR ("t1"), 70);
  CU_ASSERT_EQUAL (submit_request (&f, q, 80).kind, SCHED_WAKE);
  teardown (&f);
}

/* Guards against a request that returns immediately to a full or unreachable
   target until its attempts are exhausted. */
static void
test_not_run (void)
{
  struct fixture f = setup (false, 1);
  struct sched_action a = submit_request (&f, (struct sched_request){ 0 }, 0);
  uint64_t other = submit_request (&f, (struct sched_request){ 0 }, 0).grant;

  /* Full target: gets at most as many requests as are in flight there. */
  release_grant (&f, a.grant, ATTEMPT_NOT_RUN, 1);
  submit_request (&f, (struct sched_request){ .attempt = 2 }, 1);
  submit_request (&f, (struct sched_request){ 0 }, 1);
  sched_tick (f.s, 1000);
  CU_ASSERT_EQUAL (next_action (&f).kind, NO_ACTION);
  release_grant (&f, other, ATTEMPT_DONE, 1000);
  CU_ASSERT_EQUAL (next_action (&f).kind, SCHED_GRANT);
  CU_ASSERT_EQUAL (next_action (&f).kind, SCHED_GRANT);
  CU_ASSERT_EQUAL (sched_in_flight (f.s), 2);
  teardown (&f);
  /* Unreachable target: gets no requests during a pause that doubles each
     time. */
  f = setup (false, 1);
  a = submit_request (&f, (struct sched_request){ 0 }, 0);
  release_grant (&f, a.grant, ATTEMPT_NOT_RUN, 0);
  submit_request (&f, (struct sched_request){ 0 }, 1);
  sched_tick (f.s, 40);
  CU_ASSERT_EQUAL (next_action (&f).kind, NO_ACTION);
  sched_tick (f.s, 60);
  a = next_action (&f);
  CU_ASSERT_EQUAL (a.kind, SCHED_GRANT);
  release_grant (&f, a.grant, ATTEMPT_NOT_RUN, 60);
  submit_request (&f, (struct sched_request){ 0 }, 60);
  sched_tick (f.s, 140);
  CU_ASSERT_EQUAL (next_action (&f).kind, NO_ACTION);
  sched_tick (f.s, 160);
  CU_ASSERT_EQUAL (next_action (&f).kind, SCHED_GRANT);
  teardown (&f);
}

/* Guards against other requests on the replica of a suspect, before and while
   it runs. */
static void
test_suspect_alone (void)
{
  struct fixture f = setup (false, 1);
  const struct sched_request suspect
      = { .fingerprint = 9, .attempt = 2, .crash_seen = true };
  struct sched_action a = submit_request (&f, (struct sched_request){ 0 }, 0);

  CU_ASSERT_EQUAL (a.kind, SCHED_GRANT);
  CU_ASSERT_EQUAL (submit_request (&f, suspect, 1).kind, NO_ACTION);
  CU_ASSERT_EQUAL (submit_request (&f, (struct sched_request){ 0 }, 2).kind,
                   NO_ACTION);
  release_grant (&f, a.grant, ATTEMPT_DONE, 3);
  a = next_action (&f);
  CU_ASSERT_EQUAL (a.kind, SCHED_GRANT);
  CU_ASSERT_EQUAL (crash_running (f.crash, 9), 1);
  CU_ASSERT_EQUAL (next_action (&f).kind, NO_ACTION);
  release_grant (&f, a.grant, ATTEMPT_DONE, 4);
  CU_ASSERT_EQUAL (next_action (&f).kind, SCHED_CLEARED);
  CU_ASSERT_EQUAL (next_action (&f).kind, SCHED_GRANT);
  teardown (&f);
}

/* Guards against a suspect that runs without its lock, and against locks that
   are never returned. */
static void
test_suspect_lock (void)
{
  const struct sched_config config
      = { .queue_max = 4, .grant_hold_ms = 60000, .lock = true };
  const struct sched_request suspect = {
    .fingerprint = 9, .attempt = 2, .crash_seen = true, .deadline_ms = 3000
  };
  struct fixture f = setup (false, 1);

  sched_configure (f.s, &config);
  CU_ASSERT_EQUAL (submit_request (&f, suspect, 0).kind, SCHED_LOCK);
  CU_ASSERT_EQUAL (next_action (&f).kind, NO_ACTION);
  sched_lock_result (f.s, STR ("t1"), false, 1);
  CU_ASSERT_EQUAL (next_action (&f).kind, SCHED_LOCK);
  sched_lock_result (f.s, STR ("t1"), true, 2);
  const struct sched_action a = next_action (&f);

  CU_ASSERT_EQUAL (a.kind, SCHED_GRANT);
  release_grant (&f, a.grant, ATTEMPT_DONE, 3);
  CU_ASSERT_EQUAL (next_action (&f).kind, SCHED_UNLOCK);
  CU_ASSERT_EQUAL (next_action (&f).kind, SCHED_CLEARED);
  /* Refusing a suspect cancels its pending lock request. */
  crash_merge (f.crash, 9, 1, 0, 4);
  CU_ASSERT_EQUAL (submit_request (&f, suspect, 5).kind, SCHED_LOCK);
  sched_tick (f.s, 3000);
  CU_ASSERT_EQUAL (next_action (&f).kind, SCHED_REFUSE);
  CU_ASSERT_EQUAL (next_action (&f).kind, SCHED_UNLOCK);
  teardown (&f);
}

/* Guards against a prefix that overloads its preferred replica, and against
   load that concentrates in one failure domain. */
static void
test_affinity (void)
{
  struct fixture f = setup (false, 3);
  struct sched_action first
      = submit_request (&f, (struct sched_request){ .prefix_hash = 77 }, 0);
  char preferred_target[8] = { 0 };

  memcpy (preferred_target, first.target.data, 2);
  release_grant (&f, first.grant, ATTEMPT_DONE, 1);
  first = submit_request (&f, (struct sched_request){ .prefix_hash = 77 }, 2);
  CU_ASSERT_TRUE (str_eq (first.target, str_from (preferred_target)));
  for (uint64_t n = 2; n <= 6; n++)
    {
      const struct str at
          = submit_request (&f, (struct sched_request){ .prefix_hash = 77 }, n)
                .target;

      CU_ASSERT_TRUE (sched_target_in_flight (f.s, at) <= (5 * n + 11) / 12);
    }
  teardown (&f);
  f = setup (false, 3);
  submit_request (&f, (struct sched_request){ 0 }, 0);
  submit_request (&f, (struct sched_request){ 0 }, 0);
  CU_ASSERT_EQUAL (sched_target_in_flight (f.s, STR ("t3")), 1);
  teardown (&f);
}

/* Guards against slots that stay occupied after their entry died or its
   release was lost, and against an unbounded queue. */
static void
test_lost_entries (void)
{
  struct fixture f = setup (false, 1);
  const struct sched_request q = { .entry = STR ("n1"), .deadline_ms = 60000 };

  submit_request (&f, q, 0);
  submit_request (&f, (struct sched_request){ .deadline_ms = 60000 }, 0);
  CU_ASSERT_EQUAL (submit_request (&f, (struct sched_request){ 0 }, 1).kind,
                   NO_ACTION);
  sched_entry_lost (f.s, STR ("n1"), 2);
  CU_ASSERT_EQUAL (next_action (&f).kind, SCHED_GRANT);
  sched_tick (f.s, 10500);
  CU_ASSERT_EQUAL (sched_in_flight (f.s), 0);
  for (int i = 0; i < 6; i++)
    submit_request (
        &f, (struct sched_request){ .priority = i, .deadline_ms = 60000 },
        11000);
  const struct sched_action a = submit_request (
      &f, (struct sched_request){ .deadline_ms = 60000 }, 11000);

  CU_ASSERT_EQUAL (a.kind, SCHED_REFUSE);
  CU_ASSERT_EQUAL (a.code, GRANT_QUEUE_FULL);
  teardown (&f);
}

/* Guards against unbounded retries, requests that wait for a plain service
   without targets, and grants while draining. */
static void
test_refusals (void)
{
  struct fixture f = setup (true, 0);
  struct sched_action a = submit_request (&f, (struct sched_request){ 0 }, 0);

  CU_ASSERT_EQUAL (a.code, GRANT_UNAVAILABLE);
  sched_targets (f.s, targets, 3, 1);
  /* The retry budget of an unused model holds five retries. */
  for (int i = 0; i < 5; i++)
    CU_ASSERT_EQUAL (
        submit_request (&f, (struct sched_request){ .attempt = 2 }, 2).kind,
        SCHED_GRANT);
  a = submit_request (&f, (struct sched_request){ .attempt = 2 }, 3);
  CU_ASSERT_EQUAL (a.code, GRANT_RETRY_BUDGET);
  sched_drain (f.s, 4);
  a = submit_request (&f, (struct sched_request){ 0 }, 5);
  CU_ASSERT_EQUAL (a.code, GRANT_DRAINING);
  teardown (&f);
}

static const struct suite_case cases[] = {
  { "one wake for many requests", test_wake_once },
  { "more replicas for a burst", test_wake_more },
  { "load slower than the deadline", test_wake_too_late },
  { "adapters", test_adapter },
  { "leaving, dead and excluded targets", test_unusable },
  { "full or unreachable target", test_not_run },
  { "suspect runs alone", test_suspect_alone },
  { "lock for a suspect", test_suspect_lock },
  { "prefix affinity and spread over domains", test_affinity },
  { "dead entries, full queue", test_lost_entries },
  { "refusals", test_refusals },
};
TEST_SUITE ("schedrules", cases)
