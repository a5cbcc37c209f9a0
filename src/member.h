#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "peer.h"
#include "str.h"

/**
 * struct member_info - a node in a view.
 * @addr: bus address.
 * @revision: revision of the configuration in force there, as last received.
 */
struct member_info
{
  struct str addr;
  uint64_t instance;
  struct str http_addr;
  struct str region;
  struct str domain;
  enum member_state state;
  uint64_t revision;
};

/**
 * struct member_view - immutable snapshot of the known nodes.
 * @version: increases whenever a member changes.
 * @self: index of this node in @members.
 * @members: all nodes that are not dead, this one included, sorted by address.
 */
struct member_view
{
  uint64_t version;
  size_t self;
  size_t count;
  const struct member_info *members;
};

/** member_live() - Returns true if the node is alive or suspect, so that it
 * can be given work. */
bool member_live (const struct member_info *m);
/** member_find() - Returns the member at an address, or NULL; @view may be
 * NULL. */
const struct member_info *member_find (const struct member_view *view,
                                       struct str addr);
/**
 * member_at_rank() - Finds the node at a rank of a key's rendezvous hashing
 * order.
 * @view: may be NULL.
 * @region: only nodes of this region are ranked; empty for all regions.
 * @rank: 0 for the first live node.
 *
 * Returns NULL if fewer live nodes are known.
 */
const struct member_info *member_at_rank (const struct member_view *view,
                                          struct str region, struct str key,
                                          size_t rank);
/**
 * member_rank_of() - Finds the rank of a node in a key's rendezvous hashing
 * order.
 * @region: only nodes of this region are ranked; empty for all regions.
 * @addr: address of the node.
 *
 * Returns SIZE_MAX if the node is not live in the view or not in the region.
 */
size_t member_rank_of (const struct member_view *view, struct str region,
                       struct str key, struct str addr);
