#include "policy.h"

#include <stdlib.h>

#include <uthash.h>

#include "err.h"

struct last_use
{
  struct str key_name;
  uint64_t last_used_ms;
  UT_hash_handle hh;
};

struct naive_policy
{
  struct policy base;
  uint64_t idle_timeout_ms;
  struct last_use *uses;
};

static struct last_use *
find_or_add_use (struct naive_policy *p, const struct replica_key *key,
                 uint64_t now)
{
  struct str name = str_printf (STR_FMT "/" STR_FMT, STR_ARG (key->model),
                                STR_ARG (key->adapter));
  struct last_use *u;

  HASH_FIND (hh, p->uses, name.data, name.len, u);
  if (u)
    {
      str_free (&name);
      return u;
    }
  u = xcalloc (1, sizeof *u);
  u->key_name = name;
  u->last_used_ms = now;
  HASH_ADD_KEYPTR (hh, p->uses, u->key_name.data, u->key_name.len, u);
  return u;
}

static void
record_usage (struct policy *policy, const struct policy_usage *use,
              uint64_t now)
{
  struct last_use *u
      = find_or_add_use ((struct naive_policy *)policy, &use->key, now);

  if (use->in_flight > 0 || use->queued > 0 || use->requests > 0)
    u->last_used_ms = now;
}

static uint32_t
replica_goal (struct policy *policy, const struct replica_key *key,
              uint32_t loaded, uint64_t now, const char **reason)
{
  struct naive_policy *p = (struct naive_policy *)policy;
  const struct last_use *u = find_or_add_use (p, key, now);

  *reason = "idle-timeout";
  return now - u->last_used_ms < p->idle_timeout_ms ? loaded : 0;
}

static bool
choose_least_recently_used (struct naive_policy *p,
                            const struct policy_view *view,
                            const struct policy_load_request *w, uint64_t now,
                            struct policy_choice *c)
{
  const struct policy_server *s = &view->servers[c->server];
  uint64_t used_bytes = s->used_bytes;

  while (used_bytes + w->bytes > s->memory_bytes)
    {
      size_t oldest = view->replica_count;
      uint64_t oldest_ms = UINT64_MAX;

      for (size_t i = 0; i < view->replica_count; i++)
        {
          const struct policy_replica *r = &view->replicas[i];
          bool skip = r->server != c->server || r->pinned;

          for (size_t j = 0; j < c->evict_count; j++)
            skip |= c->evict[j] == i;
          if (skip)
            continue;
          const uint64_t at = find_or_add_use (p, &r->key, now)->last_used_ms;
          if (at < oldest_ms)
            {
              oldest_ms = at;
              oldest = i;
            }
        }
      if (oldest == view->replica_count || c->evict_count == POLICY_EVICT_MAX)
        return false;
      c->evict[c->evict_count++] = oldest;
      used_bytes -= view->replicas[oldest].bytes;
    }
  return true;
}

static bool
choose_server (struct policy *policy, const struct policy_view *view,
               const struct policy_load_request *w, uint64_t now,
               struct policy_choice *out)
{
  struct naive_policy *p = (struct naive_policy *)policy;

  for (int evict = 0; evict < 2; evict++)
    for (size_t i = 0; i < view->server_count; i++)
      {
        const struct policy_server *s = &view->servers[i];

        if (!s->usable || s->replica_present || w->bytes > s->memory_bytes)
          continue;
        *out = (struct policy_choice){
          .server = i,
          .estimate_ms = policy_load_ms (w, s->cache),
          .reason = evict ? "least-recently-used" : "first-free",
        };
        if (s->used_bytes + w->bytes <= s->memory_bytes
            || (evict && choose_least_recently_used (p, view, w, now, out)))
          return true;
      }
  return false;
}

static bool
load_goes_before (const struct policy_load_request *a,
                  const struct policy_load_request *b)
{
  return a->requested_ms < b->requested_ms;
}

static enum policy_stage_action
next_stage_action (struct policy *policy,
                   const struct policy_stage_candidate *models, size_t count,
                   size_t server_count, const struct policy_demand *demand,
                   uint64_t now, size_t *model, size_t *server)
{
  (void)policy;
  (void)models;
  (void)count;
  (void)server_count;
  (void)demand;
  (void)now;
  (void)model;
  (void)server;
  return STAGE_NOTHING;
}

static void
destroy (struct policy *policy)
{
  struct naive_policy *p = (struct naive_policy *)policy;
  struct last_use *u;
  struct last_use *next;

  HASH_ITER (hh, p->uses, u, next)
  {
    HASH_DEL (p->uses, u);
    str_free (&u->key_name);
    free (u);
  }
  free (p);
}

static const struct policy_ops naive_ops = {
  .name = "naive",
  .add_usage_report = record_usage,
  .choose = choose_server,
  .desired_replicas = replica_goal,
  .load_before = load_goes_before,
  .stage_action = next_stage_action,
  .destroy = destroy,
};

struct policy *
policy_create_naive (uint64_t idle_timeout_ms)
{
  struct naive_policy *p = xcalloc (1, sizeof *p);

  p->base.ops = &naive_ops;
  p->idle_timeout_ms = idle_timeout_ms;
  return &p->base;
}
