#include "edgecluster.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <CUnit/CUnit.h>

#include "err.h"

#define STORE_WRITE_TIMEOUT_MS 3000
#define MODEL_COUNT 4
#define SLOTS 8 /* of each server */
#define VERSION "v1"
#define LOG_TIMEOUT_MS 15000
#define IDLE_TIMEOUT_MS 15000

struct edgecluster
edgecluster_create (void)
{
  return edgecluster_create_with (NULL);
}

struct edgecluster
edgecluster_create_with (const char *const *store_flags)
{
  struct edgecluster e
      = { .cluster = cluster_create ("test-region"), .version = 3 };

  e.store = cluster_objects (e.cluster, store_flags);
  return e;
}

void
edgecluster_destroy (struct edgecluster *e)
{
  cluster_destroy (e->cluster);
}

static void
send_store_write (const struct edgecluster *e, const char *method,
                  const char *path, const char *body)
{
  static const char *const headers[] = { "X-Test: 1", NULL };
  struct cluster_reply r = cluster_http (e->store, method, path, headers, body,
                                         STORE_WRITE_TIMEOUT_MS);

  CU_ASSERT_EQUAL (r.error, CURLE_OK);
  cluster_reply_free (&r);
}

static struct str
object_path (const char *kind, const char *name)
{
  struct str encoded = str_percent_encode (str_from (name));
  struct str path
      = str_printf ("/objects/%s/" STR_FMT, kind, STR_ARG (encoded));

  str_free (&encoded);
  return path;
}

void
edgecluster_put_object (const struct edgecluster *e, const char *kind,
                        const char *name, const char *spec)
{
  struct str create = str_printf ("/objects/%s", kind);
  struct str replace = object_path (kind, name);
  json_t *metadata = json_pack ("{s:s}", "name", name);
  char *text = json_dumps (metadata, JSON_COMPACT);
  struct str body = str_printf ("{\"metadata\":%s,\"spec\":%s}", text, spec);

  send_store_write (e, "POST", create.data, body.data);
  send_store_write (e, "PUT", replace.data, body.data);
  free (text);
  json_decref (metadata);
  str_free (&create);
  str_free (&replace);
  str_free (&body);
}

void
edgecluster_delete_object (const struct edgecluster *e, const char *kind,
                           const char *name)
{
  struct str path = object_path (kind, name);

  send_store_write (e, "DELETE", path.data, NULL);
  str_free (&path);
}

void
edgecluster_set_faults (const struct edgecluster *e, const char *json)
{
  send_store_write (e, "POST", "/faults", json);
}

static json_t *
route_json (const char *name, const char *type, const char *service,
            uint32_t timeout_ms, int attempts, bool resumable)
{
  struct str prefix = str_printf ("/%s/", name);
  json_t *o = json_pack (
      "{s:s, s:s, s:s, s:s, s:I, s:i, s:i, s:s, s:i, s:b, s:i}", "name", name,
      "hostname", "test.example", "path_prefix", prefix.data, "route_type",
      type, "timeout_ms", (json_int_t)timeout_ms, "latency_target_ms", 200,
      "priority", 1, "service", service, "max_attempts", attempts, "resumable",
      resumable, "gap_aim_ms", 100);

  str_free (&prefix);
  return o;
}

static json_t *
model_json (const char *name)
{
  return json_pack ("{s:s, s:i, s:f, s:i, s:i, s:f, s:f}", "name", name,
                    "weights_mb", 40, "load_s", 0.1, "adapters", 4,
                    "adapter_mb", 1, "warm_s", 0.05, "disk_s", 0.05);
}

static json_t *
engine_json (const char *const *more_models)
{
  json_t *models = json_array ();

  for (int i = 1; i <= MODEL_COUNT; i++)
    {
      char name[8];

      snprintf (name, sizeof name, "m%d", i);
      json_array_append_new (models, model_json (name));
    }
  for (; more_models && *more_models; more_models++)
    json_array_append_new (models, model_json (*more_models));
  return json_pack ("{s:i, s:i, s:o, s:i, s:i, s:i}", "slots", 8,
                    "kv_capacity_tokens", 10000, "models", models,
                    "weights_mb", 100, "adapter_slots", 2, "loads_per_s", 50);
}

void
edgecluster_configure (struct edgecluster *e, uint32_t timeout_ms)
{
  edgecluster_configure_idle (e, timeout_ms, IDLE_TIMEOUT_MS);
}

