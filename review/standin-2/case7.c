#include "kit.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* One part of a prompt crashes each server that begins to answer it. The
   system's prompt, with which all prompts of the route begin, is blamed for
   the crashes too, and then all requests of the route are refused. */

#define SERVERS 8
#define SOUND_REQUESTS 40
#define SOUND_GAP_MS 100
/* The route has no traffic for this long before the deadly requests come. */
#define QUIET_MS 33000
#define DEADLY_GAP_MS 500
#define SERVER_BACK_MS 3000
/* The rule counts from 2 x contact_ms after the fifth crash, or the last one.
 */
#define CRASHES_COUNTED 5
#define SETTLE_MS (2 * CONTACT_MS)

static struct server servers[SERVERS];
static volatile bool deadly_on;
static volatile bool supervise_on = true;

/* Sends one request on a connection of its own, and returns the status. */
static int
send_request (const char *what, const char *shared_parts, unsigned *seed)
{
  char text[1024];
  char id[32];
  const int node = (int)(rand_r (seed) % NODES);
  const int fd = dial (nodes[node].front);

  if (fd < 0)
    return 0;
  new_id (id);
  const int n = snprintf (
      text, sizeof text,
      "POST /chat/2/1 HTTP/1.1\r\nHost: co.example\r\n"
      "X-Galenagate-Attempt-Id: %s\r\nX-Galenagate-Deadline-Ms: 12000\r\n"
      "X-Galenagate-Model: m1\r\nX-Galenagate-Token-Usage: 543,48\r\n"
      "X-Galenagate-Prompt-Prefix: %s,%s:250\r\nContent-Length: %zu\r\n\r\n%s",
      id, shared_parts, id, strlen (id), id);
  record ("client sends %s %s to node-%d prefix=%s,...", what, id, node + 1,
          shared_parts);
  send_all (fd, text, (size_t)n);
  const struct answer a = read_answer (fd);
  record ("client gets %s %s status=%d complete=%d %.40s", what, id, a.status,
          a.complete, a.status == 200 ? "" : a.body);
  close (fd);
  return a.complete ? a.status : 0;
}

/* Sends sound requests and returns how many were served. */
static int
send_sound (const char *what)
{
  unsigned seed = 7;
  int served = 0;

  for (int i = 0; i < SOUND_REQUESTS; i++)
    {
      char parts[96];

      snprintf (parts, sizeof parts, "a1:103,b%u:68,c%u:50",
                rand_r (&seed) % 130, rand_r (&seed) % 130);
      served += send_request (what, parts, &seed) == 200;
      usleep (SOUND_GAP_MS * 1000);
    }
  return served;
}

/* No two of the requests are alike but for the part that crashes servers and
   the first one. */
static void *
send_deadly (void *unused)
{
  unsigned seed = 11;

  (void)unused;
  while (deadly_on)
    {
      char parts[96];

      snprintf (parts, sizeof parts, "a1:103,b%u:68,dead:50",
                rand_r (&seed) % 130);
      send_request ("deadly", parts, &seed);
      usleep (DEADLY_GAP_MS * 1000);
    }
  return NULL;
}

/* Starts crashed servers again. */
static void *
supervise (void *unused)
{
  int64_t back_ms[SERVERS] = { 0 };

  (void)unused;
  while (supervise_on)
    {
      for (int i = 0; i < SERVERS; i++)
        if (back_ms[i] == 0 && server_ended (&servers[i]))
          back_ms[i] = now_ms () + SERVER_BACK_MS;
        else if (back_ms[i] > 0 && now_ms () >= back_ms[i])
          {
            restart_server (&servers[i], true);
            back_ms[i] = 0;
          }
      usleep (20000);
    }
  return NULL;
}

/* Waits until the fifth crash, or the last one, is long enough ago. */
static void
await_settled (void)
{
  int64_t crash_ms = now_ms ();
  int crashes = 0;

  while (now_ms () < crash_ms + SETTLE_MS + 1000)
    {
      const int n = record_count ("crashes on", "");

      if (n > crashes && crashes < CRASHES_COUNTED)
        crash_ms = now_ms ();
      crashes = n;
      usleep (100000);
    }
}

int
main (void)
{
  pthread_t deadly;
  pthread_t supervisor;
  int before;
  int during;

  start_record (getenv ("RECORD"));
  start_deployment ();
  for (int i = 0; i < SERVERS; i++)
    start_server (&servers[i], i + 1, true);
  await_nodes ();
  pthread_create (&supervisor, NULL, supervise, NULL);
  before = send_sound ("sound-before");
  record ("quiet");
  usleep (QUIET_MS * 1000);
  deadly_on = trouble ();
  if (trouble ())
    pthread_create (&deadly, NULL, send_deadly, NULL);
  await_settled ();
  record ("sound requests again");
  during = send_sound ("sound-during");
  if (trouble ())
    {
      deadly_on = false;
      pthread_join (deadly, NULL);
    }
  supervise_on = false;
  pthread_join (supervisor, NULL);
  const int crashes = record_count ("crashes on", "");
  record ("served before=%d of %d, during=%d of %d, crashes=%d", before,
          SOUND_REQUESTS, during, SOUND_REQUESTS, crashes);
  printf ("served before=%d of %d, during=%d of %d, crashes=%d\n", before,
          SOUND_REQUESTS, during, SOUND_REQUESTS, crashes);
  stop_all ();
  if (before < SOUND_REQUESTS / 2)
    return 2;
  return during * 2 < before ? 1 : 0;
}
