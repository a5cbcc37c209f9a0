#include "edge/routeservices.h"

#include <stdlib.h>

#include <uthash.h>

#include "err.h"

/**
 * struct route_entry - services of a route, in the order in which they were
 * last seen.
 * @services: heap-owned strings.
 * @seen_ms: when each of them was.
 */
struct route_entry
{
  uint64_t route;
  struct str *services;
  uint64_t *seen_ms;
  size_t count;
  UT_hash_handle hh;
};

/**
 * struct routeservices - the routes, by their keys; the one that was seen last
 * comes last.
 */
struct routeservices
{
  struct route_entry *routes;
  uint64_t retention_ms;
};

struct routeservices *
routeservices_create (uint64_t retention_ms)
{
  struct routeservices *rs = xcalloc (1, sizeof *rs);

  rs->retention_ms = retention_ms;
  return rs;
}

static void
forget_route (struct routeservices *rs, struct route_entry *r)
{
  HASH_DEL (rs->routes, r);
  for (size_t i = 0; i < r->count; i++)
    str_free (&r->services[i]);
  free (r->services);
  free (r->seen_ms);
  free (r);
}

void
routeservices_destroy (struct routeservices *rs)
{
  while (rs->routes)
    forget_route (rs, rs->routes);
  free (rs);
}

static bool
expired (const struct routeservices *rs, uint64_t seen_ms, uint64_t now_ms)
{
  return now_ms > seen_ms + rs->retention_ms;
}

static void
forget_expired_routes (struct routeservices *rs, uint64_t now_ms)
{
  while (rs->routes
         && expired (rs, rs->routes->seen_ms[rs->routes->count - 1], now_ms))
    forget_route (rs, rs->routes);
}

static void
remove_at (struct route_entry *r, size_t at)
{
  str_free (&r->services[at]);
  r->count--;
  for (size_t i = at; i < r->count; i++)
    {
      r->services[i] = r->services[i + 1];
      r->seen_ms[i] = r->seen_ms[i + 1];
    }
}

static void
remove_service (struct route_entry *r, struct str service)
{
  for (size_t i = 0; i < r->count; i++)
    if (str_eq (r->services[i], service))
      {
        remove_at (r, i);
        return;
      }
}

static void
append_service (struct route_entry *r, struct str service, uint64_t now_ms)
{
  r->services = xrealloc (r->services, (r->count + 1) * sizeof *r->services);
  r->seen_ms = xrealloc (r->seen_ms, (r->count + 1) * sizeof *r->seen_ms);
  r->services[r->count] = str_dup (service);
  r->seen_ms[r->count] = now_ms;
  r->count++;
}

static struct route_entry *
find_route (const struct routeservices *rs, uint64_t route)
{
  struct route_entry *r;

  HASH_FIND (hh, rs->routes, &route, sizeof route, r);
  return r;
}

void
routeservices_saw (struct routeservices *rs, uint64_t route,
                   struct str service, uint64_t now_ms)
{
  struct route_entry *r = find_route (rs, route);

  if (r)
    HASH_DEL (rs->routes, r);
  else
    {
      r = xcalloc (1, sizeof *r);
      r->route = route;
    }
  while (r->count > 0 && expired (rs, r->seen_ms[0], now_ms))
    remove_at (r, 0);
  remove_service (r, service);
  append_service (r, service, now_ms);
  HASH_ADD (hh, rs->routes, route, sizeof r->route, r);
  forget_expired_routes (rs, now_ms);
}

size_t
routeservices_list (const struct routeservices *rs, uint64_t route,
                    uint64_t now_ms, const struct str **out)
{
  const struct route_entry *r = find_route (rs, route);
  size_t first = 0;

  if (!r)
    return 0;
  while (first < r->count && expired (rs, r->seen_ms[first], now_ms))
    first++;
  *out = r->services + first;
  return r->count - first;
}
