#include "edge/promptparts.h"

#include <stdlib.h>

#include "err.h"
#include "platform/callheaders.h"

static enum quarantine_kind
kind_of (enum prompt_phase phase)
{
  static const enum quarantine_kind kinds[PROMPT_PHASES] = {
    [PHASE_BEFORE] = QUARANTINE_PART,
    [PHASE_BEGINNING] = QUARANTINE_PART_BEGINNING,
    [PHASE_REST] = QUARANTINE_PART_REST,
  };

  return kinds[phase];
}

void
promptparts_read (struct str list, struct prompt_parts *out)
{
  struct str id;

  out->count = call_count_shared_parts (list);
  out->fingerprints = xcalloc (out->count + 1, sizeof *out->fingerprints);
  for (size_t i = 0; call_next_shared_part (&list, &id); i++)
    for (int phase = 0; phase < PROMPT_PHASES; phase++)
      out->fingerprints[i][phase]
          = quarantine_part_fingerprint (id, kind_of (phase));
}

void
promptparts_free (struct prompt_parts *p)
{
  free (p->fingerprints);
  *p = (struct prompt_parts){ 0 };
}

void
promptparts_suspect (struct quarantine *q, const struct prompt_parts *p,
                     enum prompt_phase phase, uint64_t server, uint64_t now_ms)
{
  for (size_t i = 0; i < p->count; i++)
    {
      const struct crash_record suspect = {
        .fingerprint = p->fingerprints[i][phase],
        .server = server,
        .next_part = i + 1 < p->count ? p->fingerprints[i + 1][phase] : 0,
        .kind = kind_of (phase),
      };

      quarantine_suspect (q, &suspect, now_ms);
    }
}

void
promptparts_passed (struct quarantine *q, const struct prompt_parts *p,
                    enum prompt_phase phase, uint64_t now_ms)
{
  for (int passed = PHASE_BEFORE; passed <= (int)phase; passed++)
    for (size_t i = 0; i < p->count; i++)
      quarantine_completed (q, p->fingerprints[i][passed], now_ms);
}

uint64_t
promptparts_refused (const struct quarantine *q, const struct prompt_parts *p,
                     uint64_t now_ms)
{
  for (int phase = 0; phase < PROMPT_PHASES; phase++)
    for (size_t i = 0; i < p->count; i++)
      if (quarantine_contains (q, p->fingerprints[i][phase], now_ms))
        return p->fingerprints[i][phase];
  return 0;
}
