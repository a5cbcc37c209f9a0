#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <h2o.h>
#include <jansson.h>

#include "str.h"

/* HTTP/1.1 server shared by the stand-ins, with one handler for all paths. A
   request stays valid until its response is sent, because h2o does not read
   from an HTTP/1.1 connection while a request is pending. After POST /silence
   no more responses are sent on the other connections that are open at that
   time; new connections work. */

typedef void (*standin_fn) (h2o_req_t *req);

/** standin_loop() - event loop of the process. */
uv_loop_t *standin_loop (void);
/**
 * standin_run() - serve on 127.0.0.1 until the process is killed.
 *
 * Returns 1 if it cannot listen on the port.
 */
int standin_run (uint32_t port, standin_fn handler);
/** standin_run_after() - run a function once after a delay. */
void standin_run_after (uint64_t delay_ms, void (*fn) (void *ctx), void *ctx);

bool standin_method (const h2o_req_t *req, const char *method);
/**
 * standin_path() - percent-decoded path without the query, allocated in the
 * request pool.
 */
struct str standin_path (h2o_req_t *req);
/** standin_query() - percent-decoded query parameter, or empty if absent. */
struct str standin_query (h2o_req_t *req, const char *name);
uint64_t standin_query_u64 (h2o_req_t *req, const char *name,
                            uint64_t fallback);
struct str standin_header (const h2o_req_t *req, const char *name);
struct str standin_body (const h2o_req_t *req);
/**
 * standin_conn_requests() - number of requests received on the connection of
 * the request, including this one.
 */
uint32_t standin_conn_requests (const h2o_req_t *req);

/** standin_add_header() - add a response header; the value is copied. */
void standin_add_header (h2o_req_t *req, const char *name, struct str value);
void standin_reply (h2o_req_t *req, int status, const char *type,
                    struct str body);
/** standin_json() - send a JSON response; takes ownership of @body. */
void standin_json (h2o_req_t *req, int status, json_t *body);
/** standin_error() - send the response {"error": code}. */
void standin_error (h2o_req_t *req, int status, const char *code);
/** standin_close() - close the connection without a response. */
void standin_close (h2o_req_t *req);
/**
 * standin_send_raw() - write bytes to the connection's socket, bypassing h2o.
 *
 * Shuts the connection down if the write fails.
 */
void standin_send_raw (h2o_req_t *req, struct str data);
/**
 * standin_conn_silenced() - return true if POST /silence disabled responses on
 * the connection of the request.
 */
bool standin_conn_silenced (const h2o_req_t *req);
/**
 * standin_client_closed() - return true if the client has closed the
 * connection of the request, or the connection has failed.
 */
bool standin_client_closed (const h2o_req_t *req);
