#include "edge/tenants.h"

#include "suite.h"

/* Guards against a key that identifies another tenant or none, in particular
   one that only begins or ends like a known key. */
static void
test_find (void)
{
  static const struct
  {
    const char *key;
    const char *tenant; /* NULL: none */
  } cases[] = {
    { "key-1", "a" }, { "key-2", "a" }, { "key-3", "b" },  { "key-4", NULL },
    { "key-", NULL }, { "ey-1", NULL }, { "KEY-1", NULL }, { "key-1 ", NULL },
    { "", NULL },     { "a", NULL },
  };
  struct tenants *t = tenants_create ();
  const struct tenant *a
      = tenants_add (t, &(struct tenant){ .name = STR ("a") });
  const struct tenant *b
      = tenants_add (t, &(struct tenant){ .name = STR ("b") });

  CU_ASSERT_TRUE (tenants_add_key (t, a, STR ("key-1")));
  CU_ASSERT_TRUE (tenants_add_key (t, a, STR ("key-2")));
  CU_ASSERT_TRUE (tenants_add_key (t, b, STR ("key-3")));
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      const struct tenant *found = tenants_find (t, str_from (cases[i].key));

      CU_ASSERT_EQUAL (found != NULL, cases[i].tenant != NULL);
      if (found && cases[i].tenant)
        CU_ASSERT_TRUE (str_eq (found->name, str_from (cases[i].tenant)));
    }
  tenants_destroy (t);
}

/* Guards against a name or key that is taken twice, and against tenants that
   borrow the strings of the configuration. */
static void
test_add (void)
{
  char name[] = "a";
  char key[] = "key-1";
  struct tenants *t = tenants_create ();
  const struct tenant spec = { .name = str_from (name),
                               .has_priority = true,
                               .priority = 3,
                               .quota = { .rate_per_s = 2.5 } };
  const struct tenant *a = tenants_add (t, &spec);
  const struct tenant *b
      = tenants_add (t, &(struct tenant){ .name = STR ("b") });

  CU_ASSERT_PTR_NOT_NULL_FATAL (a);
  CU_ASSERT_TRUE (tenants_add_key (t, a, str_from (key)));
  name[0] = 'x';
  key[0] = 'x';
  CU_ASSERT_PTR_NULL (tenants_add (t, &(struct tenant){ .name = STR ("a") }));
  CU_ASSERT_FALSE (tenants_add_key (t, b, STR ("key-1")));
  CU_ASSERT_PTR_EQUAL (tenants_find (t, STR ("key-1")), a);
  CU_ASSERT_PTR_EQUAL (tenants_by_name (t, STR ("a")), a);
  CU_ASSERT_PTR_EQUAL (tenants_by_name (t, STR ("b")), b);
  CU_ASSERT_PTR_NULL (tenants_by_name (t, STR ("x")));
  CU_ASSERT_PTR_NULL (tenants_by_name (t, STR ("")));
  CU_ASSERT_TRUE (a && a->has_priority && a->priority == 3
                  && a->quota.rate_per_s == 2.5);
  CU_ASSERT_EQUAL (tenants_count (t), 2);
  tenants_destroy (t);
  tenants_destroy (NULL);
}

static const struct suite_case cases[]
    = { { "find", test_find }, { "add", test_add } };
TEST_SUITE ("tenants", cases)
