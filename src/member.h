#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "peer.h"
#include "str.h"

/** struct member_info - one node in a view. */
struct member_info
{
  struct str addr; /* bus address */
  uint64_t instance;
  struct str http_addr;
  struct str region;
  struct str domain;
  enum member_state state;
  uint64_t revision; /* configuration in force there, as last heard */
};

/**
 * struct member_view - immutable snapshot of the known nodes, this one
 * included, sorted by address; dead ones are left out.
 */
struct member_view
{
  uint64_t version;
  size_t self;
  size_t count;
  const struct member_info *members;
};

/** member_live() - can the node take work: alive or suspect, not leaving. */
bool member_live (const struct member_info *m);
const struct member_info *member_find (const struct member_view *view,
                                       struct str addr);
/**
 * member_rank() - node at a place of a key's rendezvous order.
 * @region: restricts to a region; empty means all.
 * @place: 0 is the first live node.
 *
 * Returns NULL when fewer live nodes are known.
 */
const struct member_info *member_rank (const struct member_view *view,
                                       struct str region, struct str key,
                                       size_t place);
/**
 * member_place() - place of a node in a key's rendezvous order.
 *
 * Returns SIZE_MAX when the node is not live in the view.
 */
size_t member_place (const struct member_view *view, struct str region,
                     struct str key, struct str addr);
