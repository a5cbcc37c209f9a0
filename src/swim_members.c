#include "swim_impl.h"

#include <assert.h>
#include <stdlib.h>

#include "err.h"

/* Time for which the record of a dead member is kept. */
#define DEAD_RETENTION_MS 3600000

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
swim_copy_record (struct member_entry *e, const struct member *m)
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
swim_to_record (const struct member_entry *e)
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
swim_free_entry (struct member_entry *e)
{
  str_free (&e->addr);
  str_free (&e->http_addr);
  str_free (&e->region);
  str_free (&e->domain);
}

struct member_entry *
swim_find (const struct swim *s, struct str addr)
{
  struct member_entry *e;

  HASH_FIND (hh, s->by_addr, addr.data, addr.len, e);
  return e;
}

bool
swim_reachable (const struct member_entry *e)
{
  return e->state != MEMBER_DEAD;
}

/* Returns how many times an update is sent: enough to reach all members with
   high probability, growing with the logarithm of their number. */
uint32_t
swim_send_limit (const struct swim *s)
{
  uint32_t limit = 4;

  for (size_t n = s->member_count + 1; n > 0; n >>= 1)
    limit++;
  return limit;
}

static void
remove_member (struct swim *s, size_t i)
{
  struct member_entry *e = s->members[i];

  if (s->probe.target == e)
    s->probe.target = NULL;
  assert (s->by_addr);
  HASH_DEL (s->by_addr, e);
  s->members[i] = s->members[--s->member_count];
  swim_free_entry (e);
  free (e);
}

/* Drops the member that has been dead the longest if the table is full.
   Returns false if it is full of live members. */
static bool
evict_oldest_dead (struct swim *s)
{
  size_t oldest = s->member_count;

  if (s->member_count < MEMBER_ENTRIES_MAX)
    return true;
  for (size_t i = 0; i < s->member_count; i++)
    if (!swim_reachable (s->members[i])
        && (oldest == s->member_count
            || s->members[i]->dead_since < s->members[oldest]->dead_since))
      oldest = i;
  if (oldest == s->member_count)
    return false;
  remove_member (s, oldest);
  return true;
}

static struct member_entry *
add_member (struct swim *s, struct str addr)
{
  struct member_entry *e;

  if (!evict_oldest_dead (s))
    return NULL;
  e = xcalloc (1, sizeof *e);
  e->addr = str_dup (addr);
  HASH_ADD_KEYPTR (hh, s->by_addr, e->addr.data, e->addr.len, e);
  const size_t position = swim_random_below (s, s->member_count + 1);
  s->members[s->member_count++] = e;
  s->members[s->member_count - 1] = s->members[position];
  s->members[position] = e;
  return e;
}

/* Returns a digest of the addresses and instances of all live members, this
   node included. */
uint64_t
swim_digest (struct swim *s)
{
  if (s->digest_version == s->version)
    return s->digest;
  s->digest_version = s->version;
  s->digest = str_hash (s->self.addr, s->self.instance);
  for (size_t i = 0; i < s->member_count; i++)
    if (swim_reachable (s->members[i]))
      s->digest ^= str_hash (s->members[i]->addr, s->members[i]->instance);
  return s->digest;
}

/* Returns a random live member other than except, or NULL if eight picks gave
   none. */
struct member_entry *
swim_random_member (struct swim *s, const struct member_entry *except)
{
  for (size_t i = 0; i < 8 && s->member_count > 0; i++)
    {
      struct member_entry *e
          = s->members[swim_random_below (s, s->member_count)];

      if (swim_reachable (e) && e != except)
        return e;
    }
  return NULL;
}

/* Stores up to n distinct random live members in out and returns their number.
 */
size_t
swim_random_members (struct swim *s, const struct member_entry *except,
                     struct member_entry **out, size_t n)
{
  size_t found = 0;

