#include "edge/call_impl.h"

#define STATUS_UNAUTHORIZED 401

/* The tenant whose key a call carries. */

static const struct tenant *
find_tenant (const struct call *c, const struct routing *routing)
{
  if (!routing->tenants || c->meta.keys_differ)
    return NULL;
  return tenants_find (routing->tenants, c->meta.bearer_key);
}

static void
deny_key (struct call *c)
{
  caller_add_header (c->caller, "www-authenticate", STR ("Bearer"));
  call_deny (c, STATUS_UNAUTHORIZED, "unknown-key");
}

bool
call_identify (struct call *c, const struct routing *routing,
               const struct route *route)
{
  const struct tenant *tenant = find_tenant (c, routing);

  c->routing_count = c->calls->routing_count;
  if (routing->tenants && !tenant && !route->allow_anonymous)
    {
      deny_key (c);
      return false;
    }
  c->has_tenants = routing->tenants != NULL;
  str_assign (&c->tenant, tenant ? tenant->name : STR (""));
  c->priority
      = tenant && tenant->has_priority ? tenant->priority : route->priority;
  call_fingerprint (c);
  return true;
}

/* The route that the configuration has for the call now; the one that the call
   came by may be gone. */
static struct route
current_route (const struct call *c, const struct routing *routing)
{
  const struct route *r
      = routing_find (routing, c->fields[0].value, c->request_target);

  return r ? *r
           : (struct route){ .priority = c->priority,
                             .allow_anonymous = c->tenant.len == 0 };
}

bool
call_identify_again (struct call *c)
{
  const struct routing *routing = site_routing (c->calls->site);

  if (!routing || c->routing_count == c->calls->routing_count
      || c->reached_server || (!routing->tenants && !c->has_tenants))
    return true;
  const struct route route = current_route (c, routing);
  return call_identify (c, routing, &route);
}
