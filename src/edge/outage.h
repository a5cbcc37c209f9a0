#pragma once

#include <stdbool.h>
#include <stdint.h>

/* Tells an outage of the store from the loss of one connection to it. Entries
   of live servers expire only in an outage; after the loss of a connection, an
   entry that is missing was removed. Does no I/O and reads no clock. */

/**
 * struct outage - what the failed calls of a feed say about the store.
 * @failures: failed calls since the last answer.
 * @since_ms: since when the store may not have answered; with @failures.
 * @new_connection_failed: one of them had opened its connection.
 *
 * Zero-initialise it.
 */
struct outage
{
  uint32_t failures;
  uint64_t since_ms;
  bool new_connection_failed;
};

/** outage_call_failed() - record a failed call.
 * @since_ms: end of the connection, or start of the call if it got no answer
 *   in time.
 * @on_new_connection: the call had opened its connection. */
void outage_call_failed (struct outage *o, uint64_t since_ms,
                         bool on_new_connection);
/**
 * outage_ended() - record an answer.
 * @call_max_ms: after this time a call without an answer ends.
 *
 * Returns true if the failed calls before it were an outage of the store.
 */
bool outage_ended (struct outage *o, uint32_t call_max_ms, uint64_t now_ms);
