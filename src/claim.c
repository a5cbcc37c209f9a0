#include "claim.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <utlist.h>

#include "err.h"

/* Claims move from the head object into a segment from this size on, because
   each write carries the whole head. */
#define SEAL_BYTES 65536
/* At most one segment a second: with 8 head writes a second, 4 partitions
   stay below 40 writes a second. */
#define SEAL_GAP_MS 1000
/* Beyond this size a segment is sealed at once. */
#define OPEN_MAX_BYTES 500000
/* Sizes of the head's records from which on claims, and settlings too, are
   refused. Together with the segment list the head stays below the store's
   limit of 1 MB. */
#define CLAIM_LIMIT_BYTES 750000
#define SETTLE_LIMIT_BYTES 900000
#define SEGMENTS_MAX 4096
#define WAITERS_MAX 4096
/* Longest time until a claim is refused because the store does not answer. */
#define WAIT_MAX_MS 2000
#define RETRY_MS 250
#define SWEEP_MS 10000
/* Estimate of the heap's overhead for one record. */
#define RECORD_OVERHEAD 512

/* Change of a record that is in no write yet. */
#define UNWRITTEN UINT64_MAX

struct record
{
  char *hash_key;
  struct claim_record r; /* texts are heap-owned */
  /* 0: confirmed in the store; UNWRITTEN; or the sequence number of the first
     write with the last change. */
  uint64_t pending;
  bool open; /* in the head object rather than in a segment */
  bool sealing;
  struct record *prev;
  struct record *next;
  UT_hash_handle hh;
};

enum waiter_kind
{
  WAIT_CLAIM,
  WAIT_SETTLE,
  WAIT_LOOKUP,
};

/* A request that is not answered yet. */
struct waiter
{
  enum waiter_kind kind;
  union
  {
    struct claim_args claim;
    struct settle_args settle;
    struct lookup_args lookup;
  } args; /* deep copy */
  void *request;
  uint64_t until;
  bool applied; /* its change is in the records */
  struct waiter *prev;
  struct waiter *next;
};

struct segment
{
  struct claim_segment s;
  uint64_t version;
  bool dropped; /* to be removed once the head no longer names it */
};

enum stage
{
  STAGE_IDLE,  /* not the owner, or stale */
  STAGE_HEAD,  /* to read the head */
  STAGE_STAMP, /* to write the own fence to the head */
  STAGE_SEGMENTS,
  STAGE_SERVING,
};

enum call
{
  CALL_NONE,
  CALL_READ_HEAD,
  CALL_WRITE_HEAD,
  CALL_READ_SEGMENT,
  CALL_WRITE_SEGMENT,
  CALL_REMOVE_SEGMENT,
};

struct claim
{
  struct claim_config config;
  const struct claim_actions *actions;
  void *ctx;
  uint64_t fence;
  uint64_t tenure;
  enum stage stage;
  enum call call;
  uint64_t call_tenure;
  bool in_doubt; /* the head has to be read back */
  uint64_t version;
  uint64_t sequence;
  uint64_t head_pending; /* like struct record's, for the segment list */
  size_t pending_count;
  struct record *records;
  struct record *open;
  size_t bytes;
  size_t open_bytes;
  struct segment *segments;
  size_t segment_count;
  size_t segments_loaded;
  uint64_t next_number;
  struct claim_segment sealing;
  struct waiter *waiters;
  size_t waiter_count;
  uint64_t next_try;
  uint64_t next_write;
  uint64_t next_seal;
  uint64_t next_sweep;
};

/* ---- records ---- */

static text
copy_text (text t)
{
  /* TEXT_STR names its argument twice. */
  const struct str copy = str_dup (STR_TEXT (t));

  return TEXT_STR (copy);
}

static blob
copy_blob (blob b)
{
  const struct str copy = str_dup (STR_BLOB (b));

  return BLOB_STR (copy);
}

static void
free_text (text *t)
{
  free (t->text_val);
  *t = (text){ 0 };
}

static struct str
key_text (text customer, text key)
{
  return str_printf (STR_FMT "\n" STR_FMT, STR_ARG (STR_TEXT (customer)),
                     STR_ARG (STR_TEXT (key)));
}

static struct record *
find (const struct claim *c, text customer, text key)
{
  struct str k = key_text (customer, key);
  struct record *r;

  HASH_FIND (hh, c->records, k.data, k.len, r);
  str_free (&k);
  return r;
}

