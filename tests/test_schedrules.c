#include "sched.h"

#include <string.h>

#include "suite.h"

/* Single rules of the scheduler, each on a small set of targets. */

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
                                       .use_ms = 2000,
                                       .hold_ms = 10000,
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
ask (struct fixture *f, struct sched_request q, uint64_t now_ms)
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
next (struct fixture *f)
{
  struct sched_action a;

  if (!sched_next (f->s, &a))
    a.kind = -1;
  return a;
}

static void
release (struct fixture *f, uint64_t grant, attempt_outcome outcome,
         uint64_t now_ms)
{
  const struct sched_result r
      = { .outcome = outcome, .first_byte_ms = 100, .total_ms = 100 };

  CU_ASSERT_TRUE (sched_release (f->s, grant, &r, now_ms));
}

#define NOTHING ((enum sched_action_kind) - 1)

/* Guards against one wake per waiting request, and a lost retry of a wake. */
static void
test_wake_once (void)
{
  struct fixture f = setup (false, 0);
  struct sched_action a = ask (&f, (struct sched_request){ 0 }, 0);

  CU_ASSERT_EQUAL (a.kind, SCHED_WAKE);
  CU_ASSERT_EQUAL (a.replicas, 1);
  CU_ASSERT_EQUAL (ask (&f, (struct sched_request){ 0 }, 1).kind, NOTHING);
  a = ask (&f, (struct sched_request){ .adapter = STR ("cro") }, 2);
  CU_ASSERT_EQUAL (a.kind, SCHED_WAKE);
  CU_ASSERT_TRUE (str_eq (a.adapter, STR ("cro")));
  sched_woken (f.s, STR (""), WAKE_FAILED, 0, 10);
  CU_ASSERT_EQUAL (next (&f).kind, NOTHING);
  sched_tick (f.s, 300);
  CU_ASSERT_EQUAL (next (&f).kind, SCHED_WAKE);
  sched_loaded (f.s, STR (""), targets, 1, 400);
  sched_woken (f.s, STR (""), WAKE_LOADED, 0, 400);
  CU_ASSERT_EQUAL (next (&f).kind, SCHED_GRANT);
  CU_ASSERT_EQUAL (next (&f).kind, SCHED_GRANT);
  CU_ASSERT_EQUAL (next (&f).kind, NOTHING);
  CU_ASSERT_EQUAL (sched_waiting (f.s), 1);
  teardown (&f);
}

/* Guards against a burst that waits for a single replica. */
static void
test_wake_more (void)
{
  struct fixture f = setup (false, 0);

  CU_ASSERT_EQUAL (ask (&f, (struct sched_request){ 0 }, 0).kind, SCHED_WAKE);
  for (int i = 0; i < 3; i++)
    CU_ASSERT_EQUAL (ask (&f, (struct sched_request){ 0 }, 1).kind, NOTHING);
  sched_tick (f.s, 500);
  const struct sched_action a = next (&f);

  CU_ASSERT_EQUAL (a.kind, SCHED_WAKE);
  CU_ASSERT_EQUAL (a.replicas, 2);
  sched_tick (f.s, 1000);
  CU_ASSERT_EQUAL (next (&f).kind, NOTHING);
  teardown (&f);
}

/* Guards against a model whose load is slower than every deadline and that is
   therefore never loaded. */
static void
test_wake_too_late (void)
{
  struct fixture f = setup (false, 0);

  ask (&f, (struct sched_request){ .deadline_ms = 1000 }, 0);
  sched_woken (f.s, STR (""), WAKE_TOO_LATE, 8000, 5);
  struct sched_action a = next (&f);

  CU_ASSERT_EQUAL (a.kind, SCHED_REFUSE);
  CU_ASSERT_EQUAL (a.code, GRANT_DEADLINE);
  CU_ASSERT_EQUAL (a.retry_after_ms, 8000);
  sched_tick (f.s, 300);
  CU_ASSERT_EQUAL (next (&f).kind, SCHED_WAKE);
  a = ask (&f, (struct sched_request){ .deadline_ms = 2000 }, 400);
  CU_ASSERT_EQUAL (a.kind, SCHED_REFUSE);
  a = ask (&f, (struct sched_request){ .deadline_ms = 20000 }, 400);
  CU_ASSERT_EQUAL (a.kind, NOTHING);
  teardown (&f);
}

