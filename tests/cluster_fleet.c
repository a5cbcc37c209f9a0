#include "cluster_fleet.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "suite.h"

#define PLANS "tests/lists/small/plans.json"
#define USES "tests/lists/small/uses.json"
#define HEADER_BYTES 128

const char *const fleet_short_leases[] = { "--lease-ttl-ms",
                                           "1500",
                                           "--lease-margin-ms",
                                           "300",
                                           "--drain-delay-ms",
                                           "300",
                                           NULL };

static const char *const domains[] = { "a", "b", "c", "a" };

static bool
start_targets (struct fleet *f, const struct fleet_options *o)
{
  for (size_t i = 0; i < FLEET_ENGINES; i++)
    {
      f->engines[i] = cluster_engine (
          f->cluster, "engines", domains[i],
          o->engine_flags
              ? o->engine_flags
              : CLUSTER_FLAGS ("--memory", "100", "--slots", "4", "--load-ms",
                               "200", "--token-ms", "5", "--tokens", "12"));
      if (!f->engines[i])
        return false;
    }
  f->service = cluster_service (f->cluster, "stage", "a",
                                o->service_flags ? o->service_flags
                                                 : CLUSTER_FLAGS ());
  return f->service != NULL;
}

bool
fleet_start (struct fleet *f, const struct fleet_options *options)
{
  static const struct fleet_options defaults;
  const struct fleet_options *o = options ? options : &defaults;

  *f = (struct fleet){ 0 };
  f->cluster = cluster_create ("test");
  f->store
      = cluster_store (f->cluster, CLUSTER_FLAGS ("--loads-per-s", "50",
                                                  "--loads-at-once", "4"));
  if (!f->store || !start_targets (f, o) || !cluster_put_hosts (f->cluster))
    return false;
  const int rc = cluster_apply (f->cluster, PLANS, o->uses ? o->uses : USES,
                                CLUSTER_FLAGS ());
  CU_ASSERT_EQUAL (rc, 0);
  for (size_t i = 0; i < FLEET_NODES; i++)
    f->nodes[i]
        = cluster_node (f->cluster, domains[i],
                        o->node_flags ? o->node_flags : CLUSTER_FLAGS ());
  const bool ready = cluster_ready (f->cluster);
  CU_ASSERT_TRUE (ready);
  return ready && rc == 0;
}

void
fleet_stop (struct fleet *f)
{
  if (f->cluster)
    cluster_destroy (f->cluster);
  f->cluster = NULL;
}

/* ---- calls ---- */

static const char *const chat_headers[]
    = { "Authorization: Bearer key-opera", "Content-Type: application/json",
        NULL };

static struct str
chat_body (const char *model, const char *text, bool stream)
{
  return str_printf ("{\"model\":\"%s\",\"stream\":%s,\"messages\":[{\"role\":"
                     "\"user\",\"content\":\"%s\"}]}",
                     model, stream ? "true" : "false", text);
}

struct cluster_request *
fleet_chat_start (const struct cluster_proc *node, const char *model,
                  const char *text, bool stream)
{
  struct str body = chat_body (model, text, stream);
  struct cluster_request *call
      = cluster_http_start (node, "POST", "/v1/chat/completions", chat_headers,
                            body.data, FLEET_CALL_MS);

  str_free (&body);
  return call;
}

struct cluster_reply
fleet_chat (const struct cluster_proc *node, const char *model,
            const char *text, bool stream)
{
  return cluster_http_wait (fleet_chat_start (node, model, text, stream));
}

struct cluster_request *
fleet_release_start (const struct cluster_proc *node, const char *key,
                     const char *body)
{
  char header[HEADER_BYTES];
  const char *headers[] = { "Authorization: Bearer key-opera", NULL, NULL };

  if (key)
    {
      snprintf (header, sizeof header, "Idempotency-Key: %s", key);
      headers[1] = header;
    }
  return cluster_http_start (node, "POST", "/services/stage/release", headers,
                             body, FLEET_CALL_MS);
}

struct cluster_reply
fleet_release (const struct cluster_proc *node, const char *key,
               const char *body)
{
  return cluster_http_wait (fleet_release_start (node, key, body));
}

/* ---- checks ---- */

bool
fleet_reply_complete (const struct cluster_reply *r, const char *text)
{
  /* The engine stand-in includes a hash of the prompt in its response. */
  struct str prompt_hash = str_printf (
      "%016llx", (unsigned long long)str_hash (str_from (text), 0));
  const bool stream = cluster_contains (r, "chat.completion.chunk");
  const bool complete = r->error == CURLE_OK && r->status == 200
                        && cluster_contains (r, prompt_hash.data)
                        && (!stream || cluster_contains (r, "[DONE]"));

  str_free (&prompt_hash);
  return complete;
}

bool
fleet_ran (const struct cluster_reply *r, const char *ran)
{
  return str_eq (cluster_header (r, "x-galenagate-ran"), str_from (ran));
}

json_int_t
fleet_sum_counts (const struct fleet *f, const char *member)
{
  json_int_t sum = 0;

  for (size_t i = 0; i < FLEET_ENGINES; i++)
    if (f->engines[i]->pid != 0)
      {
        const json_int_t n
            = cluster_json_int (f->engines[i], "/counts", member);

        sum += n > 0 ? n : 0;
      }
  return sum;
}

json_int_t
fleet_execution_count (const struct fleet *f, const char *key)
{
  struct str member = str_printf ("keys/%s", key);
  const json_int_t n = cluster_json_int (f->service, "/counts", member.data);

  str_free (&member);
  return n > 0 ? n : 0;
}

struct cluster_proc *
fleet_lease_holder (const struct fleet *f, const char *lease)
{
  struct str path = str_printf ("/objects/lease/%s", lease);
  json_t *json = cluster_get_json (f->store, path.data);
  const char *holder = json_string_value (json_object_get (json, "holder"));
  struct cluster_proc *node = NULL;

  for (size_t i = 0; holder && i < FLEET_NODES; i++)
    if (strcmp (holder, f->nodes[i]->bus_addr) == 0)
      node = f->nodes[i];
  json_decref (json);
  str_free (&path);
  return node;
}

size_t
fleet_running_engines (const struct fleet *f)
{
  size_t n = 0;

  for (size_t i = 0; i < FLEET_ENGINES; i++)
    n += f->engines[i]->pid != 0 && cluster_wait_exit (f->engines[i], 0) < 0;
  return n;
}

void
fleet_check_limits (const struct fleet *f)
{
  CU_ASSERT_EQUAL (fleet_sum_counts (f, "violations"), 0);
  CU_ASSERT_EQUAL (fleet_sum_counts (f, "replica_violations"), 0);
  CU_ASSERT_EQUAL (fleet_sum_counts (f, "repeated"), 0);
}
