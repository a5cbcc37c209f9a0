#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "str.h"

/* Which service and software version began the streams that clients may take
   up again. What two versions of a service write does not fit together, so a
   stream goes on only at servers of the version that began it. Pure: does no
   I/O and reads no clock. */

/* How long a stream, or a version that was in service, is remembered: longer
   than any stream lasts. */
#define STREAMORIGINS_RETENTION_MS (60 * 1000)
/* Streams that are remembered; of more, the oldest are forgotten. */
#define STREAMORIGINS_MAX 65536

/**
 * struct stream_origin - where a stream began.
 * @service: its service.
 * @version: software version of the server of its first event; empty if the
 *   server's entry has none that can be read.
 */
struct stream_origin
{
  struct str service;
  struct str version;
};

/**
 * struct stored_stream - a stream as another node stored it.
 * @id: streamorigins_id() of the client attempt that brought its first event.
 */
struct stored_stream
{
  uint64_t id;
  struct stream_origin origin;
};

struct streamorigins;

struct streamorigins *streamorigins_create (void);
void streamorigins_destroy (struct streamorigins *o);

/** streamorigins_id() - hash of the id of a client attempt. */
uint64_t streamorigins_id (struct str client_attempt_id);

/** streamorigins_begin() - record where a stream of this node begins: when it
 * is sent to a server, and again if another server brings its first event.
 * @route: key of its route; see streamorigins_saw_route(). */
void streamorigins_begin (struct streamorigins *o, uint64_t id, uint64_t route,
                          const struct stream_origin *origin, uint64_t now_ms);
/** streamorigins_merge() - record a stream that another node, or an earlier
 * process of this one, stored. */
void streamorigins_merge (struct streamorigins *o,
                          const struct stored_stream *stream, uint64_t now_ms);
/** streamorigins_complete() - the stream reached its client whole, so that it
 * need not be stored. */
void streamorigins_complete (struct streamorigins *o, uint64_t id);
/** streamorigins_find() - look up a stream. @out borrows until the next call
 * that changes @o. Returns false if it is not known. */
bool streamorigins_find (const struct streamorigins *o, uint64_t id,
                         uint64_t now_ms, struct stream_origin *out);

/** streamorigins_saw_version() - a server of this version is in service. To
 * be called at short intervals for each listed server. An empty version counts
 * as one of its own. */
void streamorigins_saw_version (struct streamorigins *o, struct str service,
                                struct str version, uint64_t now_ms);
/** streamorigins_saw_route() - the configuration sends calls of a route to the
 * service. To be called at short intervals for each service of each route
 * whose streams clients may take up. */
void streamorigins_saw_route (struct streamorigins *o, uint64_t route,
                              struct str service, uint64_t now_ms);
/**
 * streamorigins_route_services() - list the services that streams of a route
 * may have begun at.
 * @out: set to the services, borrowed until the next call that changes @o.
 *
 * Returns their number; 0 if the route is not known.
 */
size_t streamorigins_route_services (const struct streamorigins *o,
                                     uint64_t route, uint64_t now_ms,
                                     const struct str **out);
/** streamorigins_may_differ() - returns true if two streams of a route, or of
 * a service, may have begun at different versions within the retention. */
bool streamorigins_may_differ (const struct streamorigins *o, uint64_t route,
                               struct str service, uint64_t now_ms);
/** streamorigins_several_versions() - returns true if servers of several
 * versions were in service at some time within the retention, as this node saw
 * or another one stored. */
bool streamorigins_several_versions (const struct streamorigins *o,
                                     struct str service, uint64_t now_ms);
/** streamorigins_latest_version() - returns the version that was seen last;
 * empty if there is none. Borrowed until the next call that changes @o. */
struct str streamorigins_latest_version (const struct streamorigins *o,
                                         struct str service);

/** streamorigins_changes() - grows with each stream of this node that is to be
 * stored: those whose routes or services have several versions. */
uint64_t streamorigins_changes (const struct streamorigins *o);
/**
 * streamorigins_list_own() - list the streams of this node that are to be
 * stored, newest first.
 * @out: space for @max; borrows until the next call that changes @o.
 *
 * Returns their number.
 */
size_t streamorigins_list_own (const struct streamorigins *o, uint64_t now_ms,
                               struct stored_stream *out, size_t max);