/* Guards against a grant for an adapter where it is not loaded. */
static void
test_adapter (void)
{
  struct fixture f = setup (false, 3);

  ask (&f, (struct sched_request){ .adapter = STR ("cro") }, 0);
  sched_adapter (f.s, STR ("cro"), &targets[2], 1, 10);
  struct sched_action a = next (&f);

  CU_ASSERT_EQUAL (a.kind, SCHED_GRANT);
  CU_ASSERT_TRUE (str_eq (a.target, STR ("t3")));
  release (&f, a.grant, ATTEMPT_NOT_LOADED, 20);
  CU_ASSERT_EQUAL (sched_target_count (f.s), 3);
  sched_woken (f.s, STR ("cro"), WAKE_LOADED, 0, 30);
  a = ask (&f, (struct sched_request){ .adapter = STR ("cro") }, 2000);
  CU_ASSERT_EQUAL (a.kind, SCHED_WAKE);
  teardown (&f);
}

/* Guards against new work for targets that leave, died or are excluded. */
static void
test_unusable (void)
{
  const struct str excluded[] = { STR ("t1"), STR ("t3") };
  struct sched_request q = { .excluded = excluded, .excluded_count = 2 };
  struct fixture f = setup (false, 3);
  struct sched_action a = ask (&f, q, 0);

  CU_ASSERT_TRUE (str_eq (a.target, STR ("t2")));
  release (&f, a.grant, ATTEMPT_LEAVING, 10);
  sched_targets (f.s, targets, 3, 20);
  q.excluded_count = 1;
  a = ask (&f, q, 30);
  CU_ASSERT_TRUE (str_eq (a.target, STR ("t3")));
  release (&f, a.grant, ATTEMPT_CRASHED, 40);
  CU_ASSERT_EQUAL (next (&f).kind, SCHED_LOST);
  sched_targets (f.s, targets, 3, 50);
  CU_ASSERT_EQUAL (sched_target_count (f.s), 1);
  /* With nothing else left, an excluded target is better than none. */
  a = ask (&f, q, 60);
  CU_ASSERT_TRUE (str_eq (a.target, STR ("t1")));
  sched_leaving (f.s, STR ("t1"), 70);
  CU_ASSERT_EQUAL (ask (&f, q, 80).kind, SCHED_WAKE);
  teardown (&f);
}

/* Guards against a request that goes back at once to a target that is full or
   cannot be reached, until its attempts are used up. */
static void
test_not_run (void)
{
  struct fixture f = setup (false, 1);
  struct sched_action a = ask (&f, (struct sched_request){ 0 }, 0);
  uint64_t other = ask (&f, (struct sched_request){ 0 }, 0).grant;

  /* Full: as many as run there now. */
  release (&f, a.grant, ATTEMPT_NOT_RUN, 1);
  ask (&f, (struct sched_request){ .attempt = 2 }, 1);
  ask (&f, (struct sched_request){ 0 }, 1);
  sched_tick (f.s, 1000);
  CU_ASSERT_EQUAL (next (&f).kind, NOTHING);
  release (&f, other, ATTEMPT_DONE, 1000);
  CU_ASSERT_EQUAL (next (&f).kind, SCHED_GRANT);
  CU_ASSERT_EQUAL (next (&f).kind, SCHED_GRANT);
  CU_ASSERT_EQUAL (sched_in_flight (f.s), 2);
  teardown (&f);
  /* Not reached: none for a while, twice as long the next time. */
  f = setup (false, 1);
  a = ask (&f, (struct sched_request){ 0 }, 0);
  release (&f, a.grant, ATTEMPT_NOT_RUN, 0);
  ask (&f, (struct sched_request){ 0 }, 1);
  sched_tick (f.s, 40);
  CU_ASSERT_EQUAL (next (&f).kind, NOTHING);
  sched_tick (f.s, 60);
  a = next (&f);
  CU_ASSERT_EQUAL (a.kind, SCHED_GRANT);
  release (&f, a.grant, ATTEMPT_NOT_RUN, 60);
  ask (&f, (struct sched_request){ 0 }, 60);
  sched_tick (f.s, 140);
  CU_ASSERT_EQUAL (next (&f).kind, NOTHING);
  sched_tick (f.s, 160);
  CU_ASSERT_EQUAL (next (&f).kind, SCHED_GRANT);
  teardown (&f);
}

