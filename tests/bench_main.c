#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <CUnit/Basic.h>

#include "log.h"
#include "suite.h"

#define PARTS_MAX 32
/* Ends a run that hangs; the processes that it started end with it. */
#define MAX_S 360

static struct
{
  const char *name;
  const struct suite_case *cases;
  size_t n;
} parts[PARTS_MAX];
static size_t part_count;

void
suite_register (const char *name, const struct suite_case *cases, size_t n)
{
  if (part_count == PARTS_MAX)
    return;
  parts[part_count].name = name;
  parts[part_count].cases = cases;
  parts[part_count].n = n;
  part_count++;
}

static bool
wanted (const char *name, int argc, char **argv)
{
  for (int i = 1; i < argc; i++)
    if (strcmp (argv[i], name) == 0)
      return true;
  return argc == 1;
}

/* Usage: bench [PART]...; runs these parts or all. */
int
main (int argc, char **argv)
{
  size_t chosen = 0;

  alarm (MAX_S);
  setvbuf (stdout, NULL, _IOLBF, 0);
  log_start (LOG_LEVEL_ERROR, "bench");
  if (CU_initialize_registry () != CUE_SUCCESS)
    return 1;
  for (size_t i = 0; i < part_count; i++)
    {
      if (!wanted (parts[i].name, argc, argv))
        continue;
      CU_pSuite suite = CU_add_suite (parts[i].name, NULL, NULL);
      for (size_t j = 0; j < parts[i].n; j++)
        CU_add_test (suite, parts[i].cases[j].name, parts[i].cases[j].run);
      chosen++;
    }
  if (chosen == 0)
    {
      fprintf (stderr, "bench: no such part; allowed are:");
      for (size_t i = 0; i < part_count; i++)
        fprintf (stderr, " %s", parts[i].name);
      fprintf (stderr, "\n");
      return 2;
    }
  CU_run_all_tests ();
  CU_basic_show_failures (CU_get_failure_list ());
  const unsigned failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed > 0;
}
