#include "replay.h"

#include <stdio.h>

#include "suite.h"

static struct str
read_file (const char *path)
{
  FILE *file = fopen (path, "re");
  struct buf b = { 0 };
  char part[4096];
  size_t n;

  while (file && (n = fread (part, 1, sizeof part, file)) > 0)
    buf_append (&b, (struct str){ part, n });
  if (file)
    fclose (file);
  return (struct str){ b.data, b.len };
}

/* Guards against a change of scheduling or placement whose effect on recorded
   traffic nobody looked at. When the outcome is meant to change, `make traces`
   writes the new one, and the difference belongs in the commit message. */
static void
test_stated_outcomes (void)
{
  static const char *const traces[]
      = { "titlovi-day", "titlovi-burst", "magnolia-day", "magnolia-burst" };

  for (size_t i = 0; i < sizeof traces / sizeof *traces; i++)
    for (int naive = 0; naive < 2; naive++)
      {
        char trace[64];
        char outcome[64];
        struct str report = { 0 };

        snprintf (trace, sizeof trace, "tests/traces/%s.jsonl", traces[i]);
        snprintf (outcome, sizeof outcome, "tests/traces/%s.%s.json",
                  traces[i], naive ? "naive" : "real");
        struct str stated = read_file (outcome);

        CU_ASSERT_EQUAL (replay_run (trace, naive, &report), 0);
        CU_ASSERT_TRUE (stated.len > 0 && str_eq (report, stated));
        str_free (&report);
        str_free (&stated);
      }
}

static const struct suite_case cases[] = {
  { "stated outcomes of the traces", test_stated_outcomes },
};
TEST_SUITE ("replay", cases)
