#include "swim.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "err.h"

#define PROBE_MS 1000
/* Bound for the direct answer; the rest of the period is for indirect ones. */
#define DIRECT_MS 300
#define INDIRECT_PROBES 3
/* Three probe periods: the suspected member is told in each of them, so that
   the loss of one or two datagrams does not make a live member dead. */
#define SUSPECT_MS 3000
#define REJOIN_MS 5000
/* Nodes that start together do not listen yet when the first joins arrive, so
   seeds that nothing was heard of are asked again after this time, then after
   twice as long each, until REJOIN_MS. */
#define GREET_FIRST_MS 100
#define PUSH_TARGETS 3
/* Pushes are collected over this time, which bounds the traffic when many
   notices arrive together. */
#define PUSH_GAP_MS 100
/* A longer gap between two ticks means that this process was paused; what it
   then believes about others is out of date. */
#define PAUSE_MS 2000
#define FORGET_MS 3600000
#define ENTRIES_MAX 1024
#define NOTICE_ENTRIES_MAX 1024
/* An expired notice is remembered this long, so that a copy that expires
   later elsewhere is not taken for a new one. */
#define NOTICE_TOMB_MS 60000
#define SEEDS_MAX 64
#define RELAYS_MAX 32
/* Known members repeated in each probe and answer: they repair a member that
   missed an update, at a cost that does not depend on the fleet size. */
#define REFRESH_COUNT 2
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
#define REPAIR_MS 2000
#define REPAIR_MAX_MS 64000
/* A full list is sent at most this often, which bounds the traffic of a seed
   when a whole failure domain starts at once. */
#define LIST_GAP_MS 100

struct entry
{
  struct str addr;
  struct str http_addr;
  struct str region;
  struct str domain;
  uint64_t instance;
  uint64_t incarnation;
  uint64_t revision;
  enum member_state state;
  uint64_t suspect_until; /* 0: no suspicion is running */
  bool own_suspicion;
  uint64_t dead_since;
  uint32_t sends_left;
  UT_hash_handle hh;
};

struct rumour
{
  char *hash_key; /* kind and key */
  struct notice notice;
  struct str key;
  struct str value;
  uint64_t expires;
  uint32_t sends_left;
  UT_hash_handle hh;
};

struct probe
{
  struct entry *target; /* NULL: none outstanding */
  uint64_t seq;
  uint64_t sent;
  bool indirect;
  bool acked;
};

/* An indirect probe that this node carries out for another one. */
struct relay
{
  uint64_t seq;
  struct str origin;
  uint64_t origin_seq;
};

struct swim
{
  const struct swim_actions *actions;
  void *ctx;
  uint64_t random;
  struct entry self;
  struct entry *by_addr;
  struct entry *list[ENTRIES_MAX]; /* in probe order */
  size_t count;
  size_t cursor;
  size_t refresh;
  struct rumour *rumours;
  struct str seeds[SEEDS_MAX];
  size_t seed_count;
  size_t rejoin_cursor;
  struct probe probe;
  struct relay relays[RELAYS_MAX];
  size_t relay_next;
  uint64_t seq;
  uint64_t last_tick;
  uint64_t next_probe;
  uint64_t next_rejoin;
  uint64_t next_greet;
  uint64_t greet_gap_ms;
  uint64_t next_push;
  uint64_t next_list;
  bool push_pending;
  bool joined; /* heard a member list */
  uint32_t join_tries;
  uint64_t next_join;
  uint32_t differences;
  size_t list_news; /* since the last repair */
  uint64_t repair_gap_ms;
  uint64_t next_repair;
  uint64_t digest;
  uint64_t digest_version;
  uint64_t version;
  uint64_t revisions;
};

/* A datagram that is being put together. */
struct draft
{
  struct gossip msg;
  struct member members[SWIM_MEMBERS_MAX];
  struct notice notices[SWIM_NOTICES_MAX];
  size_t bytes;
};

static uint64_t
next_random (struct swim *s)
{
  uint64_t z = (s->random += 0x9e3779b97f4a7c15U);

  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9U;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebU;
  return z ^ (z >> 31);
}

static size_t
random_below (struct swim *s, size_t n)
{
  return (size_t)(next_random (s) % n);
}

