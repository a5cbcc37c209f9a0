#include "edge/promptparts.h"

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
promptparts_read (const struct str *ids, size_t count,
                  struct prompt_parts *out)
{
  out->count = count < PROMPT_PARTS_MAX ? count : PROMPT_PARTS_MAX;
  for (int phase = 0; phase < PROMPT_PHASES; phase++)
    for (size_t i = 0; i < out->count; i++)
      out->fingerprints[phase][i]
          = quarantine_part_fingerprint (ids[i], kind_of (phase));
}

void
promptparts_suspect (struct quarantine *q, const struct prompt_parts *p,
                     enum prompt_phase phase, uint64_t server, uint64_t now_ms)
{
  const uint64_t *parts = p->fingerprints[phase];

  for (size_t i = 0; i < p->count; i++)
    {
      const struct crash_record suspect = {
        .fingerprint = parts[i],
        .server = server,
        .next_part = i + 1 < p->count ? parts[i + 1] : 0,
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
      quarantine_completed (q, p->fingerprints[passed][i], now_ms);
}

uint64_t
promptparts_refused (const struct quarantine *q, const struct prompt_parts *p,
                     uint64_t now_ms)
{
  for (int phase = 0; phase < PROMPT_PHASES; phase++)
    for (size_t i = 0; i < p->count; i++)
      if (quarantine_contains (q, p->fingerprints[phase][i], now_ms))
        return p->fingerprints[phase][i];
  return 0;
}
