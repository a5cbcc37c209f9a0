#include "ledger.h"

#include <errno.h>
#include <stdlib.h>

#include "err.h"

/* Delay before a load is sent again to an engine that was busy. */
#define BUSY_RETRY_MS 200
/* Delay before an order is sent again that was refused otherwise or did not
   get through. */
#define FAILED_RETRY_MS 500
/* Delay before an accepted unload is sent again in case the engine dropped it.
   The engine lets running requests finish first. */
#define UNLOAD_RETRY_MS 5000

static enum order_kind
entry_order_kind (const struct ledger_entry *e)
{
  return e->state == LEDGER_INTENT_UNLOAD ? ORDER_UNLOAD : ORDER_LOAD;
}

bool
ledger_due_order (const struct ledger *l, const struct ledger_entry *e,
                  uint64_t now, struct order *out)
{
  const bool load = e->state == LEDGER_INTENT_LOAD && e->order_open;
  const bool unload = e->state == LEDGER_INTENT_UNLOAD && e->unload_id.len > 0;

  if (l->is_superseded || l->takeover_stored_ms == 0
      || e->changed_seq > l->stored_seq || e->in_flight || e->fenced_off
      || now < e->retry_ms || (!load && !unload))
    return false;
  *out = (struct order){
    .kind = entry_order_kind (e),
    .order_id = load ? e->order_id : e->unload_id,
    .fence = l->fence,
    .instance = e->instance,
    .key = e->key,
    .bytes = e->bytes,
  };
  return true;
}

void
ledger_order_sent (struct ledger_entry *e, enum order_kind kind, uint64_t now)
{
  e->in_flight = true;
  if (kind == ORDER_LOAD)
    e->sent_ms = now;
}

/* Returns true if a refusal proves that no copy of the load order will be
   carried out: all copies that this node sent were answered, and former owners
   either sent none or their copies are rejected from now on. */
static bool
refusal_is_final (const struct ledger *l, const struct ledger_server *s,
                  const struct ledger_entry *e)
{
  return e->lost_answers == 0
         && (e->fence == l->fence || (l->fenced && s->fence_confirmed));
}

static void
handle_load_answer (struct ledger *l, struct ledger_server *s, size_t i,
                    enum order_answer answer, uint64_t now)
{
  struct ledger_entry *e = s->entries[i];

  e->in_flight = false;
  e->retry_ms = now + FAILED_RETRY_MS;
  switch (answer)
    {
    case ORDER_ACCEPTED:
      e->order_open = false;
      e->accepted_ms = now;
      l->dirty = true;
      return;
    case ORDER_REFUSED:
      if (refusal_is_final (l, s, e))
        ledger_entry_drop (l, s, i);
      return;
    case ORDER_WRONG_INSTANCE:
    case ORDER_FAILED:
      /* No copy will be carried out: the process that the order was addressed
         to has ended, or it remembers the order and rejects repeats. */
      ledger_entry_drop (l, s, i);
      return;
    case ORDER_BUSY:
      e->retry_ms = now + BUSY_RETRY_MS;
      return;
    case ORDER_NOT_SENT:
      if (e->lost_answers == 0)
        e->sent_ms = 0;
      return;
    case ORDER_UNANSWERED:
      e->lost_answers++;
      return;
    case ORDER_OLD_FENCE:
      return;
    }
}

static void
handle_unload_answer (struct ledger_entry *e, enum order_answer answer,
                      uint64_t now)
{
  e->in_flight = false;
  e->retry_ms
      = now + (answer == ORDER_ACCEPTED ? UNLOAD_RETRY_MS : FAILED_RETRY_MS);
}

void
ledger_order_answer (struct ledger *l, struct str addr, struct str id,
                     enum order_kind kind, enum order_answer answer,
                     uint64_t now)
{
  struct ledger_server *s = ledger_find_server (l, addr);

  for (size_t i = 0; s && i < s->entry_count; i++)
    {
      struct ledger_entry *e = s->entries[i];

      if (kind == ORDER_LOAD && str_eq (e->order_id, id))
        {
          handle_load_answer (l, s, i, answer, now);
          return;
        }
      if (kind == ORDER_UNLOAD && str_eq (e->unload_id, id))
        {
          handle_unload_answer (e, answer, now);
          return;
        }
    }
}

void
ledger_fence_confirmed (struct ledger *l, struct str addr, uint64_t now)
{
  struct ledger_server *s = ledger_find_server (l, addr);

  if (!s || s->fence_confirmed)
    return;
  s->fence_confirmed = true;
  s->fence_confirmed_ms = now;
}

