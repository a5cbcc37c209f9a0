#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli.h"
#include "logtrace.h"
#include "settings.h"

/* Sub-command "trace": prints the log lines of all nodes that explain a call.
 */

static int
read_lines (struct logtrace *t, const char *path)
{
  FILE *f = strcmp (path, "-") == 0 ? stdin : fopen (path, "r");
  char *line = NULL;
  size_t capacity = 0;
  ssize_t n;

  if (!f)
    {
      fprintf (stderr, "galenagate: %s: %s\n", path, strerror (errno));
      return -1;
    }
  while ((n = getline (&line, &capacity, f)) > 0)
    {
      if (line[n - 1] == '\n')
        n--;
      logtrace_add (t, (struct str){ line, (size_t)n });
    }
  free (line);
  if (f != stdin)
    fclose (f);
  return 0;
}

static void
print_line (void *ctx, struct str line)
{
  (void)ctx;
  printf (STR_FMT "\n", STR_ARG (line));
}

static int
print_trace (const char *id, char **paths, int count)
{
  struct logtrace *t = logtrace_create (str_from (id));
  int rc = EXIT_FAILED;

  for (int i = 0; i < count; i++)
    if (read_lines (t, paths[i]) != 0)
      goto out;
  if (logtrace_select (t) == 0)
    {
      fprintf (stderr, "galenagate: no log line has id=%s\n", id);
      goto out;
    }
  logtrace_each (t, print_line, NULL);
  rc = EXIT_DONE;

out:
  logtrace_destroy (t);
  return rc;
}

static int
run (int argc, char **argv)
{
  int first_arg = 0;

  if (settings_parse (argc, argv, "Show the log lines that explain a call.",
                      "ID FILE...", NULL, 0, NULL, &first_arg)
      != 0)
    return EXIT_USAGE;
  if (argc - first_arg < 2)
    {
      fprintf (stderr, "galenagate: ID and at least one FILE (or -) are"
                       " required\n");
      return EXIT_USAGE;
    }
  return print_trace (argv[first_arg], argv + first_arg + 1,
                      argc - first_arg - 1);
}

static const struct cli_command command
    = { .name = "trace",
        .summary = "show the log lines that explain a call",
        .run = run };
CLI_COMMAND (command)
