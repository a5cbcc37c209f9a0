#include "edge/quarantine_impl.h"

#include <stdlib.h>

#include "err.h"

/* Attempts that may have crashed their servers, and servers that crashed. */

/* A crash is attributed to attempts that broke off at most this long before
   it was detected. Often only the entry of the restarted server tells of it,
   and crashed servers are away for seconds. */
#define SUSPECT_WINDOW_MS 10000
#define SUSPECTS_MAX 4096
/* Fingerprint and server. */
#define SUSPECT_KEY_BYTES offsetof (struct crash_record, next_part)
#define CRASHED_STARTS_MAX 1024

static void
forget_suspect (struct quarantine *q, struct suspect *s)
{
  HASH_DEL (q->suspects, s);
  free (s);
}

static void
forget_start (struct quarantine *q, struct crashed_start *start)
{
  HASH_DEL (q->crashed, start);
  free (start);
}

static void
forget_old_starts (struct quarantine *q, uint64_t now_ms)
{
  while (q->crashed
         && (HASH_COUNT (q->crashed) >= CRASHED_STARTS_MAX
             || now_ms > q->crashed->known_ms + SUSPECT_WINDOW_MS))
    forget_start (q, q->crashed);
}

static struct crashed_start *
find_start (struct quarantine *q, uint64_t server, uint64_t now_ms)
{
  struct crashed_start *start;

  forget_old_starts (q, now_ms);
  HASH_FIND (hh, q->crashed, &server, sizeof server, start);
  return start;
}

static void
forget_old_suspects (struct quarantine *q, uint64_t now_ms)
{
  while (q->suspects && now_ms > q->suspects->broke_off_ms + SUSPECT_WINDOW_MS)
    forget_suspect (q, q->suspects);
}

static void
add_suspect (struct quarantine *q, const struct crash_record *crash,
             uint64_t now_ms)
{
  struct suspect *s;

  forget_old_suspects (q, now_ms);
  HASH_FIND (hh, q->suspects, crash, SUSPECT_KEY_BYTES, s);
  if (s)
    HASH_DEL (q->suspects, s); /* becomes the newest one */
  else
    s = xcalloc (1, sizeof *s);
  if (HASH_COUNT (q->suspects) >= SUSPECTS_MAX)
    forget_suspect (q, q->suspects);
  s->crash = *crash;
  s->broke_off_ms = now_ms;
  HASH_ADD (hh, q->suspects, crash, SUSPECT_KEY_BYTES, s);
}

void
quarantine_suspect (struct quarantine *q, const struct crash_record *suspect,
                    uint64_t now_ms)
{
  if (find_start (q, suspect->server, now_ms))
    {
      quarantine_add_crash (q, suspect, now_ms);
      return;
    }
  add_suspect (q, suspect, now_ms);
}

static void
add_start (struct quarantine *q, uint64_t server, uint64_t now_ms)
{
  struct crashed_start *start = xcalloc (1, sizeof *start);

  start->server = server;
  start->known_ms = now_ms;
  HASH_ADD (hh, q->crashed, server, sizeof start->server, start);
}

bool
quarantine_server_crashed (struct quarantine *q, uint64_t server,
                           uint64_t now_ms)
{
  struct suspect *s;
  struct suspect *next;

  if (find_start (q, server, now_ms))
    return false;
  add_start (q, server, now_ms);
  forget_old_suspects (q, now_ms);
  HASH_ITER (hh, q->suspects, s, next)
  {
    if (s->crash.server != server)
      continue;
    /* A completion since then shows that another request crashed it. */
    quarantine_add_crash (q, &s->crash, s->broke_off_ms);
    forget_suspect (q, s);
  }
  return true;
}

void
quarantine_free_suspects (struct quarantine *q)
{
  struct crashed_start *start;
  struct crashed_start *next_start;
  struct suspect *s;
  struct suspect *next_suspect;

  HASH_ITER (hh, q->crashed, start, next_start)
  forget_start (q, start);
  HASH_ITER (hh, q->suspects, s, next_suspect)
  forget_suspect (q, s);
}
