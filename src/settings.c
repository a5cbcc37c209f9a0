#include "settings.h"

#include <argp.h>
#include <ctype.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "err.h"
#include "netaddr.h"

#define SETTINGS_MAX 32
#define OPTION_KEY_FIRST 0x100
#define VARIABLE_BYTES 64

struct parse_state
{
  const struct setting *settings;
  size_t count;
  const char *values[SETTINGS_MAX];
  int first_arg;
};

static void
variable_name (const struct setting *s, char out[VARIABLE_BYTES])
{
  snprintf (out, VARIABLE_BYTES, "GALENAGATE_%s", s->name);
  for (char *p = out; *p; p++)
    *p = *p == '-' ? '_' : (char)toupper ((unsigned char)*p);
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct parse_state *p = state->input;

  if (key >= OPTION_KEY_FIRST && key < OPTION_KEY_FIRST + (int)p->count)
    {
      p->values[key - OPTION_KEY_FIRST] = arg ? arg : "1";
      return 0;
    }
  if (key == ARGP_KEY_ARGS)
    {
      p->first_arg = state->next;
      return 0;
    }
  if (key == ARGP_KEY_NO_ARGS)
    {
      p->first_arg = state->argc;
      return 0;
    }
  return ARGP_ERR_UNKNOWN;
}

static bool
address_is_valid (const char *text)
{
  struct sockaddr_in unused;

  return netaddr_parse (str_from (text), &unused);
}

static int
report_invalid (const struct setting *s, const char *value,
                const char *allowed)
{
  fprintf (stderr, "galenagate: --%s: '%s' is not valid; allowed: %s\n",
           s->name, value, allowed);
  return -EINVAL;
}

static int
convert_string (const struct setting *s, const char *value, void *out)
{
  static const char http[] = "http://";

  const bool omitted
      = s->default_text && s->default_text[0] == '\0' && !value[0];

  if (s->type == SETTING_ADDRESS && !omitted && !address_is_valid (value))
    return report_invalid (s, value,
                           "IPv4 address and port, for example "
                           "127.0.0.1:7100");
  if (s->type == SETTING_URL
      && (strncmp (value, http, sizeof http - 1) != 0
          || !address_is_valid (value + sizeof http - 1)))
    return report_invalid (s, value, "http://IP:PORT without a path");
  *(struct str *)out = str_dup (str_from (value));
  return 0;
}

static int
convert_number (const struct setting *s, const char *value, void *out)
{
  uint64_t n;
  char allowed[64];

  if (str_u64 (str_from (value), &n) && n >= s->min && n <= s->max)
    {
      *(uint32_t *)out = (uint32_t)n;
      return 0;
    }
  snprintf (allowed, sizeof allowed, "a number from %u to %u", s->min, s->max);
  return report_invalid (s, value, allowed);
}

static int
convert_double (const struct setting *s, const char *value, void *out)
{
  char *end;
  char allowed[64];
  const double n = strtod (value, &end);

  if (end != value && *end == '\0' && n >= s->min && n <= s->max)
    {
      *(double *)out = n;
      return 0;
    }
  snprintf (allowed, sizeof allowed, "a number from %u to %u", s->min, s->max);
  return report_invalid (s, value, allowed);
}

static int
convert_bool (const struct setting *s, const char *value, void *out)
{
  const bool on = strcmp (value, "true") == 0;

  if (!on && strcmp (value, "false") != 0)
    return report_invalid (s, value, "true, false");
  *(bool *)out = on;
  return 0;
}

static int
convert_value (const struct setting *s, const char *value, void *out)
{
  switch (s->type)
    {
    case SETTING_U32:
      return convert_number (s, value, out);
    case SETTING_NUMBER:
      return convert_double (s, value, out);
    case SETTING_BOOL:
      return convert_bool (s, value, out);
    case SETTING_LOG_LEVEL:
      if (log_level_parse (str_from (value), out))
        return 0;
      return report_invalid (s, value, "debug, info, warn, error");
    case SETTING_STRING:
    case SETTING_ADDRESS:
    case SETTING_URL:
      break;
    }
  return convert_string (s, value, out);
}

static int
read_setting (const struct parse_state *p, size_t i, void *out)
{
  const struct setting *s = &p->settings[i];
  char variable[VARIABLE_BYTES];

  variable_name (s, variable);
  const char *value = p->values[i];
  if (!value)
    value = getenv (variable);
  /* Deployment templates render a missing value as an empty string. */
  if (!value || (value[0] == '\0' && s->default_text))
    value = s->default_text;
  if (!value)
    {
      fprintf (stderr, "galenagate: --%s (or %s) is required: %s\n", s->name,
               variable, s->help);
      return -EINVAL;
    }
  return convert_value (s, value, (char *)out + s->offset);
}

/* Returns heap-owned help text with the environment variable and the
   default. */
static char *
option_help (const struct setting *s)
{
  char variable[VARIABLE_BYTES];
  const char *default_text
      = s->default_text && s->default_text[0] ? s->default_text : "none";

  variable_name (s, variable);
  if (!s->default_text)
    return (char *)str_printf ("%s (%s; required)", s->help, variable).data;
  return (char *)str_printf ("%s (%s; default: %s)", s->help, variable,
                             default_text)
      .data;
}

int
settings_parse (int argc, char **argv, const char *summary,
                const char *args_doc, const struct setting *settings,
                size_t count, void *out, int *first_arg)
{
  struct argp_option options[SETTINGS_MAX + 1] = { 0 };
  struct parse_state p
      = { .settings = settings, .count = count, .first_arg = argc };

  if (count > SETTINGS_MAX)
    abort ();
  for (size_t i = 0; i < count; i++)
    options[i] = (struct argp_option){ .name = settings[i].name,
                                       .key = OPTION_KEY_FIRST + (int)i,
                                       .arg = settings[i].arg,
                                       .doc = option_help (&settings[i]) };
  const struct argp argp = { .options = options,
                             .parser = parse_option,
                             .args_doc = args_doc,
                             .doc = summary };
  argp_err_exit_status = 2;
  const error_t error = argp_parse (&argp, argc, argv, 0, NULL, &p);
  for (size_t i = 0; i < count; i++)
    free ((char *)options[i].doc);
  if (error != 0)
    return -EINVAL;
  for (size_t i = 0; i < count; i++)
    {
      const int rc = read_setting (&p, i, out);
      if (rc != 0)
        return rc;
    }
  if (first_arg)
    *first_arg = p.first_arg;
  return 0;
}

void
settings_free (const struct setting *settings, size_t count, void *out)
{
  for (size_t i = 0; i < count; i++)
    if (settings[i].type == SETTING_STRING
        || settings[i].type == SETTING_ADDRESS
        || settings[i].type == SETTING_URL)
      str_free ((struct str *)((char *)out + settings[i].offset));
}
