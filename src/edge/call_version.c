#include "edge/call_impl.h"

#include "clock.h"
#include "log.h"

/* The software version that a stream is bound to. What two versions write does
   not fit together, so a stream goes on only at the version that began it. */

#define LOG_MODULE "call"

void
call_note_version (struct call_attempt *a)
{
  if (call_is_resumable (a->call) && !a->call->version_bound)
    a->software_version = str_dup (pool_server_software_version (a->server));
}

void
call_bind_version (struct call_attempt *a)
{
  struct call *c = a->call;

  if (c->version_bound)
    return;
  c->version_bound = true;
  /* If the server started again since the attempt began, either of its
     processes may have responded. */
  if (site_server_start (a->server) == a->server_start)
    str_assign (&c->software_version, a->software_version);
}

bool
call_shares_queue (const struct call *c)
{
  return !c->version_bound
         || !streamorigins_several_versions (
             site_streamorigins (c->calls->site), c->service, clock_ms ());
}
