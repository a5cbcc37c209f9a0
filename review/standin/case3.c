/* The open connections to the store go silent, and just then a server leaves:
   its entry is removed, and it serves on for a while. */

#include "harness.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define NODES 2
#define STAYING_SERVERS 2
#define ROUNDS 7
#define FIRST_ROUND_S 6.0
#define ROUND_S 14.0
/* The rounds begin at different moments of a node's call to the store. */
#define PHASE_S 0.31
/* The server leaves this long after the connections went silent. */
#define LEAVE_AFTER_S 0.1
/* A server that left serves on for this long. */
#define SERVES_ON_S 9.0
#define CLIENTS 3 /* of each node */
#define PAUSE_S 0.02
/* Bounds of the site perchgate. */
#define CONTACT_S 3.0
#define DRAIN_S 2.0
/* Time that the check leaves beyond each bound. */
#define MARGIN_S 0.1
#define REQUESTS_MAX 100000

static const char configuration[]
    = "{\"version\":3,\"routes\":["
      "{\"name\":\"order-view\",\"hostname\":\"mail.example\","
      "\"path_prefix\":\"/order/\",\"route_type\":\"idempotent\","
      "\"timeout_ms\":600,\"latency_target_ms\":100,\"priority\":2,"
      "\"service\":\"counter\",\"max_attempts\":2}],"
      "\"services\":[{\"name\":\"counter\",\"max_connections\":110}],"
      "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
      "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

static struct node nodes[NODES];
static struct server staying[STAYING_SERVERS];
static struct server leaving[ROUNDS];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static double sent_s[REQUESTS_MAX];
static int next_number;
/* Of the current round; 0 before. */
static double silent_s;
static double left_s;
static const struct server *left_server;
static int late_total;
static int late_in_round;
static double latest_s; /* after the server left */
static bool stopped;

/* Returns true if the request breaks DRAIN: it was sent by its client when the
   machines were in touch again, and reaches the server later than drain_ms
   after the store accepted that the server is gone. */
static bool
is_late (const struct server_request *r, double sent)
{
  return left_server == r->server && sent >= silent_s + CONTACT_S + MARGIN_S
         && r->at_s >= left_s + DRAIN_S + MARGIN_S;
}

static bool
run (const struct server_request *r)
{
  const char *dash = strrchr (r->id, '-');
  const int number = dash ? atoi (dash + 1) : 0;
  bool late;

  pthread_mutex_lock (&lock);
  late = number < REQUESTS_MAX && is_late (r, sent_s[number]);
  late_in_round += late;
  if (late && r->at_s - left_s > latest_s)
    latest_s = r->at_s - left_s;
  pthread_mutex_unlock (&lock);
  rec ("run id=%s server=%s%s", r->id, r->server->id, late ? " LATE" : "");
  return true;
}

static void
start_server (struct server *s, const char *kind, int index)
{
  *s = (struct server){ .slots = 6, .work_ms = 15, .run = run };
  snprintf (s->id, sizeof s->id, "i-%s-%d", kind, index + 1);
  snprintf (s->service, sizeof s->service, "counter");
  snprintf (s->domain, sizeof s->domain, "gulf-%c", 'a' + index % 3);
  server_start (s);
  server_register (s);
}

static bool
is_stopped (void)
{
  pthread_mutex_lock (&lock);
  const bool result = stopped;
  pthread_mutex_unlock (&lock);
  return result;
}

static bool
send_request (const struct node *n, int fd)
{
  char id[ID_MAX];
  char extra[256];
  struct answer a;
  int number;

  pthread_mutex_lock (&lock);
  number = next_number++ % REQUESTS_MAX;
  sent_s[number] = now_s ();
  pthread_mutex_unlock (&lock);
  snprintf (id, sizeof id, "c0de-%d", number);
  snprintf (extra, sizeof extra,
            "X-Galenagate-Attempt-Id: %s\r\nX-Galenagate-Deadline-Ms: 600\r\n",
            id);
  rec ("send id=%s node=%s", id, n->name);
  if (!http_exchange (fd, "GET", "/order/7", "mail.example", extra, NULL, &a))
    {
      rec ("closed id=%s", id);
      return false;
    }
  rec ("answer id=%s status=%d", id, a.status);
  return !a.close;
}

static void *
run_client (void *ctx)
{
  const struct node *n = ctx;

  while (!is_stopped ())
    {
      const int fd = connect_to (n->front_port);

      if (fd < 0)
        {
          sleep_until (now_s () + 0.2);
          continue;
        }
      while (!is_stopped () && send_request (n, fd))
        sleep_until (now_s () + PAUSE_S);
      close (fd);
    }
  return NULL;
}

static void
play_round (int index, double at_s)
{
  struct server *s = &leaving[index];
  int connections = 0;

  start_server (s, "leaving", index);
  sleep_until (at_s);
  pthread_mutex_lock (&lock);
  silent_s = now_s ();
  left_s = 1e9;
  left_server = s;
  late_in_round = 0;
  pthread_mutex_unlock (&lock);
  if (trouble ())
    connections = proxy_silence ();
  rec ("silent connections=%d", connections);
  sleep_until (at_s + LEAVE_AFTER_S);
  store_delete ("servers", s->id);
  pthread_mutex_lock (&lock);
  left_s = now_s ();
  pthread_mutex_unlock (&lock);
  sleep_until (at_s + SERVES_ON_S);
  pthread_mutex_lock (&lock);
  late_total += late_in_round;
  rec ("round=%d late=%d", index + 1, late_in_round);
  left_server = NULL;
  pthread_mutex_unlock (&lock);
  /* The server exits. Its connections end with its last answers. */
  shutdown (s->listener, SHUT_RDWR);
}

int
main (int argc, char **argv)
{
  int proxy_port;

  harness_start (argc, argv, 118);
  store_start ();
  proxy_port = proxy_start ();
  store_create ("config", "main", configuration);
  for (int i = 0; i < STAYING_SERVERS; i++)
    start_server (&staying[i], "staying", i);
  for (int i = 0; i < NODES; i++)
    {
      node_init (&nodes[i], i, proxy_port);
      node_start (&nodes[i]);
    }
  for (int i = 0; i < NODES; i++)
    node_wait_ready (&nodes[i]);
  for (int i = 0; i < NODES * CLIENTS; i++)
    {
      pthread_t thread;

      pthread_create (&thread, NULL, run_client, &nodes[i % NODES]);
    }
  for (int i = 0; i < ROUNDS; i++)
    play_round (i, FIRST_ROUND_S + i * (ROUND_S + PHASE_S));
  pthread_mutex_lock (&lock);
  stopped = true;
  pthread_mutex_unlock (&lock);
  sleep_until (now_s () + 1);
  verdict (late_total > 0 ? EXIT_BROKEN : EXIT_HELD,
           "DRAIN: %d requests that clients sent to machines in touch reached "
           "a server later than drain_ms after the store had accepted that it "
           "is gone, the last one %.2f s after it; rounds=%d sent=%d",
           late_total, latest_s, ROUNDS, next_number);
}
