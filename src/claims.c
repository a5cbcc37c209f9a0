#include "claims.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <utlist.h>

#include "bus.h"
#include "claim.h"
#include "clock.h"
#include "err.h"
#include "lease.h"
#include "log.h"
#include "metrics.h"
#include "settings.h"
#include "store.h"
#include "text.h"

#define LOG_MODULE "claims"
#define TICK_MS 25
/* Maximum wait for the answer to a claim: within it another node takes over
   from an owner that died. */
#define CLAIM_TIMEOUT_MAX_MS 12000
/* Timeout of lookups and of each attempt to settle: longer than the owner lets
   a request wait, so that its answer arrives. */
#define CALL_TIMEOUT_MS 2500
#define SETTLE_ATTEMPTS_MAX 5
#define SETTLE_RETRY_MS 300
/* Memory limit of a partition's records. A node that owns all four partitions
   stays below 256 MB with its other state. */
#define PARTITION_MAX_BYTES ((size_t)40 << 20)
/* Minimum time between two equal reports of a partition. */
#define REPORT_INTERVAL_MS 60000

struct partition
{
  struct claims *claims;
  struct str name; /* name of the lease and key of the head object */
  struct claim_partition *state;
  const char *last_report;
  uint64_t last_report_at;
  bool leftovers_listed; /* since the lease was gained */
};

/* A claim or lookup that this node sent to the owner of the key. */
struct claim_call
{
  struct claims *claims;
  claims_fn fn;
  void *ctx;
  struct settle_args void_args; /* of a claim, to void it; owns its texts */
};

/* A settle request that this node sends to the owner of the key. */
struct settle_call
{
  struct claims *claims;
  const struct partition *partition;
  struct settle_args args; /* owns its texts */
  claims_settled_fn fn;
  void *ctx;
  uint32_t attempts;
  uint64_t retry_at; /* 0 while an attempt is in progress */
  struct settle_call *prev;
  struct settle_call *next;
};

struct claims
{
  struct plugin plugin;
  struct kernel *kernel;
  uv_timer_t timer;
  struct partition *partitions;
  size_t partition_count;
  struct settle_call *settle_calls;
  bool draining;
};

static struct claims *
claims_of (struct plugin *plugin)
{
  return (struct claims *)plugin;
}

static struct claim_clock
read_clock (void)
{
  return (struct claim_clock){ .now = clock_ms (), .wall = clock_wall_ms () };
}

static struct partition *
partition_of (struct claims *c, text customer, text key)
{
  struct str id
      = str_printf (STR_FMT "\n" STR_FMT, STR_ARG (STR_TEXT (customer)),
                    STR_ARG (STR_TEXT (key)));
  const size_t i = (size_t)(str_hash (id, 0) % c->partition_count);

  str_free (&id);
  return &c->partitions[i];
}

/* ---- owner: actions ---- */

static struct store *
store_of (const struct partition *p)
{
  return store_get (p->claims->kernel);
}

static struct lease_table *
leases_of (const struct partition *p)
{
  return lease_get (p->claims->kernel);
}

static bool
holds_lease (void *ctx, uint64_t fence)
{
  const struct partition *p = ctx;

  return lease_valid (leases_of (p), p->name)
         && lease_fence (leases_of (p), p->name) == fence;
}

static void
on_stored (void *ctx, struct err err, uint64_t version, struct str value)
{
  struct partition *p = ctx;

  claim_store_done (p->state, err.code, version, value, read_clock ());
}

static void
read_object (void *ctx, struct str key)
{
  store_read (store_of (ctx), key, on_stored, ctx);
}

static void
write_object (void *ctx, struct str key, uint64_t version, struct str value)
{
  store_write (store_of (ctx), key, version, value, on_stored, ctx);
}

static void
remove_object (void *ctx, struct str key, uint64_t version)
{
  store_remove (store_of (ctx), key, version, on_stored, ctx);
}

static void
answer (void *ctx, void *request, const struct claim_res *res)
{
  static const char *const names[]
      = { "granted",  "done",       "running", "unknown",
          "mismatch", "store-down", "full",    "none" };
  char label[32];

  (void)ctx;
  snprintf (label, sizeof label, "code=\"%s\"", names[res->code]);
  metrics_add ("galenagate_claim_answers_total", str_from (label), 1);
  bus_reply (request, res);
}

