#include "scheduler_impl.h"

#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "clock.h"
#include "err.h"
#include "log.h"
#include "xdrcodec.h"

#define LOG_MODULE "scheduler"
#define CALL_TIMEOUT_MS 5000
/* A scheduler that was paused for longer than this has been replaced, and its
   grants expire without a release. */
#define RESEND_FOR_MS 60000
#define RESEND_DELAY_MS 1000
#define RELEASES_MAX 8192

/* A lost release would keep a slot occupied for minutes: a scheduler may be
   paused, be declared dead, and return with its grants. Therefore a release is
   resent until the granting scheduler has answered. */

/** struct pending_release - a release that is not yet acknowledged.
 * @granter: bus address of the scheduler that granted the attempt.
 * @give_up_ms: when to stop resending.
 * @resend_at_ms: when to send it again; 0 while a call is in flight.
 */
struct pending_release
{
  struct scheduler *scheduler;
  struct release_args *args;
  struct str granter;
  uint64_t give_up_ms;
  uint64_t resend_at_ms;
  struct pending_release *prev;
  struct pending_release *next;
};

static void
release_free (struct pending_release *r)
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
on_release_reply (void *ctx, int err, struct str hint, const void *result)
{
  struct pending_release *r = ctx;
  const uint64_t now_ms = clock_ms ();

  (void)hint;
  (void)result;
  if (err == 0 || now_ms >= r->give_up_ms || r->scheduler->stopped)
    release_free (r);
  else
    r->resend_at_ms = now_ms + RESEND_DELAY_MS;
}

/* Sends the release if the granting scheduler is a known member, else
   schedules a retry. Returns true if it was sent. */
static bool
send_release (struct pending_release *r)
{
  struct scheduler *s = r->scheduler;
  const struct member_view *view = kernel_latest (s->kernel, TOPIC_MEMBERS);

  if (!member_find (view, r->granter))
    {
      r->resend_at_ms = clock_ms () + RESEND_DELAY_MS;
      return false;
    }
  r->resend_at_ms = 0;
  bus_call (s->bus, r->granter, PEER_RELEASE, r->args, CALL_TIMEOUT_MS,
            on_release_reply, r);
  return true;
}

/* Sends the release to the current owner, which records the outcome for the
   fingerprint. */
static void
send_to_owner (struct scheduler *s, const struct release_args *args)
{
  struct sched_key key
      = sched_key_make (s, STR_TEXT (args->service), STR_TEXT (args->model));
  const struct member_info *owner = scheduler_owner (s, &key);

  if (owner)
    bus_call (s->bus, owner->addr, PEER_RELEASE, args, CALL_TIMEOUT_MS, NULL,
              NULL);
  str_free (&key.key);
}

void
scheduler_release (struct scheduler *s, const struct release_args *args)
{
  const struct str id = STR_TEXT (args->attempt_id);
  const char *dash = id.len > 0 ? memchr (id.data, '-', id.len) : NULL;
  struct pending_release *r;
  struct release_args *copy;

  if (!dash || s->stopped)
    return;
  copy = xdrcodec_copy ((xdrproc_t)xdr_release_args, args, sizeof *copy);
  if (!copy)
    {
      LOG_ERR ("release-too-large", "attempt=" STR_FMT, STR_ARG (id));
      return;
    }
  r = xcalloc (1, sizeof *r);
  r->scheduler = s;
  r->args = copy;
  r->granter = str_dup ((struct str){ id.data, (size_t)(dash - id.data) });
  r->give_up_ms = clock_ms () + RESEND_FOR_MS;
  DL_APPEND (s->releases, r);
  s->release_count++;
  if (!send_release (r))
    send_to_owner (s, args);
  /* Above the limit, the oldest release without a call in flight is dropped.
   */
  for (r = s->releases; r && s->release_count > RELEASES_MAX; r = r->next)
    if (r->resend_at_ms)
      {
        release_free (r);
        return;
      }
}

void
releases_tick (struct scheduler *s)
{
  const uint64_t now_ms = clock_ms ();
  struct pending_release *r;
  struct pending_release *next;

  DL_FOREACH_SAFE (s->releases, r, next)
  {
    if (!r->resend_at_ms || now_ms < r->resend_at_ms)
      continue;
    if (now_ms >= r->give_up_ms)
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
