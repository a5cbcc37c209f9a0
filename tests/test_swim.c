#include "swim.h"

#include <stdlib.h>
#include <string.h>

#include "err.h"
#include "random.h"
#include "suite.h"

#define NODES_MAX 410
#define STEP_MS 5
#define BUCKETS 16
#define HEADER_BYTES 28

struct datagram
{
  struct datagram *next;
  size_t to;
  size_t from;
  size_t len;
  char bytes[SWIM_DATAGRAM_BYTES];
};

struct net;

struct peer
{
  struct net *net;
  struct swim *swim;
  size_t index;
  bool paused;
  int group; /* datagrams pass only between nodes of the same group */
  size_t notices;
  uint64_t number; /* of the notice heard last */
};

struct net
{
  struct peer peers[NODES_MAX];
  size_t count;
  struct datagram *buckets[BUCKETS];
  uint64_t now;
  uint64_t random;
  uint32_t loss_percent;
  uint64_t bytes;
  size_t oversized;
};

static uint64_t
next_random (struct net *n)
{
  return random_next (&n->random);
}

static struct str
addr_of (size_t i, char out[32])
{
  snprintf (out, 32, "10.0.%zu.%zu:7100", i / 200, i % 200 + 1);
  return str_from (out);
}

static size_t
index_of (struct str addr)
{
  unsigned a = 0;
  unsigned b = 0;
  char text[32];

  snprintf (text, sizeof text, STR_FMT, STR_ARG (addr));
  sscanf (text, "10.0.%u.%u:", &a, &b); /* NOLINT(cert-err34-c) */
  return a * 200 + b - 1;
}

static void
send_datagram (void *ctx, struct str to, const struct gossip *msg)
{
  struct peer *p = ctx;
  struct net *n = p->net;
  struct datagram *d = xcalloc (1, sizeof *d);
  XDR xdr;

  xdrmem_create (&xdr, d->bytes, sizeof d->bytes, XDR_ENCODE);
  if (!xdr_gossip (&xdr, (struct gossip *)msg))
    n->oversized++;
  d->len = xdr_getpos (&xdr);
  d->to = index_of (to);
  d->from = p->index;
  n->bytes += d->len + HEADER_BYTES;
  if (next_random (n) % 100 < n->loss_percent || d->to >= n->count)
    {
      free (d);
      return;
    }
  const size_t delay = 1 + next_random (n) % 4;
  const size_t bucket = (n->now / STEP_MS + delay) % BUCKETS;
  d->next = n->buckets[bucket];
  n->buckets[bucket] = d;
}

static void
count_notice (void *ctx, const struct notice *notice)
{
  struct peer *p = ctx;

  p->notices++;
  p->number = notice->number;
}

static const struct swim_actions actions
    = { .send = send_datagram, .notice = count_notice };

/* Starts or restarts a node; node 0 is the seed of all and node 1 of it. */
static void
start_peer (struct net *n, size_t i, uint64_t instance)
{
  struct peer *p = &n->peers[i];
  char addr[32];
  char seed[32];
  const struct member self = {
    .id = { .addr = TEXT_STR (addr_of (i, addr)), .instance = instance },
    .http_addr = TEXT_STR (STR ("10.0.0.100:8080")),
    .region = TEXT_STR (STR ("hr-jadran")),
    .domain = TEXT_STR (STR ("zadar-c")),
  };

  if (p->swim)
    swim_destroy (p->swim);
  *p = (struct peer){ .net = n, .index = i, .group = p->group };
  p->swim = swim_create (&self, next_random (n), &actions, p);
  swim_seed (p->swim, addr_of (i == 0 ? 1 : 0, seed));
}

static struct net *
net_create (size_t count, uint64_t seed)
{
  struct net *n = xcalloc (1, sizeof *n);

  n->random = seed;
  n->now = 1000000;
  n->count = count;
  for (size_t i = 0; i < count; i++)
    start_peer (n, i, 1);
  return n;
}

static void
net_destroy (struct net *n)
{
  for (size_t i = 0; i < BUCKETS; i++)
    while (n->buckets[i])
      {
        struct datagram *d = n->buckets[i];
        n->buckets[i] = d->next;
        free (d);
      }
  for (size_t i = 0; i < n->count; i++)
    if (n->peers[i].swim)
      swim_destroy (n->peers[i].swim);
  free (n);
}

