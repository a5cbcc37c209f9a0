#pragma once

#include <stdbool.h>

#include <h2o.h>

#include "kernel.h"

struct admin;
struct requests;

/* Set of paths that a listen address serves. */
enum admin_scope
{
  ADMIN_SCOPE_ALL,       /* paths for clients and for operators */
  ADMIN_SCOPE_CLIENTS,   /* paths for clients only */
  ADMIN_SCOPE_OPERATORS, /* paths for operators only */
};

/* Serves health checks and the list of models, and for operators metrics,
   status and look-ups of idempotency keys. */
struct admin *admin_create (struct kernel *kernel, struct requests *requests);
void admin_destroy (struct admin *admin);
/**
 * admin_serve() - handle a request.
 *
 * Returns false if no path of @scope matches; the request is then unanswered.
 */
bool admin_serve (struct admin *admin, h2o_req_t *req, enum admin_scope scope);
