#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "hosts.h"
#include "str.h"

/* The platform's host list with leaving marks, without I/O. A mark is cleared
   only when the list omits the host and later lists it as live again: the list
   lags, so a live state alone may be older than the mark. */

struct hostlist;

struct hostlist *hostlist_create (void);
void hostlist_destroy (struct hostlist *list);
/**
 * hostlist_apply() - apply a full list or a difference.
 * @json: {version, hosts: [{address, service, domain, region, state}]} as the
 *   platform provides it. A difference also has base, the version that it
 *   applies to: hosts then holds only the changed hosts (again: true on a host
 *   that was added after the base, perhaps after an absence), and absent holds
 *   the addresses of the removed ones.
 *
 * Returns 0, -EBADMSG if @json is malformed, or -ESTALE if base is not the
 * current version.
 */
int hostlist_apply (struct hostlist *list, struct str json);
/** hostlist_json_since() - JSON for hostlist_apply() on a node that has
 * @version: the difference, or the full list if the version is unknown or too
 * old; heap-owned. */
struct str hostlist_json_since (const struct hostlist *list, uint64_t version);
/** hostlist_mark_leaving() - mark a host as leaving; returns false if it was
 * marked already. */
bool hostlist_mark_leaving (struct hostlist *list, struct str addr);
/** hostlist_version() - version of the last applied list, or 0 if none. */
uint64_t hostlist_version (const struct hostlist *list);
/** hostlist_view() - new snapshot in one allocation; release with free(). */
struct host_view *hostlist_view (const struct hostlist *list);
