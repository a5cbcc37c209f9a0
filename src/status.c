#include <stddef.h>
#include <stdio.h>

#include <jansson.h>

#include "cli.h"
#include "client.h"
#include "settings.h"
#include "show.h"

struct options
{
  struct str node;
  uint32_t json;
};

#define FIELD(f) .offset = offsetof (struct options, f)

static const struct setting status_settings[] = {
  { "node", "IP:PORT", "address of a node for clients", SETTING_ADDRESS,
    FIELD (node), NULL, 0, 0 },
  { "json", "0|1", "1: print the node's response as JSON", SETTING_U32,
    FIELD (json), "0", 0, 1 },
};
#define SETTING_COUNT (sizeof status_settings / sizeof *status_settings)

#define COLUMNS_MAX 6

/* Lists of the response that are printed as tables, with their columns. */
static const struct table
{
  const char *list;
  const char *columns[COLUMNS_MAX];
} tables[] = {
  { "members",
    { "addr", "http_addr", "region", "domain", "state", "revision" } },
  { "leases", { "lease", "held", "fence", "holder" } },
  { "scheduled", { "service", "model", "targets", "waiting", "in_flight" } },
};

static size_t
column_width (const json_t *rows, const char *column)
{
  size_t width = str_from (column).len;
  size_t i;
  json_t *row;

  json_array_foreach (rows, i, row)
  {
    struct str text = show_value (json_object_get (row, column));

    if (text.len > width)
      width = text.len;
    str_free (&text);
  }
  return width;
}

static void
print_table (const struct table *t, const json_t *rows)
{
  size_t widths[COLUMNS_MAX] = { 0 };
  size_t i;
  json_t *row;

  for (size_t c = 0; c < COLUMNS_MAX && t->columns[c]; c++)
    widths[c] = column_width (rows, t->columns[c]);
  printf ("\n");
  for (size_t c = 0; c < COLUMNS_MAX && t->columns[c]; c++)
    printf ("%-*s  ", (int)widths[c], t->columns[c]);
  printf ("\n");
  json_array_foreach (rows, i, row)
  {
    for (size_t c = 0; c < COLUMNS_MAX && t->columns[c]; c++)
      {
        struct str text = show_value (json_object_get (row, t->columns[c]));

        printf ("%-*s  ", (int)widths[c], text.data);
        str_free (&text);
      }
    printf ("\n");
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
      show_fields (status);
      for (size_t i = 0; i < sizeof tables / sizeof *tables; i++)
        print_table (&tables[i], json_object_get (status, tables[i].list));
    }
  json_decref (status);

out:
  settings_free (status_settings, SETTING_COUNT, &o);
  return rc;
}

static const struct cli_command command = {
  .name = "status", .summary = "show a node's view of the system", .run = run
};
CLI_COMMAND (command)
