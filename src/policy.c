#include "policy.h"

#include <math.h>
#include <stdlib.h>

#include <uthash.h>

#include "err.h"

/* Idle times are counted in buckets whose bounds grow by the square root of
   two, from 1 s to about 18 h. */
#define BUCKETS 33
#define BUCKET_FIRST_MS 1000.0
/* Counts are halved at this sum, so that the distribution follows changes. */
#define SAMPLES_MAX 64.0
/* A distribution says nothing before it has this many samples. */
#define SAMPLES_KEEP 4.0
#define SAMPLES_PREWARM 8.0
/* Milliseconds of an idle accelerator that are worth one of cold start. */
#define WEIGHT_COLD_START 120.0
#define WEIGHT_IDLE_HOURS 20.0
/* A shorter stay would load and unload in turn under a steady trickle. */
#define KEEP_MIN_MS 10000.0
/* Load time that is assumed when none is known, per byte (1 GB/s) and least.
 */
#define LOAD_MS_PER_BYTE 1e-6
#define LOAD_MIN_MS 5
/* A copy in memory or on disk is faster than the weight store by these. */
#define MEMORY_SPEEDUP 10
#define DISK_SPEEDUP 3
/* Time to unload a replica that is idle. */
#define UNLOAD_MS 300
/* Use within this time counts when a replica to evict is chosen. */
#define EVICT_HORIZON_MS 60000.0
/* A model is not staged again within this time, so that one whose load fails
   does not keep the others from being staged. */
#define STAGE_RETRY_MS 600000
/* Surplus replicas go after the peak of this long ago. */
#define PEAK_WINDOW_MS 30000

struct model_state
{
  struct str name;
  double counts[BUCKETS];
  double total;
  uint64_t idle_since_ms;
  bool busy;
  bool known;
  uint32_t slots;
  uint32_t load_ms;
  uint32_t peak[2]; /* highest use in this window and the one before */
  uint64_t window_ms;
  uint64_t stage_ms; /* not staged before */
  UT_hash_handle hh;
};

struct smart
{
  struct policy base;
  double weight;
  struct model_state *models;
};

uint32_t
policy_load_ms (const struct policy_want *want, enum cache_place cache)
{
  double ms = want->load_ms > 0 ? want->load_ms
                                : (double)want->bytes * LOAD_MS_PER_BYTE;

  if (cache == CACHE_MEMORY)
    ms /= MEMORY_SPEEDUP;
  if (cache == CACHE_DISK)
    ms /= DISK_SPEEDUP;
  return ms < LOAD_MIN_MS ? LOAD_MIN_MS : (uint32_t)ms;
}

static struct str
state_name (const struct replica_key *key)
{
  return str_printf (STR_FMT "/" STR_FMT, STR_ARG (key->model),
                     STR_ARG (key->adapter));
}

static struct model_state *
find (const struct smart *p, const struct replica_key *key)
{
  struct str name = state_name (key);
  struct model_state *m;

  HASH_FIND (hh, p->models, name.data, name.len, m);
  str_free (&name);
  return m;
}

static struct model_state *
find_or_add (struct smart *p, const struct replica_key *key, uint64_t now)
{
  struct model_state *m = find (p, key);

  if (m)
    return m;
  m = xcalloc (1, sizeof *m);
  m->name = state_name (key);
  m->idle_since_ms = now;
  m->window_ms = now;
  HASH_ADD_KEYPTR (hh, p->models, m->name.data, m->name.len, m);
  return m;
}

/* Upper bound of a bucket. */
static double
bound (size_t bucket)
{
  return BUCKET_FIRST_MS * pow (2, (double)bucket / 2);
}

static size_t
bucket_of (double ms)
{
  size_t i = 0;

  while (i + 1 < BUCKETS && ms > bound (i))
    i++;
  return i;
}

static void
record_idle (struct model_state *m, double ms)
{
  if (ms < BUCKET_FIRST_MS)
    return;
  m->counts[bucket_of (ms)]++;
  m->total++;
  if (m->total < SAMPLES_MAX)
    return;
  m->total = 0;
  for (size_t i = 0; i < BUCKETS; i++)
    m->total += m->counts[i] /= 2;
}

static void
record_peak (struct model_state *m, uint32_t use, uint64_t now)
{
  if (now >= m->window_ms + PEAK_WINDOW_MS)
    {
      m->peak[1]
          = now >= m->window_ms + 2ULL * PEAK_WINDOW_MS ? 0 : m->peak[0];
      m->peak[0] = 0;
      m->window_ms = now;
    }
  if (use > m->peak[0])
    m->peak[0] = use;
}

