#include "hosts.h"

#include <errno.h>
#include <stdlib.h>

#include "bus.h"
#include "clock.h"
#include "err.h"
#include "hostlist.h"
#include "log.h"
#include "member.h"
#include "membership.h"
#include "metrics.h"
#include "settings.h"
#include "store.h"

#define LOG_MODULE "hosts"
#define TICK_INTERVAL_MS 250
#define WATCH_TIMEOUT_MS 30000
#define RETRY_DELAY_MS 1000
/* Notices announce new lists at once; polling covers lost notices. */
#define POLL_INTERVAL_MS 30000
#define FETCH_TIMEOUT_MS 2000
/* Relays watch the host list in the store; the other nodes of the failure
   domain fetch it from them. */
#define RELAYS_PER_DOMAIN 2
/* Long enough to reach all nodes. With a longer time, nodes that start later
   would mark a host as leaving that has left and come back since. */
#define NOTICE_TTL_MS 60000
#define JSON_MAX_BYTES ((size_t)1 << 20)

struct hosts
{
  struct plugin plugin;
  struct kernel *kernel;
  struct hostlist *list;
  uv_timer_t timer;
  bool acts_as_relay;
  bool watching;
  bool watch_failed;
  bool fetching;
  size_t relay_turn; /* selects the relay of the next fetch */
  uint64_t next_watch_ms;
  uint64_t next_fetch_ms;
  uint64_t announced_version; /* of the last notice */
};

static struct hosts *
plugin_hosts (struct plugin *plugin)
{
  return (struct hosts *)plugin;
}

static void
publish_hosts (struct hosts *h)
{
  struct host_view *view = hostlist_view (h->list);

  metrics_set ("galenagate_hosts", STR (""), (double)view->count);
  kernel_publish (h->kernel, TOPIC_HOSTS, view, free);
}

/* ---- relays ---- */

/* Returns the relay with a rank in a member's failure domain, or NULL if fewer
   live nodes of the domain are known. */
static const struct member_info *
domain_relay (const struct member_view *view, const struct member_info *member,
              size_t rank)
{
  struct str key = str_printf ("relay/" STR_FMT, STR_ARG (member->domain));
  const struct member_info *m;

  for (size_t i = 0;
       (m = member_at_rank (view, member->region, key, i)) != NULL; i++)
    if (str_eq (m->domain, member->domain) && rank-- == 0)
      break;
  str_free (&key);
  return m;
}

static bool
self_is_relay (const struct member_view *view)
{
  const struct member_info *self = &view->members[view->self];

  for (size_t i = 0; i < RELAYS_PER_DOMAIN; i++)
    if (domain_relay (view, self, i) == self)
      return true;
  return false;
}

static void
on_members (void *ctx, const void *snapshot)
{
  struct hosts *h = ctx;
  const bool relay = self_is_relay (snapshot);

  if (relay != h->acts_as_relay)
    LOG_INFO ("relay", "active=%d", relay);
  h->acts_as_relay = relay;
}

static void
announce_version (struct hosts *h)
{
  const struct notice n = { .kind = NOTICE_HOSTS,
                            .number = hostlist_version (h->list),
                            .ttl_ms = NOTICE_TTL_MS };

  membership_broadcast_notice (membership_get (h->kernel), &n);
}

static bool
apply_list (struct hosts *h, struct str json)
{
  const uint64_t old = hostlist_version (h->list);
  const int rc = hostlist_apply (h->list, json);

  if (rc != 0)
    {
      LOG_WARN ("list-unusable", "version=%lu error=\"%s\"", old,
                err_str (rc));
      return false;
    }
  if (hostlist_version (h->list) == old)
    return true;
  LOG_DBG ("list", "version=%lu", hostlist_version (h->list));
  publish_hosts (h);
  return true;
}

static void
on_watch (void *ctx, struct err err, uint64_t version, struct str value)
{
  struct hosts *h = ctx;
  const uint64_t old = hostlist_version (h->list);

  (void)version;
  h->watching = false;
  if (err.code == 0 && !apply_list (h, value))
    err = err_make (-EBADMSG, "host-list", STR (""));
  if (err.code != 0 && err.code != -EAGAIN && !h->watch_failed)
    LOG_WARN ("watch-failed", LOG_E_FMT, LOG_E_ARG (err));
  h->watch_failed = err.code != 0 && err.code != -EAGAIN;
  h->next_watch_ms = clock_ms () + (h->watch_failed ? RETRY_DELAY_MS : 0);
  if (hostlist_version (h->list) != old)
    announce_version (h);
}

static void
watch_store (struct hosts *h)
{
  h->watching = true;
  store_watch_hosts (store_get (h->kernel), hostlist_version (h->list),
                     WATCH_TIMEOUT_MS, on_watch, h);
}

/* ---- fetching from a relay ---- */

/* Returns the relay to fetch from: the relays of this node's failure domain in
   turn. A relay, which fetches only while it cannot reach the store, goes
   through all members and uses the relays of their domains. */
static const struct member_info *
choose_relay (struct hosts *h, const struct member_view *view)
{
  const struct member_info *self = &view->members[view->self];
  const struct member_info *m;

  h->relay_turn++;
  if (h->acts_as_relay)
    self = &view->members[h->relay_turn % view->count];
  m = domain_relay (view, self, h->relay_turn % RELAYS_PER_DOMAIN);
  return m ? m : domain_relay (view, self, 0);
}

