#include "edge/streamorigins_store.h"

#include <ctype.h>
#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>

#include "clock.h"
#include "edge/origindoc.h"
#include "log.h"

#define LOG_MODULE "streamorigins"
#define OBJECT_KIND "galenagate-streams"
/* Minimum time between two calls for this node's copy, two listings, and two
   reads of the servers. The first event of most streams takes longer than the
   first. */
#define WRITE_GAP_MS 100
#define LIST_GAP_MS 250
#define READ_GAP_MS 50
/* With many nodes the gap grows, which bounds the calls of all nodes. */
#define WRITE_GAP_MS_PER_NODE 5
#define LIST_GAP_MS_PER_NODE 1
#define READ_GAP_MS_PER_NODE 1
/* How long a question waits for what its stream's node may still write. */
#define ASK_MS 800
/* How long a listing answers for services without several versions. */
#define LISTING_REUSE_MS 5000
/* A node that was paused for this long may have missed versions. */
#define PAUSE_MS 2000
#define PLAIN_NAME_MAX_BYTES 64

/**
 * struct stored_service - a service that had several versions, as nodes
 * stored.
 */
struct stored_service
{
  struct str service;
  uint64_t expires_ms;
};

/**
 * struct streamorigins_store - this node's copy, and what the last listings
 * told.
 * @observed_since_ms: since then this node has seen all versions in service.
 * @step_ms: time of the last step.
 * @inherited: what an earlier process of this node stored; stored again until
 *   it expires.
 * @era: of the store, in which the copy was last read or written.
 * @revision: of this node's copy; 0: does not exist.
 * @written: streamorigins_changes() of the copy.
 * @writing: likewise of the write in flight.
 * @call_ms: when the last call for the copy ended.
 * @copy_known: the newest copy was read or written.
 * @copy_lost: the store came back from an older copy of all objects.
 * @services: as told by the listings.
 * @list_started_ms: start of the listing in flight.
 * @list_ended_ms: when the last listing ended or failed.
 * @listed_since_ms: start of the last listing that was read to its end; 0 for
 *   none.
 */
struct streamorigins_store
{
  struct objects *objects;
  struct streamorigins *origins;
  struct str name;
  uint64_t observed_since_ms;
  uint64_t step_ms;
  uint32_t nodes;

  struct origindoc inherited;
  uint64_t era;
  uint64_t revision;
  uint64_t written;
  uint64_t writing;
  uint64_t call_ms;
  bool copy_known;
  bool copy_lost;
  bool in_flight;

  struct stored_service services[STORED_SERVICES_MAX];
  size_t service_count;
  uint64_t list_started_ms;
  uint64_t list_ended_ms;
  uint64_t listed_since_ms;
  size_t listed_copies;
  size_t listed_streams;
  bool list_in_flight;
};

/* ---- life cycle ---- */

static bool
is_plain (struct str name)
{
  if (name.len == 0 || name.len > PLAIN_NAME_MAX_BYTES
      || !isalnum ((unsigned char)name.data[0]))
    return false;
  for (size_t i = 0; i < name.len; i++)
    if (!isalnum ((unsigned char)name.data[i]) && name.data[i] != '-'
        && name.data[i] != '_' && name.data[i] != '.')
      return false;
  return true;
}

/* Returns a name that a URL can hold as it is. */
static struct str
object_name (struct str node_name)
{
  return is_plain (node_name)
             ? str_dup (node_name)
             : str_printf ("hash-%016" PRIx64, str_hash (node_name, 0));
}

struct streamorigins_store *
streamorigins_store_create (struct objects *objects,
                            struct streamorigins *origins,
                            struct str node_name, uint64_t now_ms)
{
  struct streamorigins_store *s = xcalloc (1, sizeof *s);

  s->objects = objects;
  s->origins = origins;
  s->name = object_name (node_name);
  s->observed_since_ms = now_ms;
  s->step_ms = now_ms;
  return s;
}

void
streamorigins_store_destroy (struct streamorigins_store *s)
{
  for (size_t i = 0; i < s->service_count; i++)
    str_free (&s->services[i].service);
  origindoc_free (&s->inherited);
  str_free (&s->name);
  free (s);
}

/* ---- this node's copy ---- */