static void
stop_peer (struct net *n, size_t i)
{
  swim_destroy (n->peers[i].swim);
  n->peers[i].swim = NULL;
}

static void
deliver (struct net *n, struct datagram *d)
{
  struct peer *to = &n->peers[d->to];
  struct gossip msg = { 0 };
  XDR xdr;

  if (!to->swim || to->paused || to->group != n->peers[d->from].group)
    return;
  xdrmem_create (&xdr, d->bytes, (u_int)d->len, XDR_DECODE);
  if (xdr_gossip (&xdr, &msg))
    swim_receive (to->swim, &msg, n->now);
  xdr_free ((xdrproc_t)xdr_gossip, &msg);
}

static void
run (struct net *n, uint64_t ms)
{
  for (const uint64_t end = n->now + ms; n->now < end; n->now += STEP_MS)
    {
      struct datagram **bucket = &n->buckets[n->now / STEP_MS % BUCKETS];
      struct datagram *d = *bucket;

      *bucket = NULL;
      while (d)
        {
          struct datagram *next = d->next;
          deliver (n, d);
          free (d);
          d = next;
        }
      for (size_t i = 0; i < n->count; i++)
        if (n->peers[i].swim && !n->peers[i].paused
            && (n->now / STEP_MS + i) % 20 == 0)
          swim_tick (n->peers[i].swim, n->now);
    }
}

/* Number of pairs (node, member) for which the node's view is wrong. */
static size_t
wrong (const struct net *n)
{
  size_t sum = 0;

  for (size_t i = 0; i < n->count; i++)
    {
      if (!n->peers[i].swim)
        continue;
      struct member_view *v = swim_view (n->peers[i].swim);
      for (size_t j = 0; j < n->count; j++)
        {
          char addr[32];
          const struct member_info *m = member_find (v, addr_of (j, addr));
          const struct swim *other = n->peers[j].swim;

          if (!other)
            sum += m != NULL;
          else
            sum += !m || m->state != MEMBER_ALIVE
                   || m->instance != swim_instance (other);
        }
      free (v);
    }
  return sum;
}

static enum member_state
state_at (const struct net *n, size_t node, size_t member)
{
  struct member_view *v = swim_view (n->peers[node].swim);
  char addr[32];
  const struct member_info *m = member_find (v, addr_of (member, addr));
  const enum member_state state = m ? m->state : MEMBER_DEAD;

  free (v);
  return state;
}

/* Guards against a stale record that overrides a newer one, and against a
   verdict of another node that takes a member out without time to refute. */
static void
test_precedence (void)
{
  static const struct
  {
    uint64_t instance;
    uint64_t incarnation;
    enum member_state heard;
    enum member_state expected;
  } cases[] = {
    { 5, 2, MEMBER_SUSPECT, MEMBER_SUSPECT },
    { 5, 1, MEMBER_SUSPECT, MEMBER_ALIVE },
    { 5, 3, MEMBER_ALIVE, MEMBER_ALIVE },
    { 4, 9, MEMBER_LEAVING, MEMBER_ALIVE },
    { 5, 3, MEMBER_LEAVING, MEMBER_LEAVING },
    { 5, 2, MEMBER_DEAD, MEMBER_SUSPECT },
    { 4, 9, MEMBER_DEAD, MEMBER_ALIVE },
    { 6, 0, MEMBER_ALIVE, MEMBER_ALIVE },
    { 6, 0, MEMBER_SUSPECT, MEMBER_SUSPECT },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct net *n = net_create (3, 1);
      char addr[2][32];
      struct member known[2] = {
        { .id = { .addr = TEXT_STR (addr_of (2, addr[0])), .instance = 5 },
          .incarnation = 2 },
        { .id = { .addr = TEXT_STR (addr_of (2, addr[0])),
                  .instance = cases[i].instance },
          .incarnation = cases[i].incarnation,
          .state = cases[i].heard },
      };
      const struct gossip msg = {
        .format = SWIM_FORMAT,
        .kind = GOSSIP_PUSH,
        .from = { .id = { .addr = TEXT_STR (addr_of (1, addr[1])) } },
        .members = { .members_len = 2, .members_val = known },
      };

      swim_receive (n->peers[0].swim, &msg, n->now);
      CU_ASSERT_EQUAL (state_at (n, 0, 2), cases[i].expected);
      net_destroy (n);
    }
}

