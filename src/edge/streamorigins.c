#include "edge/streamorigins.h"

#include <stdlib.h>

#include <uthash.h>
#include <utlist.h>

#include "edge/routeservices.h"
#include "err.h"

/* A stream that is recorded again with the same origin after this time is
   remembered for longer. */
#define RENEWAL_MS (10 * 1000)

/**
 * struct version_entry - a version of a service.
 * @key: hash of both names.
 * @origin: heap-owned.
 * @seen_ms: when it was last in service.
 * @stream_count: remembered streams that began there.
 */
struct version_entry
{
  uint64_t key;
  struct stream_origin origin;
  uint64_t seen_ms;
  size_t stream_count;
  UT_hash_handle hh;
};

/**
 * struct service_versions - the two versions of a service that were seen last.
 * @key: hash of the service's name.
 * @latest: key of the version that was seen last.
 * @latest_name: hash of its name.
 * @latest_ms: when it was.
 * @other_ms: when another version was seen last; 0 for never.
 */
struct service_versions
{
  uint64_t key;
  uint64_t latest;
  uint64_t latest_name;
  uint64_t latest_ms;
  uint64_t other_ms;
  UT_hash_handle hh;
};

/**
 * struct stream - a remembered stream.
 * @own: in the list of the streams of this node that are not complete.
 */
struct stream
{
  uint64_t id;
  uint64_t route; /* 0 if another node stored the stream */
  struct version_entry *version;
  uint64_t recorded_ms;
  bool own;
  struct stream *prev;
  struct stream *next;
  UT_hash_handle hh;
};

/**
 * struct streamorigins - what is remembered. uthash keeps the order in which
 * entries were added, so that the first ones expire first.
 * @versions: by their keys; the one that was seen last comes last.
 * @streams: by their ids; the newest comes last.
 * @own_streams: list of those with @own; the newest comes last.
 * @routes_shared: there was a route with several services.
 */
struct streamorigins
{
  struct version_entry *versions;
  struct service_versions *services;
  struct stream *streams;
  struct stream *own_streams;
  struct routeservices *routes;
  bool routes_shared;
  uint64_t changes;
};

static bool
expired (uint64_t recorded_ms, uint64_t now_ms)
{
  return now_ms > recorded_ms + STREAMORIGINS_RETENTION_MS;
}

uint64_t
streamorigins_id (struct str client_attempt_id)
{
  return str_hash (client_attempt_id, 0);
}

static uint64_t
service_key (struct str service)
{
  return str_hash (service, 0);
}

static uint64_t
version_key (struct str service, struct str version)
{
  return str_hash (version, service_key (service));
}

/* ---- versions in service ---- */

static struct version_entry *
find_version (const struct streamorigins *o, uint64_t key)
{
  struct version_entry *v;

  HASH_FIND (hh, o->versions, &key, sizeof key, v);
  return v;
}

static struct service_versions *
find_service (const struct streamorigins *o, uint64_t key)
{
  struct service_versions *s;

  HASH_FIND (hh, o->services, &key, sizeof key, s);
  return s;
}

static void
forget_service (struct streamorigins *o, struct service_versions *s)
{
  HASH_DEL (o->services, s);
  free (s);
}

static void
forget_version (struct streamorigins *o, struct version_entry *v)
{
  struct service_versions *s
      = find_service (o, service_key (v->origin.service));

  if (s && s->latest == v->key)
    forget_service (o, s);
  HASH_DEL (o->versions, v);
  str_free (&v->origin.service);
  str_free (&v->origin.version);
  free (v);
}

static void
forget_expired_versions (struct streamorigins *o, uint64_t now_ms)
{
  while (o->versions && o->versions->stream_count == 0
         && expired (o->versions->seen_ms, now_ms))
    forget_version (o, o->versions);
}

static bool
has_several (const struct service_versions *s, uint64_t now_ms)
{
  return s && s->other_ms > 0 && !expired (s->other_ms, now_ms);
}

