#define _GNU_SOURCE
#include "client.h"
#include "kit.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* ORDER: streams that hold events of servers of two software versions. Three
   servers of a service have the next version already. The last one crashes and
   starts again, under its id and address, with the next version too. Between
   the rounds the three are upgraded in the same way, one after the other. */

#define ROUNDS 3
#define SERVERS 4
#define LAST (SERVERS - 1)
#define STREAMS 32 /* for each round, over both nodes and all servers */
#define EVENTS "80"
#define GAP_MS "100"
#define START_MS 1500 /* from a crash to the start of the next process */
#define ABANDON_MS 2000 /* gap after which a client gives an attempt up */
#define ALLOWED 2    /* streams that may be mixed */

static const char config[]
    = "{\"version\":%d,\"routes\":[{\"name\":\"s\",\"hostname\":"
      "\"test.example\",\"path_prefix\":\"/s/\",\"route_type\":\"streaming\","
      "\"timeout_ms\":12000,\"latency_target_ms\":500,\"priority\":1,"
      "\"service\":\"lm\",\"max_attempts\":2,\"sticky\":true,\"resumable\":"
      "true,\"gap_aim_ms\":150}],\"services\":[{\"name\":\"lm\","
      "\"health_path\":\"/health\",\"max_connections\":370}],\"limits\":{"
      "\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
      "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

struct server
{
  char id[16];
  int port;
  pid_t pid;
};

static struct server servers[SERVERS];
static struct stream streams[ROUNDS][STREAMS];

static void
start_server (struct server *s, int version)
{
  char port[16];
  char store[16];
  char name[16];

  snprintf (port, sizeof port, "%d", s->port);
  snprintf (store, sizeof store, "%d", store_port);
  snprintf (name, sizeof name, "v%d", version);
  char *argv[] = { "target/review-3/server", port,   s->id,
                   name,                    "lm",   store,
                   (char *)tmp_path ("runs.log"), EVENTS, GAP_MS, NULL };
  s->pid = spawn (argv, NULL, tmp_path ("server.log"));
  rec ("server %s starts with version %s at port %d", s->id, name, s->port);
}

static void
upgrade (struct server *s, int version)
{
  if (!trouble)
    return;
  rec ("server %s crashes", s->id);
  end_process (s->pid, SIGKILL);
  sleep_ms (START_MS);
  start_server (s, version);
}

static void
run_round (int round)
{
  for (int i = 0; i < STREAMS; i++)
    {
      struct stream *s = &streams[round][i];

      snprintf (s->id, sizeof s->id, "r%d-%d", round + 1, i + 1);
      s->path = "/s/x";
      s->front = nodes[i % 2].front;
      s->next_front = nodes[(i + 1) % 2].front;
      s->gap_ms = ABANDON_MS;
      stream_begin (s);
    }
  sleep_ms (1500);
  upgrade (&servers[LAST], round + 2);
  streams_wait ();
  sleep_ms (3000);
  for (int i = 0; round + 1 < ROUNDS && i < LAST; i++)
    {
      upgrade (&servers[i], round + 3);
      sleep_ms (1000);
    }
  sleep_ms (2000);
}

static void
copy_runs (void)
{
  FILE *f = fopen (tmp_path ("runs.log"), "r");
  char line[256];

  while (f && fgets (line, sizeof line, f))
    {
      line[strcspn (line, "\n")] = '\0';
      rec ("servers: %s", line);
    }
  if (f)
    fclose (f);
}

int
main (int argc, char **argv)
{
  char spec[1024];
  int mixed = 0;
  int bad = 0;

  if (argc != 2)
    return NOT_RUN;
  kit_begin (argv[1], NULL);
  for (int i = 0; i < SERVERS; i++)
    {
      snprintf (servers[i].id, sizeof servers[i].id, "i-%c", 'a' + i);
      servers[i].port = free_port ();
      start_server (&servers[i], i == LAST ? 1 : 2);
    }
  sleep_ms (300);
  snprintf (spec, sizeof spec, config, 7);
  if (!put_object ("config", "main", spec))
    kit_fail ("configuration");
  start_node (0, store_port);
  start_node (1, store_port);
  if (!wait_ready (0, 8000) || !wait_ready (1, 8000))
    kit_fail ("nodes are not ready");
  for (int i = 0; i < SERVERS; i++)
    if (!running (servers[i].pid))
      kit_fail ("a server did not start");
  sleep_ms (4000);
  for (int round = 0; round < ROUNDS; round++)
    run_round (round);
  copy_runs ();
  for (int round = 0; round < ROUNDS; round++)
    for (int i = 0; i < STREAMS; i++)
      {
        const struct stream *s = &streams[round][i];

        rec ("stream %s: %d events, versions %s %s %s, %s, statuses %d %d, "
             "%d events by the first attempt",
             s->id, s->events, s->versions[0], s->versions[1], s->versions[2],
             s->complete ? "complete" : "not complete", s->statuses[0],
             s->statuses[1], s->events_of_first);
        mixed += s->version_count > 1;
        bad += s->events == 0;
      }
  rec ("streams that hold events of two versions: %d, allowed: %d; without "
       "an event: %d",
       mixed, ALLOWED, bad);
  if (!trouble && bad > 0)
    kit_fail ("streams fail without the disruption");
  kit_end (mixed > ALLOWED ? BROKEN : HELD);
}
