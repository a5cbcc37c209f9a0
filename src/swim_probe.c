#include "swim_impl.h"

/* Members asked to probe a target that did not ack, and suspects probed again
   in each period. */
#define INDIRECT_PROBES 3

static void
shuffle_members (struct swim *s)
{
  for (size_t i = s->member_count; i > 1; i--)
    {
      const size_t j = swim_random_below (s, i);
      struct member_entry *e = s->members[i - 1];

      s->members[i - 1] = s->members[j];
      s->members[j] = e;
    }
}

static struct member_entry *
next_probe_target (struct swim *s)
{
  for (size_t tries = 0; tries < 2 * s->member_count; tries++)
    {
      if (s->probe_cursor >= s->member_count)
        {
          shuffle_members (s);
          s->probe_cursor = 0;
        }
      struct member_entry *e = s->members[s->probe_cursor++];
      if (swim_reachable (e))
        return e;
    }
  return NULL;
}

static void
handle_probe_failure (struct swim *s, struct member_entry *e, uint64_t now)
{
  if (e->state == MEMBER_ALIVE)
    swim_set_state (s, e, MEMBER_SUSPECT, now);
  /* A leaving member keeps its state, which already excludes it from work. */
  if (e->state == MEMBER_LEAVING && e->suspect_until == 0)
    e->suspect_until = now + SUSPICION_TIMEOUT_MS;
  e->suspected_by_self = true;
}

void
swim_probe_step (struct swim *s, uint64_t now)
{
  struct probe *p = &s->probe;

  if (p->target && !p->acked)
    handle_probe_failure (s, p->target, now);
  *p = (struct probe){ .target = next_probe_target (s), .sent_at = now };
  if (!p->target)
    return;
  p->seq = ++s->seq;
  swim_send_with_updates (s, p->target->addr, GOSSIP_PING, p->seq, now);
}

/* Sends further pings to a few of the members that this node suspects. */
void
swim_probe_suspects (struct swim *s, uint64_t now)
{
  size_t n = 0;

  for (size_t i = 0; i < s->member_count && n < INDIRECT_PROBES; i++)
    {
      const struct member_entry *e = s->members[i];

      if (!e->suspected_by_self || e->suspect_until == 0
          || e == s->probe.target)
        continue;
      swim_send_with_updates (s, e->addr, GOSSIP_PING, ++s->seq, now);
      n++;
    }
}

void
swim_probe_indirectly (struct swim *s)
{
  struct member_entry *via[INDIRECT_PROBES];
  const size_t n
      = swim_random_members (s, s->probe.target, via, INDIRECT_PROBES);

  for (size_t i = 0; i < n; i++)
    {
      struct swim_datagram d;

      swim_datagram_start (s, &d, GOSSIP_PING_REQ, s->probe.seq,
                           s->probe.target->addr);
      swim_datagram_add_suspicion (s, &d, via[i]->addr);
      swim_datagram_send (s, via[i]->addr, &d);
    }
}

/* Restarts the probe and all suspicion timeouts after a pause of this process,
   because acks may have been lost or not been read yet. */
void
swim_reset_timers (struct swim *s, uint64_t now)
{
  s->probe.target = NULL;
  s->next_probe = now;
  for (size_t i = 0; i < s->member_count; i++)
    if (s->members[i]->suspect_until > 0)
      s->members[i]->suspect_until = now + SUSPICION_TIMEOUT_MS;
}

void
swim_receive_ack (struct swim *s, const struct gossip *msg)
{
  if (s->probe.target && msg->seq == s->probe.seq)
    s->probe.acked = true;
  for (size_t i = 0; i < RELAYS_MAX; i++)
    {
      struct probe_relay *r = &s->relays[i];
      struct swim_datagram d;

      if (r->seq == 0 || r->seq != msg->seq)
        continue;
      r->seq = 0;
      swim_datagram_start (s, &d, GOSSIP_ACK, r->origin_seq,
                           STR_TEXT (msg->from.id.addr));
      const struct member_entry *target
          = swim_find (s, STR_TEXT (msg->from.id.addr));
      if (target)
        swim_datagram_add_member (&d, target);
      swim_datagram_add_updates (s, &d);
      swim_datagram_send (s, r->origin, &d);
    }
}

void
swim_receive_ping_req (struct swim *s, const struct gossip *msg)
{
  struct probe_relay *r = &s->relays[s->next_relay++ % RELAYS_MAX];
  struct swim_datagram d;

  r->seq = ++s->seq;
  r->origin_seq = msg->seq;
  str_assign (&r->origin, STR_TEXT (msg->from.id.addr));
  swim_datagram_start (s, &d, GOSSIP_PING, r->seq, STR (""));
  swim_datagram_add_suspicion (s, &d, STR_TEXT (msg->target));
  swim_datagram_send (s, STR_TEXT (msg->target), &d);
}
