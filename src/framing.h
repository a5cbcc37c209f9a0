#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "str.h"

/* Checks the framing of the requests on an HTTP/1.1 connection: where each one
   ends. Pure.

   Readers of a connection differ in what they make of a request that states
   its length twice, or whose fields or chunks are malformed. What one of them
   takes for a part of the body is another request to the next one (request
   smuggling). Such a request is malformed (RFC 9112, sections 2.2, 3.2, 5, 6
   and 7.1) and ends the check. Request lines and names are left to the HTTP
   library. */

enum framing_state
{
  FRAMING_START, /* before a request line, and within it */
  FRAMING_FIELDS,
  FRAMING_BODY,
  FRAMING_CHUNK_SIZE,
  FRAMING_CHUNK,
  FRAMING_CHUNK_END, /* the line end behind the data of a chunk */
  FRAMING_TRAILERS,
  FRAMING_HTTP2, /* behind the line that begins HTTP/2; not checked */
};

/**
 * struct framing - state of the check of one connection; zero-initialise, free
 * with framing_free().
 * @complete: number of whole requests that were read.
 * @error: what is malformed in the request behind these, a word for logs; NULL
 *   if nothing is. Static.
 * @line: the beginning of a line whose end was not read yet.
 * @data_left: bytes of the body or the chunk that are still to come.
 * @length: value of Content-Length.
 * @lengths, @codings, @hosts: number of lines with Content-Length,
 *   Transfer-Encoding and Host in the head.
 * @chunked: the transfer coding is "chunked".
 * @old_version: the request is one of HTTP/1.0.
 */
struct framing
{
  size_t complete;
  const char *error;
  enum framing_state state;
  struct buf line;
  uint64_t data_left;
  uint64_t length;
  uint32_t lengths;
  uint32_t codings;
  uint32_t hosts;
  bool chunked;
  bool old_version;
};

/** framing_feed() - read the next bytes of the connection. Returns the number
 * of bytes before the line that is malformed, or all; 0 after an error. */
size_t framing_feed (struct framing *framing, struct str bytes);
/** framing_held_bytes() - memory that the check holds. */
size_t framing_held_bytes (const struct framing *framing);
void framing_free (struct framing *framing);
