#include "swim.h"

#include <stdlib.h>
#include <string.h>

#include "err.h"
#include "random.h"
#include "suite.h"

#define NODES_MAX 410
#define STEP_MS 5
#define DELAY_BUCKETS 16
#define IP_UDP_HEADER_BYTES 28

struct datagram
{
  struct datagram *next;
  size_t to;
  size_t from;
  size_t len;
  char bytes[SWIM_DATAGRAM_BYTES];
};

struct sim_net;

struct sim_node
{
  struct sim_net *net;
  struct swim *swim;
  size_t index;
  bool paused;
  int group; /* datagrams are delivered only within a group */
  size_t notices;
  uint64_t last_number; /* of the latest notice */
};

struct sim_net
{
  struct sim_node nodes[NODES_MAX];
  size_t count;
  struct datagram *buckets[DELAY_BUCKETS];
  uint64_t now;
  uint64_t random;
  uint32_t loss_percent;
  uint64_t bytes;
  size_t oversized;
};

static uint64_t
next_random (struct sim_net *n)
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
  struct sim_node *p = ctx;
  struct sim_net *n = p->net;
  struct datagram *d = xcalloc (1, sizeof *d);
  XDR xdr;

  xdrmem_create (&xdr, d->bytes, sizeof d->bytes, XDR_ENCODE);
  if (!xdr_gossip (&xdr, (struct gossip *)msg))
    n->oversized++;
  d->len = xdr_getpos (&xdr);
  d->to = index_of (to);
  d->from = p->index;
  n->bytes += d->len + IP_UDP_HEADER_BYTES;
  if (next_random (n) % 100 < n->loss_percent || d->to >= n->count)
    {
      free (d);
      return;
    }
  const size_t delay = 1 + next_random (n) % 4;
  const size_t bucket = (n->now / STEP_MS + delay) % DELAY_BUCKETS;
  d->next = n->buckets[bucket];
  n->buckets[bucket] = d;
}

static void
count_notice (void *ctx, const struct notice *notice)
{
  struct sim_node *p = ctx;

  p->notices++;
  p->last_number = notice->number;
}

static const struct swim_actions actions
    = { .send = send_datagram, .notice = count_notice };

/* Starts or restarts a node. The seed of node 0 is node 1, that of all others
   is node 0. */
static void
start_sim_node (struct sim_net *n, size_t i, uint64_t instance)
{
  struct sim_node *p = &n->nodes[i];
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
  *p = (struct sim_node){ .net = n, .index = i, .group = p->group };
  p->swim = swim_create (&self, next_random (n), &actions, p);
  swim_add_seed (p->swim, addr_of (i == 0 ? 1 : 0, seed));
}

static struct sim_net *
net_create (size_t count, uint64_t seed)
{
  struct sim_net *n = xcalloc (1, sizeof *n);

  n->random = seed;
  n->now = 1000000;
  n->count = count;
  for (size_t i = 0; i < count; i++)
    start_sim_node (n, i, 1);
  return n;
}

static void
net_destroy (struct sim_net *n)
{
  for (size_t i = 0; i < DELAY_BUCKETS; i++)
    while (n->buckets[i])
      {
        struct datagram *d = n->buckets[i];
        n->buckets[i] = d->next;
        free (d);
      }
  for (size_t i = 0; i < n->count; i++)
    if (n->nodes[i].swim)
      swim_destroy (n->nodes[i].swim);
  free (n);
}

static void
stop_sim_node (struct sim_net *n, size_t i)
{
  swim_destroy (n->nodes[i].swim);
  n->nodes[i].swim = NULL;
}

static void
deliver_datagram (struct sim_net *n, struct datagram *d)
{
  struct sim_node *to = &n->nodes[d->to];
  struct gossip msg = { 0 };
  XDR xdr;

  if (!to->swim || to->paused || to->group != n->nodes[d->from].group)
    return;
  xdrmem_create (&xdr, d->bytes, (u_int)d->len, XDR_DECODE);
  if (xdr_gossip (&xdr, &msg))
    swim_receive (to->swim, &msg, n->now);
  xdr_free ((xdrproc_t)xdr_gossip, &msg);
}

