#include "swim_impl.h"

#include "text.h"

#define PUSH_TARGETS 3
/* Minimum interval between pushes. Updates are collected in between, which
   bounds the traffic when many notices arrive at once. */
#define PUSH_INTERVAL_MIN_MS 100
/* Live members whose record is repeated in each ping and ack. This repairs a
   receiver that missed an update, at a cost that does not depend on the fleet
   size. */
#define REFRESH_COUNT 2

static size_t
member_bytes (const struct member *m)
{
  return text_xdr_bytes (m->id.addr) + 8 + 8 + 4
         + text_xdr_bytes (m->http_addr) + text_xdr_bytes (m->region)
         + text_xdr_bytes (m->domain) + 8;
}

size_t
swim_notice_bytes (const struct notice *n)
{
  return 4 + text_xdr_bytes (n->key) + text_xdr_bytes (n->value) + 8 + 4;
}

void
swim_datagram_start (struct swim *s, struct swim_datagram *d,
                     enum gossip_kind kind, uint64_t seq, struct str target)
{
  d->msg = (struct gossip){
    .format = SWIM_FORMAT,
    .kind = kind,
    .seq = seq,
    .from = swim_to_record (&s->self),
    .digest = swim_digest (s),
    .target = TEXT_STR (target),
    .members = { .members_val = d->members },
    .notices = { .notices_val = d->notices },
  };
  d->bytes = 4 + 4 + 8 + member_bytes (&d->msg.from) + 8
             + text_xdr_bytes (d->msg.target) + 4 + 4;
}

static bool
datagram_has_member (const struct swim_datagram *d,
                     const struct member_entry *e)
{
  for (size_t i = 0; i < d->msg.members.members_len; i++)
    if (d->members[i].id.addr.text_val == e->addr.data)
      return true;
  return false;
}

bool
swim_datagram_add_member (struct swim_datagram *d,
                          const struct member_entry *e)
{
  const struct member m = swim_to_record (e);
  const size_t bytes = d->bytes + member_bytes (&m);

  if (d->msg.members.members_len == SWIM_MEMBERS_MAX
      || bytes >= SWIM_DATAGRAM_BYTES)
    return false;
  d->members[d->msg.members.members_len++] = m;
  d->bytes = bytes;
  return true;
}

bool
swim_datagram_add_notice (struct swim_datagram *d,
                          const struct notice_entry *r, uint64_t now)
{
  struct notice n = r->notice;

  n.ttl_ms = (u_int)(r->expires_at - now);
  const size_t bytes = d->bytes + swim_notice_bytes (&n);
  if (d->msg.notices.notices_len == SWIM_NOTICES_MAX
      || bytes >= SWIM_DATAGRAM_BYTES)
    return false;
  d->notices[d->msg.notices.notices_len++] = n;
  d->bytes = bytes;
  return true;
}

/* Returns the unexpired notice with the most sends left, or NULL. */
static struct notice_entry *
least_sent_notice (const struct swim *s, uint64_t now)
{
  struct notice_entry *best = NULL;

  for (struct notice_entry *r = s->notices; r; r = r->hh.next)
    if (r->sends_left > 0 && r->expires_at > now
        && (!best || r->sends_left > best->sends_left))
      best = r;
  return best;
}

static void
add_notices (struct swim *s, struct swim_datagram *d, uint64_t now)
{
  struct notice_entry *chosen[SWIM_NOTICES_MAX];
  uint32_t left[SWIM_NOTICES_MAX];
  size_t n = 0;
  struct notice_entry *r;

  while (n < SWIM_NOTICES_MAX && (r = least_sent_notice (s, now)) != NULL)
    {
      if (!swim_datagram_add_notice (d, r, now))
        break;
      /* Excludes the notice from further selection in this loop. */
      chosen[n] = r;
      left[n++] = r->sends_left;
      r->sends_left = 0;
    }
  for (size_t i = 0; i < n; i++)
    chosen[i]->sends_left = left[i] - 1;
}

/* Returns the member with the most sends left that is not in the datagram, or
   NULL. */
static struct member_entry *
least_sent_update (const struct swim *s, const struct swim_datagram *d)
{
  struct member_entry *best = NULL;

  for (size_t i = 0; i < s->member_count; i++)
    {
      struct member_entry *e = s->members[i];

      if (e->sends_left > (best ? best->sends_left : 0)
          && !datagram_has_member (d, e))
        best = e;
    }
  return best;
}

void
swim_datagram_add_updates (struct swim *s, struct swim_datagram *d)
{
  struct member_entry *e;

  while ((e = least_sent_update (s, d)) != NULL)
    {
      if (!swim_datagram_add_member (d, e))
        return;
      e->sends_left--;
    }
}

static void
add_refresh_members (struct swim *s, struct swim_datagram *d)
{
  size_t added = 0;

  for (size_t i = 0; i < s->member_count && added < REFRESH_COUNT; i++)
    {
      const struct member_entry *e
          = s->members[s->refresh_cursor++ % s->member_count];

      if (!swim_reachable (e) || datagram_has_member (d, e))
        continue;
      if (!swim_datagram_add_member (d, e))
        return;
      added++;
    }
}

void
swim_datagram_send (struct swim *s, struct str to,
                    const struct swim_datagram *d)
{
  s->actions->send (s->ctx, to, &d->msg);
}

/* Adds the record of the receiver itself if it is suspected or dead here, so
   that it can refute this. */
void
swim_datagram_add_suspicion (const struct swim *s, struct swim_datagram *d,
                             struct str to)
{
  const struct member_entry *e = swim_find (s, to);

  if (e && (e->state == MEMBER_SUSPECT || e->state == MEMBER_DEAD))
    swim_datagram_add_member (d, e);
}

/* Sends a ping or an ack with notices, updates and repeated records. */
void
swim_send_with_updates (struct swim *s, struct str to, enum gossip_kind kind,
                        uint64_t seq, uint64_t now)
{
  struct swim_datagram d;

  swim_datagram_start (s, &d, kind, seq, STR (""));
  swim_datagram_add_suspicion (s, &d, to);
  add_notices (s, &d, now);
  swim_datagram_add_updates (s, &d);
  add_refresh_members (s, &d);
  swim_datagram_send (s, to, &d);
}

void
swim_push (struct swim *s, uint64_t now)
{
  struct member_entry *to[PUSH_TARGETS];
  const size_t n = swim_random_members (s, NULL, to, PUSH_TARGETS);

  s->push_pending = false;
  s->next_push = now + PUSH_INTERVAL_MIN_MS;
  for (size_t i = 0; i < n; i++)
    {
      struct swim_datagram d;

      swim_datagram_start (s, &d, GOSSIP_PUSH, 0, STR (""));
      swim_datagram_add_suspicion (s, &d, to[i]->addr);
      add_notices (s, &d, now);
      swim_datagram_add_updates (s, &d);
      swim_datagram_send (s, to[i]->addr, &d);
    }
}

void
swim_push_if_due (struct swim *s, uint64_t now)
{
  if (s->push_pending && now >= s->next_push)
    swim_push (s, now);
}
