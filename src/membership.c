#include "membership.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "clock.h"
#include "err.h"
#include "leasestate.h"
#include "log.h"
#include "metrics.h"
#include "netaddr.h"
#include "settings.h"
#include "store.h"
#include "swim.h"
#include "text.h"

#define LOG_MODULE "membership"
#define TICK_MS 100
#define LOG_GAP_MS 60000
#define RECEIVE_BYTES 65536
/* Bytes of the IP and UDP headers, for the traffic counters. */
#define HEADER_BYTES 28
/* A node that finds no other one looks for lease holders in the store. */
#define LOOKUP_MS 10000
#define LOOKUP_LEASES 8
/* Time for the seeds of the settings to answer before that. */
#define SEEDS_FIRST_MS 2000

struct pending
{
  struct notice notice; /* heap-owned texts */
  struct pending *next;
};

struct membership
{
  struct plugin plugin;
  struct kernel *kernel;
  struct swim *swim;
  uv_udp_t udp;
  uv_timer_t timer;
  bool open;
  bool publishing;
  struct pending *first;
  struct pending **last;
  uint64_t version;
  uint64_t revisions;
  uint64_t other_formats;
  uint64_t logged_at;
  uint64_t next_lookup;
  char buffer[RECEIVE_BYTES];
};

static struct membership *
of (struct plugin *plugin)
{
  return (struct membership *)plugin;
}

/* ---- sending ---- */

static void
send_message (void *ctx, struct str to, const struct gossip *msg)
{
  struct membership *m = ctx;
  struct sockaddr_in sa;
  char bytes[SWIM_DATAGRAM_BYTES];
  XDR xdr;

  if (!m->open || !netaddr_parse (to, &sa))
    return;
  xdrmem_create (&xdr, bytes, sizeof bytes, XDR_ENCODE);
  if (!xdr_gossip (&xdr, (struct gossip *)msg))
    {
      LOG_ERR ("encode-failed", "kind=%d to=" STR_FMT, (int)msg->kind,
               STR_ARG (to));
      return;
    }
  const uv_buf_t buf = uv_buf_init (bytes, xdr_getpos (&xdr));
  const int rc
      = uv_udp_try_send (&m->udp, &buf, 1, (const struct sockaddr *)&sa);
  if (rc < 0)
    metrics_add ("galenagate_gossip_dropped_total", STR ("reason=\"send\""),
                 1);
  else
    metrics_add ("galenagate_gossip_bytes_total", STR ("direction=\"sent\""),
                 (uint64_t)rc + HEADER_BYTES);
}

/* ---- publishing ---- */

static void
destroy_notice (void *p)
{
  struct pending *n = p;

  text_free (&n->notice.key);
  text_free (&n->notice.value);
  free (n);
}

static void
queue_notice (void *ctx, const struct notice *notice)
{
  struct membership *m = ctx;
  struct pending *p = xcalloc (1, sizeof *p);

  p->notice = *notice;
  p->notice.key = text_copy (notice->key);
  p->notice.value = text_copy (notice->value);
  *m->last = p;
  m->last = &p->next;
}

static void
log_changes (const struct member_view *old, const struct member_view *new)
{
  static const char *const names[] = { "alive", "suspect", "leaving", "dead" };

  for (size_t i = 0; i < new->count; i++)
    {
      const struct member_info *now = &new->members[i];
      const struct member_info *was = member_find (old, now->addr);

      if (!was || was->state != now->state || was->instance != now->instance)
        LOG_INFO ("member", "addr=" STR_FMT " instance=%lu state=%s",
                  STR_ARG (now->addr), now->instance, names[now->state]);
    }
  for (size_t i = 0; old && i < old->count; i++)
    if (!member_find (new, old->members[i].addr))
      LOG_INFO ("member", "addr=" STR_FMT " instance=%lu state=dead",
                STR_ARG (old->members[i].addr), old->members[i].instance);
}

static void
publish_view (struct membership *m)
{
  struct member_view *view = swim_view (m->swim);

  log_changes (kernel_latest (m->kernel, TOPIC_MEMBERS), view);

  m->version = swim_version (m->swim);
  m->revisions = swim_revisions (m->swim);
  metrics_set ("galenagate_members", STR (""), (double)view->count);
  kernel_publish (m->kernel, TOPIC_MEMBERS, view, free);
}

