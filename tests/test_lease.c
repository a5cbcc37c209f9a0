#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "leasestate.h"

#include "suite.h"

#define TTL_MS 6000
#define MARGIN_MS 1000
#define NODES 3

/* Outcome of a node's next step. */
enum step_outcome
{
  STEP_OK,
  STEP_ANSWER_LOST, /* a write takes effect, but its answer is lost */
  STEP_LATE,        /* a write takes effect only in deliver_late_write() */
  STEP_FAILED,      /* the step has no effect and fails with an error */
  STEP_PENDING,     /* no answer yet */
};

/* A store with one object, and the nodes that compete for it. */
struct world
{
  uint64_t now;
  uint64_t version;
  struct lease_record object; /* the holder borrows from names */
  struct leasestate *nodes[NODES];
  uint64_t late_version;
  struct lease_record late;
};

static const char *const names[NODES] = { "a:1", "b:1", "c:1" };

static struct world
world_create (void)
{
  struct world w = { .now = 100000 };

  for (size_t i = 0; i < NODES; i++)
    w.nodes[i] = leasestate_create (str_from (names[i]), 7, TTL_MS, MARGIN_MS);
  return w;
}

static void
world_destroy (struct world *w)
{
  for (size_t i = 0; i < NODES; i++)
    leasestate_destroy (w->nodes[i]);
}

static struct str
static_addr (struct str holder)
{
  for (size_t i = 0; i < NODES; i++)
    if (str_eq (holder, str_from (names[i])))
      return str_from (names[i]);
  return (struct str){ 0 };
}

static int
put (struct world *w, uint64_t version, const struct lease_record *r)
{
  if (version > 0 && w->version == 0)
    return -ENOENT;
  if (version != w->version)
    return -EEXIST;
  w->version++;
  w->object = *r;
  w->object.holder = static_addr (r->holder);
  return 0;
}

static void
deliver_late_write (struct world *w)
{
  put (w, w->late_version, &w->late);
}

static void
do_write (struct world *w, struct leasestate *s, const struct lease_record *r,
          enum step_outcome outcome)
{
  int rc = outcome == STEP_FAILED ? -ECONNREFUSED : -EINPROGRESS;

  if (outcome == STEP_OK || outcome == STEP_ANSWER_LOST)
    {
      const int stored = put (w, leasestate_version (s), r);
      rc = outcome == STEP_OK ? stored : -EINPROGRESS;
    }
  if (outcome == STEP_LATE)
    {
      w->late_version = leasestate_version (s);
      w->late = *r;
      w->late.holder = static_addr (r->holder);
    }
  leasestate_write_done (s, w->now, rc, w->version);
}

/* Runs the step that is due, if any, with the given outcome. */
static enum lease_step
run (struct world *w, size_t node, enum step_outcome outcome)
{
  struct leasestate *s = w->nodes[node];
  struct lease_record r;
  const enum lease_step step = leasestate_next (s, w->now, &r);

  if (outcome == STEP_PENDING)
    return step;
  if (step == LEASE_STEP_READ)
    {
      const int rc = outcome != STEP_OK ? -ETIMEDOUT
                     : w->version == 0  ? -ENOENT
                                        : 0;
      leasestate_read_done (s, w->now, rc, w->version, &w->object);
    }
  if (step == LEASE_STEP_WRITE)
    do_write (w, s, &r, outcome);
  return step;
}

/* Advances the clock while the nodes in @mask run their steps without faults.
 */
static void
advance_time (struct world *w, uint64_t ms, unsigned mask)
{
  for (uint64_t end = w->now + ms; w->now < end; w->now += 100)
    for (size_t i = 0; i < NODES; i++)
      if (mask & (1u << i))
        while (run (w, i, STEP_OK) != LEASE_STEP_NONE)
          ;
}

static bool
valid (const struct world *w, size_t node)
{
  return leasestate_valid (w->nodes[node], w->now);
}

static struct world
world_held_by_a (void)
{
  struct world w = world_create ();

  leasestate_set_candidate (w.nodes[0], true);
  advance_time (&w, 500, 1);
  CU_ASSERT (valid (&w, 0));
  leasestate_set_candidate (w.nodes[1], true);
  return w;
}

