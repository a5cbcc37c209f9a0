#include <errno.h>

#include "ledger.h"

#include "suite.h"

#define PAUSE_BOUND_MS 60000
#define MEMORY_BYTES 100
#define ENGINES 3

static struct str
addr_of (size_t engine)
{
  static const char *const addrs[ENGINES] = { "e:0", "e:1", "e:2" };
  return str_from (addrs[engine]);
}

static struct ledger *
create_owned_ledger (void)
{
  struct ledger *l = ledger_create (STR ("s"), true, PAUSE_BOUND_MS);
  const struct target_status status
      = { .instance = 7, .memory_bytes = MEMORY_BYTES };

  CU_ASSERT_EQUAL (ledger_take_over (l, 3, STR ("n:1"), 5, 1000), 0);
  struct str json = ledger_write_begin (l);
  str_free (&json);
  ledger_write_done (l, LEDGER_STORED, 1000);
  for (size_t i = 0; i < ENGINES; i++)
    {
      ledger_server_add (l, addr_of (i), STR ("d"));
      ledger_apply_status (l, addr_of (i), &status, 1000, 1000);
    }
  return l;
}

/* Guards against decisions that exceed a server's memory or max_replicas, or
   that are made without ownership, and against an order that is sent before
   its intent is stored. */
static void
test_refusals (void)
{
  struct ledger *l = create_owned_ledger ();
  const struct replica_key a = { .model = STR ("a"), .version = STR ("1") };
  const struct replica_key b = { .model = STR ("b"), .version = STR ("1") };
  const struct replica_key adapter
      = { .model = a.model, .version = a.version, .adapter = STR ("x") };
  struct order o;

  CU_ASSERT_EQUAL (ledger_decide_load (l, STR ("?"), &a, 1, 1, 1000), -ENOENT);
  CU_ASSERT_EQUAL (
      ledger_decide_load (l, addr_of (0), &a, MEMORY_BYTES + 1, 1, 1000),
      -ENOMEM);
  CU_ASSERT_EQUAL (
      ledger_decide_load (l, addr_of (0), &a, UINT64_MAX, 1, 1000), -ENOMEM);
  CU_ASSERT_EQUAL (ledger_decide_load (l, addr_of (0), &a, 60, 1, 1000), 0);
  CU_ASSERT_EQUAL (ledger_decide_load (l, addr_of (0), &a, 1, 9, 1000),
                   -EEXIST);
  CU_ASSERT_EQUAL (ledger_decide_load (l, addr_of (1), &a, 60, 1, 1000),
                   -EDQUOT);
  CU_ASSERT_EQUAL (ledger_decide_load (l, addr_of (0), &b, 41, 1, 1000),
                   -ENOMEM);
  CU_ASSERT_EQUAL (ledger_decide_load (l, addr_of (0), &adapter, 1, 1, 1000),
                   -ENOLINK);
  CU_ASSERT_EQUAL (ledger_decide_unload (l, addr_of (0), &a, 1000), -EBUSY);
  ledger_find_server (l, addr_of (2))->listed_leaving = true;
  CU_ASSERT_EQUAL (ledger_decide_load (l, addr_of (2), &b, 1, 1, 1000),
                   -ESHUTDOWN);

  const struct ledger_entry *e = ledger_find_entry (l->servers[0], &a);
  CU_ASSERT_FALSE (ledger_due_order (l, e, 1000, &o));
  struct str json = ledger_write_begin (l);
  CU_ASSERT_FALSE (ledger_due_order (l, e, 1000, &o));
  ledger_write_done (l, LEDGER_STORED, 1000);
  CU_ASSERT (ledger_due_order (l, e, 1000, &o));
  CU_ASSERT (o.fence == 3 && o.instance == 7 && o.bytes == 60);

  struct ledger *next = ledger_create (STR ("s"), true, PAUSE_BOUND_MS);
  CU_ASSERT_EQUAL (ledger_decode (next, json), 0);
  CU_ASSERT_EQUAL (ledger_used_bytes (next->servers[0]), 60);
  CU_ASSERT_EQUAL (ledger_decide_load (next, addr_of (0), &b, 1, 1, 1000),
                   -EPERM);
  CU_ASSERT_EQUAL (ledger_take_over (next, 2, STR ("n:2"), 6, 1000), -ESTALE);
  CU_ASSERT_EQUAL (ledger_take_over (next, 3, STR ("n:2"), 6, 1000), -ESTALE);
  CU_ASSERT_EQUAL (ledger_take_over (next, 4, STR ("n:2"), 6, 1000), 0);
  CU_ASSERT_EQUAL (ledger_decide_load (next, addr_of (0), &b, 1, 1, 1000),
                   -EPERM);
  ledger_destroy (next);
  str_free (&json);
  ledger_destroy (l);
}

/* Guards against a damaged object that is decoded as an empty ledger. */
static void
test_decode (void)
{
  static const char *const bad[] = {
    "",
    "{}",
    "{\"service\":\"t\",\"fence\":1,\"sequence\":1,\"writer\":\"n\","
    "\"writer_instance\":1,\"servers\":[]}",
    "{\"service\":\"s\",\"fence\":-1,\"sequence\":1,\"writer\":\"n\","
    "\"writer_instance\":1,\"servers\":[]}",
    "{\"service\":\"s\",\"fence\":1,\"sequence\":1,\"writer\":\"n\","
    "\"writer_instance\":1,\"servers\":[{\"addr\":\"e:0\",\"domain\":\"d\","
    "\"instance\":1,\"memory_bytes\":9,\"entries\":[{\"model\":\"a\","
    "\"version\":\"1\",\"state\":\"unknown\",\"order_id\":\"1\",\"fence\":1,"
    "\"instance\":1,\"bytes\":5}]}]}",
  };

  for (size_t i = 0; i < sizeof bad / sizeof *bad; i++)
    {
      struct ledger *l = ledger_create (STR ("s"), true, PAUSE_BOUND_MS);
      CU_ASSERT_EQUAL (ledger_decode (l, str_from (bad[i])), -EBADMSG);
      ledger_destroy (l);
    }
}

static const struct suite_case cases[] = {
  { "refusals", test_refusals },
  { "decoding", test_decode },
};
TEST_SUITE ("ledger", cases)
