#pragma once

#include <CUnit/CUnit.h>

/** struct suite_case - one test of a suite. */
struct suite_case
{
  const char *name;
  void (*run) (void);
};

/* Registers the tests of a file before main() runs. */
void suite_register (const char *name, const struct suite_case *cases,
                     size_t n);

#define TEST_SUITE(name, cases)                                               \
  __attribute__ ((constructor)) static void register_suite (void)             \
  {                                                                           \
    suite_register ((name), (cases), sizeof (cases) / sizeof *(cases));       \
  }
