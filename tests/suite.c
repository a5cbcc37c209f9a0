#include "suite.h"

#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <CUnit/Basic.h>

#include "log.h"

#define SUITES_MAX 64

static struct
{
  const char *name;
  const struct suite_case *cases;
  size_t n;
} suites[SUITES_MAX];
static size_t suite_count;

void
suite_register (const char *name, const struct suite_case *cases, size_t n)
{
  if (suite_count == SUITES_MAX)
    return;
  suites[suite_count].name = name;
  suites[suite_count].cases = cases;
  suites[suite_count].n = n;
  suite_count++;
}

/* ---- known failing tests ---- */

/* Returns true if the file named by the environment variable KNOWN_RED has the
   line "SUITE / CASE" for the test. `make check` sets the variable to
   KNOWN-RED.txt. */
static bool
is_known_red (const char *suite, const char *name)
{
  const char *path = getenv ("KNOWN_RED");
  FILE *f = path ? fopen (path, "r") : NULL;
  char line[256];
  char expected_line[256];
  bool found = false;

  snprintf (expected_line, sizeof expected_line, "%s / %s\n", suite, name);
  while (f && !found && fgets (line, sizeof line, f))
    found = strcmp (line, expected_line) == 0;
  if (f)
    fclose (f);
  return found;
}

static void
add_test (CU_pSuite suite, const char *suite_name, const struct suite_case *c)
{
  if (is_known_red (suite_name, c->name))
    printf ("skipped, known to fail: %s / %s\n", suite_name, c->name);
  else
    CU_add_test (suite, c->name, c->run);
}

/* Usage: PROGRAM [SUITE]. Runs the given suite, or all suites, and skips the
   tests that are known to fail. */
int
main (int argc, char **argv)
{
  setvbuf (stdout, NULL, _IOLBF, 0);
  log_start (LOG_LEVEL_ERROR, "test");
  if (CU_initialize_registry () != CUE_SUCCESS)
    return 1;
  for (size_t i = 0; i < suite_count; i++)
    {
      if (argc > 1 && strcmp (argv[1], suites[i].name) != 0)
        continue;
      CU_pSuite suite = CU_add_suite (suites[i].name, NULL, NULL);
      for (size_t j = 0; j < suites[i].n; j++)
        add_test (suite, suites[i].name, &suites[i].cases[j]);
    }
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  const unsigned failed = CU_get_number_of_failures ();
  const unsigned ran = CU_get_number_of_tests_run ();
  CU_cleanup_registry ();
  return failed > 0 || ran == 0;
}
