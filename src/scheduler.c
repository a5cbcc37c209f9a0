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
#define SLOW_TIMER_MS 1000
#define FAST_TIMER_MS 20
/* A longer time between two runs of the slow timer counts as a pause of the
   process. It is below the 3 s after which the bus closes a silent
   connection. */
#define PAUSE_THRESHOLD_MS 2500
#define STALE_AFTER_PAUSE_MS 300
/* Time within which the member view lists a node that has joined. */
#define ENTRY_UNLISTED_MS 10000
#define FINGERPRINTS_MAX 65536
/* An idle unit without targets, requests and grants is kept for this long. */
#define UNIT_IDLE_MS (60 * 1000)

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

/* Drops the former call of a repeated request, whose grant is not in use: the
   entry got no answer to it, or its release was lost with the connection. */
static void
drop_previous_call (struct scheduler *s, struct str id)
{
  static const struct sched_result unused = { .outcome = ATTEMPT_UNUSED };
  struct grant_call *c;

  HASH_FIND (hh, s->grant_calls, id.data, id.len, c);
  if (!c)
    return;
  struct unit *u = c->unit;

  if (c->req)
    {
      sched_cancel (u->sched, c);
      bus_fail (c->req, -ECANCELED, (struct str){ 0 });
      grant_call_free (s, c);
      return;
    }
  const uint64_t grant = c->key.grant;

  grant_call_free (s, c);
  sched_release (u->sched, grant, &unused, clock_ms ());
  unit_run_actions (s, u);
}

/* After a pause of the process, the entries have closed their connections as
   silent and have sent their requests to other nodes, both those that wait
   here and those that are still in the receive buffers. A grant for them would
   reach no one and occupy its slot, so waiting requests are given back and
   calls are rejected for STALE_AFTER_PAUSE_MS. Callers that still wait, for
   example because they were paused too, call again. */
static void
handle_pause (struct scheduler *s)
{
  const uint64_t now_ms = clock_ms ();

  if (!s->last_slow_timer_ms
      || now_ms - s->last_slow_timer_ms <= PAUSE_THRESHOLD_MS)
    return;
  LOG_WARN ("process-paused", "ms=%lu", now_ms - s->last_slow_timer_ms);
  s->last_slow_timer_ms = now_ms;
  s->stale_until_ms = now_ms + STALE_AFTER_PAUSE_MS;
  for (struct unit *u = s->units; u; u = u->hh.next)
    {
      sched_drain (u->sched, now_ms);
      unit_run_actions (s, u);
      if (u->owned)
        sched_resume (u->sched);
    }
}

static void
drop_lost_entry (struct scheduler *s, struct entry_node *e)
{
  LOG_INFO ("entry-lost", "addr=" STR_FMT " instance=%lu", STR_ARG (e->addr),
            e->instance);
  for (struct unit *u = s->units; u; u = u->hh.next)
    {
      sched_entry_lost (u->sched, e->addr, clock_ms ());
      unit_run_actions (s, u);
    }
  HASH_DEL (s->entries, e);
  str_free (&e->addr);
  free (e);
}

static bool
is_listed (const struct member_view *view, const struct entry_node *e)
{
  const struct member_info *m = member_find (view, e->addr);

  return m && m->instance == e->instance;
}

static struct str
record_entry (struct scheduler *s, const node_id *id)
{
  const struct str addr = STR_TEXT (id->addr);
  struct entry_node *e;

  HASH_FIND (hh, s->entries, addr.data, addr.len, e);
  if (e && id->instance > e->instance)
    {
      /* It was restarted. */
      drop_lost_entry (s, e);
      e = NULL;
    }
  if (!e)
    {
      e = xcalloc (1, sizeof *e);
      e->addr = str_dup (addr);
      e->instance = id->instance;
      e->listed = is_listed (kernel_latest (s->kernel, TOPIC_MEMBERS), e);
      e->unlisted_until_ms = clock_ms () + ENTRY_UNLISTED_MS;
      HASH_ADD_KEYPTR (hh, s->entries, e->addr.data, addr.len, e);
    }
  return e->addr;
}

