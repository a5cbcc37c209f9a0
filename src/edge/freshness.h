#pragma once

#include <stdbool.h>
#include <stdint.h>

/* Decides whether a call to the platform's store may be answered from a stale
   view, which may be seconds old and costs a tenth of a fresh read. The
   placement holder reads fresh and announces the revision of the newest change
   to all nodes, so a view that lacks it is detected. Pure: does no I/O and
   reads no clock. */

/**
 * struct freshness - freshness of a node's view of one kind of objects.
 * @trusted: another node announces the newest revision.
 * @announced: newest revision announced.
 * @lacking_since_ms: when the view first lacked an announced revision; void
 *   while it lacks none.
 * @reached: revision that the node's own view has reached.
 * @in_flight: a call has been started and is not answered yet.
 * @stale: the last call may be answered from a stale view.
 * @announced_at_start: value of @announced at the start of that call.
 * @started_ms: start of that call.
 * @lagged: the last answer was stale and lacked a revision announced before
 *   its call.
 *
 * Zero-initialise it.
 */
struct freshness
{
  bool trusted;
  uint64_t announced;
  uint64_t lacking_since_ms;
  uint64_t reached;
  bool in_flight;
  bool stale;
  uint64_t announced_at_start;
  uint64_t started_ms;
  bool lagged;
};

/** freshness_set_trusted() - set whether another node announces the newest
 * revision. */
void freshness_set_trusted (struct freshness *f, bool trusted);
/** freshness_announced() - record that a change with this revision exists. */
void freshness_announced (struct freshness *f, uint64_t revision,
                          uint64_t now_ms);
/**
 * freshness_call_started() - record the start of a call.
 * @allowed: false for a call that must be fresh in any case.
 *
 * Returns true if the call may be answered from a stale view.
 */
bool freshness_call_started (struct freshness *f, bool allowed,
                             uint64_t now_ms);
/**
 * freshness_answered() - record the revision that the call's answer reaches.
 *
 * Returns true if the answer lacks a change announced before the call; the
 * next call should then follow at once.
 */
bool freshness_answered (struct freshness *f, uint64_t revision);
/** freshness_forbid_stale() - the answer was from a view that is too old to be
 * used; the next call is fresh. */
void freshness_forbid_stale (struct freshness *f);
/** freshness_restart() - the store gives out revisions again, so that none is
 * comparable with an earlier one. No call may be in flight. */
void freshness_restart (struct freshness *f);
/** freshness_must_replace() - Returns true if the call in flight must be
 * replaced by a fresh one, because no node announces the newest revision any
 * more or an announced change has not arrived in time. */
bool freshness_must_replace (const struct freshness *f, uint64_t now_ms);
