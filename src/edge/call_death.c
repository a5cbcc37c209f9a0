#include "edge/call_impl.h"

#include <stdlib.h>

#include "clock.h"
#include "edge/liveprobe.h"
#include "err.h"
#include "log.h"

#define LOG_MODULE "call"

/* Servers that die while they run a call: which they are, and which calls may
   have killed them. */

static uint64_t
death_of (const struct pool_server *s)
{
  return crashers_server (pool_server_id (s), pool_server_started (s));
}

void
call_found_dead (struct calls *all, struct pool_server *server)
{
  pool_unreached (server, clock_ms ());
  crashers_died (site_crashers (all->site), death_of (server), clock_ms ());
  /* The placement holder should know at once. */
  kernel_publish (all->kernel, TOPIC_DEMAND, NULL, NULL);
}

struct probe
{
  struct calls *calls;
  struct str server_id;
  uint64_t death;
};

static void
on_probed (void *ctx, bool reached)
{
  struct probe *p = ctx;
  struct pool_server *server
      = pool_find (site_pool (p->calls->site), p->server_id);

  if (!reached && server && death_of (server) == p->death)
    {
      LOG_INFO ("server-dead", "server=" STR_FMT, STR_ARG (p->server_id));
      call_found_dead (p->calls, server);
    }
  str_free (&p->server_id);
  free (p);
}

void
call_suspect (struct call *c)
{
  struct calls *all = c->calls;
  const struct death death = { c->fingerprint, death_of (c->server) };
  struct probe *p = xcalloc (1, sizeof *p);

  crashers_suspect (site_crashers (all->site), &death, clock_ms ());
  p->calls = all;
  p->server_id = str_dup (pool_server_id (c->server));
  p->death = death.server;
  liveprobe_start (all->loop, pool_server_address (c->server), on_probed, p);
}
