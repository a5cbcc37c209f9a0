#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "hosts.h"
#include "str.h"

/* The platform's host list with leaving marks as pure state. A mark ends only
   when the list has the host absent and later live again: the list lags, so
   "live" alone may be older than the mark. */

struct hostlist;

struct hostlist *hostlist_create (void);
void hostlist_destroy (struct hostlist *list);
/**
 * hostlist_apply() - take over a list or the difference to one.
 * @json: {version, hosts: [{address, service, domain, region, state}]} as the
 *   platform gives it; or with base, the version that the difference is to:
 *   hosts then holds the changed ones (with again: true for a host that was
 *   absent since the base), and absent the addresses that are gone.
 *
 * Returns 0, -EBADMSG when @json is unreadable, or -ESTALE when base is not
 * the present version.
 */
int hostlist_apply (struct hostlist *list, struct str json);
/** hostlist_since() - JSON for hostlist_apply() of a node that has a version:
 * the difference, or the whole list if the version is too old; heap-owned. */
struct str hostlist_since (const struct hostlist *list, uint64_t version);
/** hostlist_mark() - a host is leaving; false if that was known already. */
bool hostlist_mark (struct hostlist *list, struct str addr);
/** hostlist_version() - 0 until a list was applied. */
uint64_t hostlist_version (const struct hostlist *list);
/** hostlist_view() - new snapshot in one allocation; release with free(). */
struct host_view *hostlist_view (const struct hostlist *list);
