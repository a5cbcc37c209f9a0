#include "policy.h"

#include <math.h>
#include <stdlib.h>

#include <uthash.h>

#include "err.h"

/* Histogram of idle times. The upper bounds of its buckets grow by the square
   root of two, from 1 s to about 18 h. */
#define IDLE_BUCKETS 33
#define IDLE_BUCKET_FIRST_MS 1000.0
/* The counts are halved when their sum reaches this value, so that the
   distribution follows changes in the traffic. */
#define IDLE_SAMPLES_MAX 64.0
/* The distribution is ignored until it has this many samples. */
#define KEEP_ALIVE_SAMPLES_MIN 4.0
#define PREWARM_SAMPLES_MIN 8.0
/* Cost of 1 ms of cold start, in ms of accelerator idle time, for services
   that prefer short cold starts and for those that prefer few idle hours. */
#define COLD_START_COST_HIGH 120.0
#define COLD_START_COST_LOW 20.0
/* With a shorter keep-alive, a steady trickle of requests would load and
   unload a model over and over. */
#define KEEP_ALIVE_MIN_MS 10000.0
/* Load time assumed when no estimate is known (1 GB/s), and the lower bound of
   all load times. */
#define LOAD_MS_PER_BYTE 1e-6
#define LOAD_MIN_MS 5
/* Speed-up of a load from memory or disk over one from the weight store. */
#define MEMORY_SPEEDUP 10
#define DISK_SPEEDUP 3
/* Time to unload a replica that is idle. */
#define UNLOAD_MS 300
/* Only a use expected within this time counts towards the cost of an
   eviction. */
#define EVICT_HORIZON_MS 60000.0
/* Minimum time between two staging loads of the same model, so that a model
   whose load keeps failing does not block the staging of the others. */
#define STAGE_RETRY_MS 600000
/* Length of a window for peak use. Replicas are surplus when the peaks of the
   current and the previous window do not need them. */
#define PEAK_WINDOW_MS 30000

struct model_state
{
  struct str key_name;
  double idle_counts[IDLE_BUCKETS];
  double idle_total;
  uint64_t idle_since_ms;
  bool busy;
  bool idle_since_known;
  uint32_t slots;
  uint32_t load_ms;
  uint32_t peak[2]; /* highest use in the current and the previous window */
  uint64_t window_start_ms;
  uint64_t stage_after_ms; /* earliest time of the next staging load */
  UT_hash_handle hh;
};

struct distribution_policy
{
  struct policy base;
  double cost_per_cold_ms;
  struct model_state *models;
};

uint32_t
policy_load_ms (const struct policy_load_request *request,
                enum cache_place cache)
{
  double ms = request->load_ms > 0 ? request->load_ms
                                   : (double)request->bytes * LOAD_MS_PER_BYTE;

  if (cache == CACHE_MEMORY)
    ms /= MEMORY_SPEEDUP;
  if (cache == CACHE_DISK)
    ms /= DISK_SPEEDUP;
  return ms < LOAD_MIN_MS ? LOAD_MIN_MS : (uint32_t)ms;
}

static struct str
key_name_of (const struct replica_key *key)
{
  return str_printf (STR_FMT "/" STR_FMT, STR_ARG (key->model),
                     STR_ARG (key->adapter));
}

static struct model_state *
find_model (const struct distribution_policy *p, const struct replica_key *key)
{
  struct str name = key_name_of (key);
  struct model_state *m;

  HASH_FIND (hh, p->models, name.data, name.len, m);
  str_free (&name);
  return m;
}

static struct model_state *
find_or_add_model (struct distribution_policy *p,
                   const struct replica_key *key, uint64_t now)
{
  struct model_state *m = find_model (p, key);

  if (m)
    return m;
  m = xcalloc (1, sizeof *m);
  m->key_name = key_name_of (key);
  m->idle_since_ms = now;
  m->window_start_ms = now;
  HASH_ADD_KEYPTR (hh, p->models, m->key_name.data, m->key_name.len, m);
  return m;
}

static double
bucket_upper_ms (size_t bucket)
{
  return IDLE_BUCKET_FIRST_MS * pow (2, (double)bucket / 2);
}

static size_t
bucket_of (double ms)
{
  size_t i = 0;

  while (i + 1 < IDLE_BUCKETS && ms > bucket_upper_ms (i))
    i++;
  return i;
}

