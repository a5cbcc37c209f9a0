#include "edge/quarantine.h"

#include "suite.h"

#define REQUEST 77

static const struct crash_record crashes[]
    = { { REQUEST, 1, 0, QUARANTINE_REQUEST },
        { REQUEST, 2, 0, QUARANTINE_REQUEST },
        { REQUEST, 3, 0, QUARANTINE_REQUEST },
        { REQUEST, 4, 0, QUARANTINE_REQUEST } };

/* Guards against a request that crashes one server after the other, and
   against refusing requests whose responses were merely lost. */
static void
test_refused (void)
{
  struct quarantine *c = quarantine_create ();
  uint64_t now = 1000;

  for (size_t i = 0; i < 3; i++, now += 2000)
    {
      CU_ASSERT_FALSE (quarantine_contains (c, REQUEST, now));
      quarantine_suspect (c, &crashes[i], now);
      quarantine_server_crashed (c, crashes[i].server, now + 100);
    }
  CU_ASSERT_TRUE (quarantine_contains (c, REQUEST, now));
  CU_ASSERT_FALSE (quarantine_contains (c, REQUEST + 1, now));
  CU_ASSERT_FALSE (quarantine_contains (c, REQUEST, now + 3600 * 1000));
  quarantine_destroy (c);

  c = quarantine_create ();
  for (size_t i = 0; i < 4; i++)
    {
      quarantine_suspect (c, &crashes[i], now);
      quarantine_server_crashed (c, 9, now);
    }
  /* The server crashed much later, for another reason. */
  quarantine_server_crashed (c, 1, now + 60000);
  CU_ASSERT_FALSE (quarantine_contains (c, REQUEST, now));
  quarantine_destroy (c);
}

/* Guards against refusing a frequent request because servers crashed for other
   reasons while it ran. */
static void
test_completed (void)
{
  struct quarantine *c = quarantine_create ();

  quarantine_add_crash (c, &crashes[0], 1000);
  quarantine_completed (c, REQUEST, 1001);
  for (size_t i = 0; i < 4; i++)
    quarantine_add_crash (c, &crashes[i], 1002);
  CU_ASSERT_FALSE (quarantine_contains (c, REQUEST, 1003));
  quarantine_destroy (c);
}

/* Guards against counting the crashes of different requests together, or of
   the same request of different tenants. */
static void
test_fingerprint (void)
{
  static const struct
  {
    const char *tenant;
    const char *method;
    const char *target;
    const char *body;
  } requests[] = {
    { "", "GET", "/a", "" },       { "", "POST", "/a", "" },
    { "", "GET", "/b", "" },       { "", "GET", "/a?x", "" },
    { "", "GET", "/a", "body" },   { "", "GET", "/a", "bodz" },
    { "t1", "GET", "/a", "" },     { "t2", "GET", "/a", "" },
    { "t1", "GET", "/a", "body" }, { "t2", "GET", "/a", "body" },
  };
  const size_t count = sizeof requests / sizeof *requests;

  for (size_t i = 0; i < count; i++)
    for (size_t j = 0; j < count; j++)
      CU_ASSERT_EQUAL (
          quarantine_fingerprint (
              str_from (requests[i].tenant), str_from (requests[i].method),
              str_from (requests[i].target), str_from (requests[i].body))
              == quarantine_fingerprint (
                  str_from (requests[j].tenant), str_from (requests[j].method),
                  str_from (requests[j].target), str_from (requests[j].body)),
          i == j);
}

/* Guards against a node that counts only the crashes that it saw itself, and
   against counting a crash several times because several nodes reported it. */
static void
test_reported (void)
{
  struct quarantine *a = quarantine_create ();
  struct quarantine *b = quarantine_create ();
  struct crash_evidence reported[8];
  size_t n;

  for (size_t i = 0; i < 2; i++)
    {
      /* All nodes are told only of several crashes. */
      CU_ASSERT_EQUAL (quarantine_list (a, QUARANTINE_ALL, 1002, reported, 8),
                       0);
      quarantine_suspect (a, &crashes[i], 1000);
      quarantine_server_crashed (a, crashes[i].server, 1001);
    }
  CU_ASSERT_EQUAL (quarantine_list (a, QUARANTINE_ALL, 1002, reported, 8), 2);
  CU_ASSERT_EQUAL (quarantine_list (a, QUARANTINE_OWN,
                                    1002 + QUARANTINE_RETENTION_MS, reported,
                                    8),
                   0);
  n = quarantine_list (a, QUARANTINE_OWN, 1002, reported, 8);
  CU_ASSERT_EQUAL (n, 2);
  for (int again = 0; again < 3; again++)
    for (size_t i = 0; i < n; i++)
      quarantine_merge (b, &reported[i], 1003);
  CU_ASSERT_FALSE (quarantine_contains (b, REQUEST, 1004));
  /* What a node was told it does not report as its own. */
  CU_ASSERT_EQUAL (quarantine_list (b, QUARANTINE_OWN, 1004, reported, 8), 0);
  quarantine_suspect (b, &crashes[2], 1005);
  quarantine_server_crashed (b, 3, 1006);
  CU_ASSERT_TRUE (quarantine_contains (b, REQUEST, 1007));
  quarantine_destroy (a);
  quarantine_destroy (b);
}

/* Guards against memory that grows with every request that was running during
   a crash. */
static void
test_bounded (void)
{
  struct quarantine *c = quarantine_create ();
  static struct crash_evidence reported[20000];

  for (uint64_t i = 1; i <= 20000; i++)
    quarantine_add_crash (
        c, &(struct crash_record){ i, 1, 0, QUARANTINE_REQUEST }, 1000 + i);
  CU_ASSERT_TRUE (quarantine_list (c, QUARANTINE_OWN, 21000, reported, 20000)
                  <= 4096);
  CU_ASSERT_TRUE (quarantine_server_hash (STR ("i-1"), 1)
                  != quarantine_server_hash (STR ("i-1"), 2));
  quarantine_destroy (c);
}

static const struct suite_case cases[] = { { "refused", test_refused },
                                           { "completed", test_completed },
                                           { "fingerprint", test_fingerprint },
                                           { "reported", test_reported },
                                           { "bounded", test_bounded } };
TEST_SUITE ("crashers", cases)