static void
record_latest (struct streamorigins *o, const struct version_entry *v,
               uint64_t now_ms)
{
  const uint64_t key = service_key (v->origin.service);
  struct service_versions *s = find_service (o, key);

  if (!s)
    {
      s = xcalloc (1, sizeof *s);
      s->key = key;
      s->latest = v->key;
      HASH_ADD (hh, o->services, key, sizeof s->key, s);
    }
  const bool had_several = has_several (s, now_ms);
  if (s->latest != v->key)
    s->other_ms = s->latest_ms;
  s->latest = v->key;
  s->latest_name = str_hash (v->origin.version, 0);
  s->latest_ms = now_ms;
  /* The streams that have begun are to be stored from now on. */
  if (!had_several && has_several (s, now_ms))
    o->changes++;
}

static struct version_entry *
see_version (struct streamorigins *o, struct str service, struct str version,
             uint64_t now_ms)
{
  const uint64_t key = version_key (service, version);
  struct version_entry *v = find_version (o, key);

  if (!v)
    {
      v = xcalloc (1, sizeof *v);
      v->key = key;
      v->origin.service = str_dup (service);
      v->origin.version = str_dup (version);
      /* Streams of routes that have the service may be to be stored now. */
      if (o->routes_shared)
        o->changes++;
    }
  else
    HASH_DEL (o->versions, v);
  v->seen_ms = now_ms;
  HASH_ADD (hh, o->versions, key, sizeof v->key, v);
  record_latest (o, v, now_ms);
  return v;
}

void
streamorigins_saw_version (struct streamorigins *o, struct str service,
                           struct str version, uint64_t now_ms)
{
  see_version (o, service, version, now_ms);
  forget_expired_versions (o, now_ms);
}

bool
streamorigins_several_versions (const struct streamorigins *o,
                                struct str service, uint64_t now_ms)
{
  return has_several (find_service (o, service_key (service)), now_ms);
}

/* Returns true if the services of the route had more than one version in
   total. */
static bool
route_has_several (const struct streamorigins *o, uint64_t route,
                   uint64_t now_ms)
{
  const struct str *services;
  const size_t n = routeservices_list (o->routes, route, now_ms, &services);
  const struct service_versions *first = NULL;

  for (size_t i = 0; i < n; i++)
    {
      const struct service_versions *s
          = find_service (o, service_key (services[i]));

      if (!s || expired (s->latest_ms, now_ms))
        continue;
      if (has_several (s, now_ms)
          || (first && first->latest_name != s->latest_name))
        return true;
      first = s;
    }
  return false;
}

bool
streamorigins_may_differ (const struct streamorigins *o, uint64_t route,
                          struct str service, uint64_t now_ms)
{
  return streamorigins_several_versions (o, service, now_ms)
         || route_has_several (o, route, now_ms);
}

void
streamorigins_saw_route (struct streamorigins *o, uint64_t route,
                         struct str service, uint64_t now_ms)
{
  const bool had_several = route_has_several (o, route, now_ms);
  const struct str *services;

  routeservices_saw (o->routes, route, service, now_ms);
  if (routeservices_list (o->routes, route, now_ms, &services) > 1)
    o->routes_shared = true;
  /* The streams that have begun are to be stored from now on. */
  if (!had_several && route_has_several (o, route, now_ms))
    o->changes++;
}

size_t
streamorigins_route_services (const struct streamorigins *o, uint64_t route,
                              uint64_t now_ms, const struct str **out)
{
  return routeservices_list (o->routes, route, now_ms, out);
}

struct str
streamorigins_latest_version (const struct streamorigins *o,
                              struct str service)
{
  const struct service_versions *s = find_service (o, service_key (service));
  const struct version_entry *v = s ? find_version (o, s->latest) : NULL;

  return v ? v->origin.version : (struct str){ 0 };
}

/* ---- streams ---- */

static struct stream *
find_stream (const struct streamorigins *o, uint64_t id)
{
  struct stream *s;

  HASH_FIND (hh, o->streams, &id, sizeof id, s);
  return s;
}

static void
disown (struct streamorigins *o, struct stream *s)
{
  if (s->own)
    DL_DELETE (o->own_streams, s);
  s->own = false;
}

