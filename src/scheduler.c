#include "scheduler.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "err.h"
#include "log.h"
#include "metrics.h"
#include "placement.h"
#include "scheduler_impl.h"
#include "settings.h"

#define LOG_MODULE "scheduler"
#define SECOND_MS 1000
#define QUICK_MS 20
/* Longer than this between two runs of the second timer is a pause; the bus
   gives up a silent connection after 3 s. */
#define PAUSE_MS 2500
#define STALE_MS 300
#define FINGERPRINTS_MAX 65536
/* A unit without targets, requests and grants is kept this long. */
#define IDLE_UNIT_MS (60 * 1000)

void
scheduler_each (const struct scheduler *s,
                void (*fn) (void *ctx, const struct scheduler_info *info),
                void *ctx)
{
  for (const struct unit *u = s->units; u; u = u->hh.next)
    {
      const struct scheduler_info info = {
        .service = u->service,
        .model = u->model,
        .targets = sched_target_count (u->sched),
        .waiting = sched_waiting (u->sched),
        .in_flight = sched_in_flight (u->sched),
      };

      if (u->owned)
        fn (ctx, &info);
    }
}

struct scheduler *
scheduler_get (struct kernel *kernel)
{
  return (struct scheduler *)kernel_find (kernel, "scheduler");
}

/* ---- procedures ---- */

/* The former grant of a request that asks again is no longer used: the entry
   has no answer to it, or released it on a connection that broke. */
static void
drop_former (struct scheduler *s, struct str id)
{
  static const struct sched_result unused = { .outcome = ATTEMPT_UNUSED };
  struct call *c;

  HASH_FIND (hh, s->calls, id.data, id.len, c);
  if (!c)
    return;
  struct unit *u = c->unit;

  if (c->req)
    {
      sched_cancel (u->sched, c);
      bus_fail (c->req, -ECANCELED, (struct str){ 0 });
      call_free (s, c);
      return;
    }
  const uint64_t grant = c->key.grant;

  call_free (s, c);
  sched_release (u->sched, grant, &unused, clock_ms ());
  unit_pump (s, u);
}

/* After a pause of the process the entries have gone elsewhere with what
   waits here and with what still lies in the receive buffers: they gave up
   their connections as silent. A grant would reach nobody and keep its slot
   occupied. */
static void
check_pause (struct scheduler *s)
{
  const uint64_t now_ms = clock_ms ();

  if (!s->second_ms || now_ms - s->second_ms <= PAUSE_MS)
    return;
  LOG_WARN ("paused", "ms=%lu", now_ms - s->second_ms);
  s->second_ms = now_ms;
  s->stale_until_ms = now_ms + STALE_MS;
  for (struct unit *u = s->units; u; u = u->hh.next)
    {
      sched_drain (u->sched, now_ms);
      unit_pump (s, u);
      if (u->owned)
        sched_resume (u->sched);
    }
}

static struct str
note_entry (struct scheduler *s, const node_id *id)
{
  const struct str addr = STR_TEXT (id->addr);
  struct entry_node *e;

  HASH_FIND (hh, s->entries, addr.data, addr.len, e);
  if (!e)
    {
      e = xcalloc (1, sizeof *e);
      e->addr = str_dup (addr);
      HASH_ADD_KEYPTR (hh, s->entries, e->addr.data, addr.len, e);
    }
  e->instance = id->instance;
  return e->addr;
}

static void
submit (struct scheduler *s, struct unit *u, struct call *c,
        const struct grant_args *args)
{
  struct str excluded[8];
  struct sched_request q = {
    .ctx = c,
    .entry = note_entry (s, &args->entry),
    .adapter = STR_TEXT (args->adapter),
    .priority = args->priority,
    .deadline_ms = clock_ms () + args->deadline_ms,
    .fingerprint = args->fingerprint,
    .prefix_hash = args->prefix_hash,
    .attempt = args->attempt,
    .crash_seen = args->crash_seen,
    .excluded = excluded,
  };

  for (size_t i = 0; i < args->excluded.excluded_len && i < 8; i++)
    excluded[q.excluded_count++] = STR_TEXT (args->excluded.excluded_val[i]);
  sched_submit (u->sched, &q, clock_ms ());
  unit_pump (s, u);
}