/* ---- entries ---- */

static void
replace_str (struct str *s, struct str with)
{
  if (s->data && str_eq (*s, with))
    return;
  str_free (s);
  *s = str_dup (with);
}

static void
copy_record (struct entry *e, const struct member *m)
{
  replace_str (&e->addr, STR_TEXT (m->id.addr));
  replace_str (&e->http_addr, STR_TEXT (m->http_addr));
  replace_str (&e->region, STR_TEXT (m->region));
  replace_str (&e->domain, STR_TEXT (m->domain));
  e->instance = m->id.instance;
  e->incarnation = m->incarnation;
  e->state = m->state;
}

static struct member
record (const struct entry *e)
{
  return (struct member){
    .id = { .addr = TEXT_STR (e->addr), .instance = e->instance },
    .incarnation = e->incarnation,
    .state = e->state,
    .http_addr = TEXT_STR (e->http_addr),
    .region = TEXT_STR (e->region),
    .domain = TEXT_STR (e->domain),
    .revision = e->revision,
  };
}

static void
free_entry (struct entry *e)
{
  str_free (&e->addr);
  str_free (&e->http_addr);
  str_free (&e->region);
  str_free (&e->domain);
}

static struct entry *
find (const struct swim *s, struct str addr)
{
  struct entry *e;

  HASH_FIND (hh, s->by_addr, addr.data, addr.len, e);
  return e;
}

static bool
reachable (const struct entry *e)
{
  return e->state != MEMBER_DEAD;
}

/* Number of times that a change is repeated: enough to reach all members with
   high probability, growing with the logarithm of their number. */
static uint32_t
send_limit (const struct swim *s)
{
  uint32_t limit = 4;

  for (size_t n = s->count + 1; n > 0; n >>= 1)
    limit++;
  return limit;
}

static void
forget (struct swim *s, size_t i)
{
  struct entry *e = s->list[i];

  if (s->probe.target == e)
    s->probe.target = NULL;
  assert (s->by_addr);
  HASH_DEL (s->by_addr, e);
  s->list[i] = s->list[--s->count];
  free_entry (e);
  free (e);
}

static bool
make_room (struct swim *s)
{
  size_t oldest = s->count;

  if (s->count < ENTRIES_MAX)
    return true;
  for (size_t i = 0; i < s->count; i++)
    if (!reachable (s->list[i])
        && (oldest == s->count
            || s->list[i]->dead_since < s->list[oldest]->dead_since))
      oldest = i;
  if (oldest == s->count)
    return false;
  forget (s, oldest);
  return true;
}

static struct entry *
add (struct swim *s, struct str addr)
{
  struct entry *e;

  if (!make_room (s))
    return NULL;
  e = xcalloc (1, sizeof *e);
  e->addr = str_dup (addr);
  HASH_ADD_KEYPTR (hh, s->by_addr, e->addr.data, e->addr.len, e);
  const size_t place = random_below (s, s->count + 1);
  s->list[s->count++] = e;
  s->list[s->count - 1] = s->list[place];
  s->list[place] = e;
  return e;
}

/* Digest of the addresses and instances of all live members. */
static uint64_t
digest (struct swim *s)
{
  if (s->digest_version == s->version)
    return s->digest;
  s->digest_version = s->version;
  s->digest = str_hash (s->self.addr, s->self.instance);
  for (size_t i = 0; i < s->count; i++)
    if (reachable (s->list[i]))
      s->digest ^= str_hash (s->list[i]->addr, s->list[i]->instance);
  return s->digest;
}

/* ---- datagrams ---- */

static size_t
text_bytes (text t)
{
  return 4 + ((size_t)t.text_len + 3) / 4 * 4;
}

static size_t
member_bytes (const struct member *m)
{
  return text_bytes (m->id.addr) + 8 + 8 + 4 + text_bytes (m->http_addr)
         + text_bytes (m->region) + text_bytes (m->domain) + 8;
}

static size_t
notice_bytes (const struct notice *n)
{
  return 4 + text_bytes (n->key) + text_bytes (n->value) + 8 + 4;
}

