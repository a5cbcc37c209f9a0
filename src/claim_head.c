#include "claim_impl.h"

#include <errno.h>
#include <stdlib.h>

#include "err.h"
#include "text.h"

void
claim_read_head (struct claim *c)
{
  claim_start_call (c, CALL_READ_HEAD);
  c->actions->read (c->ctx, c->config.key);
}

/* Writes the head with all open records and the segment list. */
void
claim_write_head (struct claim *c, struct claim_clock t)
{
  struct claim_object o = claim_object_for (c, ++c->sequence);
  struct record *r;
  size_t count;

  DL_COUNT (c->open, r, count);
  o.records.records_val = xcalloc (count, sizeof (struct claim_record));
  DL_FOREACH (c->open, r)
  {
    o.records.records_val[o.records.records_len++] = r->r;
    if (r->pending == UNWRITTEN)
      r->pending = c->sequence;
  }
  o.segments.segments_val
      = xcalloc (c->segment_count, sizeof (struct claim_segment));
  for (size_t i = 0; i < c->segment_count; i++)
    if (!c->segments[i].dropped)
      o.segments.segments_val[o.segments.segments_len++] = c->segments[i].s;
  if (c->head_pending == UNWRITTEN)
    c->head_pending = c->sequence;
  struct str value = claim_encode (&o);
  c->next_write = t.now + c->config.interval_ms;
  claim_start_call (c, CALL_WRITE_HEAD);
  c->actions->write (c->ctx, c->config.key, c->version, value);
  str_free (&value);
  free (o.records.records_val);
  free (o.segments.segments_val);
}

/* All changes that a write with this sequence number or an earlier one
   carried first are in the store. */
static void
confirm (struct claim *c, uint64_t sequence, struct claim_clock t)
{
  struct record *r;

  DL_FOREACH (c->open, r)
  {
    if (r->pending && r->pending <= sequence)
      claim_set_pending (c, r, 0);
  }
  if (c->head_pending <= sequence)
    c->head_pending = 0;
  claim_decide_all (c, t);
}

void
claim_go_idle (struct claim *c)
{
  c->stage = STAGE_IDLE;
  c->in_doubt = false;
  claim_drop_records (c);
  claim_refuse_all (c, -ESTALE);
}

static void
restart (struct claim *c, struct claim_clock t)
{
  claim_drop_records (c);
  c->stage = STAGE_HEAD;
  c->in_doubt = false;
  c->next_try = t.now + RETRY_MS;
}

/* Takes over the head as read. */
static void
load_head (struct claim *c, const struct claim_object *o, uint64_t version)
{
  claim_drop_records (c);
  c->version = version;
  /* Never used twice by a process, because it tells writes in doubt apart. */
  if (o->sequence > c->sequence)
    c->sequence = o->sequence;
  c->next_number = c->fence << 32;
  for (u_int i = 0; i < o->segments.segments_len; i++)
    {
      const struct claim_segment *s = &o->segments.segments_val[i];

      claim_add_segment (c, s, 0);
      if (s->number >= c->next_number)
        c->next_number = s->number + 1;
    }
  for (u_int i = 0; i < o->records.records_len; i++)
    claim_set_open (c, claim_put_record (c, &o->records.records_val[i]), true);
  c->segments_loaded = 0;
}

static bool
is_own_write (const struct claim *c, const struct claim_object *o)
{
  return o->fence == c->fence && text_eq (o->writer.addr, c->config.self.addr)
         && o->writer.instance == c->config.self.instance;
}

/* The head was read before or after the stamp, while nothing is served. */
static void
head_read_loading (struct claim *c, const struct claim_object *o,
                   uint64_t version)
{
  /* A former write of this process under the same fence is no stamp: a write
     that was sent before it could still take effect. */
  const bool stamped = c->stage == STAGE_STAMP && version != c->version
                       && is_own_write (c, o);

  load_head (c, o, version);
  c->stage = stamped ? STAGE_SEGMENTS : STAGE_STAMP;
}

/* The head was read back because the outcome of a write is in doubt. */
static void
head_read_back (struct claim *c, const struct claim_object *o,
                uint64_t version, struct claim_clock t)
{
  if (version == c->version)
    return;
  if (!is_own_write (c, o))
    {
      c->actions->report (c->ctx, "foreign-write", o->fence);
      restart (c, t);
      return;
    }
  c->version = version;
  confirm (c, o->sequence, t);
}

void
claim_head_read (struct claim *c, int err, uint64_t version, struct str value,
                 struct claim_clock t)
{
  struct claim_object o = { .format = CLAIM_FORMAT };

  if (err == -ENOENT)
    version = 0;
  else if (err != 0 || !claim_decode (value, &o))
    {
      if (err == 0)
        c->actions->report (c->ctx, "head-unreadable", version);
      c->next_try = t.now + RETRY_MS;
      return;
    }
  c->in_doubt = false;
  if (o.fence > c->fence)
    {
      c->actions->report (c->ctx, "later-fence", o.fence);
      claim_go_idle (c);
    }
  else if (c->stage == STAGE_SERVING || c->stage == STAGE_SEGMENTS)
    head_read_back (c, &o, version, t);
  else
    head_read_loading (c, &o, version);
  xdr_free ((xdrproc_t)xdr_claim_object, &o);
}

void
claim_head_written (struct claim *c, int err, uint64_t version,
                    struct claim_clock t)
{
  if (err == 0)
    {
      c->version = version;
      if (c->stage == STAGE_STAMP)
        c->stage = STAGE_SEGMENTS;
      confirm (c, c->sequence, t);
      return;
    }
  c->in_doubt = true;
  c->next_try = t.now + (err == -EEXIST ? 0 : RETRY_MS);
}