/* Guards against a notice that is delivered twice, comes back after its end,
   or is lost on the way to some node. */
static void
test_notices (void)
{
  static const struct
  {
    uint64_t number;
    uint32_t ttl_ms;
    size_t heard; /* by each node, all cases in turn */
  } cases[] = {
    { 7, 60000, 1 }, { 7, 60000, 1 }, { 6, 60000, 1 }, { 8, 2000, 2 },
    { 8, 60000, 2 }, { 9, 0, 2 },     { 9, 60000, 3 },
  };
  struct net *n = net_create (40, 3);

  run (n, 20000);
  n->loss_percent = 5;
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      const struct notice notice = {
        .kind = NOTICE_QUARANTINE,
        .key = TEXT_STR (STR ("9f3c")),
        .number = cases[i].number,
        .ttl_ms = cases[i].ttl_ms,
      };

      swim_spread (n->peers[i].swim, &notice, n->now);
      run (n, 5000);
      for (size_t j = 0; j < n->count; j++)
        CU_ASSERT_EQUAL (n->peers[j].notices, cases[i].heard);
    }
  CU_ASSERT_EQUAL (n->oversized, 0);
  net_destroy (n);
}

/* Guards against views that differ for ever after loss, pauses, restarts and
   a partition, and against live members that stay dead. */
static void
test_schedule (void)
{
  for (uint64_t seed = 1; seed <= 6; seed++)
    {
      struct net *n = net_create (40, seed);

      run (n, 30000);
      CU_ASSERT_EQUAL (wrong (n), 0);
      n->loss_percent = 10;
      for (size_t round = 0; round < 12; round++)
        {
          const size_t i = next_random (n) % n->count;

          switch (next_random (n) % 4)
            {
            case 0:
              n->peers[i].paused = !n->peers[i].paused;
              break;
            case 1:
              start_peer (n, i, n->now);
              break;
            case 2:
              if (n->peers[i].swim)
                stop_peer (n, i);
              break;
            default:
              for (size_t j = 0; j < n->count; j++)
                n->peers[j].group = j < i;
              break;
            }
          run (n, next_random (n) % 20000);
        }
      for (size_t i = 0; i < n->count; i++)
        {
          n->peers[i].paused = false;
          n->peers[i].group = 0;
          if (!n->peers[i].swim)
            start_peer (n, i, n->now);
        }
      run (n, 30000);
      n->loss_percent = 0;
      run (n, 90000);
      CU_ASSERT_EQUAL (wrong (n), 0);
      CU_ASSERT_EQUAL (n->oversized, 0);
      net_destroy (n);
    }
}

/* Guards against members of the two regions that stay apart after a partition
   of minutes. */
static void
test_partition (void)
{
  struct net *n = net_create (40, 11);

  run (n, 30000);
  for (size_t i = 0; i < n->count; i++)
    n->peers[i].group = i < 20;
  run (n, 180000);
  CU_ASSERT_EQUAL (state_at (n, 1, 39), MEMBER_DEAD);
  CU_ASSERT_EQUAL (state_at (n, 39, 1), MEMBER_DEAD);
  for (size_t i = 0; i < n->count; i++)
    n->peers[i].group = 0;
  for (size_t i = 0; i < 60; i++)
    {
      /* A verdict of the time before must not take out a neighbour. */
      run (n, 500);
      CU_ASSERT_NOT_EQUAL (state_at (n, 1, 2), MEMBER_DEAD);
      CU_ASSERT_NOT_EQUAL (state_at (n, 39, 38), MEMBER_DEAD);
    }
  CU_ASSERT_EQUAL (wrong (n), 0);
  net_destroy (n);
}

/* Guards against a node that, after its own pause, takes the others for dead.
 */
