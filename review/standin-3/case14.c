#define _GNU_SOURCE
#include "client.h"
#include "kit.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* LOST: streams that clients take up again, while servers of their software
   version serve. A change of the configuration sends most new requests of the
   route from one service to another one, which has servers of two versions.
   Then connections at one node are reset, and the clients take their streams
   up at another node. */

#define STREAMS 40
#define EVENTS "140"
#define GAP_MS "100"
#define APPLY_MS 3500 /* after the change; config_apply_ms is 2,000 */
#define NEW_STREAMS 40
#define NEW_GAP_MS 50
#define TAKEN_UP_LEAST 12

static const char config[]
    = "{\"version\":%d,\"routes\":[{\"name\":\"s\",\"hostname\":"
      "\"test.example\",\"path_prefix\":\"/s/\",\"route_type\":\"streaming\","
      "\"timeout_ms\":20000,\"latency_target_ms\":500,\"priority\":1,"
      "\"weighted_services\":[{\"service\":\"lm-y\",\"weight\":%d},"
      "{\"service\":\"lm-x\",\"weight\":%d}],\"max_attempts\":2,\"sticky\":"
      "true,\"resumable\":true,\"gap_aim_ms\":150}],\"services\":[{\"name\":"
      "\"lm-y\",\"health_path\":\"/health\",\"max_connections\":370},{"
      "\"name\":\"lm-x\",\"health_path\":\"/health\",\"max_connections\":370}"
      "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
      "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

static struct stream streams[STREAMS];
static struct stream new_streams[NEW_STREAMS];
static volatile bool reset_now;

static pid_t
start_server (const char *id, const char *version, const char *service)
{
  char port[16];
  char store[16];

  snprintf (port, sizeof port, "%d", free_port ());
  snprintf (store, sizeof store, "%d", store_port);
  char *argv[] = { "target/review-3/server", port, (char *)id,
                   (char *)version, (char *)service, store,
                   (char *)tmp_path ("runs.log"), EVENTS, GAP_MS, NULL };
  rec ("server %s of %s starts with version %s at port %s", id, service,
       version, port);
  return spawn (argv, NULL, tmp_path ("server.log"));
}

static void
put_weights (int version, int y, int x)
{
  char spec[2048];

  snprintf (spec, sizeof spec, config, version, y, x);
  if (!put_object ("config", "main", spec))
    kit_fail ("configuration");
  rec ("configuration %d: %d%% to lm-y, %d%% to lm-x", version, y, x);
}

static void
begin (struct stream *s, const char *kind, int i, int node, int next)
{
  snprintf (s->id, sizeof s->id, "%s-%d", kind, i + 1);
  s->path = "/s/x";
  s->front = nodes[node].front;
  s->next_front = nodes[next].front;
  s->gap_ms = 2000;
  stream_begin (s);
}

int
main (int argc, char **argv)
{
  pid_t pids[4];
  int taken_up = 0;
  int went_on = 0;
  int began = 0;

  if (argc != 2)
    return NOT_RUN;
  kit_begin (argv[1], NULL);
  pids[0] = start_server ("i-a", "v1", "lm-y");
  pids[1] = start_server ("i-b", "v1", "lm-y");
  pids[2] = start_server ("i-c", "v1", "lm-x");
  pids[3] = start_server ("i-d", "v2", "lm-x");
  sleep_ms (300);
  put_weights (7, 100, 0);
  for (int i = 0; i < 3; i++)
    start_node (i, store_port);
  for (int i = 0; i < 3; i++)
    if (!wait_ready (i, 8000))
      kit_fail ("nodes are not ready");
  sleep_ms (5000);
  for (int i = 0; i < STREAMS; i++)
    {
      streams[i].reset = i % 2 == 0 ? &reset_now : NULL;
      begin (&streams[i], "stream", i, 1, 0);
    }
  sleep_ms (1000);
  if (trouble)
    put_weights (9, 10, 90);
  sleep_ms (APPLY_MS);
  rec ("half of the connections at node %s are reset", nodes[1].name);
  reset_now = true;
  for (int i = 0; i < NEW_STREAMS; i++)
    {
      begin (&new_streams[i], "new", i, 0, 0);
      sleep_ms (NEW_GAP_MS);
    }
  streams_wait ();
  for (int i = 0; i < 4; i++)
    if (!running (pids[i]))
      kit_fail ("a server did not start");
  for (int i = 0; i < STREAMS; i++)
    {
      const struct stream *s = &streams[i];

      rec ("%s: statuses %d %d, %d events by the first attempt, %d in all, %s",
           s->id, s->statuses[0], s->statuses[1], s->events_of_first,
           s->events, s->complete ? "complete" : "not complete");
      if (s->events_of_first > 0 && s->statuses[1] != 0)
        {
          taken_up++;
          went_on += s->events > s->events_of_first;
        }
    }
  for (int i = 0; i < NEW_STREAMS; i++)
    began += new_streams[i].events_of_first > 0;
  rec ("streams taken up: %d, of these went on: %d; new streams: %d, began: "
       "%d",
       taken_up, went_on, NEW_STREAMS, began);
  if (taken_up < TAKEN_UP_LEAST)
    kit_fail ("too few streams were taken up");
  kit_end (went_on * NEW_STREAMS * 2 < began * taken_up ? BROKEN : HELD);
}
