#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <h2o.h>

#include "apierror.h"
#include "kernel.h"
#include "str.h"

/* Processes a caller's request: takes quota, claims the idempotency key,
   requests a grant, makes attempts at targets and sends the response. */

struct requests;

struct requests *requests_create (struct kernel *kernel);
void requests_destroy (struct requests *requests);

/** requests_serve_model() - process an inference request. */
void requests_serve_model (struct requests *requests, h2o_req_t *req);
/**
 * requests_serve_service() - process a call to a plain service.
 * @name: name of the service.
 * @path: path and query string to request from the target.
 */
void requests_serve_service (struct requests *requests, h2o_req_t *req,
                             struct str name, struct str path);

/** requests_refuse() - respond with an error at once; no attempt is made. */
void requests_refuse (struct requests *requests, h2o_req_t *req,
                      enum api_error error, const char *message);
/**
 * requests_open() - number of unfinished requests.
 *
 * Includes requests that have been answered but still wait for a reply, for
 * example until the outcome of a claim is stored.
 */
size_t requests_open (const struct requests *requests);
/**
 * requests_authenticate() - authenticate a request by its bearer key.
 *
 * Returns the customer's name (borrowed from the lists), or an empty string
 * when the key is missing or unknown.
 */
struct str requests_authenticate (struct requests *requests, h2o_req_t *req);
