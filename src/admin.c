#include "admin.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "apierror.h"
#include "busconn.h"
#include "caller.h"
#include "claims.h"
#include "config.h"
#include "err.h"
#include "lease.h"
#include "lists.h"
#include "member.h"
#include "metrics.h"
#include "request.h"
#include "scheduler.h"
#include "settings.h"

struct admin
{
  struct kernel *kernel;
  struct requests *requests;
};

static const struct str json_content_type = { "application/json", 16 };
static const struct str text_content_type
    = { "text/plain; charset=utf-8", 25 };

static void
send_body (h2o_req_t *req, int status, struct str type, struct str body)
{
  struct caller *caller = caller_create (req, NULL, NULL);

  caller_send (caller, status, type, body);
  caller_release (caller);
}

/* Takes ownership of @json. */
static void
send_json (h2o_req_t *req, int status, json_t *json)
{
  char *text = json_dumps (json, JSON_INDENT (2) | JSON_SORT_KEYS);
  struct str body = str_printf ("%s\n", text ? text : "{}");

  send_body (req, status, json_content_type, body);
  str_free (&body);
  free (text);
  json_decref (json);
}

static json_t *
json_str (struct str s)
{
  json_t *json = json_stringn (s.data ? s.data : "", s.len);

  return json ? json : json_string ("");
}

/* ---- health ---- */

static void
serve_health (struct admin *a, h2o_req_t *req)
{
  (void)a;
  send_body (req, 200, text_content_type, STR ("ok\n"));
}

static bool
ready (const struct admin *a)
{
  return !kernel_draining (a->kernel) && config_ready (config_get (a->kernel));
}

static void
serve_ready (struct admin *a, h2o_req_t *req)
{
  if (ready (a))
    send_body (req, 200, text_content_type, STR ("ready\n"));
  else
    send_body (req, 503, text_content_type,
               kernel_draining (a->kernel) ? STR ("shutting down\n")
                                           : STR ("no configuration\n"));
}

/* ---- metrics and status ---- */

static void
serve_metrics (struct admin *a, h2o_req_t *req)
{
  struct buf text = { 0 };
  const struct str none = { 0 };

  metrics_set ("galenagate_requests_open", none,
               (double)requests_open (a->requests));
  metrics_set ("galenagate_bus_bytes", none, (double)busconn_total_bytes ());
  metrics_set ("galenagate_config_revision", none,
               (double)config_revision (config_get (a->kernel)));
  metrics_set ("galenagate_config_age_ms", none,
               (double)config_age_ms (config_get (a->kernel)));
  metrics_text (&text);
  send_body (req, 200, text_content_type, buf_str (&text));
  buf_free (&text);
}

static const char *
member_state_name (enum member_state state)
{
  static const char *const names[] = {
    [MEMBER_ALIVE] = "alive",
    [MEMBER_SUSPECT] = "suspect",
    [MEMBER_LEAVING] = "leaving",
    [MEMBER_DEAD] = "dead",
  };

  return names[state];
}

static json_t *
members_json (const struct member_view *view)
{
  json_t *list = json_array ();

  for (size_t i = 0; view && i < view->count; i++)
    {
      const struct member_info *m = &view->members[i];
      json_t *entry = json_object ();

      json_object_set_new (entry, "addr", json_str (m->addr));
      json_object_set_new (entry, "http_addr", json_str (m->http_addr));
      json_object_set_new (entry, "region", json_str (m->region));
      json_object_set_new (entry, "domain", json_str (m->domain));
      json_object_set_new (entry, "state",
                           json_string (member_state_name (m->state)));
      json_object_set_new (entry, "revision",
                           json_integer ((json_int_t)m->revision));
      json_array_append_new (list, entry);
    }
  return list;
}

static void
add_lease (void *ctx, struct str name, bool held, uint64_t fence,
           struct str holder)
{
  json_t *entry = json_object ();

  json_object_set_new (entry, "lease", json_str (name));
  json_object_set_new (entry, "held", json_boolean (held));
  json_object_set_new (entry, "fence", json_integer ((json_int_t)fence));
  json_object_set_new (entry, "holder", json_str (holder));
  json_array_append_new (ctx, entry);
}

