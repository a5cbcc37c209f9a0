#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "clock.h"
#include "cluster.h"
#include "cluster_rpc.h"
#include "peer.h"
#include "rpcmsg.h"
#include "suite.h"

#define WAIT_MS 30000
#define CALL_MS 2000
#define REDIRECTS_MAX 4
#define RATE_PER_S 20
#define BURST 5
#define IN_FLIGHT 2

/* Enforcement of plan limits across nodes. The test sends PEER_QUOTA calls to
   any node, as an entry node does. */

static struct cluster *cluster;
static struct cluster_proc *nodes[3];

static void
write_list (char path[128], const char *name, const char *text)
{
  snprintf (path, 128, "%s/%s", cluster->dir, name);
  FILE *f = fopen (path, "wb");
  CU_ASSERT_PTR_NOT_NULL_FATAL (f);
  if (!f)
    return;
  fputs (text, f);
  fclose (f);
}

static void
start_cluster (void)
{
  static const char *const domains[3] = { "a", "b", "c" };
  char plans[512];
  char plans_path[128];
  char uses_path[128];

  cluster = cluster_create ("test");
  cluster_store (cluster, NULL);
  snprintf (plans, sizeof plans,
            "{\"format\":1,\"plans\":["
            "{\"name\":\"rated\",\"requests_per_s\":%d,\"burst\":%d,"
            "\"in_flight\":0},"
            "{\"name\":\"counted\",\"requests_per_s\":0,\"burst\":0,"
            "\"in_flight\":%d}],\"customers\":["
            "{\"name\":\"r\",\"plan\":\"rated\",\"key_sha256\":[]},"
            "{\"name\":\"c\",\"plan\":\"counted\",\"key_sha256\":[]}]}",
            RATE_PER_S, BURST, IN_FLIGHT);
  write_list (plans_path, "plans.json", plans);
  write_list (uses_path, "uses.json",
              "{\"format\":1,\"services\":[],\"classes\":[],\"models\":[],"
              "\"uses\":[]}");
  CU_ASSERT_EQUAL (cluster_apply (cluster, plans_path, uses_path, NULL), 0);
  unlink (plans_path);
  unlink (uses_path);
  for (size_t i = 0; i < 3; i++)
    nodes[i] = cluster_node (cluster, domains[i], NULL);
}

/* Sends one PEER_QUOTA call. Returns 1 if the request is granted, 0 if not, or
   a negative error. Sets *@hint to the owner to call instead, if the node
   names one; free it with str_free(). */
static int
call_quota (struct str addr, const struct quota_args *args, struct str *hint)
{
  struct quota_res *res = NULL;
  int rc = cluster_rpc_receive (cluster_rpc_send (addr, PEER_QUOTA, args),
                                PEER_QUOTA, CALL_MS, hint, (void **)&res);

  if (res)
    {
      rc = res->granted > 0;
      rpcmsg_free (PEER_QUOTA, RPCMSG_RESULT, res);
    }
  return rc;
}

/* Sends a PEER_QUOTA call to node @first and follows redirects to the owner.
   Writes the address of the last node called to @answered. The result is that
   of call_quota(). */
static int
call_quota_owner (size_t first, const struct quota_args *args,
                  char answered[32])
{
  struct str addr = str_dup (str_from (nodes[first]->bus_addr));
  int rc = -ESTALE;

  for (int hop = 0; hop < REDIRECTS_MAX && rc == -ESTALE && addr.len > 0;
       hop++)
    {
      struct str hint;

      rc = call_quota (addr, args, &hint);
      snprintf (answered, 32, STR_FMT, STR_ARG (addr));
      str_free (&addr);
      addr = hint;
    }
  str_free (&addr);
  return rc;
}

static int
take_request (size_t first, const char *customer, uint64_t id,
              char answered[32])
{
  const struct quota_args args
      = { .customer = TEXT_STR (str_from (customer)), .take = id };

  return call_quota_owner (first, &args, answered);
}

static void
finish_request (const char *addr, const char *customer, uint64_t id)
{
  u_quad_t ids[1] = { id };
  const struct quota_args args
      = { .customer = TEXT_STR (str_from (customer)),
          .finished = { .finished_len = 1, .finished_val = ids } };
  struct str hint;

  CU_ASSERT_EQUAL (call_quota (str_from (addr), &args, &hint), 0);
  str_free (&hint);
}

/* Returns true if the requests of customer @ctx reach the same owner from all
   nodes and the owner decides on them. */
