#include "claim_impl.h"

#include <stdlib.h>

#include "err.h"
#include "text.h"

#define EXPIRY_CHECK_MS 10000

void
claim_start_call (struct claim *c, enum call call)
{
  c->call = call;
  c->call_tenure = c->tenure;
}

static void
serve_step (struct claim *c, struct claim_clock t)
{
  const struct segment *dropped;

  if (t.now >= c->next_expiry_check)
    {
      c->next_expiry_check = t.now + EXPIRY_CHECK_MS;
      claim_drop_expired (c, t);
    }
  if (claim_seal_due (c, t))
    {
      claim_start_seal (c, t);
      claim_write_segment (c);
    }
  else if ((c->pending_count > 0 || c->head_pending) && t.now >= c->next_write)
    claim_write_head (c, t);
  else if ((dropped = claim_dropped_segment (c)) != NULL)
    claim_remove_segment (c, dropped);
}

/* Starts the next store call if none is in progress and one is due. */
void
claim_step (struct claim *c, struct claim_clock t)
{
  if (c->call != CALL_NONE || t.now < c->next_try)
    return;
  if (c->stage == STAGE_IDLE)
    return;
  if (c->stage == STAGE_HEAD || c->in_doubt)
    {
      claim_read_head (c);
      return;
    }
  if (c->stage == STAGE_SEGMENTS && c->segments_loaded == c->segment_count)
    {
      c->stage = STAGE_SERVING;
      claim_decide_all (c, t);
    }
  /* Without the lease no write is sent: it would fail at the successor's
     stamp, or delay the successor if it is not there yet. */
  if (!c->actions->valid (c->ctx, c->fence))
    return;
  switch (c->stage)
    {
    case STAGE_STAMP:
      claim_write_head (c, t);
      break;
    case STAGE_SEGMENTS:
      claim_read_segment (c);
      break;
    case STAGE_SERVING:
      serve_step (c, t);
      break;
    case STAGE_IDLE:
    case STAGE_HEAD:
      break;
    }
}

void
claim_stored (struct claim *c, int err, uint64_t version, struct str value,
              struct claim_clock t)
{
  const enum call call = c->call;

  c->call = CALL_NONE;
  /* After a pause of this process, first those that no longer wait. */
  claim_expire_waiters (c, t);
  if (c->call_tenure == c->tenure && c->stage != STAGE_IDLE)
    switch (call)
      {
      case CALL_READ_HEAD:
        claim_head_read (c, err, version, value, t);
        break;
      case CALL_WRITE_HEAD:
        claim_head_written (c, err, version, t);
        break;
      case CALL_READ_SEGMENT:
        claim_segment_read (c, err, version, value, t);
        break;
      case CALL_WRITE_SEGMENT:
        claim_segment_written (c, err, version, t);
        break;
      case CALL_REMOVE_SEGMENT:
        claim_segment_removed (c, err, t);
        break;
      case CALL_NONE:
        break;
      }
  claim_step (c, t);
}

void
claim_tick (struct claim *c, struct claim_clock t)
{
  claim_expire_waiters (c, t);
  claim_step (c, t);
}

void
claim_gain (struct claim *c, uint64_t fence, struct claim_clock t)
{
  c->tenure++;
  c->fence = fence;
  c->stage = STAGE_HEAD;
  c->in_doubt = false;
  c->sealing.number = 0;
  c->next_try = 0;
  c->next_write = 0;
  claim_drop_records (c);
  claim_step (c, t);
}

void
claim_lose (struct claim *c)
{
  c->tenure++;
  claim_go_idle (c);
}

struct claim *
claim_create (const struct claim_config *config,
              const struct claim_actions *actions, void *ctx)
{
  struct claim *c = xcalloc (1, sizeof *c);

  c->config = *config;
  c->config.key = str_dup (config->key);
  c->config.self.addr = text_copy (config->self.addr);
  c->actions = actions;
  c->ctx = ctx;
  return c;
}

void
claim_destroy (struct claim *c)
{
  while (c->waiters)
    claim_free_waiter (c, c->waiters);
  claim_drop_records (c);
  str_free (&c->config.key);
  text_free (&c->config.self.addr);
  free (c);
}

struct claim_counts
claim_counts (const struct claim *c)
{
  return (struct claim_counts){ .records = HASH_COUNT (c->records),
                                .bytes = c->bytes,
                                .waiting = c->waiter_count,
                                .segments = c->segment_count,
                                .serving = c->stage == STAGE_SERVING };
}
