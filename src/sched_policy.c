#include "sched_impl.h"

/* Prefix affinity with bounded load: a replica or failure domain gets at most
   LOAD_BOUND_NUM / LOAD_BOUND_DEN times the mean load. */
#define LOAD_BOUND_NUM 5
#define LOAD_BOUND_DEN 4
#define DOMAINS_MAX 16
#define PROBE_INTERVAL_MS 5000

void
estimate_add (struct estimate *e, double ms)
{
  if (e->samples == 0)
    {
      e->mean = ms;
      e->deviation = ms / 4;
    }
  else
    {
      const double diff = ms - e->mean;

      e->mean += diff / 8;
      e->deviation += ((diff < 0 ? -diff : diff) - e->deviation) / 4;
    }
  e->samples++;
}

struct capacity
capacity_of (const struct sched *s, const struct variant *variant)
{
  struct capacity c = { 0 };

  for (size_t i = 0; i < s->replica_cap; i++)
    {
      const struct sched_replica *r = &s->replicas[i];

      if (!r->used || r->leaving || !replica_has_variant (s, r, variant))
        continue;
      c.replicas++;
      c.slots += r->slots;
      c.unlimited |= r->slots == 0;
      if (replica_available (r) && replica_has_free_slot (r))
        c.free_slots += (r->in_flight_limit ? r->in_flight_limit : r->slots)
                        - r->in_flight;
    }
  return c;
}

double
load_remaining_ms (const struct sched *s, const struct variant *variant,
                   uint64_t now_ms)
{
  double left = variant->load_time.mean;

  if (variant == s->base && variant->load_time.samples == 0)
    left = s->config.load_ms;
  if (variant->load_end_ms > now_ms)
    left = (double)(variant->load_end_ms - now_ms);
  else if (variant->wakes_in_flight > 0 && left > 0)
    left -= (double)(now_ms - variant->wake_start_ms);
  return left > 0 ? left : 0;
}

static bool
real_precedes (const struct waiter *a, const struct waiter *b)
{
  if (a->priority != b->priority)
    return a->priority > b->priority;
  return a->deadline_ms < b->deadline_ms;
}

static double
service_ms (const struct sched *s)
{
  return s->total_time.samples > 0 ? s->total_time.mean : s->config.service_ms;
}

static double
queue_wait_ms (const struct sched *s, size_t ahead, const struct capacity *c)
{
  if (c->unlimited || ahead < c->free_slots || c->slots == 0)
    return 0;
  return (double)(ahead - c->free_slots + 1) * service_ms (s)
         / (double)c->slots;
}

/* Time until a request that has no replica starts: the load time, then the
   requests ahead of it on one new replica. 0 while the load time is unknown.
   A replica for an adapter may have to load the base model first. */
static double
cold_wait_ms (const struct sched *s, const struct waiter *w,
              const struct queue_position *p, uint64_t now_ms)
{
  double wait = load_remaining_ms (s, w->variant, now_ms);

  if (wait == 0)
    return 0;
  if (w->variant != s->base && p->all_replicas.replicas == 0)
    wait += load_remaining_ms (s, s->base, now_ms);
  if (s->config.slots > 0)
    wait += (double)p->ahead_same_variant * service_ms (s) / s->config.slots;
  return wait;
}

/* Returns true if a request should be admitted regardless of the estimates:
   the model is idle and has completed no request for PROBE_INTERVAL_MS. The
   estimates may be out of date, and only a completed request corrects them. */
static bool
probe_due (const struct sched *s, const struct queue_position *p,
           uint64_t now_ms)
{
  return HASH_COUNT (s->grants) == 0 && p->ahead == 0
         && now_ms - s->last_completed_ms >= PROBE_INTERVAL_MS;
}

static bool
real_misses_deadline (const struct sched *s, const struct waiter *w,
                      const struct queue_position *p, uint64_t now_ms)
{
  /* 95 % of the admitted requests should meet their deadline, so that the mean
     alone is too optimistic; two mean deviations are added to it. */
  const double run
      = s->first_byte_time.samples > 0
            ? s->first_byte_time.mean + 2 * s->first_byte_time.deviation
            : s->config.service_ms;
  const double left = (double)w->deadline_ms - (double)now_ms;
  double wait;

  if (left <= 0)
    return true;
  if (p->variant_replicas.replicas == 0)
    {
      wait = cold_wait_ms (s, w, p, now_ms);
      return wait > 0 && wait + run > left;
    }
  if (probe_due (s, p, now_ms))
    return false;
  wait = queue_wait_ms (s, p->ahead, &p->all_replicas);
  const double wait_same
      = queue_wait_ms (s, p->ahead_same_variant, &p->variant_replicas);

  return (wait_same > wait ? wait_same : wait) + run > left;
}

/* Requests in flight and number of replicas of a failure domain. */
struct domain_load
{
  struct str name;
  uint64_t in_flight;
  uint64_t replicas;
};

/* Load of the eligible replicas, in total and by failure domain. Domains
   beyond DOMAINS_MAX share the last entry. */
struct load_totals
{
  uint64_t in_flight;
  uint64_t replicas;
  struct domain_load domains[DOMAINS_MAX];
  size_t domain_count;
};

static struct domain_load *
domain_load_of (struct load_totals *totals, struct str name)
{
  for (size_t i = 0; i < totals->domain_count; i++)
    if (str_eq (totals->domains[i].name, name))
      return &totals->domains[i];
  if (totals->domain_count == DOMAINS_MAX)
    return &totals->domains[DOMAINS_MAX - 1];
  totals->domains[totals->domain_count].name = name;
  return &totals->domains[totals->domain_count++];
}