/* Adds the streams of this process to @doc. */
static void
add_own (struct streamorigins_store *s, struct origindoc *doc, uint64_t now_ms,
         uint64_t wall_ms)
{
  struct stored_stream *own = xcalloc (STORED_STREAMS_MAX, sizeof *own);
  const size_t n
      = streamorigins_list_own (s->origins, now_ms, own, STORED_STREAMS_MAX);

  for (size_t i = 0; i < n; i++)
    {
      origindoc_add_stream (doc, &own[i], wall_ms);
      if (streamorigins_several_versions (s->origins, own[i].origin.service,
                                          now_ms))
        origindoc_add_service (doc, own[i].origin.service, wall_ms);
    }
  free (own);
}

static void
on_written (void *ctx, struct err err, const struct object *copy)
{
  struct streamorigins_store *s = ctx;

  s->in_flight = false;
  s->call_ms = clock_ms ();
  if (err.code == 0)
    {
      s->revision = copy->revision;
      s->written = s->writing;
      s->copy_lost = false;
      return;
    }
  /* Unless the store refused the call, the copy may have changed. */
  s->copy_known = err.code == -EAGAIN || err.code == -EDQUOT;
  LOG_INFO ("streams-write-failed", LOG_E_FMT, LOG_E_ARG (err));
}

static void
write_copy (struct streamorigins_store *s, uint64_t now_ms)
{
  const uint64_t wall_ms = clock_wall_ms ();
  struct origindoc doc = { 0 };

  add_own (s, &doc, now_ms, wall_ms);
  origindoc_merge (&doc, &s->inherited, wall_ms);
  struct str json = origindoc_encode (&doc, wall_ms);
  LOG_DBG ("streams-write", "streams=%zu services=%zu bytes=%zu",
           doc.stream_count, doc.service_count, json.len);
  s->in_flight = true;
  s->writing = streamorigins_changes (s->origins);
  objects_write (s->objects, OBJECT_KIND, s->name.data, s->revision, json,
                 on_written, s);
  str_free (&json);
  origindoc_free (&doc);
}

/* Keeps what an earlier process of this node stored. The copy may hold what
   this one stored too: then a write of it had an unknown outcome. */
static void
inherit (struct streamorigins_store *s, const struct object *copy)
{
  const uint64_t wall_ms = clock_wall_ms ();
  struct origindoc stored;
  struct origindoc both = { 0 };

  if (origindoc_decode (copy->spec, wall_ms, &stored) != 0)
    LOG_WARN ("streams-unreadable", "node=" STR_FMT, LOG_NAME_ARG (s->name));
  origindoc_merge (&both, &s->inherited, wall_ms);
  origindoc_merge (&both, &stored, wall_ms);
  origindoc_free (&stored);
  origindoc_free (&s->inherited);
  s->inherited = both;
  LOG_INFO ("streams-inherited", "streams=%zu", s->inherited.stream_count);
}

static void
on_read (void *ctx, struct err err, const struct object *copy)
{
  struct streamorigins_store *s = ctx;

  s->in_flight = false;
  s->call_ms = clock_ms ();
  s->copy_known = err.code == 0 || err.code == -ENOENT;
  s->revision = copy ? copy->revision : 0;
  if (copy)
    inherit (s, copy);
  if (s->copy_known)
    write_copy (s, clock_ms ());
  else
    LOG_INFO ("streams-read-failed", LOG_E_FMT, LOG_E_ARG (err));
}

static uint64_t
gap_ms (const struct streamorigins_store *s, uint64_t min_ms,
        uint64_t ms_per_node)
{
  const uint64_t ms = s->nodes * ms_per_node;

  return ms > min_ms ? ms : min_ms;
}

static bool
has_content (const struct streamorigins_store *s, uint64_t now_ms)
{
  struct stored_stream newest;

  return s->inherited.stream_count > 0
         || streamorigins_list_own (s->origins, now_ms, &newest, 1) > 0;
}

static bool
gap_passed (uint64_t last_ms, uint64_t ms, uint64_t now_ms)
{
  return last_ms == 0 || now_ms >= last_ms + ms;
}

