#include "leasestate.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "err.h"

/* Interval of a candidate's reads. */
#define READ_MS 1000
/* Interval of steps that follow a failed or lost one. */
#define RETRY_MS 250
/* JSON integers have a sign. */
#define NODE_HASH_MASK (UINT64_MAX >> 1)

struct leasestate
{
  struct str self;
  uint64_t instance;
  uint32_t ttl_ms;
  uint32_t margin_ms;
  uint32_t turn_ms;
  uint32_t delay_ms;
  bool candidate;
  bool releasing;
  bool mine;  /* the object as last known names this node and instance */
  bool known; /* @version and @seen are as the store holds them */
  bool must_read;
  bool take; /* the last read showed that the lease is free */
  bool busy;
  uint64_t version;
  uint64_t first_seen_ms; /* when @version was first seen */
  uint64_t hint_version;  /* as the holder told */
  uint64_t hint_ms;       /* when it was first told */
  struct lease_record seen;
  struct lease_record written; /* last record that was sent */
  uint64_t sent_ms;            /* when it was sent */
  uint64_t valid_until_ms;
  uint64_t taken_ms; /* begin of the term */
  uint32_t nodes;    /* to be written */
  bool took_back;    /* from a node that had it after this one */
  uint64_t due_ms;   /* no step before */
};

/* ---- records ---- */

struct str
lease_record_encode (const struct lease_record *r)
{
  json_t *o = json_pack (
      "{s:s%, s:I, s:I, s:I, s:I}", "holder",
      r->holder.len > 0 ? r->holder.data : "", r->holder.len, "instance",
      (json_int_t)r->instance, "fence", (json_int_t)r->fence, "renewals",
      (json_int_t)r->renewals, "ttl_ms", (json_int_t)r->ttl_ms);
  json_t *earlier = json_array ();
  char *text;
  struct str s;

  for (uint32_t i = 0; i < r->earlier_count; i++)
    json_array_append_new (earlier, json_integer ((json_int_t)r->earlier[i]));
  if (r->earlier_count > 0)
    json_object_set (o, "earlier", earlier);
  if (r->nodes > 0)
    json_object_set_new (o, "nodes", json_integer (r->nodes));
  json_decref (earlier);
  text = json_dumps (o, JSON_COMPACT);
  s = str_dup (str_from (text));
  free (text);
  json_decref (o);
  return s;
}

static void
decode_earlier (const json_t *o, struct lease_record *out)
{
  const json_t *earlier = json_object_get (o, "earlier");

  for (size_t i = 0; i < json_array_size (earlier) && i < LEASE_EARLIER_MAX;
       i++)
    out->earlier[out->earlier_count++]
        = (uint64_t)json_integer_value (json_array_get (earlier, i));
}

int
lease_record_decode (struct str json, struct lease_record *out)
{
  json_int_t instance;
  json_int_t fence;
  json_int_t renewals;
  json_int_t ttl;
  const char *holder;
  size_t len;
  int rc = -EBADMSG;
  json_t *o = json_loadb (json.data ? json.data : "", json.len, 0, NULL);

  if (!o
      || json_unpack (o, "{s:s%, s:I, s:I, s:I, s:I}", "holder", &holder, &len,
                      "instance", &instance, "fence", &fence, "renewals",
                      &renewals, "ttl_ms", &ttl)
             != 0
      || instance < 0 || fence < 0 || renewals < 0 || ttl < 0
      || ttl > UINT32_MAX)
    goto out;
  *out = (struct lease_record){
    .holder = str_dup ((struct str){ .data = holder, .len = len }),
    .instance = (uint64_t)instance,
    .fence = (uint64_t)fence,
    .renewals = (uint64_t)renewals,
    .ttl_ms = (uint32_t)ttl,
  };
  decode_earlier (o, out);
  out->nodes = (uint32_t)json_integer_value (json_object_get (o, "nodes"));
  rc = 0;

out:
  json_decref (o);
  return rc;
}

struct leasestate *
leasestate_create (struct str self, uint64_t instance, uint32_t ttl_ms,
                   uint32_t margin_ms)
{
  struct leasestate *s = xcalloc (1, sizeof *s);

  s->self = str_dup (self);
  s->instance = instance;
  s->ttl_ms = ttl_ms;
  s->margin_ms = margin_ms;
  return s;
}

