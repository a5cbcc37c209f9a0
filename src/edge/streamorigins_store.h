#pragma once

#include <stdint.h>

#include "edge/streamorigins.h"
#include "platform/objects.h"

/* Copies of the streams' origins in the platform's store, for streams whose
   node has ended. Each node stores its own streams, and only of services with
   servers of several versions; the nodes read the copies when a client takes
   up a stream that they don't know. */

struct streamorigins_store;

enum streamorigins_answer
{
  STREAMORIGINS_KNOWN,      /* streamorigins_find() knows the stream */
  STREAMORIGINS_ASKING,     /* ask again */
  STREAMORIGINS_UNKNOWN,    /* any version may have begun the stream */
  STREAMORIGINS_ONE_VERSION /* all streams of the route began at one version */
};

/**
 * streamorigins_store_create() - @objects and @origins must outlive the store.
 * @node_name: must be unique; the name of this node's copy is made of it.
 */
struct streamorigins_store *
streamorigins_store_create (struct objects *objects,
                            struct streamorigins *origins,
                            struct str node_name, uint64_t now_ms);
void streamorigins_store_destroy (struct streamorigins_store *store);
/**
 * streamorigins_store_step() - start the read or write of this node's copy
 * that is due. Call it at short intervals.
 * @nodes: number of nodes, which share the store's call rate; 0 if unknown.
 * @cut_off: other nodes may learn of servers that this one doesn't.
 */
void streamorigins_store_step (struct streamorigins_store *store,
                               uint32_t nodes, bool cut_off, uint64_t now_ms);
/** streamorigins_store_missed() - versions may have come into service and left
 * that this node has not seen, because the store did not tell its changes one
 * by one. */
void streamorigins_store_missed (struct streamorigins_store *store,
                                 uint64_t now_ms);
/**
 * struct streamorigins_question - a question about a stream.
 * @id: streamorigins_id() of the stream.
 * @route: key of its route, of which each service may have begun it.
 * @service: that the call which takes it up is meant for.
 * @since_ms: time of the first question about this stream, which is later than
 *   its beginning.
 * @servers_read_ms: this node knows all servers that were in service at this
 *   time. Until it is @since_ms, another node may know a version that this one
 *   does not.
 */
struct streamorigins_question
{
  uint64_t id;
  uint64_t route;
  struct str service;
  uint64_t since_ms;
  uint64_t servers_read_ms;
};

/**
 * streamorigins_store_ask() - find out which version began a stream. Reads the
 * copies of all nodes if that may tell.
 *
 * To be called again at short intervals while it returns STREAMORIGINS_ASKING,
 * which it does for less than a second.
 */
enum streamorigins_answer
streamorigins_store_ask (struct streamorigins_store *store,
                         const struct streamorigins_question *question,
                         uint64_t now_ms);
/** streamorigins_store_read_gap_ms() - minimum time between two calls of this
 * node that read the servers for questions. */
uint32_t
streamorigins_store_read_gap_ms (const struct streamorigins_store *store);
