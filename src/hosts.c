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
#define TICK_MS 250
#define WATCH_MS 30000
#define RETRY_MS 1000
/* Notices tell of new lists at once; polling makes up for lost ones. */
#define POLL_MS 30000
#define FETCH_LIMIT_MS 2000
#define RELAYS_PER_DOMAIN 2
/* Long enough to reach all nodes. A longer time would mark a host that went
   and came back as leaving on nodes that start later. */
#define NOTICE_TTL_MS 60000
#define JSON_MAX_BYTES ((size_t)1 << 20)

struct hosts
{
  struct plugin plugin;
  struct kernel *kernel;
  struct hostlist *list;
  uv_timer_t timer;
  bool relay;
  bool watching;
  bool watch_failed;
  bool fetching;
  size_t turn; /* which relay is asked next */
  uint64_t next_watch;
  uint64_t next_fetch;
  uint64_t announced; /* newest version heard of by a notice */
};

static struct hosts *
of (struct plugin *plugin)
{
  return (struct hosts *)plugin;
}

static void
publish (struct hosts *h)
{
  struct host_view *view = hostlist_view (h->list);

  metrics_set ("galenagate_hosts", STR (""), (double)view->count);
  kernel_publish (h->kernel, TOPIC_HOSTS, view, free);
}

/* ---- relays ---- */

/* Relay number `place` of the failure domain of a member. */
static const struct member_info *
relay_of (const struct member_view *view, const struct member_info *in,
          size_t place)
{
  struct str key = str_printf ("relay/" STR_FMT, STR_ARG (in->domain));
  const struct member_info *m;

  for (size_t i = 0; (m = member_rank (view, in->region, key, i)) != NULL; i++)
    if (str_eq (m->domain, in->domain) && place-- == 0)
      break;
  str_free (&key);
  return m;
}

static bool
is_relay (const struct member_view *view)
{
  const struct member_info *self = &view->members[view->self];

  for (size_t i = 0; i < RELAYS_PER_DOMAIN; i++)
    if (relay_of (view, self, i) == self)
      return true;
  return false;
}

static void
on_members (void *ctx, const void *snapshot)
{
  struct hosts *h = ctx;
  const bool relay = is_relay (snapshot);

  if (relay != h->relay)
    LOG_INFO ("relay", "active=%d", relay);
  h->relay = relay;
}

static void
announce (struct hosts *h)
{
  const struct notice n = { .kind = NOTICE_HOSTS,
                            .number = hostlist_version (h->list),
                            .ttl_ms = NOTICE_TTL_MS };

  membership_spread (membership_get (h->kernel), &n);
}

static bool
take_list (struct hosts *h, struct str json)
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
  publish (h);
  return true;
}

static void
on_watch (void *ctx, struct err err, uint64_t version, struct str value)
{
  struct hosts *h = ctx;
  const uint64_t old = hostlist_version (h->list);

  (void)version;
  h->watching = false;
  if (err.code == 0 && !take_list (h, value))
    err = err_make (-EBADMSG, "host-list", STR (""));
  if (err.code != 0 && err.code != -EAGAIN && !h->watch_failed)
    LOG_WARN ("watch-failed", LOG_E_FMT, LOG_E_ARG (err));
  h->watch_failed = err.code != 0 && err.code != -EAGAIN;
  h->next_watch = clock_ms () + (h->watch_failed ? RETRY_MS : 0);
  if (hostlist_version (h->list) != old)
    announce (h);
}

static void
watch (struct hosts *h)
{
  h->watching = true;
  store_hosts (store_get (h->kernel), hostlist_version (h->list), WATCH_MS,
               on_watch, h);
}

/* ---- fetching from a relay ---- */

/* Whom to ask: the relays of the own domain in turn. A relay that cannot
   reach the store asks those of the other members' domains. */