void
edgecluster_configure_idle (struct edgecluster *e, uint32_t timeout_ms,
                            uint32_t idle_timeout_ms)
{
  struct str marker = str_printf ("v%lu", e->version);
  json_t *routes = json_pack (
      "[o, o, o, o, o, o, o]",
      route_json ("plain", "idempotent", "plain", timeout_ms, 2, false),
      route_json ("once", "non_idempotent", "plain", timeout_ms, 1, false),
      route_json ("stream", "streaming", "lm", timeout_ms, 2, true),
      route_json ("stream3", "streaming", "lm", timeout_ms, 3, true),
      route_json ("whole", "streaming", "lm", timeout_ms, 1, false),
      route_json (marker.data, "idempotent", "plain", timeout_ms, 1, false),
      route_json ("open", "idempotent", "plain", timeout_ms, 1, false));
  json_t *services
      = json_pack ("[{s:s, s:i}, {s:s, s:i, s:o}]", "name", "plain",
                   "max_connections", 100, "name", "lm", "max_connections",
                   100, "engine", engine_json (e->more_models));
  json_t *spec = json_pack (
      "{s:I, s:o, s:o, s:{s:i, s:i, s:i, s:i}}", "version",
      (json_int_t)e->version, "routes", routes, "services", services, "limits",
      "max_header_bytes", 16384, "max_body_bytes",
      e->max_body_bytes > 0 ? (int)e->max_body_bytes : 1048576,
      "header_timeout_ms", 3000, "idle_timeout_ms", (int)idle_timeout_ms);

  json_object_set_new (json_array_get (routes, json_array_size (routes) - 1),
                       "allow_anonymous", json_true ());
  if (e->tenants)
    json_object_set_new (spec, "tenants", json_loads (e->tenants, 0, NULL));
  char *text = json_dumps (spec, 0);

  str_free (&marker);
  e->version += 2;
  edgecluster_put_object (e, "config", "main", text);
  free (text);
  json_decref (spec);
}

/* What the entry of a server says besides its address. */
struct server_fields
{
  int slots;
  const char *state;
  const char *models; /* JSON */
  const char *version;
  uint64_t seq;
};

static void
put_server (const struct edgecluster *e, const struct cluster_proc *server,
            const struct server_fields *f)
{
  struct str spec = str_printf (
      "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
      "\"version\":\"%s\",\"slots\":%d,\"state\":\"%s\",\"seq\":%lu,"
      "\"cold_remaining_ms\":0,\"models\":%s}",
      server->service, server->url + strlen ("http://"), server->domain,
      f->version, f->slots, f->state, f->seq, f->models);

  edgecluster_put_object (e, "servers", server->name, spec.data);
  str_free (&spec);
}

void
edgecluster_put_server (const struct edgecluster *e,
                        const struct cluster_proc *server, const char *state,
                        const char *models)
{
  edgecluster_put_server_seq (e, server, state, models, 1);
}

void
edgecluster_put_server_seq (const struct edgecluster *e,
                            const struct cluster_proc *server,
                            const char *state, const char *models,
                            uint64_t seq)
{
  put_server (e, server,
              &(struct server_fields){ .slots = SLOTS,
                                       .state = state,
                                       .models = models,
                                       .version = VERSION,
                                       .seq = seq });
}

void
edgecluster_put_server_version (const struct edgecluster *e,
                                const struct cluster_proc *server,
                                const char *state, const char *models,
                                const char *version)
{
  put_server (e, server,
              &(struct server_fields){ .slots = SLOTS,
                                       .state = state,
                                       .models = models,
                                       .version = version,
                                       .seq = 1 });
}

void
edgecluster_put_server_slots (const struct edgecluster *e,
                              const struct cluster_proc *server, int slots,
                              const char *models)
{
  put_server (e, server,
              &(struct server_fields){ .slots = slots,
                                       .state = "ready",
                                       .models = models,
                                       .version = VERSION,
                                       .seq = 1 });
}

void
edgecluster_put_full_server (const struct edgecluster *e,
                             const struct cluster_proc *server)
{
  edgecluster_put_server_slots (e, server, 0, "[]");
}

/* Header lines of a call, ended by NULL. The model's line is left out if the
   call has no model. */
struct call_headers
{
  char id[96];
  char model[96];
  const char *lines[7];
};

static void
set_call_headers (struct call_headers *h, const char *id, const char *model)
{
  snprintf (h->id, sizeof h->id, "X-Galenagate-Attempt-Id: %s", id);
  snprintf (h->model, sizeof h->model, "X-Galenagate-Model: %s",
            model ? model : "");
  h->lines[0] = "Host: test.example";
  h->lines[1] = "X-Galenagate-Deadline-Ms: 6000";
  h->lines[2] = h->id;
  h->lines[3] = model ? h->model : NULL;
  h->lines[4] = NULL;
}

