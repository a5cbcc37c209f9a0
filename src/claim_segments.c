#include "claim_impl.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "err.h"

/* Size of the records in the head from which they are moved to a segment,
   because each write carries the whole head. */
#define SEAL_BYTES 65536
/* Minimum time between two segments. With one segment and 8 head writes a
   second each, 4 partitions stay below 40 writes a second. */
#define SEAL_INTERVAL_MS 1000
/* Size of the records in the head from which a segment is sealed without
   waiting for SEAL_INTERVAL_MS. */
#define SEAL_NOW_BYTES 500000

static struct str
segment_key (const struct claim_partition *c, uint64_t number)
{
  return str_printf (STR_FMT "/seg/%lu", STR_ARG (c->config.key), number);
}

void
claim_add_segment (struct claim_partition *c, const struct claim_segment *s,
                   uint64_t version)
{
  c->segments
      = xrealloc (c->segments, (c->segment_count + 1) * sizeof *c->segments);
  c->segments[c->segment_count++]
      = (struct segment){ .info = *s, .version = version };
}

/* Starts to read the next segment. Segments are read from the newest to the
   oldest, so that a record whose key is loaded already is outdated. */
void
claim_read_segment (struct claim_partition *c)
{
  const size_t i = c->segment_count - 1 - c->segments_loaded;
  struct str key = segment_key (c, c->segments[i].info.number);

  claim_start_call (c, CALL_READ_SEGMENT);
  c->actions->read (c->ctx, key);
  str_free (&key);
}

void
claim_on_segment_read (struct claim_partition *c, int err, uint64_t version,
                       struct str value, struct claim_clock t)
{
  struct segment *s = &c->segments[c->segment_count - 1 - c->segments_loaded];
  struct claim_object o = { 0 };

  if (err != 0 || !claim_decode (value, &o))
    {
      if (err == 0 || err == -ENOENT)
        c->actions->report (c->ctx, "segment-unreadable", s->info.number);
      c->retry_at = t.now + RETRY_MS;
      return;
    }
  s->version = version;
  c->segments_loaded++;
  for (u_int i = 0; i < o.records.records_len; i++)
    {
      const struct claim_record *r = &o.records.records_val[i];

      if (!claim_find (c, r->customer, r->key))
        claim_replace_record (c, r);
    }
  xdr_free ((xdrproc_t)xdr_claim_object, &o);
}

bool
claim_seal_due (const struct claim_partition *c, struct claim_clock t)
{
  const struct record *first = c->head_records;

  /* The list is in the order in which records entered the head. While the
     first one has a pending write, so usually have those after it, and few
     records could be sealed. */
  return c->sealing_segment.number == 0 && first && first->pending_write == 0
         && (c->head_bytes >= SEAL_NOW_BYTES
             || (c->head_bytes >= SEAL_BYTES && t.now >= c->next_seal_at));
}

/* Selects the records without a pending write for the next segment. */
void
claim_start_seal (struct claim_partition *c, struct claim_clock t)
{
  struct record *r;

  c->sealing_segment
      = (struct claim_segment){ .number = c->next_segment_number++ };
  c->next_seal_at = t.now + SEAL_INTERVAL_MS;
  DL_FOREACH (c->head_records, r)
  {
    r->sealing = r->pending_write == 0;
    if (r->sealing
        && r->content.claimed_at_ms > c->sealing_segment.last_claim_ms)
      c->sealing_segment.last_claim_ms = r->content.claimed_at_ms;
  }
}

/* Writes the selected records that have not changed since their selection. */
void
claim_write_segment (struct claim_partition *c)
{
  struct claim_object o = claim_new_object (c, c->write_sequence);
  struct str key = segment_key (c, c->sealing_segment.number);
  struct record *r;
  size_t count;

  DL_COUNT (c->head_records, r, count);
  o.records.records_val = xcalloc (count, sizeof (struct claim_record));
  DL_FOREACH (c->head_records, r)
  {
    r->sealing = r->sealing && r->pending_write == 0;
    if (r->sealing)
      o.records.records_val[o.records.records_len++] = r->content;
  }
  struct str value = claim_encode (&o);
  claim_start_call (c, CALL_WRITE_SEGMENT);
  c->actions->write (c->ctx, key, 0, value);
  str_free (&value);
  str_free (&key);
  free (o.records.records_val);
}

void
claim_on_segment_written (struct claim_partition *c, int err, uint64_t version,
                          struct claim_clock t)
{
  struct record *r;
  struct record *next;

  if (err != 0)
    {
      /* It doesn't matter whether the segment was stored: its number is not
         used again, and a segment that no head lists is never read. */
      c->sealing_segment.number = 0;
      DL_FOREACH (c->head_records, r) { r->sealing = false; }
      c->retry_at = t.now + RETRY_MS;
      return;
    }
  claim_add_segment (c, &c->sealing_segment, version);
  c->sealing_segment.number = 0;
  c->segments_pending_write = UNWRITTEN;
  DL_FOREACH_SAFE (c->head_records, r, next)
  {
    if (r->sealing && r->pending_write == 0)
      claim_set_in_head (c, r, false);
    r->sealing = false;
  }
}

struct segment *
claim_segment_to_remove (const struct claim_partition *c)
{
  for (size_t i = 0; c->segments_pending_write == 0 && i < c->segment_count;
       i++)
    if (c->segments[i].expired)
      return &c->segments[i];
  return NULL;
}

void
claim_remove_segment (struct claim_partition *c, const struct segment *s)
{
  struct str key = segment_key (c, s->info.number);

  claim_start_call (c, CALL_REMOVE_SEGMENT);
  c->actions->remove (c->ctx, key, s->version);
  str_free (&key);
}

void
claim_on_segment_removed (struct claim_partition *c, int err,
                          struct claim_clock t)
{
  const struct segment *s = claim_segment_to_remove (c);

  if (err != 0 && err != -ENOENT && err != -EEXIST)
    c->retry_at = t.now + RETRY_MS;
  /* A segment whose removal failed is left in the store; it is never read. */
  if (!s)
    return;
  const size_t i = (size_t)(s - c->segments);
  c->segment_count--;
  memmove (&c->segments[i], &c->segments[i + 1],
           (c->segment_count - i) * sizeof *c->segments);
}

/* Drops expired records, and marks expired segments for removal. */
void
claim_drop_expired (struct claim_partition *c, struct claim_clock t)
{
  struct record *r;
  struct record *next;

  HASH_ITER (hh, c->records, r, next)
  {
    if (!r->pending_write && !r->sealing
        && claim_expired (c, r->content.claimed_at_ms, t.wall))
      claim_drop_record (c, r);
  }
  for (size_t i = 0; i < c->segment_count; i++)
    {
      struct segment *s = &c->segments[i];

      if (s->expired || !claim_expired (c, s->info.last_claim_ms, t.wall))
        continue;
      s->expired = true;
      c->segments_pending_write = UNWRITTEN;
    }
}

bool
claim_segment_unreferenced (const struct claim_partition *c, uint64_t number)
{
  if (c->stage != STAGE_SERVING || number >> 32 >= c->fence)
    return false;
  for (size_t i = 0; i < c->segment_count; i++)
    if (c->segments[i].info.number == number)
      return false;
  return true;
}