static void
answer_settle (void *ctx, void *request, bool stored)
{
  const struct settle_res res = { .stored = stored };

  (void)ctx;
  bus_reply (request, &res);
}

static void
refuse (void *ctx, void *request, int err)
{
  const struct partition *p = ctx;
  const struct settings *s = kernel_settings (p->claims->kernel);
  struct str hint = STR ("");

  if (err == -ESTALE)
    hint = lease_holder (leases_of (p), p->name);
  /* This node holds the lease but does not serve; its own address is no
     useful hint. */
  if (str_eq (hint, s->bus_addr))
    hint = STR ("");
  bus_fail (request, err, hint);
}

static void
report (void *ctx, const char *what, uint64_t number)
{
  struct partition *p = ctx;
  const uint64_t now = clock_ms ();

  if (p->last_report == what && now - p->last_report_at < REPORT_INTERVAL_MS)
    return;
  p->last_report = what;
  p->last_report_at = now;
  LOG_ERR (what, "partition=" STR_FMT " number=%lu", STR_ARG (p->name),
           number);
}

static const struct claim_actions actions = {
  .holds_lease = holds_lease,
  .read = read_object,
  .write = write_object,
  .remove = remove_object,
  .answer = answer,
  .answer_settle = answer_settle,
  .refuse = refuse,
  .report = report,
};

static void
on_lease_change (void *ctx, struct str name, bool held, uint64_t fence)
{
  struct partition *p = ctx;

  (void)name;
  p->leftovers_listed = false;
  if (held)
    claim_lease_gained (p->state, fence, read_clock ());
  else
    claim_lease_lost (p->state);
}

/* ---- owner: leftover segments ---- */

/* Ignores errors: the next owner finds a segment that was not removed. */
static void
on_removed (void *ctx, struct err err, uint64_t version, struct str value)
{
  (void)ctx;
  (void)err;
  (void)version;
  (void)value;
}

static void
remove_if_unreferenced (struct partition *p, const json_t *item)
{
  const char *key = json_string_value (json_object_get (item, "key"));
  const json_t *version = json_object_get (item, "version");
  const char *slash = key ? strrchr (key, '/') : NULL;
  uint64_t number;

  if (!slash || !json_is_integer (version)
      || !str_u64 (str_from (slash + 1), &number)
      || !claim_segment_unreferenced (p->state, number))
    return;
  LOG_INFO ("segment-removed", "object=%s", key);
  store_remove (store_of (p), str_from (key),
                (uint64_t)json_integer_value (version), on_removed, p);
}

static void
on_segments_listed (void *ctx, struct err err, uint64_t version,
                    struct str value)
{
  struct partition *p = ctx;
  json_t *list
      = err.code == 0 ? json_loadb (value.data, value.len, 0, NULL) : NULL;
  size_t i;
  json_t *item;

  (void)version;
  json_array_foreach (list, i, item) { remove_if_unreferenced (p, item); }
  json_decref (list);
}

static void
list_leftover_segments (struct partition *p)
{
  if (p->leftovers_listed || !claim_counts (p->state).serving)
    return;
  p->leftovers_listed = true;
  struct str prefix = str_printf (STR_FMT "/seg/", STR_ARG (p->name));
  store_list (store_of (p), prefix, on_segments_listed, p);
  str_free (&prefix);
}

/* ---- owner: handlers ---- */

static void
serve_claim (void *ctx, struct bus_request *req, const void *args)
{
  const struct claim_args *a = args;

  claim_request (partition_of (ctx, a->customer, a->key)->state, a, req,
                 read_clock ());
}

static void
serve_settle (void *ctx, struct bus_request *req, const void *args)
{
  const struct settle_args *a = args;

  claim_settle (partition_of (ctx, a->customer, a->key)->state, a, req,
                read_clock ());
}

static void
serve_lookup (void *ctx, struct bus_request *req, const void *args)
{
  const struct lookup_args *a = args;

  claim_lookup (partition_of (ctx, a->customer, a->key)->state, a, req,
                read_clock ());
}

/* ---- client ---- */

static void
call_owner (struct claims *c, text customer, text key, uint32_t proc,
            const void *args, uint32_t wait_ms, bus_reply_fn fn, void *ctx)
{
  lease_call (lease_get (c->kernel), partition_of (c, customer, key)->name,
              STR (""), proc, args, wait_ms, fn, ctx);
}