static const struct member_info *
source (struct hosts *h, const struct member_view *view)
{
  const struct member_info *self = &view->members[view->self];
  const struct member_info *m;

  h->turn++;
  if (h->relay)
    self = &view->members[h->turn % view->count];
  m = relay_of (view, self, h->turn % RELAYS_PER_DOMAIN);
  return m ? m : relay_of (view, self, 0);
}

static void
on_fetched (void *ctx, int err, struct str hint, const void *result)
{
  struct hosts *h = ctx;
  const struct hosts_res *res = result;
  const uint64_t now = clock_ms ();
  bool done = err == 0;

  (void)hint;
  h->fetching = false;
  if (err == 0 && res->json.blob_len > 0)
    done = take_list (h, STR_BLOB (res->json));
  if (!done)
    LOG_DBG ("fetch-failed", "error=\"%s\"", err_str (err));
  else
    h->turn--; /* stay with a relay that answers */
  h->next_fetch = now + (done ? POLL_MS : RETRY_MS);
  /* The relay may not have the announced list yet. */
  if (done && h->announced > hostlist_version (h->list))
    h->next_fetch = now + RETRY_MS;
}

static void
fetch (struct hosts *h)
{
  const struct member_view *view = kernel_latest (h->kernel, TOPIC_MEMBERS);
  const struct hosts_args args
      = { .have_version = hostlist_version (h->list) };
  const struct member_info *m = view ? source (h, view) : NULL;

  h->next_fetch = clock_ms () + RETRY_MS;
  if (!m || m == &view->members[view->self])
    return;
  h->fetching = true;
  bus_call (bus_get (h->kernel), m->addr, PEER_HOSTS, &args, FETCH_LIMIT_MS,
            on_fetched, h);
}

static void
serve (void *ctx, struct bus_request *req, const void *args)
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
  struct str json = hostlist_since (h->list, a->have_version);
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

  if (h->relay && !h->watching && now >= h->next_watch)
    watch (h);
  if ((!h->relay || h->watch_failed) && !h->fetching && now >= h->next_fetch)
    fetch (h);
}

/* ---- leaving marks ---- */

static void
on_notice (void *ctx, const void *snapshot)
{
  struct hosts *h = ctx;
  const struct notice *n = snapshot;

  if (n->kind == NOTICE_LEAVING_TARGET
      && hostlist_mark (h->list, STR_TEXT (n->key)))
    publish (h);
  if (n->kind != NOTICE_HOSTS)
    return;
  h->announced = n->number;
  if (n->number != hostlist_version (h->list))
    h->next_fetch = 0;
}

void
hosts_mark_leaving (struct hosts *h, struct str addr)
{
  const struct notice n = { .kind = NOTICE_LEAVING_TARGET,
                            .key = TEXT_STR (addr),
                            .number = clock_wall_ms (),
                            .ttl_ms = NOTICE_TTL_MS };

  if (!hostlist_mark (h->list, addr))
    return;
  LOG_INFO ("leaving", "target=" STR_FMT, STR_ARG (addr));
  publish (h);
  membership_spread (membership_get (h->kernel), &n);
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
  struct hosts *h = of (plugin);

  bus_handle (bus_get (h->kernel), PEER_HOSTS, serve, h);
  kernel_subscribe (h->kernel, TOPIC_MEMBERS, on_members, h);
  kernel_subscribe (h->kernel, TOPIC_NOTICE, on_notice, h);
  on_members (h, kernel_latest (h->kernel, TOPIC_MEMBERS));
  uv_timer_init (kernel_loop (h->kernel), &h->timer);
  h->timer.data = h;
  uv_timer_start (&h->timer, on_tick, 0, TICK_MS);
  return 0;
}

static void
stop (struct plugin *plugin)
{
  struct hosts *h = of (plugin);

  if (h->timer.data)
    uv_close ((uv_handle_t *)&h->timer, NULL);
}

static void
destroy (struct plugin *plugin)
{
  struct hosts *h = of (plugin);

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
  return of (kernel_find (kernel, "hosts"));
}
