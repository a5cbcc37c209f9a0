#include <stdio.h>
#include <string.h>

#include "edge/waitorder.h"
#include "suite.h"

#define CALLS_MAX 32

/* Guards against a call that is raised too early, never, or above the most
   urgent ones. */
static void
test_level (void)
{
  static const struct
  {
    uint32_t priority;
    uint64_t waited_ms;
    uint32_t level;
  } cases[] = {
    { 5, 0, 5 },    { 5, 500, 5 }, { 5, 501, 4 }, { 5, 750, 4 }, { 5, 751, 3 },
    { 5, 2000, 3 }, { 1, 600, 0 }, { 1, 800, 0 }, { 0, 800, 0 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      const struct waitorder_call call = { .priority = cases[i].priority,
                                           .arrival_ms = 10000,
                                           .deadline_ms = 11000 };

      CU_ASSERT_EQUAL (waitorder_level (&call, 10000 + cases[i].waited_ms),
                       cases[i].level);
      CU_ASSERT_EQUAL (waitorder_level (&call, 0), cases[i].priority);
    }
}

/* Guards against a wrong place of each kind of difference between calls. */
static void
test_order (void)
{
  static const struct waitorder_call calls[] = {
    { false, 2, 0, 1000, 0, 0, "patient" },
    { false, 1, 0, 2000, 0, 0, "urgent, much time" },
    { false, 1, 0, 1000, 0, 9, "urgent, more work" },
    { false, 1, 0, 1000, 0, 5, "urgent" },
    { false, 1, 0, 1000, 0, 5, "urgent, later" },
    { true, 9, 0, 9000, 0, 0, "begun" },
    { true, 0, 0, 9999, 0, 0, "begun, much time" },
    { false, 0, 0, 9999, 0, 0, "most urgent" },
  };
  static const char *const expected[] = {
    "begun",         "begun, much time",  "most urgent",       "urgent",
    "urgent, later", "urgent, more work", "urgent, much time", "patient",
  };
  struct waitorder *o = waitorder_create ();

  for (size_t i = 0; i < sizeof calls / sizeof *calls; i++)
    waitorder_add (o, &calls[i], 0);
  for (size_t i = 0; i < sizeof expected / sizeof *expected; i++)
    CU_ASSERT_STRING_EQUAL ((const char *)waitorder_pop (o), expected[i]);
  CU_ASSERT_PTR_NULL (waitorder_pop (o));
  waitorder_destroy (o);
}

/* Guards against serving calls that are late already while others, which could
   still meet their latency objective, become late as well. */
static void
test_late_last (void)
{
  static const struct waitorder_call calls[] = {
    { false, 1, 0, 1200, 400, 0, "late, little time" },
    { false, 1, 0, 2000, 400, 0, "late" },
    { false, 1, 300, 2300, 700, 0, "in time" },
    { false, 1, 400, 2400, 800, 0, "in time, later" },
    { false, 0, 0, 2000, 400, 0, "late, more urgent" },
    { true, 1, 0, 2000, 400, 0, "begun" },
  };
  static const char *const expected[]
      = { "begun",          "late, more urgent", "in time",
          "in time, later", "late, little time", "late" };
  struct waitorder *o = waitorder_create ();

  for (size_t i = 0; i < sizeof calls / sizeof *calls; i++)
    waitorder_add (o, &calls[i], 500);
  for (size_t i = 0; i < sizeof expected / sizeof *expected; i++)
    CU_ASSERT_STRING_EQUAL ((const char *)waitorder_pop (o), expected[i]);
  waitorder_destroy (o);
}

/* Guards against a heap that loses calls or their order beyond its first size.
 */
static void
test_many (void)
{
  static uint64_t deadlines[1000];
  struct waitorder *o = waitorder_create ();
  const uint64_t *popped;
  uint64_t last = 0;
  size_t count = 0;

  for (size_t i = 0; i < 1000; i++)
    {
      deadlines[i] = 1 + i * 7919 % 1009;
      waitorder_add (o,
                     &(struct waitorder_call){ .deadline_ms = deadlines[i],
                                               .ref = &deadlines[i] },
                     0);
    }
  for (; (popped = waitorder_pop (o)); count++, last = *popped)
    CU_ASSERT (*popped >= last);
  CU_ASSERT_EQUAL (count, 1000);
  waitorder_destroy (o);
}

/* ---- the same load in three orders ---- */

enum order
{
  BY_ARRIVAL, /* strict priority, then arrival */
  BY_DEADLINE,
  BY_WAITORDER,
  ORDERS
};

/**
 * struct load_call - a call of a load.
 * @id: letter that stands for it in the expected results.
 * @wait_ms: after its arrival it waits for so long at most.
 * @run_ms: time that it takes a server; its work as well.
 */
struct load_call
{
  char id;
  uint32_t priority;
  uint64_t arrival_ms;
  uint64_t wait_ms;
  uint64_t run_ms;
};

/**
 * struct load - a load for one server that runs a call at a time.
 * @starts: for each order, the calls that were served, in order of their
 *   starts. All others are refused.
 */
struct load
{
  const char *name;
  struct load_call calls[CALLS_MAX];
  const char *starts[ORDERS];
};

static const struct load loads[] = {
  { "enough capacity: no order refuses a call",
    { { 'a', 1, 0, 1000, 100 },
      { 'b', 0, 150, 1000, 100 },
      { 'c', 2, 300, 1000, 100 } },
    { "abc", "abc", "abc" } },
  { "a call with little time arrives after patient ones of its priority",
    { { 'a', 1, 0, 1000, 100 },
      { 'b', 1, 1, 1000, 100 },
      { 'c', 1, 2, 1000, 100 },
      { 'd', 1, 3, 150, 100 } },
    { "abc", "adbc", "adbc" } },
  { "urgent calls with much time beside others with little",
    { { 'a', 0, 0, 1000, 100 },
      { 'b', 0, 1, 250, 100 },
      { 'c', 5, 2, 220, 100 },
      { 'd', 0, 3, 240, 100 },
      { 'e', 5, 4, 210, 100 } },
    { "abd", "aec", "adb" } },
  { "urgent calls fill the server, and a patient one waits",
    { { 'p', 2, 10, 400, 100 },
      { 'a', 1, 0, 350, 100 },
      { 'b', 1, 50, 350, 100 },
      { 'c', 1, 150, 350, 100 },
      { 'd', 1, 250, 350, 100 },
      { 'e', 1, 350, 350, 100 },
      { 'f', 1, 450, 350, 100 } },
    { "abcdef", "abpcdef", "abcpdef" } },
  { "one large call before small ones with the same time left",
    { { 'a', 1, 0, 1000, 100 },
      { 'l', 1, 10, 350, 400 },
      { 'b', 1, 10, 350, 50 },
      { 'c', 1, 10, 350, 50 },
      { 'd', 1, 10, 350, 50 } },
    { "al", "al", "abcdl" } },
};

static bool
is_better (enum order order, const struct load_call *a,
           const struct load_call *b)
{
  if (order == BY_ARRIVAL && a->priority != b->priority)
    return a->priority < b->priority;
  if (order == BY_DEADLINE)
    return a->arrival_ms + a->wait_ms < b->arrival_ms + b->wait_ms;
  return a->arrival_ms < b->arrival_ms;
}

struct replay
{
  const struct load *load;
  bool gone[CALLS_MAX]; /* started or refused */
  char starts[CALLS_MAX + 1];
};

static size_t
count_calls (const struct load *l)
{
  size_t n = 0;

  while (l->calls[n].id)
    n++;
  return n;
}

static bool
is_waiting (const struct replay *r, size_t i, uint64_t now_ms)
{
  const struct load_call *c = &r->load->calls[i];

  return !r->gone[i] && c->arrival_ms <= now_ms
         && now_ms < c->arrival_ms + c->wait_ms;
}

static const struct load_call *
first_by_waitorder (const struct replay *r, uint64_t now_ms)
{
  struct waitorder *o = waitorder_create ();
  const struct load_call *first;

  for (size_t i = 0; i < count_calls (r->load); i++)
    {
      const struct load_call *c = &r->load->calls[i];

      if (is_waiting (r, i, now_ms))
        waitorder_add (o,
                       &(struct waitorder_call){
                           .priority = c->priority,
                           .arrival_ms = c->arrival_ms,
                           .deadline_ms = c->arrival_ms + c->wait_ms,
                           .work = c->run_ms,
                           .ref = (void *)c,
                       },
                       now_ms);
    }
  first = waitorder_pop (o);
  waitorder_destroy (o);
  return first;
}

static const struct load_call *
first_waiting (const struct replay *r, enum order order, uint64_t now_ms)
{
  const struct load_call *first = NULL;

  if (order == BY_WAITORDER)
    return first_by_waitorder (r, now_ms);
  for (size_t i = 0; i < count_calls (r->load); i++)
    if (is_waiting (r, i, now_ms)
        && (!first || is_better (order, &r->load->calls[i], first)))
      first = &r->load->calls[i];
  return first;
}

/* Guards against an order that refuses calls which another order serves at no
   cost to more urgent ones. */
static void
test_loads (void)
{
  for (size_t i = 0; i < sizeof loads / sizeof *loads; i++)
    for (enum order order = BY_ARRIVAL; order < ORDERS; order++)
      {
        struct replay r = { .load = &loads[i] };
        uint64_t free_ms = 0;

        for (uint64_t now_ms = 0; now_ms < 5000; now_ms++)
          {
            const struct load_call *c
                = now_ms >= free_ms ? first_waiting (&r, order, now_ms) : NULL;

            if (!c)
              continue;
            r.gone[c - loads[i].calls] = true;
            r.starts[strlen (r.starts)] = c->id;
            free_ms = now_ms + c->run_ms;
          }
        CU_ASSERT_STRING_EQUAL (r.starts, loads[i].starts[order]);
        if (strcmp (r.starts, loads[i].starts[order]) != 0)
          fprintf (stderr, "%s: order %d: %s\n", loads[i].name, (int)order,
                   r.starts);
      }
}

static const struct suite_case cases[] = {
  { "late last", test_late_last }, { "level", test_level },
  { "order", test_order },         { "many calls", test_many },
  { "loads", test_loads },
};
TEST_SUITE ("waitorder", cases)
