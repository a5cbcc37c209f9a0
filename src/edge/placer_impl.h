#pragma once

/* Internal to the placer; included by edge/placer*.c only. */

#include <uthash.h>

#include "edge/edge.h"
#include "edge/fleet.h"
#include "edge/holderlease.h"
#include "edge/nodecount.h"
#include "edge/peers.h"
#include "edge/placer.h"
#include "edge/placer_quota.h"
#include "edge/quarantine_store.h"
#include "edge/site.h"
#include "http.h"
#include "platform/platform.h"

/* A node that has sent no digest for this long is no longer counted. */
#define NODE_SILENT_MS 2000
#define CRASHES_PER_DATAGRAM 32
/* Bound on the followers, and on the known nodes. */
#define NODES_MAX 512
/* A new holder ignores nodes that no holder has mentioned for this long. */
#define KNOWN_NODE_MS 60000

/* A node that sends its demand to this one, the holder, and receives the state
   of the servers from it. */
struct follower
{
  struct str addr;
  uint64_t instance;       /* start time of its process */
  uint64_t last_sequence;  /* of its newest digest */
  uint64_t last_digest_ms; /* time of its newest digest */
  bool store_reachable;    /* as of its newest digest */
  bool needs_full_state;   /* must be sent the state of all servers */
  UT_hash_handle hh;
};

/* A holder, or a node whose address a holder sent. */
struct known_node
{
  struct str addr;
  uint64_t mentioned_ms;
  UT_hash_handle hh;
};

/* Placement of models: the node that holds the lease receives the demand of
   all nodes and sends orders to the servers; all others send it their demand.
 */
struct placer
{
  struct plugin plugin;
  struct kernel *kernel;
  struct site *site;
  struct http *http;
  struct fleet *fleet;
  struct holderlease *lease;
  struct quarantine_store *quarantine_store;
  struct peers *peers;
  uv_timer_t tick;
  uv_timer_t run_timer; /* runs a placement round before the next tick */
  uv_timer_t drain_timer;
  bool is_holder; /* as of the last tick or lease event */
  bool store_reachable;
  bool has_unsent_changes; /* of the servers' state */
  uint64_t fence;
  uint64_t lost_fence; /* of this node's last lease that was superseded */
  uint32_t reports_in_flight;
  uint64_t demand_sent_ms;     /* time of this node's last demand digest */
  uint64_t demand_sent_fence;  /* of the holder that it was sent to */
  unsigned full_demand_left;   /* digests that still list the whole demand */
  bool broadcast_pending;      /* changes are left to be sent to all nodes */
  uint64_t changes_scanned_ms; /* time of the last scan for changes */
  uint64_t broadcast_ms;       /* time of the last digest to all nodes */
  uint64_t broadcast_sequence; /* of the last digest to all nodes */
  uint64_t link_free_us;       /* until then digests occupy their link share */
  uint64_t holder_seen_ms;     /* last digest of an active holder */
  uint64_t holder_fence;       /* highest fence received */
  uint64_t holder_sequence;    /* that holder's last digest to all nodes */
  bool digests_missed;         /* digests before it were lost */
  struct platform_revisions holder_revisions; /* as the holder sent them */
  struct str holder_addr;
  struct nodecount nodes; /* nodes that share the load */
  uint64_t demand_sequence;
  struct follower *followers;
  struct known_node *known_nodes; /* a new holder announces itself to them */
  size_t next_follower; /* index of the first one for the next digest's list */
  const struct placer_quota_listener *quota_listener;
  void *quota_ctx;
  uint64_t quota_fence; /* of the last term that the listener was told */
};

/* ---- placer_send.c ---- */

/**
 * placer_broadcast() - send the state of the servers to the other nodes.
 *
 * A server where a model or adapter became ready is sent immediately to the
 * nodes that wait for it. All nodes are sent the changed servers, or a
 * keepalive, at most once per interval.
 *
 * Returns false if changes may be left to send, because the interval or the
 * digests' share of the link does not allow more yet.
 */
bool placer_broadcast (struct placer *p);

/* ---- placer_demand.c ---- */

/** placer_send_demand() - send this node's demand to the holder. */
void placer_send_demand (struct placer *p);
/** placer_collect_crashes() - list crashes of servers for a digest. Returns
 * their number. */
u_int placer_collect_crashes (struct placer *p, enum quarantine_scope scope,
                              crash_digest out[CRASHES_PER_DATAGRAM]);

/* ---- placer_receive.c ---- */

/** placer_apply_holder_digest() - apply a digest received from a holder. */
void placer_apply_holder_digest (struct placer *p, struct str from,
                                 const holder_digest *digest);
/** placer_apply_entry_digest() - record the demand received from a node. */
void placer_apply_entry_digest (struct placer *p, struct str from,
                                const entry_digest *digest);

/* ---- placer_quota.c ---- */

/** placer_quota_step() - tell the listener of a new term and of the nodes.
 * Called at each tick. */
void placer_quota_step (struct placer *p);
/** placer_apply_quota_draw() - pass a draw on if this node may answer it. */
void placer_apply_quota_draw (struct placer *p, struct str from,
                              const quota_draw_digest *draw);
/** placer_apply_quota_credit() - pass a credit on unless a later holder is
 * known. */
void placer_apply_quota_credit (struct placer *p,
                                const quota_credit_digest *credit);

/* ---- placer.c ---- */

/** placer_is_active() - Returns true if this node may send orders: it holds
 * the lease, or goes on as holder while no node can reach the store. */
bool placer_is_active (const struct placer *p);
