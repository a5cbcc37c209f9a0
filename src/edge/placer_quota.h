#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "edge/digest.h"
#include "edge/placer.h"
#include "str.h"

/* Datagrams about the tenants' quotas: draws of the nodes, and the placement
   holder's credits. A holder's own draws and credits for them are passed on in
   memory. */

/**
 * struct placer_quota_nodes - what the placer knows of the nodes.
 * @count: as placer_node_count(); 0 when it is not known.
 * @reached: nodes that reach this one, itself included; 0 unless this node
 *   may answer draws.
 * @holder_known: draws can be sent to a holder.
 */
struct placer_quota_nodes
{
  uint32_t count;
  uint32_t reached;
  bool holder_known;
};

/**
 * struct placer_quota_listener - callbacks.
 * @term: this node became the holder with a new fence.
 * @tick: called every 50 ms.
 * @draw: a node draws; called only while this node may answer it.
 * @credit: the holder answered a draw; its fence is the highest one known.
 */
struct placer_quota_listener
{
  void (*term) (void *ctx);
  void (*tick) (void *ctx, const struct placer_quota_nodes *nodes);
  void (*draw) (void *ctx, struct str from, const quota_draw_digest *draw);
  void (*credit) (void *ctx, const quota_credit_digest *credit);
};

/** placer_quota_listen() - set the only listener, before the kernel runs.
 * @listener must outlive the placer. */
void placer_quota_listen (struct placer *placer,
                          const struct placer_quota_listener *listener,
                          void *ctx);
/** placer_quota_draw() - send a draw to the holder, if one is known. Sets the
 * node and the instance. */
void placer_quota_draw (struct placer *placer, quota_draw_digest *draw);
/** placer_quota_credit() - send a credit to the node at @to, which drew. Sets
 * the fence. */
void placer_quota_credit (struct placer *placer, struct str to,
                          quota_credit_digest *credit);
