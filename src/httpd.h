#pragma once

#include <stdint.h>

#include <h2o.h>
#include <uv.h>

#include "str.h"

/* An HTTP server by h2o on one address. */

struct httpd;

/**
 * struct httpd_options - how a server treats its callers.
 * @body_limit_bytes: larger request bodies are refused with 413.
 * @idle_ms: a connection that sends no whole request for this time is closed;
 *   0 keeps h2o's default.
 */
struct httpd_options
{
  size_t body_limit_bytes;
  uint32_t idle_ms;
};

typedef int (*httpd_request_fn) (void *ctx, h2o_req_t *req);

/** httpd_create() - a server that does not listen yet. It is never freed:
 * h2o's open connections refer to it until the process ends. */
struct httpd *httpd_create (uv_loop_t *loop,
                            const struct httpd_options *options,
                            httpd_request_fn fn, void *ctx);
/** httpd_listen() - Returns 0 or a negative errno value. */
int httpd_listen (struct httpd *httpd, struct str addr);
/** httpd_limits() - change the options of a server that runs. */
void httpd_limits (struct httpd *httpd, const struct httpd_options *options);
/** httpd_announce_close() - answers from now on ask for the connection's end;
 * the server goes on listening. */
void httpd_announce_close (struct httpd *httpd);
/** httpd_close() - stop listening and close idle connections; requests at hand
 * go on. */
void httpd_close (struct httpd *httpd);