static struct claim_record
copy_record (const struct claim_record *from)
{
  struct claim_record r = *from;

  r.customer = copy_text (from->customer);
  r.key = copy_text (from->key);
  r.service = copy_text (from->service);
  r.request_id = copy_text (from->request_id);
  r.entry.addr = copy_text (from->entry.addr);
  r.content_type = copy_text (from->content_type);
  r.body = copy_blob (from->body);
  return r;
}

static void
free_contents (struct claim_record *r)
{
  free_text (&r->customer);
  free_text (&r->key);
  free_text (&r->service);
  free_text (&r->request_id);
  free_text (&r->entry.addr);
  free_text (&r->content_type);
  free (r->body.blob_val);
}

static size_t
text_bytes (text t)
{
  return 4 + ((size_t)t.text_len + 3) / 4 * 4;
}

/* Size of the XDR encoding. */
static size_t
record_bytes (const struct claim_record *r)
{
  return text_bytes (r->customer) + text_bytes (r->key)
         + text_bytes (r->service) + text_bytes (r->request_id) + 8
         + text_bytes (r->entry.addr) + 8 + 4 + 3 * 8 + 4
         + text_bytes (r->content_type) + 4
         + ((size_t)r->body.blob_len + 3) / 4 * 4;
}

static void
count_bytes (struct claim *c, const struct record *r, int sign)
{
  const size_t bytes = record_bytes (&r->r);

  c->bytes += (size_t)sign * (bytes + RECORD_OVERHEAD);
  if (r->open)
    c->open_bytes += (size_t)sign * bytes;
}

static void
set_open (struct claim *c, struct record *r, bool open)
{
  if (r->open == open)
    return;
  count_bytes (c, r, -1);
  r->open = open;
  count_bytes (c, r, 1);
  if (open)
    DL_APPEND (c->open, r);
  else
    DL_DELETE (c->open, r);
}

static void
set_pending (struct claim *c, struct record *r, uint64_t pending)
{
  c->pending_count += (pending != 0) - (size_t)(r->pending != 0);
  r->pending = pending;
}

/* Replaces the content of the key's record, or adds it; confirmed until
   set_pending() says otherwise. */
static struct record *
put_record (struct claim *c, const struct claim_record *with)
{
  const struct claim_record copy = copy_record (with);
  struct record *r = find (c, with->customer, with->key);

  if (r)
    {
      count_bytes (c, r, -1);
      free_contents (&r->r);
    }
  else
    {
      const struct str k = key_text (with->customer, with->key);

      r = xcalloc (1, sizeof *r);
      r->hash_key = (char *)k.data;
      HASH_ADD_KEYPTR (hh, c->records, r->hash_key, k.len, r);
    }
  r->r = copy;
  count_bytes (c, r, 1);
  return r;
}

/* A new content that the next write of the head has to carry. */
static void
change_record (struct claim *c, const struct claim_record *with)
{
  struct record *r = put_record (c, with);

  set_open (c, r, true);
  set_pending (c, r, UNWRITTEN);
}

static void
free_record (struct record *r)
{
  free_contents (&r->r);
  free (r->hash_key);
  free (r);
}

static void
drop_record (struct claim *c, struct record *r)
{
  set_pending (c, r, 0);
  set_open (c, r, false);
  count_bytes (c, r, -1);
  HASH_DEL (c->records, r);
  free_record (r);
}

static void
drop_records (struct claim *c)
{
  struct record *r = c->records;

  HASH_CLEAR (hh, c->records);
  c->open = NULL;
  while (r)
    {
      struct record *next = r->hh.next;
      free_record (r);
      r = next;
    }
  c->bytes = 0;
  c->open_bytes = 0;
  c->pending_count = 0;
  c->head_pending = 0;
  free (c->segments);
  c->segments = NULL;
  c->segment_count = 0;
}

static bool
expired (const struct claim *c, uint64_t claimed_at_ms, uint64_t wall)
{
  return wall >= claimed_at_ms + (uint64_t)c->config.lifetime_s * 1000;
}

/* ---- waiters ---- */

