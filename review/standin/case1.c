/* A client asks for a model that no server has, whose name is long. */

#include "load.h"

#include <stdio.h>
#include <string.h>

#define NODES 3
#define CLIENTS 12 /* of each node */
#define MODEL_NAME_BYTES 300
#define FIRST_REQUEST_S 6.0
#define REQUEST_GAP_S 6.0
#define REQUESTS 3 /* to each node */
#define END_S 25.0
/* LOST allows three requests. */
#define LOST_ALLOWED 3

static struct node nodes[NODES];

static void
ask_for_unknown_model (const struct node *n, int round)
{
  char extra[MODEL_NAME_BYTES + 512];
  char model[MODEL_NAME_BYTES + 1];
  struct answer a;

  memset (model, 'x', MODEL_NAME_BYTES);
  model[MODEL_NAME_BYTES] = '\0';
  snprintf (extra, sizeof extra,
            "X-Galenagate-Attempt-Id: a5c-%s-%d\r\n"
            "X-Galenagate-Deadline-Ms: 12000\r\n"
            "X-Galenagate-Model: %s\r\n"
            "X-Galenagate-Token-Usage: 715,80\r\n"
            "X-Galenagate-Prompt-Prefix: 5c1e07a2:172,91bd3f06:543\r\n",
            n->name, round, model);
  rec ("send unknown model node=%s", n->name);
  http_call (n->front_port, "POST", "/care/x", "mail.example", extra,
             "question", &a);
  rec ("answer unknown model node=%s status=%d", n->name, a.status);
}

struct asker
{
  const struct node *node;
  int round;
};

static void *
run_asker (void *ctx)
{
  const struct asker *a = ctx;

  ask_for_unknown_model (a->node, a->round);
  return NULL;
}

static void
ask_all_nodes (int round)
{
  static struct asker askers[REQUESTS][NODES];

  for (int i = 0; i < NODES; i++)
    {
      pthread_t thread;

      askers[round][i] = (struct asker){ &nodes[i], round };
      pthread_create (&thread, NULL, run_asker, &askers[round][i]);
      pthread_detach (thread);
    }
}

int
main (int argc, char **argv)
{
  struct load_result r;
  int round = 0;
  int ends = 0;
  int nodes_that_ended_often = 0;

  harness_start (argc, argv, 110);
  store_start ();
  store_create ("config", "main", load_configuration);
  load_servers ();
  for (int i = 0; i < NODES; i++)
    {
      node_init (&nodes[i], i, store_port);
      node_start (&nodes[i]);
    }
  for (int i = 0; i < NODES; i++)
    node_wait_ready (&nodes[i]);
  for (int i = 0; i < NODES; i++)
    load_start (&nodes[i], CLIENTS);
  while (now_s () < END_S)
    {
      for (int i = 0; i < NODES; i++)
        node_watch (&nodes[i]);
      if (trouble () && round < REQUESTS
          && now_s () >= FIRST_REQUEST_S + round * REQUEST_GAP_S)
        ask_all_nodes (round++);
      sleep_until (now_s () + 0.02);
    }
  r = load_count ();
  load_stop ();
  for (int i = 0; i < NODES; i++)
    {
      ends += nodes[i].ends;
      nodes_that_ended_often += nodes[i].ends >= 3;
    }
  verdict (r.lost > LOST_ALLOWED ? EXIT_BROKEN : EXIT_HELD,
           "LOST: %d requests of kept connections that a server ran ended "
           "without an answer (allowed: %d); sent=%d answered=%d refused=%d "
           "unreachable=%d; processes that ended by themselves: %d, on %d "
           "nodes three times or more",
           r.lost, LOST_ALLOWED, r.sent, r.answered, r.refused, r.unreachable,
           ends, nodes_that_ended_often);
}
