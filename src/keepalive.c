#include "keepalive.h"

#include <stdbool.h>
#include <stdlib.h>

#include <uthash.h>

#include "err.h"

/* A peer without a statement rarely closes a connection sooner. */
#define IDLE_LIMIT_DEFAULT_S 1
/* Covers the rounding of whole seconds, and the time that a request is on its
   way while the peer's limit passes. */
#define IDLE_RESERVE_S 1

struct peer_entry
{
  struct str peer;
  uint32_t timeout_s;
  UT_hash_handle hh;
};

struct keepalive
{
  struct peer_entry *entries; /* in order of storing */
};

struct keepalive *
keepalive_create (void)
{
  return xcalloc (1, sizeof (struct keepalive));
}

static void
remove_entry (struct keepalive *k, struct peer_entry *e)
{
  HASH_DEL (k->entries, e);
  str_free (&e->peer);
  free (e);
}

void
keepalive_destroy (struct keepalive *k)
{
  struct peer_entry *e;
  struct peer_entry *next;

  HASH_ITER (hh, k->entries, e, next) { remove_entry (k, e); }
  free (k);
}

/* Reads "timeout=5, max=100". Returns false if it states no timeout. */
static bool
read_timeout (struct str field, uint32_t *out)
{
  static const struct str name = { "timeout", 7 };
  uint64_t value;

  while (field.len > 0)
    {
      struct str value_text;
      const struct str param = str_split (field, ',', &field);
      const struct str key = str_trim (str_split (param, '=', &value_text));

      if (!str_eq_nocase (key, name)
          || !str_u64 (str_trim (value_text), &value))
        continue;
      *out = value < UINT32_MAX ? (uint32_t)value : UINT32_MAX;
      return true;
    }
  return false;
}

static struct peer_entry *
find_entry (const struct keepalive *k, struct str peer)
{
  struct peer_entry *e;

  HASH_FIND (hh, k->entries, peer.data, peer.len, e);
  return e;
}

static struct peer_entry *
add_entry (struct keepalive *k, struct str peer)
{
  struct peer_entry *e = xcalloc (1, sizeof *e);

  if (HASH_COUNT (k->entries) >= KEEPALIVE_PEERS_MAX)
    remove_entry (k, k->entries);
  e->peer = str_dup (peer);
  HASH_ADD_KEYPTR (hh, k->entries, e->peer.data, e->peer.len, e);
  return e;
}

void
keepalive_learn (struct keepalive *k, struct str peer, struct str field)
{
  struct peer_entry *e = find_entry (k, peer);
  uint32_t timeout_s;

  if (!read_timeout (field, &timeout_s))
    {
      if (e)
        remove_entry (k, e);
      return;
    }
  if (!e)
    e = add_entry (k, peer);
  e->timeout_s = timeout_s;
}

uint32_t
keepalive_idle_limit_s (const struct keepalive *k, struct str peer)
{
  const struct peer_entry *e = find_entry (k, peer);

  if (!e)
    return IDLE_LIMIT_DEFAULT_S;
  return e->timeout_s > IDLE_RESERVE_S ? e->timeout_s - IDLE_RESERVE_S : 0;
}

size_t
keepalive_peers (const struct keepalive *k)
{
  return HASH_COUNT (k->entries);
}