/* Drops the entries of former processes of the server. The new process holds
   nothing of theirs and rejects their orders that are still in flight. */
static void
handle_restart (struct ledger *l, struct ledger_server *s, uint64_t instance)
{
  for (size_t i = s->entry_count; i-- > 0;)
    if (s->entries[i]->instance != instance)
      ledger_entry_drop (l, s, i);
  s->instance = instance;
  s->fence_confirmed = false;
  l->dirty = true;
}

static enum ledger_state
ledger_state_of (enum target_entry_state state)
{
  switch (state)
    {
    case TARGET_LOADING:
      return LEDGER_INTENT_LOAD;
    case TARGET_UNLOADING:
      return LEDGER_INTENT_UNLOAD;
    case TARGET_LOADED:
    case TARGET_CACHED:
      break;
    }
  return LEDGER_LOADED;
}

/* Adds a replica that the server reports but the ledger lacks, so that its
   memory is counted. */
static void
add_unknown_entry (struct ledger *l, struct ledger_server *s,
                   const struct target_entry *t, uint64_t now)
{
  struct ledger_entry *e = xcalloc (1, sizeof *e);

  e->key = replica_key_dup (&t->key);
  e->order_id = str_dup (t->order_id);
  e->state = ledger_state_of (t->state);
  e->instance = s->instance;
  e->bytes = t->bytes;
  e->decided_ms = now;
  if (e->state == LEDGER_LOADED)
    e->loaded_ms = now;
  ledger_entry_append (s, e);
  l->dirty = true;
}

static void
update_entry (struct ledger *l, struct ledger_entry *e,
              const struct target_entry *t, uint64_t now)
{
  if (t->bytes > e->bytes)
    e->bytes = t->bytes;
  if (e->order_open && str_eq (e->order_id, t->order_id))
    {
      e->order_open = false;
      l->dirty = true;
    }
  if (t->state == TARGET_LOADED && e->state == LEDGER_INTENT_LOAD)
    {
      e->state = LEDGER_LOADED;
      l->dirty = true;
    }
  if (e->state == LEDGER_LOADED && e->loaded_ms == 0)
    e->loaded_ms = now;
  if (t->state == TARGET_UNLOADING && e->state != LEDGER_INTENT_UNLOAD)
    {
      e->state = LEDGER_INTENT_UNLOAD;
      l->dirty = true;
    }
}

/* Returns true if an entry that the status does not list can be dropped,
   because no order for it can be carried out any more. */
static bool
absence_is_final (const struct ledger *l, const struct ledger_server *s,
                  const struct ledger_entry *e, uint64_t requested_ms)
{
  const bool sent = e->sent_ms > 0 || e->in_flight;
  const bool former = e->fence < l->fence;

  if (!e->order_open)
    return requested_ms >= e->accepted_ms;
  if (e->in_flight || l->takeover_stored_ms == 0)
    return false;
  if (sent && requested_ms < e->sent_ms + l->pause_bound_ms)
    return false;
  if (!former)
    return sent;
  if (l->fenced && s->fence_confirmed && requested_ms >= s->fence_confirmed_ms)
    return true;
  return requested_ms >= l->takeover_stored_ms + l->pause_bound_ms;
}

void
ledger_apply_status (struct ledger *l, struct str addr,
                     const struct target_status *status, uint64_t requested_ms,
                     uint64_t now)
{
  struct ledger_server *s = ledger_find_server (l, addr);

  if (!s || l->is_superseded)
    return;
  if (s->instance != status->instance)
    handle_restart (l, s, status->instance);
  s->memory_bytes = status->memory_bytes;
  s->slots = status->slots;
  s->running = status->running;
  s->leaving = status->leaving;
  s->status_known = true;
  /* A status with the current fence proves that the server has been rejecting
     older orders since the moment that the status describes. */
  if (l->takeover_stored_ms > 0 && status->fence >= l->fence)
    ledger_fence_confirmed (l, addr, requested_ms);
  for (size_t i = s->entry_count; i-- > 0;)
    {
      const struct target_entry *t
          = target_status_find (status, &s->entries[i]->key);

      if (t && t->state != TARGET_CACHED)
        update_entry (l, s->entries[i], t, now);
      else if (absence_is_final (l, s, s->entries[i], requested_ms))
        ledger_entry_drop (l, s, i);
    }
  for (size_t i = 0; i < status->entry_count; i++)
    if (status->entries[i].state != TARGET_CACHED
        && !ledger_find_entry (s, &status->entries[i].key))
      add_unknown_entry (l, s, &status->entries[i], now);
}
