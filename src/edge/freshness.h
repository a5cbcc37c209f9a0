#pragma once

#include <stdbool.h>
#include <stdint.h>

/* Whether a call to the platform's store may be answered from a stale view:
   one that may be seconds old, and costs a tenth of a fresh read. The
   placement holder reads fresh and tells all nodes the revision of the newest
   change, so a view that lacks it is noticed. Pure: times and revisions in, a
   decision out. */

/**
 * struct freshness - of what a node knows of one kind of objects. Zero at the
 * start.
 * @trusted: another node tells the newest revision.
 * @told: newest revision that was told.
 * @told_ms: when a revision was first told that is still lacking.
 * @seen: revision that the node's own view has reached.
 * @under_way: a call was begun and its answer has not come.
 * @stale: the newest call may be answered from a stale view.
 * @begun_told: @told at its begin.
 * @begun_ms: its begin.
 * @lagged: the last stale answer lacked what was told before its call.
 */
struct freshness
{
  bool trusted;
  uint64_t told;
  uint64_t told_ms;
  uint64_t seen;
  bool under_way;
  bool stale;
  uint64_t begun_told;
  uint64_t begun_ms;
  bool lagged;
};

/** freshness_trust() - does another node tell the newest revision. */
void freshness_trust (struct freshness *f, bool trusted);
/** freshness_told() - a change with this revision exists. */
void freshness_told (struct freshness *f, uint64_t revision, uint64_t now_ms);
/**
 * freshness_begin() - a call begins.
 * @allowed: false for a call that must be fresh in any case.
 *
 * Returns whether it may be stale.
 */
bool freshness_begin (struct freshness *f, bool allowed, uint64_t now_ms);
/**
 * freshness_seen() - the call's answer shows the view up to a revision.
 *
 * Returns whether it lacks a change that was told before the call: the next
 * call should follow at once.
 */
bool freshness_seen (struct freshness *f, uint64_t revision);
/** freshness_overdue() - the call under way must be replaced by a fresh one:
 * nobody tells the newest revision any more, or a change that was told has not
 * arrived. */
bool freshness_overdue (const struct freshness *f, uint64_t now_ms);
