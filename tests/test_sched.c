#include "sched.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "err.h"
#include "random.h"
#include "suite.h"

#define SLOTS 4
#define TICK_MS 20
#define REQUESTS_MAX 8192
#define TARGETS_MAX 8

/* Simulates a scheduler, its targets and the entries that send requests, on a
   virtual clock with steps of 1 ms. */

/* A request and the events of its attempts. crashes: its attempts crash their
   targets. */
struct job
{
  uint64_t submit_ms;
  uint64_t deadline_ms;
  uint64_t provably_late_ms; /* when it first could not meet its deadline */
  uint64_t end_ms;           /* end of the attempt in flight, or refusal */
  uint64_t grant;
  uint64_t fingerprint;
  uint32_t service_ms;
  uint32_t attempt;
  int priority;
  int target;
  int grants;
  int refusals;
  int releases;
  grant_code code;
  bool waiting;
  bool running;
  bool done;
  bool completed_in_time;
  bool crash_seen;
  bool crashes;
};

struct target
{
  char addr[24];
  uint64_t instance;
  uint64_t alive_from_ms;
};

struct world
{
  struct sched *s;
  struct crash *crash;
  struct job *jobs;
  size_t job_count;
  struct target targets[TARGETS_MAX];
  size_t target_count;
  uint64_t now_ms;
  uint64_t random;
  size_t wakes;
  size_t overlaps; /* uncompleted fingerprint granted on two targets at once */
  size_t overdue;  /* steps of requests that wait beyond their deadline */
  size_t target_deaths;
  uint64_t completed_fingerprints[64];
  size_t completed_fingerprint_count;
};

static uint64_t
random_below (struct world *w, uint64_t below)
{
  return random_next (&w->random) % below;
}

static void
update_targets (struct world *w)
{
  struct sched_target list[TARGETS_MAX];
  static const char *const domains[] = { "a", "b", "c" };
  size_t n = 0;

  for (size_t i = 0; i < w->target_count; i++)
    if (w->targets[i].alive_from_ms <= w->now_ms)
      list[n++] = (struct sched_target){
        .target = str_from (w->targets[i].addr),
        .domain = str_from (domains[i % 3]),
        .instance = w->targets[i].instance,
        .slots = SLOTS,
      };
  sched_targets (w->s, list, n, w->now_ms);
}

static struct world *
world_create (const struct sched_policy *policy, size_t targets, uint64_t seed)
{
  const struct sched_config config = { .queue_max = 4096,
                                       .grant_use_ms = 2000,
                                       .grant_hold_ms = 600000,
                                       .service_ms = 200,
                                       .slots = SLOTS };
  struct world *w = xcalloc (1, sizeof *w);

  w->jobs = xcalloc (REQUESTS_MAX, sizeof *w->jobs);
  w->crash = crash_create (4096);
  w->s = sched_create (policy, &config, w->crash, 0);
  w->random = seed;
  w->target_count = targets;
  for (size_t i = 0; i < targets; i++)
    {
      snprintf (w->targets[i].addr, sizeof w->targets[i].addr, "10.0.0.%zu:80",
                i + 1);
      w->targets[i].instance = i + 1;
    }
  update_targets (w);
  return w;
}

static void
world_destroy (struct world *w)
{
  sched_destroy (w->s);
  crash_destroy (w->crash);
  free (w->jobs);
  free (w);
}

static int
target_index (const struct world *w, struct str addr)
{
  for (size_t i = 0; i < w->target_count; i++)
    if (str_eq (addr, str_from (w->targets[i].addr)))
      return (int)i;
  return -1;
}

static bool
has_completed (const struct world *w, uint64_t fingerprint)
{
  for (size_t i = 0; i < w->completed_fingerprint_count; i++)
    if (w->completed_fingerprints[i] == fingerprint)
      return true;
  return false;
}

static void
count_overlaps (struct world *w, const struct job *j)
{
  if (j->fingerprint == 0 || has_completed (w, j->fingerprint))
    return;
  for (size_t i = 0; i < w->job_count; i++)
    if (w->jobs[i].running && w->jobs[i].fingerprint == j->fingerprint
        && w->jobs[i].target != j->target)
      w->overlaps++;
}

static void
apply_actions (struct world *w)
{
  struct sched_action a;

  while (sched_next (w->s, &a))
    {
      struct job *j = a.ctx;

      switch (a.kind)
        {
        case SCHED_GRANT:
          j->waiting = false;
          j->grants++;
          j->grant = a.grant;
          j->target = target_index (w, a.target);
          count_overlaps (w, j);
          j->running = true;
          j->end_ms = w->now_ms + j->service_ms;
          break;
        case SCHED_REFUSE:
          j->waiting = false;
          j->refusals++;
          j->code = a.code;
          j->end_ms = w->now_ms;
          break;
        case SCHED_WAKE:
          w->wakes++;
          break;
        default:
          break;
        }
    }
}

