#include "swim_impl.h"

/* Nodes that start at the same time do not listen yet when the first joins
   arrive. Joins to seeds that are still unknown are therefore repeated after
   this time, with exponential backoff until the delay exceeds
   REJOIN_INTERVAL_MS. */
#define SEED_RETRY_MIN_MS 100
/* Interval between requests for a member list until one is received:
   JOIN_RETRY_MS for the first JOIN_FAST_ATTEMPTS, then JOIN_SLOW_RETRY_MS. */
#define JOIN_RETRY_MS 1000
#define JOIN_SLOW_RETRY_MS 10000
#define JOIN_FAST_ATTEMPTS 10
/* A node whose digest differs in this many pings and acks in a row missed more
   than the updates still in flight (about four datagrams arrive a second). It
   then requests a member list from the sender, with exponential backoff while
   the lists add no members. */
#define DIGEST_MISMATCHES_MAX 12
#define REPAIR_INTERVAL_MAX_MS 64000
/* Minimum interval between two member lists sent, which bounds the traffic of
   a seed when a whole failure domain starts at once. */
#define LIST_REPLY_INTERVAL_MIN_MS 100

static void
send_join (struct swim *s, struct str to)
{
  struct swim_datagram d;

  swim_datagram_start (s, &d, GOSSIP_JOIN, ++s->seq, STR (""));
  swim_datagram_add_suspicion (s, &d, to);
  swim_datagram_send (s, to, &d);
}

/* Sends all live members and unexpired notices in as many datagrams as needed.
 */
static void
send_member_list (struct swim *s, struct str to, uint64_t now)
{
  struct swim_datagram d;

  swim_datagram_start (s, &d, GOSSIP_PUSH, 0, s->self.addr);
  swim_datagram_add_suspicion (s, &d, to);
  for (const struct notice_entry *r = s->notices; r; r = r->hh.next)
    {
      if (r->expires_at <= now || swim_datagram_add_notice (&d, r, now))
        continue;
      swim_datagram_send (s, to, &d);
      swim_datagram_start (s, &d, GOSSIP_PUSH, 0, s->self.addr);
      swim_datagram_add_notice (&d, r, now);
    }
  for (size_t i = 0; i < s->member_count; i++)
    {
      if (!swim_reachable (s->members[i])
          || swim_datagram_add_member (&d, s->members[i]))
        continue;
      swim_datagram_send (s, to, &d);
      swim_datagram_start (s, &d, GOSSIP_PUSH, 0, s->self.addr);
      swim_datagram_add_member (&d, s->members[i]);
    }
  swim_datagram_send (s, to, &d);
}

void
swim_join_step (struct swim *s, uint64_t now)
{
  if (s->joined || now < s->next_join || s->seed_count == 0)
    return;
  s->next_join
      = now
        + (s->join_attempts < JOIN_FAST_ATTEMPTS ? JOIN_RETRY_MS
                                                 : JOIN_SLOW_RETRY_MS);
  s->join_attempts++;
  /* Every other request goes to a random member, because many nodes may be
     waiting for the seed. */
  const struct member_entry *e
      = s->join_attempts % 2 == 0 ? swim_random_member (s, NULL) : NULL;
  send_join (s, e ? e->addr : s->seeds[swim_random_below (s, s->seed_count)]);
}

/* Compares the digest of a ping or ack with that of this node. Requests a
   member list after DIGEST_MISMATCHES_MAX mismatches in a row. */
void
swim_compare_digest (struct swim *s, const struct gossip *msg, uint64_t now)
{
  if (msg->digest == swim_digest (s))
    {
      s->digest_mismatches = 0;
      s->repair_interval_ms = REPAIR_INTERVAL_MIN_MS;
      return;
    }
  if (++s->digest_mismatches < DIGEST_MISMATCHES_MAX || now < s->next_repair)
    return;
  s->digest_mismatches = 0;
  s->repair_interval_ms = s->added_from_list > 0 ? REPAIR_INTERVAL_MIN_MS
                                                 : s->repair_interval_ms * 2;
  if (s->repair_interval_ms > REPAIR_INTERVAL_MAX_MS)
    s->repair_interval_ms = REPAIR_INTERVAL_MAX_MS;
  s->next_repair = now + s->repair_interval_ms;
  s->added_from_list = 0;
  send_join (s, STR_TEXT (msg->from.id.addr));
}

/* Returns the address at index i of the dead members followed by the unknown
   seeds, or an empty string. */
static struct str
unreachable_addr (const struct swim *s, size_t i)
{
  for (size_t j = 0; j < s->member_count; j++)
    if (!swim_reachable (s->members[j]) && i-- == 0)
      return s->members[j]->addr;
  for (size_t j = 0; j < s->seed_count; j++)
    if (!swim_find (s, s->seeds[j]) && i-- == 0)
      return s->seeds[j];
  return STR ("");
}

void
swim_rejoin_step (struct swim *s, uint64_t now)
{
  struct str addr = unreachable_addr (s, s->rejoin_cursor++);

  if (addr.len == 0)
    {
      s->rejoin_cursor = 1;
      addr = unreachable_addr (s, 0);
    }
  if (addr.len == 0)
    return;
  if (swim_find (s, addr))
    swim_send_with_updates (s, addr, GOSSIP_PING, ++s->seq, now);
  else
    send_join (s, addr);
}

void
swim_retry_seeds (struct swim *s, uint64_t now)
{
  if (now < s->next_seed_retry || s->seed_retry_ms > REJOIN_INTERVAL_MS)
    return;
  s->seed_retry_ms
      = s->seed_retry_ms > 0 ? s->seed_retry_ms * 2 : SEED_RETRY_MIN_MS;
  s->next_seed_retry = now + s->seed_retry_ms;
  for (size_t i = 0; i < s->seed_count; i++)
    if (!swim_find (s, s->seeds[i]))
      send_join (s, s->seeds[i]);
}

void
swim_add_seed (struct swim *s, struct str addr)
{
  if (addr.len == 0 || str_eq (addr, s->self.addr)
      || s->seed_count == SEEDS_MAX)
    return;
  for (size_t i = 0; i < s->seed_count; i++)
    if (str_eq (s->seeds[i], addr))
      return;
  s->seeds[s->seed_count++] = str_dup (addr);
}

void
swim_receive_join (struct swim *s, const struct gossip *msg, uint64_t now)
{
  if (now < s->next_list_reply)
    return;
  s->next_list_reply = now + LIST_REPLY_INTERVAL_MIN_MS;
  send_member_list (s, STR_TEXT (msg->from.id.addr), now);
}
