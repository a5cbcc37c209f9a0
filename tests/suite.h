#pragma once

#include <CUnit/CUnit.h>

/** struct suite_case - a test case of a suite. */
struct suite_case
{
  const char *name;
  void (*run) (void);
};

/**
 * suite_register() - add a suite to the test program.
 * @cases: must stay valid; not copied.
 *
 * Suites beyond the fixed limit of 64 are silently ignored.
 */
void suite_register (const char *name, const struct suite_case *cases,
                     size_t n);

/* Registers the test cases of a file before main() runs. */
#define TEST_SUITE(name, cases)                                               \
  __attribute__ ((constructor)) static void register_suite (void)             \
  {                                                                           \
    suite_register ((name), (cases), sizeof (cases) / sizeof *(cases));       \
  }
