#include "load.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define SERVERS 3
#define RUNS_MAX 200000
#define WORK_MS 100

const char load_configuration[]
    = "{\"version\":3,\"routes\":["
      "{\"name\":\"charge-box\",\"hostname\":\"mail.example\","
      "\"path_prefix\":\"/charge/\",\"route_type\":\"non_idempotent\","
      "\"timeout_ms\":2000,\"latency_target_ms\":500,\"priority\":2,"
      "\"service\":\"counter\",\"max_attempts\":1},"
      "{\"name\":\"care-chat\",\"hostname\":\"mail.example\","
      "\"path_prefix\":\"/care/\",\"route_type\":\"streaming\","
      "\"timeout_ms\":12000,\"latency_target_ms\":500,\"gap_aim_ms\":150,"
      "\"priority\":1,\"service\":\"parlor\",\"max_attempts\":2,"
      "\"resumable\":true,\"sticky\":true}],"
      "\"services\":[{\"name\":\"counter\",\"max_connections\":110},"
      "{\"name\":\"parlor\",\"max_connections\":370,\"engine\":{"
      "\"slots\":64,\"kv_capacity_tokens\":134496,\"weights_mb\":58000,"
      "\"adapter_slots\":8,\"loads_per_s\":4.6,\"models\":[{\"name\":\"m1\","
      "\"weights_mb\":16100,\"load_s\":6.0,\"warm_s\":0.27,\"disk_s\":0.35,"
      "\"adapters\":1,\"adapter_mb\":14}]}}],"
      "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
      "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

static struct server servers[SERVERS];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct load_result counts;
static bool stopped;
/* Run by number of the request, which its id ends with. */
static bool has_run[RUNS_MAX];
static int next_number;

static bool
run (const struct server_request *r)
{
  const char *dash = strrchr (r->id, '-');
  const int number = dash ? atoi (dash + 1) : -1;

  if (number >= 0 && number < RUNS_MAX)
    {
      pthread_mutex_lock (&lock);
      has_run[number] = true;
      pthread_mutex_unlock (&lock);
    }
  rec ("run id=%s server=%s", r->id, r->server->id);
  return true;
}

void
load_servers (void)
{
  static const char *const domains[] = { "gulf-a", "gulf-b", "gulf-c" };

  for (int i = 0; i < SERVERS; i++)
    {
      struct server *s = &servers[i];

      *s = (struct server){ .slots = 16, .work_ms = WORK_MS, .run = run };
      snprintf (s->id, sizeof s->id, "i-counter-%d", i + 1);
      snprintf (s->service, sizeof s->service, "counter");
      snprintf (s->domain, sizeof s->domain, "%s", domains[i]);
      server_start (s);
      server_register (s);
    }
}

static void
count_answer (const struct answer *a)
{
  pthread_mutex_lock (&lock);
  if (a->status == 503 || a->status == 429)
    counts.refused++;
  else
    counts.answered++;
  pthread_mutex_unlock (&lock);
}

static void
count_close (const struct node *n, const char *id, int number, bool kept)
{
  bool ran;

  pthread_mutex_lock (&lock);
  ran = number < RUNS_MAX && has_run[number];
  if (ran && kept)
    counts.lost++;
  else
    counts.lost_sends++;
  pthread_mutex_unlock (&lock);
  rec ("closed id=%s node=%s kept=%d ran=%d", id, n->name, kept, ran);
}

static bool
is_stopped (void)
{
  pthread_mutex_lock (&lock);
  const bool result = stopped;
  pthread_mutex_unlock (&lock);
  return result;
}

/* Sends one request. Returns false if the connection has ended. */
static bool
send_request (const struct node *n, int fd, bool kept)
{
  char id[ID_MAX];
  char extra[256];
  struct answer a;
  int number;

  pthread_mutex_lock (&lock);
  number = next_number++;
  counts.sent++;
  pthread_mutex_unlock (&lock);
  snprintf (id, sizeof id, "c0de-%d", number);
  snprintf (extra, sizeof extra,
            "X-Galenagate-Attempt-Id: %s\r\nX-Galenagate-Deadline-Ms: 2000\r\n",
            id);
  rec ("send id=%s node=%s", id, n->name);
  if (!http_exchange (fd, "POST", "/charge/box", "mail.example", extra, "box",
                      &a))
    {
      count_close (n, id, number, kept);
      return false;
    }
  rec ("answer id=%s node=%s status=%d", id, n->name, a.status);
  count_answer (&a);
  return !a.close;
}

static void *
run_client (void *ctx)
{
  const struct node *n = ctx;

  while (!is_stopped ())
    {
      const int fd = connect_to (n->front_port);
      bool kept = false;

      if (fd < 0)
        {
          pthread_mutex_lock (&lock);
          counts.unreachable++;
          pthread_mutex_unlock (&lock);
          sleep_until (now_s () + 0.2);
          continue;
        }
      while (!is_stopped () && send_request (n, fd, kept))
        kept = true;
      close (fd);
    }
  return NULL;
}

void
load_start (struct node *node, int clients)
{
  for (int i = 0; i < clients; i++)
    {
      pthread_t thread;

      pthread_create (&thread, NULL, run_client, node);
      pthread_detach (thread);
    }
}

void
load_stop (void)
{
  pthread_mutex_lock (&lock);
  stopped = true;
  pthread_mutex_unlock (&lock);
  sleep_until (now_s () + 2.2);
}

struct load_result
load_count (void)
{
  pthread_mutex_lock (&lock);
  const struct load_result result = counts;
  pthread_mutex_unlock (&lock);
  return result;
}
