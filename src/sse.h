#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "str.h"

/* Parser for streams of server-sent events. */

/**
 * struct sse_event - one event; its strings are borrowed.
 * @raw: the whole event including its final empty line.
 * @data: value of its last data line; empty for a comment.
 * @id: value of its id line, valid if @has_id.
 * @has_id: the event has an id line with a decimal number.
 * @is_comment: it consists of comment lines only.
 */
struct sse_event
{
  struct str raw;
  struct str data;
  uint64_t id;
  bool has_id;
  bool is_comment;
};

/* Limit for an incomplete event, because its bytes may never end. */
#define SSE_EVENT_MAX_BYTES (1024 * 1024)

/** struct sse - parser state; zero-initialise, free with buf_free (&s->in). */
struct sse
{
  struct buf pending;
};

/**
 * sse_feed() - add bytes and call @event for each complete event.
 * @event: returns false to stop.
 *
 * Returns false if the buffered rest is longer than SSE_EVENT_MAX_BYTES.
 */
bool sse_feed (struct sse *sse, struct str part,
               bool (*event) (void *ctx, const struct sse_event *event),
               void *ctx);
