#pragma once

#include <stddef.h>
#include <stdint.h>

#include "str.h"

/* Which services calls of a route may have been sent to lately: those of the
   configuration in force, and of earlier ones within the retention. Pure: does
   no I/O and reads no clock. */

struct routeservices;

/** routeservices_create() - @retention_ms: how long a service that was removed
 * from a route is remembered. */
struct routeservices *routeservices_create (uint64_t retention_ms);
void routeservices_destroy (struct routeservices *rs);
/** routeservices_saw() - the configuration in force has the service in the
 * route. To be called at short intervals for each of them. */
void routeservices_saw (struct routeservices *rs, uint64_t route,
                        struct str service, uint64_t now_ms);
/**
 * routeservices_list() - list the services of a route.
 * @out: set to the services, which are borrowed until the next call that
 *   changes @rs.
 *
 * Returns their number.
 */
size_t routeservices_list (const struct routeservices *rs, uint64_t route,
                           uint64_t now_ms, const struct str **out);
