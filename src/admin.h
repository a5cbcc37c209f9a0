#pragma once

#include <stdbool.h>

#include <h2o.h>

#include "kernel.h"

struct admin;
struct requests;

/* Which paths a listening address serves. */
enum admin_scope
{
  ADMIN_TOO,  /* callers' and operators' paths */
  ADMIN_NONE, /* callers' paths only */
  ADMIN_ONLY, /* operators' paths only */
};

/* Health, metrics, status and look-ups for operators; list of models. */
struct admin *admin_create (struct kernel *kernel, struct requests *requests);
void admin_destroy (struct admin *admin);
/** admin_serve() - answer a request. Returns false when the path is not its.
 */
bool admin_serve (struct admin *admin, h2o_req_t *req, enum admin_scope scope);
