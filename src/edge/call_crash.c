#include "edge/call_impl.h"

#include <stdlib.h>

#include "clock.h"
#include "edge/liveprobe.h"
#include "err.h"
#include "log.h"

#define LOG_MODULE "call"

/* Detects servers that crash while they run a call, and the calls that may
   have caused it. */

static uint64_t
server_start_hash (const struct pool_server *s)
{
  return quarantine_server_hash (pool_server_id (s), pool_server_started (s));
}

void
call_server_unreachable (struct call_table *calls, struct pool_server *server)
{
  pool_connect_failed (server, clock_ms ());
  quarantine_server_crashed (site_quarantine (calls->site),
                             server_start_hash (server), clock_ms ());
  /* Reports it to the placement holder at once. */
  kernel_publish (calls->kernel, TOPIC_DEMAND, NULL, NULL);
}

struct crash_probe
{
  struct call_table *calls;
  struct str server_id;
  uint64_t server_start;
};

static void
on_probe_result (void *ctx, bool reached)
{
  struct crash_probe *p = ctx;
  struct pool_server *server
      = pool_find (site_pool (p->calls->site), p->server_id);

  if (!reached && server && server_start_hash (server) == p->server_start)
    {
      LOG_INFO ("server-dead", "server=" STR_FMT " start=%016lx",
                STR_ARG (p->server_id), p->server_start);
      call_server_unreachable (p->calls, server);
    }
  str_free (&p->server_id);
  free (p);
}

void
call_suspect_crash (const struct call *c, const struct pool_server *server)
{
  struct call_table *calls = c->calls;
  const struct crash_record suspect
      = { c->fingerprint, server_start_hash (server) };
  struct crash_probe *p = xcalloc (1, sizeof *p);

  quarantine_suspect (site_quarantine (calls->site), &suspect, clock_ms ());
  p->calls = calls;
  p->server_id = str_dup (pool_server_id (server));
  p->server_start = suspect.server;
  liveprobe_start (calls->loop, pool_server_address (server), on_probe_result,
                   p);
}