static void
draft_start (struct swim *s, struct draft *d, enum gossip_kind kind,
             uint64_t seq, struct str target)
{
  d->msg = (struct gossip){
    .format = SWIM_FORMAT,
    .kind = kind,
    .seq = seq,
    .from = record (&s->self),
    .digest = digest (s),
    .target = TEXT_STR (target),
    .members = { .members_val = d->members },
    .notices = { .notices_val = d->notices },
  };
  d->bytes = 4 + 4 + 8 + member_bytes (&d->msg.from) + 8
             + text_bytes (d->msg.target) + 4 + 4;
}

static bool
draft_has (const struct draft *d, const struct entry *e)
{
  for (size_t i = 0; i < d->msg.members.members_len; i++)
    if (d->members[i].id.addr.text_val == e->addr.data)
      return true;
  return false;
}

static bool
draft_member (struct draft *d, const struct entry *e)
{
  const struct member m = record (e);
  const size_t bytes = d->bytes + member_bytes (&m);

  if (d->msg.members.members_len == SWIM_MEMBERS_MAX
      || bytes >= SWIM_DATAGRAM_BYTES)
    return false;
  d->members[d->msg.members.members_len++] = m;
  d->bytes = bytes;
  return true;
}

static bool
draft_notice (struct draft *d, const struct rumour *r, uint64_t now)
{
  struct notice n = r->notice;

  n.ttl_ms = (u_int)(r->expires - now);
  const size_t bytes = d->bytes + notice_bytes (&n);
  if (d->msg.notices.notices_len == SWIM_NOTICES_MAX
      || bytes >= SWIM_DATAGRAM_BYTES)
    return false;
  d->notices[d->msg.notices.notices_len++] = n;
  d->bytes = bytes;
  return true;
}

/* The rumour that was sent least often. */
static struct rumour *
freshest_rumour (const struct swim *s, uint64_t now)
{
  struct rumour *best = NULL;

  for (struct rumour *r = s->rumours; r; r = r->hh.next)
    if (r->sends_left > 0 && r->expires > now
        && (!best || r->sends_left > best->sends_left))
      best = r;
  return best;
}

static void
draft_rumours (struct swim *s, struct draft *d, uint64_t now)
{
  struct rumour *chosen[SWIM_NOTICES_MAX];
  uint32_t left[SWIM_NOTICES_MAX];
  size_t n = 0;
  struct rumour *r;

  while (n < SWIM_NOTICES_MAX && (r = freshest_rumour (s, now)) != NULL)
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
freshest_change (const struct swim *s, const struct draft *d)
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

static void
draft_changes (struct swim *s, struct draft *d)
{
  struct entry *e;

  while ((e = freshest_change (s, d)) != NULL)
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

      if (!reachable (e) || draft_has (d, e))
        continue;
      if (!draft_member (d, e))
        return;
      added++;
    }
}

static void
send_draft (struct swim *s, struct str to, const struct draft *d)
{
  s->actions->send (s->ctx, to, &d->msg);
}

/* Tells a member what is believed of it when it has to refute that. */
static void
draft_belief (const struct swim *s, struct draft *d, struct str to)
{
  const struct entry *e = find (s, to);

  if (e && (e->state == MEMBER_SUSPECT || e->state == MEMBER_DEAD))
    draft_member (d, e);
}

static void
send_probe (struct swim *s, struct str to, enum gossip_kind kind, uint64_t seq,
            uint64_t now)
{
  struct draft d;

  draft_start (s, &d, kind, seq, STR (""));
  draft_belief (s, &d, to);
  draft_rumours (s, &d, now);
  draft_changes (s, &d);
  draft_refresh (s, &d);
  send_draft (s, to, &d);
}

/* A random live member, or NULL after a few misses. */
static struct entry *
random_member (struct swim *s, const struct entry *except)
{
  for (size_t i = 0; i < 8 && s->count > 0; i++)
    {
      struct entry *e = s->list[random_below (s, s->count)];

      if (reachable (e) && e != except)
        return e;
    }
  return NULL;
}

/* Up to n different random live members. */
static size_t
random_members (struct swim *s, const struct entry *except, struct entry **out,
                size_t n)
{
  size_t found = 0;

  for (size_t i = 0; i < 2 * n && found < n; i++)
    {
      struct entry *e = random_member (s, except);
      bool known = !e;

      for (size_t j = 0; j < found; j++)
        known = known || out[j] == e;
      if (!known)
        out[found++] = e;
    }
  return found;
}