static void
free_waiter (struct claim *c, struct waiter *w)
{
  DL_DELETE (c->waiters, w);
  c->waiter_count--;
  switch (w->kind)
    {
    case WAIT_CLAIM:
      free_text (&w->args.claim.customer);
      free_text (&w->args.claim.key);
      free_text (&w->args.claim.service);
      free_text (&w->args.claim.request_id);
      free_text (&w->args.claim.entry.addr);
      break;
    case WAIT_SETTLE:
      free_text (&w->args.settle.customer);
      free_text (&w->args.settle.key);
      free_text (&w->args.settle.request_id);
      free_text (&w->args.settle.content_type);
      free (w->args.settle.body.blob_val);
      break;
    case WAIT_LOOKUP:
      free_text (&w->args.lookup.customer);
      free_text (&w->args.lookup.key);
      break;
    }
  free (w);
}

static void
refuse (struct claim *c, struct waiter *w, int err)
{
  void *request = w->request;

  free_waiter (c, w);
  c->actions->refuse (c->ctx, request, err);
}

static void
answer (struct claim *c, struct waiter *w, enum claim_code code,
        const struct record *r)
{
  struct claim_res res = { .code = code };
  void *request = w->request;

  if (r && code != CLAIM_FULL && code != CLAIM_STORE_DOWN)
    {
      res.request_id = r->r.request_id;
      res.service = r->r.service;
      res.status = r->r.status;
      res.content_type = r->r.content_type;
      res.body = r->r.body;
      res.claimed_at_ms = r->r.claimed_at_ms;
      res.settled_at_ms = r->r.settled_at_ms;
    }
  free_waiter (c, w);
  c->actions->answer (c->ctx, request, &res);
}

static void
refuse_all (struct claim *c, int err)
{
  while (c->waiters)
    refuse (c, c->waiters, err);
}

static bool
same (text a, text b)
{
  return str_eq (STR_TEXT (a), STR_TEXT (b));
}

/* ---- decisions ---- */

static enum claim_code
state_code (const struct record *r, uint64_t wall)
{
  switch (r->r.state)
    {
    case CLAIM_STATE_CLAIMED:
      return wall > r->r.deadline_at_ms + CLAIM_GRACE_MS ? CLAIM_UNKNOWN
                                                         : CLAIM_RUNNING;
    case CLAIM_STATE_DONE:
      return CLAIM_DONE;
    case CLAIM_STATE_VOID:
      return CLAIM_NONE;
    case CLAIM_STATE_UNKNOWN:
      break;
    }
  return CLAIM_UNKNOWN;
}

static void
record_claim (struct claim *c, struct waiter *w, struct claim_clock t)
{
  const struct claim_args *a = &w->args.claim;
  const struct claim_record r = {
    .customer = a->customer,
    .key = a->key,
    .service = a->service,
    .request_id = a->request_id,
    .fingerprint = a->fingerprint,
    .entry = a->entry,
    .claimed_at_ms = t.wall,
    .deadline_at_ms = t.wall + a->deadline_ms,
  };

  change_record (c, &r);
  w->applied = true;
}

static bool
full (const struct claim *c)
{
  return c->bytes >= c->config.bytes_max || c->open_bytes >= CLAIM_LIMIT_BYTES
         || c->segment_count >= SEGMENTS_MAX;
}

/* A claim whose key has a confirmed record or none. */
static void
decide_claim (struct claim *c, struct waiter *w, struct record *r,
              struct claim_clock t)
{
  const struct claim_args *a = &w->args.claim;
  const bool own = r && same (r->r.request_id, a->request_id);

  if (r && own && r->r.state == CLAIM_STATE_VOID)
    {
      /* Its entry gave the claim up before it arrived here. */
      answer (c, w, CLAIM_NONE, r);
      return;
    }
  if (!r || r->r.state == CLAIM_STATE_VOID
      || expired (c, r->r.claimed_at_ms, t.wall))
    {
      if (full (c))
        answer (c, w, CLAIM_FULL, NULL);
      else
        record_claim (c, w, t);
      return;
    }
  if (r->r.fingerprint != a->fingerprint || !same (r->r.service, a->service))
    {
      answer (c, w, CLAIM_MISMATCH, r);
      return;
    }
  const enum claim_code code = state_code (r, t.wall);
  answer (c, w, own && code == CLAIM_RUNNING ? CLAIM_GRANTED : code, r);
}

/* Records that a claim was given up which did not arrive yet, so that it is
   not granted to a caller that no longer waits. */
