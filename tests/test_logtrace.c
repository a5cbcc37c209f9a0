#include "logtrace.h"

#include <string.h>

#include "suite.h"

#define AT(s) "time=2026-06-04T07:55:" s "Z level=info "

static void
append_number (void *ctx, struct str line)
{
  const struct str number = logtrace_field (line, "n");
  char *out = ctx;

  strncat (out, number.data, number.len);
}

/* Guards against a selection that lacks the holder's orders or lines of other
   nodes, is not sorted by time, or includes lines of other calls. */
static void
test_selected_lines (void)
{
  static const char *const lines[] = {
    "  1.5 edge-b " AT ("24.500") "node=b event=call id=x server=s1 n=6",
    AT ("24.100") "node=a event=wait id=x model=m adapter=a1 server=s1 n=2",
    AT ("24.200") "node=h event=order server=s2 model=m adapter= n=3",
    AT ("24.300") "node=h event=order server=s2 model=z adapter= for=m n=4",
    AT ("24.400") "node=h event=server-removed server=s1 n=5",
    AT ("23.900") "node=a event=config version=3 n=1",
    AT ("24.210") "node=h event=order server=s3 model=z adapter= for=z n=A",
    AT ("24.220") "node=h event=order server=s1 model=m adapter=a2 n=B",
    AT ("24.230") "node=a event=call id=y model=m server=s1 n=C",
    AT ("24.240") "node=h event=server-removed server=s2 n=D",
    AT ("14.000") "node=a event=config version=2 n=E",
    AT ("25.000") "node=a event=config version=4 n=F",
    "time=yesterday node=a event=config n=G",
    "no time at all id=x n=H",
  };
  struct logtrace *t = logtrace_create (STR ("x"));
  char numbers[32] = "";

  for (size_t i = 0; i < sizeof lines / sizeof *lines; i++)
    logtrace_add (t, str_from (lines[i]));
  CU_ASSERT_EQUAL (logtrace_select (t), 2);
  logtrace_each (t, append_number, numbers);
  CU_ASSERT_STRING_EQUAL (numbers, "123456");
  logtrace_destroy (t);
}

/* Guards against lines that are selected although no line has the id. */
static void
test_unknown_id (void)
{
  struct logtrace *t = logtrace_create (STR ("x"));
  char numbers[32] = "";

  CU_ASSERT_EQUAL (logtrace_select (t), 0);
  logtrace_add (t, str_from (AT ("24.100") "event=call id=xx node=a n=1"));
  CU_ASSERT_EQUAL (logtrace_select (t), 0);
  logtrace_each (t, append_number, numbers);
  CU_ASSERT_STRING_EQUAL (numbers, "");
  logtrace_destroy (t);
}

static const struct suite_case cases[]
    = { { "selected lines", test_selected_lines },
        { "unknown id", test_unknown_id } };
TEST_SUITE ("logtrace", cases)