static void
used (struct policy *policy, const struct policy_use *use, uint64_t now)
{
  struct smart *p = (struct smart *)policy;
  struct model_state *m = find_or_add (p, &use->key, now);
  const bool busy = use->in_flight > 0 || use->queued > 0;

  m->slots = use->slots;
  m->load_ms = use->load_ms;
  record_peak (m, use->in_flight + use->queued, now);
  if ((busy || use->requests > 0) && !m->busy && m->known)
    record_idle (m, (double)(now - m->idle_since_ms));
  if (busy || use->requests > 0 || m->busy)
    {
      m->idle_since_ms = now;
      m->known = true;
    }
  else if (!m->known && use->idle_ms > 0)
    {
      /* A new owner of placement goes on with the idle time so far. */
      m->idle_since_ms = now > use->idle_ms ? now - use->idle_ms : 0;
      m->known = true;
    }
  m->busy = busy;
}

static double
cold_cost (const struct smart *p, const struct model_state *m)
{
  return p->weight * (m->load_ms > 0 ? m->load_ms : 1000);
}

/* Idle time after which the model goes: the one that would have cost least
   over the past idle times. */
static double
keep_ms (const struct smart *p, const struct model_state *m)
{
  const double cold = cold_cost (p, m);
  double best = INFINITY;
  double keep = cold;
  double waited = 0;
  double returned = 0;

  /* With an unknown distribution, staying as long as a cold start costs is at
     most twice as dear as the best choice. */
  if (m->total < SAMPLES_KEEP)
    return cold > KEEP_MIN_MS ? cold : KEEP_MIN_MS;
  for (size_t i = 0; i < BUCKETS; i++)
    {
      const double away = m->total - returned;
      const double cost
          = waited + away * (i > 0 ? bound (i - 1) : 0) + away * cold;

      if (cost < best)
        {
          best = cost;
          keep = i > 0 ? bound (i - 1) : 0;
        }
      waited += m->counts[i] * bound (i);
      returned += m->counts[i];
    }
  if (waited < best)
    keep = bound (BUCKETS - 1);
  return keep > KEEP_MIN_MS ? keep : KEEP_MIN_MS;
}

/* Probability that the idle time ends within @ahead, as it has lasted. */
static double
chance (const struct model_state *m, double idle, double ahead)
{
  double rest = 0;
  double hit = 0;

  for (size_t i = 0; i < BUCKETS; i++)
    {
      const double low = i > 0 ? bound (i - 1) : 0;
      const double high = bound (i);

      if (high <= idle || m->counts[i] == 0)
        continue;
      const double from = idle > low ? idle : low;
      const double to = idle + ahead < high ? idle + ahead : high;
      const double density = m->counts[i] / (high - low);

      rest += density * (high - from);
      if (to > from)
        hit += density * (to - from);
    }
  return rest > 0 ? hit / rest : 0;
}

/* Is the end of the idle time so likely soon that a load ahead of it costs
   less than the cold start? */
static bool
prewarm (const struct smart *p, const struct model_state *m, double idle)
{
  if (m->total < SAMPLES_PREWARM)
    return false;
  const double soon = idle + m->load_ms;
  const double ahead = bound (bucket_of (soon)) - soon;
  return ahead > 0 && chance (m, soon, ahead) * cold_cost (p, m) > ahead;
}

static uint32_t
needed (const struct model_state *m, uint32_t loaded, uint64_t now)
{
  uint32_t peak = m->peak[0] > m->peak[1] ? m->peak[0] : m->peak[1];

  if (now >= m->window_ms + 2ULL * PEAK_WINDOW_MS)
    peak = 0;
  const uint32_t slots = m->slots > 0 ? m->slots : 1;
  uint32_t n = (peak + slots - 1) / slots;

  if (n == 0)
    n = 1;
  return n < loaded ? n : loaded;
}

static uint32_t
want (struct policy *policy, const struct replica_key *key, uint32_t loaded,
      uint64_t now, const char **reason)
{
  struct smart *p = (struct smart *)policy;
  const struct model_state *m = find_or_add (p, key, now);
  const double idle = (double)(now - m->idle_since_ms);
  const uint32_t some = loaded > 0 ? needed (m, loaded, now) : 0;

  *reason = "surplus";
  if (m->busy || (loaded > 0 && idle < keep_ms (p, m)))
    return some;
  if (prewarm (p, m, idle))
    {
      *reason = "pre-warm";
      return some > 0 ? some : 1;
    }
  *reason = "idle";
  return 0;
}