/* Guards against other work beside a suspect, before and while it runs. */
static void
test_suspect_alone (void)
{
  struct fixture f = setup (false, 1);
  const struct sched_request suspect
      = { .fingerprint = 9, .attempt = 2, .crash_seen = true };
  struct sched_action a = ask (&f, (struct sched_request){ 0 }, 0);

  CU_ASSERT_EQUAL (a.kind, SCHED_GRANT);
  CU_ASSERT_EQUAL (ask (&f, suspect, 1).kind, NOTHING);
  CU_ASSERT_EQUAL (ask (&f, (struct sched_request){ 0 }, 2).kind, NOTHING);
  release (&f, a.grant, ATTEMPT_DONE, 3);
  a = next (&f);
  CU_ASSERT_EQUAL (a.kind, SCHED_GRANT);
  CU_ASSERT_EQUAL (crash_running (f.crash, 9), 1);
  CU_ASSERT_EQUAL (next (&f).kind, NOTHING);
  release (&f, a.grant, ATTEMPT_DONE, 4);
  CU_ASSERT_EQUAL (next (&f).kind, SCHED_CLEARED);
  CU_ASSERT_EQUAL (next (&f).kind, SCHED_GRANT);
  teardown (&f);
}

/* Guards against a suspect that runs without its lock, and locks that are
   never given back. */
static void
test_suspect_lock (void)
{
  const struct sched_config config
      = { .queue_max = 4, .hold_ms = 60000, .lock = true };
  const struct sched_request suspect = {
    .fingerprint = 9, .attempt = 2, .crash_seen = true, .deadline_ms = 3000
  };
  struct fixture f = setup (false, 1);

  sched_configure (f.s, &config);
  CU_ASSERT_EQUAL (ask (&f, suspect, 0).kind, SCHED_LOCK);
  CU_ASSERT_EQUAL (next (&f).kind, NOTHING);
  sched_locked (f.s, STR ("t1"), false, 1);
  CU_ASSERT_EQUAL (next (&f).kind, SCHED_LOCK);
  sched_locked (f.s, STR ("t1"), true, 2);
  const struct sched_action a = next (&f);

  CU_ASSERT_EQUAL (a.kind, SCHED_GRANT);
  release (&f, a.grant, ATTEMPT_DONE, 3);
  CU_ASSERT_EQUAL (next (&f).kind, SCHED_UNLOCK);
  CU_ASSERT_EQUAL (next (&f).kind, SCHED_CLEARED);
  /* A suspect that is refused gives back the lock that it waits for. */
  crash_merge (f.crash, 9, 1, 0, 4);
  CU_ASSERT_EQUAL (ask (&f, suspect, 5).kind, SCHED_LOCK);
  sched_tick (f.s, 3000);
  CU_ASSERT_EQUAL (next (&f).kind, SCHED_REFUSE);
  CU_ASSERT_EQUAL (next (&f).kind, SCHED_UNLOCK);
  teardown (&f);
}

/* Guards against a prefix that overloads its replica, and load that gathers
   in one failure domain. */
