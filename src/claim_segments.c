#include "claim_impl.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "err.h"

/* Claims move from the head object into a segment from this size on, because
   each write carries the whole head. */
#define SEAL_BYTES 65536
/* At most one segment a second: with 8 head writes a second, 4 partitions
   stay below 40 writes a second. */
#define SEAL_GAP_MS 1000
/* Beyond this size a segment is sealed at once. */
#define OPEN_MAX_BYTES 500000

static struct str
segment_key (const struct claim *c, uint64_t number)
{
  return str_printf (STR_FMT "/seg/%lu", STR_ARG (c->config.key), number);
}

void
claim_add_segment (struct claim *c, const struct claim_segment *s,
                   uint64_t version)
{
  c->segments
      = xrealloc (c->segments, (c->segment_count + 1) * sizeof *c->segments);
  c->segments[c->segment_count++]
      = (struct segment){ .s = *s, .version = version };
}

/* Segments are read from the newest to the oldest; a record of a key that is
   known already is an older state of it. */
void
claim_read_segment (struct claim *c)
{
  const size_t i = c->segment_count - 1 - c->segments_loaded;
  struct str key = segment_key (c, c->segments[i].s.number);

  claim_start_call (c, CALL_READ_SEGMENT);
  c->actions->read (c->ctx, key);
  str_free (&key);
}

void
claim_segment_read (struct claim *c, int err, uint64_t version,
                    struct str value, struct claim_clock t)
{
  struct segment *s = &c->segments[c->segment_count - 1 - c->segments_loaded];
  struct claim_object o = { 0 };

  if (err != 0 || !claim_decode (value, &o))
    {
      if (err == 0 || err == -ENOENT)
        c->actions->report (c->ctx, "segment-unreadable", s->s.number);
      c->next_try = t.now + RETRY_MS;
      return;
    }
  s->version = version;
  c->segments_loaded++;
  for (u_int i = 0; i < o.records.records_len; i++)
    {
      const struct claim_record *r = &o.records.records_val[i];

      if (!claim_find (c, r->customer, r->key))
        claim_put_record (c, r);
    }
  xdr_free ((xdrproc_t)xdr_claim_object, &o);
}

bool
claim_seal_due (const struct claim *c, struct claim_clock t)
{
  const struct record *first = c->open;

  /* The list is in the order of the claims. While the first one waits for the
     store, so do those after it, and there are few to seal. */
  return c->sealing.number == 0 && first && first->pending == 0
         && (c->open_bytes >= OPEN_MAX_BYTES
             || (c->open_bytes >= SEAL_BYTES && t.now >= c->next_seal));
}

/* Chooses the confirmed records for the next segment. */
void
claim_start_seal (struct claim *c, struct claim_clock t)
{
  struct record *r;

  c->sealing = (struct claim_segment){ .number = c->next_number++ };
  c->next_seal = t.now + SEAL_GAP_MS;
  DL_FOREACH (c->open, r)
  {
    r->sealing = r->pending == 0;
    if (r->sealing && r->r.claimed_at_ms > c->sealing.last_claim_ms)
      c->sealing.last_claim_ms = r->r.claimed_at_ms;
  }
}

/* Writes the chosen records that have not changed since they were chosen. */
void
claim_write_segment (struct claim *c)
{
  struct claim_object o = claim_object_for (c, c->sequence);
  struct str key = segment_key (c, c->sealing.number);
  struct record *r;
  size_t count;

  DL_COUNT (c->open, r, count);
  o.records.records_val = xcalloc (count, sizeof (struct claim_record));
  DL_FOREACH (c->open, r)
  {
    r->sealing = r->sealing && r->pending == 0;
    if (r->sealing)
      o.records.records_val[o.records.records_len++] = r->r;
  }
  struct str value = claim_encode (&o);
  claim_start_call (c, CALL_WRITE_SEGMENT);
  c->actions->write (c->ctx, key, 0, value);
  str_free (&value);
  str_free (&key);
  free (o.records.records_val);
}

void
claim_segment_written (struct claim *c, int err, uint64_t version,
                       struct claim_clock t)
{
  struct record *r;
  struct record *next;

  if (err != 0)
    {
      /* Whatever became of it: the name is not used again, and an object
         that no head names is never read. */
      c->sealing.number = 0;
      DL_FOREACH (c->open, r) { r->sealing = false; }
      c->next_try = t.now + RETRY_MS;
      return;
    }
  claim_add_segment (c, &c->sealing, version);
  c->sealing.number = 0;
  c->head_pending = UNWRITTEN;
  DL_FOREACH_SAFE (c->open, r, next)
  {
    if (r->sealing && r->pending == 0)
      claim_set_open (c, r, false);
    r->sealing = false;
  }
}

struct segment *
claim_dropped_segment (const struct claim *c)
{
  for (size_t i = 0; c->head_pending == 0 && i < c->segment_count; i++)
    if (c->segments[i].dropped)
      return &c->segments[i];
  return NULL;
}

void
claim_remove_segment (struct claim *c, const struct segment *s)
{
  struct str key = segment_key (c, s->s.number);

  claim_start_call (c, CALL_REMOVE_SEGMENT);
  c->actions->remove (c->ctx, key, s->version);
  str_free (&key);
}

void
claim_segment_removed (struct claim *c, int err, struct claim_clock t)
{
  const struct segment *s = claim_dropped_segment (c);

  if (err != 0 && err != -ENOENT && err != -EEXIST)
    c->next_try = t.now + RETRY_MS;
  /* One that could not be removed stays as garbage, which nobody reads. */
  if (!s)
    return;
  const size_t i = (size_t)(s - c->segments);
  c->segment_count--;
  memmove (&c->segments[i], &c->segments[i + 1],
           (c->segment_count - i) * sizeof *c->segments);
}

/* Drops records and segments whose lifetime is over. */
void
claim_drop_expired (struct claim *c, struct claim_clock t)
{
  struct record *r;
  struct record *next;

  HASH_ITER (hh, c->records, r, next)
  {
    if (!r->pending && !r->sealing
        && claim_expired (c, r->r.claimed_at_ms, t.wall))
      claim_drop_record (c, r);
  }
  for (size_t i = 0; i < c->segment_count; i++)
    {
      struct segment *s = &c->segments[i];

      if (s->dropped || !claim_expired (c, s->s.last_claim_ms, t.wall))
        continue;
      s->dropped = true;
      c->head_pending = UNWRITTEN;
    }
}

bool
claim_unnamed (const struct claim *c, uint64_t number)
{
  if (c->stage != STAGE_SERVING || number >> 32 >= c->fence)
    return false;
  for (size_t i = 0; i < c->segment_count; i++)
    if (c->segments[i].s.number == number)
      return false;
  return true;
}
