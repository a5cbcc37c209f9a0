#include "show.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "client.h"

#define REQUEST_TIMEOUT_MS 5000

json_t *
show_fetch (struct str node, struct str path)
{
  struct client *c = client_create (STR (""));
  struct client_reply r = client_get (c, node, path, REQUEST_TIMEOUT_MS);
  json_t *o = r.err.code == 0 ? json_loadb (r.value.data, r.value.len, 0, NULL)
                              : NULL;

  if (r.err.code != 0)
    fprintf (stderr, "galenagate: --node: " STR_FMT ": %s: %s\n",
             STR_ARG (node), r.err.step, err_str (r.err.code));
  else if (r.status != 200 || !json_is_object (o))
    {
      fprintf (stderr,
               "galenagate: --node: " STR_FMT ": HTTP %d: " STR_FMT "\n",
               STR_ARG (node), r.status, STR_ARG (r.value));
      json_decref (o);
      o = NULL;
    }
  client_reply_free (&r);
  client_destroy (c);
  return o;
}

struct str
show_value (const json_t *value)
{
  if (!value || json_is_null (value))
    return str_dup (STR ("-"));
  if (json_is_string (value))
    return str_dup (str_from (json_string_value (value)));
  return str_from (json_dumps (value, JSON_COMPACT | JSON_ENCODE_ANY));
}

static bool
is_timestamp (const char *name, const json_t *value)
{
  static const char suffix[] = "_at_ms";
  const size_t n = strlen (name);

  return n >= sizeof suffix && json_integer_value (value) > 0
         && strcmp (name + n - (sizeof suffix - 1), suffix) == 0;
}

static void
print_time (json_int_t ms)
{
  const time_t seconds = (time_t)(ms / 1000);
  struct tm tm;
  char text[32];

  if (gmtime_r (&seconds, &tm)
      && strftime (text, sizeof text, "%Y-%m-%dT%H:%M:%S", &tm) > 0)
    printf (" (%s.%03dZ)", text, (int)(ms % 1000));
}

void
show_fields (const json_t *object)
{
  const char *name;
  json_t *value;

  json_object_foreach ((json_t *)object, name, value)
  {
    if (json_is_array (value))
      continue;
    struct str text = show_value (value);
    printf ("%s: " STR_FMT, name, STR_ARG (text));
    if (is_timestamp (name, value))
      print_time (json_integer_value (value));
    printf ("\n");
    str_free (&text);
  }
}
