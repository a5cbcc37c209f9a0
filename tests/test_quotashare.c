#include "edge/quotashare.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "suite.h"

#define WAITERS 8
#define OPS_MAX 16

/** enum op - what a step of a case does; a and b are its arguments. */
enum op
{
  END,
  TAKE,    /* a call that costs a with priority b; waiters count from 1 */
  COLLECT, /* draws */
  CREDIT,  /* a units, retry_after_ms b, for the newest draw */
  STALE,   /* a units for the draw before it */
  TICK,
  CANCEL, /* waiter a */
  REFUND, /* a units */
  OWNER,  /* a: known, b: nodes */
  RESUME,
};

struct op_case
{
  uint64_t at_ms;
  enum op op;
  uint32_t a;
  uint32_t b;
  const char *expected;
};

struct run
{
  struct quotashare *share;
  struct quota_waiter waiters[WAITERS];
  uint32_t calls;
  uint64_t number;
  char out[128];
};

/* 1,000 units/s and 2,000 saved up. */
static const struct quota_spec spec = { .rate_per_s = 1000, .burst = 2000 };

__attribute__ ((format (printf, 2, 3))) static void
print (struct run *r, const char *format, ...)
{
  const size_t len = strlen (r->out);
  va_list args;

  va_start (args, format);
  vsnprintf (r->out + len, sizeof r->out - len, format, args);
  va_end (args);
}

static void
decided (void *ctx, struct quota_waiter *w, bool granted,
         uint32_t retry_after_ms, enum quota_source source)
{
  struct run *r = ctx;
  const char *from = source == QUOTA_SOURCE_FALLBACK ? "f" : "";

  if (granted)
    print (r, " +%d%s", (int)(w - r->waiters) + 1, from);
  else if (source == QUOTA_SOURCE_FALLBACK)
    print (r, " -%df", (int)(w - r->waiters) + 1); /* a random time */
  else
    print (r, " -%d:%u", (int)(w - r->waiters) + 1, retry_after_ms);
}

static void
fallback_changed (void *ctx, uint64_t tenant_hash, bool active)
{
  (void)tenant_hash;
  print (ctx, active ? " fallback" : " owner");
}

static void
take (struct run *r, const struct op_case *o)
{
  static const char *const results[] = { "granted", "refused", "waits" };
  uint32_t retry_after_ms = 0;

  print (r, " %s",
         results[quotashare_take (r->share, 1, &spec, o->a, o->b, o->at_ms,
                                  &r->waiters[r->calls++], &retry_after_ms,
                                  NULL)]);
}

static void
collect (struct run *r, uint64_t at_ms)
{
  struct quota_draw d;

  while (quotashare_collect (r->share, at_ms, &d, 1) > 0)
    {
      print (r, " %s%u/%u/%u", d.number == r->number ? "repeat " : "",
             d.wanted_now, d.step, d.wanted_ahead);
      r->number = d.number;
    }
}

static void
run_op (struct run *r, const struct op_case *o)
{
  const struct quota_credit credit
      = { 1, r->number - (o->op == STALE), o->a, o->b };

  if (o->op == TAKE)
    take (r, o);
  else if (o->op == COLLECT)
    collect (r, o->at_ms);
  else if (o->op == CREDIT || o->op == STALE)
    quotashare_credit (r->share, &credit, o->at_ms);
  else if (o->op == TICK)
    quotashare_tick (r->share, o->at_ms);
  else if (o->op == CANCEL)
    quotashare_cancel (r->share, &r->waiters[o->a - 1]);
  else if (o->op == REFUND)
    quotashare_refund (r->share, 1, o->a, o->at_ms);
  else if (o->op == OWNER)
    quotashare_set_nodes (r->share, o->b, o->a > 0, o->at_ms);
  else
    quotashare_resume (r->share, o->at_ms);
}

/* Guards against calls that pass without credit or wait although there is
   some, the wrong order, credit used twice or after its expiry, and calls that
   are never decided. */
