#include "hostlist.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <uthash.h>

#include "err.h"

/* Number of recent versions that can be the base of a difference. */
#define HISTORY_LEN 64
/* Absent hosts that are kept for differences and leaving marks. */
#define ABSENT_HOSTS_MAX 4096

struct entry
{
  struct str addr;
  struct str service;
  struct str region;
  struct str domain;
  bool listed;
  bool leaving;
  bool absent_since_mark;
  uint64_t changed_serial; /* last change */
  uint64_t listed_serial;  /* last addition to the list */
  uint64_t named_serial;   /* last list or difference that contains it */
  UT_hash_handle hh;
};

struct hostlist
{
  struct entry *entries;
  size_t listed_count;
  uint64_t version;
  uint64_t serial; /* number of lists applied */
  uint64_t marks;  /* number of marks set by hostlist_mark_leaving() */
  struct
  {
    uint64_t version;
    uint64_t serial;
  } history[HISTORY_LEN];
};

static struct str
json_member_str (const json_t *object, const char *name)
{
  const json_t *s = json_object_get (object, name);

  if (!json_is_string (s))
    return STR ("");
  return (struct str){ json_string_value (s), json_string_length (s) };
}

static struct entry *
find_entry (const struct hostlist *l, struct str addr)
{
  struct entry *e;

  HASH_FIND (hh, l->entries, addr.data, addr.len, e);
  return e;
}