static void
push (struct swim *s, uint64_t now)
{
  struct entry *to[PUSH_TARGETS];
  const size_t n = random_members (s, NULL, to, PUSH_TARGETS);

  s->push_pending = false;
  s->next_push = now + PUSH_GAP_MS;
  for (size_t i = 0; i < n; i++)
    {
      struct draft d;

      draft_start (s, &d, GOSSIP_PUSH, 0, STR (""));
      draft_belief (s, &d, to[i]->addr);
      draft_rumours (s, &d, now);
      draft_changes (s, &d);
      send_draft (s, to[i]->addr, &d);
    }
}

static void
push_if_due (struct swim *s, uint64_t now)
{
  if (s->push_pending && now >= s->next_push)
    push (s, now);
}

/* ---- member records ---- */

static void
announce_self (struct swim *s)
{
  s->push_pending = true;
  s->version++;
}

static void
hear_of_self (struct swim *s, const struct member *m)
{
  struct entry *self = &s->self;

  if (self->state == MEMBER_DEAD || m->id.instance < self->instance)
    return;
  if (m->id.instance > self->instance)
    {
      /* The wall clock was set back between two starts. Without a later
         instance the members would ignore this process until they forget the
         former one. */
      self->instance = m->id.instance + 1;
      announce_self (s);
      return;
    }
  if (m->incarnation < self->incarnation
      || (m->incarnation == self->incarnation && m->state <= self->state))
    return;
  self->incarnation = m->incarnation + 1;
  announce_self (s);
}

/* Is record m newer than what is known; the states are in order of rank. */
static bool
newer (const struct member *m, const struct entry *e)
{
  if (m->id.instance != e->instance)
    return m->id.instance > e->instance;
  if (m->incarnation != e->incarnation)
    return m->incarnation > e->incarnation;
  return m->state > e->state;
}

static void
hear_revision (struct swim *s, struct entry *e, const struct member *m)
{
  if (m->id.instance != e->instance || m->revision <= e->revision)
    return;
  e->revision = m->revision;
  s->revisions++;
}

static void
set_record (struct swim *s, struct entry *e, const struct member *m,
            uint64_t now)
{
  /* The steps of a graceful shutdown reach all nodes within milliseconds. */
  if (m->state == MEMBER_LEAVING
      || (m->state == MEMBER_DEAD && e->state == MEMBER_LEAVING))
    s->push_pending = true;
  if (m->id.instance != e->instance)
    e->revision = 0;
  copy_record (e, m);
  hear_revision (s, e, m);
  e->suspect_until = m->state == MEMBER_SUSPECT ? now + SUSPECT_MS : 0;
  e->own_suspicion = false;
  e->dead_since = m->state == MEMBER_DEAD ? now : 0;
  e->sends_left = send_limit (s);
  s->version++;
}

/* Where a member's record comes from. */
enum source
{
  SOURCE_ITSELF,
  SOURCE_GOSSIP,
  SOURCE_LIST,
};

static void
hear_of (struct swim *s, const struct member *heard, enum source source,
         uint64_t now)
{
  const bool first_hand = source == SOURCE_ITSELF;
  struct member m = *heard;
  struct entry *e;

  if (m.state > MEMBER_DEAD || m.id.addr.text_len == 0)
    return;
  if (str_eq (STR_TEXT (m.id.addr), s->self.addr))
    {
      if (!first_hand)
        hear_of_self (s, &m);
      return;
    }
  e = find (s, STR_TEXT (m.id.addr));
  /* What another node calls dead is only suspected here until it had time to
     refute: after a partition, one side's verdicts would otherwise make the
     live members of the other side dead. */
  if (m.state == MEMBER_DEAD && !first_hand && e && reachable (e)
      && e->state != MEMBER_LEAVING)
    m.state = MEMBER_SUSPECT;
  if (!e)
    {
      if (m.state != MEMBER_DEAD
          && (e = add (s, STR_TEXT (m.id.addr))) != NULL)
        set_record (s, e, &m, now);
      /* The others know what stands in a full list. */
      if (e && source == SOURCE_LIST)
        {
          e->sends_left = 0;
          s->list_news++;
        }
      return;
    }
  if (newer (&m, e))
    set_record (s, e, &m, now);
  else
    hear_revision (s, e, &m);
}