/* Guards against a holder that still acts after a pause longer than its lease,
   or that then renews a lease which another node has taken over. */
static void
test_pause (void)
{
  struct world w = world_held_by_a ();
  const uint64_t fence = leasestate_fence (w.nodes[0]);

  advance_time (&w, 1000, 3);
  advance_time (&w, TTL_MS + MARGIN_MS + 3000, 2);
  CU_ASSERT_FALSE (valid (&w, 0));
  CU_ASSERT (valid (&w, 1));
  CU_ASSERT (leasestate_fence (w.nodes[1]) > fence);
  advance_time (&w, 1000, 3);
  CU_ASSERT_FALSE (valid (&w, 0));
  CU_ASSERT (valid (&w, 1));
  CU_ASSERT_EQUAL (leasestate_fence (w.nodes[0]), 0);
  world_destroy (&w);
}

/* Guards against a takeover before one version has stayed unchanged for the
   full ttl and margin, in particular if the wait counts from an older version.
 */
static void
test_successor_wait (void)
{
  struct world w = world_held_by_a ();

  advance_time (&w, 5000, 3);
  const uint64_t version = w.version;
  const uint64_t seen = w.now;
  advance_time (&w, TTL_MS + MARGIN_MS - 2000, 2);
  CU_ASSERT_EQUAL (w.version, version);
  CU_ASSERT_FALSE (valid (&w, 1));
  advance_time (&w, 3500, 2);
  CU_ASSERT (valid (&w, 1));

  /* The wait of a node starts when it becomes a candidate. */
  leasestate_set_candidate (w.nodes[2], true);
  advance_time (&w, TTL_MS, 4);
  CU_ASSERT_FALSE (valid (&w, 2));
  CU_ASSERT (w.now > seen);
  world_destroy (&w);
}

/* Guards against a successor that restarts its wait although the holder has
   reported the version to it, and against a takeover of a lease that was
   renewed after the report. */
static void
test_hint (void)
{
  struct world w = world_held_by_a ();

  leasestate_report_version (w.nodes[2], w.now, w.version);
  advance_time (&w, TTL_MS + MARGIN_MS - 1000, 0);
  leasestate_set_candidate (w.nodes[2], true);
  advance_time (&w, 500, 4);
  CU_ASSERT_FALSE (valid (&w, 2));
  advance_time (&w, 1700, 4);
  CU_ASSERT (valid (&w, 2));
  world_destroy (&w);

  w = world_held_by_a ();
  leasestate_report_version (w.nodes[2], w.now, w.version);
  advance_time (&w, TTL_MS + MARGIN_MS, 1);
  leasestate_set_candidate (w.nodes[2], true);
  advance_time (&w, TTL_MS, 4);
  CU_ASSERT_FALSE (valid (&w, 2));
  world_destroy (&w);
}

/* Guards against a restarted node that waits for the lease of its earlier
   process to expire, reuses that process's fencing token or loses the recorded
   number of nodes. */
static void
test_restart (void)
{
  struct world w = world_held_by_a ();
  const uint64_t fence = leasestate_fence (w.nodes[0]);

  leasestate_set_node_count (w.nodes[0], 79);
  advance_time (&w, TTL_MS / 2, 1);
  leasestate_destroy (w.nodes[0]);
  w.nodes[0] = leasestate_create (str_from (names[0]), 8, TTL_MS, MARGIN_MS);
  leasestate_set_candidate (w.nodes[0], true);
  advance_time (&w, 200, 1);
  CU_ASSERT (valid (&w, 0));
  CU_ASSERT_EQUAL (leasestate_node_count (w.nodes[0]), 79);
  CU_ASSERT (leasestate_fence (w.nodes[0]) > fence);
  world_destroy (&w);
}

#define ERA_FENCE ((uint64_t)1 << 32)

/* The lease object is gone: it was deleted, or the store comes back from a
   copy that is older than the lease. */
static void
restore_store (struct world *w)
{
  w->version = 0;
  w->object = (struct lease_record){ 0 };
}

/* Guards against a successor that is given the fencing token of a term which
   the store has lost, and against one that acts beside the holder of that
   term, which has not heard of the era yet. */
