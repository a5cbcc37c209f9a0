#include "swim_impl.h"

#include <stdlib.h>

#include "err.h"

#define NOTICE_ENTRIES_MAX 1024
/* Time for which an expired notice is kept as a tombstone, so that a copy that
   expires later on another node is not taken for a new one. */
#define NOTICE_TOMBSTONE_MS 60000

void
swim_free_notice (struct swim *s, struct notice_entry *r)
{
  HASH_DEL (s->notices, r);
  str_free (&r->key);
  str_free (&r->value);
  free (r->hash_key);
  free (r);
}

/* Returns the entry for the kind and key of the notice; adds one if there is
   none. */
static struct notice_entry *
notice_entry_for (struct swim *s, const struct notice *n)
{
  struct str id
      = str_printf ("%d " STR_FMT, (int)n->kind, STR_ARG (STR_TEXT (n->key)));
  struct notice_entry *r;

  HASH_FIND (hh, s->notices, id.data, id.len, r);
  if (r)
    {
      str_free (&id);
      return r;
    }
  /* uthash keeps the order of insertion, so the head is the oldest entry. */
  if (HASH_COUNT (s->notices) >= NOTICE_ENTRIES_MAX)
    swim_free_notice (s, s->notices);
  r = xcalloc (1, sizeof *r);
  r->hash_key = (char *)id.data;
  r->key = str_dup (STR_TEXT (n->key));
  HASH_ADD_KEYPTR (hh, s->notices, r->hash_key, id.len, r);
  return r;
}

void
swim_merge_notice (struct swim *s, const struct notice *n, uint64_t now)
{
  const size_t bytes = swim_notice_bytes (n);
  struct notice_entry *r;

  if (n->ttl_ms == 0 || bytes > SWIM_DATAGRAM_BYTES / 2)
    return;
  r = notice_entry_for (s, n);
  if (r->expires_at > 0 && n->number <= r->notice.number)
    return;
  str_assign (&r->value, STR_TEXT (n->value));
  r->notice = *n;
  r->notice.key = TEXT_STR (r->key);
  r->notice.value = TEXT_STR (r->value);
  r->expires_at = now + n->ttl_ms;
  r->sends_left = swim_send_limit (s);
  s->push_pending = true;
  s->actions->notice (s->ctx, &r->notice);
}

void
swim_expire_notices (struct swim *s, uint64_t now)
{
  struct notice_entry *r;
  struct notice_entry *next;

  HASH_ITER (hh, s->notices, r, next)
  {
    if (now >= r->expires_at + NOTICE_TOMBSTONE_MS)
      swim_free_notice (s, r);
  }
}
