#include "edge/call_impl.h"

#include <errno.h>
#include <stdlib.h>

#include "clock.h"
#include "edge/liveprobe.h"
#include "err.h"
#include "log.h"

#define LOG_MODULE "call"

/* Detects servers that crash while they run a call, and the calls that may
   have caused it. */

/* A refused connection shows that the process has ended. Without any answer
   the link may be cut, which is no fault of the requests that ran there. */
static void
record_unreachable (struct call_table *calls, struct pool_server *server,
                    int code, const char *evidence)
{
  pool_connect_failed (server, clock_ms ());
  if (code == -ECONNREFUSED)
    site_server_ended (calls->site, server, evidence);
  /* Reports it to the placement holder at once. */
  kernel_publish (calls->kernel, TOPIC_DEMAND, NULL, NULL);
}

void
call_server_unreachable (struct call_table *calls, struct pool_server *server,
                         int code)
{
  record_unreachable (calls, server, code, "connect");
}

void
call_server_replaced (struct call_table *calls, struct pool_server *server)
{
  pool_server_replaced (server);
  if (!pool_server_leaving (server))
    site_server_ended (calls->site, server, "other-server");
}

struct crash_probe
{
  struct call_table *calls;
  struct str server_id;
  uint64_t server_start;
};

static void
on_probe_result (void *ctx, int code)
{
  struct crash_probe *p = ctx;
  struct pool_server *server
      = pool_find (site_pool (p->calls->site), p->server_id);

  if (code != 0 && server && site_server_start (server) == p->server_start)
    record_unreachable (p->calls, server, code, "probe");
  str_free (&p->server_id);
  free (p);
}

void
call_fingerprint (struct call *c)
{
  c->fingerprint = quarantine_fingerprint (c->tenant, c->method,
                                           c->request_target, c->body);
  promptparts_free (&c->parts);
  promptparts_read (c->meta.prompt_parts, &c->parts);
}

uint64_t
call_quarantined (const struct call *c)
{
  const struct quarantine *q = site_quarantine (c->calls->site);
  const uint64_t now = clock_ms ();

  if (quarantine_contains (q, c->fingerprint, now))
    return c->fingerprint;
  return promptparts_refused (q, &c->parts, now);
}

static void
suspect_request (const struct call_attempt *a)
{
  const struct crash_record suspect = { .fingerprint = a->call->fingerprint,
                                        .server = a->server_start,
                                        .kind = QUARANTINE_REQUEST };

  quarantine_suspect (site_quarantine (a->call->calls->site), &suspect,
                      clock_ms ());
}

static void
suspect_parts (const struct call_attempt *a)
{
  promptparts_suspect (site_quarantine (a->call->calls->site), &a->call->parts,
                       a->phase, a->server_start, clock_ms ());
}

void
call_record_cancelled (const struct call_attempt *a)
{
  suspect_request (a);
  if (a->phase == PHASE_BEFORE)
    suspect_parts (a);
}

static void
enter_phase (struct call_attempt *a, enum prompt_phase phase)
{
  const struct call *c = a->call;

  if (a->phase >= phase)
    return;
  a->phase = phase;
  promptparts_passed (site_quarantine (c->calls->site), &c->parts, phase - 1,
                      clock_ms ());
}

void
call_record_response (struct call_attempt *a)
{
  if (a->phase == PHASE_BEFORE)
    a->response_ms = clock_ms ();
  enter_phase (a, PHASE_BEGINNING);
}

void
call_record_progress (struct call_attempt *a)
{
  if (a->phase == PHASE_BEGINNING
      && clock_ms () - a->response_ms >= PROMPT_BEGINNING_MS)
    enter_phase (a, PHASE_REST);
}

void
call_record_completion (const struct call_attempt *a)
{
  const struct call *c = a->call;
  struct quarantine *q = site_quarantine (c->calls->site);
  const uint64_t now = clock_ms ();

  quarantine_completed (q, c->fingerprint, now);
  promptparts_passed (q, &c->parts, PHASE_REST, now);
}

void
call_suspect_crash (const struct call_attempt *a)
{
  struct call_table *calls = a->call->calls;
  struct crash_probe *p = xcalloc (1, sizeof *p);

  suspect_request (a);
  suspect_parts (a);
  p->calls = calls;
  p->server_id = str_dup (pool_server_id (a->server));
  p->server_start = a->server_start;
  liveprobe_start (calls->loop, pool_server_address (a->server),
                   on_probe_result, p);
}