static void
on_fetch_reply (void *ctx, int err, struct str hint, const void *result)
{
  struct hosts *h = ctx;
  const struct hosts_res *res = result;
  const uint64_t now = clock_ms ();
  bool succeeded = err == 0;

  (void)hint;
  h->fetching = false;
  if (err == 0 && res->json.blob_len > 0)
    succeeded = apply_list (h, STR_BLOB (res->json));
  if (!succeeded)
    LOG_DBG ("fetch-failed", "error=\"%s\"", err_str (err));
  else
    h->relay_turn--; /* keep using a relay that replies */
  h->next_fetch_ms = now + (succeeded ? POLL_INTERVAL_MS : RETRY_DELAY_MS);
  /* The relay may not have the announced list yet. */
  if (succeeded && h->announced_version > hostlist_version (h->list))
    h->next_fetch_ms = now + RETRY_DELAY_MS;
}

static void
fetch_from_relay (struct hosts *h)
{
  const struct member_view *view = kernel_latest (h->kernel, TOPIC_MEMBERS);
  const struct hosts_args args
      = { .have_version = hostlist_version (h->list) };
  const struct member_info *m = view ? choose_relay (h, view) : NULL;

  h->next_fetch_ms = clock_ms () + RETRY_DELAY_MS;
  if (!m || m == &view->members[view->self])
    return;
  h->fetching = true;
  bus_call (bus_get (h->kernel), m->addr, PEER_HOSTS, &args, FETCH_TIMEOUT_MS,
            on_fetch_reply, h);
}

static void
on_hosts_request (void *ctx, struct bus_request *req, const void *args)
{
  struct hosts *h = ctx;
  const struct hosts_args *a = args;
  struct hosts_res res = { .list_version = hostlist_version (h->list) };

  if (res.list_version == 0)
    {
      bus_fail (req, -EAGAIN, STR (""));
      return;
    }
  if (a->have_version == res.list_version)
    {
      bus_reply (req, &res);
      return;
    }
  struct str json = hostlist_json_since (h->list, a->have_version);
  res.json = BLOB_STR (json);
  if (json.len > JSON_MAX_BYTES)
    bus_fail (req, -EFBIG, STR (""));
  else
    bus_reply (req, &res);
  str_free (&json);
}

static void
on_tick (uv_timer_t *timer)
{
  struct hosts *h = timer->data;
  const uint64_t now = clock_ms ();

  if (h->acts_as_relay && !h->watching && now >= h->next_watch_ms)
    watch_store (h);
  if ((!h->acts_as_relay || h->watch_failed) && !h->fetching
      && now >= h->next_fetch_ms)
    fetch_from_relay (h);
}

/* ---- leaving marks ---- */

static void
on_notice (void *ctx, const void *snapshot)
{
  struct hosts *h = ctx;
  const struct notice *n = snapshot;

  if (n->kind == NOTICE_LEAVING_TARGET
      && hostlist_mark_leaving (h->list, STR_TEXT (n->key)))
    publish_hosts (h);
  if (n->kind != NOTICE_HOSTS)
    return;
  h->announced_version = n->number;
  if (n->number != hostlist_version (h->list))
    h->next_fetch_ms = 0;
}

void
hosts_mark_leaving (struct hosts *h, struct str addr)
{
  const struct notice n = { .kind = NOTICE_LEAVING_TARGET,
                            .key = TEXT_STR (addr),
                            .number = clock_wall_ms (),
                            .ttl_ms = NOTICE_TTL_MS };

  if (!hostlist_mark_leaving (h->list, addr))
    return;
  LOG_INFO ("leaving", "target=" STR_FMT, STR_ARG (addr));
  publish_hosts (h);
  membership_broadcast_notice (membership_get (h->kernel), &n);
}

const struct host *
hosts_find (const struct host_view *view, struct str addr)
{
  size_t lo = 0;
  size_t hi = view ? view->count : 0;

  while (lo < hi)
    {
      const size_t mid = lo + (hi - lo) / 2;
      const int c = str_cmp (view->hosts[mid].addr, addr);

      if (c == 0)
        return &view->hosts[mid];
      if (c < 0)
        lo = mid + 1;
      else
        hi = mid;
    }
  return NULL;
}

/* ---- plug-in ---- */

static int
start (struct plugin *plugin)
{
  struct hosts *h = plugin_hosts (plugin);

  bus_handle (bus_get (h->kernel), PEER_HOSTS, on_hosts_request, h);
  kernel_subscribe (h->kernel, TOPIC_MEMBERS, on_members, h);
  kernel_subscribe (h->kernel, TOPIC_NOTICE, on_notice, h);
  on_members (h, kernel_latest (h->kernel, TOPIC_MEMBERS));
  uv_timer_init (kernel_loop (h->kernel), &h->timer);
  h->timer.data = h;
  uv_timer_start (&h->timer, on_tick, 0, TICK_INTERVAL_MS);
  return 0;
}

static void
stop (struct plugin *plugin)
{
  struct hosts *h = plugin_hosts (plugin);

  if (h->timer.data)
    uv_close ((uv_handle_t *)&h->timer, NULL);
}

static void
destroy (struct plugin *plugin)
{
  struct hosts *h = plugin_hosts (plugin);

  hostlist_destroy (h->list);
  free (h);
}

static struct plugin *create (struct kernel *kernel);

static const struct plugin_ops ops = {
  .name = "hosts",
  .rank = RANK_HOSTS,
  .create = create,
  .start = start,
  .stop = stop,
  .destroy = destroy,
};
KERNEL_PLUGIN (ops)

static struct plugin *
create (struct kernel *kernel)
{
  struct hosts *h = xcalloc (1, sizeof *h);

  h->plugin.ops = &ops;
  h->kernel = kernel;
  h->list = hostlist_create ();
  return &h->plugin;
}

struct hosts *
hosts_get (struct kernel *kernel)
{
  return plugin_hosts (kernel_find (kernel, "hosts"));
}
