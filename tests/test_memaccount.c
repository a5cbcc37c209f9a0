#include <stdint.h>
#include <stdlib.h>

#include "memaccount.h"
#include "suite.h"

#define BUDGET 1000
#define HOLDERS 50
#define STEPS 20000

static struct memaccount *account;

static void
evict (struct memholder *h)
{
  memaccount_release (account, h);
}

/* Guards against a small, whole or quickly read request that is given up
   instead of one that holds more. */
static void
test_order (void)
{
  static const struct
  {
    enum memclass classes[2];
    size_t bytes[2];
    int first; /* index; -1 for none */
  } cases[] = {
    { { MEM_UNFINISHED, MEM_UNFINISHED }, { 10, 11 }, 1 },
    { { MEM_UNFINISHED, MEM_WHOLE }, { 10, 900 }, 0 },
    { { MEM_READING, MEM_STALLED }, { 30, 10 }, 1 },
    { { MEM_READING, MEM_STALLED }, { 50, 10 }, 0 },
    { { MEM_STALLED, MEM_UNFINISHED }, { 20, 10 }, 0 },
    { { MEM_WHOLE, MEM_WHOLE }, { 20, 10 }, -1 },
    { { MEM_UNFINISHED, MEM_STALLED }, { 0, 0 }, -1 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct memholder h[2] = { 0 };

      account = memaccount_create (BUDGET);
      for (int n = 0; n < 2; n++)
        memaccount_charge (account, &h[n], cases[i].classes[n],
                           cases[i].bytes[n]);
      CU_ASSERT_PTR_EQUAL (memaccount_first (account),
                           cases[i].first < 0 ? NULL : &h[cases[i].first]);
      memaccount_destroy (account);
    }
}

static size_t
weight (const struct memholder *h)
{
  if (h->class == MEM_WHOLE)
    return 0;
  return h->class == MEM_READING ? h->bytes / 4 : h->bytes;
}

/* Compares the account with sums over all holders. */
static bool
is_right (const struct memholder *holders)
{
  const struct memholder *first = memaccount_first (account);
  size_t totals[MEM_CLASS_COUNT] = { 0 };
  size_t total = 0;
  size_t most = 0;
  bool right = true;

  for (int i = 0; i < HOLDERS; i++)
    {
      total += holders[i].bytes;
      totals[holders[i].class] += holders[i].bytes;
      if (weight (&holders[i]) > most)
        most = weight (&holders[i]);
    }
  for (int i = 0; i < MEM_CLASS_COUNT; i++)
    right = right && totals[i] == memaccount_class_total (account, i);
  return right && total == memaccount_total (account)
         && (first ? weight (first) == most : most == 0);
}

/* Guards against an account that drifts while clients arrive, stall, read and
   leave in any order, and against one that stays over its budget. */
static void
test_random_orders (void)
{
  for (unsigned seed = 1; seed <= 5; seed++)
    {
      struct memholder holders[HOLDERS] = { 0 };
      unsigned state = seed;
      size_t wrong = 0;

      account = memaccount_create (BUDGET);
      for (int i = 0; i < STEPS; i++)
        {
          struct memholder *h = &holders[rand_r (&state) % HOLDERS];

          h->evict = evict;
          if (rand_r (&state) % 4 == 0)
            memaccount_release (account, h);
          else
            memaccount_charge (account, h,
                               (enum memclass) (rand_r (&state) % 4),
                               (size_t)rand_r (&state) % 200);
          wrong += !is_right (holders);
          if (i % 3 != 0)
            continue;
          memaccount_enforce (account);
          wrong += !is_right (holders);
          wrong += memaccount_total (account) > BUDGET
                   && memaccount_first (account) != NULL;
        }
      CU_ASSERT_EQUAL (wrong, 0);
      memaccount_destroy (account);
    }
}

static const struct suite_case cases[] = {
  { "order", test_order },
  { "random orders", test_random_orders },
};
TEST_SUITE ("memaccount", cases)
