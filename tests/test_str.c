#include "str.h"

#include "suite.h"

/* Guards against a number parser that accepts signs, blanks or overflow. */
static void
test_u64 (void)
{
  static const struct
  {
    const char *text;
    bool ok;
    uint64_t value;
  } cases[] = {
    { "0", true, 0 },
    { "18446744073709551615", true, UINT64_MAX },
    { "18446744073709551616", false, 0 },
    { "", false, 0 },
    { "-1", false, 0 },
    { " 1", false, 0 },
    { "1x", false, 0 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      uint64_t v = 0;
      CU_ASSERT_EQUAL (str_u64 (str_from (cases[i].text), &v), cases[i].ok);
      CU_ASSERT_EQUAL (v, cases[i].value);
    }
}

static const struct suite_case cases[] = {
  { "decimal numbers", test_u64 },
};
TEST_SUITE ("str", cases)
