#include "swim_impl.h"

#include <assert.h>
#include <stdlib.h>

#include "err.h"

#define FORGET_MS 3600000

static uint64_t
next_random (struct swim *s)
{
  uint64_t z = (s->random += 0x9e3779b97f4a7c15U);

  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9U;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebU;
  return z ^ (z >> 31);
}

size_t
swim_random_below (struct swim *s, size_t n)
{
  return (size_t)(next_random (s) % n);
}

void
swim_copy_record (struct entry *e, const struct member *m)
{
  str_assign (&e->addr, STR_TEXT (m->id.addr));
  str_assign (&e->http_addr, STR_TEXT (m->http_addr));
  str_assign (&e->region, STR_TEXT (m->region));
  str_assign (&e->domain, STR_TEXT (m->domain));
  e->instance = m->id.instance;
  e->incarnation = m->incarnation;
  e->state = m->state;
}

struct member
swim_record (const struct entry *e)
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

void
swim_free_entry (struct entry *e)
{
  str_free (&e->addr);
  str_free (&e->http_addr);
  str_free (&e->region);
  str_free (&e->domain);
}

struct entry *
swim_find (const struct swim *s, struct str addr)
{
  struct entry *e;

  HASH_FIND (hh, s->by_addr, addr.data, addr.len, e);
  return e;
}

bool
swim_reachable (const struct entry *e)
{
  return e->state != MEMBER_DEAD;
}

/* Number of times that a change is repeated: enough to reach all members with
   high probability, growing with the logarithm of their number. */
uint32_t
swim_send_limit (const struct swim *s)
{
  uint32_t limit = 4;

  for (size_t n = s->count + 1; n > 0; n >>= 1)
    limit++;
  return limit;
}

static void
remove_entry (struct swim *s, size_t i)
{
  struct entry *e = s->list[i];

  if (s->probe.target == e)
    s->probe.target = NULL;
  assert (s->by_addr);
  HASH_DEL (s->by_addr, e);
  s->list[i] = s->list[--s->count];
  swim_free_entry (e);
  free (e);
}

static bool
make_room (struct swim *s)
{
  size_t oldest = s->count;

  if (s->count < ENTRIES_MAX)
    return true;
  for (size_t i = 0; i < s->count; i++)
    if (!swim_reachable (s->list[i])
        && (oldest == s->count
            || s->list[i]->dead_since < s->list[oldest]->dead_since))
      oldest = i;
  if (oldest == s->count)
    return false;
  remove_entry (s, oldest);
  return true;
}

static struct entry *
add_entry (struct swim *s, struct str addr)
{
  struct entry *e;

  if (!make_room (s))
    return NULL;
  e = xcalloc (1, sizeof *e);
  e->addr = str_dup (addr);
  HASH_ADD_KEYPTR (hh, s->by_addr, e->addr.data, e->addr.len, e);
  const size_t place = swim_random_below (s, s->count + 1);
  s->list[s->count++] = e;
  s->list[s->count - 1] = s->list[place];
  s->list[place] = e;
  return e;
}

/* Digest of the addresses and instances of all live members. */
uint64_t
swim_digest (struct swim *s)
{
  if (s->digest_version == s->version)
    return s->digest;
  s->digest_version = s->version;
  s->digest = str_hash (s->self.addr, s->self.instance);
  for (size_t i = 0; i < s->count; i++)
    if (swim_reachable (s->list[i]))
      s->digest ^= str_hash (s->list[i]->addr, s->list[i]->instance);
  return s->digest;
}

/* A random live member, or NULL after a few misses. */
struct entry *
swim_random_member (struct swim *s, const struct entry *except)
{
  for (size_t i = 0; i < 8 && s->count > 0; i++)
    {
      struct entry *e = s->list[swim_random_below (s, s->count)];

      if (swim_reachable (e) && e != except)
        return e;
    }
  return NULL;
}

/* Up to n different random live members. */
size_t
swim_random_members (struct swim *s, const struct entry *except,
                     struct entry **out, size_t n)
{
  size_t found = 0;

  for (size_t i = 0; i < 2 * n && found < n; i++)
    {
      struct entry *e = swim_random_member (s, except);
      bool known = !e;

      for (size_t j = 0; j < found; j++)
        known = known || out[j] == e;
      if (!known)
        out[found++] = e;
    }
  return found;
}

void
swim_announce_self (struct swim *s)
{
  s->push_pending = true;
  s->version++;
}

static void
refute (struct swim *s, const struct member *m)
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
      swim_announce_self (s);
      return;
    }
  if (m->incarnation < self->incarnation
      || (m->incarnation == self->incarnation && m->state <= self->state))
    return;
  self->incarnation = m->incarnation + 1;
  swim_announce_self (s);
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
merge_revision (struct swim *s, struct entry *e, const struct member *m)
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
  swim_copy_record (e, m);
  merge_revision (s, e, m);
  e->suspect_until = m->state == MEMBER_SUSPECT ? now + SUSPECT_MS : 0;
  e->own_suspicion = false;
  e->dead_since = m->state == MEMBER_DEAD ? now : 0;
  e->sends_left = swim_send_limit (s);
  s->version++;
}

void
swim_merge_member (struct swim *s, const struct member *heard,
                   enum record_source source, uint64_t now)
{
  const bool first_hand = source == SOURCE_ITSELF;
  struct member m = *heard;
  struct entry *e;

  if (m.state > MEMBER_DEAD || m.id.addr.text_len == 0)
    return;
  if (str_eq (STR_TEXT (m.id.addr), s->self.addr))
    {
      if (!first_hand)
        refute (s, &m);
      return;
    }
  e = swim_find (s, STR_TEXT (m.id.addr));
  /* What another node calls dead is only suspected here until it had time to
     refute: after a partition, one side's verdicts would otherwise make the
     live members of the other side dead. */
  if (m.state == MEMBER_DEAD && !first_hand && e && swim_reachable (e)
      && e->state != MEMBER_LEAVING)
    m.state = MEMBER_SUSPECT;
  if (!e)
    {
      if (m.state != MEMBER_DEAD
          && (e = add_entry (s, STR_TEXT (m.id.addr))) != NULL)
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
    merge_revision (s, e, &m);
}

void
swim_set_state (struct swim *s, struct entry *e, enum member_state state,
                uint64_t now)
{
  struct member m = swim_record (e);

  m.state = state;
  set_record (s, e, &m, now);
}

void
swim_expire_members (struct swim *s, uint64_t now)
{
  for (size_t i = s->count; i-- > 0;)
    {
      struct entry *e = s->list[i];

      if (e->suspect_until > 0 && now >= e->suspect_until)
        swim_set_state (s, e, MEMBER_DEAD, now);
      else if (e->state == MEMBER_DEAD && now >= e->dead_since + FORGET_MS)
        remove_entry (s, i);
    }
}
