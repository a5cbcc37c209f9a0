#include "claim_impl.h"

#include <errno.h>

#include "err.h"
#include "text.h"

#define WAITERS_MAX 4096
/* Maximum time that a request waits for the store. */
#define WAIT_MAX_MS 2000
/* Returns the length of the longest of the texts. */
#define LONGEST_LEN(...)                                                      \
  longest_text_len ((const text *const[]){ __VA_ARGS__ },                     \
                    sizeof ((const text *const[]){ __VA_ARGS__ })             \
                        / sizeof (const text *))

static struct waiter *
add_waiter (struct claim_partition *c, enum waiter_kind kind, void *request,
            uint64_t expires_at)
{
  struct waiter *w = xcalloc (1, sizeof *w);

  w->kind = kind;
  w->request = request;
  w->expires_at = expires_at;
  DL_APPEND (c->waiters, w);
  c->waiter_count++;
  return w;
}

/* Returns true if the request is accepted; otherwise refuses it with -ESTALE,
   -EINVAL or -EBUSY. */
static bool
admit (struct claim_partition *c, void *request, size_t longest, text key)
{
  int err = 0;

  if (c->stage == STAGE_IDLE || !c->actions->holds_lease (c->ctx, c->fence))
    err = -ESTALE;
  else if (longest > CLAIM_TEXT_MAX || key.text_len == 0)
    err = -EINVAL;
  else if (c->waiter_count >= WAITERS_MAX)
    err = -EBUSY;
  if (err != 0)
    c->actions->refuse (c->ctx, request, err);
  return err == 0;
}

static size_t
longest_text_len (const text *const texts[], size_t n)
{
  size_t longest = 0;

  for (size_t i = 0; i < n; i++)
    if (texts[i]->text_len > longest)
      longest = texts[i]->text_len;
  return longest;
}

void
claim_request (struct claim_partition *c, const struct claim_args *a,
               void *request, struct claim_clock t)
{
  const uint64_t wait
      = a->deadline_ms < WAIT_MAX_MS ? a->deadline_ms : WAIT_MAX_MS;
  struct waiter *w;

  if (!admit (c, request,
              LONGEST_LEN (&a->customer, &a->key, &a->service, &a->request_id,
                           &a->entry.addr),
              a->key))
    return;
  w = add_waiter (c, WAIT_CLAIM, request, t.now + wait);
  w->args.claim = *a;
  w->args.claim.customer = text_copy (a->customer);
  w->args.claim.key = text_copy (a->key);
  w->args.claim.service = text_copy (a->service);
  w->args.claim.request_id = text_copy (a->request_id);
  w->args.claim.entry.addr = text_copy (a->entry.addr);
  claim_process_waiter (c, w, t);
  claim_start_next_call (c, t);
}

void
claim_settle (struct claim_partition *c, const struct settle_args *a,
              void *request, struct claim_clock t)
{
  struct waiter *w;

  if (!admit (c, request,
              LONGEST_LEN (&a->customer, &a->key, &a->request_id,
                           &a->content_type),
              a->key))
    return;
  w = add_waiter (c, WAIT_SETTLE, request, t.now + WAIT_MAX_MS);
  w->args.settle = *a;
  w->args.settle.customer = text_copy (a->customer);
  w->args.settle.key = text_copy (a->key);
  w->args.settle.request_id = text_copy (a->request_id);
  w->args.settle.content_type = text_copy (a->content_type);
  w->args.settle.body = blob_copy (a->body);
  claim_process_waiter (c, w, t);
  claim_start_next_call (c, t);
}

void
claim_lookup (struct claim_partition *c, const struct lookup_args *a,
              void *request, struct claim_clock t)
{
  struct waiter *w;

  if (!admit (c, request, LONGEST_LEN (&a->customer, &a->key), a->key))
    return;
  w = add_waiter (c, WAIT_LOOKUP, request, t.now + WAIT_MAX_MS);
  w->args.lookup = (struct lookup_args){ .customer = text_copy (a->customer),
                                         .key = text_copy (a->key) };
  claim_process_waiter (c, w, t);
  claim_start_next_call (c, t);
}
