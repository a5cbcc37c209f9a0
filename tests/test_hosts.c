#include "hostlist.h"

#include <errno.h>
#include <stdlib.h>

#include "random.h"
#include "suite.h"

#define HOSTS_MAX 12
#define VERSIONS 4000

static void
apply_single_host (struct hostlist *l, uint64_t version, const char *state)
{
  struct str json = str_printf (
      "{\"version\":%lu,\"hosts\":[%s%s%s]}", version,
      state ? "{\"address\":\"10.1.0.1:80\",\"service\":\"parlor\",\"state\":"
              "\""
            : "",
      state ? state : "", state ? "\"}" : "");

  CU_ASSERT_EQUAL (hostlist_apply (l, json), 0);
  str_free (&json);
}

/* Guards against new work for a leaving host that the lagging list still
   reports as live, and against a host that stays unused after it came back. */
static void
test_marks (void)
{
  /* Steps (l: listed as live, v: listed as leaving, a: not listed, m: marked
     as leaving) and the expected state of the host (l, v or a). */
  static const char *const cases[][2]
      = { { "l", "l" },     { "v", "v" },      { "vl", "v" },  { "lml", "v" },
          { "lma", "a" },   { "lmal", "l" },   { "mll", "v" }, { "vaal", "l" },
          { "lmav", "v" },  { "lmavl", "v" },  { "ml", "v" },  { "aml", "v" },
          { "lmaml", "v" }, { "lmalml", "v" }, { "mal", "l" } };
  const struct str addr = STR ("10.1.0.1:80");

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct hostlist *l = hostlist_create ();
      char seen = 'a';

      for (size_t j = 0; cases[i][0][j]; j++)
        switch (cases[i][0][j])
          {
          case 'm':
            hostlist_mark_leaving (l, addr);
            break;
          case 'a':
            apply_single_host (l, j + 1, NULL);
            break;
          default:
            apply_single_host (l, j + 1,
                               cases[i][0][j] == 'l' ? "live" : "leaving");
            break;
          }
      struct host_view *v = hostlist_view (l);
      const struct host *h = hosts_find (v, addr);
      if (h)
        seen = h->leaving ? 'v' : 'l';
      CU_ASSERT_EQUAL (seen, cases[i][1][0]);
      free (v);
      hostlist_destroy (l);
    }
}

static uint32_t
next_random (uint64_t *state)
{
  return (uint32_t)random_next (state);
}

static bool
same_hosts (const struct hostlist *a, const struct hostlist *b)
{
  struct host_view *x = hostlist_view (a);
  struct host_view *y = hostlist_view (b);
  bool equal = x->count == y->count;

  for (size_t i = 0; equal && i < x->count; i++)
    equal = str_eq (x->hosts[i].addr, y->hosts[i].addr)
            && str_eq (x->hosts[i].service, y->hosts[i].service)
            && x->hosts[i].leaving == y->hosts[i].leaving;
  free (x);
  free (y);
  return equal;
}

/* Returns a list in which each host is absent, live or leaving; at most one
   state differs from the last list. */
static struct str
random_list (uint64_t version, int states[HOSTS_MAX], uint64_t *random)
{
  struct buf b = { 0 };
  const char *comma = "";

  states[next_random (random) % HOSTS_MAX] = (int)(next_random (random) % 3);
  buf_printf (&b, "{\"version\":%lu,\"hosts\":[", version);
  for (int i = 0; i < HOSTS_MAX; i++)
    if (states[i] > 0)
      {
        buf_printf (&b,
                    "%s{\"address\":\"10.1.0.%d:80\",\"service\":\"s%d\","
                    "\"state\":\"%s\"}",
                    comma, i, i % 3, states[i] == 1 ? "live" : "leaving");
        comma = ",";
      }
  buf_printf (&b, "]}");
  return buf_str (&b);
}

/* Guards against a follower whose list differs from its relay's after it
   skipped versions: without a skipped absence, a leaving mark would stay and
   the host would never be used again. */
static void
test_differences (void)
{
  struct hostlist *relay = hostlist_create ();
  struct hostlist *follower = hostlist_create ();
  int states[HOSTS_MAX] = { 0 };
  uint64_t random = 7;
  size_t differences = 0;

  for (uint64_t version = 1; version <= VERSIONS; version++)
    {
      struct str json = random_list (version, states, &random);
      CU_ASSERT_EQUAL (hostlist_apply (relay, json), 0);
      str_free (&json);
      if (next_random (&random) % 4 != 0)
        continue;
      json = hostlist_json_since (relay, hostlist_version (follower));
      CU_ASSERT_EQUAL (hostlist_apply (follower, json), 0);
      differences += json.len < 1000;
      str_free (&json);
      CU_ASSERT (same_hosts (relay, follower));
    }
  CU_ASSERT (differences > VERSIONS / 5);
  hostlist_destroy (relay);
  hostlist_destroy (follower);
}

/* Guards against a difference that is applied to a version other than its
   base, and against a malformed reply that empties the list. */
static void
test_refusals (void)
{
  static const struct
  {
    const char *json;
    int rc;
  } cases[] = {
    { "{\"version\":9,\"base\":5,\"hosts\":[]}", -ESTALE },
    { "{\"version\":9}", -EBADMSG },
    { "{\"version\":9,\"hosts\":[{}]}", -EBADMSG },
    { "", -EBADMSG },
  };
  struct hostlist *l = hostlist_create ();

  apply_single_host (l, 1, "live");
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      CU_ASSERT_EQUAL (hostlist_apply (l, str_from (cases[i].json)),
                       cases[i].rc);
      struct host_view *v = hostlist_view (l);
      CU_ASSERT_EQUAL (v->count, 1);
      free (v);
    }
  CU_ASSERT_EQUAL (hostlist_version (l), 1);
  hostlist_destroy (l);
}

static const struct suite_case cases[] = {
  { "leaving marks", test_marks },
  { "differences after skipped versions", test_differences },
  { "rejected lists", test_refusals },
};
TEST_SUITE ("hosts", cases)
