#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "log.h"
#include "str.h"

/** struct settings - checked settings of one node; see node.c for flags. */
struct settings
{
  struct str bus_addr;   /* ip:port of the bus (TCP) and gossip (UDP) */
  struct str http_addr;  /* ip:port for callers */
  struct str admin_addr; /* ip:port for operators; empty: on http_addr */
  struct str region;
  struct str domain;    /* failure domain */
  struct str store_url; /* for example http://10.0.0.1:7000 */
  struct str seeds;     /* comma-separated bus addresses; may be empty */
  enum log_level log_level;
  uint32_t lease_ttl_ms;
  uint32_t lease_margin_ms;
  uint32_t pause_bound_ms; /* longest pause of a process that is assumed */
  uint32_t drain_delay_ms; /* listening goes on this long after SIGTERM */
  uint32_t drain_limit_ms;
  uint32_t claim_partitions;
  uint32_t claim_interval_ms;
  uint32_t claim_lifetime_s;
  uint32_t body_limit_bytes;
};

enum setting_type
{
  SETTING_STRING,
  SETTING_ADDRESS, /* ip:port; a fallback of "" makes it optional */
  SETTING_URL,     /* http://ip:port */
  SETTING_U32,
  SETTING_NUMBER, /* a double between min and max */
  SETTING_BOOL,   /* true or false */
  SETTING_LOG_LEVEL,
};

/**
 * struct setting - one flag "--name" and its variable GALENAGATE_NAME.
 * @arg: name of the argument; NULL makes a flag without one, which gives 1.
 * @offset: of the field in the command's settings struct.
 * @fallback: default as text; NULL makes the setting required.
 * @min: smallest allowed value of a number.
 * @max: largest allowed value of a number.
 */
struct setting
{
  const char *name;
  const char *arg;
  const char *help;
  enum setting_type type;
  size_t offset;
  const char *fallback;
  uint32_t min;
  uint32_t max;
};

/**
 * settings_parse() - read flags and environment into a command's struct.
 * @summary: one line on the command for --help.
 * @settings: @count settings; flags go before variables, then defaults.
 * @out: struct that the offsets refer to; strings are heap-owned.
 * @rest: index in @argv of the first argument that is no flag.
 *
 * Returns 0, or -EINVAL after a message on stderr that names the flag, the
 * value and what is allowed. --help prints the flags and exits with 0.
 */
int settings_parse (int argc, char **argv, const char *summary,
                    const char *args_doc, const struct setting *settings,
                    size_t count, void *out, int *rest);
void settings_free (const struct setting *settings, size_t count, void *out);