static void
test_era_successor (void)
{
  struct world w = world_held_by_a ();
  const uint64_t fence = leasestate_fence (w.nodes[0]);

  advance_time (&w, 1000, 3);
  restore_store (&w);
  leasestate_begin_era (w.nodes[1], w.now, ERA_FENCE);
  for (int i = 0; i < 20; i++)
    {
      advance_time (&w, 500, 2);
      CU_ASSERT_FALSE (valid (&w, 0) && valid (&w, 1));
    }
  CU_ASSERT (valid (&w, 1));
  CU_ASSERT (leasestate_fence (w.nodes[1]) > ERA_FENCE);
  CU_ASSERT (leasestate_fence (w.nodes[1]) > fence);
  leasestate_begin_era (w.nodes[0], w.now, ERA_FENCE);
  advance_time (&w, 1000, 3);
  CU_ASSERT_FALSE (valid (&w, 0));
  CU_ASSERT_EQUAL (leasestate_fence (w.nodes[0]), 0);
  world_destroy (&w);
}

/* Guards against a holder that goes on with the token of the era before, or
   that waits for its own earlier lease to expire. */
static void
test_era_holder (void)
{
  struct world w = world_held_by_a ();

  leasestate_set_node_count (w.nodes[0], 79);
  advance_time (&w, TTL_MS / 2, 3);
  leasestate_set_node_count (w.nodes[0], 0);
  restore_store (&w);
  leasestate_begin_era (w.nodes[0], w.now, ERA_FENCE);
  leasestate_begin_era (w.nodes[1], w.now, ERA_FENCE);
  CU_ASSERT_FALSE (valid (&w, 0));
  CU_ASSERT_EQUAL (leasestate_fence (w.nodes[0]), 0);
  /* It has sent its digests until now, so that it is no candidate itself. */
  leasestate_set_candidate (w.nodes[0], false);
  leasestate_set_takeover_delay (w.nodes[0], 1000);
  advance_time (&w, 200, 3);
  CU_ASSERT (valid (&w, 0));
  CU_ASSERT (leasestate_fence (w.nodes[0]) > ERA_FENCE);
  CU_ASSERT_EQUAL (leasestate_node_count (w.nodes[0]), 79);
  advance_time (&w, TTL_MS * 2, 3);
  CU_ASSERT (valid (&w, 0));
  CU_ASSERT_FALSE (valid (&w, 1));
  world_destroy (&w);
}

/* Guards against a holder that starts again with the first fencing token, or
   that acts beside the one before, because another writer deleted the object.
 */
static void
test_deleted (void)
{
  struct world w = world_held_by_a ();

  advance_time (&w, TTL_MS + MARGIN_MS + 3000, 2);
  CU_ASSERT (valid (&w, 1));
  const uint64_t fence = leasestate_fence (w.nodes[1]);
  leasestate_set_candidate (w.nodes[2], true);
  advance_time (&w, 1500, 6);
  restore_store (&w);
  for (int i = 0; i < 20; i++)
    {
      advance_time (&w, 500, 4);
      CU_ASSERT_FALSE (valid (&w, 1) && valid (&w, 2));
    }
  CU_ASSERT (valid (&w, 2));
  CU_ASSERT (leasestate_fence (w.nodes[2]) > fence);
  world_destroy (&w);
}

/* Guards against a node that never read the object and takes the lease with
   the token of the holder, which it heard of from that holder only. */
static void
test_reported_fence (void)
{
  struct world w = world_create ();

  leasestate_report_fence (w.nodes[0], 7);
  leasestate_report_fence (w.nodes[0], 5);
  leasestate_set_candidate (w.nodes[0], true);
  advance_time (&w, 500, 1);
  CU_ASSERT (valid (&w, 0));
  CU_ASSERT_EQUAL (leasestate_fence (w.nodes[0]), 8);
  world_destroy (&w);
}

/* Guards against a node that takes the token of the new era's holder, because
   it heard of that holder before it learnt of the era. */
