#include "swim_impl.h"

#include <stdlib.h>

#include "err.h"

#define PROBE_PERIOD_MS 1000
/* Time allowed for an ack to a direct ping; the rest of the period is for
   indirect probes. */
#define DIRECT_ACK_TIMEOUT_MS 300
/* A longer gap between two ticks means that this process was paused, so that
   its outstanding probes and suspicions are out of date. */
#define PAUSE_THRESHOLD_MS 2000

struct swim *
swim_create (const struct member *self, uint64_t random_seed,
             const struct swim_actions *actions, void *ctx)
{
  struct swim *s = xcalloc (1, sizeof *s);

  s->actions = actions;
  s->ctx = ctx;
  s->random = random_seed;
  swim_copy_record (&s->self, self);
  s->self.revision = self->revision;
  s->version = 1;
  s->repair_interval_ms = REPAIR_INTERVAL_MIN_MS;
  return s;
}

void
swim_destroy (struct swim *s)
{
  struct notice_entry *r;
  struct notice_entry *next;

  HASH_CLEAR (hh, s->by_addr);
  for (size_t i = 0; i < s->member_count; i++)
    {
      swim_free_entry (s->members[i]);
      free (s->members[i]);
    }
  HASH_ITER (hh, s->notices, r, next) { swim_free_notice (s, r); }
  for (size_t i = 0; i < s->seed_count; i++)
    str_free (&s->seeds[i]);
  for (size_t i = 0; i < RELAYS_MAX; i++)
    str_free (&s->relays[i].origin);
  swim_free_entry (&s->self);
  free (s);
}

void
swim_tick (struct swim *s, uint64_t now)
{
  if (s->self.state == MEMBER_DEAD)
    return;
  if (s->last_tick > 0 && now - s->last_tick > PAUSE_THRESHOLD_MS)
    swim_reset_timers (s, now);
  s->last_tick = now;
  swim_expire_members (s, now);
  if (now >= s->next_probe)
    {
      s->next_probe = now + PROBE_PERIOD_MS;
      swim_join_step (s, now);
      swim_probe_step (s, now);
      swim_probe_suspects (s, now);
      swim_expire_notices (s, now);
    }
  if (s->probe.target && !s->probe.acked && !s->probe.indirect
      && now >= s->probe.sent_at + DIRECT_ACK_TIMEOUT_MS)
    {
      s->probe.indirect = true;
      swim_probe_indirectly (s);
    }
  swim_retry_seeds (s, now);
  if (now >= s->next_rejoin)
    {
      s->next_rejoin = now + REJOIN_INTERVAL_MS;
      swim_rejoin_step (s, now);
    }
  swim_push_if_due (s, now);
}

/* Returns true if the sender has an older instance than the known one: it is
   the previous process of a restarted node, or a new one whose wall clock is
   behind. Its message is dropped; a ping or join is answered only with the
   known record, from which the sender learns the known instance. */
static bool
reject_stale_sender (struct swim *s, const struct gossip *msg)
{
  const struct member_entry *e = swim_find (s, STR_TEXT (msg->from.id.addr));
  struct swim_datagram d;

  if (!e || msg->from.id.instance >= e->instance)
    return false;
  if (msg->kind == GOSSIP_PING || msg->kind == GOSSIP_JOIN)
    {
      swim_datagram_start (s, &d, GOSSIP_PUSH, 0, STR (""));
      swim_datagram_add_member (&d, e);
      swim_datagram_send (s, STR_TEXT (msg->from.id.addr), &d);
    }
  return true;
}

void
swim_receive (struct swim *s, const struct gossip *msg, uint64_t now)
{
  const struct str from = STR_TEXT (msg->from.id.addr);

  if (s->self.state == MEMBER_DEAD || msg->format != SWIM_FORMAT
      || str_eq (from, s->self.addr) || reject_stale_sender (s, msg))
    return;
  const enum record_source source
      = msg->kind == GOSSIP_PUSH && msg->target.text_len ? SOURCE_FULL_LIST
                                                         : SOURCE_GOSSIP;
  swim_merge_member (s, &msg->from, SOURCE_SENDER, now);
  for (size_t i = 0; i < msg->members.members_len; i++)
    swim_merge_member (s, &msg->members.members_val[i], source, now);
  for (size_t i = 0; i < msg->notices.notices_len; i++)
    swim_merge_notice (s, &msg->notices.notices_val[i], now);
  if (msg->kind == GOSSIP_PING || msg->kind == GOSSIP_ACK)
    swim_compare_digest (s, msg, now);
  switch (msg->kind)
    {
    case GOSSIP_PING:
      swim_send_with_updates (s, from, GOSSIP_ACK, msg->seq, now);
      break;
    case GOSSIP_ACK:
      swim_receive_ack (s, msg);
      break;
    case GOSSIP_PING_REQ:
      swim_receive_ping_req (s, msg);
      break;
    case GOSSIP_JOIN:
      swim_receive_join (s, msg, now);
      break;
    case GOSSIP_PUSH:
      s->joined = s->joined || source == SOURCE_FULL_LIST;
      break;
    }
  swim_push_if_due (s, now);
}

void
swim_broadcast_notice (struct swim *s, const struct notice *notice,
                       uint64_t now)
{
  swim_merge_notice (s, notice, now);
  swim_push_if_due (s, now);
}

void
swim_set_revision (struct swim *s, uint64_t revision)
{
  if (s->self.revision == revision)
    return;
  s->self.revision = revision;
  s->revision_changes++;
}

void
swim_leave (struct swim *s, enum member_state state, uint64_t now)
{
  if (state <= s->self.state)
    return;
  s->self.state = state;
  s->self.incarnation++;
  swim_announce_self (s);
  swim_push (s, now);
}

uint64_t
swim_version (const struct swim *s)
{
  return s->version;
}

uint64_t
swim_revision_changes (const struct swim *s)
{
  return s->revision_changes;
}

bool
swim_alone (const struct swim *s)
{
  for (size_t i = 0; i < s->member_count; i++)
    if (swim_reachable (s->members[i]))
      return false;
  return true;
}

uint64_t
swim_instance (const struct swim *s)
{
  return s->self.instance;
}
