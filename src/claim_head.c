#include "claim_impl.h"

#include <errno.h>
#include <stdlib.h>

#include "err.h"
#include "text.h"

/* Number of head writes that may follow each other without waiting after an
   idle time: for the claim and the outcome of a single call. */
#define WRITE_BURST 2

void
claim_read_head (struct claim_partition *c)
{
  claim_start_call (c, CALL_READ_HEAD);
  c->actions->read (c->ctx, c->config.key);
}

/* Sets the time of the next head write. */
static void
space_writes (struct claim_partition *c, struct claim_clock t)
{
  const uint64_t interval = c->config.write_interval_ms;

  if (c->spaced_until < t.now)
    c->spaced_until = t.now;
  c->spaced_until += interval;
  c->next_write_at = c->spaced_until - (WRITE_BURST - 1) * interval;
}

/* Writes the head: its records and the list of segments. */
void
claim_write_head (struct claim_partition *c, struct claim_clock t)
{
  struct claim_object o = claim_new_object (c, ++c->write_sequence);
  struct record *r;
  size_t count;

  DL_COUNT (c->head_records, r, count);
  o.records.records_val = xcalloc (count, sizeof (struct claim_record));
  DL_FOREACH (c->head_records, r)
  {
    o.records.records_val[o.records.records_len++] = r->content;
    if (r->pending_write == UNWRITTEN)
      r->pending_write = c->write_sequence;
  }
  o.segments.segments_val
      = xcalloc (c->segment_count, sizeof (struct claim_segment));
  for (size_t i = 0; i < c->segment_count; i++)
    if (!c->segments[i].expired)
      o.segments.segments_val[o.segments.segments_len++] = c->segments[i].info;
  if (c->segments_pending_write == UNWRITTEN)
    c->segments_pending_write = c->write_sequence;
  struct str value = claim_encode (&o);
  space_writes (c, t);
  claim_start_call (c, CALL_WRITE_HEAD);
  c->actions->write (c->ctx, c->config.key, c->head_version, value);
  str_free (&value);
  free (o.records.records_val);
  free (o.segments.segments_val);
}

/* Marks the changes as stored that were first carried by a write up to this
   sequence number. */
static void
confirm_writes (struct claim_partition *c, uint64_t sequence,
                struct claim_clock t)
{
  struct record *r;

  DL_FOREACH (c->head_records, r)
  {
    if (r->pending_write && r->pending_write <= sequence)
      claim_set_pending (c, r, 0);
  }
  if (c->segments_pending_write <= sequence)
    c->segments_pending_write = 0;
  claim_process_all_waiters (c, t);
}

void
claim_go_idle (struct claim_partition *c)
{
  c->stage = STAGE_IDLE;
  c->head_in_doubt = false;
  claim_drop_all (c);
  claim_refuse_all (c, -ESTALE);
}

/* Drops the state and reads the head again after a delay. */
static void
reload_later (struct claim_partition *c, struct claim_clock t)
{
  claim_drop_all (c);
  c->stage = STAGE_READ_HEAD;
  c->head_in_doubt = false;
  c->retry_at = t.now + RETRY_MS;
}

/* Replaces the state by the content of the head. */
static void
load_head (struct claim_partition *c, const struct claim_object *o,
           uint64_t version)
{
  claim_drop_all (c);
  c->head_version = version;
  /* A process never uses a sequence number twice, because it identifies writes
     whose outcome is unknown. */
  if (o->sequence > c->write_sequence)
    c->write_sequence = o->sequence;
  c->next_segment_number = c->fence << 32;
  for (u_int i = 0; i < o->segments.segments_len; i++)
    {
      const struct claim_segment *s = &o->segments.segments_val[i];

      claim_add_segment (c, s, 0);
      if (s->number >= c->next_segment_number)
        c->next_segment_number = s->number + 1;
    }
  for (u_int i = 0; i < o->records.records_len; i++)
    claim_set_in_head (c, claim_replace_record (c, &o->records.records_val[i]),
                       true);
  c->segments_loaded = 0;
}

static bool
is_own_write (const struct claim_partition *c, const struct claim_object *o)
{
  return o->fence == c->fence && text_eq (o->writer.addr, c->config.self.addr)
         && o->writer.instance == c->config.self.instance;
}

/* Handles the head as read during loading, before or after the write of the
   fence. */
static void
load_read_head (struct claim_partition *c, const struct claim_object *o,
                uint64_t version)
{
  /* An earlier write of this process under the same fence doesn't count: while
     the head has the version that was read, a write that was sent before could
     still take effect. */
  const bool fence_written = c->stage == STAGE_WRITE_FENCE
                             && version != c->head_version
                             && is_own_write (c, o);

  load_head (c, o, version);
  c->stage = fence_written ? STAGE_READ_SEGMENTS : STAGE_WRITE_FENCE;
}

/* Handles the head as read back after a write whose outcome is unknown. */
static void
resolve_write (struct claim_partition *c, const struct claim_object *o,
               uint64_t version, struct claim_clock t)
{
  if (version == c->head_version)
    return;
  if (!is_own_write (c, o))
    {
      c->actions->report (c->ctx, "foreign-write", o->fence);
      reload_later (c, t);
      return;
    }
  c->head_version = version;
  confirm_writes (c, o->sequence, t);
}

void
claim_on_head_read (struct claim_partition *c, int err, uint64_t version,
                    struct str value, struct claim_clock t)
{
  struct claim_object o = { .format = CLAIM_FORMAT };

  if (err == -ENOENT)
    version = 0;
  else if (err != 0 || !claim_decode (value, &o))
    {
      if (err == 0)
        c->actions->report (c->ctx, "head-unreadable", version);
      c->retry_at = t.now + RETRY_MS;
      return;
    }
  c->head_in_doubt = false;
  if (o.fence > c->fence)
    {
      c->actions->report (c->ctx, "later-fence", o.fence);
      claim_go_idle (c);
    }
  else if (c->stage == STAGE_SERVING || c->stage == STAGE_READ_SEGMENTS)
    resolve_write (c, &o, version, t);
  else
    load_read_head (c, &o, version);
  xdr_free ((xdrproc_t)xdr_claim_object, &o);
}

void
claim_on_head_written (struct claim_partition *c, int err, uint64_t version,
                       struct claim_clock t)
{
  if (err == 0)
    {
      c->head_version = version;
      if (c->stage == STAGE_WRITE_FENCE)
        c->stage = STAGE_READ_SEGMENTS;
      confirm_writes (c, c->write_sequence, t);
      return;
    }
  c->head_in_doubt = true;
  c->retry_at = t.now + (err == -EEXIST ? 0 : RETRY_MS);
}