static void
run_for (struct sim_net *n, uint64_t ms)
{
  for (const uint64_t end = n->now + ms; n->now < end; n->now += STEP_MS)
    {
      struct datagram **bucket = &n->buckets[n->now / STEP_MS % DELAY_BUCKETS];
      struct datagram *d = *bucket;

      *bucket = NULL;
      while (d)
        {
          struct datagram *next = d->next;
          deliver_datagram (n, d);
          free (d);
          d = next;
        }
      for (size_t i = 0; i < n->count; i++)
        if (n->nodes[i].swim && !n->nodes[i].paused
            && (n->now / STEP_MS + i) % 20 == 0)
          swim_tick (n->nodes[i].swim, n->now);
    }
}

/* Returns the number of pairs of a node and a member for which the view of the
   node doesn't match the actual state of the member. */
static size_t
count_wrong_records (const struct sim_net *n)
{
  size_t sum = 0;

  for (size_t i = 0; i < n->count; i++)
    {
      if (!n->nodes[i].swim)
        continue;
      struct member_view *v = swim_view (n->nodes[i].swim);
      for (size_t j = 0; j < n->count; j++)
        {
          char addr[32];
          const struct member_info *m = member_find (v, addr_of (j, addr));
          const struct swim *other = n->nodes[j].swim;

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
state_at (const struct sim_net *n, size_t node, size_t member)
{
  struct member_view *v = swim_view (n->nodes[node].swim);
  char addr[32];
  const struct member_info *m = member_find (v, addr_of (member, addr));
  const enum member_state state = m ? m->state : MEMBER_DEAD;

  free (v);
  return state;
}

/* Guards against a stale record that overrides a newer one, and against a
   member that is declared dead on the report of another node without time to
   refute. */
static void
test_precedence (void)
{
  static const struct
  {
    uint64_t instance;
    uint64_t incarnation;
    enum member_state received;
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
      struct sim_net *n = net_create (3, 1);
      char addr[2][32];
      struct member known[2] = {
        { .id = { .addr = TEXT_STR (addr_of (2, addr[0])), .instance = 5 },
          .incarnation = 2 },
        { .id = { .addr = TEXT_STR (addr_of (2, addr[0])),
                  .instance = cases[i].instance },
          .incarnation = cases[i].incarnation,
          .state = cases[i].received },
      };
      const struct gossip msg = {
        .format = SWIM_FORMAT,
        .kind = GOSSIP_PUSH,
        .from = { .id = { .addr = TEXT_STR (addr_of (1, addr[1])) } },
        .members = { .members_len = 2, .members_val = known },
      };

      swim_receive (n->nodes[0].swim, &msg, n->now);
      CU_ASSERT_EQUAL (state_at (n, 0, 2), cases[i].expected);
      net_destroy (n);
    }
}

/* Guards against a notice that is delivered twice, is delivered again after it
   expired, or does not reach some node. */
static void
test_notices (void)
{
  static const struct
  {
    uint64_t number;
    uint32_t ttl_ms;
    size_t deliveries; /* at each node, up to and including this case */
  } cases[] = {
    { 7, 60000, 1 }, { 7, 60000, 1 }, { 6, 60000, 1 }, { 8, 2000, 2 },
    { 8, 60000, 2 }, { 9, 0, 2 },     { 9, 60000, 3 },
  };
  struct sim_net *n = net_create (40, 3);

  run_for (n, 20000);
  n->loss_percent = 5;
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      const struct notice notice = {
        .kind = NOTICE_QUARANTINE,
        .key = TEXT_STR (STR ("9f3c")),
        .number = cases[i].number,
        .ttl_ms = cases[i].ttl_ms,
      };

      swim_broadcast_notice (n->nodes[i].swim, &notice, n->now);
      run_for (n, 5000);
      for (size_t j = 0; j < n->count; j++)
        CU_ASSERT_EQUAL (n->nodes[j].notices, cases[i].deliveries);
    }
  CU_ASSERT_EQUAL (n->oversized, 0);
  net_destroy (n);
}

/* Guards against views that stay different after datagram loss, pauses,
   restarts and partitions, and against live members that stay marked dead. */
static void
test_schedule (void)
{
  for (uint64_t seed = 1; seed <= 6; seed++)
    {
      struct sim_net *n = net_create (40, seed);

      run_for (n, 30000);
      CU_ASSERT_EQUAL (count_wrong_records (n), 0);
      n->loss_percent = 10;
      for (size_t round = 0; round < 12; round++)
        {
          const size_t i = next_random (n) % n->count;

          switch (next_random (n) % 4)
            {
            case 0:
              n->nodes[i].paused = !n->nodes[i].paused;
              break;
            case 1:
              start_sim_node (n, i, n->now);
              break;
            case 2:
              if (n->nodes[i].swim)
                stop_sim_node (n, i);
              break;
            default:
              for (size_t j = 0; j < n->count; j++)
                n->nodes[j].group = j < i;
              break;
            }
          run_for (n, next_random (n) % 20000);
        }
      for (size_t i = 0; i < n->count; i++)
        {
          n->nodes[i].paused = false;
          n->nodes[i].group = 0;
          if (!n->nodes[i].swim)
            start_sim_node (n, i, n->now);
        }
      run_for (n, 30000);
      n->loss_percent = 0;
      run_for (n, 90000);
      CU_ASSERT_EQUAL (count_wrong_records (n), 0);
      CU_ASSERT_EQUAL (n->oversized, 0);
      net_destroy (n);
    }
}

/* Guards against two parts of a cluster, such as two regions, that do not
   rejoin after a partition of minutes. */
static void
test_partition (void)
{
  struct sim_net *n = net_create (40, 11);

  run_for (n, 30000);
  for (size_t i = 0; i < n->count; i++)
    n->nodes[i].group = i < 20;
  run_for (n, 180000);
  CU_ASSERT_EQUAL (state_at (n, 1, 39), MEMBER_DEAD);
  CU_ASSERT_EQUAL (state_at (n, 39, 1), MEMBER_DEAD);
  for (size_t i = 0; i < n->count; i++)
    n->nodes[i].group = 0;
  for (size_t i = 0; i < 60; i++)
    {
      /* A dead record from the time of the partition must not make a live
         member of the same half dead. */
      run_for (n, 500);
      CU_ASSERT_NOT_EQUAL (state_at (n, 1, 2), MEMBER_DEAD);
      CU_ASSERT_NOT_EQUAL (state_at (n, 39, 38), MEMBER_DEAD);
    }
  CU_ASSERT_EQUAL (count_wrong_records (n), 0);
  net_destroy (n);
}

/* Guards against a node that declares other members dead after its own process
   was paused. */
static void
test_pause (void)
{
  struct sim_net *n = net_create (20, 5);

  run_for (n, 20000);
  n->nodes[4].paused = true;
  run_for (n, 30000);
  CU_ASSERT_EQUAL (state_at (n, 0, 4), MEMBER_DEAD);
  n->nodes[4].paused = false;
  for (size_t i = 0; i < 100; i++)
    {
      run_for (n, 100);
      CU_ASSERT_EQUAL (state_at (n, 4, 7), MEMBER_ALIVE);
    }
  CU_ASSERT_EQUAL (count_wrong_records (n), 0);
  net_destroy (n);
}

/* Guards against a restarted process that other members ignore. With a later
   start time it is accepted at once; with an earlier one, after it has
   received the instance of the previous process. */
static void
test_restart (void)
{
  static const uint64_t instances[] = { 2, 0 };

  for (size_t i = 0; i < 2; i++)
    {
      struct sim_net *n = net_create (20, 6 + i);

      run_for (n, 20000);
      start_sim_node (n, 9, instances[i]);
      run_for (n, 6000);
      CU_ASSERT_EQUAL (count_wrong_records (n), 0);
      CU_ASSERT_EQUAL (swim_instance (n->nodes[9].swim), 2);
      net_destroy (n);
    }
}

/* Guards against a graceful shutdown that other members detect only by failed
   probes. */
static void
test_leave (void)
{
  struct sim_net *n = net_create (40, 8);

  run_for (n, 20000);
  swim_leave (n->nodes[3].swim, MEMBER_LEAVING, n->now);
  run_for (n, 1000);
  for (size_t i = 0; i < n->count; i++)
    CU_ASSERT_EQUAL (state_at (n, i, 3), MEMBER_LEAVING);
  swim_leave (n->nodes[3].swim, MEMBER_DEAD, n->now);
  stop_sim_node (n, 3);
  run_for (n, 2500);
  CU_ASSERT_EQUAL (count_wrong_records (n), 0);
  net_destroy (n);
}

/* Guards against traffic that grows with the fleet: measures the bytes that a
   node sends per second of virtual time, when idle and while members fail. */
static void
test_traffic (void)
{
  static const size_t sizes[] = { 8, 64, 410 };

  for (size_t i = 0; i < 3; i++)
    {
      struct sim_net *n = net_create (sizes[i], 9);

      run_for (n, 60000);
      CU_ASSERT_EQUAL (count_wrong_records (n), 0);
      run_for (n, 120000);
      n->bytes = 0;
      run_for (n, 20000);
      const uint64_t idle = n->bytes / n->count / 20;
      stop_sim_node (n, 2);
      stop_sim_node (n, 3);
      n->bytes = 0;
      run_for (n, 20000);
      const uint64_t failing = n->bytes / n->count / 20;
      CU_ASSERT_EQUAL (count_wrong_records (n), 0);
      CU_ASSERT (idle < 1000);
      CU_ASSERT (failing < 2000);
      printf (" %zu nodes: %lu, %lu B/s;", n->count, idle, failing);
      net_destroy (n);
    }
}

/* Guards against a starting node whose view fills only gradually. */
static void
test_join (void)
{
  struct sim_net *n = net_create (200, 10);

  run_for (n, 60000);
  stop_sim_node (n, 150);
  run_for (n, 20000);
  n->loss_percent = 5;
  start_sim_node (n, 150, 2);
  run_for (n, 4000);
  struct member_view *v = swim_view (n->nodes[150].swim);
  CU_ASSERT (v->count >= 198);
  free (v);
  net_destroy (n);
}

/* Guards against nodes that start at the same time and remain two separate
   groups, because the first joins went to seeds that did not listen yet. Each
   group would then have its own schedulers. */
static void
test_start_together (void)
{
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      struct sim_net *n = net_create (4, seed);

      for (size_t i = 0; i < n->count; i++)
        for (size_t j = 0; j < i; j++)
          {
            char addr[32];
            swim_add_seed (n->nodes[i].swim, addr_of (j, addr));
          }
      n->loss_percent = 100;
      run_for (n, 300);
      n->loss_percent = 0;
      run_for (n, 700);
      CU_ASSERT_EQUAL (count_wrong_records (n), 0);
      net_destroy (n);
    }
}

static const struct suite_case cases[] = {
  { "precedence of records", test_precedence },
  { "notices", test_notices },
  { "random schedules", test_schedule },
  { "partition", test_partition },
  { "pause of the own process", test_pause },
  { "restart", test_restart },
  { "leave", test_leave },
  { "traffic", test_traffic },
  { "join", test_join },
  { "simultaneous start", test_start_together },
};
TEST_SUITE ("swim", cases)
