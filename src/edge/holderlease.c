#include "edge/holderlease.h"

#include <errno.h>
#include <stdlib.h>

#include <jansson.h>

#include "clock.h"
#include "leasestate.h"
#include "log.h"

#define LOG_MODULE "lease"
#define KIND "galenagate-leases"
#define NAME "placement"
/* A holder that dies is followed sooner by a shorter lease. */
#define TTL_DIVISOR 2
/* Part of the lease that its holder does not use, against clocks that differ
   in speed and orders that are on their way. */
#define MARGIN_DIVISOR 12

struct holderlease
{
  struct objects *objects;
  struct leasestate *state;
  void (*changed) (void *ctx);
  void *ctx;
  bool held;       /* as last logged */
  int write_error; /* of the last write */
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
  leasestate_space_turns (l->state, lease_ms);
  l->changed = changed;
  l->ctx = ctx;
  return l;
}

void
holderlease_destroy (struct holderlease *l)
{
  leasestate_destroy (l->state);
  free (l);
}

static void
log_change (struct holderlease *l)
{
  const bool held = holderlease_valid (l);

  if (held == l->held)
    return;
  l->held = held;
  LOG_INFO (held ? "lease-gained" : "lease-lost", "fence=%lu holder=" STR_FMT,
            leasestate_fence (l->state),
            STR_ARG (leasestate_holder (l->state)));
}

static void
after_answer (struct holderlease *l)
{
  log_change (l);
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

  if (code == 0)
    code = decode (o, &r);
  if (code == -EBADMSG)
    LOG_ERR ("lease-unreadable", "name=%s", NAME);
  leasestate_read_done (l->state, clock_ms (), code, o ? o->revision : 0, &r);
  str_free (&r.holder);
  after_answer (l);
}

static void
on_written (void *ctx, struct err err, const struct object *o)
{
  struct holderlease *l = ctx;

  /* One line for each outage, not for each try. */
  if (err.code != 0 && err.code != l->write_error)
    LOG_INFO ("lease-write-failed", LOG_E_FMT, LOG_E_ARG (err));
  l->write_error = err.code;
  leasestate_write_done (l->state, clock_ms (), err.code, o ? o->revision : 0);
  after_answer (l);
}

void
holderlease_step (struct holderlease *l)
{
  struct lease_record r;

  log_change (l);
  switch (leasestate_next (l->state, clock_ms (), &r))
    {
    case LEASE_STEP_NONE:
      return;
    case LEASE_STEP_READ:
      objects_read (l->objects, KIND, NAME, on_read, l);
      return;
    case LEASE_STEP_WRITE:
      break;
    }
  struct str json = lease_record_encode (&r);
  objects_write (l->objects, KIND, NAME, leasestate_version (l->state), json,
                 on_written, l);
  str_free (&json);
}

void
holderlease_campaign (struct holderlease *l, bool campaign)
{
  leasestate_candidate (l->state, campaign);
}

void
holderlease_hint (struct holderlease *l, uint64_t revision)
{
  leasestate_hint (l->state, clock_ms (), revision);
}

uint64_t
holderlease_revision (const struct holderlease *l)
{
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
holderlease_in_turn (const struct holderlease *l)
{
  return leasestate_in_turn (l->state, clock_ms ());
}

void
holderlease_set_delay (struct holderlease *l, uint32_t delay_ms)
{
  leasestate_set_delay (l->state, delay_ms);
}

void
holderlease_note_nodes (struct holderlease *l, uint32_t nodes)
{
  leasestate_note_nodes (l->state, nodes);
}

uint32_t
holderlease_nodes (const struct holderlease *l)
{
  return leasestate_nodes (l->state);
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
