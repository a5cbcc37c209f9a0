#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <h2o.h>

#include "apierror.h"
#include "kernel.h"
#include "str.h"

/* The life of one caller's request: limits, claim, grant, attempts, answer. */

struct requests;

struct requests *requests_create (struct kernel *kernel);
void requests_destroy (struct requests *requests);

/** requests_model() - serve an inference request. */
void requests_model (struct requests *requests, h2o_req_t *req);
/**
 * requests_service() - serve a call to a plain service.
 * @name: of the service.
 * @path: path at the target, with query.
 */
void requests_service (struct requests *requests, h2o_req_t *req,
                       struct str name, struct str path);

/** requests_refuse() - answer at once with an error; nothing has run. */
void requests_refuse (struct requests *requests, h2o_req_t *req,
                      enum api_error error, const char *message);
/** requests_open() - requests that have not ended, settling included. */
size_t requests_open (const struct requests *requests);
/** requests_customer() - name of the customer by the bearer key, or empty. */
struct str requests_customer (struct requests *requests, h2o_req_t *req);
