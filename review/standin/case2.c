/* An entry of another writer in the list of servers: its service isn't one of
   the configuration, and the name of its model is long. */

#include "load.h"

#include <stdio.h>
#include <string.h>

#define NODES 3
#define CLIENTS 12 /* of each node */
#define MODEL_NAME_BYTES 300
#define TROUBLE_S 6.0
#define END_S 25.0
/* LOST allows three requests. */
#define LOST_ALLOWED 3

static struct node nodes[NODES];

static void
write_foreign_entry (void)
{
  char name[MODEL_NAME_BYTES + 1];
  char entry[MODEL_NAME_BYTES + 512];

  memset (name, 'x', MODEL_NAME_BYTES);
  name[MODEL_NAME_BYTES] = '\0';
  snprintf (entry, sizeof entry,
            "{\"service\":\"other\",\"address\":\"127.0.0.1:%d\","
            "\"zone\":\"gulf-a\",\"version\":\"v1\",\"slots\":8,"
            "\"state\":\"ready\",\"cold_remaining_ms\":0,\"seq\":1,"
            "\"born\":1764900000000,\"models\":[{\"name\":\"%s\","
            "\"version\":1,\"adapters\":[]}]}",
            free_port (), name);
  store_create ("servers", "i-other-1", entry);
}

int
main (int argc, char **argv)
{
  struct load_result r;
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
  sleep_until (TROUBLE_S);
  if (trouble ())
    write_foreign_entry ();
  while (now_s () < END_S)
    {
      for (int i = 0; i < NODES; i++)
        node_watch (&nodes[i]);
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
