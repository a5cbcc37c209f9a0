#include <stdio.h>

#include "edge/fleet.h"
#include "edge/nodecount.h"
#include "edge/retries.h"

#include "suite.h"

#define START_MS 100000
#define DIGEST_MS 250

/* A series of digests with the same node count, sent every DIGEST_MS. */
struct digest_series
{
  uint32_t nodes;
  uint64_t from_ms;
  uint64_t duration_ms;
};

#define SERIES_MAX 3

/* Guards against a node count that is too small: while the holder is cut off
   from some nodes, while no holder sends digests, or when a new holder does
   not know the number yet. */
static void
test_max_count (void)
{
  static const struct
  {
    struct digest_series series[SERIES_MAX];
    uint32_t expected;
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

      for (size_t j = 0; j < SERIES_MAX; j++)
        {
          const struct digest_series *s = &cases[i].series[j];

          for (uint64_t ms = 0; ms < s->duration_ms; ms += DIGEST_MS)
            nodecount_record (&c, s->nodes, START_MS + s->from_ms + ms);
        }
      CU_ASSERT_EQUAL (nodecount_max (&c), cases[i].expected);
    }
}

#define NODES 79

/* Sends a digest without demand from a node to the holder. */
static void
report_node (struct fleet *f, size_t node, uint64_t now)
{
  char name[16];

  snprintf (name, sizeof name, "node-%zu", node);
  fleet_begin_digest (f, str_from (name), now);
}

/* Guards against more retries than the common limit of all nodes after all
   processes were killed: a new holder receives the first digests of the nodes
   one after the other, so its count starts low. */
static void
test_mass_restart (void)
{
  const struct retries_limits limits
      = { .ratio = 0.2, .slack = 430, .window_ms = 10000 };
  struct fleet *fleet = fleet_create ();
  struct nodecount counts[NODES] = { 0 };
  struct retries retries[NODES] = { 0 };
  uint32_t first_attempts = 0;
  uint32_t retried = 0;

  fleet_begin_term (fleet, NODES, START_MS);
  for (uint64_t ms = 0; ms < 10000; ms += 50)
    for (size_t i = 0; i < NODES; i++)
      {
        const uint64_t now = START_MS + ms;

        if (ms >= 20 * i && ms % DIGEST_MS == 0)
          {
            report_node (fleet, i, now);
            nodecount_record (&counts[i], fleet_nodes (fleet, now), now);
          }
        /* Unequal traffic: the first nodes have the most calls. */
        if (ms % (50 * (1 + i)) == 0)
          {
            retries_count_first_send (&retries[i], &limits, now);
            first_attempts++;
          }
        const uint32_t counted = nodecount_max (&counts[i]);
        /* A node that received no count uses the one from the lease. */
        const uint32_t nodes = counted > 0 ? counted : NODES;
        while (retries_take (&retries[i], &limits, RETRY_AFTER_FAILURE, nodes,
                             now))
          retried++;
      }
  CU_ASSERT_TRUE (retried <= limits.ratio * first_attempts + limits.slack);
  CU_ASSERT_TRUE (retried >= limits.slack / 2);
  fleet_destroy (fleet);
}

static const struct suite_case cases[]
    = { { "maximum node count", test_max_count },
        { "mass restart", test_mass_restart } };
TEST_SUITE ("nodecount", cases)
