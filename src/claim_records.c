#include "claim_impl.h"

#include <stdlib.h>

#include "err.h"
#include "text.h"

/* Estimate of the heap's overhead for one record. */
#define RECORD_OVERHEAD 512

static struct str
key_text (text customer, text key)
{
  return str_printf (STR_FMT "\n" STR_FMT, STR_ARG (STR_TEXT (customer)),
                     STR_ARG (STR_TEXT (key)));
}

struct record *
claim_find (const struct claim *c, text customer, text key)
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

  r.customer = text_copy (from->customer);
  r.key = text_copy (from->key);
  r.service = text_copy (from->service);
  r.request_id = text_copy (from->request_id);
  r.entry.addr = text_copy (from->entry.addr);
  r.content_type = text_copy (from->content_type);
  r.body = blob_copy (from->body);
  return r;
}

static void
free_contents (struct claim_record *r)
{
  text_free (&r->customer);
  text_free (&r->key);
  text_free (&r->service);
  text_free (&r->request_id);
  text_free (&r->entry.addr);
  text_free (&r->content_type);
  free (r->body.blob_val);
}

/* Size of the XDR encoding. */
static size_t
record_bytes (const struct claim_record *r)
{
  return text_xdr_bytes (r->customer) + text_xdr_bytes (r->key)
         + text_xdr_bytes (r->service) + text_xdr_bytes (r->request_id) + 8
         + text_xdr_bytes (r->entry.addr) + 8 + 4 + 3 * 8 + 4
         + text_xdr_bytes (r->content_type) + blob_xdr_bytes (r->body);
}

static void
count_bytes (struct claim *c, const struct record *r, int sign)
{
  const size_t bytes = record_bytes (&r->r);

  c->bytes += (size_t)sign * (bytes + RECORD_OVERHEAD);
  if (r->open)
    c->open_bytes += (size_t)sign * bytes;
}

void
claim_set_open (struct claim *c, struct record *r, bool open)
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

void
claim_set_pending (struct claim *c, struct record *r, uint64_t pending)
{
  c->pending_count += (pending != 0) - (size_t)(r->pending != 0);
  r->pending = pending;
}

/* Replaces the content of the key's record, or adds it; confirmed until
   claim_set_pending() says otherwise. */
struct record *
claim_put_record (struct claim *c, const struct claim_record *with)
{
  const struct claim_record copy = copy_record (with);
  struct record *r = claim_find (c, with->customer, with->key);

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
void
claim_change_record (struct claim *c, const struct claim_record *with)
{
  struct record *r = claim_put_record (c, with);

  claim_set_open (c, r, true);
  claim_set_pending (c, r, UNWRITTEN);
}

static void
free_record (struct record *r)
{
  free_contents (&r->r);
  free (r->hash_key);
  free (r);
}

void
claim_drop_record (struct claim *c, struct record *r)
{
  claim_set_pending (c, r, 0);
  claim_set_open (c, r, false);
  count_bytes (c, r, -1);
  HASH_DEL (c->records, r);
  free_record (r);
}

void
claim_drop_records (struct claim *c)
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

bool
claim_expired (const struct claim *c, uint64_t claimed_at_ms, uint64_t wall)
{
  return wall >= claimed_at_ms + (uint64_t)c->config.lifetime_s * 1000;
}