static void
forget_stream (struct streamorigins *o, struct stream *s)
{
  disown (o, s);
  HASH_DEL (o->streams, s);
  s->version->stream_count--;
  free (s);
}

static void
forget_old_streams (struct streamorigins *o, uint64_t now_ms)
{
  while (o->streams
         && (expired (o->streams->recorded_ms, now_ms)
             || HASH_COUNT (o->streams) > STREAMORIGINS_MAX))
    forget_stream (o, o->streams);
}

static struct stream *
add_stream (struct streamorigins *o, uint64_t id,
            const struct stream_origin *origin, uint64_t now_ms)
{
  struct version_entry *v
      = see_version (o, origin->service, origin->version, now_ms);
  struct stream *s = xcalloc (1, sizeof *s);

  s->id = id;
  s->version = v;
  s->recorded_ms = now_ms;
  v->stream_count++;
  HASH_ADD (hh, o->streams, id, sizeof s->id, s);
  forget_old_streams (o, now_ms);
  forget_expired_versions (o, now_ms);
  return s;
}

static bool
is_same_origin (const struct stream_origin *a, const struct stream_origin *b)
{
  return str_eq (a->service, b->service) && str_eq (a->version, b->version);
}

void
streamorigins_begin (struct streamorigins *o, uint64_t id, uint64_t route,
                     const struct stream_origin *origin, uint64_t now_ms)
{
  struct stream *s = find_stream (o, id);

  if (s && s->own && is_same_origin (&s->version->origin, origin)
      && now_ms < s->recorded_ms + RENEWAL_MS)
    return;
  if (s)
    forget_stream (o, s);
  s = add_stream (o, id, origin, now_ms);
  s->own = true;
  s->route = route;
  DL_APPEND (o->own_streams, s);
  if (streamorigins_may_differ (o, route, origin->service, now_ms))
    o->changes++;
}

void
streamorigins_merge (struct streamorigins *o,
                     const struct stored_stream *stored, uint64_t now_ms)
{
  struct stream *s = find_stream (o, stored->id);

  if (s && !expired (s->recorded_ms, now_ms))
    return;
  if (s)
    forget_stream (o, s);
  add_stream (o, stored->id, &stored->origin, now_ms);
}

/* The stream stays known: its end may be lost on the way to the client. */
void
streamorigins_complete (struct streamorigins *o, uint64_t id)
{
  struct stream *s = find_stream (o, id);

  if (s)
    disown (o, s);
}

bool
streamorigins_find (const struct streamorigins *o, uint64_t id,
                    uint64_t now_ms, struct stream_origin *out)
{
  const struct stream *s = find_stream (o, id);

  if (!s || expired (s->recorded_ms, now_ms))
    return false;
  *out = s->version->origin;
  return true;
}

/* ---- streams to be stored ---- */

uint64_t
streamorigins_changes (const struct streamorigins *o)
{
  return o->changes;
}

static const struct stream *
previous_own (const struct streamorigins *o, const struct stream *s)
{
  return s == o->own_streams ? NULL : s->prev;
}

size_t
streamorigins_list_own (const struct streamorigins *o, uint64_t now_ms,
                        struct stored_stream *out, size_t max)
{
  /* utlist: the first element's prev is the last one. */
  const struct stream *s = o->own_streams ? o->own_streams->prev : NULL;
  size_t n = 0;

  for (; s && n < max && !expired (s->recorded_ms, now_ms);
       s = previous_own (o, s))
    if (streamorigins_may_differ (o, s->route, s->version->origin.service,
                                  now_ms))
      out[n++] = (struct stored_stream){ s->id, s->version->origin };
  return n;
}

/* ---- life cycle ---- */

struct streamorigins *
streamorigins_create (void)
{
  struct streamorigins *o = xcalloc (1, sizeof *o);

  o->routes = routeservices_create (STREAMORIGINS_RETENTION_MS);
  return o;
}

void
streamorigins_destroy (struct streamorigins *o)
{
  while (o->streams)
    forget_stream (o, o->streams);
  while (o->versions)
    forget_version (o, o->versions);
  routeservices_destroy (o->routes);
  free (o);
}