/* Expected cost of the cold start that an eviction causes. */
static double
evict_cost (const struct smart *p, const struct policy_replica *r,
            uint64_t now)
{
  const struct model_state *m = find (p, &r->key);
  const struct policy_want w = { .bytes = r->bytes, .load_ms = r->load_ms };
  const double load = policy_load_ms (&w, CACHE_DISK);

  if (!m)
    return 0;
  const double idle = (double)(now - m->idle_since_ms);
  /* Without samples, recent use is taken to mean use soon. */
  const double p_use = m->total < SAMPLES_KEEP
                           ? EVICT_HORIZON_MS / (EVICT_HORIZON_MS + idle)
                           : chance (m, idle, EVICT_HORIZON_MS);
  return p_use * load + load * 0.01 / (1 + idle / EVICT_HORIZON_MS);
}

/* Adds the cheapest replicas of a server until the load fits. */
static bool
choose_evictions (const struct smart *p, const struct policy_view *view,
                  const struct policy_want *w, size_t server, uint64_t now,
                  struct policy_choice *c, double *cost)
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
          bool chosen = r->server != server || r->pinned || r->bytes == 0;

          for (size_t j = 0; j < c->evict_count; j++)
            chosen |= c->evict[j] == i;
          if (chosen)
            continue;
          const double each = evict_cost (p, r, now) / (double)r->bytes;
          if (each < best_cost)
            {
              best_cost = each;
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
holds_in_domain (const struct policy_view *view, struct str domain)
{
  size_t n = 0;

  for (size_t i = 0; i < view->server_count; i++)
    n += view->servers[i].holds && str_eq (view->servers[i].domain, domain);
  return n;
}

static bool
choose (struct policy *policy, const struct policy_view *view,
        const struct policy_want *w, uint64_t now, struct policy_choice *out)
{
  static const char *const reasons[]
      = { "cached-in-memory", "cached-on-disk", "remote" };
  const struct smart *p = (struct smart *)policy;
  double best = INFINITY;
  uint64_t best_free = 0;

  for (size_t i = 0; i < view->server_count; i++)
    {
      const struct policy_server *s = &view->servers[i];
      struct policy_choice c = { .server = i, .reason = reasons[s->cache] };
      const uint64_t free_bytes = s->memory_bytes > s->used_bytes
                                      ? s->memory_bytes - s->used_bytes
                                      : 0;

      if (!s->usable || s->holds || w->bytes > s->memory_bytes)
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
      cost *= 1 + 0.25 * (double)holds_in_domain (view, s->domain);
      if (cost > best || (cost == best && free_bytes <= best_free))
        continue;
      best = cost;
      best_free = free_bytes;
      *out = c;
    }
  return best < INFINITY;
}

static bool
before (const struct policy_want *a, const struct policy_want *b)
{
  if (a->priority != b->priority)
    return a->priority > b->priority;
  if (a->deadline_ms != b->deadline_ms)
    return a->deadline_ms < b->deadline_ms;
  return a->asked_ms < b->asked_ms;
}

/* The model with the fewest copies goes first, then the one whose load takes
   longest. */
static enum policy_step
stage (struct policy *policy, const struct policy_stage *models, size_t count,
       size_t server_count, const struct policy_demand *demand, uint64_t now,
       size_t *model, size_t *server)
{
  struct smart *p = (struct smart *)policy;
  size_t fewest = SIZE_MAX;

  if (demand->staged)
    return STAGE_UNLOAD;
  if (!policy_stage_quiet (demand, now))
    return STAGE_NOTHING;
  for (size_t i = 0; i < count; i++)
    {
      const struct policy_want *w = &models[i].want;
      const struct model_state *m = find (p, &w->key);
      size_t copies;
      size_t at;

      if ((m && now < m->stage_ms)
          || !policy_stage_server (models, count, server_count, i, &at,
                                   &copies))
        continue;
      if (copies > fewest
          || (copies == fewest && w->load_ms <= models[*model].want.load_ms))
        continue;
      fewest = copies;
      *model = i;
      *server = at;
    }
  if (fewest == SIZE_MAX)
    return STAGE_NOTHING;
  find_or_add (p, &models[*model].want.key, now)->stage_ms
      = now + STAGE_RETRY_MS;
  return STAGE_LOAD;
}

static void
destroy (struct policy *policy)
{
  struct smart *p = (struct smart *)policy;
  struct model_state *m;
  struct model_state *next;

  HASH_ITER (hh, p->models, m, next)
  {
    HASH_DEL (p->models, m);
    str_free (&m->name);
    free (m);
  }
  free (p);
}

static const struct policy_ops smart_ops = {
  .name = "distribution",
  .used = used,
  .choose = choose,
  .want = want,
  .before = before,
  .stage = stage,
  .destroy = destroy,
};

struct policy *
policy_create (enum preference preference)
{
  struct smart *p = xcalloc (1, sizeof *p);

  p->base.ops = &smart_ops;
  p->weight = preference == PREFER_IDLE_HOURS ? WEIGHT_IDLE_HOURS
                                              : WEIGHT_COLD_START;
  return &p->base;
}
