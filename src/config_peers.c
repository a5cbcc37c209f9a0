#include "config_impl.h"

#include <stdlib.h>

#include "err.h"
#include "random.h"
#include "settings.h"

/* Nodes of a domain fetch along a tree in the order of their ranks, so that
   an edit costs no node more than a few uploads. */
#define TREE_CHILDREN 4

static const struct member_view *
view_of (const struct config *c)
{
  return kernel_latest (c->kernel, TOPIC_MEMBERS);
}

struct str
config_self (const struct config *c)
{
  return kernel_settings (c->kernel)->bus_addr;
}

/* Nodes of this node's domain, as a view. Free the members. */
static struct member_view
domain_view (const struct config *c)
{
  const struct settings *s = kernel_settings (c->kernel);
  const struct member_view *all = view_of (c);
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
config_domain_place (const struct config *c, struct str *parent)
{
  const struct settings *s = kernel_settings (c->kernel);
  struct member_view v = domain_view (c);
  struct str key = str_printf ("relay/" STR_FMT, STR_ARG (s->domain));
  size_t place = member_place (&v, STR (""), key, s->bus_addr);

  *parent = (struct str){ 0 };
  if (place == SIZE_MAX)
    place = 0;
  if (place >= CONFIG_RELAYS)
    *parent = member_rank (&v, STR (""), key,
                           (place - CONFIG_RELAYS) / TREE_CHILDREN)
                  ->addr;
  str_free (&key);
  free ((void *)v.members);
  return place;
}

bool
config_is_relay (const struct config *c)
{
  struct str parent;

  return config_domain_place (c, &parent) < CONFIG_RELAYS;
}

const struct member_info *
config_random_peer (struct config *c, uint64_t revision)
{
  const struct member_view *v = view_of (c);
  const struct member_info *pick = NULL;
  uint64_t seen = 0;

  for (size_t i = 0; v && i < v->count; i++)
    {
      const struct member_info *m = &v->members[i];

      if (!member_live (m) || m->revision < revision
          || str_eq (m->addr, config_self (c)))
        continue;
      if (random_next (&c->random) % ++seen == 0)
        pick = m;
    }
  return pick;
}
