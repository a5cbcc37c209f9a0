#include "hostlist.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <uthash.h>

#include "err.h"

/* Versions that a difference can be given to. */
#define HISTORY 64
/* Absent hosts that are remembered for differences and marks. */
#define ABSENT_MAX 4096

struct entry
{
  struct str addr;
  struct str service;
  struct str region;
  struct str domain;
  bool listed;
  bool leaving;
  bool absent_since_mark;
  uint64_t changed; /* serial of the last change */
  uint64_t appeared;
  uint64_t seen;
  UT_hash_handle hh;
};

struct hostlist
{
  struct entry *entries;
  size_t listed;
  uint64_t version;
  uint64_t serial; /* number of lists applied */
  uint64_t views;
  struct
  {
    uint64_t version;
    uint64_t serial;
  } history[HISTORY];
};

static struct str
member_str (const json_t *object, const char *name)
{
  const json_t *s = json_object_get (object, name);

  if (!json_is_string (s))
    return STR ("");
  return (struct str){ json_string_value (s), json_string_length (s) };
}

static struct entry *
find (const struct hostlist *l, struct str addr)
{
  struct entry *e;

  HASH_FIND (hh, l->entries, addr.data, addr.len, e);
  return e;
}

static struct entry *
find_or_add (struct hostlist *l, struct str addr)
{
  struct entry *e = find (l, addr);

  if (e)
    return e;
  e = xcalloc (1, sizeof *e);
  e->addr = str_dup (addr);
  HASH_ADD_KEYPTR (hh, l->entries, e->addr.data, e->addr.len, e);
  return e;
}

static void
free_entry (struct entry *e)
{
  str_free (&e->addr);
  str_free (&e->service);
  str_free (&e->region);
  str_free (&e->domain);
  free (e);
}

static void
set_text (struct hostlist *l, struct entry *e, struct str *field,
          struct str with)
{
  if (str_eq (*field, with))
    return;
  str_free (field);
  *field = str_dup (with);
  e->changed = l->serial;
}

static void
set_absent (struct hostlist *l, struct entry *e)
{
  e->absent_since_mark = true;
  if (!e->listed)
    return;
  e->listed = false;
  e->changed = l->serial;
  l->listed--;
}

static void
set_listed (struct hostlist *l, const json_t *host)
{
  struct entry *e = find_or_add (l, member_str (host, "address"));
  const bool leaving = str_eq (member_str (host, "state"), STR ("leaving"));
  const bool was = e->leaving;

  if (json_is_true (json_object_get (host, "again")))
    set_absent (l, e);
  e->seen = l->serial;
  set_text (l, e, &e->service, member_str (host, "service"));
  set_text (l, e, &e->region, member_str (host, "region"));
  set_text (l, e, &e->domain, member_str (host, "domain"));
  if (!e->listed)
    {
      e->listed = true;
      e->appeared = l->serial;
      e->changed = l->serial;
      l->listed++;
    }
  if (leaving)
    e->leaving = true;
  else if (e->absent_since_mark)
    e->leaving = false;
  e->absent_since_mark = false;
  if (e->leaving != was)
    e->changed = l->serial;
}

/* Drops absent hosts when there are too many, those of long ago first. */
static void
forget_absent (struct hostlist *l)
{
  struct entry *e;
  struct entry *next;

  for (uint64_t keep = HISTORY;
       HASH_COUNT (l->entries) - l->listed > ABSENT_MAX; keep /= 2)
    {
      HASH_ITER (hh, l->entries, e, next)
      {
        if (e->listed || e->changed + keep > l->serial)
          continue;
        HASH_DEL (l->entries, e);
        free_entry (e);
      }
      if (keep == 0)
        return;
    }
}

static bool
readable (const json_t *root)
{
  const json_t *hosts = json_object_get (root, "hosts");
  size_t i;
  json_t *h;

  if (!json_is_integer (json_object_get (root, "version"))
      || !json_is_array (hosts))
    return false;
  json_array_foreach (hosts, i, h)
  {
    if (member_str (h, "address").len == 0)
      return false;
  }
  return true;
}

static void
apply (struct hostlist *l, const json_t *root)
{
  const bool whole = !json_object_get (root, "base");
  struct entry *e;
  struct entry *next;
  size_t i;
  json_t *item;

  l->version
      = (uint64_t)json_integer_value (json_object_get (root, "version"));
  l->serial++;
  l->history[l->serial % HISTORY].version = l->version;
  l->history[l->serial % HISTORY].serial = l->serial;
  json_array_foreach (json_object_get (root, "absent"), i, item)
  {
    e = find (l, str_from (json_string_value (item)));
    if (e)
      set_absent (l, e);
  }
  json_array_foreach (json_object_get (root, "hosts"), i, item)
  {
    set_listed (l, item);
  }
  HASH_ITER (hh, l->entries, e, next)
  {
    /* A difference does not name hosts that were absent all the time. */
    if (whole ? e->seen != l->serial : !e->listed)
      set_absent (l, e);
  }
  forget_absent (l);
}

