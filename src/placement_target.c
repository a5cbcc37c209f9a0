#include "placement_impl.h"

#include <errno.h>
#include <stdlib.h>

#include "clock.h"
#include "err.h"
#include "lease.h"
#include "log.h"
#include "metrics.h"

#define LOG_MODULE "placement"
/* Time that a server may delay a status response until its status changes. */
#define POLL_WAIT_MS 20000
/* The same while a load or unload is pending on the server: a dead connection
   would otherwise hide its result for the whole wait. */
#define POLL_PENDING_WAIT_MS 1000
#define POLL_GRACE_MS 1500
#define POLL_RETRY_MS 500
/* Interval between polls while the ledger has entries that the status does not
   show. */
#define POLL_UNCONFIRMED_MS 300
/* After refusing connections for this long, the server's process is taken to
   have ended and its memory to be free. */
#define REFUSED_LIMIT_MS 2000
/* A server that is no longer in the host list, and does not respond or holds
   nothing, is removed after this time. */
#define UNLISTED_LIMIT_MS 3000

static void
target_free (struct place_target *t)
{
  if (t->poll)
    http_cancel (t->poll);
  for (size_t i = 0; i < t->cached_count; i++)
    replica_key_free (&t->cached[i]);
  free (t->cached);
  str_free (&t->addr);
  free (t);
}

struct place_target *
place_target (const struct place_service *s, struct str addr)
{
  struct place_target *t;

  HASH_FIND (hh, s->targets, addr.data, addr.len, t);
  return t;
}

static void
add_target (struct place_service *s, struct str addr)
{
  struct place_target *t = xcalloc (1, sizeof *t);

  t->service = s;
  t->addr = str_dup (addr);
  HASH_ADD_KEYPTR (hh, s->targets, t->addr.data, t->addr.len, t);
}

static bool
is_listed (const struct place_service *s, const struct host_view *view,
           struct str addr)
{
  const struct host *h = hosts_find (view, addr);

  return h && str_eq (h->service, s->name);
}

static void
remove_target (struct place_service *s, struct place_target *t)
{
  const struct ledger_server *server = ledger_find_server (s->ledger, t->addr);

  LOG_INFO (
      "server-gone",
      "service=" STR_FMT " target=" STR_FMT " entries=%zu reason=not-listed",
      STR_ARG (s->name), STR_ARG (t->addr), server ? server->entry_count : 0);
  ledger_server_ended (s->ledger, t->addr, true);
  HASH_DEL (s->targets, t);
  target_free (t);
}

/* Marks servers that are not in the host list as leaving, so that they get no
   loads. Those that hold something are removed only if they do not respond
   either, because this node's list may be older than the server. */
static void
check_unlisted (struct place_service *s, const struct host_view *view,
                uint64_t now)
{
  struct place_target *t;
  struct place_target *next;

  HASH_ITER (hh, s->targets, t, next)
  {
    struct ledger_server *server = ledger_find_server (s->ledger, t->addr);

    if (is_listed (s, view, t->addr))
      {
        t->unlisted_since_ms = 0;
        continue;
      }
    if (t->unlisted_since_ms == 0)
      t->unlisted_since_ms = now;
    if (server)
      server->listed_leaving = true;
    if (now >= t->unlisted_since_ms + UNLISTED_LIMIT_MS
        && (t->poll_failed || !server || server->entry_count == 0))
      remove_target (s, t);
  }
}

void
place_sync_hosts (struct place_service *s)
{
  const struct host_view *view = kernel_latest (s->kernel, TOPIC_HOSTS);

  if (!view || !place_serving (s))
    return;
  for (size_t i = 0; i < view->count; i++)
    {
      const struct host *h = &view->hosts[i];

      if (str_eq (h->service, s->name))
        ledger_server_add (s->ledger, h->addr, h->domain)->listed_leaving
            = h->leaving;
    }
  for (size_t i = 0; i < s->ledger->server_count; i++)
    if (!place_target (s, s->ledger->servers[i]->addr))
      add_target (s, s->ledger->servers[i]->addr);
  check_unlisted (s, view, clock_ms ());
}

/* Status polls. */

