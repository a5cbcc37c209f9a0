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

#define CONFIG_FETCH_LIMIT_MS 2000
#define CONFIG_STORE_RETRY_MS 1000
/* Chunks that one call to a peer asks for. */
#define CONFIG_WANTED_MAX 64
/* Nodes of a domain that watch the store for all of it. */
#define CONFIG_RELAYS 2

/** struct fetch - the revision that is being fetched. */
struct fetch
{
  bool active;
  bool from_store;
  struct str peer;
  struct config_root root;
  struct str root_text;
  size_t reads; /* store reads under way */
  size_t next;  /* first part that was not asked for at the store */
  bool failed;
};

struct config
{
  struct plugin plugin;
  struct kernel *kernel;
  struct bus *bus;
  struct store *store;
  struct membership *membership;
  uv_timer_t tick;
  uint64_t revision;
  struct config_root root; /* in force, with all bodies */
  struct str root_text;
  struct config_root partial; /* of a fetch that failed; saves its chunks */
  uint64_t latest;            /* highest revision known to exist */
  struct str latest_from;     /* node that reported it; may be empty */
  uint64_t rejected;          /* revision that could not be parsed */
  struct fetch fetch;
  uint64_t next_attempt_ms;
  uint64_t started_ms;
  uint64_t confirmed_ms;
  uint64_t compared_ms;
  uint64_t warned_ms;
  uint64_t store_asked_ms;
  uint64_t watch_version;
  uint64_t watch_ended_ms;
  uint64_t random; /* state of the generator that picks peers */
  unsigned attempts;
  bool noticed; /* a notice of the revision `latest` was seen */
  bool working; /* a job is under way */
  bool ready;
  bool store_asked;
  bool store_answered;
  bool store_down;
  bool peer_answered;
  bool watching;
  bool watch_failed;
  bool stopped;
};

/* config.c */
void config_check_ready (struct config *c);

/* config_peers.c */
struct str config_self (const struct config *c);
/**
 * config_domain_place() - place of this node in the order of its domain.
 * @parent: address of the node that it fetches from, empty for relays; the
 *   topic of members owns it.
 *
 * A node that is not in its own view counts as a relay.
 */
size_t config_domain_place (const struct config *c, struct str *parent);
bool config_is_relay (const struct config *c);
/** config_random_peer() - a random live node other than this one that has at
 * least the revision, or NULL. */
const struct member_info *config_random_peer (struct config *c,
                                              uint64_t revision);

/* config_fetch.c */
/** config_learn() - a revision exists; @from has it, unless it is empty. */
void config_learn (struct config *c, uint64_t revision, struct str from);
/** config_fetch_if_due() - start a fetch of the latest revision, unless one is
 * under way or must wait. */
void config_fetch_if_due (struct config *c);
/** config_fetch_store_root() - start a fetch from the store whose root was
 * read already. */
void config_fetch_store_root (struct config *c, struct str root);
void config_fetch_end (struct config *c);

/* config_adopt.c */
/** config_adopt() - check a fetched revision on a worker thread and put it in
 * force. Takes over the root and its text. */
void config_adopt (struct config *c, struct config_root root,
                   struct str root_text);

/* config_sources.c */
/** config_sources_init() - follow members and notices. */
void config_sources_init (struct config *c);
/** config_ask_store() - ask a starting node's store until it answers. */
void config_ask_store (struct config *c);
/** config_watch_store() - keep a relay's watch on the store going. */
void config_watch_store (struct config *c);
/** config_compare() - compare revisions with a random peer, when due. */
void config_compare (struct config *c);

/* config_serve.c */
/** config_serve_init() - answer peers' fetches. */
void config_serve_init (struct config *c);
/** config_part_with_body() - part of a root that has its body, or NULL. */
const struct config_part *
config_part_with_body (const struct config_root *root, struct str hash);