static void
declare (struct swim *s, struct entry *e, enum member_state state,
         uint64_t now)
{
  struct member m = record (e);

  m.state = state;
  set_record (s, e, &m, now);
}

/* ---- notices ---- */

static void
free_rumour (struct swim *s, struct rumour *r)
{
  HASH_DEL (s->rumours, r);
  str_free (&r->key);
  str_free (&r->value);
  free (r->hash_key);
  free (r);
}

static struct rumour *
rumour_for (struct swim *s, const struct notice *n)
{
  struct str id
      = str_printf ("%d " STR_FMT, (int)n->kind, STR_ARG (STR_TEXT (n->key)));
  struct rumour *r;

  HASH_FIND (hh, s->rumours, id.data, id.len, r);
  if (r)
    {
      str_free (&id);
      return r;
    }
  /* uthash keeps the order of insertion, so the head is the oldest. */
  if (HASH_COUNT (s->rumours) >= NOTICE_ENTRIES_MAX)
    free_rumour (s, s->rumours);
  r = xcalloc (1, sizeof *r);
  r->hash_key = (char *)id.data;
  r->key = str_dup (STR_TEXT (n->key));
  HASH_ADD_KEYPTR (hh, s->rumours, r->hash_key, id.len, r);
  return r;
}

static void
hear_notice (struct swim *s, const struct notice *n, uint64_t now)
{
  const size_t bytes = notice_bytes (n);
  struct rumour *r;

  if (n->ttl_ms == 0 || bytes > SWIM_DATAGRAM_BYTES / 2)
    return;
  r = rumour_for (s, n);
  if (r->expires > 0 && n->number <= r->notice.number)
    return;
  replace_str (&r->value, STR_TEXT (n->value));
  r->notice = *n;
  r->notice.key = TEXT_STR (r->key);
  r->notice.value = TEXT_STR (r->value);
  r->expires = now + n->ttl_ms;
  r->sends_left = send_limit (s);
  s->push_pending = true;
  s->actions->notice (s->ctx, &r->notice);
}

static void
expire_notices (struct swim *s, uint64_t now)
{
  struct rumour *r;
  struct rumour *next;

  HASH_ITER (hh, s->rumours, r, next)
  {
    if (now >= r->expires + NOTICE_TOMB_MS)
      free_rumour (s, r);
  }
}

/* ---- joining ---- */

static void
send_join (struct swim *s, struct str to)
{
  struct draft d;

  draft_start (s, &d, GOSSIP_JOIN, ++s->seq, STR (""));
  draft_belief (s, &d, to);
  send_draft (s, to, &d);
}

/* Sends all live members and all notices in as many datagrams as needed. */
static void
send_list (struct swim *s, struct str to, uint64_t now)
{
  struct draft d;

  draft_start (s, &d, GOSSIP_PUSH, 0, s->self.addr);
  draft_belief (s, &d, to);
  for (const struct rumour *r = s->rumours; r; r = r->hh.next)
    {
      if (r->expires <= now || draft_notice (&d, r, now))
        continue;
      send_draft (s, to, &d);
      draft_start (s, &d, GOSSIP_PUSH, 0, s->self.addr);
      draft_notice (&d, r, now);
    }
  for (size_t i = 0; i < s->count; i++)
    {
      if (!reachable (s->list[i]) || draft_member (&d, s->list[i]))
        continue;
      send_draft (s, to, &d);
      draft_start (s, &d, GOSSIP_PUSH, 0, s->self.addr);
      draft_member (&d, s->list[i]);
    }
  send_draft (s, to, &d);
}

static void
join_step (struct swim *s, uint64_t now)
{
  if (s->joined || now < s->next_join || s->seed_count == 0)
    return;
  s->next_join = now + (s->join_tries < JOIN_TRIES ? JOIN_MS : JOIN_LATE_MS);
  s->join_tries++;
  /* Other members too, because many nodes may be waiting for the seed. */
  const struct entry *e
      = s->join_tries % 2 == 0 ? random_member (s, NULL) : NULL;
  send_join (s, e ? e->addr : s->seeds[random_below (s, s->seed_count)]);
}