static void
free_settle_args (struct settle_args *a)
{
  xdr_free ((xdrproc_t)xdr_settle_args, a);
}

/* Returns true if the owner may have recorded the claim although its answer
   did not arrive. */
static bool
may_be_recorded (int err)
{
  return err != 0 && err != -EINVAL && err != -EBUSY && err != -ECONNREFUSED;
}

static void
on_claim_result (void *ctx, int err, struct str hint, const void *result)
{
  struct claim_call *call = ctx;

  (void)hint;
  if (call->void_args.key.text_len > 0 && may_be_recorded (err))
    claims_settle (call->claims, &call->void_args, NULL, NULL);
  call->fn (call->ctx, err, err == 0 ? result : NULL);
  free_settle_args (&call->void_args);
  free (call);
}

void
claims_claim (struct claims *c, const struct claim_args *args, claims_fn fn,
              void *ctx)
{
  struct claim_call *call = xcalloc (1, sizeof *call);
  const uint32_t wait = args->deadline_ms < CLAIM_TIMEOUT_MAX_MS
                            ? args->deadline_ms
                            : CLAIM_TIMEOUT_MAX_MS;

  *call = (struct claim_call){ .claims = c, .fn = fn, .ctx = ctx };
  call->void_args.customer = text_copy (args->customer);
  call->void_args.key = text_copy (args->key);
  call->void_args.request_id = text_copy (args->request_id);
  call->void_args.state = SETTLE_VOID;
  call_owner (c, args->customer, args->key, PEER_CLAIM, args, wait,
              on_claim_result, call);
}

void
claims_lookup (struct claims *c, const struct lookup_args *args, claims_fn fn,
               void *ctx)
{
  struct claim_call *call = xcalloc (1, sizeof *call);

  *call = (struct claim_call){ .claims = c, .fn = fn, .ctx = ctx };
  call_owner (c, args->customer, args->key, PEER_LOOKUP, args, CALL_TIMEOUT_MS,
              on_claim_result, call);
}

static void
finish_drain_if_idle (struct claims *c)
{
  if (!c->draining || c->settle_calls)
    return;
  c->draining = false;
  kernel_drained (c->kernel, &c->plugin);
}

static void
end_settle_call (struct settle_call *s, int err, bool stored)
{
  struct claims *c = s->claims;

  DL_DELETE (c->settle_calls, s);
  if (err != 0 || !stored)
    LOG_WARN ("not-settled",
              "customer=" STR_FMT " request=" STR_FMT
              " state=%d stored=%d error=\"%s\"",
              STR_ARG (STR_TEXT (s->args.customer)),
              STR_ARG (STR_TEXT (s->args.request_id)), (int)s->args.state,
              stored, err_str (err));
  if (s->fn)
    s->fn (s->ctx, err, stored);
  free_settle_args (&s->args);
  free (s);
  finish_drain_if_idle (c);
}

static void
on_settle_result (void *ctx, int err, struct str hint, const void *result)
{
  struct settle_call *s = ctx;
  const struct settle_res *res = result;
  const struct claims *c = s->claims;

  (void)hint;
  if (err == 0 || err == -EINVAL || err == -ECANCELED
      || (s->attempts >= SETTLE_ATTEMPTS_MAX && !kernel_draining (c->kernel)))
    end_settle_call (s, err, err == 0 && res->stored);
  else
    s->retry_at = clock_ms () + SETTLE_RETRY_MS;
}

static void
send_settle_call (struct settle_call *s)
{
  s->attempts++;
  s->retry_at = 0;
  call_owner (s->claims, s->args.customer, s->args.key, PEER_SETTLE, &s->args,
              CALL_TIMEOUT_MS, on_settle_result, s);
}

void
claims_settle (struct claims *c, const struct settle_args *args,
               claims_settled_fn fn, void *ctx)
{
  struct settle_call *s = xcalloc (1, sizeof *s);

  *s = (struct settle_call){
    .claims = c, .args = *args, .fn = fn, .ctx = ctx
  };
  s->partition = partition_of (c, args->customer, args->key);
  s->args.customer = text_copy (args->customer);
  s->args.key = text_copy (args->key);
  s->args.request_id = text_copy (args->request_id);
  s->args.content_type = text_copy (args->content_type);
  s->args.body = (blob){ 0 };
  if (args->body.blob_len <= CLAIM_BODY_MAX)
    s->args.body = blob_copy (args->body);
  DL_APPEND (c->settle_calls, s);
  send_settle_call (s);
}