static void
test_pause (void)
{
  struct net *n = net_create (20, 5);

  run (n, 20000);
  n->peers[4].paused = true;
  run (n, 30000);
  CU_ASSERT_EQUAL (state_at (n, 0, 4), MEMBER_DEAD);
  n->peers[4].paused = false;
  for (size_t i = 0; i < 100; i++)
    {
      run (n, 100);
      CU_ASSERT_EQUAL (state_at (n, 4, 7), MEMBER_ALIVE);
    }
  CU_ASSERT_EQUAL (wrong (n), 0);
  net_destroy (n);
}

/* Guards against a restarted process that others ignore: one with a later
   start time at once, one with an earlier time after it learns of the former
   process. */
static void
test_restart (void)
{
  static const uint64_t instances[] = { 2, 0 };

  for (size_t i = 0; i < 2; i++)
    {
      struct net *n = net_create (20, 6 + i);

      run (n, 20000);
      start_peer (n, 9, instances[i]);
      run (n, 6000);
      CU_ASSERT_EQUAL (wrong (n), 0);
      CU_ASSERT_EQUAL (swim_instance (n->peers[9].swim), 2);
      net_destroy (n);
    }
}

/* Guards against a shutdown that others only notice by failed probes. */
static void
test_leave (void)
{
  struct net *n = net_create (40, 8);

  run (n, 20000);
  swim_leave (n->peers[3].swim, MEMBER_LEAVING, n->now);
  run (n, 1000);
  for (size_t i = 0; i < n->count; i++)
    CU_ASSERT_EQUAL (state_at (n, i, 3), MEMBER_LEAVING);
  swim_leave (n->peers[3].swim, MEMBER_DEAD, n->now);
  stop_peer (n, 3);
  run (n, 2500);
  CU_ASSERT_EQUAL (wrong (n), 0);
  net_destroy (n);
}

/* Guards against traffic that grows with the fleet: counts the bytes that a
   node sends in each second of virtual time, at rest and while members fail.
 */
static void
test_traffic (void)
{
  static const size_t sizes[] = { 8, 64, 410 };

  for (size_t i = 0; i < 3; i++)
    {
      struct net *n = net_create (sizes[i], 9);

      run (n, 60000);
      CU_ASSERT_EQUAL (wrong (n), 0);
      run (n, 120000);
      n->bytes = 0;
      run (n, 20000);
      const uint64_t rest = n->bytes / n->count / 20;
      stop_peer (n, 2);
      stop_peer (n, 3);
      n->bytes = 0;
      run (n, 20000);
      const uint64_t failing = n->bytes / n->count / 20;
      CU_ASSERT_EQUAL (wrong (n), 0);
      CU_ASSERT (rest < 1000);
      CU_ASSERT (failing < 2000);
      printf (" %zu nodes: %lu, %lu B/s;", n->count, rest, failing);
      net_destroy (n);
    }
}

/* Guards against a starting node that learns its fleet only by and by. */
static void
test_join (void)
{
  struct net *n = net_create (200, 10);

  run (n, 60000);
  stop_peer (n, 150);
  run (n, 20000);
  n->loss_percent = 5;
  start_peer (n, 150, 2);
  run (n, 4000);
  struct member_view *v = swim_view (n->peers[150].swim);
  CU_ASSERT (v->count >= 198);
  free (v);
  net_destroy (n);
}

/* Guards against nodes that start together and stay two groups, because the
   first joins went to seeds that did not listen yet: each group would then
   have schedulers of its own. */
static void
test_start_together (void)
{
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      struct net *n = net_create (4, seed);

      for (size_t i = 0; i < n->count; i++)
        for (size_t j = 0; j < i; j++)
          {
            char addr[32];
            swim_seed (n->peers[i].swim, addr_of (j, addr));
          }
      n->loss_percent = 100;
      run (n, 300);
      n->loss_percent = 0;
      run (n, 700);
      CU_ASSERT_EQUAL (wrong (n), 0);
      net_destroy (n);
    }
}

static const struct suite_case cases[] = {
  { "precedence of records", test_precedence },
  { "notices", test_notices },
  { "random schedules", test_schedule },
  { "partition", test_partition },
  { "own pause", test_pause },
  { "restart", test_restart },
  { "leave", test_leave },
  { "traffic", test_traffic },
  { "join", test_join },
  { "start together", test_start_together },
};
TEST_SUITE ("swim", cases)
