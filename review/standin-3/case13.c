#define _GNU_SOURCE
#include "client.h"
#include "kit.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* ORDER: streams that hold events of servers of two software versions over
   the tries of their clients. One node is cut off from the store. Meanwhile a
   server of a new version joins the service; streams begin there at another
   node, some of whose connections are reset, and their clients take them up at
   the node that is cut off. */

#define UPTIME_MS 64000 /* before the cut */
#define CUT_MS 5500
#define JOIN_MS 200 /* from the cut until the new server starts */
#define STREAMS 100
#define STREAM_GAP_MS 50
#define EVENTS "60"
#define GAP_MS "50"
#define BREAK_AFTER 4
#define ALLOWED 2 /* streams that may be mixed */

static const char config[]
    = "{\"version\":7,\"routes\":[{\"name\":\"s\",\"hostname\":"
      "\"test.example\",\"path_prefix\":\"/s/\",\"route_type\":\"streaming\","
      "\"timeout_ms\":12000,\"latency_target_ms\":500,\"priority\":1,"
      "\"service\":\"lm\",\"max_attempts\":2,\"sticky\":true,\"resumable\":"
      "true,\"gap_aim_ms\":150}],\"services\":[{\"name\":\"lm\","
      "\"health_path\":\"/health\",\"max_connections\":370}],\"limits\":{"
      "\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
      "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

static struct stream streams[STREAMS];

static pid_t
start_server (const char *id, const char *version)
{
  char port[16];
  char store[16];

  snprintf (port, sizeof port, "%d", free_port ());
  snprintf (store, sizeof store, "%d", store_port);
  char *argv[] = { "target/review-3/server", port, (char *)id,
                   (char *)version, "lm", store,
                   (char *)tmp_path ("runs.log"), EVENTS, GAP_MS, NULL };
  rec ("server %s starts with version %s at port %s", id, version, port);
  return spawn (argv, NULL, tmp_path ("server.log"));
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
  int mixed = 0;
  int taken_up = 0;
  pid_t pids[3];

  if (argc != 2)
    return NOT_RUN;
  kit_begin (argv[1], NULL);
  struct proxy *proxy = proxy_start (store_port);
  pids[0] = start_server ("i-a", "v1");
  pids[1] = start_server ("i-b", "v1");
  sleep_ms (300);
  if (!put_object ("config", "main", config))
    kit_fail ("configuration");
  start_node (0, proxy_port (proxy));
  start_node (1, store_port);
  start_node (2, store_port);
  for (int i = 0; i < 3; i++)
    if (!wait_ready (i, 8000))
      kit_fail ("nodes are not ready");
  sleep_ms (UPTIME_MS);
  const long begin = now_ms ();
  if (trouble)
    {
      rec ("node %s is cut off from the store", nodes[0].name);
      proxy_set_silent (proxy, true);
    }
  sleep_ms (JOIN_MS);
  pids[2] = start_server ("i-c", "v2");
  for (int i = 0; i < STREAMS; i++)
    {
      struct stream *s = &streams[i];

      snprintf (s->id, sizeof s->id, "s-%d", i + 1);
      s->path = "/s/x";
      s->front = nodes[1].front;
      s->next_front = nodes[0].front;
      s->gap_ms = 2000;
      s->break_after = i % 2 == 0 ? BREAK_AFTER : 0;
      stream_begin (s);
      sleep_ms (STREAM_GAP_MS);
    }
  const long left = begin + CUT_MS - now_ms ();
  if (left > 0)
    sleep_ms (left);
  rec ("node %s answers readiness checks with 200: %s", nodes[0].name,
       wait_ready (0, 500) ? "yes" : "no");
  if (trouble)
    {
      rec ("node %s reaches the store again", nodes[0].name);
      proxy_set_silent (proxy, false);
    }
  streams_wait ();
  for (int i = 0; i < 3; i++)
    if (!running (pids[i]))
      kit_fail ("a server did not start");
  copy_runs ();
  for (int i = 0; i < STREAMS; i++)
    {
      const struct stream *s = &streams[i];

      rec ("stream %s: %d events, versions %s %s, %s, statuses %d %d, %d "
           "events by the first attempt",
           s->id, s->events, s->versions[0], s->versions[1],
           s->complete ? "complete" : "not complete", s->statuses[0],
           s->statuses[1], s->events_of_first);
      mixed += s->version_count > 1;
      taken_up += s->statuses[1] != 0;
    }
  rec ("streams that hold events of two versions: %d, allowed: %d; taken up: "
       "%d",
       mixed, ALLOWED, taken_up);
  kit_end (mixed > ALLOWED ? BROKEN : HELD);
}
