#include "edge/quotaowner.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "edge/duequeue.h"
#include "err.h"
#include "tokenbucket.h"

/* Idle time after which a full bucket is dropped. */
#define BUCKET_IDLE_MS 60000
/* Age after which the answer to a draw is forgotten. A repeat arrives within
   the 120 ms that a node waits for the answer. */
#define RECORD_TTL_MS 10000
/* Ahead units are given only from the part of the burst above this share, so
   that they never take units that a waiting call needs. */
#define AHEAD_RESERVE 0.5

/**
 * struct owner_bucket - a tenant's bucket.
 * @bucket: in the owner's refill time, not in steady time.
 */
struct owner_bucket
{
  uint64_t tenant_hash;
  struct quota_spec spec;
  struct tokenbucket bucket;
  struct due_item expiry;
  UT_hash_handle hh;
};

/** struct draw_record - the last answer to a node's process for a tenant. */
struct draw_record
{
  struct quota_credit credit;
  struct owner_node *node;
  struct due_item expiry;
  UT_hash_handle hh;
};

/** struct owner_node - a process of a node; dropped with its last record.
 * @key: instance, then name. */
struct owner_node
{
  char *key;
  size_t key_len;
  struct draw_record *records; /* by tenant_hash */
  UT_hash_handle hh;
};

/**
 * struct quotaowner - buckets and records.
 * @refill_ms: time by which the buckets refill; slower than the steady time
 *   while nodes use their fallback. A rate that changes for all tenants thus
 *   needs no walk over the buckets.
 * @pace: ms of @refill_ms per ms of steady time.
 */
struct quotaowner
{
  struct owner_bucket *buckets;
  struct owner_node *nodes;
  struct due_queue bucket_expiries;
  struct due_queue record_expiries;
  uint64_t last_ordinal;
  uint64_t advanced_ms;
  double refill_ms;
  double pace;
  size_t record_count;
};

/* Pace while all nodes use their fallback. */
#define PACE_MIN (1 - QUOTA_FALLBACK_SHARE)

static void
advance (struct quotaowner *o, uint64_t now_ms)
{
  if (now_ms <= o->advanced_ms)
    return;
  const uint64_t passed_ms = now_ms - o->advanced_ms;
  const uint64_t alive_ms
      = passed_ms < QUOTA_OWNER_GAP_MS ? passed_ms : QUOTA_OWNER_GAP_MS;

  o->refill_ms += (double)alive_ms * o->pace;
  /* The nodes got no answer in the rest of the time, so all used their
     fallback. */
  o->refill_ms += (double)(passed_ms - alive_ms) * PACE_MIN;
  o->advanced_ms = now_ms;
}

double
quota_burst (const struct quota_spec *s)
{
  return s->burst < 1 ? 1 : s->burst;
}

uint32_t
quota_retry_after_ms (double wait_ms)
{
  if (wait_ms <= QUOTA_RETRY_MIN_MS)
    return QUOTA_RETRY_MIN_MS;
  return wait_ms < QUOTA_RETRY_MAX_MS ? (uint32_t)ceil (wait_ms)
                                      : QUOTA_RETRY_MAX_MS;
}

struct quotaowner *
quotaowner_create (uint64_t now_ms)
{
  struct quotaowner *o = xcalloc (1, sizeof *o);

  o->advanced_ms = now_ms;
  o->pace = 1;
  return o;
}

static void
free_bucket (struct quotaowner *o, struct owner_bucket *b)
{
  due_clear (&o->bucket_expiries, &b->expiry);
  HASH_DEL (o->buckets, b);
  free (b);
}

static void
free_record (struct quotaowner *o, struct draw_record *r)
{
  struct owner_node *n = r->node;

  due_clear (&o->record_expiries, &r->expiry);
  HASH_DEL (n->records, r);
  free (r);
  o->record_count--;
  if (n->records)
    return;
  HASH_DEL (o->nodes, n);
  free (n->key);
  free (n);
}

void
quotaowner_destroy (struct quotaowner *o)
{
  struct owner_bucket *b;
  struct owner_bucket *next;
  struct due_item *d;

  if (!o)
    return;
  HASH_ITER (hh, o->buckets, b, next) { free_bucket (o, b); }
  while ((d = due_first (&o->record_expiries, UINT64_MAX)))
    free_record (o, d->owner);
  free (o);
}

void
quotaowner_set_nodes (struct quotaowner *o, uint32_t nodes, uint32_t reached,
                      uint64_t now_ms)
{
  advance (o, now_ms);
  o->pace = 1;
  if (reached < nodes)
    o->pace -= QUOTA_FALLBACK_SHARE * (nodes - reached) / nodes;
}

/* ---- records of draws ---- */

static struct owner_node *
get_node (struct quotaowner *o, struct str name, uint64_t instance)
{
  const size_t len = sizeof instance + name.len;
  char *key = xmalloc (len);
  struct owner_node *n;

  memcpy (key, &instance, sizeof instance);
  if (name.len > 0)
    memcpy (key + sizeof instance, name.data, name.len);
  HASH_FIND (hh, o->nodes, key, len, n);
  if (n)
    {
      free (key);
      return n;
    }
  n = xcalloc (1, sizeof *n);
  n->key = key;
  n->key_len = len;
  HASH_ADD_KEYPTR (hh, o->nodes, n->key, n->key_len, n);
  return n;
}