static void
record_idle (struct model_state *m, double ms)
{
  if (ms < IDLE_BUCKET_FIRST_MS)
    return;
  m->idle_counts[bucket_of (ms)]++;
  m->idle_total++;
  if (m->idle_total < IDLE_SAMPLES_MAX)
    return;
  m->idle_total = 0;
  for (size_t i = 0; i < IDLE_BUCKETS; i++)
    m->idle_total += m->idle_counts[i] /= 2;
}

static void
record_peak (struct model_state *m, uint32_t use, uint64_t now)
{
  if (now >= m->window_start_ms + PEAK_WINDOW_MS)
    {
      m->peak[1]
          = now >= m->window_start_ms + 2ULL * PEAK_WINDOW_MS ? 0 : m->peak[0];
      m->peak[0] = 0;
      m->window_start_ms = now;
    }
  if (use > m->peak[0])
    m->peak[0] = use;
}

static void
record_usage (struct policy *policy, const struct policy_usage *use,
              uint64_t now)
{
  struct distribution_policy *p = (struct distribution_policy *)policy;
  struct model_state *m = find_or_add_model (p, &use->key, now);
  const bool busy = use->in_flight > 0 || use->queued > 0;

  m->slots = use->slots;
  m->load_ms = use->load_ms;
  record_peak (m, use->in_flight + use->queued, now);
  if ((busy || use->requests > 0) && !m->busy && m->idle_since_known)
    record_idle (m, (double)(now - m->idle_since_ms));
  if (busy || use->requests > 0 || m->busy)
    {
      m->idle_since_ms = now;
      m->idle_since_known = true;
    }
  else if (!m->idle_since_known && use->idle_ms > 0)
    {
      /* A new owner of placement continues with the idle time of the
         report. */
      m->idle_since_ms = now > use->idle_ms ? now - use->idle_ms : 0;
      m->idle_since_known = true;
    }
  m->busy = busy;
}

static double
cold_start_cost (const struct distribution_policy *p,
                 const struct model_state *m)
{
  return p->cost_per_cold_ms * (m->load_ms > 0 ? m->load_ms : 1000);
}

/* Returns the idle time after which the model is unloaded: the keep-alive that
   would have cost least over the recorded idle times. */
static double
keep_alive_ms (const struct distribution_policy *p,
               const struct model_state *m)
{
  const double cold = cold_start_cost (p, m);
  double best = INFINITY;
  double keep = cold;
  double idle_cost = 0;
  double ended = 0;

  /* With an unknown distribution, keeping the model loaded for as long as a
     cold start costs is at most twice as expensive as the best choice. */
  if (m->idle_total < KEEP_ALIVE_SAMPLES_MIN)
    return cold > KEEP_ALIVE_MIN_MS ? cold : KEEP_ALIVE_MIN_MS;
  for (size_t i = 0; i < IDLE_BUCKETS; i++)
    {
      const double still_idle = m->idle_total - ended;
      const double cost = idle_cost
                          + still_idle * (i > 0 ? bucket_upper_ms (i - 1) : 0)
                          + still_idle * cold;

      if (cost < best)
        {
          best = cost;
          keep = i > 0 ? bucket_upper_ms (i - 1) : 0;
        }
      idle_cost += m->idle_counts[i] * bucket_upper_ms (i);
      ended += m->idle_counts[i];
    }
  if (idle_cost < best)
    keep = bucket_upper_ms (IDLE_BUCKETS - 1);
  return keep > KEEP_ALIVE_MIN_MS ? keep : KEEP_ALIVE_MIN_MS;
}

/* Returns the probability that the model is used within @ahead, given that it
   has been idle for @idle (both in ms). */
static double
use_probability (const struct model_state *m, double idle, double ahead)
{
  double total = 0;
  double hit = 0;

  for (size_t i = 0; i < IDLE_BUCKETS; i++)
    {
      const double low = i > 0 ? bucket_upper_ms (i - 1) : 0;
      const double high = bucket_upper_ms (i);

      if (high <= idle || m->idle_counts[i] == 0)
        continue;
      const double from = idle > low ? idle : low;
      const double to = idle + ahead < high ? idle + ahead : high;
      const double density = m->idle_counts[i] / (high - low);

      total += density * (high - from);
      if (to > from)
        hit += density * (to - from);
    }
  return total > 0 ? hit / total : 0;
}