static void
add_scheduled (void *ctx, const struct scheduler_info *info)
{
  json_t *entry = json_object ();

  json_object_set_new (entry, "service", json_str (info->service));
  json_object_set_new (entry, "model", json_str (info->model));
  json_object_set_new (entry, "targets",
                       json_integer ((json_int_t)info->targets));
  json_object_set_new (entry, "waiting",
                       json_integer ((json_int_t)info->waiting));
  json_object_set_new (entry, "in_flight",
                       json_integer ((json_int_t)info->in_flight));
  json_array_append_new (ctx, entry);
}

static void
serve_status (struct admin *a, h2o_req_t *req)
{
  const struct settings *s = kernel_settings (a->kernel);
  const struct config *config = config_get (a->kernel);
  json_t *json = json_object ();

  json_object_set_new (json, "node", json_str (s->bus_addr));
  json_object_set_new (json, "instance",
                       json_integer ((json_int_t)kernel_instance (a->kernel)));
  json_object_set_new (json, "ready", json_boolean (ready (a)));
  json_object_set_new (json, "draining",
                       json_boolean (kernel_draining (a->kernel)));
  json_object_set_new (json, "revision",
                       json_integer ((json_int_t)config_revision (config)));
  json_object_set_new (json, "config_age_ms",
                       json_integer ((json_int_t)config_age_ms (config)));
  json_object_set_new (json, "requests_open",
                       json_integer ((json_int_t)requests_open (a->requests)));
  json_object_set_new (
      json, "members",
      members_json (kernel_latest (a->kernel, TOPIC_MEMBERS)));
  json_t *leases = json_array ();
  lease_foreach (lease_get (a->kernel), add_lease, leases);
  json_object_set_new (json, "leases", leases);
  json_t *scheduled = json_array ();
  scheduler_each (scheduler_get (a->kernel), add_scheduled, scheduled);
  json_object_set_new (json, "scheduled", scheduled);
  send_json (req, 200, json);
}

/* ---- explain ---- */

static json_t *
claim_json (const struct claim_res *res)
{
  static const char *const states[] = {
    [CLAIM_DONE] = "done",
    [CLAIM_RUNNING] = "running",
    [CLAIM_UNKNOWN] = "outcome unknown",
    [CLAIM_NONE] = "no record",
  };
  const size_t n = sizeof states / sizeof *states;
  const char *state = (size_t)res->code < n ? states[res->code] : NULL;
  json_t *json = json_object ();

  json_object_set_new (json, "state", json_string (state ? state : "-"));
  json_object_set_new (json, "request_id",
                       json_str (STR_TEXT (res->request_id)));
  json_object_set_new (json, "service", json_str (STR_TEXT (res->service)));
  json_object_set_new (json, "status", json_integer (res->status));
  json_object_set_new (json, "body", json_str (STR_BLOB (res->body)));
  json_object_set_new (json, "claimed_at_ms",
                       json_integer ((json_int_t)res->claimed_at_ms));
  json_object_set_new (json, "settled_at_ms",
                       json_integer ((json_int_t)res->settled_at_ms));
  return json;
}

static void
on_lookup (void *ctx, int err, const struct claim_res *res)
{
  struct caller *caller = ctx;
  char *text = NULL;
  json_t *json;

  if (err == 0)
    json = claim_json (res);
  else
    json = json_pack ("{s:s}", "error", err_str (err));
  text = json_dumps (json, JSON_INDENT (2));
  caller_send (caller, err == 0 ? 200 : 503, json_content_type,
               str_from (text));
  caller_release (caller);
  free (text);
  json_decref (json);
}

static int
hex_digit (char c)
{
  if (c >= '0' && c <= '9')
    return c - '0';
  if (c >= 'a' && c <= 'f')
    return c - 'a' + 10;
  if (c >= 'A' && c <= 'F')
    return c - 'A' + 10;
  return -1;
}

/* Returns the heap-owned value of a query parameter, with %XX decoded. */
static struct str
query_value (const h2o_req_t *req, struct str name)
{
  struct buf out = { 0 };
  size_t pos = req->query_at == SIZE_MAX ? req->path.len : req->query_at + 1;
  const struct str all = { req->path.base, req->path.len };

  while (pos < all.len)
    {
      const char *amp = memchr (all.data + pos, '&', all.len - pos);
      const size_t end = amp ? (size_t)(amp - all.data) : all.len;
      const struct str pair = { all.data + pos, end - pos };

      pos = end + 1;
      if (!str_starts (pair, name) || pair.len <= name.len
          || pair.data[name.len] != '=')
        continue;
      for (size_t i = name.len + 1; i < pair.len; i++)
        {
          char c = pair.data[i];

          if (c == '%' && i + 2 < pair.len && hex_digit (pair.data[i + 1]) >= 0
              && hex_digit (pair.data[i + 2]) >= 0)
            {
              c = (char)(hex_digit (pair.data[i + 1]) * 16
                         + hex_digit (pair.data[i + 2]));
              i += 2;
            }
          buf_append (&out, (struct str){ &c, 1 });
        }
    }
  struct str value = str_dup (buf_str (&out));
  buf_free (&out);
  return value;
}