static bool
nodes_agree_on_owner (void *ctx)
{
  static uint64_t id = 1u << 20;
  char owners[3][32] = { "", "", "" };

  for (size_t i = 0; i < 3; i++)
    if (take_request (i, ctx, ++id, owners[i]) < 0)
      return false;
  return strcmp (owners[0], owners[1]) == 0
         && strcmp (owners[0], owners[2]) == 0;
}

struct rate_probe
{
  uint64_t last_id;  /* id of the request sent last */
  uint64_t first_ms; /* shortly before the first grant */
  unsigned granted;
  char owner[32];        /* node that granted last */
  char former_owner[32]; /* only a grant of another node ends the wait */
};

/* Requests a grant once from each live node. Returns true if a node other than
   the former owner granted one. */
static bool
take_from_all_nodes (void *ctx)
{
  struct rate_probe *p = ctx;
  bool done = false;

  for (size_t i = 0; i < 3; i++)
    {
      char answered[32] = "";
      const uint64_t now_ms = clock_ms ();

      if (nodes[i]->pid == 0
          || take_request (i, "r", ++p->last_id, answered) != 1)
        continue;
      if (p->granted++ == 0)
        p->first_ms = now_ms;
      memcpy (p->owner, answered, sizeof p->owner);
      done |= strcmp (answered, p->former_owner) != 0;
    }
  return done;
}

static void
check_rate (const struct rate_probe *p)
{
  /* Allows one more request, as the bucket may grant one at either end of the
     interval. */
  const uint64_t allowed
      = BURST + 1 + (clock_ms () - p->first_ms) * RATE_PER_S / 1000;

  CU_ASSERT (p->granted <= allowed);
  if (p->granted > allowed)
    printf ("%u granted, %lu allowed\n", p->granted, allowed);
}

/* Guards against a rate limit that grows with the number of nodes that receive
   a customer's requests, or when the owner of the limit dies. */
static void
test_rate (void)
{
  struct rate_probe p = { 0 };

  start_cluster ();
  CU_ASSERT (cluster_poll_until (nodes_agree_on_owner, "r", WAIT_MS));
  CU_ASSERT (cluster_poll_until (take_from_all_nodes, &p, WAIT_MS));
  for (int i = 0; i < 200; i++)
    take_from_all_nodes (&p);
  check_rate (&p);
  for (size_t i = 0; i < 3; i++)
    if (strcmp (nodes[i]->bus_addr, p.owner) == 0)
      cluster_kill (nodes[i]);
  memcpy (p.former_owner, p.owner, sizeof p.owner);
  CU_ASSERT (cluster_poll_until (take_from_all_nodes, &p, WAIT_MS));
  for (int i = 0; i < 200; i++)
    take_from_all_nodes (&p);
  check_rate (&p);
  cluster_destroy (cluster);
}

struct slot
{
  uint64_t id;
  char answered[32];
};

static bool
take_slot (void *ctx)
{
  struct slot *s = ctx;

  return take_request (s->id % 3, "c", s->id, s->answered) == 1;
}

/* Guards against more requests in flight than the plan allows, and against
   slots that are never released. */
static void
test_in_flight (void)
{
  struct slot slots[4] = { { 1, "" }, { 2, "" }, { 3, "" }, { 4, "" } };

  start_cluster ();
  /* The slots that this wait takes are not renewed and expire. */
  CU_ASSERT (cluster_poll_until (nodes_agree_on_owner, "c", WAIT_MS));
  CU_ASSERT (cluster_poll_until (take_slot, &slots[0], WAIT_MS));
  CU_ASSERT (cluster_poll_until (take_slot, &slots[1], WAIT_MS));
  CU_ASSERT_FALSE (take_slot (&slots[2]));
  CU_ASSERT_FALSE (take_slot (&slots[3]));
  /* A repeat of a request in flight, for example after a lost response, is
     granted. */
  CU_ASSERT (take_slot (&slots[1]));
  finish_request (slots[1].answered, "c", 1);
  CU_ASSERT (cluster_poll_until (take_slot, &slots[2], WAIT_MS));
  CU_ASSERT_FALSE (take_slot (&slots[3]));
  /* The slots expire because they are not renewed, as after the death of the
     entry node. */
  CU_ASSERT (cluster_poll_until (take_slot, &slots[3], WAIT_MS));
  cluster_destroy (cluster);
}

static const struct suite_case cases[] = {
  { "rate over all nodes", test_rate },
  { "requests in flight over all nodes", test_in_flight },
};
TEST_SUITE ("limits", cases)