static void
load_totals_add (struct load_totals *totals, const struct sched_replica *r)
{
  struct domain_load *d = domain_load_of (totals, r->domain);

  d->in_flight += r->in_flight;
  d->replicas++;
  totals->in_flight += r->in_flight;
  totals->replicas++;
}

/* Returns true if a group of replicas with one more request stays within the
   load bound. */
static bool
within_bound (const struct load_totals *totals, uint64_t in_flight,
              uint64_t replicas)
{
  const uint64_t numerator
      = LOAD_BOUND_NUM * (totals->in_flight + 1) * replicas;
  const uint64_t denominator = LOAD_BOUND_DEN * totals->replicas;

  return in_flight + 1 <= (numerator + denominator - 1) / denominator;
}

static uint64_t
rendezvous_score (const struct sched_replica *r, uint64_t prefix)
{
  const uint64_t pair[2] = { r->target_hash, prefix };

  return str_hash ((struct str){ (const char *)pair, sizeof pair }, 0);
}

/* Returns true if replica a is less loaded than b: it has fewer requests in
   flight, or as many and its failure domain has fewer per replica. The
   rendezvous score of the prefix breaks ties. */
static bool
less_loaded (struct load_totals *totals, const struct sched_replica *a,
             const struct sched_replica *b, uint64_t prefix)
{
  const struct domain_load *da = domain_load_of (totals, a->domain);
  const struct domain_load *db = domain_load_of (totals, b->domain);

  if (a->in_flight != b->in_flight)
    return a->in_flight < b->in_flight;
  if (da->in_flight * db->replicas != db->in_flight * da->replicas)
    return da->in_flight * db->replicas < db->in_flight * da->replicas;
  return rendezvous_score (a, prefix) > rendezvous_score (b, prefix);
}

static bool
within_affinity_bounds (struct load_totals *totals,
                        const struct sched_replica *r)
{
  const struct domain_load *d = domain_load_of (totals, r->domain);

  return within_bound (totals, r->in_flight, 1)
         && within_bound (totals, d->in_flight, d->replicas);
}

static size_t
real_choose_replica (const struct sched *s, const struct waiter *w,
                     uint64_t only)
{
  const bool ignore_exclusions = exclusions_ignored (s, w);
  struct load_totals totals = { 0 };
  size_t preferred = NO_REPLICA;
  size_t least_loaded = NO_REPLICA;

  for (size_t i = 0; i < s->replica_cap; i++)
    if (replica_eligible (s, w, &s->replicas[i], ignore_exclusions))
      load_totals_add (&totals, &s->replicas[i]);
  if (totals.replicas == 0)
    return NO_REPLICA;
  for (size_t i = 0; i < s->replica_cap; i++)
    {
      const struct sched_replica *r = &s->replicas[i];

      if (!replica_eligible (s, w, r, ignore_exclusions)
          || !replica_has_free_slot (r) || (only && r->target_hash != only))
        continue;
      if (least_loaded == NO_REPLICA
          || less_loaded (&totals, r, &s->replicas[least_loaded],
                          w->prefix_hash))
        least_loaded = i;
      if (w->prefix_hash && within_affinity_bounds (&totals, r)
          && (preferred == NO_REPLICA
              || rendezvous_score (r, w->prefix_hash) > rendezvous_score (
                     &s->replicas[preferred], w->prefix_hash)))
        preferred = i;
    }
  return preferred != NO_REPLICA ? preferred : least_loaded;
}

/* Calls for more replicas once more requests wait than all replicas have
   slots. */
static size_t
real_desired_replicas (const struct sched *s, const struct variant *variant,
                       const struct capacity *have)
{
  const size_t slots_each
      = have->replicas > 0 ? have->slots / have->replicas : s->config.slots;
  const size_t current = have->replicas > 0 ? have->replicas : 1;

  if (have->unlimited || slots_each == 0
      || variant->queued <= current * slots_each)
    return current;
  const size_t wanted
      = (variant->in_flight + variant->queued + slots_each - 1) / slots_each;

  if (s->config.replicas_max && wanted > s->config.replicas_max)
    return s->config.replicas_max > current ? s->config.replicas_max : current;
  return wanted;
}

static bool
naive_precedes (const struct waiter *a, const struct waiter *b)
{
  (void)a;
  (void)b;
  return false;
}

static bool
naive_misses_deadline (const struct sched *s, const struct waiter *w,
                       const struct queue_position *p, uint64_t now_ms)
{
  (void)s;
  (void)p;
  return now_ms >= w->deadline_ms;
}

static size_t
naive_choose_replica (const struct sched *s, const struct waiter *w,
                      uint64_t only)
{
  const bool ignore_exclusions = exclusions_ignored (s, w);

  for (size_t i = 0; i < s->replica_cap; i++)
    {
      const struct sched_replica *r = &s->replicas[i];

      if (replica_eligible (s, w, r, ignore_exclusions)
          && replica_has_free_slot (r) && (!only || r->target_hash == only))
        return i;
    }
  return NO_REPLICA;
}

static size_t
naive_desired_replicas (const struct sched *s, const struct variant *variant,
                        const struct capacity *have)
{
  (void)s;
  (void)variant;
  return have->replicas > 0 ? have->replicas : 1;
}

const struct sched_policy sched_real = {
  .name = "real",
  .precedes = real_precedes,
  .misses_deadline = real_misses_deadline,
  .choose_replica = real_choose_replica,
  .desired_replicas = real_desired_replicas,
};

const struct sched_policy sched_naive = {
  .name = "naive",
  .precedes = naive_precedes,
  .misses_deadline = naive_misses_deadline,
  .choose_replica = naive_choose_replica,
  .desired_replicas = naive_desired_replicas,
};
