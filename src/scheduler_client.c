#include "scheduler_impl.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "clock.h"
#include "err.h"
#include "log.h"
#include "settings.h"
#include "xdrcodec.h"

#define LOG_MODULE "scheduler"
/* The scheduler refuses at the deadline at the latest; its answer may take
   this long. */
#define ANSWER_MS 500
#define AGAIN_MS 100
#define HINTS_MAX 4

/** struct ask - a request for a grant on its way to a scheduler.
 * @place: in the order of the key.
 * @hints: hints followed since the last pause.
 * @again_ms: when to go on; 0 while a call is in flight.
 * @silent: last node that did not answer.
 */
struct ask
{
  struct scheduler *scheduler;
  struct grant_args *args;
  struct sched_key key;
  uint64_t deadline_ms;
  size_t place;
  size_t hints;
  uint64_t again_ms;
  struct str to;
  struct str silent;
  bus_reply_fn fn;
  void *ctx;
  struct ask *prev;
  struct ask *next;
};

static void
ask_end (struct ask *a, int err, const struct grant_res *res)
{
  struct scheduler *s = a->scheduler;
  const bus_reply_fn fn = a->fn;
  void *ctx = a->ctx;

  DL_DELETE (s->asks, a);
  xdr_free ((xdrproc_t)xdr_grant_args, a->args);
  free (a->args);
  str_free (&a->key.region);
  str_free (&a->key.key);
  str_free (&a->to);
  str_free (&a->silent);
  free (a);
  fn (ctx, err, (struct str){ 0 }, res);
  quick_timer (s);
}

static void
ask_refuse (struct ask *a, grant_code code, const char *detail)
{
  const struct grant_res res = {
    .code = code,
    .retry_after_ms = 1000,
    .detail = TEXT_STR (str_from (detail)),
  };

  LOG_WARN ("grant-failed",
            "request=" STR_FMT " key=" STR_FMT " peer=" STR_FMT
            " detail=\"%s\"",
            STR_ARG (STR_TEXT (a->args->request_id)), STR_ARG (a->key.key),
            STR_ARG (a->to), detail);
  ask_end (a, 0, &res);
}

static void on_answer (void *ctx, int err, struct str hint,
                       const void *result);

static void
ask_send (struct ask *a, struct str to)
{
  struct scheduler *s = a->scheduler;
  const uint64_t now_ms = clock_ms ();

  if (now_ms >= a->deadline_ms)
    {
      ask_refuse (a, GRANT_DEADLINE, "no scheduler answered in time");
      return;
    }
  const uint32_t left_ms = (uint32_t)(a->deadline_ms - now_ms);
  struct str copy = str_dup (to);

  str_free (&a->to);
  a->to = copy;
  a->args->deadline_ms = left_ms;
  a->again_ms = 0;
  bus_call (s->bus, a->to, PEER_GRANT, a->args, left_ms + ANSWER_MS, on_answer,
            a);
}

/* Goes to the node at the ask's place, or begins again after a pause when the
   order is at its end. */
static void
ask_go_on (struct ask *a)
{
  const struct scheduler *s = a->scheduler;
  const struct member_view *view = kernel_latest (s->kernel, TOPIC_MEMBERS);
  const struct member_info *m
      = a->place == 0
            ? scheduler_owner (s, &a->key)
            : member_rank (view, a->key.region, a->key.key, a->place);

  if (m)
    {
      ask_send (a, m->addr);
      return;
    }
  if (a->place == 0)
    {
      ask_refuse (a, GRANT_UNAVAILABLE, "no live node can schedule");
      return;
    }
  a->place = 0;
  a->again_ms = clock_ms () + AGAIN_MS;
}

static void
follow_hint (struct ask *a, struct str hint)
{
  const bool useless = hint.len == 0 || str_eq (hint, a->silent);

  if (!useless && a->hints++ < HINTS_MAX)
    {
      ask_send (a, hint);
      return;
    }
  /* Views differ for a moment, or the owner is gone and not yet suspected by
     the node that named it. */
  a->hints = 0;
  a->again_ms = clock_ms () + AGAIN_MS;
}

static void
on_answer (void *ctx, int err, struct str hint, const void *result)
{
  struct ask *a = ctx;

  if (a->scheduler->stopped)
    ask_end (a, -ECANCELED, NULL);
  else if (err == 0)
    ask_end (a, 0, result);
  else if (err == -ETIMEDOUT)
    ask_refuse (a, GRANT_DEADLINE, "the scheduler did not answer in time");
  else if (err == -ESTALE)
    follow_hint (a, hint);
  else
    {
      str_free (&a->silent);
      a->silent = str_dup (a->to);
      a->place++;
      a->hints = 0;
      ask_go_on (a);
    }
}

void
scheduler_grant (struct scheduler *s, const struct grant_args *args,
                 bus_reply_fn fn, void *ctx)
{
  struct ask *a = xcalloc (1, sizeof *a);
  struct grant_args with_entry = *args;

  with_entry.entry = (node_id){
    .addr = TEXT_STR (kernel_settings (s->kernel)->bus_addr),
    .instance = kernel_instance (s->kernel),
  };
  a->scheduler = s;
  a->args = xdrcodec_copy ((xdrproc_t)xdr_grant_args, &with_entry,
                           sizeof (struct grant_args));
  a->key
      = sched_key_make (s, STR_TEXT (args->service), STR_TEXT (args->model));
  a->key.region = str_dup (a->key.region);
  a->deadline_ms = clock_ms () + args->deadline_ms;
  a->fn = fn;
  a->ctx = ctx;
  DL_APPEND (s->asks, a);
  const struct member_info *m = scheduler_owner (s, &a->key);

  /* What would end at once ends from the timer, so that @fn never runs before
     this function returns. */
  if (m && args->deadline_ms > 0)
    ask_send (a, m->addr);
  else
    a->again_ms = 1;
  quick_timer (s);
}

void
asks_tick (struct scheduler *s)
{
  const uint64_t now_ms = clock_ms ();
  struct ask *a;
  struct ask *next;

  DL_FOREACH_SAFE (s->asks, a, next)
  {
    if (a->again_ms && now_ms >= a->again_ms)
      ask_go_on (a);
  }
}

void
asks_cancel (struct scheduler *s)
{
  struct ask *a;
  struct ask *next;

  DL_FOREACH_SAFE (s->asks, a, next)
  {
    if (a->again_ms)
      ask_end (a, -ECANCELED, NULL);
  }
}