static void
test_reported_before_era (void)
{
  struct world w = world_create ();

  leasestate_begin_era (w.nodes[0], w.now, ERA_FENCE);
  leasestate_report_fence (w.nodes[0], 2 * ERA_FENCE + 1);
  leasestate_begin_era (w.nodes[0], w.now, 2 * ERA_FENCE);
  leasestate_set_candidate (w.nodes[0], true);
  advance_time (&w, 2 * (TTL_MS + MARGIN_MS), 1);
  CU_ASSERT (valid (&w, 0));
  CU_ASSERT_EQUAL (leasestate_fence (w.nodes[0]), 2 * ERA_FENCE + 2);
  world_destroy (&w);
}

/* Guards against a holder that replaces the deleted object again and again and
   never holds the lease any more. */
static void
test_deleted_holder (void)
{
  struct world w = world_held_by_a ();
  const uint64_t fence = leasestate_fence (w.nodes[0]);

  advance_time (&w, 1000, 1);
  restore_store (&w);
  advance_time (&w, 3 * (TTL_MS + MARGIN_MS), 1);
  CU_ASSERT (valid (&w, 0));
  CU_ASSERT (leasestate_fence (w.nodes[0]) > fence);
  world_destroy (&w);
}

/* Guards against an answer to a step of the era before, whose object the node
   no longer uses: it says nothing about this era. */
static void
test_era_late_answer (void)
{
  struct world w = world_held_by_a ();
  const struct lease_record old = w.object;
  struct lease_record r;

  advance_time (&w, 1000, 1);
  while (leasestate_next (w.nodes[0], w.now, &r) != LEASE_STEP_WRITE)
    w.now += 100;
  leasestate_begin_era (w.nodes[0], w.now, ERA_FENCE);
  leasestate_write_done (w.nodes[0], w.now, 0, w.version + 1);
  CU_ASSERT_FALSE (valid (&w, 0));
  CU_ASSERT_EQUAL (leasestate_next (w.nodes[0], w.now, &r), LEASE_STEP_READ);
  leasestate_begin_era (w.nodes[0], w.now, 2 * ERA_FENCE);
  leasestate_read_done (w.nodes[0], w.now, 0, w.version, &old);
  CU_ASSERT_FALSE (valid (&w, 0));
  CU_ASSERT_EQUAL (leasestate_fence (w.nodes[0]), 0);
  CU_ASSERT_EQUAL (leasestate_next (w.nodes[0], w.now, &r), LEASE_STEP_READ);
  world_destroy (&w);
}

/* Guards against what the last known holder stored for its successor being
   lost, because an era ended before its object was read. */
static void
test_era_unread (void)
{
  struct world w = world_held_by_a ();

  leasestate_set_node_count (w.nodes[0], 79);
  advance_time (&w, TTL_MS, 3);
  restore_store (&w);
  leasestate_begin_era (w.nodes[1], w.now, ERA_FENCE);
  leasestate_begin_era (w.nodes[1], w.now, 2 * ERA_FENCE);
  CU_ASSERT_EQUAL (leasestate_node_count (w.nodes[1]), 79);
  world_destroy (&w);
}

/* Guards against two nodes that take turns within the reacquire delay, because
   the object of the new era doesn't list the holders before. */
static void
test_era_reacquire (void)
{
  struct world w = world_held_by_a ();

  for (size_t i = 0; i < NODES; i++)
    leasestate_set_reacquire_delay (w.nodes[i], TTL_MS);
  leasestate_begin_era (w.nodes[0], w.now, ERA_FENCE);
  leasestate_begin_era (w.nodes[1], w.now, ERA_FENCE);
  restore_store (&w);
  advance_time (&w, 500, 3);
  CU_ASSERT (valid (&w, 0));
  CU_ASSERT (leasestate_reacquire_delay_over (w.nodes[0], w.now));
  leasestate_begin_era (w.nodes[1], w.now, 2 * ERA_FENCE);
  restore_store (&w);
  while (!valid (&w, 1))
    advance_time (&w, 100, 2);
  CU_ASSERT_FALSE (leasestate_reacquire_delay_over (w.nodes[1], w.now));
  advance_time (&w, TTL_MS, 2);
  CU_ASSERT (leasestate_reacquire_delay_over (w.nodes[1], w.now));
  world_destroy (&w);
}

