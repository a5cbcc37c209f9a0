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
/* Minimum interval between two warnings about datagrams of another format. */
#define MISMATCH_LOG_INTERVAL_MS 60000
#define RECEIVE_BUFFER_BYTES 65536
/* Size of the IP and UDP headers, counted in the traffic metrics. */
#define IP_UDP_HEADER_BYTES 28
/* Interval at which a node that knows no other live node reads lease holders
   from the store to use them as seeds. */
#define SEED_LOOKUP_INTERVAL_MS 10000
#define SEED_LOOKUP_LEASES_MAX 8
/* Delay of the first lookup if the settings name seeds, so that these can
   answer first. */
#define SEED_LOOKUP_DELAY_MS 2000

struct pending_notice
{
  struct notice notice; /* owns its texts */
  struct pending_notice *next;
};

struct membership
{
  struct plugin plugin;
  struct kernel *kernel;
  struct swim *swim;
  uv_udp_t udp;
  uv_timer_t timer;
  bool handles_open;
  bool publishing;
  struct pending_notice *pending_head;
  struct pending_notice **pending_tail;
  uint64_t published_version;
  uint64_t published_revision_changes;
  uint64_t format_mismatches;
  uint64_t mismatch_logged_at;
  uint64_t next_seed_lookup;
  char buffer[RECEIVE_BUFFER_BYTES];
};

static struct membership *
membership_of (struct plugin *plugin)
{
  return (struct membership *)plugin;
}

/* ---- sending ---- */

static void
send_gossip (void *ctx, struct str to, const struct gossip *msg)
{
  struct membership *m = ctx;
  struct sockaddr_in sa;
  char bytes[SWIM_DATAGRAM_BYTES];
  XDR xdr;

  if (!m->handles_open || !netaddr_parse (to, &sa))
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
                 (uint64_t)rc + IP_UDP_HEADER_BYTES);
}

/* ---- publishing ---- */

static void
free_pending_notice (void *p)
{
  struct pending_notice *n = p;

  text_free (&n->notice.key);
  text_free (&n->notice.value);
  free (n);
}

static void
queue_notice (void *ctx, const struct notice *notice)
{
  struct membership *m = ctx;
  struct pending_notice *p = xcalloc (1, sizeof *p);

  p->notice = *notice;
  p->notice.key = text_copy (notice->key);
  p->notice.value = text_copy (notice->value);
  *m->pending_tail = p;
  m->pending_tail = &p->next;
}

static void
log_member_changes (const struct member_view *old_view,
                    const struct member_view *new_view)
{
  static const char *const names[] = { "alive", "suspect", "leaving", "dead" };

  for (size_t i = 0; i < new_view->count; i++)
    {
      const struct member_info *current = &new_view->members[i];
      const struct member_info *previous
          = member_find (old_view, current->addr);

      if (!previous || previous->state != current->state
          || previous->instance != current->instance)
        LOG_INFO ("member", "addr=" STR_FMT " instance=%lu state=%s",
                  STR_ARG (current->addr), current->instance,
                  names[current->state]);
    }
  for (size_t i = 0; old_view && i < old_view->count; i++)
    if (!member_find (new_view, old_view->members[i].addr))
      LOG_INFO ("member", "addr=" STR_FMT " instance=%lu state=dead",
                STR_ARG (old_view->members[i].addr),
                old_view->members[i].instance);
}

static void
publish_view (struct membership *m)
{
  struct member_view *view = swim_view (m->swim);

  log_member_changes (kernel_latest (m->kernel, TOPIC_MEMBERS), view);

  m->published_version = swim_version (m->swim);
  m->published_revision_changes = swim_revision_changes (m->swim);
  metrics_set ("galenagate_members", STR (""), (double)view->count);
  kernel_publish (m->kernel, TOPIC_MEMBERS, view, free);
}

static void
publish_notices (struct membership *m)
{
  struct pending_notice *p;

  while ((p = m->pending_head) != NULL)
    {
      m->pending_head = p->next;
      if (!m->pending_head)
        m->pending_tail = &m->pending_head;
      kernel_publish (m->kernel, TOPIC_NOTICE, &p->notice,
                      free_pending_notice);
    }
}

/* Publishes the queued notices, and the view if it changed. A change of
   revisions alone is published only if with_revisions is set. A subscriber may
   broadcast a notice or set the revision during the call. This is published
   after the subscriber returned, because publishing a snapshot makes the
   kernel free the previous one, which subscribers may still be reading. */
static void
publish_changes (struct membership *m, bool with_revisions)
{
  if (m->publishing)
    return;
  m->publishing = true;
  while (
      m->pending_head || m->published_version != swim_version (m->swim)
      || (with_revisions
          && m->published_revision_changes != swim_revision_changes (m->swim)))
    {
      if (m->published_version != swim_version (m->swim)
          || (with_revisions
              && m->published_revision_changes
                     != swim_revision_changes (m->swim)))
        publish_view (m);
      publish_notices (m);
    }
  m->publishing = false;
}

/* ---- receiving ---- */

static void
report_format_mismatch (struct membership *m, uint32_t format)
{
  const uint64_t now = clock_ms ();

  m->format_mismatches++;
  metrics_add ("galenagate_gossip_dropped_total", STR ("reason=\"format\""),
               1);
  if (m->mismatch_logged_at > 0
      && now - m->mismatch_logged_at < MISMATCH_LOG_INTERVAL_MS)
    return;
  m->mismatch_logged_at = now;
  LOG_WARN ("gossip-format-mismatch", "format=%u expected=%d dropped=%lu",
            format, SWIM_FORMAT, m->format_mismatches);
}