static void
remember_cached (struct place_target *t, const struct replica_key *key)
{
  for (size_t i = 0; i < t->cached_count; i++)
    if (replica_key_eq (&t->cached[i], key))
      return;
  if (t->cached_count == PLACE_CACHED_MAX)
    {
      replica_key_free (&t->cached[0]);
      t->cached[0] = t->cached[--t->cached_count];
    }
  t->cached = xrealloc (t->cached, PLACE_CACHED_MAX * sizeof *t->cached);
  t->cached[t->cached_count++] = replica_key_dup (key);
}

/* Returns true if the ledger has an entry that the status does not show. */
static bool
has_unconfirmed_entry (const struct ledger_server *server,
                       const struct target_status *status)
{
  for (size_t i = 0; i < server->entry_count; i++)
    if (!target_status_find (status, &server->entries[i]->key))
      return true;
  return false;
}

static void
record_loaded (struct place_service *s, struct place_target *t,
               struct ledger_entry *e, uint64_t now)
{
  const uint64_t ms = now - e->decided_ms;

  remember_cached (t, &e->key);
  e->load_logged = true;
  LOG_INFO ("loaded",
            "service=" STR_FMT " target=" STR_FMT " model=" STR_FMT
            " adapter=" STR_FMT " order=" STR_FMT " ms=%lu",
            STR_ARG (s->name), STR_ARG (t->addr), STR_ARG (e->key.model),
            STR_ARG (e->key.adapter), STR_ARG (e->order_id), ms);
  if (!e->holds_load_slot)
    return;
  e->holds_load_slot = false;
  place_return_slot (s,
                     e->key.adapter.len > 0 ? BUDGET_ADAPTER : BUDGET_MODEL);
  metrics_add ("galenagate_loads_total", s->metric_labels, 1);
  metrics_observe ("galenagate_load_ms", s->metric_labels, (double)ms);
}

/* Records a load as failed when the server accepted it, but its status does
   not show it any more. */
static void
record_failed_loads (struct place_service *s, const struct place_target *t,
                     const struct ledger_server *server,
                     const struct target_status *status)
{
  for (size_t i = 0; i < server->entry_count; i++)
    {
      const struct ledger_entry *e = server->entries[i];

      if (e->state != LEDGER_INTENT_LOAD || e->order_open
          || e->instance != status->instance
          || t->poll_sent_ms < e->accepted_ms
          || target_status_find (status, &e->key))
        continue;
      LOG_WARN ("load-failed",
                "service=" STR_FMT " target=" STR_FMT " model=" STR_FMT
                " adapter=" STR_FMT " order=" STR_FMT,
                STR_ARG (s->name), STR_ARG (t->addr), STR_ARG (e->key.model),
                STR_ARG (e->key.adapter), STR_ARG (e->order_id));
      place_on_load_failure (s, t->addr, &e->key, false);
      if (e->holds_load_slot)
        place_return_slot (s, e->key.adapter.len > 0 ? BUDGET_ADAPTER
                                                     : BUDGET_MODEL);
    }
}

static void
reconcile (struct place_target *t, const struct target_status *status)
{
  struct place_service *s = t->service;
  const uint64_t now = clock_ms ();
  struct ledger_server *server = ledger_find_server (s->ledger, t->addr);

  if (!server)
    return;
  t->leaving_reported |= status->leaving && !server->leaving;
  record_failed_loads (s, t, server, status);
  ledger_apply_status (s->ledger, t->addr, status, t->poll_sent_ms, now);
  for (size_t i = 0; i < server->entry_count; i++)
    if (server->entries[i]->loaded_ms > 0 && !server->entries[i]->load_logged)
      record_loaded (s, t, server->entries[i], now);
  t->status_seq = status->seq;
  t->next_poll_ms = now;
  if (has_unconfirmed_entry (server, status))
    {
      t->status_seq = 0;
      t->next_poll_ms = now + POLL_UNCONFIRMED_MS;
    }
}