static struct draw_record *
get_record (struct quotaowner *o, struct owner_node *n, uint64_t tenant_hash)
{
  struct draw_record *r;

  HASH_FIND (hh, n->records, &tenant_hash, sizeof tenant_hash, r);
  if (r)
    return r;
  r = xcalloc (1, sizeof *r);
  r->credit.tenant_hash = tenant_hash;
  r->node = n;
  r->expiry.owner = r;
  r->expiry.ordinal = ++o->last_ordinal;
  HASH_ADD (hh, n->records, credit.tenant_hash, sizeof tenant_hash, r);
  o->record_count++;
  return r;
}

/* ---- buckets ---- */

static void
refill (const struct quotaowner *o, struct owner_bucket *b)
{
  tokenbucket_refill (&b->bucket, b->spec.rate_per_s, quota_burst (&b->spec),
                      (uint64_t)o->refill_ms);
}

/* Returns the tenant's bucket, refilled. A new one holds what the rate gave
   since the owner was created. */
static struct owner_bucket *
get_bucket (struct quotaowner *o, uint64_t tenant_hash,
            const struct quota_spec *spec)
{
  struct owner_bucket *b;

  HASH_FIND (hh, o->buckets, &tenant_hash, sizeof tenant_hash, b);
  if (!b)
    {
      b = xcalloc (1, sizeof *b);
      b->tenant_hash = tenant_hash;
      b->spec = *spec;
      b->expiry.owner = b;
      b->expiry.ordinal = ++o->last_ordinal;
      HASH_ADD (hh, o->buckets, tenant_hash, sizeof tenant_hash, b);
    }
  refill (o, b);
  b->spec = *spec;
  refill (o, b);
  return b;
}

/* Returns the units of what is wanted now that the bucket can give. */
static uint32_t
units_now (const struct owner_bucket *b, const struct quota_draw *d)
{
  const double burst = quota_burst (&b->spec);
  const uint32_t step
      = d->step == 0 || d->step > d->wanted_now ? d->wanted_now : d->step;

  if (step == 0 || tokenbucket_holds (&b->bucket, d->wanted_now))
    return d->wanted_now;
  if (tokenbucket_holds (&b->bucket, step))
    return (uint32_t)floor (tokenbucket_units (&b->bucket) / step) * step;
  /* A bucket never holds a call that costs more than the burst. It passes when
     the bucket is full, and leaves a debt. */
  if (step > burst && tokenbucket_holds (&b->bucket, burst))
    return step;
  return 0;
}

static uint32_t
units_ahead (const struct owner_bucket *b, const struct quota_draw *d)
{
  const double spare = tokenbucket_units (&b->bucket)
                       - AHEAD_RESERVE * quota_burst (&b->spec);

  if (spare < 1)
    return 0;
  return spare < d->wanted_ahead ? (uint32_t)spare : d->wanted_ahead;
}

static uint32_t
retry_after (const struct quotaowner *o, const struct owner_bucket *b,
             uint32_t rest)
{
  const uint64_t refill_ms = (uint64_t)o->refill_ms;
  const uint64_t wait_ms
      = tokenbucket_wait_ms (&b->bucket, b->spec.rate_per_s, rest, refill_ms);
  const double steady_ms = (double)wait_ms / o->pace;

  return quota_retry_after_ms (steady_ms);
}

static void
give (const struct quotaowner *o, struct owner_bucket *b,
      const struct quota_draw *d, struct quota_credit *out)
{
  const uint32_t now = units_now (b, d);

  tokenbucket_charge (&b->bucket, now);
  out->given = now;
  if (now < d->wanted_now)
    {
      out->retry_after_ms = retry_after (o, b, d->wanted_now - now);
      return;
    }
  uint32_t ahead = units_ahead (b, d);
  if (ahead > UINT32_MAX - now)
    ahead = UINT32_MAX - now;
  tokenbucket_charge (&b->bucket, ahead);
  out->given += ahead;
}

void
quotaowner_draw (struct quotaowner *o, struct str node, uint64_t instance,
                 const struct quota_spec *spec, const struct quota_draw *d,
                 uint64_t now_ms, struct quota_credit *out)
{
  advance (o, now_ms);
  *out = (struct quota_credit){ .tenant_hash = d->tenant_hash,
                                .number = d->number };
  struct owner_node *n = get_node (o, node, instance);
  struct draw_record *r = get_record (o, n, d->tenant_hash);
  due_set (&o->record_expiries, &r->expiry, now_ms + RECORD_TTL_MS);
  if (d->number < r->credit.number)
    {
      out->retry_after_ms = d->wanted_now > 0 ? QUOTA_RETRY_MIN_MS : 0;
      return;
    }
  if (d->number > r->credit.number)
    {
      struct owner_bucket *b = get_bucket (o, d->tenant_hash, spec);

      give (o, b, d, out);
      due_set (&o->bucket_expiries, &b->expiry, now_ms + BUCKET_IDLE_MS);
      r->credit = *out;
    }
  *out = r->credit;
}

void
quotaowner_tick (struct quotaowner *o, uint64_t now_ms)
{
  struct due_item *d;

  advance (o, now_ms);
  while ((d = due_first (&o->record_expiries, now_ms)))
    free_record (o, d->owner);
  while ((d = due_first (&o->bucket_expiries, now_ms)))
    {
      struct owner_bucket *b = d->owner;

      refill (o, b);
      /* One that is not full holds less than a new one would. */
      if (tokenbucket_holds (&b->bucket, quota_burst (&b->spec)))
        free_bucket (o, b);
      else
        due_set (&o->bucket_expiries, d, now_ms + BUCKET_IDLE_MS);
    }
}

size_t
quotaowner_bucket_count (const struct quotaowner *o)
{
  return HASH_COUNT (o->buckets);
}

size_t
quotaowner_record_count (const struct quotaowner *o)
{
  return o->record_count;
}
