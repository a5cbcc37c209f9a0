#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <h2o.h>
#include <jansson.h>

#include "str.h"

/* HTTP/1.1 server that the stand-ins share: one handler for all paths. A
   request stays valid until it is answered, because h2o does not read from an
   HTTP/1.1 connection while a request waits. POST /silence makes all present
   connections silent for ever, while new ones work. */

typedef void (*standin_fn) (h2o_req_t *req);

/** standin_loop() - the loop of the process. */
uv_loop_t *standin_loop (void);
/** standin_run() - serve on 127.0.0.1 until the process is killed. */
int standin_run (uint32_t port, standin_fn handler);
/** standin_after() - run a function once after a delay. */
void standin_after (uint64_t delay_ms, void (*fn) (void *ctx), void *ctx);

bool standin_method (const h2o_req_t *req, const char *method);
/** standin_path() - path without query, percent-decoded, in the request pool.
 */
struct str standin_path (h2o_req_t *req);
/** standin_query() - decoded query parameter; empty when absent. */
struct str standin_query (h2o_req_t *req, const char *name);
uint64_t standin_query_u64 (h2o_req_t *req, const char *name,
                            uint64_t fallback);
struct str standin_header (const h2o_req_t *req, const char *name);
struct str standin_body (const h2o_req_t *req);
/** standin_conn_requests() - requests so far on the request's connection. */
uint32_t standin_conn_requests (const h2o_req_t *req);

/** standin_add_header() - response header; the value is copied. */
void standin_add_header (h2o_req_t *req, const char *name, struct str value);
void standin_reply (h2o_req_t *req, int status, const char *type,
                    struct str body);
/** standin_json() - answer with JSON; takes over the reference to @body. */
void standin_json (h2o_req_t *req, int status, json_t *body);
/** standin_error() - answer {"error": code}. */
void standin_error (h2o_req_t *req, int status, const char *code);
/** standin_close() - close the connection without an answer. */
void standin_close (h2o_req_t *req);
/** standin_send_raw() - write bytes to the connection past h2o. */
void standin_send_raw (h2o_req_t *req, struct str data);
/** standin_silent() - POST /silence has silenced the request's connection. */
bool standin_silent (const h2o_req_t *req);
/** standin_gone() - has the caller closed its connection. */
bool standin_gone (const h2o_req_t *req);