static void
on_poll_failure (struct place_target *t, const struct err *err)
{
  struct place_service *s = t->service;
  const uint64_t now = clock_ms ();

  t->next_poll_ms = now + POLL_RETRY_MS;
  t->status_seq = 0;
  t->poll_failed = true;
  t->poll_timed_out = err->code == -ETIMEDOUT;
  if (err->code != -ECONNREFUSED)
    {
      t->refused_since_ms = 0;
      return;
    }
  if (t->refused_since_ms == 0)
    t->refused_since_ms = now;
  struct ledger_server *server = ledger_find_server (s->ledger, t->addr);
  if (!server || now < t->refused_since_ms + REFUSED_LIMIT_MS
      || (!server->status_known && server->entry_count == 0))
    return;
  LOG_WARN ("server-gone",
            "service=" STR_FMT " target=" STR_FMT
            " entries=%zu reason=connection-refused",
            STR_ARG (s->name), STR_ARG (t->addr), server->entry_count);
  ledger_server_ended (s->ledger, t->addr, false);
}

static void
on_status (void *ctx, struct http_call *call, struct err err, int status,
           bool sent, struct str body)
{
  struct place_target *t = ctx;
  struct place_service *s = t->service;
  struct target_status st = { 0 };

  (void)call;
  (void)sent;
  t->poll = NULL;
  if (!place_serving (s))
    {
      t->next_poll_ms = clock_ms () + POLL_RETRY_MS;
      return;
    }
  if (err.code == 0
      && (status != 200 || target_status_decode (body, &st) != 0))
    {
      err = err_make (-EBADMSG, "status", t->addr);
      LOG_WARN ("status-unreadable", "target=" STR_FMT " status=%d",
                STR_ARG (t->addr), status);
    }
  if (err.code != 0)
    on_poll_failure (t, &err);
  else
    {
      t->refused_since_ms = 0;
      t->poll_failed = false;
      t->poll_timed_out = false;
      reconcile (t, &st);
      target_status_free (&st);
    }
  struct str leaving = { 0 };
  if (t->leaving_reported)
    leaving = str_dup (t->addr);
  t->leaving_reported = false;
  place_answer_wakes (s);
  place_decide (s);
  place_poll (s);
  /* Done last, because the updated host list may remove the target. */
  if (leaving.len > 0)
    {
      LOG_INFO ("target-leaving", "service=" STR_FMT " target=" STR_FMT,
                STR_ARG (s->name), STR_ARG (leaving));
      hosts_mark_leaving (hosts_get (s->kernel), leaving);
    }
  str_free (&leaving);
}

static const struct http_events status_events = { .done = on_status };

static bool
has_pending_entry (const struct place_target *t)
{
  const struct ledger_server *server
      = ledger_find_server (t->service->ledger, t->addr);

  for (size_t i = 0; server && i < server->entry_count; i++)
    if (server->entries[i]->state != LEDGER_LOADED)
      return true;
  return false;
}

static void
poll_target (struct place_target *t)
{
  struct place_service *s = t->service;
  const uint32_t wait_ms
      = has_pending_entry (t) ? POLL_PENDING_WAIT_MS : POLL_WAIT_MS;
  struct str url
      = str_printf ("http://" STR_FMT "/status?since=%lu&wait_ms=%u",
                    STR_ARG (t->addr), t->status_seq, wait_ms);
  const struct http_request req = {
    .method = STR ("GET"),
    .url = url,
    .total_ms = wait_ms + POLL_GRACE_MS,
    .repeat_if_closed = true,
    .new_connection = t->poll_timed_out,
  };

  t->poll_sent_ms = clock_ms ();
  t->poll = http_send (http_get (s->kernel), &req, &status_events, t);
  str_free (&url);
}

void
place_poll (struct place_service *s)
{
  const uint64_t now = clock_ms ();

  if (!place_serving (s))
    return;
  for (struct place_target *t = s->targets; t; t = t->hh.next)
    {
      if (t->poll
          && now >= t->poll_sent_ms + POLL_PENDING_WAIT_MS + POLL_GRACE_MS
          && has_pending_entry (t))
        {
          http_cancel (t->poll);
          t->poll = NULL;
          t->next_poll_ms = now;
        }
      if (!t->poll && now >= t->next_poll_ms)
        poll_target (t);
    }
}

void
place_poll_stop (struct place_service *s)
{
  struct place_target *t;
  struct place_target *next;

  HASH_ITER (hh, s->targets, t, next)
  {
    HASH_DEL (s->targets, t);
    target_free (t);
  }
}