static void
test_affinity (void)
{
  struct fixture f = setup (false, 3);
  struct sched_action first
      = ask (&f, (struct sched_request){ .prefix_hash = 77 }, 0);
  char home[8] = { 0 };

  memcpy (home, first.target.data, 2);
  release (&f, first.grant, ATTEMPT_DONE, 1);
  first = ask (&f, (struct sched_request){ .prefix_hash = 77 }, 2);
  CU_ASSERT_TRUE (str_eq (first.target, str_from (home)));
  for (uint64_t n = 2; n <= 6; n++)
    {
      const struct str at
          = ask (&f, (struct sched_request){ .prefix_hash = 77 }, n).target;

      CU_ASSERT_TRUE (sched_target_in_flight (f.s, at) <= (5 * n + 11) / 12);
    }
  teardown (&f);
  f = setup (false, 3);
  ask (&f, (struct sched_request){ 0 }, 0);
  ask (&f, (struct sched_request){ 0 }, 0);
  CU_ASSERT_EQUAL (sched_target_in_flight (f.s, STR ("t3")), 1);
  teardown (&f);
}

/* Guards against slots that are lost with an entry or with its release, and a
   queue without bound. */
static void
test_lost_entries (void)
{
  struct fixture f = setup (false, 1);
  const struct sched_request q = { .entry = STR ("n1"), .deadline_ms = 60000 };

  ask (&f, q, 0);
  ask (&f, (struct sched_request){ .deadline_ms = 60000 }, 0);
  CU_ASSERT_EQUAL (ask (&f, (struct sched_request){ 0 }, 1).kind, NOTHING);
  sched_entry_lost (f.s, STR ("n1"), 2);
  CU_ASSERT_EQUAL (next (&f).kind, SCHED_GRANT);
  sched_tick (f.s, 10500);
  CU_ASSERT_EQUAL (sched_in_flight (f.s), 0);
  for (int i = 0; i < 6; i++)
    ask (&f, (struct sched_request){ .priority = i, .deadline_ms = 60000 },
         11000);
  const struct sched_action a
      = ask (&f, (struct sched_request){ .deadline_ms = 60000 }, 11000);

  CU_ASSERT_EQUAL (a.kind, SCHED_REFUSE);
  CU_ASSERT_EQUAL (a.code, GRANT_QUEUE_FULL);
  teardown (&f);
}

/* Guards against retries without bound, requests that wait for a plain
   service without targets, and grants while draining. */
static void
test_refusals (void)
{
  struct fixture f = setup (true, 0);
  struct sched_action a = ask (&f, (struct sched_request){ 0 }, 0);

  CU_ASSERT_EQUAL (a.code, GRANT_UNAVAILABLE);
  sched_targets (f.s, targets, 3, 1);
  /* The budget of a model that was never used holds five retries. */
  for (int i = 0; i < 5; i++)
    CU_ASSERT_EQUAL (ask (&f, (struct sched_request){ .attempt = 2 }, 2).kind,
                     SCHED_GRANT);
  a = ask (&f, (struct sched_request){ .attempt = 2 }, 3);
  CU_ASSERT_EQUAL (a.code, GRANT_RETRY_BUDGET);
  sched_drain (f.s, 4);
  a = ask (&f, (struct sched_request){ 0 }, 5);
  CU_ASSERT_EQUAL (a.code, GRANT_DRAINING);
  teardown (&f);
}

static const struct suite_case cases[] = {
  { "one wake for many", test_wake_once },
  { "more replicas for a burst", test_wake_more },
  { "load slower than the deadline", test_wake_too_late },
  { "adapters", test_adapter },
  { "leaving, dead and excluded targets", test_unusable },
  { "target that does not take requests", test_not_run },
  { "suspect alone", test_suspect_alone },
  { "lock for a suspect", test_suspect_lock },
  { "affinity and spread", test_affinity },
  { "lost entries, full queue", test_lost_entries },
  { "refusals", test_refusals },
};
TEST_SUITE ("schedrules", cases)
