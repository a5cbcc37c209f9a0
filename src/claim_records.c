#include "claim_impl.h"

#include <stdlib.h>

#include "err.h"
#include "text.h"

/* Estimated heap overhead of a record in bytes. */
#define RECORD_OVERHEAD 512

/* Returns the hash key of a record; the caller frees it. */
static struct str
hash_key (text customer, text key)
{
  return str_printf (STR_FMT "\n" STR_FMT, STR_ARG (STR_TEXT (customer)),
                     STR_ARG (STR_TEXT (key)));
}

struct record *
claim_find (const struct claim_partition *c, text customer, text key)
{
  struct str k = hash_key (customer, key);
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
free_content (struct claim_record *r)
{
  text_free (&r->customer);
  text_free (&r->key);
  text_free (&r->service);
  text_free (&r->request_id);
  text_free (&r->entry.addr);
  text_free (&r->content_type);
  free (r->body.blob_val);
}

/* Returns the size of the record's XDR encoding. */
static size_t
encoded_bytes (const struct claim_record *r)
{
  return text_xdr_bytes (r->customer) + text_xdr_bytes (r->key)
         + text_xdr_bytes (r->service) + text_xdr_bytes (r->request_id) + 8
         + text_xdr_bytes (r->entry.addr) + 8 + 4 + 3 * 8 + 4
         + text_xdr_bytes (r->content_type) + blob_xdr_bytes (r->body);
}

/* Adds the record to the byte counts (@sign 1) or takes it out (-1). */
static void
count_bytes (struct claim_partition *c, const struct record *r, int sign)
{
  const size_t bytes = encoded_bytes (&r->content);

  c->bytes += (size_t)sign * (bytes + RECORD_OVERHEAD);
  if (r->in_head)
    c->head_bytes += (size_t)sign * bytes;
}

void
claim_set_in_head (struct claim_partition *c, struct record *r, bool in_head)
{
  if (r->in_head == in_head)
    return;
  count_bytes (c, r, -1);
  r->in_head = in_head;
  count_bytes (c, r, 1);
  if (in_head)
    DL_APPEND (c->head_records, r);
  else
    DL_DELETE (c->head_records, r);
}

void
claim_set_pending (struct claim_partition *c, struct record *r,
                   uint64_t pending_write)
{
  c->pending_records += (pending_write != 0) - (size_t)(r->pending_write != 0);
  r->pending_write = pending_write;
}

/* Replaces the content of the key's record, or adds a record without a pending
   write. Copies @content and leaves pending_write to the caller. */
struct record *
claim_replace_record (struct claim_partition *c,
                      const struct claim_record *content)
{
  const struct claim_record copy = copy_record (content);
  struct record *r = claim_find (c, content->customer, content->key);

  if (r)
    {
      count_bytes (c, r, -1);
      free_content (&r->content);
    }
  else
    {
      const struct str k = hash_key (content->customer, content->key);

      r = xcalloc (1, sizeof *r);
      r->hash_key = (char *)k.data;
      HASH_ADD_KEYPTR (hh, c->records, r->hash_key, k.len, r);
    }
  r->content = copy;
  count_bytes (c, r, 1);
  return r;
}

/* Replaces the content of the key's record and includes it in the next write
   of the head. */
void
claim_update_record (struct claim_partition *c,
                     const struct claim_record *content)
{
  struct record *r = claim_replace_record (c, content);

  claim_set_in_head (c, r, true);
  claim_set_pending (c, r, UNWRITTEN);
}

static void
free_record (struct record *r)
{
  free_content (&r->content);
  free (r->hash_key);
  free (r);
}

void
claim_drop_record (struct claim_partition *c, struct record *r)
{
  claim_set_pending (c, r, 0);
  claim_set_in_head (c, r, false);
  count_bytes (c, r, -1);
  HASH_DEL (c->records, r);
  free_record (r);
}

void
claim_drop_all (struct claim_partition *c)
{
  struct record *r = c->records;

  HASH_CLEAR (hh, c->records);
  c->head_records = NULL;
  while (r)
    {
      struct record *next = r->hh.next;
      free_record (r);
      r = next;
    }
  c->bytes = 0;
  c->head_bytes = 0;
  c->pending_records = 0;
  c->segments_pending_write = 0;
  free (c->segments);
  c->segments = NULL;
  c->segment_count = 0;
}

bool
claim_expired (const struct claim_partition *c, uint64_t claimed_at_ms,
               uint64_t wall)
{
  return wall >= claimed_at_ms + (uint64_t)c->config.lifetime_s * 1000;
}