static void
publish_notices (struct membership *m)
{
  struct pending *p;

  while ((p = m->first) != NULL)
    {
      m->first = p->next;
      if (!m->first)
        m->last = &m->first;
      kernel_publish (m->kernel, TOPIC_NOTICE, &p->notice, destroy_notice);
    }
}

/* Publishes what changed. A subscriber may spread a notice or set the revision
   meanwhile; that is published after it returned, because the kernel frees
   the snapshot that subscribers are reading when the next one arrives. */
static void
publish (struct membership *m, bool revisions)
{
  if (m->publishing)
    return;
  m->publishing = true;
  while (m->first || m->version != swim_version (m->swim)
         || (revisions && m->revisions != swim_revisions (m->swim)))
    {
      if (m->version != swim_version (m->swim)
          || (revisions && m->revisions != swim_revisions (m->swim)))
        publish_view (m);
      publish_notices (m);
    }
  m->publishing = false;
}

/* ---- receiving ---- */

static void
drop_format (struct membership *m, uint32_t format)
{
  const uint64_t now = clock_ms ();

  m->other_formats++;
  metrics_add ("galenagate_gossip_dropped_total", STR ("reason=\"format\""),
               1);
  if (m->logged_at > 0 && now - m->logged_at < LOG_GAP_MS)
    return;
  m->logged_at = now;
  LOG_WARN ("gossip-format", "format=%u expected=%d dropped=%lu", format,
            SWIM_FORMAT, m->other_formats);
}

static void
receive (struct membership *m, char *bytes, size_t n)
{
  struct gossip msg = { 0 };
  uint32_t format;
  XDR xdr;

  metrics_add ("galenagate_gossip_bytes_total", STR ("direction=\"received\""),
               n + HEADER_BYTES);
  xdrmem_create (&xdr, bytes, (u_int)n, XDR_DECODE);
  if (!xdr_u_int (&xdr, &format) || format != SWIM_FORMAT)
    {
      drop_format (m, n < sizeof format ? 0 : format);
      return;
    }
  xdr_setpos (&xdr, 0);
  if (xdr_gossip (&xdr, &msg))
    swim_receive (m->swim, &msg, clock_ms ());
  else
    metrics_add ("galenagate_gossip_dropped_total",
                 STR ("reason=\"malformed\""), 1);
  xdr_free ((xdrproc_t)xdr_gossip, &msg);
  publish (m, false);
}

static void
give_buffer (uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
  struct membership *m = handle->data;

  (void)suggested;
  *buf = uv_buf_init (m->buffer, sizeof m->buffer);
}

static void
on_datagram (uv_udp_t *udp, ssize_t n, const uv_buf_t *buf,
             const struct sockaddr *from, unsigned flags)
{
  struct membership *m = udp->data;

  if (n <= 0 || !from || (flags & UV_UDP_PARTIAL))
    return;
  receive (m, buf->base, (size_t)n);
}

/* ---- seeds ---- */

static void
on_lease (void *ctx, struct err err, uint64_t version, struct str value)
{
  struct membership *m = ctx;
  struct lease_record r;

  (void)version;
  if (err.code != 0 || lease_record_decode (value, &r) != 0)
    return;
  swim_seed (m->swim, r.holder);
  str_free (&r.holder);
}

static void
on_leases (void *ctx, struct err err, uint64_t version, struct str value)
{
  struct membership *m = ctx;
  json_t *list
      = err.code == 0 ? json_loadb (value.data, value.len, 0, NULL) : NULL;

  (void)version;
  for (size_t i = 0; i < json_array_size (list) && i < LOOKUP_LEASES; i++)
    {
      const char *key = json_string_value (
          json_object_get (json_array_get (list, i), "key"));

      if (key)
        store_read (store_get (m->kernel), str_from (key), on_lease, m);
    }
  json_decref (list);
}

static void
look_up_seeds (struct membership *m, uint64_t now)
{
  if (now < m->next_lookup || !swim_alone (m->swim))
    return;
  m->next_lookup = now + LOOKUP_MS;
  store_list (store_get (m->kernel), STR ("lease/"), on_leases, m);
}

static void
on_tick (uv_timer_t *timer)
{
  struct membership *m = timer->data;
  const uint64_t now = clock_ms ();

  swim_tick (m->swim, now);
  look_up_seeds (m, now);
  publish (m, true);
}

/* ---- plug-in ---- */

