#pragma once

#include <jansson.h>

#include "edge/streamorigins.h"

/* Document with the origins of the streams of one node, as the node stores it
   for times in which no node remembers them. */

/* How long what was stored is used. The wall clocks of the nodes may differ or
   be set anew, so this is longer than the retention in a node's memory. */
#define STORED_RETENTION_MS (STREAMORIGINS_RETENTION_MS + 60 * 1000)
/* Bounds of a document; what exceeds them is left out. */
#define STORED_STREAMS_MAX 2000
#define STORED_GROUPS_MAX 256
#define STORED_SERVICES_MAX 256

/**
 * struct origin_group - streams of one version that were stored together.
 * @stored_ms: Unix time at which they were last known to run.
 */
struct origin_group
{
  struct stream_origin origin;
  uint64_t stored_ms;
  uint64_t *ids;
  size_t count;
};

/**
 * struct mixed_service - a service of which servers of several versions were
 * in service.
 * @seen_ms: Unix time at which that was last known.
 */
struct mixed_service
{
  struct str service;
  uint64_t seen_ms;
};

/** struct origindoc - a document; owns its strings. Zero-initialise; free with
 * origindoc_free(). */
struct origindoc
{
  struct origin_group groups[STORED_GROUPS_MAX];
  size_t group_count;
  size_t stream_count;
  struct mixed_service services[STORED_SERVICES_MAX];
  size_t service_count;
};

void origindoc_free (struct origindoc *doc);
/** origindoc_add_stream() - add a stream, unless the document is full. */
void origindoc_add_stream (struct origindoc *doc,
                           const struct stored_stream *stream,
                           uint64_t stored_ms);
/** origindoc_add_service() - add a service, or make its time later. */
void origindoc_add_service (struct origindoc *doc, struct str service,
                            uint64_t seen_ms);
/** origindoc_merge() - add what @from has besides @doc and what is not older
 * than STORED_RETENTION_MS. @wall_ms: Unix time. */
void origindoc_merge (struct origindoc *doc, const struct origindoc *from,
                      uint64_t wall_ms);
/** origindoc_encode() - encode as JSON. Returns a string to free with
 * str_free(). */
struct str origindoc_encode (const struct origindoc *doc, uint64_t wall_ms);
/**
 * origindoc_decode() - decode such JSON. What is invalid or older than
 * STORED_RETENTION_MS is left out; a time in the future counts as now.
 * @out: initialised here; to be freed also after an error.
 *
 * Returns 0, or -EBADMSG if it is no such document.
 */
int origindoc_decode (const json_t *json, uint64_t wall_ms,
                      struct origindoc *out);