static void
check_era (struct streamorigins_store *s)
{
  if (objects_era (s->objects) == s->era)
    return;
  s->era = objects_era (s->objects);
  s->copy_known = false;
  s->copy_lost = true;
}

/* Returns true if the copy in the store lacks something. */
static bool
must_write (struct streamorigins_store *s, uint64_t now_ms)
{
  if (streamorigins_changes (s->origins) == s->written && !s->copy_lost)
    return false;
  if (has_content (s, now_ms))
    return true;
  s->written = streamorigins_changes (s->origins);
  s->copy_lost = false;
  return false;
}

void
streamorigins_store_step (struct streamorigins_store *s, uint32_t nodes,
                          bool cut_off, uint64_t now_ms)
{
  if (cut_off || now_ms > s->step_ms + PAUSE_MS)
    streamorigins_store_missed (s, now_ms);
  s->step_ms = now_ms;
  s->nodes = nodes;
  check_era (s);
  if (s->in_flight
      || !gap_passed (s->call_ms,
                      gap_ms (s, WRITE_GAP_MS, WRITE_GAP_MS_PER_NODE), now_ms)
      || !must_write (s, now_ms))
    return;
  if (s->copy_known)
    {
      write_copy (s, now_ms);
      return;
    }
  s->in_flight = true;
  objects_read (s->objects, OBJECT_KIND, s->name.data, on_read, s);
}

void
streamorigins_store_missed (struct streamorigins_store *s, uint64_t now_ms)
{
  s->observed_since_ms = now_ms;
}

/* ---- copies of all nodes ---- */

static struct stored_service *
find_service (struct streamorigins_store *s, struct str service)
{
  for (size_t i = 0; i < s->service_count; i++)
    if (str_eq (s->services[i].service, service))
      return &s->services[i];
  return NULL;
}

static void
forget_expired_services (struct streamorigins_store *s, uint64_t now_ms)
{
  for (size_t i = s->service_count; i > 0; i--)
    if (s->services[i - 1].expires_ms <= now_ms)
      {
        str_free (&s->services[i - 1].service);
        s->services[i - 1] = s->services[--s->service_count];
      }
}

static struct stored_service *
add_stored_service (struct streamorigins_store *s, struct str service)
{
  struct stored_service *stored = find_service (s, service);

  if (stored)
    return stored;
  if (s->service_count >= STORED_SERVICES_MAX)
    {
      LOG_WARN ("streams-services-full", "service=" STR_FMT,
                LOG_NAME_ARG (service));
      return NULL;
    }
  stored = &s->services[s->service_count++];
  *stored = (struct stored_service){ .service = str_dup (service) };
  return stored;
}

static void
merge_services (struct streamorigins_store *s, const struct origindoc *doc,
                uint64_t now_ms, uint64_t wall_ms)
{
  for (size_t i = 0; i < doc->service_count; i++)
    {
      const struct mixed_service *in = &doc->services[i];
      const uint64_t expires_ms
          = now_ms + STORED_RETENTION_MS - (wall_ms - in->seen_ms);
      struct stored_service *stored = add_stored_service (s, in->service);

      if (stored && expires_ms > stored->expires_ms)
        stored->expires_ms = expires_ms;
    }
}

static void
merge_streams (struct streamorigins_store *s, const struct origindoc *doc,
               uint64_t now_ms)
{
  for (size_t i = 0; i < doc->group_count; i++)
    for (size_t k = 0; k < doc->groups[i].count; k++)
      {
        const struct stored_stream stream
            = { doc->groups[i].ids[k], doc->groups[i].origin };

        streamorigins_merge (s->origins, &stream, now_ms);
      }
}

static void
merge_copy (struct streamorigins_store *s, const struct object *copy)
{
  const uint64_t wall_ms = clock_wall_ms ();
  const uint64_t now_ms = clock_ms ();
  struct origindoc doc;

  if (origindoc_decode (copy->spec, wall_ms, &doc) != 0)
    LOG_WARN ("streams-unreadable", "node=" STR_FMT,
              LOG_NAME_ARG (copy->name));
  merge_streams (s, &doc, now_ms);
  merge_services (s, &doc, now_ms, wall_ms);
  s->listed_copies++;
  s->listed_streams += doc.stream_count;
  origindoc_free (&doc);
}

