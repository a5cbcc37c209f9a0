#pragma once

/* Parts of the placer; included by edge/placer*.c only. */

#include <uthash.h>

#include "edge/edge.h"
#include "edge/fleet.h"
#include "edge/holderlease.h"
#include "edge/nodecount.h"
#include "edge/peers.h"
#include "edge/placer.h"
#include "edge/site.h"
#include "http.h"
#include "platform/platform.h"

/* A node that is silent for this long is not counted any more. */
#define NODE_SILENT_MS 2000
/* Nodes that are kept track of. */
#define NODES_MAX 512
/* A node that no holder told of for this long is forgotten. */
#define NODE_KNOWN_MS 60000

/* A node that tells its demand to this one. */
struct listener
{
  struct str addr;
  uint64_t instance; /* start of its process */
  uint64_t sequence; /* of its newest digest */
  uint64_t heard_ms;
  bool store_reachable;
  bool wants_whole; /* to be told all servers */
  UT_hash_handle hh;
};

/* Address of a node, as a holder told. */
struct known_node
{
  struct str addr;
  uint64_t told_ms;
  UT_hash_handle hh;
};

/* The placement of models: one node holds the lease, hears the demand of all
   and gives the orders; all others tell it their demand. */
struct placer
{
  struct plugin plugin;
  struct kernel *kernel;
  struct site *site;
  struct http *http;
  struct fleet *fleet;
  struct holderlease *lease;
  struct peers *peers;
  uv_timer_t tick;
  uv_timer_t soon; /* a digest or plan that is due before the next tick */
  uv_timer_t drain_timer;
  bool holding; /* as of the last tick */
  bool store_reachable;
  bool changed; /* servers hold other than was told */
  uint64_t fence;
  uint64_t lost_fence;    /* of this node's last lease that is over */
  uint32_t reports_open;  /* asked for and not answered */
  uint64_t told_ms;       /* last digest of this node's demand */
  uint64_t told_fence;    /* of the holder that was last told */
  unsigned whole_left;    /* digests to it that still tell all demand */
  bool series_open;       /* changes are left to be told to all nodes */
  uint64_t scanned_ms;    /* when changes for all nodes were last looked for */
  uint64_t broadcast_ms;  /* last digest for all nodes */
  uint64_t told_sequence; /* its number */
  uint64_t link_free_us;  /* until then digests fill their part of the link */
  uint64_t holder_heard_ms;
  uint64_t holder_fence;     /* highest one heard */
  uint64_t heard_sequence;   /* of that holder's newest digest for all nodes */
  bool missed;               /* digests before it are lacking */
  struct platform_news news; /* of the store, as the holder told */
  struct str holder_addr;
  struct nodecount nodes; /* that share the load */
  uint64_t sequence;
  struct listener *listeners;
  struct known_node *known_nodes; /* to whom a new holder tells of itself */
  size_t nodes_told; /* place in the listeners from which the next are told */
};

/* ---- placer_tell.c ---- */

/** placer_broadcast() - tell nodes of what their calls wait for, and all nodes
 * of the servers that changed, or only that the holder is alive; the latter at
 * most once in a while. Returns false when it is too early for that. */
bool placer_broadcast (struct placer *p);
/** placer_tell_demand() - tell the holder what this node's calls ask for. */
void placer_tell_demand (struct placer *p);

/* ---- placer_hear.c ---- */

/** placer_hear_holder() - take over a digest of the holder. */
void placer_hear_holder (struct placer *p, struct str from,
                         const holder_digest *digest);
/** placer_hear_entry() - take over a node's demand. */
void placer_hear_entry (struct placer *p, struct str from,
                        const entry_digest *digest);

/* ---- placer.c ---- */

/** placer_leads() - is this node the one that gives orders. */
bool placer_leads (const struct placer *p);