/* Guards against a holder that gives up the lease, or overestimates its
   validity, after the answer to a write is lost. */
static void
test_lost_answer (void)
{
  struct world w = world_held_by_a ();
  const uint64_t fence = leasestate_fence (w.nodes[0]);

  advance_time (&w, 1700, 1);
  uint64_t sent = w.now;
  while (run (&w, 0, STEP_ANSWER_LOST) == LEASE_STEP_NONE)
    sent = w.now += 100;
  w.now = sent + 4000;
  CU_ASSERT_EQUAL (run (&w, 0, STEP_OK), LEASE_STEP_READ);
  CU_ASSERT (valid (&w, 0));
  CU_ASSERT_EQUAL (leasestate_fence (w.nodes[0]), fence);
  /* The lifetime counts from the unanswered write, not from the read. */
  w.now = sent + TTL_MS - MARGIN_MS;
  CU_ASSERT_FALSE (valid (&w, 0));

  /* A write that takes effect only after the read that was to check it. The
     next write detects it. */
  CU_ASSERT_EQUAL (run (&w, 0, STEP_LATE), LEASE_STEP_WRITE);
  w.now += 250;
  CU_ASSERT_EQUAL (run (&w, 0, STEP_OK), LEASE_STEP_READ);
  deliver_late_write (&w);
  CU_ASSERT_EQUAL (run (&w, 0, STEP_OK), LEASE_STEP_WRITE);
  CU_ASSERT_FALSE (valid (&w, 0));
  CU_ASSERT_EQUAL (run (&w, 0, STEP_OK), LEASE_STEP_READ);
  CU_ASSERT_EQUAL (run (&w, 0, STEP_OK), LEASE_STEP_WRITE);
  CU_ASSERT (valid (&w, 0));
  CU_ASSERT_EQUAL (leasestate_fence (w.nodes[0]), fence);
  world_destroy (&w);
}

/* Guards against a takeover that is delayed after a graceful release, and
   against a release that counts as done although its answer was lost. */
static void
test_release (void)
{
  struct world w = world_held_by_a ();
  const uint64_t fence = leasestate_fence (w.nodes[0]);

  advance_time (&w, 1000, 3);
  leasestate_release (w.nodes[0]);
  CU_ASSERT_FALSE (valid (&w, 0));
  CU_ASSERT_FALSE (leasestate_released (w.nodes[0]));
  CU_ASSERT_EQUAL (run (&w, 0, STEP_ANSWER_LOST), LEASE_STEP_WRITE);
  CU_ASSERT_FALSE (leasestate_released (w.nodes[0]));
  advance_time (&w, 500, 1);
  CU_ASSERT (leasestate_released (w.nodes[0]));
  advance_time (&w, 1100, 2);
  CU_ASSERT (valid (&w, 1));
  CU_ASSERT_EQUAL (leasestate_fence (w.nodes[1]), fence + 1);
  world_destroy (&w);
}

/* Guards against a holder that keeps acting during a store outage longer than
   its lease, and against two holders after the outage. */
static void
test_outage (void)
{
  struct world w = world_held_by_a ();

  advance_time (&w, 1000, 3);
  for (int i = 0; i < 300; i++, w.now += 100)
    for (size_t node = 0; node < 2; node++)
      run (&w, node, STEP_FAILED);
  CU_ASSERT_FALSE (valid (&w, 0));
  CU_ASSERT_FALSE (valid (&w, 1));
  advance_time (&w, 2000, 3);
  CU_ASSERT (valid (&w, 0) != valid (&w, 1));
  world_destroy (&w);
}

/* Guards against two holders after two candidates write at the same time. */
static void
test_race (void)
{
  struct world w = world_create ();
  struct lease_record r[2];

  for (size_t i = 0; i < 2; i++)
    {
      leasestate_set_candidate (w.nodes[i], true);
      CU_ASSERT_EQUAL (run (&w, i, STEP_OK), LEASE_STEP_READ);
      CU_ASSERT_EQUAL (leasestate_next (w.nodes[i], w.now, &r[i]),
                       LEASE_STEP_WRITE);
    }
  do_write (&w, w.nodes[1], &r[1], STEP_OK);
  do_write (&w, w.nodes[0], &r[0], STEP_OK);
  advance_time (&w, 3000, 3);
  CU_ASSERT (valid (&w, 1));
  CU_ASSERT_FALSE (valid (&w, 0));
  CU_ASSERT (str_eq (leasestate_holder (w.nodes[0]), str_from (names[1])));
  world_destroy (&w);
}

