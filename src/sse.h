#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "str.h"

/* Splits a server-sent event stream into events. */

/**
 * struct sse_event - one event.
 * @raw: the whole event with its final empty line.
 * @data: value of its data line; empty for a comment.
 * @id: number of its id line, if @has_id.
 */
struct sse_event
{
  struct str raw;
  struct str data;
  uint64_t id;
  bool has_id;
};

/* A longer event is none: its bytes may go on without end. */
#define SSE_EVENT_MAX_BYTES (1024 * 1024)

/** struct sse - parser state; zero-initialise, free with buf_free (&s->in). */
struct sse
{
  struct buf in;
};

/**
 * sse_feed() - add bytes and report each complete event.
 * @event: returns false to stop; remaining events are then dropped.
 *
 * Returns false when an event is too long.
 */
bool sse_feed (struct sse *sse, struct str part,
               bool (*event) (void *ctx, const struct sse_event *event),
               void *ctx);
