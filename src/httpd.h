#pragma once

#include <stdint.h>

#include <h2o.h>
#include <uv.h>

#include "str.h"

/* HTTP server on one listen address, based on h2o. */

struct httpd;

/**
 * struct httpd_options - limits that a server applies to its clients.
 * @body_limit_bytes: larger request bodies are rejected with status 413.
 * @idle_timeout_ms: a connection on which no request is in progress is closed
 * if nothing arrives for this time; 0 for the default.
 * @max_clients: beyond this number, the connection that has been idle for
 * longest is closed; 0 for no limit.
 */
struct httpd_options
{
  size_t body_limit_bytes;
  uint32_t idle_timeout_ms;
  size_t max_clients;
};

typedef int (*httpd_request_fn) (void *ctx, h2o_req_t *req);

/** httpd_create() - create a server that does not listen yet. It is never
 * freed, because open connections of h2o refer to it until the process
 * exits. */
struct httpd *httpd_create (uv_loop_t *loop,
                            const struct httpd_options *options,
                            httpd_request_fn fn, void *ctx);
/** httpd_listen() - start listening. Returns 0 or a negative errno value. */
int httpd_listen (struct httpd *httpd, struct str addr);
/** httpd_set_options() - change the options of a running server. */
void httpd_set_options (struct httpd *httpd,
                        const struct httpd_options *options);
/** httpd_announce_close() - announce in all further responses that the
 * connection will be closed; the server keeps listening. */
void httpd_announce_close (struct httpd *httpd);
/** httpd_close() - stop listening and close idle connections; requests in
 * progress continue. */
void httpd_close (struct httpd *httpd);
