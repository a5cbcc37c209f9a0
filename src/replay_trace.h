#pragma once

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "str.h"

/* Traces for `galenagate replay`; the format is in docs/traces.md. */

enum trace_kind
{
  TRACE_LISTS,
  TRACE_SERVICE,
  TRACE_REQUEST,
  TRACE_FAIL,
  TRACE_EDIT,
};

#define TRACE_DOMAINS_MAX 8

/** struct trace_event - one line; strings are valid until the next one. */
struct trace_event
{
  enum trace_kind kind;
  uint64_t t_ms;
  /* TRACE_LISTS: paths relative to the trace. */
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

/** trace_open() - NULL with a message on stderr when it cannot be read. */
struct trace *trace_open (const char *path);
/**
 * trace_next() - next event.
 * Returns 1, 0 at the end, or -EINVAL after a message on stderr that names the
 * line and what is wrong with it.
 */
int trace_next (struct trace *trace, struct trace_event *out);
void trace_close (struct trace *trace);