static void
submit (struct world *w, struct job *j)
{
  j->attempt++;
  j->waiting = true;
  j->submit_ms = w->now_ms;
  sched_submit (w->s,
                &(struct sched_request){
                    .ctx = j,
                    .entry = STR ("entry"),
                    .priority = j->priority,
                    .deadline_ms = j->deadline_ms,
                    .fingerprint = j->fingerprint,
                    .attempt = j->attempt,
                    .crash_seen = j->crash_seen,
                },
                w->now_ms);
  apply_actions (w);
}

static void
release (struct world *w, struct job *j, attempt_outcome outcome)
{
  const struct sched_result result = { .outcome = outcome,
                                       .first_byte_ms = j->service_ms,
                                       .total_ms = j->service_ms };

  j->running = false;
  j->releases++;
  CU_ASSERT_TRUE (sched_release (w->s, j->grant, &result, w->now_ms));
}

static void
complete (struct world *w, struct job *j)
{
  release (w, j, ATTEMPT_DONE);
  j->done = true;
  j->completed_in_time = w->now_ms <= j->deadline_ms;
  if (j->fingerprint && !has_completed (w, j->fingerprint)
      && w->completed_fingerprint_count < 64)
    w->completed_fingerprints[w->completed_fingerprint_count++]
        = j->fingerprint;
}

/* Crashes a target; the entry of each request on it submits the request
   again. */
static void
crash_target (struct world *w, int index)
{
  struct target *t = &w->targets[index];

  w->target_deaths++;
  t->alive_from_ms = w->now_ms + 1500;
  t->instance += 100;
  for (size_t i = 0; i < w->job_count; i++)
    {
      struct job *j = &w->jobs[i];

      if (!j->running || j->target != index)
        continue;
      release (w, j, ATTEMPT_CRASHED);
      j->crash_seen = true;
      apply_actions (w);
      submit (w, j);
    }
}

static void
step (struct world *w)
{
  for (size_t i = 0; i < w->job_count; i++)
    {
      struct job *j = &w->jobs[i];

      if (!j->running || w->now_ms < j->end_ms)
        continue;
      if (j->crashes)
        crash_target (w, j->target);
      else
        complete (w, j);
      apply_actions (w);
    }
  if (w->now_ms % 1000 == 0)
    update_targets (w);
  if (w->now_ms % TICK_MS == 0)
    sched_tick (w->s, w->now_ms);
  apply_actions (w);
  for (size_t i = 0; i < w->job_count; i++)
    if (w->jobs[i].waiting && w->now_ms > w->jobs[i].deadline_ms + TICK_MS)
      w->overdue++;
  w->now_ms++;
}

/* ---- overload ---- */

struct overload_result
{
  size_t admitted;
  size_t completed_in_time;
  size_t refused;
  uint64_t refusal_delay_ms; /* longest time from provably late to refused */
};

#define SERVICE_MIN_MS 100

static bool
job_precedes (const struct job *a, const struct job *b, bool fifo)
{
  if (fifo)
    return a->submit_ms < b->submit_ms;
  if (a->priority != b->priority)
    return a->priority > b->priority;
  return a->deadline_ms < b->deadline_ms;
}

/* Marks the waiting requests that cannot meet their deadline even with the
   shortest service time for all requests ahead, given the actual ends of the
   attempts in flight. */
static void
mark_provably_late (struct world *w, bool fifo)
{
  static struct job *queue[REQUESTS_MAX];
  uint64_t free_ms[TARGETS_MAX * SLOTS] = { 0 };
  size_t slot = 0;
  size_t n = 0;

  for (size_t i = 0; i < w->job_count; i++)
    {
      struct job *j = &w->jobs[i];
      size_t position = n;

      if (j->running)
        free_ms[slot++] = j->end_ms;
      if (!j->waiting)
        continue;
      while (position > 0 && job_precedes (j, queue[position - 1], fifo))
        {
          queue[position] = queue[position - 1];
          position--;
        }
      queue[position] = j;
      n++;
    }
  for (size_t i = 0; i < n; i++)
    {
      size_t first = 0;

      for (size_t k = 1; k < w->target_count * SLOTS; k++)
        if (free_ms[k] < free_ms[first])
          first = k;
      if (free_ms[first] < w->now_ms)
        free_ms[first] = w->now_ms;
      if (free_ms[first] + SERVICE_MIN_MS > queue[i]->deadline_ms)
        {
          if (!queue[i]->provably_late_ms)
            queue[i]->provably_late_ms = w->now_ms;
          continue;
        }
      free_ms[first] += SERVICE_MIN_MS;
    }
}

