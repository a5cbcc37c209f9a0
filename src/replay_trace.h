#pragma once

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "str.h"

/* Parser of the traces for `galenagate replay` (docs/traces.md). */

enum trace_kind
{
  TRACE_LISTS,
  TRACE_SERVICE,
  TRACE_REQUEST,
  TRACE_FAIL,
  TRACE_EDIT,
};

#define TRACE_DOMAINS_MAX 8

/** struct trace_event - one line of a trace; its strings are valid until the
 * next call of trace_next() or trace_close(). */
struct trace_event
{
  enum trace_kind kind;
  uint64_t t_ms;
  /* TRACE_LISTS: paths, relative to the trace */
  struct str plans;
  struct str uses;
  /* TRACE_SERVICE */
  struct str service;
  uint32_t servers;
  struct str domains[TRACE_DOMAINS_MAX];
  size_t domain_count;
  uint64_t memory_bytes;
  uint32_t first_byte_ms;
  uint32_t token_us;
  /* TRACE_REQUEST, TRACE_EDIT */
  struct str customer;
  struct str class_name;
  struct str model;
  struct str adapter;
  uint32_t tokens;
  uint32_t deadline_ms;
  bool idempotent;
  /* TRACE_FAIL */
  uint32_t server;
  uint32_t back_ms;
  /* TRACE_EDIT */
  uint32_t max_replicas;
};

struct trace;

/** trace_open() - opens a trace; @path must outlive it. Returns NULL after a
 * message on stderr if the file cannot be opened. */
struct trace *trace_open (const char *path);
/**
 * trace_next() - reads the next event.
 *
 * Returns 1, or 0 at the end of the trace, or -EINVAL after a message on
 * stderr with the number of the line and the field that is not valid.
 */
int trace_next (struct trace *trace, struct trace_event *out);
void trace_close (struct trace *trace);
