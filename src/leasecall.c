#include "leasecall.h"

#include <errno.h>
#include <stdlib.h>

#include <utlist.h>

#include "clock.h"
#include "err.h"
#include "log.h"
#include "member.h"
#include "peer.h"
#include "xdrcodec.h"

#define LOG_MODULE "lease"
/* Maximum number of nodes called in one round. A node that is not the holder
   may name another one, which is called next. */
#define ROUND_NODES 3
/* Pause between rounds, which gives a successor time to take over. */
#define ROUND_PAUSE_MS 250

struct proc_type
{
  xdrproc_t xdr;
  size_t size;
  uint32_t proc;
  bool idempotent;
};

#define PROC(p, type, idempotent)                                             \
  {                                                                           \
    (xdrproc_t) xdr_##type, sizeof (type), (p), (idempotent)                  \
  }

/* Procedures that a lease holder serves. The idempotent ones are called again
   after a connection breaks, although the call may have run: a repeated claim
   or settlement gets its earlier answer. */
static const struct proc_type procs[] = {
  PROC (PEER_WAKE, wake_args, true),
  PROC (PEER_USAGE, usage_args, true),
  PROC (PEER_LOAD_SLOT, load_slot_args, false),
  PROC (PEER_FENCE_OFF, fence_off_args, false),
  PROC (PEER_CLAIM, claim_args, true),
  PROC (PEER_SETTLE, settle_args, true),
  PROC (PEER_LOOKUP, lookup_args, true),
};

struct leasecall
{
  struct leasecall_params p;
  const struct proc_type *type;
  uv_timer_t pause;
  struct str node;
  uint64_t deadline_ms;
  unsigned tried;   /* nodes called in this round */
  size_t next_rank; /* next place of the rendezvous order */
  bus_reply_fn fn;
  void *ctx;
  struct leasecall *prev;
  struct leasecall *next;
};

static const struct proc_type *
find_proc (uint32_t proc)
{
  for (size_t i = 0; i < sizeof procs / sizeof *procs; i++)
    if (procs[i].proc == proc)
      return &procs[i];
  abort ();
}

static void
on_closed (uv_handle_t *handle)
{
  struct leasecall *c = handle->data;

  if (c->p.args)
    xdr_free (c->type->xdr, (char *)c->p.args);
  free ((void *)c->p.args);
  str_free (&c->p.name);
  str_free (&c->p.region);
  str_free (&c->node);
  free (c);
}

static void
end (struct leasecall *c, int err, struct str hint, const void *result)
{
  DL_DELETE (c->p.calls->head, c);
  if (c->fn)
    c->fn (c->ctx, err, hint, result);
  uv_close ((uv_handle_t *)&c->pause, on_closed);
}

static void call_node (struct leasecall *c);

static void
on_too_large (uv_timer_t *timer)
{
  end (timer->data, -EMSGSIZE, STR (""), NULL);
}

static void
on_pause (uv_timer_t *timer)
{
  struct leasecall *c = timer->data;

  c->tried = 0;
  c->next_rank = 0;
  call_node (c);
}

/* Chooses the next node of the rendezvous order. If all nodes are shutting
   down it is this node, which may take the lease or know who has it. Returns
   false if there is none. */
static bool
choose (struct leasecall *c)
{
  const struct member_view *view = kernel_latest (c->p.kernel, TOPIC_MEMBERS);
  const struct member_info *m
      = member_at_rank (view, c->p.region, c->p.name, c->next_rank);

  if (!m && view && c->next_rank == 0)
    m = &view->members[view->self];
  c->next_rank++;
  if (!m)
    return false;
  str_free (&c->node);
  c->node = str_dup (m->addr);
  return true;
}

static void
next_round (struct leasecall *c)
{
  if (c->p.calls->stopped || clock_ms () + ROUND_PAUSE_MS >= c->deadline_ms)
    {
      end (c, -ESTALE, STR (""), NULL);
      return;
    }
  str_free (&c->node);
  uv_timer_start (&c->pause, on_pause, ROUND_PAUSE_MS, 0);
}

static void
on_reply (void *ctx, int err, struct str hint, const void *result)
{
  struct leasecall *c = ctx;
  const bool try_next = err == -ESTALE || err == -ECONNREFUSED
                        || (err == -EPIPE && c->type->idempotent);

  c->p.update_holder (c->p.update_holder_ctx, c->p.name,
                      err == 0 ? c->node : (struct str){ 0 });
  if (!try_next)
    {
      end (c, err, hint, result);
      return;
    }
  if (c->tried >= ROUND_NODES)
    {
      next_round (c);
      return;
    }
  const bool follow_hint
      = err == -ESTALE && hint.len > 0 && !str_eq (hint, c->node);
  str_free (&c->node);
  if (follow_hint)
    c->node = str_dup (hint);
  call_node (c);
}

static void
call_node (struct leasecall *c)
{
  const uint64_t now = clock_ms ();

  if (now >= c->deadline_ms || (c->node.len == 0 && !choose (c)))
    {
      next_round (c);
      return;
    }
  c->tried++;
  bus_call (bus_get (c->p.kernel), c->node, c->p.proc, c->p.args,
            (uint32_t)(c->deadline_ms - now), on_reply, c);
}

void
leasecall_start (const struct leasecall_params *p, bus_reply_fn fn, void *ctx)
{
  struct leasecall *c = xcalloc (1, sizeof *c);

  c->p = *p;
  c->type = find_proc (p->proc);
  c->p.args = xdrcodec_copy (c->type->xdr, p->args, c->type->size);
  c->p.name = str_dup (p->name);
  c->p.region = str_dup (p->region);
  c->node = p->holder.len > 0 ? str_dup (p->holder) : (struct str){ 0 };
  c->p.holder = (struct str){ 0 };
  c->deadline_ms = clock_ms () + p->timeout_ms;
  c->fn = fn;
  c->ctx = ctx;
  uv_timer_init (kernel_loop (p->kernel), &c->pause);
  c->pause.data = c;
  DL_APPEND (p->calls->head, c);
  if (c->p.args)
    call_node (c);
  else
    uv_timer_start (&c->pause, on_too_large, 0, 0);
}

void
leasecall_stop (struct leasecalls *calls)
{
  struct leasecall *c;
  struct leasecall *next;

  calls->stopped = true;
  DL_FOREACH_SAFE (calls->head, c, next)
  if (uv_is_active ((uv_handle_t *)&c->pause))
    end (c, -ECANCELED, STR (""), NULL);
}