void
leasestate_space_turns (struct leasestate *s, uint32_t turn_ms)
{
  s->turn_ms = turn_ms;
}

void
leasestate_set_delay (struct leasestate *s, uint32_t delay_ms)
{
  s->delay_ms = delay_ms;
}

void
leasestate_destroy (struct leasestate *s)
{
  str_free (&s->self);
  str_free (&s->seen.holder);
  free (s);
}

void
leasestate_candidate (struct leasestate *s, bool candidate)
{
  if (candidate && !s->candidate && !s->mine)
    {
      /* Nothing was read meanwhile, so the object may have changed and
         changed again; read at once and count the wait from there. */
      s->known = false;
      s->due_ms = 0;
    }
  s->candidate = candidate;
}

void
leasestate_hint (struct leasestate *s, uint64_t now, uint64_t version)
{
  if (version == s->hint_version)
    return;
  s->hint_version = version;
  s->hint_ms = now;
}

void
leasestate_release (struct leasestate *s)
{
  s->candidate = false;
  s->releasing = s->mine || s->busy;
  s->valid_until_ms = 0;
  s->due_ms = 0;
}

bool
leasestate_released (const struct leasestate *s)
{
  return !s->mine && !s->busy && !s->must_read;
}

/* When the lease is free if its object does not change. */
static uint64_t
lapse_ms (const struct leasestate *s)
{
  uint32_t ttl = s->seen.ttl_ms;

  if (s->seen.holder.len == 0)
    return s->first_seen_ms + s->delay_ms;
  /* An earlier process of this node held it. It is gone, because this one has
     its address. */
  if (str_eq (s->seen.holder, s->self) && s->seen.instance != s->instance)
    return 0;
  if (ttl < s->ttl_ms)
    ttl = s->ttl_ms;
  return s->first_seen_ms + ttl + s->margin_ms + s->delay_ms;
}

static bool
lapsed (const struct leasestate *s, uint64_t now)
{
  return now >= lapse_ms (s);
}

static enum lease_step
begin_read (struct leasestate *s, uint64_t now)
{
  s->busy = true;
  s->due_ms = now + READ_MS;
  return LEASE_STEP_READ;
}

/* ---- turns ---- */

static uint64_t
node_hash (struct str addr)
{
  return str_hash (addr, 0) & NODE_HASH_MASK;
}

static void
add_earlier (struct lease_record *r, uint64_t node)
{
  if (r->earlier_count > 0 && r->earlier[r->earlier_count - 1] == node)
    return;
  if (r->earlier_count == LEASE_EARLIER_MAX)
    memmove (r->earlier, r->earlier + 1,
             --r->earlier_count * sizeof *r->earlier);
  r->earlier[r->earlier_count++] = node;
}

/* The holders before this write, as far as they still matter. */
static void
fill_earlier (struct leasestate *s, uint64_t now)
{
  struct lease_record *w = &s->written;

  w->earlier_count = 0;
  if (s->turn_ms == 0)
    return;
  if (!s->mine || now < s->taken_ms + s->turn_ms)
    {
      memcpy (w->earlier, s->seen.earlier, sizeof w->earlier);
      w->earlier_count = s->seen.earlier_count;
    }
  if (!s->mine && s->seen.holder.len > 0)
    add_earlier (w, node_hash (s->seen.holder));
  if (s->releasing)
    add_earlier (w, node_hash (s->self));
}

/* Does another node follow this one among the earlier holders? */
static bool
had_turn_before_other (const struct leasestate *s,
                       const struct lease_record *r)
{
  const uint64_t self = node_hash (s->self);
  bool seen_self = false;

  for (uint32_t i = 0; i < r->earlier_count; i++)
    {
      if (seen_self && r->earlier[i] != self)
        return true;
      seen_self = seen_self || r->earlier[i] == self;
    }
  return false;
}

void
leasestate_note_nodes (struct leasestate *s, uint32_t nodes)
{
  s->nodes = nodes;
}

uint32_t
leasestate_nodes (const struct leasestate *s)
{
  return s->seen.nodes;
}

bool
leasestate_in_turn (const struct leasestate *s, uint64_t now)
{
  return !s->took_back || now >= s->taken_ms + s->turn_ms;
}

