#include "sched_impl.h"

/* Bounded load of prefix affinity: a replica or failure domain takes at most
   this multiple of the mean. */
#define BOUND_NUM 5
#define BOUND_DEN 4
#define DOMAINS_MAX 16
#define PROBE_MS 5000

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
capacity_of (const struct sched *s, const struct need *need)
{
  struct capacity c = { 0 };

  for (size_t i = 0; i < s->replica_cap; i++)
    {
      const struct replica_slot *r = &s->replicas[i];

      if (!r->used || r->leaving || !replica_has (s, r, need))
        continue;
      c.replicas++;
      c.slots += r->slots;
      c.unlimited |= r->slots == 0;
      if (replica_open (r) && replica_free (r))
        c.free += (r->limit ? r->limit : r->slots) - r->in_flight;
    }
  return c;
}

double
load_left_ms (const struct sched *s, const struct need *need, uint64_t now_ms)
{
  double left = need->load.mean;

  if (need == s->model && need->load.samples == 0)
    left = s->config.load_ms;
  if (need->eta_ms > now_ms)
    left = (double)(need->eta_ms - now_ms);
  else if (need->waking > 0 && left > 0)
    left -= (double)(now_ms - need->wake_start_ms);
  return left > 0 ? left : 0;
}

static bool
real_before (const struct waiter *a, const struct waiter *b)
{
  if (a->priority != b->priority)
    return a->priority > b->priority;
  return a->deadline_ms < b->deadline_ms;
}

static double
service_ms (const struct sched *s)
{
  return s->total.samples > 0 ? s->total.mean : s->config.service_ms;
}

static double
wait_ms (const struct sched *s, size_t ahead, const struct capacity *c)
{
  if (c->unlimited || ahead < c->free || c->slots == 0)
    return 0;
  return (double)(ahead - c->free + 1) * service_ms (s) / (double)c->slots;
}

/* Time until a request without a replica starts: the load, then the requests
   before it on one new replica. 0 while the load time is unknown. */
static double
cold_wait_ms (const struct sched *s, const struct waiter *w,
              const struct place *p, uint64_t now_ms)
{
  double wait = load_left_ms (s, w->need, now_ms);

  if (wait == 0)
    return 0;
  if (w->need != s->model && p->all.replicas == 0)
    wait += load_left_ms (s, s->model, now_ms);
  if (s->config.slots > 0)
    wait += (double)p->ahead_same * service_ms (s) / s->config.slots;
  return wait;
}

/* A model that was not measured for a while is tried when it is idle: its
   estimates may be out of date, and only a run corrects them. */
static bool
probe_due (const struct sched *s, const struct place *p, uint64_t now_ms)
{
  return HASH_COUNT (s->grants) == 0 && p->ahead == 0
         && now_ms - s->sampled_ms >= PROBE_MS;
}

static bool
real_hopeless (const struct sched *s, const struct waiter *w,
               const struct place *p, uint64_t now_ms)
{
  /* Two mean deviations above the mean: of the work that is admitted, 95 in
     100 shall meet the deadline, so the mean alone is too hopeful. */
  const double run = s->first_byte.samples > 0
                         ? s->first_byte.mean + 2 * s->first_byte.deviation
                         : s->config.service_ms;
  const double left = (double)w->deadline_ms - (double)now_ms;
  double wait;

  if (left <= 0)
    return true;
  if (p->same.replicas == 0)
    {
      wait = cold_wait_ms (s, w, p, now_ms);
      return wait > 0 && wait + run > left;
    }
  if (probe_due (s, p, now_ms))
    return false;
  wait = wait_ms (s, p->ahead, &p->all);
  const double wait_same = wait_ms (s, p->ahead_same, &p->same);

  return (wait_same > wait ? wait_same : wait) + run > left;
}

/* In-flight requests and replicas by failure domain. */
struct domain_load
{
  struct str name;
  uint64_t in_flight;
  uint64_t replicas;
};

struct loads
{
  uint64_t in_flight;
  uint64_t replicas;
  struct domain_load domains[DOMAINS_MAX];
  size_t domain_count;
};

static struct domain_load *
domain_of (struct loads *l, struct str name)
{
  for (size_t i = 0; i < l->domain_count; i++)
    if (str_eq (l->domains[i].name, name))
      return &l->domains[i];
  if (l->domain_count == DOMAINS_MAX)
    return &l->domains[DOMAINS_MAX - 1];
  l->domains[l->domain_count].name = name;
  return &l->domains[l->domain_count++];
}

static void
loads_add (struct loads *l, const struct replica_slot *r)
{
  struct domain_load *d = domain_of (l, r->domain);

  d->in_flight += r->in_flight;
  d->replicas++;
  l->in_flight += r->in_flight;
  l->replicas++;
}