/* Compares a sender's digest with the own one. */
static void
compare_digest (struct swim *s, const struct gossip *msg, uint64_t now)
{
  if (msg->digest == digest (s))
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
    if (!reachable (s->list[j]) && i-- == 0)
      return s->list[j]->addr;
  for (size_t j = 0; j < s->seed_count; j++)
    if (!find (s, s->seeds[j]) && i-- == 0)
      return s->seeds[j];
  return STR ("");
}

static void
rejoin_step (struct swim *s, uint64_t now)
{
  struct str addr = lost_member (s, s->rejoin_cursor++);

  if (addr.len == 0)
    {
      s->rejoin_cursor = 1;
      addr = lost_member (s, 0);
    }
  if (addr.len == 0)
    return;
  if (find (s, addr))
    send_probe (s, addr, GOSSIP_PING, ++s->seq, now);
  else
    send_join (s, addr);
}

static void
greet_seeds (struct swim *s, uint64_t now)
{
  if (now < s->next_greet || s->greet_gap_ms > REJOIN_MS)
    return;
  s->greet_gap_ms = s->greet_gap_ms > 0 ? s->greet_gap_ms * 2 : GREET_FIRST_MS;
  s->next_greet = now + s->greet_gap_ms;
  for (size_t i = 0; i < s->seed_count; i++)
    if (!find (s, s->seeds[i]))
      send_join (s, s->seeds[i]);
}

/* ---- probing ---- */

static void
shuffle (struct swim *s)
{
  for (size_t i = s->count; i > 1; i--)
    {
      const size_t j = random_below (s, i);
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
      if (reachable (e))
        return e;
    }
  return NULL;
}

static void
probe_failed (struct swim *s, struct entry *e, uint64_t now)
{
  if (e->state == MEMBER_ALIVE)
    declare (s, e, MEMBER_SUSPECT, now);
  /* A leaving member keeps its state, which already takes it out of work. */
  if (e->state == MEMBER_LEAVING && e->suspect_until == 0)
    e->suspect_until = now + SUSPECT_MS;
  e->own_suspicion = true;
}

static void
probe_step (struct swim *s, uint64_t now)
{
  struct probe *p = &s->probe;

  if (p->target && !p->acked)
    probe_failed (s, p->target, now);
  *p = (struct probe){ .target = next_target (s), .sent = now };
  if (!p->target)
    return;
  p->seq = ++s->seq;
  send_probe (s, p->target->addr, GOSSIP_PING, p->seq, now);
}

/* Probes members that this node suspects again, a few each period. */
static void
doubt_step (struct swim *s, uint64_t now)
{
  size_t n = 0;

  for (size_t i = 0; i < s->count && n < INDIRECT_PROBES; i++)
    {
      const struct entry *e = s->list[i];

      if (!e->own_suspicion || e->suspect_until == 0 || e == s->probe.target)
        continue;
      send_probe (s, e->addr, GOSSIP_PING, ++s->seq, now);
      n++;
    }
}

static void
ask_others (struct swim *s)
{
  struct entry *via[INDIRECT_PROBES];
  const size_t n = random_members (s, s->probe.target, via, INDIRECT_PROBES);

  for (size_t i = 0; i < n; i++)
    {
      struct draft d;

      draft_start (s, &d, GOSSIP_PING_REQ, s->probe.seq,
                   s->probe.target->addr);
      draft_belief (s, &d, via[i]->addr);
      send_draft (s, via[i]->addr, &d);
    }
}

static void
expire_members (struct swim *s, uint64_t now)
{
  for (size_t i = s->count; i-- > 0;)
    {
      struct entry *e = s->list[i];

      if (e->suspect_until > 0 && now >= e->suspect_until)
        declare (s, e, MEMBER_DEAD, now);
      else if (e->state == MEMBER_DEAD && now >= e->dead_since + FORGET_MS)
        forget (s, i);
    }
}

/* Starts all waits again, because answers may have been lost or are still
   unread after a pause of this process. */
