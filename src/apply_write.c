#include "apply_impl.h"

#include <errno.h>
#include <stdio.h>

#include "clock.h"

/* Attempts at a write during an outage or with an uncertain outcome; together
   they outlast a short outage. */
#define WRITE_ATTEMPTS_MAX 5
#define WRITE_RETRY_MS 400

/* Writes an object whose key determines its content, so that a repeated write
   is harmless. */
static int
write_immutable (struct client *c, struct str key, struct str value)
{
  int rc = 0;

  for (int i = 0; i < WRITE_ATTEMPTS_MAX; i++)
    {
      struct client_reply r = client_write (c, key, STORE_NEW, value);

      rc = r.err.code;
      const bool outage = client_error_is_outage (r.err) || rc == -EINPROGRESS;
      client_reply_free (&r);
      if (rc == 0 || rc == -EEXIST)
        return 0;
      if (!outage)
        break;
      client_sleep (WRITE_RETRY_MS);
    }
  return apply_error ("write", key, rc);
}

static int
write_chunks (struct apply *a, const struct config_root *next)
{
  size_t written = 0;

  for (size_t i = 0; i < next->chunk_count; i++)
    {
      const struct configdoc_chunk *p = &next->chunks[i];

      if (config_root_find_chunk (&a->current.root, p->hash))
        continue;
      struct str key = config_chunk_key (p->hash);
      const int rc = write_immutable (a->client, key, p->body);
      str_free (&key);
      if (rc != 0)
        return rc;
      written++;
    }
  printf ("%zu of %zu chunks written\n", written, next->chunk_count);
  return 0;
}

/* Copies the current root to the key of its revision before it is replaced. */
static int
save_current_root (struct apply *a)
{
  if (a->current.root.revision == 0)
    return 0;
  struct str key = apply_revision_key (a->current.root.revision);
  const int rc = write_immutable (a->client, key, a->current.text);
  str_free (&key);
  return rc;
}

static bool
is_own_root (const struct apply *a, struct str text)
{
  struct config_root r;

  if (config_root_decode (text, &r) != 0)
    return false;
  const bool mine = str_eq (r.writer, a->writer) && r.sequence == a->sequence;
  config_root_free (&r);
  return mine;
}

/* Returns 1 if the store has accepted this command's root, 0 if not, or a
   negative errno value. The root is the current one, or the copy under its
   revision if another edit has replaced it since. */
static int
own_root_accepted (const struct apply *a, uint64_t revision)
{
  struct client_reply r = client_read (a->client, STR (CONFIG_ROOT_KEY));
  int rc = r.err.code;
  bool mine = rc == 0 && is_own_root (a, r.value);

  client_reply_free (&r);
  if (mine || (rc != 0 && rc != -ENOENT))
    return mine ? 1 : rc;
  struct str key = apply_revision_key (revision);
  r = client_read (a->client, key);
  rc = r.err.code;
  mine = rc == 0 && is_own_root (a, r.value);
  client_reply_free (&r);
  str_free (&key);
  return mine || rc == 0 || rc == -ENOENT ? mine : rc;
}

/* Writes the root. Returns 0 if it was accepted, -EEXIST if another edit came
   first, or another negative errno value. If the outcome is uncertain, the
   store is read before the same bytes are written again. Both writes expect
   the same version, so that at most one of them takes effect. */
static int
write_root (struct apply *a, const struct config_root *next)
{
  struct buf text = { 0 };
  bool uncertain = false;
  int rc = 0;

  config_root_encode (next, &text);
  for (int i = 0; i < WRITE_ATTEMPTS_MAX; i++)
    {
      struct client_reply r
          = client_write (a->client, STR (CONFIG_ROOT_KEY), a->current.version,
                          buf_str (&text));

      rc = r.err.code;
      const bool outage = client_error_is_outage (r.err);
      client_reply_free (&r);
      uncertain |= rc == -EINPROGRESS;
      if (uncertain && rc != 0)
        {
          const int mine = own_root_accepted (a, next->revision);

          if (mine == 1)
            rc = 0;
          else if (mine < 0)
            rc = -EINPROGRESS;
        }
      if (rc == 0 || rc == -EEXIST || (!outage && rc != -EINPROGRESS))
        break;
      client_sleep (WRITE_RETRY_MS);
    }
  if (rc != 0 && rc != -EEXIST)
    fprintf (stderr, "galenagate: write: " CONFIG_ROOT_KEY ": %s; %s\n",
             err_str (rc),
             uncertain
                 ? "revision may have been accepted; see 'galenagate get'"
                 : "nothing was applied");
  buf_free (&text);
  return rc;
}

int
apply_write (struct apply *a)
{
  const struct config_entry *big = NULL;
  struct config_root next = { .revision = a->current.root.revision + 1,
                              .sequence = ++a->sequence,
                              .applied_at_ms = clock_wall_ms (),
                              .writer = str_dup (a->writer) };
  int rc = configdoc_split (&a->merged, &next, &big);

  if (rc != 0)
    fprintf (stderr, "galenagate: %s (" STR_FMT "): larger than %d bytes\n",
             config_list_name (big->list), STR_ARG (big->key),
             CONFIG_CHUNK_BYTES);
  if (rc == 0)
    rc = write_chunks (a, &next);
  if (rc == 0)
    rc = save_current_root (a);
  if (rc == 0)
    rc = write_root (a, &next);
  if (rc == 0)
    {
      a->revision = next.revision;
      printf ("revision %lu accepted\n", a->revision);
    }
  config_root_free (&next);
  return rc;
}