static void
submit (struct scheduler *s, struct unit *u, struct grant_call *c,
        const struct grant_args *args)
{
  struct str excluded[8];
  struct sched_request q = {
    .ctx = c,
    .entry = record_entry (s, &args->entry),
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
  unit_run_actions (s, u);
}

static void
on_grant (void *ctx, struct bus_request *req, const void *p)
{
  struct scheduler *s = ctx;
  const struct grant_args *args = p;
  struct sched_key key
      = sched_key_make (s, STR_TEXT (args->service), STR_TEXT (args->model));
  const bool is_own = scheduler_owns (s, &key);
  const struct member_info *owner = is_own ? NULL : scheduler_owner (s, &key);

  str_free (&key.key);
  handle_pause (s);
  if (clock_ms () < s->stale_until_ms)
    {
      /* A live caller retries shortly. */
      bus_fail (req, -ESTALE, (struct str){ 0 });
      return;
    }
  if (!is_own)
    {
      bus_fail (req, -ESTALE, owner ? owner->addr : (struct str){ 0 });
      return;
    }
  struct str id
      = str_printf (STR_FMT " " STR_FMT, STR_ARG (STR_TEXT (args->entry.addr)),
                    STR_ARG (STR_TEXT (args->request_id)));

  drop_previous_call (s, id);
  struct unit *u = unit_get (s, args);
  struct grant_call *c = xcalloc (1, sizeof *c);

  if (!u->owned)
    sched_resume (u->sched);
  u->owned = true;
  *c = (struct grant_call){
    .req = req,
    .unit = u,
    .id = id,
    .request_id = str_dup (STR_TEXT (args->request_id)),
    .customer = str_dup (STR_TEXT (args->customer)),
    .class_name = str_dup (STR_TEXT (args->class_name)),
    .cold = !u->plain && sched_target_count (u->sched) == 0,
  };
  HASH_ADD_KEYPTR (hh, s->grant_calls, c->id.data, c->id.len, c);
  submit (s, u, c, args);
}

/* Parses the epoch and grant of an attempt id; returns false if another
   process issued it. */
static bool
parse_attempt_id (const struct scheduler *s, struct str id,
                  struct grant_key *out)
{
  const struct str self = kernel_settings (s->kernel)->bus_addr;
  struct str prefix = str_printf (STR_FMT "-%lx-", STR_ARG (self),
                                  kernel_instance (s->kernel));
  const bool is_own = str_starts (id, prefix);
  const struct str rest
      = is_own ? (struct str){ id.data + prefix.len, id.len - prefix.len }
               : (struct str){ 0 };
  const char *dash = is_own ? memchr (rest.data, '-', rest.len) : NULL;

  str_free (&prefix);
  *out = (struct grant_key){ 0 };
  if (!dash)
    return false;
  const size_t n = (size_t)(dash - rest.data);

  return str_u64 ((struct str){ rest.data, n }, &out->epoch)
         && str_u64 ((struct str){ dash + 1, rest.len - n - 1 }, &out->grant);
}

/* Records what a release reports about the fingerprint, although the grant is
   one of another or a former scheduler. */
static void
merge_crash_report (struct scheduler *s, const struct release_args *args)
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
  struct grant_call *c = NULL;

  if (parse_attempt_id (s, STR_TEXT (args->attempt_id), &key))
    HASH_FIND (by_grant, s->calls_by_grant, &key, sizeof key, c);
  if (c)
    {
      struct unit *u = c->unit;

      grant_call_free (s, c);
      sched_release (u->sched, key.grant, &result, clock_ms ());
      unit_run_actions (s, u);
    }
  else
    merge_crash_report (s, args);
  bus_reply (req, NULL);
}

/* ---- topics ---- */