static void
record_void (struct claim *c, const struct settle_args *a,
             struct claim_clock t)
{
  const struct claim_record r = {
    .customer = a->customer,
    .key = a->key,
    .request_id = a->request_id,
    .state = CLAIM_STATE_VOID,
    .claimed_at_ms = t.wall,
    .settled_at_ms = t.wall,
  };

  change_record (c, &r);
}

static void
record_outcome (struct claim *c, const struct record *r,
                const struct settle_args *a, struct claim_clock t)
{
  struct claim_record with = r->r;

  with.state = a->state == SETTLE_DONE   ? CLAIM_STATE_DONE
               : a->state == SETTLE_VOID ? CLAIM_STATE_VOID
                                         : CLAIM_STATE_UNKNOWN;
  with.settled_at_ms = t.wall;
  with.status = a->status;
  with.content_type = a->content_type;
  with.body = (blob){ 0 };
  if (a->body.blob_len <= CLAIM_BODY_MAX && c->bytes < c->config.bytes_max)
    with.body = a->body;
  /* put_record() frees the old texts after it copied these. */
  change_record (c, &with);
}

static bool
settled_so (const struct record *r, enum settle_state state)
{
  return (state == SETTLE_DONE && r->r.state == CLAIM_STATE_DONE)
         || (state == SETTLE_VOID && r->r.state == CLAIM_STATE_VOID)
         || (state == SETTLE_UNKNOWN && r->r.state == CLAIM_STATE_UNKNOWN);
}

static void
tell_settled (struct claim *c, struct waiter *w, bool stored)
{
  void *request = w->request;

  free_waiter (c, w);
  c->actions->settled (c->ctx, request, stored);
}

/* Done and void are final; an unknown outcome may become known. */
static void
decide_settle (struct claim *c, struct waiter *w, const struct record *r,
               struct claim_clock t)
{
  const struct settle_args *a = &w->args.settle;

  if (c->open_bytes >= SETTLE_LIMIT_BYTES)
    {
      refuse (c, w, -EBUSY);
      return;
    }
  if (!r && a->state == SETTLE_VOID && !full (c))
    {
      record_void (c, a, t);
      return;
    }
  if (!r || !same (r->r.request_id, a->request_id))
    tell_settled (c, w, false);
  else if (settled_so (r, a->state))
    tell_settled (c, w, true);
  else if (r->r.state == CLAIM_STATE_CLAIMED
           || (r->r.state == CLAIM_STATE_UNKNOWN
               && a->state != SETTLE_UNKNOWN))
    record_outcome (c, r, a, t);
  else
    tell_settled (c, w, false);
}

static struct record *
record_of (const struct claim *c, const struct waiter *w)
{
  switch (w->kind)
    {
    case WAIT_CLAIM:
      return find (c, w->args.claim.customer, w->args.claim.key);
    case WAIT_SETTLE:
      return find (c, w->args.settle.customer, w->args.settle.key);
    case WAIT_LOOKUP:
      break;
    }
  return find (c, w->args.lookup.customer, w->args.lookup.key);
}

/* Answers or applies a request unless the key's record waits for the store.
   Whatever was decided holds only while the lease does. */
static void
decide (struct claim *c, struct waiter *w, struct claim_clock t)
{
  struct record *r = record_of (c, w);

  if (c->stage != STAGE_SERVING)
    return;
  if (!c->actions->valid (c->ctx, c->fence))
    {
      refuse (c, w, -ESTALE);
      return;
    }
  /* A settling does not wait for the claim's confirmation. */
  if (r && r->pending && (w->kind != WAIT_SETTLE || w->applied))
    return;
  if (r && r->pending && settled_so (r, w->args.settle.state))
    return;
  switch (w->kind)
    {
    case WAIT_CLAIM:
      decide_claim (c, w, r, t);
      break;
    case WAIT_SETTLE:
      w->applied = true;
      decide_settle (c, w, r, t);
      break;
    case WAIT_LOOKUP:
      if (!r || expired (c, r->r.claimed_at_ms, t.wall))
        answer (c, w, CLAIM_NONE, NULL);
      else
        answer (c, w, state_code (r, t.wall), r);
      break;
    }
}

static void
decide_all (struct claim *c, struct claim_clock t)
{
  struct waiter *w;
  struct waiter *next;

  DL_FOREACH_SAFE (c->waiters, w, next) { decide (c, w, t); }
}

/* The store did not confirm in time. The record may still be written by a
   write in doubt, so the next one says that nothing was granted. */
