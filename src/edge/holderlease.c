#include "edge/holderlease.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>

#include <jansson.h>

#include "clock.h"
#include "leasestate.h"
#include "log.h"

#define LOG_MODULE "lease"
#define OBJECT_KIND "galenagate-leases"
/* Each era of the store has an object of its own. A write that was meant for
   another era, which the store may carry out late because it gives out
   revisions again, then changes no object that is in use. */
#define OBJECT_NAME "placement"
#define OBJECT_NAME_MAX 64
/* The era is the upper part of the fencing tokens, so that no token is given
   again after the store has lost the one before. */
#define ERA_SHIFT 32
/* Lifetime of the lease: lease_ms divided by this. A shorter lifetime lets a
   successor replace a dead holder sooner. */
#define TTL_DIVISOR 2
/* Safety margin at the end of the lease: lease_ms divided by this. It covers
   clocks that differ in speed and orders in flight. */
#define MARGIN_DIVISOR 12

struct holderlease
{
  struct objects *objects;
  struct leasestate *state;
  void (*changed) (void *ctx);
  void *ctx;
  uint64_t era; /* of the store, that @state is about */
  char object_name[OBJECT_NAME_MAX];
  bool logged_valid;    /* validity of the lease as last logged */
  int last_write_error; /* errno value of the last write */
};

struct holderlease *
holderlease_create (struct objects *objects, struct str self,
                    uint64_t instance, uint32_t lease_ms,
                    void (*changed) (void *ctx), void *ctx)
{
  struct holderlease *l = xcalloc (1, sizeof *l);

  l->objects = objects;
  l->state = leasestate_create (self, instance, lease_ms / TTL_DIVISOR,
                                lease_ms / MARGIN_DIVISOR);
  leasestate_set_reacquire_delay (l->state, lease_ms);
  l->changed = changed;
  l->ctx = ctx;
  snprintf (l->object_name, sizeof l->object_name, "%s", OBJECT_NAME);
  return l;
}

void
holderlease_destroy (struct holderlease *l)
{
  leasestate_destroy (l->state);
  free (l);
}

static void
log_validity_change (struct holderlease *l)
{
  const bool valid = holderlease_valid (l);

  if (valid == l->logged_valid)
    return;
  l->logged_valid = valid;
  LOG_INFO (valid ? "lease-gained" : "lease-lost",
            "fence=%lu holder=" STR_FMT " revision=%lu era=%lu",
            leasestate_fence (l->state),
            STR_ARG (leasestate_holder (l->state)),
            leasestate_version (l->state), objects_era (l->objects));
}

/* Goes over to the lease object of the store's current era. */
static void
follow_era (struct holderlease *l)
{
  const uint64_t era = objects_era (l->objects);

  if (era == l->era)
    return;
  l->era = era;
  snprintf (l->object_name, sizeof l->object_name, "%s-%lu", OBJECT_NAME, era);
  leasestate_begin_era (l->state, clock_ms (), era << ERA_SHIFT);
}

static void
on_store_answer (struct holderlease *l)
{
  log_validity_change (l);
  l->changed (l->ctx);
  holderlease_step (l);
}

static int
decode (const struct object *o, struct lease_record *out)
{
  char *text = json_dumps (o->spec, JSON_COMPACT | JSON_ENCODE_ANY);
  const int rc = lease_record_decode (str_from (text), out);

  free (text);
  return rc;
}

static void
on_read (void *ctx, struct err err, const struct object *o)
{
  struct holderlease *l = ctx;
  struct lease_record r = { 0 };
  int code = err.code;

  follow_era (l);
  if (code == 0)
    code = decode (o, &r);
  if (code == -EBADMSG)
    LOG_ERR ("lease-unreadable", "name=%s", l->object_name);
  leasestate_read_done (l->state, clock_ms (), code, o ? o->revision : 0, &r);
  str_free (&r.holder);
  on_store_answer (l);
}

static void
on_written (void *ctx, struct err err, const struct object *o)
{
  struct holderlease *l = ctx;

  /* Logs a persistent error once, not for each attempt. */
  if (err.code != 0 && err.code != l->last_write_error)
    LOG_INFO ("lease-write-failed", LOG_E_FMT, LOG_E_ARG (err));
  l->last_write_error = err.code;
  follow_era (l);
  /* An answer of an earlier era doesn't tell what this one's store has done.
   */
  leasestate_write_done (l->state, clock_ms (),
                         err.code == -ESTALE ? -EINPROGRESS : err.code,
                         o ? o->revision : 0);
  on_store_answer (l);
}

void
holderlease_step (struct holderlease *l)
{
  struct lease_record r;

  follow_era (l);
  log_validity_change (l);
  switch (leasestate_next (l->state, clock_ms (), &r))
    {
    case LEASE_STEP_NONE:
      return;
    case LEASE_STEP_READ:
      objects_read (l->objects, OBJECT_KIND, l->object_name, on_read, l);
      return;
    case LEASE_STEP_WRITE:
      break;
    }
  struct str json = lease_record_encode (&r);
  objects_write (l->objects, OBJECT_KIND, l->object_name,
                 leasestate_version (l->state), json, on_written, l);
  str_free (&json);
}

void
holderlease_set_candidate (struct holderlease *l, bool candidate)
{
  leasestate_set_candidate (l->state, candidate);
}

void
holderlease_hint (struct holderlease *l, uint64_t fence, uint64_t era,
                  uint64_t revision)
{
  leasestate_report_fence (l->state, fence);
  if (era == l->era)
    leasestate_report_version (l->state, clock_ms (), revision);
}

uint64_t
holderlease_revision (const struct holderlease *l)
{
  /* The revision is still that of an earlier era. */
  if (l->era != objects_era (l->objects))
    return 0;
  return leasestate_version (l->state);
}

void
holderlease_release (struct holderlease *l)
{
  leasestate_release (l->state);
  holderlease_step (l);
}

bool
holderlease_released (const struct holderlease *l)
{
  return leasestate_released (l->state);
}

bool
holderlease_valid (const struct holderlease *l)
{
  return leasestate_valid (l->state, clock_ms ());
}

bool
holderlease_may_order (const struct holderlease *l)
{
  return leasestate_reacquire_delay_over (l->state, clock_ms ());
}

void
holderlease_set_delay (struct holderlease *l, uint32_t delay_ms)
{
  leasestate_set_takeover_delay (l->state, delay_ms);
}

void
holderlease_set_node_count (struct holderlease *l, uint32_t nodes)
{
  leasestate_set_node_count (l->state, nodes);
}

uint32_t
holderlease_nodes (const struct holderlease *l)
{
  return leasestate_node_count (l->state);
}

uint64_t
holderlease_fence (const struct holderlease *l)
{
  return leasestate_fence (l->state);
}

struct str
holderlease_holder (const struct holderlease *l)
{
  return leasestate_holder (l->state);
}