static void
test_operations (void)
{
  static const struct
  {
    const char *name;
    struct op_case ops[OPS_MAX];
  } cases[] = {
    { "credit for all",
      { { 1000, TAKE, 500, 0, " waits" },
        { 1001, TAKE, 300, 0, " waits" },
        { 1002, COLLECT, 0, 0, " 800/500/0" },
        { 1002, COLLECT, 0, 0, "" },
        { 1005, CREDIT, 800, 0, " +1 +2" },
        { 1005, CREDIT, 800, 0, "" },
        { 1005, TAKE, 1, 0, " waits" } } },
    { "priority, then arrival",
      { { 1000, TAKE, 100, 2, " waits" },
        { 1000, TAKE, 100, 1, " waits" },
        { 1000, TAKE, 100, 1, " waits" },
        { 1000, COLLECT, 0, 0, " 300/100/0" },
        { 1001, TAKE, 100, 0, " waits" },
        { 1003, CREDIT, 200, 700, " +4 +2 -3:700 -1:700" },
        { 1003, COLLECT, 0, 0, "" } } },
    { "later calls wait for the next draw",
      { { 1000, TAKE, 100, 0, " waits" },
        { 1000, COLLECT, 0, 0, " 100/100/0" },
        { 1001, TAKE, 150, 0, " waits" },
        { 1003, CREDIT, 0, 400, " -1:400" },
        { 1003, COLLECT, 0, 0, " 150/150/0" },
        { 1004, STALE, 150, 0, "" },
        { 1005, CREDIT, 150, 0, " +2" } } },
    { "ahead follows use",
      { { 1000, TAKE, 400, 0, " waits" },
        { 1000, COLLECT, 0, 0, " 400/400/0" },
        { 1000, CREDIT, 500, 0, " +1" },
        { 1060, TAKE, 80, 0, " granted" },
        { 1060, COLLECT, 0, 0, " 0/0/380" },
        { 1062, CREDIT, 380, 0, "" },
        { 1062, TAKE, 400, 0, " granted" },
        { 1062, COLLECT, 0, 0, " 0/0/400" },
        { 1064, CREDIT, 0, 0, "" } } },
    { "credit expires",
      { { 1000, TAKE, 100, 0, " waits" },
        { 1000, COLLECT, 0, 0, " 100/100/0" },
        { 1000, CREDIT, 300, 0, " +1" },
        { 1999, TAKE, 100, 0, " granted" },
        { 2000, TAKE, 100, 0, " waits" },
        { 2000, COLLECT, 0, 0, " 100/100/100" } } },
    { "repeats, then fallback, then the owner again",
      { { 1000, OWNER, 1, 1, "" },
        { 1000, TAKE, 1, 0, " waits" },
        { 1000, COLLECT, 0, 0, " 1/1/0" },
        { 1040, COLLECT, 0, 0, " repeat 1/1/0" },
        { 1080, COLLECT, 0, 0, " repeat 1/1/0" },
        { 1119, TICK, 0, 0, "" },
        { 1120, TICK, 0, 0, " fallback +1f" },
        { 1130, TAKE, 1, 0, " granted" },
        { 1249, COLLECT, 0, 0, "" },
        { 1250, TAKE, 1, 0, " granted" },
        { 1250, COLLECT, 0, 0, " 0/0/2" },
        { 1260, CREDIT, 0, 0, " owner" },
        { 1270, TAKE, 1, 0, " waits" },
        { 1270, CANCEL, 4, 0, "" } } },
    { "no owner known",
      { { 1000, TAKE, 1, 0, " waits" },
        { 1001, OWNER, 0, 1, " fallback +1f" },
        { 1002, TAKE, 1, 0, " granted" },
        { 1002, COLLECT, 0, 0, "" },
        { 9000, OWNER, 1, 1, "" },
        { 9000, TAKE, 1, 0, " waits" },
        { 9000, COLLECT, 0, 0, " 1/1/0" },
        { 9002, CREDIT, 1, 0, " owner +3" } } },
    { "call that can never pass", { { 1000, TAKE, 3001, 0, " refused" } } },
    { "cancelled call",
      { { 1000, TAKE, 900, 0, " waits" },
        { 1000, TAKE, 100, 0, " waits" },
        { 1000, CANCEL, 1, 0, "" },
        { 1000, CANCEL, 1, 0, "" },
        { 1000, COLLECT, 0, 0, " 100/100/0" },
        { 1000, CANCEL, 2, 0, "" },
        { 1001, CREDIT, 100, 0, "" },
        { 1002, TAKE, 100, 0, " granted" } } },
    { "refund, no more than one call of the recent use",
      { { 1000, TAKE, 100, 0, " waits" },
        { 1000, COLLECT, 0, 0, " 100/100/0" },
        { 1001, CREDIT, 100, 0, " +1" },
        { 1002, REFUND, 100, 0, "" },
        { 1002, REFUND, 100, 0, "" },
        { 1003, TAKE, 100, 0, " granted" },
        { 1003, TAKE, 100, 0, " waits" } } },
    { "freeze",
      { { 1000, TAKE, 100, 0, " waits" },
        { 1000, COLLECT, 0, 0, " 100/100/0" },
        { 1001, CREDIT, 300, 0, " +1" },
        { 1002, TAKE, 100, 0, " granted" },
        { 1003, RESUME, 0, 0, "" },
        { 1003, TAKE, 100, 0, " waits" },
        { 1003, COLLECT, 0, 0, " 100/100/0" },
        { 1004, RESUME, 0, 0, "" },
        { 1004, CREDIT, 100, 0, "" },
        { 1200, TICK, 0, 0, "" },
        { 1200, COLLECT, 0, 0, " 100/100/200" },
        { 1201, CREDIT, 100, 0, " +3" } } },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct run r = { 0 };
      const struct quotashare_events events
          = { decided, fallback_changed, &r };

      r.share = quotashare_create (1, &events);
      quotashare_set_nodes (r.share, 4, true, 0);
      for (const struct op_case *o = cases[i].ops; o->op != END; o++)
        {
          r.out[0] = '\0';
          run_op (&r, o);
          if (strcmp (r.out, o->expected) != 0)
            printf ("%s, step %zu: '%s'\n", cases[i].name,
                    (size_t)(o - cases[i].ops), r.out);
          CU_ASSERT_STRING_EQUAL (r.out, o->expected);
        }
      quotashare_destroy (r.share);
    }
}

