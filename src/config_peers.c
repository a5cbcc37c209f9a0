#include "config_impl.h"

#include <stdlib.h>

#include "err.h"
#include "random.h"
#include "settings.h"

/* The nodes of a domain fetch along a tree ordered by rank, so that no node
   uploads an edit to more than a few others. */
#define TREE_CHILDREN 4

static const struct member_view *
latest_members (const struct config *c)
{
  return kernel_latest (c->kernel, TOPIC_MEMBERS);
}

struct str
config_own_addr (const struct config *c)
{
  return kernel_settings (c->kernel)->bus_addr;
}

/* Returns a view with only the members of this node's domain. The caller frees
   the array of members. */
static struct member_view
domain_members (const struct config *c)
{
  const struct settings *s = kernel_settings (c->kernel);
  const struct member_view *all = latest_members (c);
  struct member_view v = { 0 };

  if (!all)
    return v;
  struct member_info *members = xcalloc (all->count + 1, sizeof *members);
  for (size_t i = 0; i < all->count; i++)
    if (str_eq (all->members[i].domain, s->domain)
        && str_eq (all->members[i].region, s->region))
      members[v.count++] = all->members[i];
  v.members = members;
  return v;
}

size_t
config_domain_rank (const struct config *c, struct str *parent)
{
  const struct settings *s = kernel_settings (c->kernel);
  struct member_view v = domain_members (c);
  struct str key = str_printf ("relay/" STR_FMT, STR_ARG (s->domain));
  size_t rank = member_rank_of (&v, STR (""), key, s->bus_addr);

  *parent = (struct str){ 0 };
  if (rank == SIZE_MAX)
    rank = 0;
  if (rank >= CONFIG_RELAYS_PER_DOMAIN)
    *parent
        = member_at_rank (&v, STR (""), key,
                          (rank - CONFIG_RELAYS_PER_DOMAIN) / TREE_CHILDREN)
              ->addr;
  str_free (&key);
  free ((void *)v.members);
  return rank;
}

bool
config_is_relay (const struct config *c)
{
  struct str parent;

  return config_domain_rank (c, &parent) < CONFIG_RELAYS_PER_DOMAIN;
}

const struct member_info *
config_random_peer (struct config *c, uint64_t revision)
{
  const struct member_view *v = latest_members (c);
  const struct member_info *pick = NULL;
  uint64_t candidates = 0;

  for (size_t i = 0; v && i < v->count; i++)
    {
      const struct member_info *m = &v->members[i];

      if (!member_live (m) || m->revision < revision
          || str_eq (m->addr, config_own_addr (c)))
        continue;
      if (random_next (&c->random_state) % ++candidates == 0)
        pick = m;
    }
  return pick;
}
