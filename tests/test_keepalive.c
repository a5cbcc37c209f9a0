#include <stdio.h>

#include "keepalive.h"
#include "suite.h"

/* Guards against a call that is lost because it uses a connection when the
   server is about to close it for being idle. */
static void
test_idle_limit (void)
{
  static const struct
  {
    const char *field;
    uint32_t limit_s;
  } cases[] = {
    { "", 1 },
    { "timeout=5", 4 },
    { "timeout=5, max=100", 4 },
    { "max=100,timeout = 3", 2 },
    { "Timeout=2", 1 },
    { "timeout=1", 0 },
    { "timeout=0", 0 },
    { "timeout=99999999999", UINT32_MAX - 1 },
    { "timeout", 1 },
    { "timeout=", 1 },
    { "timeout=-1", 1 },
    { "timeout=soon", 1 },
    { "idletimeout=9", 1 },
    { ",,=,", 1 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct keepalive *k = keepalive_create ();

      keepalive_learn (k, STR ("127.0.0.1:1"), str_from (cases[i].field));
      CU_ASSERT_EQUAL (keepalive_idle_limit_s (k, STR ("127.0.0.1:1")),
                       cases[i].limit_s);
      CU_ASSERT_EQUAL (keepalive_idle_limit_s (k, STR ("127.0.0.1:2")), 1);
      keepalive_destroy (k);
    }
}

/* Guards against the statement of an earlier process at the same address that
   outlives it. */
static void
test_newest_statement (void)
{
  static const struct
  {
    const char *field;
    uint32_t limit_s;
  } steps[] = {
    { "timeout=9", 8 }, { "timeout=2", 1 }, { "timeout=9", 8 }, { "", 1 }
  };
  struct keepalive *k = keepalive_create ();

  for (size_t i = 0; i < sizeof steps / sizeof *steps; i++)
    {
      keepalive_learn (k, STR ("127.0.0.1:1"), str_from (steps[i].field));
      CU_ASSERT_EQUAL (keepalive_idle_limit_s (k, STR ("127.0.0.1:1")),
                       steps[i].limit_s);
    }
  keepalive_destroy (k);
}

/* Guards against memory that grows with each address that ever answered. */
static void
test_peers_max (void)
{
  struct keepalive *k = keepalive_create ();

  for (int i = 0; i < KEEPALIVE_PEERS_MAX + 10; i++)
    {
      struct str peer = str_printf ("peer-%d", i);

      keepalive_learn (k, peer, STR ("timeout=9"));
      CU_ASSERT_EQUAL (keepalive_idle_limit_s (k, peer), 8);
      str_free (&peer);
    }
  CU_ASSERT_EQUAL (keepalive_peers (k), KEEPALIVE_PEERS_MAX);
  CU_ASSERT_EQUAL (keepalive_idle_limit_s (k, STR ("peer-0")), 1);
  keepalive_destroy (k);
}

static const struct suite_case cases[] = {
  { "idle limit", test_idle_limit },
  { "newest statement", test_newest_statement },
  { "peers at most", test_peers_max },
};
TEST_SUITE ("keepalive", cases)