/* Guards against two nodes that hold the lease at once or use the same fencing
   token, under random pauses, outages, lost answers and late writes. */
static void
test_random (void)
{
  size_t holder_of_fence[4096];
  unsigned terms = 0;

  for (unsigned seed = 1; seed <= 20; seed++)
    {
      struct world w = world_create ();
      uint64_t paused_until[NODES] = { 0 };

      memset (holder_of_fence, 0xff, sizeof holder_of_fence);
      srand (seed);
      for (unsigned i = 0; i < 20000; i++, w.now += 50)
        {
          const size_t n = (size_t)rand () % NODES;
          const int chance = rand () % 1000;
          size_t holders = 0;

          if (chance < 2)
            paused_until[n] = w.now + (uint64_t)(rand () % 15000);
          else if (chance < 4)
            leasestate_release (w.nodes[n]);
          else if (chance < 10)
            leasestate_set_candidate (w.nodes[n], rand () % 3 != 0);
          else if (chance < 20 && w.late.fence > 0)
            deliver_late_write (&w);
          if (w.now >= paused_until[n])
            run (&w, n,
                 chance < 900 ? STEP_OK : (enum step_outcome) (rand () % 4));
          for (size_t j = 0; j < NODES; j++)
            {
              const uint64_t f = leasestate_fence (w.nodes[j]);

              if (!valid (&w, j))
                continue;
              holders++;
              if (holder_of_fence[f] == SIZE_MAX)
                {
                  holder_of_fence[f] = j;
                  terms++;
                }
              CU_ASSERT_EQUAL_FATAL (holder_of_fence[f], j);
            }
          CU_ASSERT_FATAL (holders <= 1);
        }
      world_destroy (&w);
    }
  CU_ASSERT (terms > 100);
}

/* Nodes with less link bandwidth set a longer delay. Guards against a holder
   with too little bandwidth for its digests while a node with more is
   available, and against no holder if none is. */
static void
test_delay (void)
{
  static const struct
  {
    uint32_t delay_ms[2]; /* of nodes b and c */
    unsigned alive;       /* mask of the nodes that run after a has stopped */
    size_t holder;
  } cases[] = { { { 400, 50 }, 6, 2 },
                { { 50, 400 }, 6, 1 },
                { { 400, 50 }, 2, 1 } };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct world w = world_held_by_a ();

      for (size_t j = 0; j < 2; j++)
        {
          leasestate_set_takeover_delay (w.nodes[j + 1], cases[i].delay_ms[j]);
          leasestate_set_candidate (w.nodes[j + 1], true);
        }
      advance_time (&w, TTL_MS, 7);
      advance_time (&w, TTL_MS + MARGIN_MS + 3000, cases[i].alive);
      CU_ASSERT (valid (&w, cases[i].holder));
      world_destroy (&w);
    }
}

#define REACQUIRE_DELAY_MS 3000

/* Makes the current holder release the lease and the node take it. */
static void
transfer_lease (struct world *w, size_t node, bool new_process)
{
  static uint64_t instance = 100;

  for (size_t i = 0; i < NODES; i++)
    if (leasestate_fence (w->nodes[i]) > 0)
      leasestate_release (w->nodes[i]);
  advance_time (w, 300, (1u << NODES) - 1);
  if (new_process)
    {
      leasestate_destroy (w->nodes[node]);
      w->nodes[node] = leasestate_create (str_from (names[node]), ++instance,
                                          TTL_MS, MARGIN_MS);
      leasestate_set_reacquire_delay (w->nodes[node], REACQUIRE_DELAY_MS);
    }
  leasestate_set_candidate (w->nodes[node], true);
  advance_time (w, 300, 1u << node);
  CU_ASSERT (valid (w, node));
  leasestate_set_candidate (w->nodes[node], false);
}

