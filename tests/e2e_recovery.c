#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "cluster_fleet.h"
#include "suite.h"

/* Recovery of configuration, claims and connections, also from two failures at
   a time. */

#define EDIT "tests/lists/small/uses-edit-a.json"
#define PLANS "tests/lists/small/plans.json"
#define PAUSE_US 4000000

static struct fleet fleet;

/* ---- configuration ---- */

static json_int_t
revision_of (const struct cluster_proc *node)
{
  return cluster_json_int (node, "/admin/status", "revision");
}

static int
apply_edit (const struct cluster_proc *node)
{
  char http_addr[48];

  snprintf (http_addr, sizeof http_addr, "%s", node->url + strlen ("http://"));
  return cluster_apply (fleet.cluster, PLANS, EDIT,
                        CLUSTER_FLAGS ("--wait", "--node", http_addr));
}

/* Guards against a node that returns to an older revision when it restarts
   while the store serves stale reads or is down. */
static void
test_revision_never_decreases (void)
{
  static const char *const faults[]
      = { "{\"stale_reads\":50,\"prefix\":\"config/\"}", "{\"down\":true}" };

  if (fleet_start (&fleet, NULL))
    {
      CU_ASSERT_EQUAL (apply_edit (fleet.nodes[0]), 0);
      for (size_t i = 0; i < FLEET_NODES; i++)
        {
          struct cluster_proc *node = fleet.nodes[i];

          CU_ASSERT_EQUAL (revision_of (node), 2);
          cluster_set_faults (fleet.cluster, faults[i % 2]);
          cluster_kill (node);
          CU_ASSERT_TRUE (cluster_restart (node));
          CU_ASSERT_TRUE (cluster_ready (fleet.cluster));
          CU_ASSERT_EQUAL (revision_of (node), 2);
          cluster_set_faults (fleet.cluster, "{}");
        }
    }
  fleet_stop (&fleet);
}

/* Guards against an edit that does not reach the live nodes after half of the
   relays died. apply --wait fails after 11 s, the bound of the design. */
static void
test_edit_while_relays_die (void)
{
  if (fleet_start (&fleet, NULL))
    {
      cluster_kill (fleet.nodes[0]);
      cluster_kill (fleet.nodes[1]);
      CU_ASSERT_EQUAL (apply_edit (fleet.nodes[2]), 0);
      CU_ASSERT_EQUAL (revision_of (fleet.nodes[2]), 2);
      CU_ASSERT_EQUAL (revision_of (fleet.nodes[3]), 2);
      CU_ASSERT_TRUE (cluster_restart (fleet.nodes[0]));
      CU_ASSERT_TRUE (cluster_ready (fleet.cluster));
      CU_ASSERT_EQUAL (revision_of (fleet.nodes[0]), 2);
    }
  fleet_stop (&fleet);
}

/* ---- claims ---- */

#define KEYS 12

/* Guards against a second run of a call when the node that owns partitions of
   the keys is killed, or is frozen until its leases have expired, resumes and
   serves repeats of the same keys. */
static void
check_claims_owner_lost (bool freeze)
{
  const struct fleet_options options = { .node_flags = fleet_short_leases };
  char key[KEYS][16];

  if (fleet_start (&fleet, &options))
    {
      struct cluster_reply r = fleet_release (fleet.nodes[0], "warm", "go");
      CU_ASSERT_EQUAL (r.status, 200);
      cluster_reply_free (&r);
      struct cluster_proc *owner = fleet_lease_holder (&fleet, "claims/0");
      CU_ASSERT_PTR_NOT_NULL (owner);
      if (owner)
        {
          struct cluster_proc *other
              = owner == fleet.nodes[0] ? fleet.nodes[1] : fleet.nodes[0];
          for (size_t i = 0; i < KEYS; i++)
            {
              snprintf (key[i], sizeof key[i], "k-%zu", i);
              r = fleet_release (i % 2 == 0 ? owner : other, key[i], "go");
              /* The first calls after the loss succeed too: the takeover takes
                 less time than the deadline of the class. */
              CU_ASSERT_EQUAL (r.status, 200);
              if (r.status != 200)
                printf (" %s: status %ld " STR_FMT "\n", key[i], r.status,
                        STR_ARG (buf_str (&r.body)));
              cluster_reply_free (&r);
              if (i == KEYS / 2)
                cluster_signal (owner, freeze ? SIGSTOP : SIGKILL);
              if (i >= KEYS / 2)
                owner = other;
            }
          usleep (PAUSE_US);
          for (size_t i = 0; i < FLEET_NODES; i++)
            cluster_signal (fleet.nodes[i], SIGCONT);
          for (size_t n = 0; n < FLEET_NODES * KEYS; n++)
            {
              const struct cluster_proc *node = fleet.nodes[n % FLEET_NODES];

              if (node->pid == 0)
                continue;
              r = fleet_release (node, key[n / FLEET_NODES], "go");
              cluster_reply_free (&r);
            }
          for (size_t i = 0; i < KEYS; i++)
            CU_ASSERT_TRUE (fleet_execution_count (&fleet, key[i]) <= 1);
          r = fleet_release (other, "after", "go");
          CU_ASSERT_EQUAL (r.status, 200);
          cluster_reply_free (&r);
        }
    }
  fleet_stop (&fleet);
}

