#include "scheduler_impl.h"

#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "clock.h"
#include "err.h"
#include "xdrcodec.h"

#define CALL_MS 5000
/* A scheduler that was paused for longer than this has lost its place anyway,
   and its grants end by themselves. */
#define KEEP_MS 60000
#define AGAIN_MS 1000
#define RELEASES_MAX 8192

/* A release that is lost would keep a slot occupied for minutes: a scheduler
   may be paused, be taken for dead, and come back with its grants. So releases
   are sent until the scheduler that granted has answered. */

/** struct release - an attempt whose end the granting scheduler must learn.
 * @granter: address of that scheduler.
 * @again_ms: when to send it again; 0 while a call is in flight.
 */
struct release
{
  struct scheduler *scheduler;
  struct release_args *args;
  struct str granter;
  uint64_t until_ms;
  uint64_t again_ms;
  struct release *prev;
  struct release *next;
};

static void
release_free (struct release *r)
{
  struct scheduler *s = r->scheduler;

  DL_DELETE (s->releases, r);
  s->release_count--;
  xdr_free ((xdrproc_t)xdr_release_args, r->args);
  free (r->args);
  str_free (&r->granter);
  free (r);
}

static void
on_released (void *ctx, int err, struct str hint, const void *result)
{
  struct release *r = ctx;
  const uint64_t now_ms = clock_ms ();

  (void)hint;
  (void)result;
  if (err == 0 || now_ms >= r->until_ms || r->scheduler->stopped)
    release_free (r);
  else
    r->again_ms = now_ms + AGAIN_MS;
}

/* Sends it if the granting scheduler is known to live; returns whether it
   is. */
static bool
send_release (struct release *r)
{
  struct scheduler *s = r->scheduler;
  const struct member_view *view = kernel_latest (s->kernel, TOPIC_MEMBERS);

  if (!member_find (view, r->granter))
    {
      r->again_ms = clock_ms () + AGAIN_MS;
      return false;
    }
  r->again_ms = 0;
  bus_call (s->bus, r->granter, PEER_RELEASE, r->args, CALL_MS, on_released,
            r);
  return true;
}

/* The present owner learns about the fingerprint. */
static void
tell_owner (struct scheduler *s, const struct release_args *args)
{
  struct sched_key key
      = sched_key_make (s, STR_TEXT (args->service), STR_TEXT (args->model));
  const struct member_info *owner = scheduler_owner (s, &key);

  if (owner)
    bus_call (s->bus, owner->addr, PEER_RELEASE, args, CALL_MS, NULL, NULL);
  str_free (&key.key);
}

void
scheduler_release (struct scheduler *s, const struct release_args *args)
{
  const struct str id = STR_TEXT (args->attempt_id);
  const char *dash = id.len > 0 ? memchr (id.data, '-', id.len) : NULL;
  struct release *r;

  if (!dash || s->stopped)
    return;
  r = xcalloc (1, sizeof *r);
  r->scheduler = s;
  r->args = xdrcodec_copy ((xdrproc_t)xdr_release_args, args,
                           sizeof (struct release_args));
  r->granter = str_dup ((struct str){ id.data, (size_t)(dash - id.data) });
  r->until_ms = clock_ms () + KEEP_MS;
  DL_APPEND (s->releases, r);
  s->release_count++;
  if (!send_release (r))
    tell_owner (s, args);
  /* The oldest one that is not in flight makes room. */
  for (r = s->releases; r && s->release_count > RELEASES_MAX; r = r->next)
    if (r->again_ms)
      {
        release_free (r);
        return;
      }
}

void
releases_tick (struct scheduler *s)
{
  const uint64_t now_ms = clock_ms ();
  struct release *r;
  struct release *next;

  DL_FOREACH_SAFE (s->releases, r, next)
  {
    if (!r->again_ms || now_ms < r->again_ms)
      continue;
    if (now_ms >= r->until_ms)
      release_free (r);
    else
      send_release (r);
  }
}

void
releases_free (struct scheduler *s)
{
  while (s->releases)
    release_free (s->releases);
}
