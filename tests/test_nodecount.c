#include "edge/nodecount.h"
#include "edge/retries.h"

#include "suite.h"

#define START_MS 100000
#define TELL_MS 250

/* One holder's digests from @from_ms on, each TELL_MS, for a while. */
struct term
{
  uint64_t fence;
  uint32_t nodes;
  uint64_t from_ms;
  uint64_t for_ms;
};

#define TERMS_MAX 3

/* Guards against a count that is too small: before a new holder heard of all
   nodes, after a cut, and while no holder is heard. */
static void
test_most (void)
{
  static const struct
  {
    struct term terms[TERMS_MAX];
    uint32_t most;
  } cases[] = {
    { { { 0 } }, 0 },
    { { { 1, 3, 0, 1000 } }, 0 },
    { { { 1, 79, 0, 5000 } }, 79 },
    { { { 1, 79, 0, 5000 }, { 2, 1, 6000, 1500 } }, 79 },
    { { { 1, 79, 0, 5000 }, { 2, 40, 6000, 5000 } }, 79 },
    { { { 1, 79, 0, 5000 }, { 2, 40, 6000, 20000 } }, 40 },
    { { { 1, 4, 0, 5000 }, { 2, 79, 6000, 3000 } }, 79 },
    { { { 1, 79, 0, 5000 }, { 2, 2, 60000, 1000 } }, 79 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct nodecount c = { 0 };

      for (size_t j = 0; j < TERMS_MAX; j++)
        {
          const struct term *t = &cases[i].terms[j];

          for (uint64_t ms = 0; ms < t->for_ms; ms += TELL_MS)
            nodecount_told (&c, t->fence, t->nodes,
                            START_MS + t->from_ms + ms);
        }
      CU_ASSERT_EQUAL (nodecount_most (&c), cases[i].most);
    }
}

#define NODES 79
#define UNKNOWN_NODES 512

/* Guards against more repeated calls than all nodes may make together after
   all processes were killed: a new holder that hears of the nodes one by one
   tells small counts at first. */
static void
test_mass_restart (void)
{
  const struct retries_limits limits
      = { .ratio = 0.2, .slack = 430, .window_ms = 10000 };
  struct nodecount counts[NODES] = { 0 };
  struct retries retries[NODES] = { 0 };
  uint32_t first = 0;
  uint32_t repeated = 0;

  for (uint64_t ms = 0; ms < 10000; ms += 50)
    for (size_t i = 0; i < NODES; i++)
      {
        const uint64_t now = START_MS + ms;
        const uint32_t heard = ms < 3000 ? 1 + (uint32_t)(ms - 2000) / 20 : 79;

        if (ms >= 2000 && ms % TELL_MS == 0)
          nodecount_told (&counts[i], 1, heard < NODES ? heard : NODES, now);
        /* Unequal traffic: the first nodes have most calls. */
        if (ms % (50 * (1 + i)) == 0)
          {
            retries_first (&retries[i], &limits, now);
            first++;
          }
        const uint32_t nodes = nodecount_most (&counts[i]);
        while (retries_take (&retries[i], &limits,
                             nodes > 0 ? nodes : UNKNOWN_NODES, now))
          repeated++;
      }
  CU_ASSERT_TRUE (repeated <= limits.ratio * first + limits.slack);
}

static const struct suite_case cases[]
    = { { "most nodes", test_most }, { "mass restart", test_mass_restart } };
TEST_SUITE ("nodecount", cases)
