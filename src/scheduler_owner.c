#include "scheduler_impl.h"

#include "settings.h"

struct sched_key
sched_key_make (const struct scheduler *s, struct str service,
                struct str model)
{
  const struct lists *lists = kernel_latest (s->kernel, TOPIC_LISTS);
  const struct service *service_spec
      = lists ? lists_service (lists, service) : NULL;

  return (struct sched_key){
    .region = service_spec ? service_spec->region : (struct str){ 0 },
    .key = model.len > 0 ? str_printf ("model/" STR_FMT, STR_ARG (model))
                         : str_printf ("service/" STR_FMT, STR_ARG (service)),
  };
}

static bool
is_self (const struct scheduler *s, const struct member_info *m)
{
  return str_eq (m->addr, kernel_settings (s->kernel)->bus_addr);
}

/* Returns this node while it drains, unless it is outside of the key's region.
   Used when no other node is left. */
static const struct member_info *
self_while_draining (const struct scheduler *s, const struct member_view *view,
                     const struct sched_key *key)
{
  const struct member_info *self = view ? &view->members[view->self] : NULL;

  if (!s->draining || !self
      || (key->region.len > 0 && !str_eq (key->region, self->region)))
    return NULL;
  return self;
}

const struct member_info *
scheduler_owner (const struct scheduler *s, const struct sched_key *key)
{
  const struct member_view *view = kernel_latest (s->kernel, TOPIC_MEMBERS);
  const struct member_info *first = NULL;

  for (size_t rank = 0;; rank++)
    {
      const struct member_info *m
          = member_at_rank (view, key->region, key->key, rank);

      if (!m)
        return first ? first : self_while_draining (s, view, key);
      if (s->draining && is_self (s, m))
        continue;
      if (m->state == MEMBER_ALIVE)
        return m;
      if (!first)
        first = m;
    }
}

/* A node schedules the key if it is the first of the rendezvous order, or if
   all nodes before it are suspected. Two nodes may do so for a short time;
   waiting until the suspicion is confirmed or refuted would miss more
   deadlines. A draining node continues as long as there is no successor. */
bool
scheduler_owns (const struct scheduler *s, const struct sched_key *key)
{
  const struct member_view *view = kernel_latest (s->kernel, TOPIC_MEMBERS);

  if (s->draining)
    {
      const struct member_info *owner = scheduler_owner (s, key);

      return owner && is_self (s, owner);
    }
  for (size_t rank = 0;; rank++)
    {
      const struct member_info *m
          = member_at_rank (view, key->region, key->key, rank);

      if (!m)
        return false;
      if (is_self (s, m))
        return true;
      if (m->state != MEMBER_SUSPECT)
        return false;
    }
}