struct cluster_reply
edgecluster_call (const struct cluster_proc *edge, const char *method,
                  const char *path, const char *id, const char *model,
                  const char *body)
{
  struct call_headers h;

  set_call_headers (&h, id, model);
  return cluster_http (edge, method, path, h.lines, body,
                       EDGE_CALL_TIMEOUT_MS);
}

struct cluster_reply
edgecluster_call_from (const struct cluster_proc *edge, const char *source,
                       const char *method, const char *path, const char *id,
                       const char *body)
{
  struct call_headers h;

  set_call_headers (&h, id, NULL);
  return cluster_http_from (edge, source, method, path, h.lines, body,
                            EDGE_CALL_TIMEOUT_MS);
}

struct cluster_reply
edgecluster_call_for (const struct cluster_proc *edge, const char *method,
                      const char *path, const char *id, const char *body,
                      uint32_t timeout_ms)
{
  struct call_headers h;

  set_call_headers (&h, id, NULL);
  return cluster_http (edge, method, path, h.lines, body, timeout_ms);
}

struct cluster_reply
edgecluster_call_prompt (const struct cluster_proc *edge, const char *path,
                         const char *id, const char *parts)
{
  struct call_headers h;
  struct str line = str_printf ("X-Galenagate-Prompt-Prefix: %s", parts);
  struct cluster_reply r;

  set_call_headers (&h, id, "m1");
  h.lines[4] = line.data;
  h.lines[5] = NULL;
  r = cluster_http (edge, "POST", path, h.lines, parts, EDGE_CALL_TIMEOUT_MS);
  str_free (&line);
  return r;
}

struct cluster_reply
edgecluster_take_up (const struct cluster_proc *edge, const char *path,
                     const char *id, const char *resumes, int last_event)
{
  struct call_headers h;
  char last[32];
  char origin[96];

  set_call_headers (&h, id, "m1");
  snprintf (last, sizeof last, "Last-Event-Id: %d", last_event);
  snprintf (origin, sizeof origin, "Resumes: %s", resumes ? resumes : "");
  h.lines[4] = last;
  h.lines[5] = resumes ? origin : NULL;
  h.lines[6] = NULL;
  return cluster_http (edge, "POST", path, h.lines, "prompt",
                       EDGE_CALL_TIMEOUT_MS);
}

struct cluster_request *
edgecluster_call_begin (const struct cluster_proc *edge, const char *method,
                        const char *path, const char *id, const char *model,
                        const char *body)
{
  struct call_headers h;

  set_call_headers (&h, id, model);
  return cluster_http_start (edge, method, path, h.lines, body,
                             EDGE_CALL_TIMEOUT_MS);
}

json_int_t
edgecluster_run_count (const struct cluster_proc *server, const char *id)
{
  char member[128];

  snprintf (member, sizeof member, "runs/%s", id);

  const json_int_t n = cluster_json_int (server, "/counts", member);

  /* A server omits calls that it never ran, and the count is -1 then. */
  return n > 0 ? n : 0;
}

struct str
edgecluster_whole_stream (void)
{
  return STR ("id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n"
              "id: 4\ndata: e4\n\nid: 5\ndata: e5\n\nid: 6\ndata: e6\n\n"
              "id: 7\ndata: e7\n\nid: 8\ndata: e8\n\n");
}

/* A line expected in a node's log; it contains all @words. */
struct expected_line
{
  const struct cluster_proc *edge;
  const char *const *words;
};

int
edgecluster_log_line (const struct cluster_proc *edge,
                      const char *const *words)
{
  FILE *f = fopen (edge->log, "r");
  char line[4096];
  bool found = false;
  int number = 0;

  while (f && !found && fgets (line, sizeof line, f))
    {
      number++;
      found = true;
      for (size_t i = 0; words[i]; i++)
        found = found && strstr (line, words[i]);
    }
  if (f)
    fclose (f);
  return found ? number : 0;
}

static bool
log_has_line (void *ctx)
{
  const struct expected_line *x = ctx;

  return edgecluster_log_line (x->edge, x->words) > 0;
}

bool
edgecluster_wait_logged (const struct cluster_proc *edge,
                         const char *const *words)
{
  struct expected_line x = { edge, words };

  return cluster_poll_until (log_has_line, &x, LOG_TIMEOUT_MS);
}