static void
receive_datagram (struct membership *m, char *bytes, size_t n)
{
  struct gossip msg = { 0 };
  uint32_t format;
  XDR xdr;

  metrics_add ("galenagate_gossip_bytes_total", STR ("direction=\"received\""),
               n + IP_UDP_HEADER_BYTES);
  xdrmem_create (&xdr, bytes, (u_int)n, XDR_DECODE);
  if (!xdr_u_int (&xdr, &format) || format != SWIM_FORMAT)
    {
      report_format_mismatch (m, n < sizeof format ? 0 : format);
      return;
    }
  xdr_setpos (&xdr, 0);
  if (xdr_gossip (&xdr, &msg))
    swim_receive (m->swim, &msg, clock_ms ());
  else
    metrics_add ("galenagate_gossip_dropped_total",
                 STR ("reason=\"malformed\""), 1);
  xdr_free ((xdrproc_t)xdr_gossip, &msg);
  publish_changes (m, false);
}

static void
provide_buffer (uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
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
  receive_datagram (m, buf->base, (size_t)n);
}

/* ---- seeds ---- */

static void
on_lease_record (void *ctx, struct err err, uint64_t version, struct str value)
{
  struct membership *m = ctx;
  struct lease_record r;

  (void)version;
  if (err.code != 0 || lease_record_decode (value, &r) != 0)
    return;
  swim_add_seed (m->swim, r.holder);
  str_free (&r.holder);
}

static void
on_lease_list (void *ctx, struct err err, uint64_t version, struct str value)
{
  struct membership *m = ctx;
  json_t *list
      = err.code == 0 ? json_loadb (value.data, value.len, 0, NULL) : NULL;

  (void)version;
  for (size_t i = 0; i < json_array_size (list) && i < SEED_LOOKUP_LEASES_MAX;
       i++)
    {
      const char *key = json_string_value (
          json_object_get (json_array_get (list, i), "key"));

      if (key)
        store_read (store_get (m->kernel), str_from (key), on_lease_record, m);
    }
  json_decref (list);
}

static void
look_up_seeds (struct membership *m, uint64_t now)
{
  if (now < m->next_seed_lookup || !swim_alone (m->swim))
    return;
  m->next_seed_lookup = now + SEED_LOOKUP_INTERVAL_MS;
  store_list (store_get (m->kernel), STR ("lease/"), on_lease_list, m);
}

static void
on_tick (uv_timer_t *timer)
{
  struct membership *m = timer->data;
  const uint64_t now = clock_ms ();

  swim_tick (m->swim, now);
  look_up_seeds (m, now);
  publish_changes (m, true);
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

      swim_add_seed (m->swim, (struct str){ rest.data, n });
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
  publish_changes (m, false);
}

static struct plugin *create (struct kernel *kernel);

static int
start (struct plugin *plugin)
{
  struct membership *m = membership_of (plugin);
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
  m->handles_open = true;
  rc = netaddr_parse (s->bus_addr, &sa) ? 0 : -EINVAL;
  if (rc == 0)
    rc = uv_udp_bind (&m->udp, (const struct sockaddr *)&sa, 0);
  if (rc == 0)
    rc = uv_udp_recv_start (&m->udp, provide_buffer, on_datagram);
  if (rc != 0)
    {
      LOG_ERR ("bind-failed", "addr=" STR_FMT " error=\"%s\"",
               STR_ARG (s->bus_addr), err_str (rc));
      return rc;
    }
  m->next_seed_lookup
      = clock_ms () + (s->seeds.len > 0 ? SEED_LOOKUP_DELAY_MS : 0);
  uv_timer_start (&m->timer, on_tick, 0, TICK_MS);
  publish_changes (m, true);
  return 0;
}

static void
drain (struct plugin *plugin)
{
  struct membership *m = membership_of (plugin);

  swim_leave (m->swim, MEMBER_DEAD, clock_ms ());
  kernel_drained (m->kernel, plugin);
}

static void
stop (struct plugin *plugin)
{
  struct membership *m = membership_of (plugin);

  if (!m->handles_open)
    return;
  m->handles_open = false;
  uv_close ((uv_handle_t *)&m->udp, NULL);
  uv_close ((uv_handle_t *)&m->timer, NULL);
}

static void
destroy (struct plugin *plugin)
{
  struct membership *m = membership_of (plugin);
  struct pending_notice *p;

  while ((p = m->pending_head) != NULL)
    {
      m->pending_head = p->next;
      free_pending_notice (p);
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
      = { .send = send_gossip, .notice = queue_notice };
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
  m->pending_tail = &m->pending_head;
  m->swim = swim_create (&self, str_hash (s->bus_addr, instance), &actions, m);
  add_seeds (m);
  kernel_subscribe (kernel, TOPIC_DRAIN, on_drain, m);
  return &m->plugin;
}

struct membership *
membership_get (struct kernel *kernel)
{
  return membership_of (kernel_find (kernel, "membership"));
}

void
membership_broadcast_notice (struct membership *m, const struct notice *notice)
{
  swim_broadcast_notice (m->swim, notice, clock_ms ());
  publish_changes (m, false);
}

void
membership_set_revision (struct membership *m, uint64_t revision)
{
  swim_set_revision (m->swim, revision);
}