/* Returns true if the model is likely to be used so soon that a load ahead of
   demand costs less than the expected cold start. */
static bool
should_prewarm (const struct distribution_policy *p,
                const struct model_state *m, double idle)
{
  if (m->idle_total < PREWARM_SAMPLES_MIN)
    return false;
  const double soon = idle + m->load_ms;
  const double ahead = bucket_upper_ms (bucket_of (soon)) - soon;
  return ahead > 0
         && use_probability (m, soon, ahead) * cold_start_cost (p, m) > ahead;
}

static uint32_t
needed_replicas (const struct model_state *m, uint32_t loaded, uint64_t now)
{
  uint32_t peak = m->peak[0] > m->peak[1] ? m->peak[0] : m->peak[1];

  if (now >= m->window_start_ms + 2ULL * PEAK_WINDOW_MS)
    peak = 0;
  const uint32_t slots = m->slots > 0 ? m->slots : 1;
  uint32_t n = (peak + slots - 1) / slots;

  if (n == 0)
    n = 1;
  return n < loaded ? n : loaded;
}

static uint32_t
replica_goal (struct policy *policy, const struct replica_key *key,
              uint32_t loaded, uint64_t now, const char **reason)
{
  struct distribution_policy *p = (struct distribution_policy *)policy;
  const struct model_state *m = find_or_add_model (p, key, now);
  const double idle = (double)(now - m->idle_since_ms);
  const uint32_t needed_now
      = loaded > 0 ? needed_replicas (m, loaded, now) : 0;

  *reason = "surplus";
  if (m->busy || (loaded > 0 && idle < keep_alive_ms (p, m)))
    return needed_now;
  if (should_prewarm (p, m, idle))
    {
      *reason = "pre-warm";
      return needed_now > 0 ? needed_now : 1;
    }
  *reason = "idle";
  return 0;
}

/* Returns the expected cost of the cold start that an eviction causes, in ms
   of load time. */
static double
eviction_cost (const struct distribution_policy *p,
               const struct policy_replica *r, uint64_t now)
{
  const struct model_state *m = find_model (p, &r->key);
  const struct policy_load_request w
      = { .bytes = r->bytes, .load_ms = r->load_ms };
  const double load = policy_load_ms (&w, CACHE_DISK);

  if (!m)
    return 0;
  const double idle = (double)(now - m->idle_since_ms);
  /* With too few samples, the more recent the last use, the more likely the
     next one is assumed to be. */
  const double probability = m->idle_total < KEEP_ALIVE_SAMPLES_MIN
                                 ? EVICT_HORIZON_MS / (EVICT_HORIZON_MS + idle)
                                 : use_probability (m, idle, EVICT_HORIZON_MS);
  return probability * load + load * 0.01 / (1 + idle / EVICT_HORIZON_MS);
}

/* Adds the replicas of @server with the lowest eviction cost per byte to @c
   until the load fits, and their costs to @cost. Returns false if too few
   replicas can be evicted. */
static bool
choose_evictions (const struct distribution_policy *p,
                  const struct policy_view *view,
                  const struct policy_load_request *w, size_t server,
                  uint64_t now, struct policy_choice *c, double *cost)
{
  const struct policy_server *s = &view->servers[server];
  uint64_t used_bytes = s->used_bytes;

  while (used_bytes + w->bytes > s->memory_bytes)
    {
      size_t best = view->replica_count;
      double best_cost = INFINITY;

      for (size_t i = 0; i < view->replica_count; i++)
        {
          const struct policy_replica *r = &view->replicas[i];
          bool skip = r->server != server || r->pinned || r->bytes == 0;

          for (size_t j = 0; j < c->evict_count; j++)
            skip |= c->evict[j] == i;
          if (skip)
            continue;
          const double cost_per_byte
              = eviction_cost (p, r, now) / (double)r->bytes;
          if (cost_per_byte < best_cost)
            {
              best_cost = cost_per_byte;
              best = i;
            }
        }
      if (best == view->replica_count || c->evict_count == POLICY_EVICT_MAX)
        return false;
      c->evict[c->evict_count++] = best;
      used_bytes -= view->replicas[best].bytes;
      *cost += best_cost * (double)view->replicas[best].bytes;
    }
  return true;
}

static size_t
replicas_in_domain (const struct policy_view *view, struct str domain)
{
  size_t n = 0;

  for (size_t i = 0; i < view->server_count; i++)
    n += view->servers[i].replica_present
         && str_eq (view->servers[i].domain, domain);
  return n;
}

