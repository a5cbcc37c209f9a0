#include "swim_impl.h"

#include "text.h"

#define PUSH_TARGETS 3
/* Pushes are collected over this time, which bounds the traffic when many
   notices arrive together. */
#define PUSH_GAP_MS 100
/* Known members repeated in each probe and answer: they repair a member that
   missed an update, at a cost that does not depend on the fleet size. */
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
draft_start (struct swim *s, struct draft *d, enum gossip_kind kind,
             uint64_t seq, struct str target)
{
  d->msg = (struct gossip){
    .format = SWIM_FORMAT,
    .kind = kind,
    .seq = seq,
    .from = swim_record (&s->self),
    .digest = swim_digest (s),
    .target = TEXT_STR (target),
    .members = { .members_val = d->members },
    .notices = { .notices_val = d->notices },
  };
  d->bytes = 4 + 4 + 8 + member_bytes (&d->msg.from) + 8
             + text_xdr_bytes (d->msg.target) + 4 + 4;
}

static bool
draft_has (const struct draft *d, const struct entry *e)
{
  for (size_t i = 0; i < d->msg.members.members_len; i++)
    if (d->members[i].id.addr.text_val == e->addr.data)
      return true;
  return false;
}

bool
draft_member (struct draft *d, const struct entry *e)
{
  const struct member m = swim_record (e);
  const size_t bytes = d->bytes + member_bytes (&m);

  if (d->msg.members.members_len == SWIM_MEMBERS_MAX
      || bytes >= SWIM_DATAGRAM_BYTES)
    return false;
  d->members[d->msg.members.members_len++] = m;
  d->bytes = bytes;
  return true;
}

bool
draft_notice (struct draft *d, const struct notice_entry *r, uint64_t now)
{
  struct notice n = r->notice;

  n.ttl_ms = (u_int)(r->expires - now);
  const size_t bytes = d->bytes + swim_notice_bytes (&n);
  if (d->msg.notices.notices_len == SWIM_NOTICES_MAX
      || bytes >= SWIM_DATAGRAM_BYTES)
    return false;
  d->notices[d->msg.notices.notices_len++] = n;
  d->bytes = bytes;
  return true;
}

/* The notice that was sent least often. */
static struct notice_entry *
least_sent_notice (const struct swim *s, uint64_t now)
{
  struct notice_entry *best = NULL;

  for (struct notice_entry *r = s->notices; r; r = r->hh.next)
    if (r->sends_left > 0 && r->expires > now
        && (!best || r->sends_left > best->sends_left))
      best = r;
  return best;
}

static void
draft_notices (struct swim *s, struct draft *d, uint64_t now)
{
  struct notice_entry *chosen[SWIM_NOTICES_MAX];
  uint32_t left[SWIM_NOTICES_MAX];
  size_t n = 0;
  struct notice_entry *r;

  while (n < SWIM_NOTICES_MAX && (r = least_sent_notice (s, now)) != NULL)
    {
      if (!draft_notice (d, r, now))
        break;
      /* Out of the choice until all are chosen. */
      chosen[n] = r;
      left[n++] = r->sends_left;
      r->sends_left = 0;
    }
  for (size_t i = 0; i < n; i++)
    chosen[i]->sends_left = left[i] - 1;
}

static struct entry *
least_sent_change (const struct swim *s, const struct draft *d)
{
  struct entry *best = NULL;

  for (size_t i = 0; i < s->count; i++)
    {
      struct entry *e = s->list[i];

      if (e->sends_left > (best ? best->sends_left : 0) && !draft_has (d, e))
        best = e;
    }
  return best;
}

void
draft_changes (struct swim *s, struct draft *d)
{
  struct entry *e;

  while ((e = least_sent_change (s, d)) != NULL)
    {
      if (!draft_member (d, e))
        return;
      e->sends_left--;
    }
}

static void
draft_refresh (struct swim *s, struct draft *d)
{
  size_t added = 0;

  for (size_t i = 0; i < s->count && added < REFRESH_COUNT; i++)
    {
      const struct entry *e = s->list[s->refresh++ % s->count];

      if (!swim_reachable (e) || draft_has (d, e))
        continue;
      if (!draft_member (d, e))
        return;
      added++;
    }
}

void
draft_send (struct swim *s, struct str to, const struct draft *d)
{
  s->actions->send (s->ctx, to, &d->msg);
}

/* Tells a member what is believed of it when it has to refute that. */
void
draft_suspicion (const struct swim *s, struct draft *d, struct str to)
{
  const struct entry *e = swim_find (s, to);

  if (e && (e->state == MEMBER_SUSPECT || e->state == MEMBER_DEAD))
    draft_member (d, e);
}

void
swim_send_probe (struct swim *s, struct str to, enum gossip_kind kind,
                 uint64_t seq, uint64_t now)
{
  struct draft d;

  draft_start (s, &d, kind, seq, STR (""));
  draft_suspicion (s, &d, to);
  draft_notices (s, &d, now);
  draft_changes (s, &d);
  draft_refresh (s, &d);
  draft_send (s, to, &d);
}

void
swim_push (struct swim *s, uint64_t now)
{
  struct entry *to[PUSH_TARGETS];
  const size_t n = swim_random_members (s, NULL, to, PUSH_TARGETS);

  s->push_pending = false;
  s->next_push = now + PUSH_GAP_MS;
  for (size_t i = 0; i < n; i++)
    {
      struct draft d;

      draft_start (s, &d, GOSSIP_PUSH, 0, STR (""));
      draft_suspicion (s, &d, to[i]->addr);
      draft_notices (s, &d, now);
      draft_changes (s, &d);
      draft_send (s, to[i]->addr, &d);
    }
}

void
swim_push_if_due (struct swim *s, uint64_t now)
{
  if (s->push_pending && now >= s->next_push)
    swim_push (s, now);
}
