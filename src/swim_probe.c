#include "swim_impl.h"

#define INDIRECT_PROBES 3

static void
shuffle (struct swim *s)
{
  for (size_t i = s->count; i > 1; i--)
    {
      const size_t j = swim_random_below (s, i);
      struct entry *e = s->list[i - 1];

      s->list[i - 1] = s->list[j];
      s->list[j] = e;
    }
}

static struct entry *
next_target (struct swim *s)
{
  for (size_t tries = 0; tries < 2 * s->count; tries++)
    {
      if (s->cursor >= s->count)
        {
          shuffle (s);
          s->cursor = 0;
        }
      struct entry *e = s->list[s->cursor++];
      if (swim_reachable (e))
        return e;
    }
  return NULL;
}

static void
probe_failed (struct swim *s, struct entry *e, uint64_t now)
{
  if (e->state == MEMBER_ALIVE)
    swim_set_state (s, e, MEMBER_SUSPECT, now);
  /* A leaving member keeps its state, which already takes it out of work. */
  if (e->state == MEMBER_LEAVING && e->suspect_until == 0)
    e->suspect_until = now + SUSPECT_MS;
  e->own_suspicion = true;
}

void
swim_probe_step (struct swim *s, uint64_t now)
{
  struct probe *p = &s->probe;

  if (p->target && !p->acked)
    probe_failed (s, p->target, now);
  *p = (struct probe){ .target = next_target (s), .sent = now };
  if (!p->target)
    return;
  p->seq = ++s->seq;
  swim_send_probe (s, p->target->addr, GOSSIP_PING, p->seq, now);
}

/* Probes members that this node suspects again, a few each period. */
void
swim_probe_suspects (struct swim *s, uint64_t now)
{
  size_t n = 0;

  for (size_t i = 0; i < s->count && n < INDIRECT_PROBES; i++)
    {
      const struct entry *e = s->list[i];

      if (!e->own_suspicion || e->suspect_until == 0 || e == s->probe.target)
        continue;
      swim_send_probe (s, e->addr, GOSSIP_PING, ++s->seq, now);
      n++;
    }
}

void
swim_probe_indirectly (struct swim *s)
{
  struct entry *via[INDIRECT_PROBES];
  const size_t n
      = swim_random_members (s, s->probe.target, via, INDIRECT_PROBES);

  for (size_t i = 0; i < n; i++)
    {
      struct draft d;

      draft_start (s, &d, GOSSIP_PING_REQ, s->probe.seq,
                   s->probe.target->addr);
      draft_suspicion (s, &d, via[i]->addr);
      draft_send (s, via[i]->addr, &d);
    }
}

/* Starts all waits again, because answers may have been lost or are still
   unread after a pause of this process. */
void
swim_resume (struct swim *s, uint64_t now)
{
  s->probe.target = NULL;
  s->next_probe = now;
  for (size_t i = 0; i < s->count; i++)
    if (s->list[i]->suspect_until > 0)
      s->list[i]->suspect_until = now + SUSPECT_MS;
}

void
swim_receive_ack (struct swim *s, const struct gossip *msg)
{
  if (s->probe.target && msg->seq == s->probe.seq)
    s->probe.acked = true;
  for (size_t i = 0; i < RELAYS_MAX; i++)
    {
      struct relay *r = &s->relays[i];
      struct draft d;

      if (r->seq == 0 || r->seq != msg->seq)
        continue;
      r->seq = 0;
      draft_start (s, &d, GOSSIP_ACK, r->origin_seq,
                   STR_TEXT (msg->from.id.addr));
      const struct entry *target = swim_find (s, STR_TEXT (msg->from.id.addr));
      if (target)
        draft_member (&d, target);
      draft_changes (s, &d);
      draft_send (s, r->origin, &d);
    }
}

void
swim_receive_ping_req (struct swim *s, const struct gossip *msg)
{
  struct relay *r = &s->relays[s->relay_next++ % RELAYS_MAX];
  struct draft d;

  r->seq = ++s->seq;
  r->origin_seq = msg->seq;
  str_assign (&r->origin, STR_TEXT (msg->from.id.addr));
  draft_start (s, &d, GOSSIP_PING, r->seq, STR (""));
  draft_suspicion (s, &d, STR_TEXT (msg->target));
  draft_send (s, STR_TEXT (msg->target), &d);
}