static void
add_seeds (struct membership *m)
{
  struct str rest = kernel_settings (m->kernel)->seeds;

  while (rest.len > 0)
    {
      const char *comma = memchr (rest.data, ',', rest.len);
      const size_t n = comma ? (size_t)(comma - rest.data) : rest.len;

      swim_seed (m->swim, (struct str){ rest.data, n });
      const size_t skip = comma ? n + 1 : n;
      rest.data += skip;
      rest.len -= skip;
    }
}

static void
on_drain (void *ctx, const void *snapshot)
{
  struct membership *m = ctx;

  (void)snapshot;
  swim_leave (m->swim, MEMBER_LEAVING, clock_ms ());
  publish (m, false);
}

static struct plugin *create (struct kernel *kernel);

static int
start (struct plugin *plugin)
{
  struct membership *m = of (plugin);
  const struct settings *s = kernel_settings (m->kernel);
  struct sockaddr_in sa;
  int rc;

  if (s->region.len > SWIM_NAME_MAX || s->domain.len > SWIM_NAME_MAX)
    {
      LOG_ERR ("name-too-long", "region=" STR_FMT " domain=" STR_FMT " max=%d",
               STR_ARG (s->region), STR_ARG (s->domain), SWIM_NAME_MAX);
      return -EINVAL;
    }
  uv_udp_init (kernel_loop (m->kernel), &m->udp);
  uv_timer_init (kernel_loop (m->kernel), &m->timer);
  m->udp.data = m;
  m->timer.data = m;
  m->open = true;
  rc = netaddr_parse (s->bus_addr, &sa) ? 0 : -EINVAL;
  if (rc == 0)
    rc = uv_udp_bind (&m->udp, (const struct sockaddr *)&sa, 0);
  if (rc == 0)
    rc = uv_udp_recv_start (&m->udp, give_buffer, on_datagram);
  if (rc != 0)
    {
      LOG_ERR ("bind-failed", "addr=" STR_FMT " error=\"%s\"",
               STR_ARG (s->bus_addr), err_str (rc));
      return rc;
    }
  m->next_lookup = clock_ms () + (s->seeds.len > 0 ? SEEDS_FIRST_MS : 0);
  uv_timer_start (&m->timer, on_tick, 0, TICK_MS);
  publish (m, true);
  return 0;
}

static void
drain (struct plugin *plugin)
{
  struct membership *m = of (plugin);

  swim_leave (m->swim, MEMBER_DEAD, clock_ms ());
  kernel_drained (m->kernel, plugin);
}

static void
stop (struct plugin *plugin)
{
  struct membership *m = of (plugin);

  if (!m->open)
    return;
  m->open = false;
  uv_close ((uv_handle_t *)&m->udp, NULL);
  uv_close ((uv_handle_t *)&m->timer, NULL);
}

static void
destroy (struct plugin *plugin)
{
  struct membership *m = of (plugin);
  struct pending *p;

  while ((p = m->first) != NULL)
    {
      m->first = p->next;
      destroy_notice (p);
    }
  swim_destroy (m->swim);
  free (m);
}

static const struct plugin_ops ops = {
  .name = "membership",
  .rank = RANK_MEMBERSHIP,
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
  static const struct swim_actions actions
      = { .send = send_message, .notice = queue_notice };
  const struct settings *s = kernel_settings (kernel);
  const uint64_t instance = kernel_instance (kernel);
  struct membership *m = xcalloc (1, sizeof *m);
  const struct member self = {
    .id = { .addr = TEXT_STR (s->bus_addr), .instance = instance },
    .http_addr = TEXT_STR (s->http_addr),
    .region = TEXT_STR (s->region),
    .domain = TEXT_STR (s->domain),
  };

  m->plugin.ops = &ops;
  m->kernel = kernel;
  m->last = &m->first;
  m->swim = swim_create (&self, str_hash (s->bus_addr, instance), &actions, m);
  add_seeds (m);
  kernel_subscribe (kernel, TOPIC_DRAIN, on_drain, m);
  return &m->plugin;
}

struct membership *
membership_get (struct kernel *kernel)
{
  return of (kernel_find (kernel, "membership"));
}

void
membership_spread (struct membership *m, const struct notice *notice)
{
  swim_spread (m->swim, notice, clock_ms ());
  publish (m, false);
}

void
membership_set_revision (struct membership *m, uint64_t revision)
{
  swim_set_revision (m->swim, revision);
}