static void
on_grant (void *ctx, struct bus_request *req, const void *p)
{
  struct scheduler *s = ctx;
  const struct grant_args *args = p;
  struct sched_key key
      = sched_key_make (s, STR_TEXT (args->service), STR_TEXT (args->model));
  const bool own = scheduler_owns (s, &key);
  const struct member_info *owner = own ? NULL : scheduler_owner (s, &key);

  str_free (&key.key);
  check_pause (s);
  if (clock_ms () < s->stale_until_ms)
    {
      /* A live caller asks again in a moment. */
      bus_fail (req, -ESTALE, (struct str){ 0 });
      return;
    }
  if (!own)
    {
      bus_fail (req, -ESTALE, owner ? owner->addr : (struct str){ 0 });
      return;
    }
  struct str id
      = str_printf (STR_FMT " " STR_FMT, STR_ARG (STR_TEXT (args->entry.addr)),
                    STR_ARG (STR_TEXT (args->request_id)));

  drop_former (s, id);
  struct unit *u = unit_get (s, args);
  struct call *c = xcalloc (1, sizeof *c);

  if (!u->owned)
    sched_resume (u->sched);
  u->owned = true;
  *c = (struct call){
    .req = req,
    .unit = u,
    .id = id,
    .request_id = str_dup (STR_TEXT (args->request_id)),
    .customer = str_dup (STR_TEXT (args->customer)),
    .class_name = str_dup (STR_TEXT (args->class_name)),
    .cold = !u->plain && sched_target_count (u->sched) == 0,
  };
  HASH_ADD_KEYPTR (hh, s->calls, c->id.data, c->id.len, c);
  submit (s, u, c, args);
}

/* Reads the last two numbers of an attempt id that this process gave. */
static bool
parse_attempt (const struct scheduler *s, struct str id, struct grant_key *out)
{
  const struct str self = kernel_settings (s->kernel)->bus_addr;
  struct str prefix = str_printf (STR_FMT "-%lx-", STR_ARG (self),
                                  kernel_instance (s->kernel));
  const bool own = str_starts (id, prefix);
  const struct str rest
      = own ? (struct str){ id.data + prefix.len, id.len - prefix.len }
            : (struct str){ 0 };
  const char *dash = own ? memchr (rest.data, '-', rest.len) : NULL;

  str_free (&prefix);
  *out = (struct grant_key){ 0 };
  if (!dash)
    return false;
  const size_t n = (size_t)(dash - rest.data);

  return str_u64 ((struct str){ rest.data, n }, &out->epoch)
         && str_u64 ((struct str){ dash + 1, rest.len - n - 1 }, &out->grant);
}

/* A release for a grant of another or a former scheduler still tells about
   the fingerprint. */
static void
learn (struct scheduler *s, const struct release_args *args)
{
  const uint64_t now_ms = clock_ms ();

  if (args->outcome == ATTEMPT_DONE)
    crash_merge (s->crash, args->fingerprint, 0, 0, now_ms);
  else if (args->outcome == ATTEMPT_CRASHED
           && crash_running (s->crash, args->fingerprint) == 0)
    crash_merge (s->crash, args->fingerprint, 1, 0, now_ms);
}

static void
on_release (void *ctx, struct bus_request *req, const void *p)
{
  struct scheduler *s = ctx;
  const struct release_args *args = p;
  const struct sched_result result = {
    .outcome = args->outcome,
    .first_byte_ms = args->first_byte_ms,
    .total_ms = args->total_ms,
  };
  struct grant_key key;
  struct call *c = NULL;

  if (parse_attempt (s, STR_TEXT (args->attempt_id), &key))
    HASH_FIND (by_grant, s->granted, &key, sizeof key, c);
  if (c)
    {
      struct unit *u = c->unit;

      call_free (s, c);
      sched_release (u->sched, key.grant, &result, clock_ms ());
      unit_pump (s, u);
    }
  else
    learn (s, args);
  bus_reply (req, NULL);
}

/* ---- topics ---- */

static void
hand_over (struct scheduler *s, struct unit *u)
{
  u->owned = false;
  sched_drain (u->sched, clock_ms ());
  unit_pump (s, u);
}

/* Hands over what belongs to another node now. A unit without other owner
   goes on. */