int
hostlist_apply (struct hostlist *l, struct str json)
{
  json_t *root = json_loadb (json.data, json.len, 0, NULL);
  const json_t *base = json_object_get (root, "base");
  int rc = 0;

  if (!readable (root))
    rc = -EBADMSG;
  else if (base && (uint64_t)json_integer_value (base) != l->version)
    rc = -ESTALE;
  else
    apply (l, root);
  json_decref (root);
  return rc;
}

static json_t *
text (struct str s)
{
  return json_stringn (s.data ? s.data : "", s.len);
}

static json_t *
host_json (const struct entry *e, bool again)
{
  json_t *h = json_object ();

  json_object_set_new (h, "address", text (e->addr));
  json_object_set_new (h, "service", text (e->service));
  json_object_set_new (h, "region", text (e->region));
  json_object_set_new (h, "domain", text (e->domain));
  json_object_set_new (h, "state",
                       json_string (e->leaving ? "leaving" : "live"));
  if (again)
    json_object_set_new (h, "again", json_true ());
  return h;
}

/* Serial at which a version was applied, or 0 if that is too long ago. */
static uint64_t
serial_of (const struct hostlist *l, uint64_t version)
{
  uint64_t serial = 0;

  for (size_t i = 0; i < HISTORY; i++)
    if (l->history[i].version == version && l->history[i].serial > serial)
      serial = l->history[i].serial;
  return version == 0 ? 0 : serial;
}

struct str
hostlist_since (const struct hostlist *l, uint64_t version)
{
  const uint64_t since = serial_of (l, version);
  json_t *root = json_object ();
  json_t *hosts = json_array ();
  json_t *absent = json_array ();

  for (const struct entry *e = l->entries; e; e = e->hh.next)
    if (e->listed && (since == 0 || e->changed > since))
      json_array_append_new (hosts,
                             host_json (e, since > 0 && e->appeared > since));
    else if (!e->listed && since > 0 && e->changed > since)
      json_array_append_new (absent, text (e->addr));
  json_object_set_new (root, "version", json_integer ((json_int_t)l->version));
  if (since > 0)
    json_object_set_new (root, "base", json_integer ((json_int_t)version));
  json_object_set_new (root, "hosts", hosts);
  json_object_set_new (root, "absent", absent);
  char *dump = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  return str_from (dump);
}

bool
hostlist_mark (struct hostlist *l, struct str addr)
{
  struct entry *e = find_or_add (l, addr);

  if (e->leaving && !e->absent_since_mark)
    return false;
  e->leaving = true;
  e->absent_since_mark = false;
  l->views++;
  return true;
}

uint64_t
hostlist_version (const struct hostlist *l)
{
  return l->version;
}

struct hostlist *
hostlist_create (void)
{
  return xcalloc (1, sizeof (struct hostlist));
}

void
hostlist_destroy (struct hostlist *l)
{
  struct entry *e = l->entries;

  HASH_CLEAR (hh, l->entries);
  while (e)
    {
      struct entry *next = e->hh.next;
      free_entry (e);
      e = next;
    }
  free (l);
}

/* ---- views ---- */

static struct str
put_text (char **at, struct str s)
{
  const struct str copy = { .data = *at, .len = s.len };

  if (s.len > 0)
    memcpy (*at, s.data, s.len);
  *at += s.len;
  return copy;
}

static int
by_addr (const void *a, const void *b)
{
  const struct host *x = a;
  const struct host *y = b;

  return str_cmp (x->addr, y->addr);
}

struct host_view *
hostlist_view (const struct hostlist *l)
{
  size_t bytes = 0;
  size_t n = 0;

  for (const struct entry *e = l->entries; e; e = e->hh.next)
    if (e->listed)
      bytes += e->addr.len + e->service.len + e->region.len + e->domain.len;
  struct host_view *v
      = xmalloc (sizeof *v + l->listed * sizeof (struct host) + bytes);
  struct host *hosts = (struct host *)(v + 1);
  char *at = (char *)(hosts + l->listed);
  for (const struct entry *e = l->entries; e; e = e->hh.next)
    if (e->listed)
      hosts[n++] = (struct host){ .addr = put_text (&at, e->addr),
                                  .service = put_text (&at, e->service),
                                  .region = put_text (&at, e->region),
                                  .domain = put_text (&at, e->domain),
                                  .leaving = e->leaving };
  qsort (hosts, n, sizeof *hosts, by_addr);
  *v = (struct host_view){ .version = l->serial + l->views,
                           .count = n,
                           .hosts = hosts };
  return v;
}
