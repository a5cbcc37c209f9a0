#pragma once

/* Internals of the quarantine; included by edge/quarantine*.c only. */

#include <uthash.h>

#include "edge/quarantine.h"

/* A subject whose attempt at a server broke off. */
struct suspect
{
  struct crash_record crash;
  uint64_t broke_off_ms;
  UT_hash_handle hh;
};

/* A start of a server that is known to have crashed. */
struct crashed_start
{
  uint64_t server;
  uint64_t known_ms;
  UT_hash_handle hh;
};

struct crash
{
  uint64_t server;
  uint64_t next_part; /* that may be the cause; 0: none */
  uint64_t at_ms;
  bool own; /* seen by this node */
};

/* What ran on servers when they crashed. */
struct subject
{
  enum quarantine_kind kind;
  uint64_t fingerprint;
  struct crash crashes[QUARANTINE_CRASHES_MAX];
  uint32_t crash_count;
  uint64_t completed_ms; /* newest completion known beside crashes, or 0 */
  bool completed_here;   /* seen by this node */
  uint64_t updated_ms;   /* newest crash or completion */
  uint32_t listed;       /* number of lists since the last change */
  uint64_t listed_ms;
  UT_hash_handle hh;
};

/* A subject that a server completed. */
struct completion
{
  uint64_t fingerprint;
  uint64_t at_ms;
  UT_hash_handle hh;
};

/* Subjects with crashes have a table of their own, because completed ones
   would displace them within seconds on a busy node. */
struct quarantine
{
  struct subject *subjects;      /* in order of insertion */
  struct completion *completed;  /* in order of insertion */
  struct crashed_start *crashed; /* in the order in which they became known */
  struct suspect *suspects;      /* in the order of their breaks */
  uint64_t version;              /* see quarantine_version() */
  quarantine_change_fn changed;  /* NULL: not observed */
  void *ctx;
};

/* ---- quarantine.c ---- */

/** quarantine_expired() - returns true if the evidence on the subject is too
 * old to count. */
bool quarantine_expired (const struct subject *subject, uint64_t now_ms);
/** quarantine_refused() - returns true if the subject must not run again. */
bool quarantine_refused (const struct quarantine *quarantine,
                         const struct subject *subject, uint64_t now_ms);
/** quarantine_drop_disproved() - forget which part may explain the subject's
 * crashes where a completion shows that it doesn't. Other nodes may not know
 * of the completion. */
void quarantine_drop_disproved (struct quarantine *quarantine,
                                struct subject *subject, uint64_t now_ms);

/* ---- quarantine_suspects.c ---- */

/** quarantine_free_suspects() - free the suspects and the crashed starts. */
void quarantine_free_suspects (struct quarantine *quarantine);