static void
check_ownership (struct scheduler *s)
{
  for (struct unit *u = s->units; u; u = u->hh.next)
    {
      struct sched_key key = sched_key_make (s, u->service, u->model);

      if (u->owned && !scheduler_owns (s, &key) && scheduler_owner (s, &key))
        hand_over (s, u);
      str_free (&key.key);
    }
}

static void
forget_entry (struct scheduler *s, struct entry_node *e)
{
  LOG_INFO ("entry-lost", "addr=" STR_FMT " instance=%lu", STR_ARG (e->addr),
            e->instance);
  for (struct unit *u = s->units; u; u = u->hh.next)
    {
      sched_entry_lost (u->sched, e->addr, clock_ms ());
      unit_pump (s, u);
    }
  HASH_DEL (s->entries, e);
  str_free (&e->addr);
  free (e);
}

static void
on_members (void *ctx, const void *snapshot)
{
  struct scheduler *s = ctx;
  const struct member_view *view = snapshot;
  struct entry_node *e;
  struct entry_node *next;

  HASH_ITER (hh, s->entries, e, next)
  {
    const struct member_info *m = member_find (view, e->addr);

    if (!m || m->instance != e->instance)
      forget_entry (s, e);
  }
  check_ownership (s);
}

static void
on_hosts (void *ctx, const void *snapshot)
{
  struct scheduler *s = ctx;

  (void)snapshot;
  for (struct unit *u = s->units; u; u = u->hh.next)
    {
      unit_refresh (s, u);
      unit_pump (s, u);
    }
}

static void
on_lists (void *ctx, const void *snapshot)
{
  struct scheduler *s = ctx;

  (void)snapshot;
  for (struct unit *u = s->units; u; u = u->hh.next)
    unit_configure (s, u);
  check_ownership (s);
}

static bool
parse_fingerprint (struct str key, uint64_t *out)
{
  char text[17];
  char *end;

  if (key.len != 16)
    return false;
  memcpy (text, key.data, 16);
  text[16] = '\0';
  *out = strtoull (text, &end, 16);
  return *end == '\0';
}

static void
on_notice (void *ctx, const void *snapshot)
{
  struct scheduler *s = ctx;
  const struct notice *n = snapshot;
  const struct str value = STR_TEXT (n->value);
  const struct str self = kernel_settings (s->kernel)->bus_addr;
  const bool cleared = str_starts (value, STR ("cleared "));
  uint64_t fingerprint;

  if ((n->kind != NOTICE_CRASH_SUSPECT && n->kind != NOTICE_QUARANTINE)
      || !parse_fingerprint (STR_TEXT (n->key), &fingerprint))
    return;
  /* The own record is newer than the notice that was made from it. */
  if (value.len > 8
      && str_eq ((struct str){ value.data + 8, value.len - 8 }, self))
    return;
  const uint32_t left_ms
      = n->ttl_ms < CRASH_QUARANTINE_MS ? n->ttl_ms : CRASH_QUARANTINE_MS;
  const uint32_t crashes = n->kind == NOTICE_QUARANTINE ? 2 : !cleared;

  crash_merge (s->crash, fingerprint, crashes, left_ms, clock_ms ());
}

static void
on_drain (void *ctx, const void *snapshot)
{
  struct scheduler *s = ctx;

  (void)snapshot;
  s->draining = true;
  check_ownership (s);
}

/* ---- timers ---- */

static void
on_quick (uv_timer_t *timer)
{
  struct scheduler *s = timer->data;

  check_pause (s);

  for (struct unit *u = s->units; u; u = u->hh.next)
    if (sched_waiting (u->sched) > 0)
      {
        sched_tick (u->sched, clock_ms ());
        unit_pump (s, u);
      }
  asks_tick (s);
  quick_timer (s);
}

static bool
somebody_waits (const struct scheduler *s)
{
  if (s->asks)
    return true;
  for (const struct unit *u = s->units; u; u = u->hh.next)
    if (sched_waiting (u->sched) > 0)
      return true;
  return false;
}