static bool
choose_server (struct policy *policy, const struct policy_view *view,
               const struct policy_load_request *w, uint64_t now,
               struct policy_choice *out)
{
  static const char *const reason_by_cache[]
      = { "cached-in-memory", "cached-on-disk", "remote" };
  const struct distribution_policy *p = (struct distribution_policy *)policy;
  double best = INFINITY;
  uint64_t best_free = 0;

  for (size_t i = 0; i < view->server_count; i++)
    {
      const struct policy_server *s = &view->servers[i];
      struct policy_choice c
          = { .server = i, .reason = reason_by_cache[s->cache] };
      const uint64_t free_bytes = s->memory_bytes > s->used_bytes
                                      ? s->memory_bytes - s->used_bytes
                                      : 0;

      if (!s->usable || s->replica_present || w->bytes > s->memory_bytes)
        continue;
      c.estimate_ms = policy_load_ms (w, s->cache);
      double cost = c.estimate_ms;
      if (!choose_evictions (p, view, w, i, now, &c, &cost))
        continue;
      if (c.evict_count > 0)
        {
          cost += UNLOAD_MS;
          c.estimate_ms += UNLOAD_MS;
        }
      /* A second replica in the same failure domain is lost with the first;
         a somewhat slower load elsewhere is worth avoiding that. */
      cost *= 1 + 0.25 * (double)replicas_in_domain (view, s->domain);
      if (cost > best || (cost == best && free_bytes <= best_free))
        continue;
      best = cost;
      best_free = free_bytes;
      *out = c;
    }
  return best < INFINITY;
}

static bool
load_goes_before (const struct policy_load_request *a,
                  const struct policy_load_request *b)
{
  if (a->priority != b->priority)
    return a->priority > b->priority;
  if (a->deadline_ms != b->deadline_ms)
    return a->deadline_ms < b->deadline_ms;
  return a->requested_ms < b->requested_ms;
}

/* Stages the model with copies in the fewest failure domains first, and among
   those the one with the longest load time. */
static enum policy_stage_action
next_stage_action (struct policy *policy,
                   const struct policy_stage_candidate *models, size_t count,
                   size_t server_count, const struct policy_demand *demand,
                   uint64_t now, size_t *model, size_t *server)
{
  struct distribution_policy *p = (struct distribution_policy *)policy;
  size_t fewest = SIZE_MAX;

  if (demand->staging_done)
    return STAGE_UNLOAD;
  if (!policy_stage_allowed (demand, now))
    return STAGE_NOTHING;
  for (size_t i = 0; i < count; i++)
    {
      const struct policy_load_request *w = &models[i].load_request;
      const struct model_state *m = find_model (p, &w->key);
      size_t copies;
      size_t at;

      if ((m && now < m->stage_after_ms)
          || !policy_stage_server (models, count, server_count, i, &at,
                                   &copies))
        continue;
      if (copies > fewest
          || (copies == fewest
              && w->load_ms <= models[*model].load_request.load_ms))
        continue;
      fewest = copies;
      *model = i;
      *server = at;
    }
  if (fewest == SIZE_MAX)
    return STAGE_NOTHING;
  find_or_add_model (p, &models[*model].load_request.key, now)->stage_after_ms
      = now + STAGE_RETRY_MS;
  return STAGE_LOAD;
}

static void
destroy (struct policy *policy)
{
  struct distribution_policy *p = (struct distribution_policy *)policy;
  struct model_state *m;
  struct model_state *next;

  HASH_ITER (hh, p->models, m, next)
  {
    HASH_DEL (p->models, m);
    str_free (&m->key_name);
    free (m);
  }
  free (p);
}

static const struct policy_ops distribution_ops = {
  .name = "distribution",
  .add_usage_report = record_usage,
  .choose = choose_server,
  .desired_replicas = replica_goal,
  .load_before = load_goes_before,
  .stage_action = next_stage_action,
  .destroy = destroy,
};

struct policy *
policy_create (enum preference preference)
{
  struct distribution_policy *p = xcalloc (1, sizeof *p);

  p->base.ops = &distribution_ops;
  p->cost_per_cold_ms = preference == PREFER_IDLE_HOURS ? COLD_START_COST_LOW
                                                        : COLD_START_COST_HIGH;
  return &p->base;
}