static void
give_up_claim (struct claim *c, struct waiter *w, struct claim_clock t)
{
  struct record *r = record_of (c, w);

  if (w->applied && r && r->pending && r->r.state == CLAIM_STATE_CLAIMED
      && same (r->r.request_id, w->args.claim.request_id))
    {
      struct claim_record with = r->r;

      with.state = CLAIM_STATE_VOID;
      with.settled_at_ms = t.wall;
      change_record (c, &with);
    }
  answer (c, w, CLAIM_STORE_DOWN, NULL);
}

static void
expire_waiters (struct claim *c, struct claim_clock t)
{
  struct waiter *w;
  struct waiter *next;

  DL_FOREACH_SAFE (c->waiters, w, next)
  {
    if (t.now < w->until)
      continue;
    if (w->kind == WAIT_CLAIM)
      give_up_claim (c, w, t);
    else if (w->kind == WAIT_LOOKUP)
      answer (c, w, CLAIM_STORE_DOWN, NULL);
    else
      refuse (c, w, -ETIMEDOUT);
  }
}

/* ---- store ---- */

static struct str
encode (const struct claim_object *object)
{
  const size_t size = xdr_sizeof ((xdrproc_t)xdr_claim_object, (void *)object);
  char *data = xmalloc (size);
  XDR xdr;

  xdrmem_create (&xdr, data, (u_int)size, XDR_ENCODE);
  if (!xdr_claim_object (&xdr, (struct claim_object *)object))
    abort ();
  return (struct str){ .data = data, .len = size };
}

/* Returns false for an unreadable object or an unknown format. */
static bool
decode (struct str value, struct claim_object *out)
{
  XDR xdr;

  *out = (struct claim_object){ 0 };
  xdrmem_create (&xdr, (char *)value.data, (u_int)value.len, XDR_DECODE);
  if (xdr_claim_object (&xdr, out) && out->format == CLAIM_FORMAT)
    return true;
  xdr_free ((xdrproc_t)xdr_claim_object, out);
  return false;
}

static struct str
segment_key (const struct claim *c, uint64_t number)
{
  return str_printf (STR_FMT "/seg/%lu", STR_ARG (c->config.key), number);
}

static void
begin (struct claim *c, enum call call)
{
  c->call = call;
  c->call_tenure = c->tenure;
}

static void
read_head (struct claim *c)
{
  begin (c, CALL_READ_HEAD);
  c->actions->read (c->ctx, c->config.key);
}

static struct claim_object
object (const struct claim *c, uint64_t sequence)
{
  return (struct claim_object){ .format = CLAIM_FORMAT,
                                .fence = c->fence,
                                .sequence = sequence,
                                .writer = c->config.self };
}

/* Writes the head with all open records and the segment list. */
static void
write_head (struct claim *c, struct claim_clock t)
{
  struct claim_object o = object (c, ++c->sequence);
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
  struct str value = encode (&o);
  c->next_write = t.now + c->config.interval_ms;
  begin (c, CALL_WRITE_HEAD);
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
      set_pending (c, r, 0);
  }
  if (c->head_pending <= sequence)
    c->head_pending = 0;
  decide_all (c, t);
}

static void
go_idle (struct claim *c)
{
  c->stage = STAGE_IDLE;
  c->in_doubt = false;
  drop_records (c);
  refuse_all (c, -ESTALE);
}

static void
start_over (struct claim *c, struct claim_clock t)
{
  drop_records (c);
  c->stage = STAGE_HEAD;
  c->in_doubt = false;
  c->next_try = t.now + RETRY_MS;
}

static void
add_segment (struct claim *c, const struct claim_segment *s, uint64_t version)
{
  c->segments
      = xrealloc (c->segments, (c->segment_count + 1) * sizeof *c->segments);
  c->segments[c->segment_count++]
      = (struct segment){ .s = *s, .version = version };
}

/* Takes over the head as read. */
static void
adopt (struct claim *c, const struct claim_object *o, uint64_t version)
{
  drop_records (c);
  c->version = version;
  /* Never used twice by a process, because it tells writes in doubt apart. */
  if (o->sequence > c->sequence)
    c->sequence = o->sequence;
  c->next_number = c->fence << 32;
  for (u_int i = 0; i < o->segments.segments_len; i++)
    {
      const struct claim_segment *s = &o->segments.segments_val[i];

      add_segment (c, s, 0);
      if (s->number >= c->next_number)
        c->next_number = s->number + 1;
    }
  for (u_int i = 0; i < o->records.records_len; i++)
    set_open (c, put_record (c, &o->records.records_val[i]), true);
  c->segments_loaded = 0;
}

