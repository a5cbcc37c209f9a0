#include <stddef.h>
#include <stdio.h>

#include <jansson.h>

#include "cli.h"
#include "client.h"
#include "settings.h"
#include "show.h"

#define COLUMN_COUNT 6

struct options
{
  struct str node;
  uint32_t json;
};

#define FIELD(f) .offset = offsetof (struct options, f)

static const struct setting status_settings[] = {
  { "node", "IP:PORT", "a node's address for callers", SETTING_ADDRESS,
    FIELD (node), NULL, 0, 0 },
  { "json", "0|1", "1: print the node's answer as JSON", SETTING_U32,
    FIELD (json), "0", 0, 1 },
};
#define SETTING_COUNT (sizeof status_settings / sizeof *status_settings)

/* Columns that nodes of this version give, in order. */
static const char *const columns[COLUMN_COUNT]
    = { "addr", "http_addr", "region", "domain", "state", "revision" };

static void
print_members (const json_t *members)
{
  size_t widths[COLUMN_COUNT];
  size_t i;
  json_t *m;

  for (size_t c = 0; c < COLUMN_COUNT; c++)
    widths[c] = str_from (columns[c]).len;
  json_array_foreach (members, i, m)
  {
    for (size_t c = 0; c < COLUMN_COUNT; c++)
      {
        struct str text = show_value (json_object_get (m, columns[c]));

        if (text.len > widths[c])
          widths[c] = text.len;
        str_free (&text);
      }
  }
  printf ("\n");
  for (size_t c = 0; c < COLUMN_COUNT; c++)
    printf ("%-*s%s", (int)widths[c], columns[c],
            c + 1 < COLUMN_COUNT ? "  " : "\n");
  json_array_foreach (members, i, m)
  {
    for (size_t c = 0; c < COLUMN_COUNT; c++)
      {
        struct str text = show_value (json_object_get (m, columns[c]));

        printf ("%-*s%s", (int)widths[c], text.data,
                c + 1 < COLUMN_COUNT ? "  " : "\n");
        str_free (&text);
      }
  }
}

static int
run (int argc, char **argv)
{
  struct options o = { 0 };
  json_t *status = NULL;
  int rc = EXIT_USAGE;

  if (settings_parse (argc, argv, "Show a node's view of the system.", NULL,
                      status_settings, SETTING_COUNT, &o, NULL)
      != 0)
    goto out;
  status = show_fetch (o.node, STR ("/admin/status"));
  rc = status ? EXIT_DONE : EXIT_FAILED;
  if (status && o.json)
    {
      json_dumpf (status, stdout, JSON_INDENT (2));
      printf ("\n");
    }
  else if (status)
    {
      show_members (status);
      print_members (json_object_get (status, "members"));
    }
  json_decref (status);

out:
  settings_free (status_settings, SETTING_COUNT, &o);
  return rc;
}

static const struct cli_command command
    = { .name = "status", .summary = "show a node's view", .run = run };
CLI_COMMAND (command)
