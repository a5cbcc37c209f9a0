#pragma once

#include <stddef.h>
#include <stdint.h>

#include "edge/quarantine.h"

/* What the fate of a prompt says of its shared parts, one of which may crash
   each server that runs it. Pure.

   A run has phases, and a server that crashes on a part does so in one of
   them. A crash counts for the phase that the run was in. It is evidence
   against all parts of the prompt, and a run that has passed the phase is
   evidence for all of its own. So the evidence against a part under which
   servers crash within the response is not cleared by responses that merely
   begin, and sound parts are cleared as soon as a response has come further
   than the crashes. */

enum prompt_phase
{
  PHASE_BEFORE,    /* the server has not responded */
  PHASE_BEGINNING, /* nothing came later than PROMPT_BEGINNING_MS after the
                      first part of the response */
  PHASE_REST,      /* until the response is complete */
};
#define PROMPT_PHASES 3
/* Servers that crash when they begin to respond do so within this time. */
#define PROMPT_BEGINNING_MS 1000

/**
 * struct prompt_parts - shared parts of a prompt.
 * @fingerprints: of each part in each phase, in the order of the prompt;
 *   heap-owned.
 */
struct prompt_parts
{
  uint64_t (*fingerprints)[PROMPT_PHASES];
  size_t count;
};

/** promptparts_read() - set the fingerprints of all shared parts.
 * @list: the @prompt_parts of a call's headers. */
void promptparts_read (struct str list, struct prompt_parts *out);
void promptparts_free (struct prompt_parts *parts);
/** promptparts_suspect() - record that a run of the prompt broke off.
 * @phase: the phase that it was in.
 * @server: quarantine_server_hash() of the start of the server.
 */
void promptparts_suspect (struct quarantine *quarantine,
                          const struct prompt_parts *parts,
                          enum prompt_phase phase, uint64_t server,
                          uint64_t now_ms);
/** promptparts_passed() - record that a run of the prompt has passed the
 * phase, and thus those before it. */
void promptparts_passed (struct quarantine *quarantine,
                         const struct prompt_parts *parts,
                         enum prompt_phase phase, uint64_t now_ms);
/** promptparts_refused() - returns the fingerprint of a part that must not run
 * again; 0 if there is none. */
uint64_t promptparts_refused (const struct quarantine *quarantine,
                              const struct prompt_parts *parts,
                              uint64_t now_ms);
