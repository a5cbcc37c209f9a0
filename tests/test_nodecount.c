#include <stdio.h>

#include "edge/fleet.h"
#include "edge/nodecount.h"
#include "edge/retries.h"

#include "suite.h"

#define START_MS 100000
#define TELL_MS 250

/* Digests that tell one count, each TELL_MS, for a while. */
struct told
{
  uint32_t nodes;
  uint64_t from_ms;
  uint64_t for_ms;
};

#define TOLD_MAX 3

/* Guards against a count that is too small: after a cut, and while no holder
   is heard, or one that knows none yet. */
static void
test_most (void)
{
  static const struct
  {
    struct told told[TOLD_MAX];
    uint32_t most;
  } cases[] = {
    { { { 0 } }, 0 },
    { { { 0, 0, 1000 } }, 0 },
    { { { 79, 0, 5000 } }, 79 },
    { { { 79, 0, 5000 }, { 0, 6000, 15000 } }, 79 },
    { { { 79, 0, 5000 }, { 40, 6000, 5000 } }, 79 },
    { { { 79, 0, 5000 }, { 40, 6000, 20000 } }, 40 },
    { { { 4, 0, 5000 }, { 79, 6000, 1000 } }, 79 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct nodecount c = { 0 };

      for (size_t j = 0; j < TOLD_MAX; j++)
        {
          const struct told *t = &cases[i].told[j];

          for (uint64_t ms = 0; ms < t->for_ms; ms += TELL_MS)
            nodecount_told (&c, t->nodes, START_MS + t->from_ms + ms);
        }
      CU_ASSERT_EQUAL (nodecount_most (&c), cases[i].most);
    }
}

#define NODES 79

/* A node tells the holder of itself. */
static void
tell_holder (struct fleet *f, size_t node, uint64_t now)
{
  char name[16];

  snprintf (name, sizeof name, "node-%zu", node);
  fleet_node_begin (f, str_from (name), now);
}

/* Guards against more repeated calls than all nodes may make together after
   all processes were killed: a new holder hears of the nodes one by one. */
static void
test_mass_restart (void)
{
  const struct retries_limits limits
      = { .ratio = 0.2, .slack = 430, .window_ms = 10000 };
  struct fleet *fleet = fleet_create ();
  struct nodecount counts[NODES] = { 0 };
  struct retries retries[NODES] = { 0 };
  uint32_t first = 0;
  uint32_t repeated = 0;

  fleet_term (fleet, NODES, START_MS);
  for (uint64_t ms = 0; ms < 10000; ms += 50)
    for (size_t i = 0; i < NODES; i++)
      {
        const uint64_t now = START_MS + ms;

        if (ms >= 20 * i && ms % TELL_MS == 0)
          {
            tell_holder (fleet, i, now);
            nodecount_told (&counts[i], fleet_nodes (fleet, now), now);
          }
        /* Unequal traffic: the first nodes have most calls. */
        if (ms % (50 * (1 + i)) == 0)
          {
            retries_first (&retries[i], &limits, now);
            first++;
          }
        const uint32_t told = nodecount_most (&counts[i]);
        /* A node that heard no holder goes by the lease. */
        const uint32_t nodes = told > 0 ? told : NODES;
        while (retries_take (&retries[i], &limits, RETRY_BEGUN, nodes, now))
          repeated++;
      }
  CU_ASSERT_TRUE (repeated <= limits.ratio * first + limits.slack);
  CU_ASSERT_TRUE (repeated >= limits.slack / 2);
  fleet_destroy (fleet);
}

static const struct suite_case cases[]
    = { { "most nodes", test_most }, { "mass restart", test_mass_restart } };
TEST_SUITE ("nodecount", cases)
