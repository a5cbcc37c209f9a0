#include "edge/crashers.h"

#include "suite.h"

#define REQUEST 77

static const struct death crashes[]
    = { { REQUEST, 1 }, { REQUEST, 2 }, { REQUEST, 3 }, { REQUEST, 4 } };

/* Guards against a request that crashes one server after the other, and
   against refusing requests whose responses were merely lost. */
static void
test_refused (void)
{
  struct crashers *c = crashers_create ();
  uint64_t now = 1000;

  for (size_t i = 0; i < 3; i++, now += 2000)
    {
      CU_ASSERT_FALSE (crashers_refused (c, REQUEST, now));
      crashers_suspect (c, &crashes[i], now);
      crashers_died (c, crashes[i].server, now + 100);
    }
  CU_ASSERT_TRUE (crashers_refused (c, REQUEST, now));
  CU_ASSERT_FALSE (crashers_refused (c, REQUEST + 1, now));
  CU_ASSERT_FALSE (crashers_refused (c, REQUEST, now + 3600 * 1000));
  crashers_destroy (c);

  c = crashers_create ();
  for (size_t i = 0; i < 4; i++)
    {
      crashers_suspect (c, &crashes[i], now);
      crashers_died (c, 9, now);
    }
  /* The server crashed much later, for another reason. */
  crashers_died (c, 1, now + 60000);
  CU_ASSERT_FALSE (crashers_refused (c, REQUEST, now));
  crashers_destroy (c);
}

/* Guards against refusing a frequent request because servers crashed for other
   reasons while it ran. */
static void
test_completed (void)
{
  struct crashers *c = crashers_create ();
  const struct str get = STR ("GET");
  const struct str path = STR ("/a");
  const struct str none = { 0 };

  crashers_merge (c, &crashes[0], 1000);
  crashers_completed (c, REQUEST, 1001);
  for (size_t i = 0; i < 4; i++)
    crashers_merge (c, &crashes[i], 1002);
  CU_ASSERT_FALSE (crashers_refused (c, REQUEST, 1003));
  CU_ASSERT_TRUE (crashers_fingerprint (1, get, path, none)
                  != crashers_fingerprint (2, get, path, none));
  crashers_destroy (c);
}

/* Guards against a node that counts only the crashes that it saw itself, and
   against counting a crash several times because several nodes reported it. */
static void
test_reported (void)
{
  struct crashers *a = crashers_create ();
  struct crashers *b = crashers_create ();
  struct death reported[8];
  size_t n;

  for (size_t i = 0; i < 2; i++)
    {
      crashers_suspect (a, &crashes[i], 1000);
      crashers_died (a, crashes[i].server, 1001);
    }
  CU_ASSERT_EQUAL (crashers_tell (a, 3, 5000, 1002, reported, 8), 0);
  CU_ASSERT_EQUAL (crashers_tell (a, 1, 5000, 9000, reported, 8), 0);
  n = crashers_tell (a, 1, 5000, 1002, reported, 8);
  CU_ASSERT_EQUAL (n, 2);
  for (int again = 0; again < 3; again++)
    for (size_t i = 0; i < n; i++)
      crashers_merge (b, &reported[i], 1003);
  CU_ASSERT_FALSE (crashers_refused (b, REQUEST, 1004));
  crashers_suspect (b, &crashes[2], 1005);
  crashers_died (b, 3, 1006);
  CU_ASSERT_TRUE (crashers_refused (b, REQUEST, 1007));
  crashers_destroy (a);
  crashers_destroy (b);
}

/* Guards against memory that grows with every request that was running during
   a crash. */
static void
test_bounded (void)
{
  struct crashers *c = crashers_create ();
  static struct death reported[20000];

  for (uint64_t i = 1; i <= 20000; i++)
    crashers_merge (c, &(struct death){ i, 1 }, 1000 + i);
  CU_ASSERT_TRUE (crashers_tell (c, 1, UINT32_MAX, 21000, reported, 20000)
                  <= 4096);
  CU_ASSERT_TRUE (crashers_server (STR ("i-1"), 1)
                  != crashers_server (STR ("i-1"), 2));
  crashers_destroy (c);
}

static const struct suite_case cases[] = { { "refused", test_refused },
                                           { "completed", test_completed },
                                           { "reported", test_reported },
                                           { "bounded", test_bounded } };
TEST_SUITE ("crashers", cases)
