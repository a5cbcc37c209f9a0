#include "edge/call_impl.h"

#include "clock.h"
#include "log.h"

/* The software version that a stream is bound to. What two versions write does
   not fit together, so a stream goes on only at the version that began it. */

#define LOG_MODULE "call"

void
call_bind_version (struct call *c, const struct pool_server *server)
{
  const struct str version = pool_server_software_version (server);

  if (!call_is_resumable (c) || c->version_bound || version.len == 0)
    return;
  str_assign (&c->software_version, version);
  c->version_bound = true;
  if (!c->takes_up)
    call_record_stream (c);
}

void
call_confirm_version (const struct call_attempt *a)
{
  struct call *c = a->call;

  /* If the server started again since the attempt began, either of its
     processes may have responded. */
  if (site_server_start (a->server) != a->server_start
      || !str_eq (pool_server_software_version (a->server),
                  c->software_version))
    str_assign (&c->software_version, STR (""));
  c->version_bound = true;
  call_record_stream (c);
}

bool
call_shares_queue (const struct call *c)
{
  return !c->version_bound
         || !streamorigins_several_versions (
             site_streamorigins (c->calls->site), c->service, clock_ms ());
}
