#include "leasestate.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "err.h"

/* Interval of a candidate's reads. */
#define READ_INTERVAL_MS 1000
/* Delay after a failed or unanswered write, and after a failed read that was
   to check the result of a write. */
#define RETRY_DELAY_MS 250
/* Clears the top bit, because JSON integers are signed. */
#define NODE_HASH_MASK (UINT64_MAX >> 1)

struct leasestate
{
  struct str self;
  uint64_t instance;
  uint32_t ttl_ms;
  uint32_t margin_ms;
  uint32_t reacquire_delay_ms;
  uint32_t takeover_delay_ms;
  bool candidate;
  bool releasing;
  /* The object, as last read or written, names this node and instance. */
  bool held_by_self;
  bool current_known;  /* @version and @current are up to date */
  bool must_read_back; /* the next step reads to learn the result of a write */
  bool is_free;        /* the last read showed that the lease is free */
  bool step_in_progress;
  bool step_outdated; /* an era began since the step did */
  bool reclaiming; /* takes the lease of this era, as it held the last one's */
  uint64_t eras;   /* number of eras that began */
  uint64_t version;
  uint64_t first_seen_ms; /* when @version was first read or reported */
  uint64_t hint_version;  /* version that the holder reported */
  uint64_t hint_ms;       /* when it was first reported */
  struct lease_record current;
  struct lease_record written; /* record of the last write attempt */
  uint64_t written_ms;         /* when that attempt started */
  uint64_t valid_until_ms;
  uint64_t term_start_ms;
  uint64_t min_fence;             /* later fencing tokens are greater */
  uint64_t absent_free_ms;        /* when an absent object may be created */
  struct lease_record before_era; /* last record of an earlier era */
  uint32_t nodes;                 /* number of nodes to write, or 0 */
  bool reacquired;       /* another node held the lease since its last term */
  uint64_t next_step_ms; /* earliest time of the next step */
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
leasestate_set_reacquire_delay (struct leasestate *s, uint32_t delay_ms)
{
  s->reacquire_delay_ms = delay_ms;
}

void
leasestate_set_takeover_delay (struct leasestate *s, uint32_t delay_ms)
{
  s->takeover_delay_ms = delay_ms;
}

void
leasestate_destroy (struct leasestate *s)
{
  str_free (&s->self);
  str_free (&s->current.holder);
  free (s);
}

void
leasestate_set_candidate (struct leasestate *s, bool candidate)
{
  candidate = candidate || s->reclaiming;
  if (candidate && !s->candidate && !s->held_by_self)
    {
      /* A node that isn't a candidate doesn't read the object, which may have
         changed several times. Reads at once and counts the wait for the
         expiry from there. */
      s->current_known = false;
      s->next_step_ms = 0;
    }
  s->candidate = candidate;
}

void
leasestate_report_version (struct leasestate *s, uint64_t now,
                           uint64_t version)
{
  if (version == s->hint_version)
    return;
  s->hint_version = version;
  s->hint_ms = now;
}

void
leasestate_report_fence (struct leasestate *s, uint64_t fence)
{
  if (fence > s->min_fence)
    s->min_fence = fence;
}

void
leasestate_release (struct leasestate *s)
{
  s->candidate = false;
  s->reclaiming = false;
  s->releasing = s->held_by_self || s->step_in_progress;
  s->valid_until_ms = 0;
  s->next_step_ms = 0;
}

bool
leasestate_released (const struct leasestate *s)
{
  return !s->held_by_self && !s->step_in_progress && !s->must_read_back;
}

/* Returns the time at which the lease may be taken if its object does not
   change until then. */
static uint64_t
free_from_ms (const struct leasestate *s)
{
  uint32_t ttl = s->current.ttl_ms;

  if (s->reclaiming && s->version == 0)
    return s->first_seen_ms;
  if (s->version == 0 && s->absent_free_ms > s->first_seen_ms)
    return s->absent_free_ms + s->takeover_delay_ms;
  if (s->current.holder.len == 0)
    return s->first_seen_ms + s->takeover_delay_ms;
  /* An earlier process of this node held the lease. It must have ended,
     because this process has its address. */
  if (str_eq (s->current.holder, s->self)
      && s->current.instance != s->instance)
    return 0;
  if (ttl < s->ttl_ms)
    ttl = s->ttl_ms;
  return s->first_seen_ms + ttl + s->margin_ms + s->takeover_delay_ms;
}

static bool
is_lease_free (const struct leasestate *s, uint64_t now)
{
  return now >= free_from_ms (s);
}

static enum lease_step
begin_read (struct leasestate *s, uint64_t now)
{
  s->step_in_progress = true;
  s->next_step_ms = now + READ_INTERVAL_MS;
  return LEASE_STEP_READ;
}

/* ---- earlier holders ---- */

static uint64_t
node_hash (struct str addr)
{
  return str_hash (addr, 0) & NODE_HASH_MASK;
}

static void
add_earlier_holder (struct lease_record *r, uint64_t node)
{
  if (r->earlier_count > 0 && r->earlier[r->earlier_count - 1] == node)
    return;
  if (r->earlier_count == LEASE_EARLIER_MAX)
    memmove (r->earlier, r->earlier + 1,
             --r->earlier_count * sizeof *r->earlier);
  r->earlier[r->earlier_count++] = node;
}

/* Returns the newest known record; of the time before the era if the era has
   none. */
static const struct lease_record *
last_record (const struct leasestate *s)
{
  return s->version > 0 ? &s->current : &s->before_era;
}

/* Lists the earlier holders in the record to write. The list is cleared when
   this node has held the lease for the reacquire delay. */
static void
set_earlier_holders (struct leasestate *s, uint64_t now)
{
  struct lease_record *w = &s->written;
  const struct lease_record *last = last_record (s);

  w->earlier_count = 0;
  if (s->reacquire_delay_ms == 0)
    return;
  if (!s->held_by_self || now < s->term_start_ms + s->reacquire_delay_ms)
    {
      memcpy (w->earlier, last->earlier, sizeof w->earlier);
      w->earlier_count = last->earlier_count;
    }
  if (!s->held_by_self && last->holder.len > 0)
    add_earlier_holder (w, node_hash (last->holder));
  if (s->releasing)
    add_earlier_holder (w, node_hash (s->self));
}

/* Returns true if another node held the lease after an earlier term of this
   node. */
static bool
held_before_other_node (const struct leasestate *s,
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
leasestate_begin_era (struct leasestate *s, uint64_t now, uint64_t min_fence)
{
  const bool was_valid = leasestate_valid (s, now);

  if (s->current.holder.len > 0)
    add_earlier_holder (&s->current, node_hash (s->current.holder));
  str_free (&s->current.holder);
  /* An era that ended before its object was read has told nothing. */
  if (s->version > 0)
    s->before_era = s->current;
  s->current = (struct lease_record){ 0 };
  leasestate_report_fence (s, min_fence);
  s->eras++;
  s->step_outdated = s->step_in_progress;
  s->reclaiming = was_valid;
  s->absent_free_ms = was_valid ? now : now + s->ttl_ms + s->margin_ms;
  s->version = 0;
  s->first_seen_ms = now;
  s->hint_version = 0;
  s->valid_until_ms = 0;
  s->held_by_self = false;
  s->current_known = false;
  s->must_read_back = false;
  s->is_free = false;
  s->next_step_ms = now;
}

void
leasestate_set_node_count (struct leasestate *s, uint32_t nodes)
{
  s->nodes = nodes;
}

uint32_t
leasestate_node_count (const struct leasestate *s)
{
  return last_record (s)->nodes;
}

bool
leasestate_reacquire_delay_over (const struct leasestate *s, uint64_t now)
{
  return !s->reacquired || now >= s->term_start_ms + s->reacquire_delay_ms;
}

/* ---- steps ---- */

static enum lease_step
begin_write (struct leasestate *s, uint64_t now, uint64_t fence,
             struct lease_record *out)
{
  s->written.holder = s->releasing ? (struct str){ 0 } : s->self;
  s->written.instance = s->instance;
  s->written.fence = fence;
  /* Each attempt has its own number, so that a later read shows which of
     several attempts took effect. */
  s->written.renewals++;
  s->written.ttl_ms = s->ttl_ms;
  set_earlier_holders (s, now);
  s->written.nodes = s->nodes > 0 ? s->nodes : last_record (s)->nodes;
  s->written_ms = now;
  s->step_in_progress = true;
  *out = s->written;
  return LEASE_STEP_WRITE;
}

enum lease_step
leasestate_next (struct leasestate *s, uint64_t now, struct lease_record *out)
{
  if (s->step_in_progress || now < s->next_step_ms)
    return LEASE_STEP_NONE;
  if (s->must_read_back)
    return begin_read (s, now);
  if (s->held_by_self)
    return begin_write (s, now, s->current.fence, out);
  s->releasing = false;
  if (!s->candidate)
    return LEASE_STEP_NONE;
  if (!s->is_free)
    return begin_read (s, now);
  s->is_free = false;
  return begin_write (s, now, s->min_fence + 1, out);
}

/* Updates the state with the object that was read or written. */
static void
apply_record (struct leasestate *s, uint64_t now, uint64_t version,
              const struct lease_record *r)
{
  const bool was_held = s->held_by_self;
  /* Others may have held the lease of an era that this node has not seen. */
  const bool others_unknown = s->version == 0 && s->eras > 1 && !s->reclaiming;

  if (version > 0)
    s->reclaiming = false;
  if (!s->current_known || version != s->version)
    {
      const struct str old = s->current.holder;

      s->current = *r;
      s->current.holder = str_dup (r->holder);
      free ((char *)old.data);
      /* Another writer deleted the object; its holder may not know yet. */
      if (version == 0 && s->version > 0)
        s->absent_free_ms = now + s->ttl_ms + s->margin_ms;
      leasestate_report_fence (s, r->fence);
      s->version = version;
      s->first_seen_ms
          = version > 0 && version == s->hint_version ? s->hint_ms : now;
      s->current_known = true;
    }
  s->held_by_self = str_eq (r->holder, s->self) && r->instance == s->instance;
  if (!s->held_by_self)
    s->valid_until_ms = 0;
  if (!s->held_by_self || was_held)
    return;
  s->term_start_ms = now;
  s->reacquired = others_unknown || held_before_other_node (s, r);
}

static void
extend_validity (struct leasestate *s, uint64_t now)
{
  s->next_step_ms = s->written_ms + s->ttl_ms / 3;
  if (s->next_step_ms < now || s->releasing)
    s->next_step_ms = now;
  if (s->held_by_self && !s->releasing)
    s->valid_until_ms = s->written_ms + s->ttl_ms - s->margin_ms;
}

/* Returns true if the step was about the object of an earlier era. */
static bool
end_step (struct leasestate *s)
{
  const bool outdated = s->step_outdated;

  s->step_in_progress = false;
  s->step_outdated = false;
  return outdated;
}

void
leasestate_read_done (struct leasestate *s, uint64_t now, int err,
                      uint64_t version, const struct lease_record *record)
{
  static const struct lease_record none = { 0 };

  if (end_step (s))
    return;
  if (err != 0 && err != -ENOENT)
    {
      s->next_step_ms
          = now + (s->must_read_back ? RETRY_DELAY_MS : READ_INTERVAL_MS);
      return;
    }
  s->must_read_back = false;
  apply_record (s, now, err == -ENOENT ? 0 : version,
                err != 0 ? &none : record);
  if (s->held_by_self && s->current.renewals == s->written.renewals)
    extend_validity (s, now);
  else if (s->held_by_self)
    s->next_step_ms = now;
  s->is_free = !s->held_by_self && s->candidate && is_lease_free (s, now);
  if (s->is_free)
    s->next_step_ms = now;
  else if (!s->held_by_self && s->candidate
           && free_from_ms (s) < s->next_step_ms)
    s->next_step_ms = free_from_ms (s);
}

void
leasestate_write_done (struct leasestate *s, uint64_t now, int err,
                       uint64_t version)
{
  if (end_step (s))
    return;
  if (err == 0)
    {
      apply_record (s, now, version, &s->written);
      extend_validity (s, now);
      return;
    }
  /* After -EEXIST the object may still name this process: an earlier attempt
     whose answer was lost may have taken effect late. After -ENOENT another
     writer has deleted it. */
  s->must_read_back = err == -EEXIST || err == -ENOENT || err == -EINPROGRESS;
  s->next_step_ms = now + (err == -EEXIST ? 0 : RETRY_DELAY_MS);
}

bool
leasestate_valid (const struct leasestate *s, uint64_t now)
{
  return s->held_by_self && now < s->valid_until_ms;
}

uint64_t
leasestate_fence (const struct leasestate *s)
{
  return s->held_by_self ? s->current.fence : 0;
}

uint64_t
leasestate_version (const struct leasestate *s)
{
  return s->current_known ? s->version : 0;
}

struct str
leasestate_holder (const struct leasestate *s)
{
  return s->current.holder;
}
