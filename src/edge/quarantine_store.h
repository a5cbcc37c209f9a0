#pragma once

#include <stdint.h>

#include "edge/quarantine.h"
#include "platform/objects.h"

/* Copy of the refused requests in the platform's store, for nodes that start
   when no other node knows them. */

struct quarantine_store;

/** quarantine_store_create() - @objects and @quarantine must outlive the
 * store. */
struct quarantine_store *
quarantine_store_create (struct objects *objects,
                         struct quarantine *quarantine);
void quarantine_store_destroy (struct quarantine_store *store);
/**
 * quarantine_store_step() - start the read or write that is due. Call it at
 * short intervals.
 * @is_writer: this node keeps the copy up to date; one node at a time does.
 */
void quarantine_store_step (struct quarantine_store *store, bool is_writer,
                            uint64_t now_ms);

/**
 * crash_evidence_encode() - encode as JSON.
 * @wall_ms: Unix time; ages are stored as points in time.
 *
 * Returns a string to free with str_free().
 */
struct str crash_evidence_encode (const struct crash_evidence *evidence,
                                  size_t count, uint64_t wall_ms);
/**
 * crash_evidence_decode() - decode such JSON; items that are not valid are
 * left out.
 * @out: space for @max items.
 *
 * Returns the number of items stored, or -EBADMSG if it is no such document.
 */
int crash_evidence_decode (const json_t *json, uint64_t wall_ms,
                           struct crash_evidence *out, size_t max);
