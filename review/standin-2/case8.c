#include "kit.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* A node gets SIGTERM while clients reuse their connections without a pause.
   A request that arrives on a kept connection just after the node's listening
   time is passed on to a server, and its stream is cut when the node exits. */

#define SERVERS 4
#define CLIENTS 64
#define REQUESTS_MAX 64 /* of each client */
#define BEFORE_MS 8000
#define AFTER_MS (GRACE_MS + 1000)
/* A server may still be at work at the end of the grace period on a request
   that was sent no later than this after SIGTERM. */
#define EXCUSED_SENT_MS 3000
#define EVENTS_MIN 30
#define EVENTS_MAX 60

struct sent
{
  char id[32];
  int64_t sent_ms;
  int64_t end_ms;
  bool complete;
};

struct client
{
  unsigned seed;
  int count;
  struct sent sent[REQUESTS_MAX];
};

static struct client clients[CLIENTS];
static volatile int64_t stop_ms;

static void
send_stream (int fd, struct client *c, struct sent *s)
{
  const int events = EVENTS_MIN
                     + (int)(rand_r (&c->seed) % (EVENTS_MAX - EVENTS_MIN + 1));
  char text[768];

  new_id (s->id);
  const int n = snprintf (
      text, sizeof text,
      "POST /chat/%d/1 HTTP/1.1\r\nHost: co.example\r\n"
      "X-Galenagate-Attempt-Id: %s\r\nX-Galenagate-Deadline-Ms: 12000\r\n"
      "X-Galenagate-Model: m1\r\nX-Galenagate-Token-Usage: 543,%d\r\n"
      "X-Galenagate-Prompt-Prefix: p1:103,q%u:68,%s:372\r\n"
      "Content-Length: 5\r\n\r\nhello",
      events, s->id, events * 6, rand_r (&c->seed) % 130, s->id);
  s->sent_ms = now_ms ();
  record ("client sends %s events=%d", s->id, events);
  send_all (fd, text, (size_t)n);
}

/* Sends one request after the other on one connection, each as soon as the
   answer before is complete, until the node closes it. */
static void *
run_client (void *arg)
{
  struct client *c = arg;
  const int fd = dial (nodes[0].front);

  if (fd < 0)
    return NULL;
  while (now_ms () < stop_ms && c->count < REQUESTS_MAX)
    {
      struct sent *s = &c->sent[c->count];

      send_stream (fd, c, s);
      const struct answer a = read_answer (fd);
      s->end_ms = now_ms ();
      s->complete = a.complete;
      c->count++;
      record ("client gets %s status=%d complete=%d close=%d", s->id,
              a.status, a.complete, a.close);
      if (!a.complete || a.close)
        break;
    }
  close (fd);
  return NULL;
}

/* Returns true if the rule counts the request as lost. */
static bool
is_lost (const struct sent *s, int64_t term_ms)
{
  char runs[48];

  if (s->complete || s->end_ms < term_ms
      || s->end_ms > term_ms + GRACE_MS + 1000)
    return false;
  snprintf (runs, sizeof runs, "runs %s ", s->id);
  if (record_count ("server", runs) == 0)
    return false; /* not passed on: it crossed the close */
  return s->sent_ms > term_ms + EXCUSED_SENT_MS;
}

int
main (void)
{
  struct server servers[SERVERS];
  pthread_t threads[CLIENTS];
  int64_t term_ms;
  int answered = 0;
  int incomplete = 0;
  int lost = 0;

  start_record (getenv ("RECORD"));
  start_deployment ();
  for (int i = 0; i < SERVERS; i++)
    start_server (&servers[i], i + 1, true);
  await_nodes ();
  stop_ms = INT64_MAX;
  for (int i = 0; i < CLIENTS; i++)
    {
      clients[i].seed = (unsigned)(i + 1);
      pthread_create (&threads[i], NULL, run_client, &clients[i]);
      usleep (50000);
    }
  usleep (BEFORE_MS * 1000);
  term_ms = now_ms ();
  if (trouble ())
    {
      record ("SIGTERM to node-1");
      kill (nodes[0].pid, SIGTERM);
      usleep (AFTER_MS * 1000);
    }
  stop_ms = 0;
  for (int i = 0; i < CLIENTS; i++)
    pthread_join (threads[i], NULL);
  for (int i = 0; i < CLIENTS; i++)
    for (int j = 0; j < clients[i].count; j++)
      {
        const struct sent *s = &clients[i].sent[j];

        answered += s->complete;
        incomplete += !s->complete;
        if (!trouble () && !s->complete)
          lost++;
        if (trouble () && is_lost (s, term_ms))
          {
            lost++;
            record ("lost: %s sent %lld ms after SIGTERM, passed on, cut at "
                    "%lld ms",
                    s->id, (long long)(s->sent_ms - term_ms),
                    (long long)(s->end_ms - term_ms));
          }
      }
  record ("answered=%d incomplete=%d lost=%d", answered, incomplete, lost);
  printf ("answered=%d incomplete=%d lost=%d\n", answered, incomplete, lost);
  stop_all ();
  if (answered == 0)
    return 2;
  return lost > 0 ? 1 : 0;
}