/* Would one more request keep part/whole within the bound of the mean. */
static bool
within_bound (const struct loads *l, uint64_t in_flight, uint64_t replicas)
{
  const uint64_t top = BOUND_NUM * (l->in_flight + 1) * replicas;
  const uint64_t bottom = BOUND_DEN * l->replicas;

  return in_flight + 1 <= (top + bottom - 1) / bottom;
}

static uint64_t
score (const struct replica_slot *r, uint64_t prefix)
{
  const uint64_t pair[2] = { r->hash, prefix };

  return str_hash ((struct str){ (const char *)pair, sizeof pair }, 0);
}

/* Is a the better choice by load: emptier, then in the emptier domain. */
static bool
emptier (struct loads *l, const struct replica_slot *a,
         const struct replica_slot *b, uint64_t prefix)
{
  const struct domain_load *da = domain_of (l, a->domain);
  const struct domain_load *db = domain_of (l, b->domain);

  if (a->in_flight != b->in_flight)
    return a->in_flight < b->in_flight;
  if (da->in_flight * db->replicas != db->in_flight * da->replicas)
    return da->in_flight * db->replicas < db->in_flight * da->replicas;
  return score (a, prefix) > score (b, prefix);
}

static bool
affine (struct loads *l, const struct replica_slot *r)
{
  const struct domain_load *d = domain_of (l, r->domain);

  return within_bound (l, r->in_flight, 1)
         && within_bound (l, d->in_flight, d->replicas);
}

static size_t
real_choose (const struct sched *s, const struct waiter *w, uint64_t only)
{
  const bool soft = exclusions_void (s, w);
  struct loads l = { 0 };
  size_t best = NO_REPLICA;
  size_t emptiest = NO_REPLICA;

  for (size_t i = 0; i < s->replica_cap; i++)
    if (replica_eligible (s, w, &s->replicas[i], soft))
      loads_add (&l, &s->replicas[i]);
  if (l.replicas == 0)
    return NO_REPLICA;
  for (size_t i = 0; i < s->replica_cap; i++)
    {
      const struct replica_slot *r = &s->replicas[i];

      if (!replica_eligible (s, w, r, soft) || !replica_free (r)
          || (only && r->hash != only))
        continue;
      if (emptiest == NO_REPLICA
          || emptier (&l, r, &s->replicas[emptiest], w->prefix_hash))
        emptiest = i;
      if (w->prefix_hash && affine (&l, r)
          && (best == NO_REPLICA
              || score (r, w->prefix_hash)
                     > score (&s->replicas[best], w->prefix_hash)))
        best = i;
    }
  return best != NO_REPLICA ? best : emptiest;
}

/* More replicas once the queue is longer than a full round of all slots. */
static size_t
real_replicas (const struct sched *s, const struct need *need,
               const struct capacity *have)
{
  const size_t each
      = have->replicas > 0 ? have->slots / have->replicas : s->config.slots;
  const size_t least = have->replicas > 0 ? have->replicas : 1;

  if (have->unlimited || each == 0 || need->queued <= least * each)
    return least;
  const size_t wanted = (need->in_flight + need->queued + each - 1) / each;

  if (s->config.replicas_max && wanted > s->config.replicas_max)
    return s->config.replicas_max > least ? s->config.replicas_max : least;
  return wanted;
}

static bool
naive_before (const struct waiter *a, const struct waiter *b)
{
  (void)a;
  (void)b;
  return false;
}

static bool
naive_hopeless (const struct sched *s, const struct waiter *w,
                const struct place *p, uint64_t now_ms)
{
  (void)s;
  (void)p;
  return now_ms >= w->deadline_ms;
}

static size_t
naive_choose (const struct sched *s, const struct waiter *w, uint64_t only)
{
  const bool soft = exclusions_void (s, w);

  for (size_t i = 0; i < s->replica_cap; i++)
    {
      const struct replica_slot *r = &s->replicas[i];

      if (replica_eligible (s, w, r, soft) && replica_free (r)
          && (!only || r->hash == only))
        return i;
    }
  return NO_REPLICA;
}

static size_t
naive_replicas (const struct sched *s, const struct need *need,
                const struct capacity *have)
{
  (void)s;
  (void)need;
  return have->replicas > 0 ? have->replicas : 1;
}

const struct sched_policy sched_real = {
  .name = "real",
  .before = real_before,
  .hopeless = real_hopeless,
  .choose = real_choose,
  .replicas = real_replicas,
};

const struct sched_policy sched_naive = {
  .name = "naive",
  .before = naive_before,
  .hopeless = naive_hopeless,
  .choose = naive_choose,
  .replicas = naive_replicas,
};
