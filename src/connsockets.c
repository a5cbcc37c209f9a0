#include "connsockets.h"

#include <stdlib.h>

#include <uthash.h>

#include "err.h"
#include "str.h"

struct entry
{
  int fd;
  struct str key;
  bool unreliable;
  UT_hash_handle hh;
};

/**
 * struct connsockets - the map.
 * @by_key: all entries.
 * @by_fd: an array of @fd_count entries, NULL for other sockets.
 */
struct connsockets
{
  struct entry *by_key;
  struct entry **by_fd;
  size_t fd_count;
};

struct connsockets *
connsockets_create (void)
{
  return xcalloc (1, sizeof (struct connsockets));
}

static void
remove_entry (struct connsockets *s, struct entry *e)
{
  if (s->by_key)
    HASH_DEL (s->by_key, e);
  s->by_fd[e->fd] = NULL;
  str_free (&e->key);
  free (e);
}

void
connsockets_destroy (struct connsockets *s)
{
  struct entry *e;
  struct entry *next;

  HASH_ITER (hh, s->by_key, e, next) { remove_entry (s, e); }
  free (s->by_fd);
  free (s);
}

static struct str
make_key (const struct connaddress *a)
{
  return str_printf ("%d %d %s", a->local_port, a->remote_port, a->remote_ip);
}

static struct entry *
find_by_key (const struct connsockets *s, struct str key)
{
  struct entry *e;

  HASH_FIND (hh, s->by_key, key.data, key.len, e);
  return e;
}

static struct entry *
find_by_fd (const struct connsockets *s, int fd)
{
  return fd >= 0 && (size_t)fd < s->fd_count ? s->by_fd[fd] : NULL;
}

static void
make_room (struct connsockets *s, int fd)
{
  const size_t count = ((size_t)fd + 1) * 2;

  if ((size_t)fd < s->fd_count)
    return;
  s->by_fd = xrealloc (s->by_fd, count * sizeof (struct entry *));
  for (size_t i = s->fd_count; i < count; i++)
    s->by_fd[i] = NULL;
  s->fd_count = count;
}

void
connsockets_add (struct connsockets *s, const struct connaddress *address,
                 int fd)
{
  struct entry *e = xcalloc (1, sizeof *e);
  struct entry *former;

  e->fd = fd;
  e->key = make_key (address);
  connsockets_remove (s, fd);
  former = find_by_key (s, e->key);
  if (former)
    remove_entry (s, former);
  make_room (s, fd);
  s->by_fd[fd] = e;
  HASH_ADD_KEYPTR (hh, s->by_key, e->key.data, e->key.len, e);
}

void
connsockets_remove (struct connsockets *s, int fd)
{
  struct entry *e = find_by_fd (s, fd);

  if (e)
    remove_entry (s, e);
}

int
connsockets_find (const struct connsockets *s,
                  const struct connaddress *address)
{
  struct str key = make_key (address);
  const struct entry *e = find_by_key (s, key);

  str_free (&key);
  return e ? e->fd : -1;
}

void
connsockets_mark_unreliable (struct connsockets *s, int fd)
{
  struct entry *e = find_by_fd (s, fd);

  if (e)
    e->unreliable = true;
}

bool
connsockets_is_unreliable (const struct connsockets *s, int fd)
{
  const struct entry *e = find_by_fd (s, fd);

  return e && e->unreliable;
}