static bool
own_write (const struct claim *c, const struct claim_object *o)
{
  return o->fence == c->fence && same (o->writer.addr, c->config.self.addr)
         && o->writer.instance == c->config.self.instance;
}

/* The head was read before or after the stamp, while nothing is served. */
static void
head_read_loading (struct claim *c, const struct claim_object *o,
                   uint64_t version)
{
  /* A former write of this process under the same fence is no stamp: a write
     that was sent before it could still take effect. */
  const bool stamped
      = c->stage == STAGE_STAMP && version != c->version && own_write (c, o);

  adopt (c, o, version);
  c->stage = stamped ? STAGE_SEGMENTS : STAGE_STAMP;
}

/* The head was read back because the outcome of a write is in doubt. */
static void
head_read_back (struct claim *c, const struct claim_object *o,
                uint64_t version, struct claim_clock t)
{
  if (version == c->version)
    return;
  if (!own_write (c, o))
    {
      c->actions->report (c->ctx, "foreign-write", o->fence);
      start_over (c, t);
      return;
    }
  c->version = version;
  confirm (c, o->sequence, t);
}

static void
on_head_read (struct claim *c, int err, uint64_t version, struct str value,
              struct claim_clock t)
{
  struct claim_object o = { .format = CLAIM_FORMAT };

  if (err == -ENOENT)
    version = 0;
  else if (err != 0 || !decode (value, &o))
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
      go_idle (c);
    }
  else if (c->stage == STAGE_SERVING || c->stage == STAGE_SEGMENTS)
    head_read_back (c, &o, version, t);
  else
    head_read_loading (c, &o, version);
  xdr_free ((xdrproc_t)xdr_claim_object, &o);
}

static void
on_head_written (struct claim *c, int err, uint64_t version,
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

/* ---- segments ---- */

/* Segments are read from the newest to the oldest; a record of a key that is
   known already is an older state of it. */
static void
read_segment (struct claim *c)
{
  const size_t i = c->segment_count - 1 - c->segments_loaded;
  struct str key = segment_key (c, c->segments[i].s.number);

  begin (c, CALL_READ_SEGMENT);
  c->actions->read (c->ctx, key);
  str_free (&key);
}

static void
on_segment_read (struct claim *c, int err, uint64_t version, struct str value,
                 struct claim_clock t)
{
  struct segment *s = &c->segments[c->segment_count - 1 - c->segments_loaded];
  struct claim_object o = { 0 };

  if (err != 0 || !decode (value, &o))
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

      if (!find (c, r->customer, r->key))
        put_record (c, r);
    }
  xdr_free ((xdrproc_t)xdr_claim_object, &o);
}

static bool
seal_due (const struct claim *c, struct claim_clock t)
{
  const struct record *first = c->open;

  /* The list is in the order of the claims. While the first one waits for the
     store, so do those after it, and there are few to seal. */
  return c->sealing.number == 0 && first && first->pending == 0
         && (c->open_bytes >= OPEN_MAX_BYTES
             || (c->open_bytes >= SEAL_BYTES && t.now >= c->next_seal));
}

/* Chooses the confirmed records for the next segment. */
static void
start_seal (struct claim *c, struct claim_clock t)
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
static void
write_segment (struct claim *c)
{
  struct claim_object o = object (c, c->sequence);
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
  struct str value = encode (&o);
  begin (c, CALL_WRITE_SEGMENT);
  c->actions->write (c->ctx, key, 0, value);
  str_free (&value);
  str_free (&key);
  free (o.records.records_val);
}

static void
on_segment_written (struct claim *c, int err, uint64_t version,
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
  add_segment (c, &c->sealing, version);
  c->sealing.number = 0;
  c->head_pending = UNWRITTEN;
  DL_FOREACH_SAFE (c->open, r, next)
  {
    if (r->sealing && r->pending == 0)
      set_open (c, r, false);
    r->sealing = false;
  }
}

static struct segment *
dropped_segment (const struct claim *c)
{
  for (size_t i = 0; c->head_pending == 0 && i < c->segment_count; i++)
    if (c->segments[i].dropped)
      return &c->segments[i];
  return NULL;
}

