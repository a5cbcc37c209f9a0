#include "cli.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define COMMANDS_MAX 16
#define PROGRAM_NAME_BYTES 64

static const struct cli_command *commands[COMMANDS_MAX];
static size_t command_count;

void
cli_register (const struct cli_command *command)
{
  if (command_count == COMMANDS_MAX)
    abort ();
  commands[command_count++] = command;
}

static void
usage (FILE *out)
{
  fprintf (out, "Usage: galenagate COMMAND [OPTION...]\n\nCommands:\n");
  for (size_t i = 0; i < command_count; i++)
    fprintf (out, "  %-8s %s\n", commands[i]->name, commands[i]->summary);
  fprintf (
      out,
      "\n'galenagate COMMAND --help' lists a command's options.\n"
      "Exit codes: 0 success, 1 failure, 2 usage error or invalid setting, "
      "3 conflict, 4 accepted but not in force in time.\n");
}

int
cli_run (int argc, char **argv)
{
  if (argc < 2)
    {
      usage (stderr);
      return EXIT_USAGE;
    }
  if (strcmp (argv[1], "--help") == 0 || strcmp (argv[1], "help") == 0)
    {
      usage (stdout);
      return EXIT_DONE;
    }
  for (size_t i = 0; i < command_count; i++)
    if (strcmp (argv[1], commands[i]->name) == 0)
      {
        char name[PROGRAM_NAME_BYTES];

        /* argp uses argv[0] as the program name in its messages. */
        snprintf (name, sizeof name, "galenagate %s", argv[1]);
        argv[1] = name;
        return commands[i]->run (argc - 1, argv + 1);
      }
  fprintf (stderr, "galenagate: unknown command '%s'\n", argv[1]);
  usage (stderr);
  return EXIT_USAGE;
}
