#include "kit.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* One part of a prompt crashes each server that begins to write an answer on
   it, just after the first event. The node takes the event for a proof that the
   part is sound and never refuses it. */

#define SERVERS 12
#define SOUND_GAP_MS 100
#define SOUND_MAX 400
#define SOUND_EVENTS 20
#define DEADLY_GAP_MS 1000
#define DEADLY_FOR_MS 20000
#define SERVER_BACK_MS 3000
#define CRASHES_COUNTED 5
#define REACHED_ALLOWED 3

static struct server servers[SERVERS];
static volatile bool supervise_on = true;
static int sound_cut;
static int sound_served;

static struct answer
send_request (const char *what, const char *route, int events,
              const char *second_part, unsigned *seed, char id[32])
{
  char text[1024];
  const int node = (int)(rand_r (seed) % NODES);
  const int fd = dial (nodes[node].front);

  if (fd < 0)
    return (struct answer){ 0 };
  new_id (id);
  const int n = snprintf (
      text, sizeof text,
      "POST /%s/%d/1 HTTP/1.1\r\nHost: co.example\r\n"
      "X-Galenagate-Attempt-Id: %s\r\nX-Galenagate-Deadline-Ms: 12000\r\n"
      "X-Galenagate-Model: m1\r\nX-Galenagate-Token-Usage: 543,120\r\n"
      "X-Galenagate-Prompt-Prefix: a1:103,%s:68,%s:372\r\n"
      "Content-Length: %zu\r\n\r\n%s",
      route, events, id, second_part, id, strlen (id), id);
  record ("client sends %s %s to node-%d part=%s", what, id, node + 1,
          second_part);
  send_all (fd, text, (size_t)n);
  const struct answer a = read_answer (fd);
  record ("client gets %s %s status=%d complete=%d", what, id, a.status,
          a.complete);
  close (fd);
  return a;
}

static void *
run_sound (void *arg)
{
  unsigned seed = (unsigned)(intptr_t)arg;
  char part[16];
  char id[32];

  snprintf (part, sizeof part, "b%u", rand_r (&seed) % 130);
  const struct answer a
      = send_request ("sound", "mail", SOUND_EVENTS, part, &seed, id);

  if (a.status == 200 && a.complete)
    __atomic_add_fetch (&sound_served, 1, __ATOMIC_RELAXED);
  else if (a.status == 200)
    __atomic_add_fetch (&sound_cut, 1, __ATOMIC_RELAXED);
  return NULL;
}

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

static void *
run_deadly (void *unused)
{
  const int64_t end = now_ms () + DEADLY_FOR_MS;
  unsigned seed = 11;
  char id[32];

  (void)unused;
  while (now_ms () < end)
    {
      send_request ("deadly", "chat", 8, "dead", &seed, id);
      usleep (DEADLY_GAP_MS * 1000);
    }
  return NULL;
}

/* Returns the time of the fifth crash, 0 if there were fewer. */
static int64_t
fifth_crash_ms (void)
{
  return record_time ("crashes on", CRASHES_COUNTED);
}

int
main (void)
{
  static pthread_t sound[SOUND_MAX];
  pthread_t deadly;
  pthread_t supervisor;
  int count = 0;
  int reached = 0;

  start_record (getenv ("RECORD"));
  crash_after_event = true;
  start_deployment ();
  for (int i = 0; i < SERVERS; i++)
    start_server (&servers[i], i + 1, true);
  await_nodes ();
  pthread_create (&supervisor, NULL, supervise, NULL);
  const int64_t begin = now_ms ();
  if (trouble ())
    pthread_create (&deadly, NULL, run_deadly, NULL);
  for (; count < SOUND_MAX && now_ms () < begin + DEADLY_FOR_MS; count++)
    {
      pthread_create (&sound[count], NULL, run_sound,
                      (void *)(intptr_t)(count + 1));
      usleep (SOUND_GAP_MS * 1000);
    }
  if (trouble ())
    pthread_join (deadly, NULL);
  for (int i = 0; i < count; i++)
    pthread_join (sound[i], NULL);
  supervise_on = false;
  pthread_join (supervisor, NULL);
  const int crashes = record_count ("crashes on", "");
  const int64_t fifth = fifth_crash_ms ();
  if (fifth > 0)
    reached = record_count_after ("crashes on", fifth + CONTACT_MS);
  record ("crashes=%d reached=%d sound=%d served=%d cut=%d", crashes, reached,
          count, sound_served, sound_cut);
  printf ("crashes=%d reached=%d sound=%d served=%d cut=%d\n", crashes,
          reached, count, sound_served, sound_cut);
  stop_all ();
  if (sound_served == 0)
    return 2;
  return reached > REACHED_ALLOWED ? 1 : 0;
}