void
quick_timer (struct scheduler *s)
{
  const bool active = uv_is_active ((uv_handle_t *)&s->quick);

  if (!s->started || s->stopped || active == somebody_waits (s))
    return;
  if (active)
    uv_timer_stop (&s->quick);
  else
    uv_timer_start (&s->quick, on_quick, QUICK_MS, QUICK_MS);
}

static bool
unneeded (struct unit *u)
{
  if (sched_waiting (u->sched) > 0 || sched_in_flight (u->sched) > 0)
    return false;
  return !u->owned
         || (sched_idle_ms (u->sched, clock_ms ()) > IDLE_UNIT_MS
             && (u->plain || sched_target_count (u->sched) == 0));
}

static void
gauge (const struct unit *u, size_t length)
{
  struct str labels
      = str_printf ("service=\"" STR_FMT "\",model=\"" STR_FMT "\"",
                    STR_ARG (u->service), STR_ARG (u->model));

  metrics_set ("galenagate_queue_length", labels, (double)length);
  str_free (&labels);
}

static void
on_second (uv_timer_t *timer)
{
  struct scheduler *s = timer->data;
  struct unit *u;
  struct unit *next;

  check_pause (s);
  s->second_ms = clock_ms ();
  releases_tick (s);
  HASH_ITER (hh, s->units, u, next)
  {
    sched_tick (u->sched, clock_ms ());
    unit_pump (s, u);
    gauge (u, sched_waiting (u->sched));
    if (unneeded (u))
      unit_destroy (s, u);
  }
  usage_report (s);
}

/* ---- plug-in ---- */

static struct plugin *create (struct kernel *kernel);

static int
start (struct plugin *plugin)
{
  struct scheduler *s = (struct scheduler *)plugin;

  s->placement = placement_get (s->kernel);
  uv_timer_init (kernel_loop (s->kernel), &s->second);
  uv_timer_init (kernel_loop (s->kernel), &s->quick);
  s->second.data = s;
  s->quick.data = s;
  s->started = true;
  uv_timer_start (&s->second, on_second, SECOND_MS, SECOND_MS);
  return 0;
}

/* Requests that wait without a successor are refused as not run. */
static void
drain (struct plugin *plugin)
{
  struct scheduler *s = (struct scheduler *)plugin;

  for (struct unit *u = s->units; u; u = u->hh.next)
    hand_over (s, u);
  kernel_drained (s->kernel, plugin);
}

static void
stop (struct plugin *plugin)
{
  struct scheduler *s = (struct scheduler *)plugin;

  s->stopped = true;
  if (s->started)
    {
      uv_close ((uv_handle_t *)&s->second, NULL);
      uv_close ((uv_handle_t *)&s->quick, NULL);
    }
  asks_cancel (s);
}

static void
destroy (struct plugin *plugin)
{
  struct scheduler *s = (struct scheduler *)plugin;
  struct entry_node *e;
  struct entry_node *next;

  while (s->units)
    unit_destroy (s, s->units);
  locks_free (s);
  releases_free (s);
  HASH_ITER (hh, s->entries, e, next)
  {
    HASH_DEL (s->entries, e);
    str_free (&e->addr);
    free (e);
  }
  crash_destroy (s->crash);
  free (s);
}

static const struct plugin_ops ops = {
  .name = "scheduler",
  .rank = RANK_SCHEDULER,
  .create = create,
  .start = start,
  .drain = drain,
  .stop = stop,
  .destroy = destroy,
};
KERNEL_PLUGIN (ops)

static struct plugin *
create (struct kernel *kernel)
{
  struct scheduler *s = xcalloc (1, sizeof *s);

  s->plugin.ops = &ops;
  s->kernel = kernel;
  s->bus = bus_get (kernel);
  s->crash = crash_create (FINGERPRINTS_MAX);
  bus_handle (s->bus, PEER_GRANT, on_grant, s);
  bus_handle (s->bus, PEER_RELEASE, on_release, s);
  kernel_subscribe (kernel, TOPIC_MEMBERS, on_members, s);
  kernel_subscribe (kernel, TOPIC_HOSTS, on_hosts, s);
  kernel_subscribe (kernel, TOPIC_LISTS, on_lists, s);
  kernel_subscribe (kernel, TOPIC_NOTICE, on_notice, s);
  kernel_subscribe (kernel, TOPIC_DRAIN, on_drain, s);
  return &s->plugin;
}
