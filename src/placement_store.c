#include "placement_impl.h"

#include <errno.h>

#include "clock.h"
#include "lease.h"
#include "log.h"
#include "settings.h"
#include "store.h"

#define LOG_MODULE "placement"
#define RETRY_MS 250
#define UNREADABLE_RETRY_MS 5000

static void
store_call_done (struct place_service *s)
{
  s->store_busy = false;
}

static void
discard_ledger (struct place_service *s)
{
  if (s->ledger)
    ledger_destroy (s->ledger);
  s->ledger = NULL;
  s->write_unconfirmed = false;
}

/* Takes over the ledger that was read. The write that follows stores it with
   the new fence; no decision is taken before. */
static void
take_over (struct place_service *s, struct ledger *l)
{
  const struct settings *set = kernel_settings (s->kernel);
  const int rc = ledger_take_over (l, s->fence, set->bus_addr,
                                   kernel_instance (s->kernel), clock_ms ());

  if (rc == 0)
    {
      discard_ledger (s);
      s->ledger = l;
      s->fence_off_started = false;
      return;
    }
  LOG_WARN ("takeover-refused",
            "service=" STR_FMT " fence=%lu ledger_fence=%lu",
            STR_ARG (s->name), s->fence, l->fence);
  s->store_retry_ms = clock_ms () + UNREADABLE_RETRY_MS;
  ledger_destroy (l);
}

static void
on_takeover_read (void *ctx, struct err err, uint64_t version,
                  struct str value)
{
  struct place_service *s = ctx;
  const struct settings *set = kernel_settings (s->kernel);

  store_call_done (s);
  if (s->store_call_epoch != s->epoch || !s->lease_held)
    return;
  if (err.code != 0 && err.code != -ENOENT)
    {
      LOG_WARN ("ledger-read-failed", "service=" STR_FMT " " LOG_E_FMT,
                STR_ARG (s->name), LOG_E_ARG (err));
      s->store_retry_ms = clock_ms () + RETRY_MS;
      return;
    }
  struct ledger *l = ledger_create (s->name, s->fenced, set->pause_bound_ms);
  if (err.code == 0 && ledger_decode (l, value) != 0)
    {
      /* Not replaced by an empty ledger, which would not count the memory of
         replicas that may be loaded. */
      LOG_ERR ("ledger-unreadable", "service=" STR_FMT " version=%lu",
               STR_ARG (s->name), version);
      s->store_retry_ms = clock_ms () + UNREADABLE_RETRY_MS;
      ledger_destroy (l);
      return;
    }
  s->ledger_version = err.code == 0 ? version : STORE_NEW;
  take_over (s, l);
  place_store_step (s);
}

static void
write_done (struct place_service *s, enum ledger_write_result result)
{
  const bool is_takeover = s->ledger->takeover_stored_ms == 0;

  ledger_write_done (s->ledger, result, clock_ms ());
  if (result == LEDGER_SUPERSEDED)
    LOG_WARN ("ledger-superseded", "service=" STR_FMT " fence=%lu",
              STR_ARG (s->name), s->ledger->fence);
  if (is_takeover && result == LEDGER_STORED)
    LOG_INFO ("takeover",
              "service=" STR_FMT
              " fence=%lu former_fence=%lu former_writer=" STR_FMT
              " servers=%zu",
              STR_ARG (s->name), s->ledger->fence, s->ledger->former_fence,
              STR_ARG (s->ledger->former_writer), s->ledger->server_count);
  /* The ledger that was read may be out of date, because the former owner may
     have written it in the meantime. It is read again. */
  if (is_takeover && result == LEDGER_NOT_STORED)
    discard_ledger (s);
}

static void
on_written (void *ctx, struct err err, uint64_t version, struct str value)
{
  struct place_service *s = ctx;

  (void)value;
  store_call_done (s);
  if (s->store_call_epoch != s->epoch || !s->ledger)
    return;
  if (err.code == 0)
    {
      s->ledger_version = version;
      write_done (s, LEDGER_STORED);
    }
  else if (err.code == -EEXIST || err.code == -EINPROGRESS)
    s->write_unconfirmed = true;
  else
    {
      LOG_WARN ("ledger-write-failed", "service=" STR_FMT " " LOG_E_FMT,
                STR_ARG (s->name), LOG_E_ARG (err));
      s->store_retry_ms = clock_ms () + RETRY_MS;
      write_done (s, LEDGER_NOT_STORED);
    }
  place_store_step (s);
  place_send_orders (s);
}

static void
on_verify_read (void *ctx, struct err err, uint64_t version, struct str value)
{
  struct place_service *s = ctx;

  store_call_done (s);
  if (s->store_call_epoch != s->epoch || !s->ledger)
    return;
  if (err.code != 0 && err.code != -ENOENT)
    {
      s->store_retry_ms = clock_ms () + RETRY_MS;
      return;
    }
  s->write_unconfirmed = false;
  s->ledger_version = err.code == 0 ? version : STORE_NEW;
  write_done (s, ledger_check_write (
                     s->ledger, err.code == 0 ? value : (struct str){ 0 }));
  place_store_step (s);
  place_send_orders (s);
}

void
place_store_step (struct place_service *s)
{
  struct store *store = store_get (s->kernel);

  if (s->store_busy || clock_ms () < s->store_retry_ms || !s->lease_held)
    return;
  s->store_call_epoch = s->epoch;
  if (!s->ledger || s->ledger->is_superseded || s->ledger->fence != s->fence)
    {
      s->store_busy = true;
      store_read (store, s->ledger_key, on_takeover_read, s);
      return;
    }
  if (s->write_unconfirmed)
    {
      s->store_busy = true;
      store_read (store, s->ledger_key, on_verify_read, s);
      return;
    }
  struct str json = ledger_write_begin (s->ledger);
  if (json.len > 0)
    {
      s->store_busy = true;
      store_write (store, s->ledger_key, s->ledger_version, json, on_written,
                   s);
    }
  str_free (&json);
}
