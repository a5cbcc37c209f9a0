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
};

static const struct setting explain_settings[] = {
  { "node", "IP:PORT", "a node's address for callers", SETTING_ADDRESS,
    offsetof (struct options, node), NULL, 0, 0 },
};

static int
explain (struct str node, const char *customer, const char *key)
{
  struct str c = str_percent_encode (str_from (customer));
  struct str k = str_percent_encode (str_from (key));
  struct str path
      = str_printf ("/admin/explain?customer=" STR_FMT "&key=" STR_FMT,
                    STR_ARG (c), STR_ARG (k));
  json_t *record = show_fetch (node, path);

  if (record)
    show_fields (record);
  json_decref (record);
  str_free (&c);
  str_free (&k);
  str_free (&path);
  return record ? EXIT_DONE : EXIT_FAILED;
}

static int
run (int argc, char **argv)
{
  struct options o = { 0 };
  int rest = 0;
  int rc = EXIT_USAGE;

  if (settings_parse (argc, argv, "Show the state and outcome of a call.",
                      "CUSTOMER KEY", explain_settings, 1, &o, &rest)
      != 0)
    goto out;
  if (argc - rest != 2)
    fprintf (stderr, "galenagate: CUSTOMER and KEY are required\n");
  else
    rc = explain (o.node, argv[rest], argv[rest + 1]);

out:
  settings_free (explain_settings, 1, &o);
  return rc;
}

static const struct cli_command command
    = { .name = "explain",
        .summary = "show the state and outcome of a call",
        .run = run };
CLI_COMMAND (command)
