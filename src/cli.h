#pragma once

/* Exit codes of all sub-commands. */
enum exit_code
{
  EXIT_DONE = 0,
  EXIT_FAILED = 1,
  EXIT_USAGE = 2,
  EXIT_CONFLICT = 3,
  EXIT_NOT_IN_FORCE = 4, /* accepted, but not in force in time */
};

/**
 * struct cli_command - a sub-command, registered with CLI_COMMAND.
 * @run: run the sub-command. argv[0] is "galenagate NAME". Returns an enum
 *   exit_code.
 */
struct cli_command
{
  const char *name;
  const char *summary;
  int (*run) (int argc, char **argv);
};

void cli_register (const struct cli_command *command);
#define CLI_COMMAND(command)                                                  \
  __attribute__ ((constructor)) static void register_command (void)           \
  {                                                                           \
    cli_register (&(command));                                                \
  }

/** cli_run() - run the sub-command named by argv[1]. */
int cli_run (int argc, char **argv);