static void
remove_segment (struct claim *c, const struct segment *s)
{
  struct str key = segment_key (c, s->s.number);

  begin (c, CALL_REMOVE_SEGMENT);
  c->actions->remove (c->ctx, key, s->version);
  str_free (&key);
}

static void
on_segment_removed (struct claim *c, int err, struct claim_clock t)
{
  const struct segment *s = dropped_segment (c);

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
static void
sweep (struct claim *c, struct claim_clock t)
{
  struct record *r;
  struct record *next;

  HASH_ITER (hh, c->records, r, next)
  {
    if (!r->pending && !r->sealing && expired (c, r->r.claimed_at_ms, t.wall))
      drop_record (c, r);
  }
  for (size_t i = 0; i < c->segment_count; i++)
    {
      struct segment *s = &c->segments[i];

      if (s->dropped || !expired (c, s->s.last_claim_ms, t.wall))
        continue;
      s->dropped = true;
      c->head_pending = UNWRITTEN;
    }
}

/* ---- progress ---- */

static void
serve_step (struct claim *c, struct claim_clock t)
{
  const struct segment *dropped;

  if (t.now >= c->next_sweep)
    {
      c->next_sweep = t.now + SWEEP_MS;
      sweep (c, t);
    }
  if (seal_due (c, t))
    {
      start_seal (c, t);
      write_segment (c);
    }
  else if ((c->pending_count > 0 || c->head_pending) && t.now >= c->next_write)
    write_head (c, t);
  else if ((dropped = dropped_segment (c)) != NULL)
    remove_segment (c, dropped);
}

/* Starts the next store call if none is in progress and one is due. */
static void
step (struct claim *c, struct claim_clock t)
{
  if (c->call != CALL_NONE || t.now < c->next_try)
    return;
  if (c->stage == STAGE_IDLE)
    return;
  if (c->stage == STAGE_HEAD || c->in_doubt)
    {
      read_head (c);
      return;
    }
  if (c->stage == STAGE_SEGMENTS && c->segments_loaded == c->segment_count)
    {
      c->stage = STAGE_SERVING;
      decide_all (c, t);
    }
  /* Without the lease no write is sent: it would fail at the successor's
     stamp, or delay the successor if it is not there yet. */
  if (!c->actions->valid (c->ctx, c->fence))
    return;
  switch (c->stage)
    {
    case STAGE_STAMP:
      write_head (c, t);
      break;
    case STAGE_SEGMENTS:
      read_segment (c);
      break;
    case STAGE_SERVING:
      serve_step (c, t);
      break;
    case STAGE_IDLE:
    case STAGE_HEAD:
      break;
    }
}

void
claim_stored (struct claim *c, int err, uint64_t version, struct str value,
              struct claim_clock t)
{
  const enum call call = c->call;

  c->call = CALL_NONE;
  /* After a pause of this process, first those that no longer wait. */
  expire_waiters (c, t);
  if (c->call_tenure == c->tenure && c->stage != STAGE_IDLE)
    switch (call)
      {
      case CALL_READ_HEAD:
        on_head_read (c, err, version, value, t);
        break;
      case CALL_WRITE_HEAD:
        on_head_written (c, err, version, t);
        break;
      case CALL_READ_SEGMENT:
        on_segment_read (c, err, version, value, t);
        break;
      case CALL_WRITE_SEGMENT:
        on_segment_written (c, err, version, t);
        break;
      case CALL_REMOVE_SEGMENT:
        on_segment_removed (c, err, t);
        break;
      case CALL_NONE:
        break;
      }
  step (c, t);
}

void
claim_tick (struct claim *c, struct claim_clock t)
{
  expire_waiters (c, t);
  step (c, t);
}

void
claim_gain (struct claim *c, uint64_t fence, struct claim_clock t)
{
  c->tenure++;
  c->fence = fence;
  c->stage = STAGE_HEAD;
  c->in_doubt = false;
  c->sealing.number = 0;
  c->next_try = 0;
  c->next_write = 0;
  drop_records (c);
  step (c, t);
}

void
claim_lose (struct claim *c)
{
  c->tenure++;
  go_idle (c);
}

/* ---- requests ---- */

static struct waiter *
add_waiter (struct claim *c, enum waiter_kind kind, void *request,
            uint64_t until)
{
  struct waiter *w = xcalloc (1, sizeof *w);

  w->kind = kind;
  w->request = request;
  w->until = until;
  DL_APPEND (c->waiters, w);
  c->waiter_count++;
  return w;
}

/* Refuses what can be refused without looking; returns false then. */
static bool
admit (struct claim *c, void *request, size_t longest, text key)
{
  int err = 0;

  if (c->stage == STAGE_IDLE || !c->actions->valid (c->ctx, c->fence))
    err = -ESTALE;
  else if (longest > CLAIM_TEXT_MAX || key.text_len == 0)
    err = -EINVAL;
  else if (c->waiter_count >= WAITERS_MAX)
    err = -EBUSY;
  if (err != 0)
    c->actions->refuse (c->ctx, request, err);
  return err == 0;
}

static size_t
longest_text (const text *const texts[], size_t n)
{
  size_t longest = 0;

  for (size_t i = 0; i < n; i++)
    if (texts[i]->text_len > longest)
      longest = texts[i]->text_len;
  return longest;
}
#define LONGEST(...)                                                          \
  longest_text ((const text *const[]){ __VA_ARGS__ },                         \
                sizeof ((const text *const[]){ __VA_ARGS__ })                 \
                    / sizeof (const text *))

void
claim_request (struct claim *c, const struct claim_args *a, void *request,
               struct claim_clock t)
{
  const uint64_t wait
      = a->deadline_ms < WAIT_MAX_MS ? a->deadline_ms : WAIT_MAX_MS;
  struct waiter *w;

  if (!admit (c, request,
              LONGEST (&a->customer, &a->key, &a->service, &a->request_id,
                       &a->entry.addr),
              a->key))
    return;
  w = add_waiter (c, WAIT_CLAIM, request, t.now + wait);
  w->args.claim = *a;
  w->args.claim.customer = copy_text (a->customer);
  w->args.claim.key = copy_text (a->key);
  w->args.claim.service = copy_text (a->service);
  w->args.claim.request_id = copy_text (a->request_id);
  w->args.claim.entry.addr = copy_text (a->entry.addr);
  decide (c, w, t);
  step (c, t);
}

void
claim_settle (struct claim *c, const struct settle_args *a, void *request,
              struct claim_clock t)
{
  struct waiter *w;

  if (!admit (
          c, request,
          LONGEST (&a->customer, &a->key, &a->request_id, &a->content_type),
          a->key))
    return;
  w = add_waiter (c, WAIT_SETTLE, request, t.now + WAIT_MAX_MS);
  w->args.settle = *a;
  w->args.settle.customer = copy_text (a->customer);
  w->args.settle.key = copy_text (a->key);
  w->args.settle.request_id = copy_text (a->request_id);
  w->args.settle.content_type = copy_text (a->content_type);
  w->args.settle.body = copy_blob (a->body);
  decide (c, w, t);
  step (c, t);
}

void
claim_lookup (struct claim *c, const struct lookup_args *a, void *request,
              struct claim_clock t)
{
  struct waiter *w;

  if (!admit (c, request, LONGEST (&a->customer, &a->key), a->key))
    return;
  w = add_waiter (c, WAIT_LOOKUP, request, t.now + WAIT_MAX_MS);
  w->args.lookup = (struct lookup_args){ .customer = copy_text (a->customer),
                                         .key = copy_text (a->key) };
  decide (c, w, t);
  step (c, t);
}

/* ---- life ---- */

struct claim *
claim_create (const struct claim_config *config,
              const struct claim_actions *actions, void *ctx)
{
  struct claim *c = xcalloc (1, sizeof *c);

  c->config = *config;
  c->config.key = str_dup (config->key);
  c->config.self.addr = copy_text (config->self.addr);
  c->actions = actions;
  c->ctx = ctx;
  return c;
}

void
claim_destroy (struct claim *c)
{
  while (c->waiters)
    free_waiter (c, c->waiters);
  drop_records (c);
  str_free (&c->config.key);
  free_text (&c->config.self.addr);
  free (c);
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

struct claim_counts
claim_counts (const struct claim *c)
{
  return (struct claim_counts){ .records = HASH_COUNT (c->records),
                                .bytes = c->bytes,
                                .waiting = c->waiter_count,
                                .segments = c->segment_count,
                                .serving = c->stage == STAGE_SERVING };
}
