#include "replay.h"

#include <stdio.h>

#include "suite.h"

static struct str
read_file (const char *path)
{
  FILE *file = fopen (path, "re");
  struct buf b = { 0 };
  char chunk[4096];
  size_t n;

  while (file && (n = fread (chunk, 1, sizeof chunk, file)) > 0)
    buf_append (&b, (struct str){ chunk, n });
  if (file)
    fclose (file);
  return (struct str){ b.data, b.len };
}

/* Guards against unnoticed effects of scheduling or placement changes on
   recorded traffic. If the reports are meant to change, update them with `make
   traces` and describe the difference in the commit message. */
static void
test_expected_reports (void)
{
  static const char *const traces[]
      = { "titlovi-day", "titlovi-burst", "magnolia-day", "magnolia-burst" };

  for (size_t i = 0; i < sizeof traces / sizeof *traces; i++)
    for (int naive = 0; naive < 2; naive++)
      {
        char trace[64];
        char expected_path[64];
        struct str report = { 0 };

        snprintf (trace, sizeof trace, "tests/traces/%s.jsonl", traces[i]);
        snprintf (expected_path, sizeof expected_path,
                  "tests/traces/%s.%s.json", traces[i],
                  naive ? "naive" : "real");
        struct str expected = read_file (expected_path);

        CU_ASSERT_EQUAL (replay_run (trace, naive, &report), 0);
        CU_ASSERT_TRUE (expected.len > 0 && str_eq (report, expected));
        str_free (&report);
        str_free (&expected);
      }
}

static const struct suite_case cases[] = {
  { "expected reports of the traces", test_expected_reports },
};
TEST_SUITE ("replay", cases)
