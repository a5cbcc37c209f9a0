#include "platform/tolerantjson.h"

#include <stdlib.h>
#include <string.h>

#include "suite.h"

/* Guards against one odd value that makes a whole document unreadable, and
   against changing the values beside it. */
static void
test_odd_values (void)
{
  static const struct
  {
    const char *text;
    const char *expected; /* NULL: no document */
  } cases[] = {
    { "{\"a\":[1,2.5,\"x\"]}", "{\"a\":[1,2.5,\"x\"]}" },
    { "[1,123456789012345678901234567890,2]", "[1,null,2]" },
    { "[9223372036854775807,9223372036854775808]",
      "[9223372036854775807,null]" },
    { "[-9223372036854775808,-9223372036854775809]",
      "[-9223372036854775808,null]" },
    { "{\"a\":1e999,\"b\":-1e999,\"c\":1}",
      "{\"a\":null,\"b\":null,\"c\":1}" },
    { "[\"a\\u0000b\",7]", "[\"a?b\",7]" },
    { "[\"a\\ud800b\",\"\\udc00\",\"\\ud83d\\ude00\"]",
      "[\"a?b\",\"?\",\"\xf0\x9f\x98\x80\"]" },
    { "[\"\xff\xc3\xa4\xc0\x80\",\"\xed\xa0\x80\"]",
      "[\"?\xc3\xa4??\",\"???\"]" },
    { "[\"a\x01\",\"\\\"\\\\\",1e999]", "[\"a?\",\"\\\"\\\\\",null]" },
    /* Text that is no JSON stays unreadable. */
    { "", NULL },
    { "[1e999", NULL },
    { "[\"\\", NULL },
    { "[1e999,\"", NULL },
    { "]", NULL },
    { "[1e999,-]", NULL },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      json_t *json = tolerant_json_load (str_from (cases[i].text), "test");
      char *text = json ? json_dumps (json, JSON_COMPACT) : NULL;

      if (cases[i].expected)
        CU_ASSERT_TRUE (text && strcmp (text, cases[i].expected) == 0)
      else
        CU_ASSERT_PTR_NULL (json);
      free (text);
      json_decref (json);
    }
}

#define DEEP 100000

/* Guards against a deeply nested value that ends the process, or hides what
   follows it. */
static void
test_deep (void)
{
  struct buf b = { 0 };

  buf_append (&b, STR ("{\"odd\":"));
  for (int i = 0; i < DEEP; i++)
    buf_append (&b, i % 2 ? STR ("[\"]\",") : STR ("{\"}\":"));
  buf_append (&b, STR ("1"));
  for (int i = DEEP - 1; i >= 0; i--)
    buf_append (&b, i % 2 ? STR ("]") : STR ("}"));
  buf_append (&b, STR (",\"good\":5}"));
  json_t *json = tolerant_json_load (buf_str (&b), "test");
  CU_ASSERT_PTR_NOT_NULL_FATAL (json);
  CU_ASSERT_EQUAL (json_integer_value (json_object_get (json, "good")), 5);
  json_decref (json);
  /* Cut off in the middle. */
  b.len /= 2;
  CU_ASSERT_PTR_NULL (tolerant_json_load (buf_str (&b), "test"));
  buf_free (&b);
}

static const struct suite_case cases[] = {
  { "odd values", test_odd_values },
  { "deep", test_deep },
};
TEST_SUITE ("tolerantjson", cases)