/* Guards against two nodes that send orders alternately within a time in which
   servers without fencing cannot tell their orders apart. This happens if a
   node loses the lease and soon takes it back, possibly as a new process. */
static void
test_reacquire (void)
{
  /* Nodes in the order in which they take the lease. A capital letter stands
     for a new process of the node, a dot for a pause of REACQUIRE_DELAY_MS. */
  static const struct
  {
    const char *sequence;
    bool may_act; /* whether the last holder may act at once */
  } cases[] = { { "a", true },     { "aa", true },    { "aA", true },
                { "ab", true },    { "aba", false },  { "abA", false },
                { "abca", false }, { "abaA", false }, { "aba.", true },
                { "ab.a", true },  { "aba.A", true }, { "ab.ab", false },
                { "abc", true },   { "aAb", true },   { "abc.ab", true } };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct world w = world_create ();
      size_t node = 0;

      for (size_t j = 0; j < NODES; j++)
        leasestate_set_reacquire_delay (w.nodes[j], REACQUIRE_DELAY_MS);
      for (const char *c = cases[i].sequence; *c; c++)
        {
          if (*c == '.')
            {
              advance_time (&w, REACQUIRE_DELAY_MS, (1u << NODES) - 1);
              continue;
            }
          node = (size_t)((*c | 0x20) - 'a');
          transfer_lease (&w, node, *c < 'a');
        }
      CU_ASSERT_EQUAL (leasestate_reacquire_delay_over (w.nodes[node], w.now),
                       cases[i].may_act);
      advance_time (&w, REACQUIRE_DELAY_MS, 1u << node);
      CU_ASSERT (leasestate_reacquire_delay_over (w.nodes[node], w.now));
      world_destroy (&w);
    }
}

/* Guards against a damaged or foreign value that is treated as a free lease.
 */
static void
test_decode (void)
{
  static const char *const bad[]
      = { "", "{}", "[]",
          "{\"holder\":\"a\",\"instance\":1,\"fence\":-1,\"renewals\":1,"
          "\"ttl_ms\":6000}" };
  struct lease_record r;

  for (size_t i = 0; i < sizeof bad / sizeof *bad; i++)
    CU_ASSERT_EQUAL (lease_record_decode (str_from (bad[i]), &r), -EBADMSG);
  const struct lease_record in = { .holder = STR ("10.0.0.1:71"),
                                   .instance = 5,
                                   .fence = 6,
                                   .renewals = 7,
                                   .ttl_ms = 8,
                                   .nodes = 10,
                                   .earlier = { 9, UINT64_MAX >> 1 },
                                   .earlier_count = 2 };
  struct str json = lease_record_encode (&in);
  CU_ASSERT_EQUAL (lease_record_decode (json, &r), 0);
  CU_ASSERT (str_eq (r.holder, in.holder) && r.instance == 5 && r.fence == 6
             && r.renewals == 7 && r.ttl_ms == 8);
  CU_ASSERT (r.earlier_count == 2 && r.earlier[0] == in.earlier[0]
             && r.earlier[1] == in.earlier[1] && r.nodes == 10);
  str_free (&json);
  str_free (&r.holder);
}

static const struct suite_case cases[] = {
  { "holder paused beyond the expiry", test_pause },
  { "successor waits ttl and margin", test_successor_wait },
  { "version reported by the holder", test_hint },
  { "restart at the holder's address", test_restart },
  { "lost answer to a renewal", test_lost_answer },
  { "successor in a new era of the store", test_era_successor },
  { "holder in a new era of the store", test_era_holder },
  { "late answers of an earlier era", test_era_late_answer },
  { "era that ends unread", test_era_unread },
  { "turns in a new era", test_era_reacquire },
  { "object deleted by another writer", test_deleted },
  { "holder's object deleted", test_deleted_holder },
  { "token reported by the holder", test_reported_fence },
  { "token reported before the era is known", test_reported_before_era },
  { "graceful release", test_release },
  { "store outage", test_outage },
  { "two candidates race", test_race },
  { "wait after taking the lease back", test_reacquire },
  { "shortest takeover delay first", test_delay },
  { "random faults", test_random },
  { "decoding", test_decode },
};
TEST_SUITE ("lease", cases)