static void
serve_explain (struct admin *a, h2o_req_t *req)
{
  struct str customer = query_value (req, STR ("customer"));
  struct str key = query_value (req, STR ("key"));

  if (customer.len == 0 || key.len == 0)
    send_body (req, 400, json_content_type,
               STR ("{\"error\":\"customer and key are required\"}\n"));
  else
    {
      const struct lookup_args args
          = { .customer = TEXT_STR (customer), .key = TEXT_STR (key) };

      claims_lookup (claims_get (a->kernel), &args, on_lookup,
                     caller_create (req, NULL, NULL));
    }
  str_free (&customer);
  str_free (&key);
}

/* ---- models ---- */

static json_t *
model_json (const struct model *m, struct str adapter)
{
  struct str id = adapter.len > 0
                      ? str_printf (STR_FMT ":" STR_FMT, STR_ARG (m->name),
                                    STR_ARG (adapter))
                      : str_dup (m->name);
  json_t *json = json_object ();

  json_object_set_new (json, "id", json_str (id));
  json_object_set_new (json, "object", json_string ("model"));
  json_object_set_new (json, "owned_by", json_str (m->service));
  str_free (&id);
  return json;
}

static void
serve_models (struct admin *a, h2o_req_t *req)
{
  const struct lists *lists = kernel_latest (a->kernel, TOPIC_LISTS);
  const struct str name = requests_authenticate (a->requests, req);
  const struct customer *customer
      = name.len > 0 ? lists_customer_by_name (lists, name) : NULL;
  json_t *data = json_array ();

  if (!customer)
    {
      json_decref (data);
      requests_refuse (a->requests, req, API_INVALID_KEY,
                       "the bearer key is not known");
      return;
    }
  for (size_t i = 0; i < lists->model_count; i++)
    {
      const struct model *m = &lists->models[i];

      if (lists_model_use (lists, customer->plan, m->name, (struct str){ 0 }))
        json_array_append_new (data, model_json (m, (struct str){ 0 }));
      for (size_t j = 0; j < m->adapter_count; j++)
        if (lists_model_use (lists, customer->plan, m->name,
                             m->adapters[j].name))
          json_array_append_new (data, model_json (m, m->adapters[j].name));
    }
  send_json (req, 200,
             json_pack ("{s:s,s:o}", "object", "list", "data", data));
}

/* ---- routes ---- */

enum audience
{
  FOR_ALL,
  FOR_CLIENTS,
  FOR_OPERATORS,
};

static const struct
{
  const char *path;
  enum audience audience;
  void (*serve) (struct admin *admin, h2o_req_t *req);
} routes[] = {
  { "/healthz", FOR_ALL, serve_health },
  { "/readyz", FOR_ALL, serve_ready },
  { "/v1/models", FOR_CLIENTS, serve_models },
  { "/metrics", FOR_OPERATORS, serve_metrics },
  { "/admin/status", FOR_OPERATORS, serve_status },
  { "/admin/explain", FOR_OPERATORS, serve_explain },
};

static bool
is_visible (enum audience audience, enum admin_scope scope)
{
  return audience == FOR_ALL || scope == ADMIN_SCOPE_ALL
         || (audience == FOR_CLIENTS) == (scope == ADMIN_SCOPE_CLIENTS);
}

bool
admin_serve (struct admin *a, h2o_req_t *req, enum admin_scope scope)
{
  const struct str path
      = { req->path_normalized.base, req->path_normalized.len };

  for (size_t i = 0; i < sizeof routes / sizeof *routes; i++)
    if (is_visible (routes[i].audience, scope)
        && str_eq (path, str_from (routes[i].path)))
      {
        routes[i].serve (a, req);
        return true;
      }
  return false;
}

struct admin *
admin_create (struct kernel *kernel, struct requests *requests)
{
  struct admin *a = xcalloc (1, sizeof *a);

  a->kernel = kernel;
  a->requests = requests;
  return a;
}

void
admin_destroy (struct admin *a)
{
  free (a);
}