  for (size_t i = 0; i < 2 * n && found < n; i++)
    {
      struct member_entry *e = swim_random_member (s, except);
      bool skip = !e;

      for (size_t j = 0; j < found; j++)
        skip = skip || out[j] == e;
      if (!skip)
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

/* Raises the incarnation or the instance of this node to refute a record of it
   that another node sent. */
static void
refute (struct swim *s, const struct member *m)
{
  struct member_entry *self = &s->self;

  if (self->state == MEMBER_DEAD || m->id.instance < self->instance)
    return;
  if (m->id.instance > self->instance)
    {
      /* The wall clock was set back between two starts. Without a later
         instance the other members would ignore this process until they drop
         the record of the previous one. */
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

/* Returns true if record m supersedes the known one. At equal instance and
   incarnation the higher state wins. */
static bool
record_is_newer (const struct member *m, const struct member_entry *e)
{
  if (m->id.instance != e->instance)
    return m->id.instance > e->instance;
  if (m->incarnation != e->incarnation)
    return m->incarnation > e->incarnation;
  return m->state > e->state;
}

static void
merge_revision (struct swim *s, struct member_entry *e, const struct member *m)
{
  if (m->id.instance != e->instance || m->revision <= e->revision)
    return;
  e->revision = m->revision;
  s->revision_changes++;
}

static void
apply_record (struct swim *s, struct member_entry *e, const struct member *m,
              uint64_t now)
{
  /* Pushes the steps of a graceful shutdown at once, so that they reach all
     nodes within milliseconds. */
  if (m->state == MEMBER_LEAVING
      || (m->state == MEMBER_DEAD && e->state == MEMBER_LEAVING))
    s->push_pending = true;
  if (m->id.instance != e->instance)
    e->revision = 0;
  swim_copy_record (e, m);
  merge_revision (s, e, m);
  e->suspect_until
      = m->state == MEMBER_SUSPECT ? now + SUSPICION_TIMEOUT_MS : 0;
  e->suspected_by_self = false;
  e->dead_since = m->state == MEMBER_DEAD ? now : 0;
  e->sends_left = swim_send_limit (s);
  s->version++;
}

void
swim_merge_member (struct swim *s, const struct member *received,
                   enum record_source source, uint64_t now)
{
  const bool from_itself = source == SOURCE_SENDER;
  struct member m = *received;
  struct member_entry *e;

  if (m.state > MEMBER_DEAD || m.id.addr.text_len == 0)
    return;
  if (str_eq (STR_TEXT (m.id.addr), s->self.addr))
    {
      if (!from_itself)
        refute (s, &m);
      return;
    }
  e = swim_find (s, STR_TEXT (m.id.addr));
  /* A member that another node reports dead is only suspected at first, so
     that it has time to refute. Otherwise, after a partition, the records of
     one side would make live members of the other side dead. */
  if (m.state == MEMBER_DEAD && !from_itself && e && swim_reachable (e)
      && e->state != MEMBER_LEAVING)
    m.state = MEMBER_SUSPECT;
  if (!e)
    {
      if (m.state != MEMBER_DEAD
          && (e = add_member (s, STR_TEXT (m.id.addr))) != NULL)
        apply_record (s, e, &m, now);
      /* Members of a full list are already known to the other nodes, so they
         are not sent on as updates. */
      if (e && source == SOURCE_FULL_LIST)
        {
          e->sends_left = 0;
          s->added_from_list++;
        }
      return;
    }
  if (record_is_newer (&m, e))
    apply_record (s, e, &m, now);
  else
    merge_revision (s, e, &m);
}

void
swim_set_state (struct swim *s, struct member_entry *e,
                enum member_state state, uint64_t now)
{
  struct member m = swim_to_record (e);

  m.state = state;
  apply_record (s, e, &m, now);
}

void
swim_expire_members (struct swim *s, uint64_t now)
{
  for (size_t i = s->member_count; i-- > 0;)
    {
      struct member_entry *e = s->members[i];

      if (e->suspect_until > 0 && now >= e->suspect_until)
        swim_set_state (s, e, MEMBER_DEAD, now);
      else if (e->state == MEMBER_DEAD
               && now >= e->dead_since + DEAD_RETENTION_MS)
        remove_member (s, i);
    }
}