static struct entry *
find_or_add_entry (struct hostlist *l, struct str addr)
{
  struct entry *e = find_entry (l, addr);

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
set_field (struct hostlist *l, struct entry *e, struct str *field,
           struct str value)
{
  if (str_eq (*field, value))
    return;
  str_free (field);
  *field = str_dup (value);
  e->changed_serial = l->serial;
}

static void
set_absent (struct hostlist *l, struct entry *e)
{
  e->absent_since_mark = true;
  if (!e->listed)
    return;
  e->listed = false;
  e->changed_serial = l->serial;
  l->listed_count--;
}

static void
set_listed (struct hostlist *l, const json_t *host)
{
  struct entry *e = find_or_add_entry (l, json_member_str (host, "address"));
  const bool leaving
      = str_eq (json_member_str (host, "state"), STR ("leaving"));
  const bool was_leaving = e->leaving;

  if (json_is_true (json_object_get (host, "again")))
    set_absent (l, e);
  e->named_serial = l->serial;
  set_field (l, e, &e->service, json_member_str (host, "service"));
  set_field (l, e, &e->region, json_member_str (host, "region"));
  set_field (l, e, &e->domain, json_member_str (host, "domain"));
  if (!e->listed)
    {
      e->listed = true;
      e->listed_serial = l->serial;
      e->changed_serial = l->serial;
      l->listed_count++;
    }
  if (leaving)
    e->leaving = true;
  else if (e->absent_since_mark)
    e->leaving = false;
  e->absent_since_mark = false;
  if (e->leaving != was_leaving)
    e->changed_serial = l->serial;
}

/* Drops absent hosts while there are more than ABSENT_HOSTS_MAX, those that
   changed longest ago first. */
static void
drop_absent (struct hostlist *l)
{
  struct entry *e;
  struct entry *next;

  for (uint64_t keep_serials = HISTORY_LEN;
       HASH_COUNT (l->entries) - l->listed_count > ABSENT_HOSTS_MAX;
       keep_serials /= 2)
    {
      HASH_ITER (hh, l->entries, e, next)
      {
        if (e->listed || e->changed_serial + keep_serials > l->serial)
          continue;
        HASH_DEL (l->entries, e);
        free_entry (e);
      }
      if (keep_serials == 0)
        return;
    }
}

static bool
list_is_valid (const json_t *root)
{
  const json_t *hosts = json_object_get (root, "hosts");
  size_t i;
  json_t *h;

  if (!json_is_integer (json_object_get (root, "version"))
      || !json_is_array (hosts))
    return false;
  json_array_foreach (hosts, i, h)
  {
    if (json_member_str (h, "address").len == 0)
      return false;
  }
  return true;
}

static void
apply_valid_list (struct hostlist *l, const json_t *root)
{
  const bool is_full_list = !json_object_get (root, "base");
  struct entry *e;
  struct entry *next;
  size_t i;
  json_t *item;

  l->version
      = (uint64_t)json_integer_value (json_object_get (root, "version"));
  l->serial++;
  l->history[l->serial % HISTORY_LEN].version = l->version;
  l->history[l->serial % HISTORY_LEN].serial = l->serial;
  json_array_foreach (json_object_get (root, "absent"), i, item)
  {
    e = find_entry (l, str_from (json_string_value (item)));
    if (e)
      set_absent (l, e);
  }
  json_array_foreach (json_object_get (root, "hosts"), i, item)
  {
    set_listed (l, item);
  }
  HASH_ITER (hh, l->entries, e, next)
  {
    /* A difference omits hosts that stayed absent. */
    if (is_full_list ? e->named_serial != l->serial : !e->listed)
      set_absent (l, e);
  }
  drop_absent (l);
}

int
hostlist_apply (struct hostlist *l, struct str json)
{
  json_t *root = json_loadb (json.data, json.len, 0, NULL);
  const json_t *base = json_object_get (root, "base");
  int rc = 0;

  if (!list_is_valid (root))
    rc = -EBADMSG;
  else if (base && (uint64_t)json_integer_value (base) != l->version)
    rc = -ESTALE;
  else
    apply_valid_list (l, root);
  json_decref (root);
  return rc;
}

static json_t *
json_text (struct str s)
{
  return json_stringn (s.data ? s.data : "", s.len);
}

static json_t *
host_json (const struct entry *e, bool again)
{
  json_t *h = json_object ();

  json_object_set_new (h, "address", json_text (e->addr));
  json_object_set_new (h, "service", json_text (e->service));
  json_object_set_new (h, "region", json_text (e->region));
  json_object_set_new (h, "domain", json_text (e->domain));
  json_object_set_new (h, "state",
                       json_string (e->leaving ? "leaving" : "live"));
  if (again)
    json_object_set_new (h, "again", json_true ());
  return h;
}

/* Returns the serial at which a version was applied, or 0 if it is unknown or
   too old. */
static uint64_t
version_serial (const struct hostlist *l, uint64_t version)
{
  uint64_t serial = 0;

  for (size_t i = 0; i < HISTORY_LEN; i++)
    if (l->history[i].version == version && l->history[i].serial > serial)
      serial = l->history[i].serial;
  return version == 0 ? 0 : serial;
}

struct str
hostlist_json_since (const struct hostlist *l, uint64_t version)
{
  const uint64_t since = version_serial (l, version);
  json_t *root = json_object ();
  json_t *hosts = json_array ();
  json_t *absent = json_array ();

  for (const struct entry *e = l->entries; e; e = e->hh.next)
    if (e->listed && (since == 0 || e->changed_serial > since))
      json_array_append_new (
          hosts, host_json (e, since > 0 && e->listed_serial > since));
    else if (!e->listed && since > 0 && e->changed_serial > since)
      json_array_append_new (absent, json_text (e->addr));
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
hostlist_mark_leaving (struct hostlist *l, struct str addr)
{
  struct entry *e = find_or_add_entry (l, addr);

  if (e->leaving && !e->absent_since_mark)
    return false;
  e->leaving = true;
  e->absent_since_mark = false;
  l->marks++;
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
copy_text (char **at, struct str s)
{
  const struct str copy = { .data = *at, .len = s.len };

  if (s.len > 0)
    memcpy (*at, s.data, s.len);
  *at += s.len;
  return copy;
}

static int
compare_host_addrs (const void *a, const void *b)
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
      = xmalloc (sizeof *v + l->listed_count * sizeof (struct host) + bytes);
  struct host *hosts = (struct host *)(v + 1);
  char *at = (char *)(hosts + l->listed_count);
  for (const struct entry *e = l->entries; e; e = e->hh.next)
    if (e->listed)
      hosts[n++] = (struct host){ .addr = copy_text (&at, e->addr),
                                  .service = copy_text (&at, e->service),
                                  .region = copy_text (&at, e->region),
                                  .domain = copy_text (&at, e->domain),
                                  .leaving = e->leaving };
  qsort (hosts, n, sizeof *hosts, compare_host_addrs);
  *v = (struct host_view){ .version = l->serial + l->marks,
                           .count = n,
                           .hosts = hosts };
  return v;
}