/* ---- steps ---- */

static enum lease_step
begin_write (struct leasestate *s, uint64_t now, uint64_t fence,
             struct lease_record *out)
{
  s->written.holder = s->releasing ? (struct str){ 0 } : s->self;
  s->written.instance = s->instance;
  s->written.fence = fence;
  /* Each attempt has its own number, so that a read back tells which of
     several attempts took effect. */
  s->written.renewals++;
  s->written.ttl_ms = s->ttl_ms;
  fill_earlier (s, now);
  s->written.nodes = s->nodes > 0 ? s->nodes : s->seen.nodes;
  s->sent_ms = now;
  s->busy = true;
  *out = s->written;
  return LEASE_STEP_WRITE;
}

enum lease_step
leasestate_next (struct leasestate *s, uint64_t now, struct lease_record *out)
{
  if (s->busy || now < s->due_ms)
    return LEASE_STEP_NONE;
  if (s->must_read)
    return begin_read (s, now);
  if (s->mine)
    return begin_write (s, now, s->seen.fence, out);
  s->releasing = false;
  if (!s->candidate)
    return LEASE_STEP_NONE;
  if (!s->take)
    return begin_read (s, now);
  s->take = false;
  return begin_write (s, now, s->seen.fence + 1, out);
}

/* Adopts what the store holds. */
static void
adopt (struct leasestate *s, uint64_t now, uint64_t version,
       const struct lease_record *r)
{
  const bool was_mine = s->mine;

  if (!s->known || version != s->version)
    {
      const struct str old = s->seen.holder;

      s->seen = *r;
      s->seen.holder = str_dup (r->holder);
      free ((char *)old.data);
      s->version = version;
      s->first_seen_ms
          = version > 0 && version == s->hint_version ? s->hint_ms : now;
      s->known = true;
    }
  s->mine = str_eq (r->holder, s->self) && r->instance == s->instance;
  if (!s->mine)
    s->valid_until_ms = 0;
  if (!s->mine || was_mine)
    return;
  s->taken_ms = now;
  s->took_back = had_turn_before_other (s, r);
}

static void
extend (struct leasestate *s, uint64_t now)
{
  s->due_ms = s->sent_ms + s->ttl_ms / 3;
  if (s->due_ms < now || s->releasing)
    s->due_ms = now;
  if (s->mine && !s->releasing)
    s->valid_until_ms = s->sent_ms + s->ttl_ms - s->margin_ms;
}

void
leasestate_read_done (struct leasestate *s, uint64_t now, int err,
                      uint64_t version, const struct lease_record *record)
{
  static const struct lease_record none = { 0 };

  s->busy = false;
  if (err != 0 && err != -ENOENT)
    {
      s->due_ms = now + (s->must_read ? RETRY_MS : READ_MS);
      return;
    }
  s->must_read = false;
  adopt (s, now, err == -ENOENT ? 0 : version, err != 0 ? &none : record);
  if (s->mine && s->seen.renewals == s->written.renewals)
    extend (s, now);
  else if (s->mine)
    s->due_ms = now;
  s->take = !s->mine && s->candidate && lapsed (s, now);
  if (s->take)
    s->due_ms = now;
  else if (!s->mine && s->candidate && lapse_ms (s) < s->due_ms)
    s->due_ms = lapse_ms (s);
}

void
leasestate_write_done (struct leasestate *s, uint64_t now, int err,
                       uint64_t version)
{
  s->busy = false;
  if (err == 0)
    {
      adopt (s, now, version, &s->written);
      extend (s, now);
      return;
    }
  /* After -EEXIST the object may still be ours: an earlier attempt whose
     answer was lost may have taken effect late. */
  s->must_read = err == -EEXIST || err == -EINPROGRESS;
  s->due_ms = now + (err == -EEXIST ? 0 : RETRY_MS);
}

bool
leasestate_valid (const struct leasestate *s, uint64_t now)
{
  return s->mine && now < s->valid_until_ms;
}

uint64_t
leasestate_fence (const struct leasestate *s)
{
  return s->mine ? s->seen.fence : 0;
}

uint64_t
leasestate_version (const struct leasestate *s)
{
  return s->known ? s->version : 0;
}

struct str
leasestate_holder (const struct leasestate *s)
{
  return s->seen.holder;
}