/* ---- plug-in ---- */

static void
on_tick (uv_timer_t *timer)
{
  struct claims *c = timer->data;
  const uint64_t now = clock_ms ();
  struct settle_call *s;
  struct settle_call *next;

  for (size_t i = 0; i < c->partition_count; i++)
    {
      claim_tick (c->partitions[i].state, read_clock ());
      list_leftover_segments (&c->partitions[i]);
    }
  DL_FOREACH_SAFE (c->settle_calls, s, next)
  {
    /* When all nodes shut down, the owner may exit first. */
    if (kernel_draining (c->kernel))
      lease_take_while_draining (leases_of (s->partition), s->partition->name);
    if (s->retry_at > 0 && now >= s->retry_at)
      send_settle_call (s);
  }
}

static int
start (struct plugin *plugin)
{
  struct claims *c = claims_of (plugin);
  struct bus *bus = bus_get (c->kernel);

  bus_handle (bus, PEER_CLAIM, serve_claim, c);
  bus_handle (bus, PEER_SETTLE, serve_settle, c);
  bus_handle (bus, PEER_LOOKUP, serve_lookup, c);
  for (size_t i = 0; i < c->partition_count; i++)
    {
      struct partition *p = &c->partitions[i];

      lease_campaign (leases_of (p), p->name, STR (""), on_lease_change, p);
      lease_keep_while_draining (leases_of (p), p->name);
    }
  uv_timer_init (kernel_loop (c->kernel), &c->timer);
  c->timer.data = c;
  uv_timer_start (&c->timer, on_tick, TICK_MS, TICK_MS);
  return 0;
}

/* Runs after the requests in flight have ended. Waits for the settle requests
   that record their outcomes. The lease plug-in then releases the partitions;
   a node that still has outcomes to record takes them over. */
static void
drain (struct plugin *plugin)
{
  struct claims *c = claims_of (plugin);

  c->draining = true;
  finish_drain_if_idle (c);
}

static void
stop (struct plugin *plugin)
{
  struct claims *c = claims_of (plugin);

  if (c->timer.data)
    uv_close ((uv_handle_t *)&c->timer, NULL);
}

static void
destroy (struct plugin *plugin)
{
  struct claims *c = claims_of (plugin);

  while (c->settle_calls)
    {
      struct settle_call *s = c->settle_calls;

      DL_DELETE (c->settle_calls, s);
      free_settle_args (&s->args);
      free (s);
    }
  for (size_t i = 0; i < c->partition_count; i++)
    {
      claim_destroy (c->partitions[i].state);
      str_free (&c->partitions[i].name);
    }
  free (c->partitions);
  free (c);
}

static struct plugin *create (struct kernel *kernel);

static const struct plugin_ops ops = {
  .name = "claims",
  .rank = RANK_CLAIMS,
  .create = create,
  .start = start,
  .drain = drain,
  .stop = stop,
  .destroy = destroy,
};
KERNEL_PLUGIN (ops)

static void
create_partition (struct claims *c, size_t i)
{
  const struct settings *s = kernel_settings (c->kernel);
  struct partition *p = &c->partitions[i];

  p->claims = c;
  p->name = str_printf ("claims/%zu", i);
  const struct claim_config config = {
    .key = p->name,
    .self = { .addr = TEXT_STR (s->bus_addr),
              .instance = kernel_instance (c->kernel) },
    .write_interval_ms = s->claim_interval_ms,
    .lifetime_s = s->claim_lifetime_s,
    .bytes_max = PARTITION_MAX_BYTES,
  };
  p->state = claim_create (&config, &actions, p);
}

static struct plugin *
create (struct kernel *kernel)
{
  struct claims *c = xcalloc (1, sizeof *c);

  c->plugin.ops = &ops;
  c->kernel = kernel;
  c->partition_count = kernel_settings (kernel)->claim_partitions;
  c->partitions = xcalloc (c->partition_count, sizeof *c->partitions);
  for (size_t i = 0; i < c->partition_count; i++)
    create_partition (c, i);
  return &c->plugin;
}

struct claims *
claims_get (struct kernel *kernel)
{
  return claims_of (kernel_find (kernel, "claims"));
}