static void
end_listing (struct streamorigins_store *s, struct err err)
{
  s->list_in_flight = false;
  s->list_ended_ms = clock_ms ();
  /* The store may not know a kind without objects. */
  if (err.code != 0 && err.code != -ENOENT)
    {
      LOG_INFO ("streams-list-failed", LOG_E_FMT, LOG_E_ARG (err));
      return;
    }
  s->listed_since_ms = s->list_started_ms;
  LOG_INFO ("streams-listed", "copies=%zu streams=%zu services=%zu",
            s->listed_copies, s->listed_streams, s->service_count);
}

static void
on_page (void *ctx, struct err err, const struct object_page *page)
{
  struct streamorigins_store *s = ctx;

  for (size_t i = 0; page && i < page->count; i++)
    merge_copy (s, &page->objects[i]);
  if (page && page->next.len > 0)
    objects_list (s->objects, OBJECT_KIND, page->next, on_page, s);
  else
    end_listing (s, err);
}

static void
start_listing (struct streamorigins_store *s, uint64_t now_ms)
{
  if (s->list_in_flight
      || !gap_passed (s->list_ended_ms,
                      gap_ms (s, LIST_GAP_MS, LIST_GAP_MS_PER_NODE), now_ms))
    return;
  s->list_in_flight = true;
  s->list_started_ms = now_ms;
  s->listed_copies = 0;
  s->listed_streams = 0;
  forget_expired_services (s, now_ms);
  objects_list (s->objects, OBJECT_KIND, (struct str){ 0 }, on_page, s);
}

/* ---- questions ---- */

static bool
stored_as_several (struct streamorigins_store *s, struct str service,
                   uint64_t now_ms)
{
  const struct stored_service *stored = find_service (s, service);

  return stored && now_ms < stored->expires_ms;
}

/* Returns true if one of the services that may have begun the stream had
   several versions, as nodes stored. */
static bool
one_stored_as_several (struct streamorigins_store *s,
                       const struct streamorigins_question *q, uint64_t now_ms)
{
  const struct str *services;
  const size_t n
      = streamorigins_route_services (s->origins, q->route, now_ms, &services);

  for (size_t i = 0; i < n; i++)
    if (stored_as_several (s, services[i], now_ms))
      return true;
  return stored_as_several (s, q->service, now_ms);
}

/* Returns true if the last listing tells which services had several versions.
 */
static bool
services_known (const struct streamorigins_store *s, uint64_t asked_since_ms,
                uint64_t now_ms)
{
  return s->listed_since_ms > 0 && s->listed_since_ms >= s->observed_since_ms
         && (s->listed_since_ms >= asked_since_ms
             || now_ms < s->listed_since_ms + LISTING_REUSE_MS);
}

/* Returns true if the node has seen only one version up to the time at which
   it last read the servers, and no other node saw more before. */
static bool
had_one_version (struct streamorigins_store *s,
                 const struct streamorigins_question *q, uint64_t now_ms)
{
  if (streamorigins_may_differ (s->origins, q->route, q->service, now_ms))
    return false;
  if (now_ms > s->observed_since_ms + STREAMORIGINS_RETENTION_MS)
    return true;
  return services_known (s, q->since_ms, now_ms)
         && !one_stored_as_several (s, q, now_ms);
}

enum streamorigins_answer
streamorigins_store_ask (struct streamorigins_store *s,
                         const struct streamorigins_question *q,
                         uint64_t now_ms)
{
  const bool one_version = had_one_version (s, q, now_ms);
  struct stream_origin origin;

  if (streamorigins_find (s->origins, q->id, now_ms, &origin))
    return STREAMORIGINS_KNOWN;
  if (one_version && q->servers_read_ms >= q->since_ms)
    return STREAMORIGINS_ONE_VERSION;
  if (now_ms >= q->since_ms + ASK_MS)
    return STREAMORIGINS_UNKNOWN;
  if (!one_version)
    start_listing (s, now_ms);
  return STREAMORIGINS_ASKING;
}

uint32_t
streamorigins_store_read_gap_ms (const struct streamorigins_store *s)
{
  return (uint32_t)gap_ms (s, READ_GAP_MS, READ_GAP_MS_PER_NODE);
}