/* Guards against all nodes admitting a call at once when the owner is lost,
   and against a fallback above or far below its share of the rate. */
static void
test_fallback (void)
{
  static const uint32_t node_counts[] = { 1, 4, 32, 410 };

  for (size_t i = 0; i < sizeof node_counts / sizeof *node_counts; i++)
    {
      const uint32_t n = node_counts[i];
      struct run r = { 0 };
      const struct quotashare_events events = { decided, NULL, &r };
      double at_once = 0;
      double total = 0;

      for (uint64_t seed = 0; seed < n; seed++)
        {
          r.share = quotashare_create (seed * 7919, &events);
          quotashare_set_nodes (r.share, n, false, 0);
          for (uint64_t now = 1000; now < 11000; now += 20)
            {
              uint32_t retry_after_ms;
              const bool granted
                  = quotashare_take (r.share, 1, &spec, 500, 0, now,
                                     &r.waiters[0], &retry_after_ms, NULL)
                    == QUOTASHARE_GRANTED;

              at_once += granted && now == 1000 ? 500 : 0;
              total += granted ? 500 : 0;
            }
          quotashare_destroy (r.share);
        }
      CU_ASSERT_TRUE (at_once <= spec.rate_per_s * 1.5);
      CU_ASSERT_TRUE (total <= spec.rate_per_s * 10);
      CU_ASSERT_TRUE (total >= spec.rate_per_s * 5);
    }
}

/* Guards against memory that grows with each tenant ever seen, and a timer
   that is never due or always. */
static void
test_expiry (void)
{
  struct run r = { 0 };
  const struct quotashare_events events = { decided, NULL, &r };
  uint32_t retry_after_ms;

  r.share = quotashare_create (1, &events);
  quotashare_set_nodes (r.share, 4, false, 0);
  CU_ASSERT_EQUAL (quotashare_next_due_ms (r.share), UINT64_MAX);
  for (uint64_t tenant = 1; tenant <= 100; tenant++)
    quotashare_take (r.share, tenant, &spec, 500, 0, 1000, &r.waiters[0],
                     &retry_after_ms, NULL);
  CU_ASSERT_EQUAL (quotashare_tenant_count (r.share), 100);
  CU_ASSERT_EQUAL (quotashare_credit_age_ms (r.share, 1, 1000), UINT64_MAX);
  CU_ASSERT_EQUAL (quotashare_next_due_ms (r.share), 11000);
  quotashare_tick (r.share, 10999);
  CU_ASSERT_EQUAL (quotashare_tenant_count (r.share), 100);
  quotashare_tick (r.share, 11000);
  CU_ASSERT_EQUAL (quotashare_tenant_count (r.share), 0);
  CU_ASSERT_EQUAL (quotashare_next_due_ms (r.share), UINT64_MAX);
  quotashare_destroy (r.share);
}

static const struct suite_case cases[] = { { "operations", test_operations },
                                           { "fallback", test_fallback },
                                           { "expiry", test_expiry } };
TEST_SUITE ("quotashare", cases)
