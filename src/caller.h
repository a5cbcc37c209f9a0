#pragma once

#include <stdbool.h>

#include <h2o.h>

#include "str.h"

/* The caller's side of one request: sends the answer through h2o and notices
   when the caller has left. */

struct caller;

/**
 * caller_create() - take over an h2o request.
 * @gone: runs at most once, when the caller left before the answer ended; the
 *   caller object stays valid until caller_release().
 */
struct caller *caller_create (h2o_req_t *req, void (*gone) (void *ctx),
                              void *ctx);
/** caller_release() - give up the object; unsent data still goes out. */
void caller_release (struct caller *caller);
/**
 * caller_left() - ask the connection whether the caller is still there.
 *
 * h2o does not read an HTTP/1.1 connection while a handler holds its request,
 * so a caller that left is seen only here.
 */
bool caller_left (const struct caller *caller);
/** caller_header() - add a response header; before the answer begins. */
void caller_header (struct caller *caller, const char *name, struct str value);
/** caller_length() - announce the size of an answer sent in parts; before it
 * begins. */
void caller_length (struct caller *caller, size_t bytes);
/** caller_send() - send a whole answer. @content_type may be empty. */
void caller_send (struct caller *caller, int status, struct str content_type,
                  struct str body);
/** caller_begin() - begin an answer that is sent in parts. @content_type may
 * be empty. */
void caller_begin (struct caller *caller, int status, struct str content_type);
/** caller_write() - send a part. Returns false when the caller reads too
   slowly and the answer should be given up. */
bool caller_write (struct caller *caller, struct str part);
/** caller_end() - end the parts; @whole false makes the cut visible. */
void caller_end (struct caller *caller, bool whole);
/** caller_count() - requests that h2o still holds, of this process. */
size_t caller_count (void);