static void
after_pause (struct swim *s, uint64_t now)
{
  s->probe.target = NULL;
  s->next_probe = now;
  for (size_t i = 0; i < s->count; i++)
    if (s->list[i]->suspect_until > 0)
      s->list[i]->suspect_until = now + SUSPECT_MS;
}

/* ---- public functions ---- */

struct swim *
swim_create (const struct member *self, uint64_t random_seed,
             const struct swim_actions *actions, void *ctx)
{
  struct swim *s = xcalloc (1, sizeof *s);

  s->actions = actions;
  s->ctx = ctx;
  s->random = random_seed;
  copy_record (&s->self, self);
  s->self.revision = self->revision;
  s->version = 1;
  s->repair_gap_ms = REPAIR_MS;
  return s;
}

void
swim_destroy (struct swim *s)
{
  struct rumour *r;
  struct rumour *next;

  HASH_CLEAR (hh, s->by_addr);
  for (size_t i = 0; i < s->count; i++)
    {
      free_entry (s->list[i]);
      free (s->list[i]);
    }
  HASH_ITER (hh, s->rumours, r, next) { free_rumour (s, r); }
  for (size_t i = 0; i < s->seed_count; i++)
    str_free (&s->seeds[i]);
  for (size_t i = 0; i < RELAYS_MAX; i++)
    str_free (&s->relays[i].origin);
  free_entry (&s->self);
  free (s);
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
swim_tick (struct swim *s, uint64_t now)
{
  if (s->self.state == MEMBER_DEAD)
    return;
  if (s->last_tick > 0 && now - s->last_tick > PAUSE_MS)
    after_pause (s, now);
  s->last_tick = now;
  expire_members (s, now);
  if (now >= s->next_probe)
    {
      s->next_probe = now + PROBE_MS;
      join_step (s, now);
      probe_step (s, now);
      doubt_step (s, now);
      expire_notices (s, now);
    }
  if (s->probe.target && !s->probe.acked && !s->probe.indirect
      && now >= s->probe.sent + DIRECT_MS)
    {
      s->probe.indirect = true;
      ask_others (s);
    }
  greet_seeds (s, now);
  if (now >= s->next_rejoin)
    {
      s->next_rejoin = now + REJOIN_MS;
      rejoin_step (s, now);
    }
  push_if_due (s, now);
}

static void
receive_ack (struct swim *s, const struct gossip *msg)
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
      const struct entry *target = find (s, STR_TEXT (msg->from.id.addr));
      if (target)
        draft_member (&d, target);
      draft_changes (s, &d);
      send_draft (s, r->origin, &d);
    }
}

static void
receive_ping_req (struct swim *s, const struct gossip *msg)
{
  struct relay *r = &s->relays[s->relay_next++ % RELAYS_MAX];
  struct draft d;

  r->seq = ++s->seq;
  r->origin_seq = msg->seq;
  replace_str (&r->origin, STR_TEXT (msg->from.id.addr));
  draft_start (s, &d, GOSSIP_PING, r->seq, STR (""));
  draft_belief (s, &d, STR_TEXT (msg->target));
  send_draft (s, STR_TEXT (msg->target), &d);
}

static void
receive_join (struct swim *s, const struct gossip *msg, uint64_t now)
{
  if (now < s->next_list)
    return;
  s->next_list = now + LIST_GAP_MS;
  send_list (s, STR_TEXT (msg->from.id.addr), now);
}

/* A former process of a restarted node, or a new one whose wall clock is
   behind: only told which instance is known. */
static bool
superseded (struct swim *s, const struct gossip *msg)
{
  const struct entry *e = find (s, STR_TEXT (msg->from.id.addr));
  struct draft d;

  if (!e || msg->from.id.instance >= e->instance)
    return false;
  if (msg->kind == GOSSIP_PING || msg->kind == GOSSIP_JOIN)
    {
      draft_start (s, &d, GOSSIP_PUSH, 0, STR (""));
      draft_member (&d, e);
      send_draft (s, STR_TEXT (msg->from.id.addr), &d);
    }
  return true;
}