static void
test_claims_owner_frozen (void)
{
  check_claims_owner_lost (true);
}

static void
test_claims_owner_killed (void)
{
  check_claims_owner_lost (false);
}

/* ---- silent connections ---- */

/* Guards against requests that wait on connections that have gone silent
   permanently, while new connections work. */
static void
test_silent_connections (void)
{
  if (fleet_start (&fleet, NULL))
    {
      struct cluster_reply r
          = fleet_chat (fleet.nodes[0], "lm-1", "before", true);
      CU_ASSERT_TRUE (fleet_reply_complete (&r, "before"));
      cluster_reply_free (&r);
      struct cluster_request *slow_call
          = fleet_chat_start (fleet.nodes[1], "lm-1", "SLOW 1000 open", true);
      usleep (300000);
      for (size_t i = 0; i < FLEET_ENGINES; i++)
        {
          r = cluster_http (fleet.engines[i], "POST", "/silence", NULL, "",
                            FLEET_CALL_MS);
          cluster_reply_free (&r);
        }
      r = cluster_http (fleet.store, "POST", "/silence", NULL, "",
                        FLEET_CALL_MS);
      cluster_reply_free (&r);
      for (size_t i = 0; i < FLEET_NODES; i++)
        {
          r = fleet_chat (fleet.nodes[i], "lm-1", "after", i % 2 == 0);
          CU_ASSERT_TRUE (fleet_reply_complete (&r, "after"));
          if (!fleet_reply_complete (&r, "after"))
            printf (" status %ld " STR_FMT "\n", r.status,
                    STR_ARG (buf_str (&r.body)));
          cluster_reply_free (&r);
          r = fleet_release (fleet.nodes[i], "after-silence", "go");
          cluster_reply_free (&r);
        }
      r = cluster_http_wait (slow_call);
      CU_ASSERT_TRUE (fleet_reply_complete (&r, "SLOW 1000 open")
                      || fleet_ran (&r, "may-have"));
      cluster_reply_free (&r);
      CU_ASSERT_TRUE (fleet_execution_count (&fleet, "after-silence") <= 1);
    }
  fleet_stop (&fleet);
}

/* Returns true if a node reports all nodes as alive. */
static bool
all_members_alive (void *ctx)
{
  const struct cluster_proc *node = ctx;
  json_t *status = cluster_get_json (node, "/admin/status");
  json_t *members = json_object_get (status, "members");
  size_t alive = 0;
  size_t i;
  json_t *m;

  json_array_foreach (members, i, m)
  {
    const char *state = json_string_value (json_object_get (m, "state"));
    alive += state && strcmp (state, "alive") == 0;
  }
  json_decref (status);
  return alive == FLEET_NODES;
}

/* Guards against a paused node that stays declared dead after it resumes, and
   against requests lost because other nodes still send to it. */
static void
test_paused_node_rejoins (void)
{
  if (fleet_start (&fleet, NULL))
    {
      struct cluster_reply r;

      cluster_signal (fleet.nodes[3], SIGSTOP);
      for (size_t i = 0; i < 24; i++)
        {
          r = fleet_chat (fleet.nodes[i % 3], i % 2 == 0 ? "lm-1" : "lm-3",
                          "while paused", false);
          CU_ASSERT_TRUE (fleet_reply_complete (&r, "while paused"));
          cluster_reply_free (&r);
          usleep (250000);
        }
      cluster_signal (fleet.nodes[3], SIGCONT);
      for (size_t i = 0; i < FLEET_NODES; i++)
        CU_ASSERT_TRUE (cluster_poll_until (all_members_alive, fleet.nodes[i],
                                            FLEET_CALL_MS));
      r = fleet_chat (fleet.nodes[3], "lm-1", "back", false);
      CU_ASSERT_TRUE (fleet_reply_complete (&r, "back"));
      cluster_reply_free (&r);
      fleet_check_limits (&fleet);
    }
  fleet_stop (&fleet);
}

static const struct suite_case cases[] = {
  { "no node goes back to an older revision", test_revision_never_decreases },
  { "edit while relays die", test_edit_while_relays_die },
  { "owner of claims frozen", test_claims_owner_frozen },
  { "owner of claims killed", test_claims_owner_killed },
  { "silent connections", test_silent_connections },
  { "paused node rejoins", test_paused_node_rejoins },
};
TEST_SUITE ("recovery", cases)