static void
hand_over (struct scheduler *s, struct unit *u)
{
  u->owned = false;
  sched_drain (u->sched, clock_ms ());
  unit_run_actions (s, u);
}

/* Hands over the units that now belong to another node. A unit without another
   owner keeps running. */
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
on_members (void *ctx, const void *snapshot)
{
  struct scheduler *s = ctx;
  const struct member_view *view = snapshot;
  struct entry_node *e;
  struct entry_node *next;

  HASH_ITER (hh, s->entries, e, next)
  {
    if (is_listed (view, e))
      e->listed = true;
    else if (e->listed || clock_ms () >= e->unlisted_until_ms)
      drop_lost_entry (s, e);
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
      unit_run_actions (s, u);
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
  /* The record of this node is newer than a notice that was made from it. */
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
on_fast_timer (uv_timer_t *timer)
{
  struct scheduler *s = timer->data;

  handle_pause (s);

  for (struct unit *u = s->units; u; u = u->hh.next)
    if (sched_waiting (u->sched) > 0)
      {
        sched_tick (u->sched, clock_ms ());
        unit_run_actions (s, u);
      }
  grant_queries_tick (s);
  update_fast_timer (s);
}

static bool
has_waiting_requests (const struct scheduler *s)
{
  if (s->grant_queries)
    return true;
  for (const struct unit *u = s->units; u; u = u->hh.next)
    if (sched_waiting (u->sched) > 0)
      return true;
  return false;
}

void
update_fast_timer (struct scheduler *s)
{
  const bool active = uv_is_active ((uv_handle_t *)&s->fast_timer);

  if (!s->started || s->stopped || active == has_waiting_requests (s))
    return;
  if (active)
    uv_timer_stop (&s->fast_timer);
  else
    uv_timer_start (&s->fast_timer, on_fast_timer, FAST_TIMER_MS,
                    FAST_TIMER_MS);
}

static bool
unit_unused (struct unit *u)
{
  if (sched_waiting (u->sched) > 0 || sched_in_flight (u->sched) > 0)
    return false;
  return !u->owned
         || (sched_idle_ms (u->sched, clock_ms ()) > UNIT_IDLE_MS
             && (u->plain || sched_target_count (u->sched) == 0));
}

static void
set_queue_gauge (const struct unit *u, size_t length)
{
  struct str labels
      = str_printf ("service=\"" STR_FMT "\",model=\"" STR_FMT "\"",
                    STR_ARG (u->service), STR_ARG (u->model));

  metrics_set ("galenagate_queue_length", labels, (double)length);
  str_free (&labels);
}

static void
on_slow_timer (uv_timer_t *timer)
{
  struct scheduler *s = timer->data;
  struct unit *u;
  struct unit *next;

  handle_pause (s);
  s->last_slow_timer_ms = clock_ms ();
  releases_tick (s);
  HASH_ITER (hh, s->units, u, next)
  {
    sched_tick (u->sched, clock_ms ());
    unit_run_actions (s, u);
    set_queue_gauge (u, sched_waiting (u->sched));
    if (unit_unused (u))
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
  uv_timer_init (kernel_loop (s->kernel), &s->slow_timer);
  uv_timer_init (kernel_loop (s->kernel), &s->fast_timer);
  s->slow_timer.data = s;
  s->fast_timer.data = s;
  s->started = true;
  uv_timer_start (&s->slow_timer, on_slow_timer, SLOW_TIMER_MS, SLOW_TIMER_MS);
  return 0;
}

/* Waiting requests are redirected to the new owner, or refused as not run if
   there is none. */
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
      uv_close ((uv_handle_t *)&s->slow_timer, NULL);
      uv_close ((uv_handle_t *)&s->fast_timer, NULL);
    }
  grant_queries_cancel (s);
}

static void
destroy (struct plugin *plugin)
{
  struct scheduler *s = (struct scheduler *)plugin;
  struct entry_node *e;
  struct entry_node *next;

  while (s->units)
    unit_destroy (s, s->units);
  suspect_locks_free (s);
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
