#include "swim_impl.h"

/* Nodes that start together do not listen yet when the first joins arrive, so
   seeds that nothing was heard of are asked again after this time, then after
   twice as long each, until REJOIN_MS. */
#define SEED_RETRY_MIN_MS 100
/* Requests for a member list after the start: once a second until one is heard
   or for JOIN_TRIES seconds, then more rarely. */
#define JOIN_MS 1000
#define JOIN_LATE_MS 10000
#define JOIN_TRIES 10
/* A node whose digest differed from this many senders in a row missed more
   than what is on its way by gossip (about four datagrams arrive a second);
   it asks one of them for a list, less and less often when that brings
   nothing new. */
#define DIFFERENCES_MAX 12
#define REPAIR_MAX_MS 64000
/* A full list is sent at most this often, which bounds the traffic of a seed
   when a whole failure domain starts at once. */
#define LIST_GAP_MS 100

static void
send_join (struct swim *s, struct str to)
{
  struct draft d;

  draft_start (s, &d, GOSSIP_JOIN, ++s->seq, STR (""));
  draft_suspicion (s, &d, to);
  draft_send (s, to, &d);
}

/* Sends all live members and all notices in as many datagrams as needed. */
static void
send_list (struct swim *s, struct str to, uint64_t now)
{
  struct draft d;

  draft_start (s, &d, GOSSIP_PUSH, 0, s->self.addr);
  draft_suspicion (s, &d, to);
  for (const struct notice_entry *r = s->notices; r; r = r->hh.next)
    {
      if (r->expires <= now || draft_notice (&d, r, now))
        continue;
      draft_send (s, to, &d);
      draft_start (s, &d, GOSSIP_PUSH, 0, s->self.addr);
      draft_notice (&d, r, now);
    }
  for (size_t i = 0; i < s->count; i++)
    {
      if (!swim_reachable (s->list[i]) || draft_member (&d, s->list[i]))
        continue;
      draft_send (s, to, &d);
      draft_start (s, &d, GOSSIP_PUSH, 0, s->self.addr);
      draft_member (&d, s->list[i]);
    }
  draft_send (s, to, &d);
}

void
swim_join_step (struct swim *s, uint64_t now)
{
  if (s->joined || now < s->next_join || s->seed_count == 0)
    return;
  s->next_join = now + (s->join_tries < JOIN_TRIES ? JOIN_MS : JOIN_LATE_MS);
  s->join_tries++;
  /* Other members too, because many nodes may be waiting for the seed. */
  const struct entry *e
      = s->join_tries % 2 == 0 ? swim_random_member (s, NULL) : NULL;
  send_join (s, e ? e->addr : s->seeds[swim_random_below (s, s->seed_count)]);
}

/* Compares a sender's digest with the own one. */
void
swim_compare_digest (struct swim *s, const struct gossip *msg, uint64_t now)
{
  if (msg->digest == swim_digest (s))
    {
      s->differences = 0;
      s->repair_gap_ms = REPAIR_MS;
      return;
    }
  if (++s->differences < DIFFERENCES_MAX || now < s->next_repair)
    return;
  s->differences = 0;
  s->repair_gap_ms = s->list_news > 0 ? REPAIR_MS : s->repair_gap_ms * 2;
  if (s->repair_gap_ms > REPAIR_MAX_MS)
    s->repair_gap_ms = REPAIR_MAX_MS;
  s->next_repair = now + s->repair_gap_ms;
  s->list_news = 0;
  send_join (s, STR_TEXT (msg->from.id.addr));
}

/* Place number i of the dead members and unknown seeds, or the empty string.
 */
static struct str
lost_member (const struct swim *s, size_t i)
{
  for (size_t j = 0; j < s->count; j++)
    if (!swim_reachable (s->list[j]) && i-- == 0)
      return s->list[j]->addr;
  for (size_t j = 0; j < s->seed_count; j++)
    if (!swim_find (s, s->seeds[j]) && i-- == 0)
      return s->seeds[j];
  return STR ("");
}

void
swim_rejoin_step (struct swim *s, uint64_t now)
{
  struct str addr = lost_member (s, s->rejoin_cursor++);

  if (addr.len == 0)
    {
      s->rejoin_cursor = 1;
      addr = lost_member (s, 0);
    }
  if (addr.len == 0)
    return;
  if (swim_find (s, addr))
    swim_send_probe (s, addr, GOSSIP_PING, ++s->seq, now);
  else
    send_join (s, addr);
}

void
swim_contact_seeds (struct swim *s, uint64_t now)
{
  if (now < s->next_seed_retry || s->seed_retry_ms > REJOIN_MS)
    return;
  s->seed_retry_ms
      = s->seed_retry_ms > 0 ? s->seed_retry_ms * 2 : SEED_RETRY_MIN_MS;
  s->next_seed_retry = now + s->seed_retry_ms;
  for (size_t i = 0; i < s->seed_count; i++)
    if (!swim_find (s, s->seeds[i]))
      send_join (s, s->seeds[i]);
}

void
swim_seed (struct swim *s, struct str addr)
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
  if (now < s->next_list)
    return;
  s->next_list = now + LIST_GAP_MS;
  send_list (s, STR_TEXT (msg->from.id.addr), now);
}
