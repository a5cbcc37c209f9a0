#pragma once

/* Private to config*.c. */

#include <uv.h>

#include "bus.h"
#include "config.h"
#include "configdoc.h"
#include "kernel.h"
#include "member.h"
#include "membership.h"
#include "store.h"

#define CONFIG_FETCH_TIMEOUT_MS 2000
#define CONFIG_STORE_RETRY_MS 1000
/* Maximum number of chunks requested in one call to a peer. */
#define CONFIG_CHUNKS_PER_CALL 64
/* Number of nodes that watch the store on behalf of their failure domain; its
   other nodes fetch edits from peers. */
#define CONFIG_RELAYS_PER_DOMAIN 2

/** struct fetch - a revision being fetched from a peer or the store. */
struct fetch
{
  bool active;
  bool from_store;
  struct str peer;
  struct config_root root;
  struct str root_text;
  size_t pending_reads; /* store reads in flight */
  size_t next_chunk;    /* first chunk not yet requested from the store */
  bool failed;
};

struct config
{
  struct plugin plugin;
  struct kernel *kernel;
  struct bus *bus;
  struct store *store;
  struct membership *membership;
  uv_timer_t timer;
  uint64_t revision;
  struct config_root root; /* in force; has all bodies */
  struct str root_text;
  struct config_root partial_root; /* of a failed fetch, to reuse its chunks */
  uint64_t latest_revision;        /* highest revision known to exist */
  struct str latest_peer;          /* node that reported it; may be empty */
  uint64_t rejected_revision;      /* last revision that was invalid */
  struct fetch fetch;
  uint64_t next_fetch_ms;
  uint64_t started_ms;
  uint64_t confirmed_ms;
  uint64_t last_compare_ms;
  uint64_t last_warning_ms;
  uint64_t initial_read_ms;
  uint64_t watch_version;
  uint64_t watch_ended_ms;
  uint64_t random_state; /* of the generator that selects peers */
  unsigned fetch_attempts;
  bool latest_gossiped; /* a notice of latest_revision was received */
  bool adopting;        /* an adoption job is running */
  bool ready;
  bool initial_read_pending;
  bool store_replied;
  bool store_unreachable;
  bool peer_replied;
  bool watching;
  bool watch_failed;
  bool stopped;
};

/* config.c */
void config_check_ready (struct config *c);

/* config_peers.c */
struct str config_own_addr (const struct config *c);
/**
 * config_domain_rank() - returns this node's rank in the rendezvous order of
 * its failure domain.
 * @parent: set to the bus address of the node to fetch from, empty for relays;
 *   owned by the members topic.
 *
 * Returns 0, the rank of a relay, if this node is not live in its own view.
 */
size_t config_domain_rank (const struct config *c, struct str *parent);
bool config_is_relay (const struct config *c);
/** config_random_peer() - returns a random live node other than this one
 * whose revision is at least @revision, or NULL. */
const struct member_info *config_random_peer (struct config *c,
                                              uint64_t revision);

/* config_fetch.c */
/** config_update_latest() - records a revision if it is the latest known one.
 * @from: bus address of a node that has it; may be empty. */
void config_update_latest (struct config *c, uint64_t revision,
                           struct str from);
/** config_fetch_if_due() - starts a fetch of the latest revision if it is
 * newer than the one in force and no fetch, adoption or backoff is in
 * progress. */
void config_fetch_if_due (struct config *c);
/** config_fetch_store_root() - starts a fetch from the store with a root that
 * has been read already; does nothing during a fetch or adoption. */
void config_fetch_store_root (struct config *c, struct str root);
void config_fetch_reset (struct config *c);

/* config_adopt.c */
/** config_adopt() - checks a fetched revision on a worker thread and puts it
 * in force if it is valid. Takes ownership of the root and its text. */
void config_adopt (struct config *c, struct config_root root,
                   struct str root_text);

/* config_sources.c */
/** config_sources_init() - subscribes to members and notices. */
void config_sources_init (struct config *c);
/** config_read_initial_root() - reads the root from the store at startup;
 * called periodically until the store replies. */
void config_read_initial_root (struct config *c);
/** config_watch_store() - starts a watch on the store's root if this node is a
 * relay and has no active watch. */
void config_watch_store (struct config *c);
/** config_compare_revisions() - queries the revision of a random peer if due.
 */
void config_compare_revisions (struct config *c);

/* config_serve.c */
/** config_serve_init() - registers the handler of peers' fetch calls. */
void config_serve_init (struct config *c);
/** config_chunk_with_body() - returns the chunk with this hash if it has its
 * body, else NULL. */
const struct configdoc_chunk *
config_chunk_with_body (const struct config_root *root, struct str hash);