static struct overload_result
run_overload (const struct sched_policy *policy, unsigned urgent_percent,
              uint64_t seed)
{
  struct world *w = world_create (policy, 4, seed);
  struct overload_result result = { 0 };

  /* 16 slots with a mean service time of 200 ms serve 80 requests a second;
     160 arrive. */
  while (w->now_ms < 30000)
    {
      if (w->now_ms < 20000 && random_below (w, 1000) < 160)
        {
          struct job *j = &w->jobs[w->job_count++];
          const bool is_urgent = random_below (w, 100) < urgent_percent;

          j->priority = is_urgent ? 10 : 1;
          j->deadline_ms = w->now_ms + (is_urgent ? 600 : 3000);
          j->service_ms = SERVICE_MIN_MS + (uint32_t)random_below (w, 201);
          submit (w, j);
        }
      if (w->now_ms % 5 == 0)
        mark_provably_late (w, policy == &sched_naive);
      step (w);
    }
  for (size_t i = 0; i < w->job_count; i++)
    {
      const struct job *j = &w->jobs[i];

      CU_ASSERT_EQUAL (j->grants + j->refusals, 1);
      CU_ASSERT_EQUAL (j->releases, j->grants);
      result.admitted += j->grants;
      result.completed_in_time += j->completed_in_time;
      result.refused += j->refusals;
      if (j->refusals && j->provably_late_ms
          && j->end_ms - j->provably_late_ms > result.refusal_delay_ms)
        result.refusal_delay_ms = j->end_ms - j->provably_late_ms;
    }
  CU_ASSERT_EQUAL (w->overdue, 0);
  world_destroy (w);
  return result;
}

/* Guards against congestion collapse at twice the capacity, when requests are
   admitted that complete too late, and against late refusals. */
static void
test_overload (void)
{
  static const struct
  {
    unsigned urgent_percent;
    uint64_t seed;
  } runs[] = { { 50, 1 }, { 50, 2 }, { 100, 3 }, { 100, 4 } };

  for (size_t i = 0; i < sizeof runs / sizeof *runs; i++)
    {
      const struct overload_result real
          = run_overload (&sched_real, runs[i].urgent_percent, runs[i].seed);
      const struct overload_result naive
          = run_overload (&sched_naive, runs[i].urgent_percent, runs[i].seed);

      printf ("\n    %u%% urgent: real %zu of %zu in time, refusal delay %lu "
              "ms; naive %zu of %zu, refusal delay %lu ms ",
              runs[i].urgent_percent, real.completed_in_time, real.admitted,
              real.refusal_delay_ms, naive.completed_in_time, naive.admitted,
              naive.refusal_delay_ms);
      CU_ASSERT_TRUE (real.completed_in_time * 100 >= real.admitted * 95);
      CU_ASSERT_TRUE (real.refusal_delay_ms <= 50);
      CU_ASSERT_TRUE (real.completed_in_time > naive.completed_in_time);
      /* Early refusal must not leave the targets idle; their capacity is 1600
         requests. */
      CU_ASSERT_TRUE (real.admitted >= 1500);
    }
}

/* ---- crashing requests ---- */

#define CRASHING_FINGERPRINT 666

/* Guards against a request that crashes one target after another because four
   entries retry it, and against the loss of innocent requests on the same
   targets. */
static void
test_crashing_request (void)
{
  for (uint64_t seed = 1; seed <= 40; seed++)
    {
      struct world *w = world_create (&sched_real, 6, seed);

      while (w->now_ms < 40000)
        {
          if (w->now_ms < 20000 && random_below (w, 1000) < 20)
            {
              struct job *j = &w->jobs[w->job_count++];

              j->fingerprint = 1 + random_below (w, 40);
              j->deadline_ms = w->now_ms + 15000;
              j->service_ms = 50 + (uint32_t)random_below (w, 300);
              submit (w, j);
            }
          if (w->now_ms >= 3000 && w->now_ms < 20000 && w->now_ms % 700 < 4)
            {
              /* Every 700 ms, four entries send the same request within
                 4 ms. */
              struct job *j = &w->jobs[w->job_count++];

              j->fingerprint = CRASHING_FINGERPRINT;
              j->crashes = true;
              j->deadline_ms = w->now_ms + 15000;
              j->service_ms = 20 + (uint32_t)random_below (w, 200);
              submit (w, j);
            }
          step (w);
        }
      for (size_t i = 0; i < w->job_count; i++)
        {
          const struct job *j = &w->jobs[i];

          CU_ASSERT_FALSE (j->waiting || j->running);
          CU_ASSERT_EQUAL (j->releases, j->grants);
          CU_ASSERT_EQUAL (j->done, !j->crashes);
          CU_ASSERT_EQUAL (j->refusals, j->crashes ? 1 : 0);
          if (j->crashes)
            CU_ASSERT_EQUAL (j->code, GRANT_QUARANTINED);
        }
      CU_ASSERT_EQUAL (w->overlaps, 0);
      CU_ASSERT_EQUAL (w->overdue, 0);
      CU_ASSERT_TRUE (w->target_deaths >= 1 && w->target_deaths <= 2);
      world_destroy (w);
    }
}

static const struct suite_case cases[] = {
  { "twice the capacity", test_overload },
  { "request that crashes targets", test_crashing_request },
};
TEST_SUITE ("sched", cases)