void
swim_receive (struct swim *s, const struct gossip *msg, uint64_t now)
{
  const struct str from = STR_TEXT (msg->from.id.addr);

  if (s->self.state == MEMBER_DEAD || msg->format != SWIM_FORMAT
      || str_eq (from, s->self.addr) || superseded (s, msg))
    return;
  const enum source source = msg->kind == GOSSIP_PUSH && msg->target.text_len
                                 ? SOURCE_LIST
                                 : SOURCE_GOSSIP;
  hear_of (s, &msg->from, SOURCE_ITSELF, now);
  for (size_t i = 0; i < msg->members.members_len; i++)
    hear_of (s, &msg->members.members_val[i], source, now);
  for (size_t i = 0; i < msg->notices.notices_len; i++)
    hear_notice (s, &msg->notices.notices_val[i], now);
  if (msg->kind == GOSSIP_PING || msg->kind == GOSSIP_ACK)
    compare_digest (s, msg, now);
  switch (msg->kind)
    {
    case GOSSIP_PING:
      send_probe (s, from, GOSSIP_ACK, msg->seq, now);
      break;
    case GOSSIP_ACK:
      receive_ack (s, msg);
      break;
    case GOSSIP_PING_REQ:
      receive_ping_req (s, msg);
      break;
    case GOSSIP_JOIN:
      receive_join (s, msg, now);
      break;
    case GOSSIP_PUSH:
      s->joined = s->joined || source == SOURCE_LIST;
      break;
    }
  push_if_due (s, now);
}

void
swim_spread (struct swim *s, const struct notice *notice, uint64_t now)
{
  hear_notice (s, notice, now);
  push_if_due (s, now);
}

void
swim_set_revision (struct swim *s, uint64_t revision)
{
  if (s->self.revision == revision)
    return;
  s->self.revision = revision;
  s->revisions++;
}

void
swim_leave (struct swim *s, enum member_state state, uint64_t now)
{
  if (state <= s->self.state)
    return;
  s->self.state = state;
  s->self.incarnation++;
  announce_self (s);
  push (s, now);
}

uint64_t
swim_version (const struct swim *s)
{
  return s->version;
}

uint64_t
swim_revisions (const struct swim *s)
{
  return s->revisions;
}

bool
swim_alone (const struct swim *s)
{
  for (size_t i = 0; i < s->count; i++)
    if (reachable (s->list[i]))
      return false;
  return true;
}

uint64_t
swim_instance (const struct swim *s)
{
  return s->self.instance;
}

/* ---- views ---- */

static size_t
names_bytes (const struct entry *e)
{
  return e->addr.len + e->http_addr.len + e->region.len + e->domain.len;
}

static struct str
put_name (char **at, struct str s)
{
  const struct str copy = { .data = *at, .len = s.len };

  if (s.len > 0)
    memcpy (*at, s.data, s.len);
  *at += s.len;
  return copy;
}

static struct member_info
put_info (char **at, const struct entry *e)
{
  return (struct member_info){
    .addr = put_name (at, e->addr),
    .instance = e->instance,
    .http_addr = put_name (at, e->http_addr),
    .region = put_name (at, e->region),
    .domain = put_name (at, e->domain),
    .state = e->state,
    .revision = e->revision,
  };
}

static int
by_addr (const void *a, const void *b)
{
  const struct member_info *x = a;
  const struct member_info *y = b;

  return str_cmp (x->addr, y->addr);
}

struct member_view *
swim_view (const struct swim *s)
{
  size_t count = 1;
  size_t bytes = names_bytes (&s->self);

  for (size_t i = 0; i < s->count; i++)
    if (reachable (s->list[i]))
      {
        count++;
        bytes += names_bytes (s->list[i]);
      }
  struct member_view *v
      = xmalloc (sizeof *v + count * sizeof (struct member_info) + bytes);
  struct member_info *infos = (struct member_info *)(v + 1);
  char *at = (char *)(infos + count);
  size_t n = 0;
  infos[n++] = put_info (&at, &s->self);
  for (size_t i = 0; i < s->count; i++)
    if (reachable (s->list[i]))
      infos[n++] = put_info (&at, s->list[i]);
  qsort (infos, count, sizeof *infos, by_addr);
  *v = (struct member_view){ .version = s->version + s->revisions,
                             .count = count,
                             .members = infos };
  v->self = (size_t)(member_find (v, s->self.addr) - infos);
  return v;
}
