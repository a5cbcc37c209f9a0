#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "log.h"
#include "str.h"

/** struct settings - validated settings of one node; node.c lists the flags.
 */
struct settings
{
  struct str bus_addr;   /* ip:port of the bus (TCP) and gossip (UDP) */
  struct str http_addr;  /* ip:port for clients */
  struct str admin_addr; /* ip:port for operators; empty: use http_addr */
  struct str region;
  struct str domain;    /* failure domain */
  struct str store_url; /* for example http://10.0.0.1:7000 */
  struct str seeds;     /* comma-separated bus addresses; may be empty */
  enum log_level log_level;
  uint32_t lease_ttl_ms;
  uint32_t lease_margin_ms;
  uint32_t pause_bound_ms; /* assumed upper bound on pauses of a process */
  uint32_t drain_delay_ms; /* keeps listening for this long after SIGTERM */
  uint32_t drain_limit_ms;
  uint32_t claim_partitions;
  uint32_t claim_interval_ms;
  uint32_t claim_lifetime_s;
  uint32_t body_limit_bytes;
};

enum setting_type
{
  SETTING_STRING,
  SETTING_ADDRESS, /* ip:port; a default_text of "" makes it optional */
  SETTING_URL,     /* http://ip:port */
  SETTING_U32,
  SETTING_NUMBER, /* a double between min and max */
  SETTING_BOOL,   /* true or false */
  SETTING_LOG_LEVEL,
};

/**
 * struct setting - one flag "--name" and environment variable GALENAGATE_NAME.
 * @arg: name of the argument in --help. NULL: the flag takes no argument and
 *   sets the value 1.
 * @offset: offset of the field in the command's settings struct.
 * @default_text: default value; NULL makes the setting required.
 * @min: minimum of a number.
 * @max: maximum of a number.
 */
struct setting
{
  const char *name;
  const char *arg;
  const char *help;
  enum setting_type type;
  size_t offset;
  const char *default_text;
  uint32_t min;
  uint32_t max;
};

/**
 * settings_parse() - parse flags and environment into a command's struct.
 * @summary: one-line description of the command for --help.
 * @args_doc: positional arguments for --help; may be NULL.
 * @settings: @count settings. A flag overrides the environment variable, which
 *   overrides the default.
 * @out: struct that the offsets refer to; its strings are heap-owned.
 * @first_arg: set to the index in @argv of the first positional argument;
 *   @argc if there is none. May be NULL.
 *
 * Returns 0, or -EINVAL after printing an error to stderr that names the flag,
 * the value and the allowed values. --help prints the flags and exits with 0;
 * a usage error that argp finds exits with 2.
 */
int settings_parse (int argc, char **argv, const char *summary,
                    const char *args_doc, const struct setting *settings,
                    size_t count, void *out, int *first_arg);
void settings_free (const struct setting *settings, size_t count, void *out);
