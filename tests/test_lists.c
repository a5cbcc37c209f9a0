#include "lists.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "suite.h"

#define KEY "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
#define PLAN                                                                  \
  "{\"name\":\"p\",\"requests_per_s\":5,\"burst\":9,\"in_flight\":3}"
#define CUSTOMER "{\"name\":\"c\",\"plan\":\"p\",\"key_sha256\":[\"" KEY "\"]}"
#define ENGINE                                                                \
  "{\"name\":\"lm\",\"kind\":\"engine\",\"weight_loads_per_s\":3,"            \
  "\"weight_loads_at_once\":4}"
#define PLAIN "{\"name\":\"web\",\"kind\":\"plain\"}"
#define CLASS "{\"name\":\"cue\",\"priority\":9,\"deadline_ms\":2000}"
#define MODEL_WITH(more)                                                      \
  "{\"name\":\"m\",\"version\":\"1\",\"service\":\"lm\",\"bytes\":7,"         \
  "\"max_replicas\":2" more "}"
#define ADAPTER(n) "{\"name\":\"" n "\",\"version\":\"1\",\"bytes\":1}"
#define MODEL                                                                 \
  MODEL_WITH (                                                                \
      ",\"slots\":2,\"adapters\":[" ADAPTER ("b") "," ADAPTER ("a") "]")
#define USE                                                                   \
  "{\"plan\":\"p\",\"model\":\"m\",\"adapters\":[\"a\"],\"class\":\"cue\"}"
#define USE_WEB "{\"plan\":\"p\",\"service\":\"web\",\"class\":\"cue\"}"

#define PLANS(plans, customers)                                               \
  "{\"format\":1,\"plans\":[" plans "],\"customers\":[" customers "]}"
#define USES(services, classes, models, uses)                                 \
  "{\"format\":1,\"services\":[" services "],\"classes\":[" classes           \
  "],\"models\":[" models "],\"uses\":[" uses "]}"
#define GOOD_PLANS PLANS (PLAN, CUSTOMER)
#define SERVICES ENGINE "," PLAIN
#define GOOD_USES USES (SERVICES, CLASS, MODEL, USE "," USE_WEB)
#define MODELS(more) USES (SERVICES, CLASS, MODEL_WITH (more), "")
#define USED(uses) USES (SERVICES, CLASS, MODEL, uses)
#define SERVED(service) USES (service, CLASS, "", "")

/* Guards against accepting an invalid list, and against an error that does not
   name the file, entry and field. */
static void
test_errors (void)
{
  static const struct
  {
    const char *plans;
    const char *uses;
    const char *file;
    const char *entry;
    const char *field;
  } cases[] = {
    { "{", GOOD_USES, "plans", "line 1 column 1", "" },
    { GOOD_PLANS, "[]", "uses", "(top level)", "" },
    { "{\"format\":2,\"plans\":[],\"customers\":[]}", GOOD_USES, "plans",
      "(top level)", "format" },
    { "{\"format\":1,\"plans\":[]}", GOOD_USES, "plans", "(top level)",
      "customers" },
    { "{\"format\":1,\"plans\":{},\"customers\":[]}", GOOD_USES, "plans",
      "(top level)", "plans" },
    { "{\"format\":1,\"plans\":[],\"customers\":[],\"x\":1}", GOOD_USES,
      "plans", "(top level)", "x" },
    { PLANS ("{\"name\":\"p\",\"rate\":1}", ""), GOOD_USES, "plans",
      "plans[0] (p)", "rate" },
    { PLANS ("{\"name\":\"p\",\"requests_per_s\":\"5\"}", ""), GOOD_USES,
      "plans", "plans[0] (p)", "requests_per_s" },
    { PLANS ("{\"name\":\"p\",\"requests_per_s\":-1}", ""), GOOD_USES, "plans",
      "plans[0] (p)", "requests_per_s" },
    { PLANS ("{\"name\":\"p\",\"requests_per_s\":1,\"burst\":0,"
             "\"in_flight\":0}",
             ""),
      GOOD_USES, "plans", "plans[0] (p)", "burst" },
    { PLANS ("{\"name\":\"a b\"}", ""), GOOD_USES, "plans", "plans[0] (a b)",
      "name" },
    { PLANS ("7", ""), GOOD_USES, "plans", "plans[0]", "" },
    { PLANS (PLAN "," PLAN, ""), GOOD_USES, "plans", "plans[1] (p)", "name" },
    { PLANS (PLAN, CUSTOMER "," CUSTOMER), GOOD_USES, "plans",
      "customers[1] (c)", "name" },
    { PLANS ("", CUSTOMER), GOOD_USES, "plans", "customers[0] (c)", "plan" },
    { PLANS (PLAN, CUSTOMER
             ",{\"name\":\"d\",\"plan\":\"p\",\"key_sha256\":[\"" KEY "\"]}"),
      GOOD_USES, "plans", "customers[1] (d)", "key_sha256" },
    { PLANS (PLAN,
             "{\"name\":\"c\",\"plan\":\"p\",\"key_sha256\":[\"secret\"]}"),
      GOOD_USES, "plans", "customers[0] (c)", "key_sha256" },
    { PLANS (PLAN, "{\"name\":\"c\",\"plan\":\"p\",\"key_sha256\":[5]}"),
      GOOD_USES, "plans", "customers[0] (c)", "key_sha256" },
    { GOOD_PLANS, SERVED ("{\"name\":\"s\",\"kind\":\"gpu\"}"), "uses",
      "services[0] (s)", "kind" },
    { GOOD_PLANS, SERVED ("{\"name\":\"s\",\"kind\":\"engine\"}"), "uses",
      "services[0] (s)", "weight_loads_per_s" },
    { GOOD_PLANS,
      SERVED ("{\"name\":\"s\",\"kind\":\"plain\",\"fenced\":true}"), "uses",
      "services[0] (s)", "fenced" },
    { GOOD_PLANS,
      SERVED ("{\"name\":\"s\",\"kind\":\"plain\",\"fenced\":\"no\"}"), "uses",
      "services[0] (s)", "fenced" },
    { GOOD_PLANS,
      SERVED ("{\"name\":\"s\",\"kind\":\"plain\","
              "\"idempotent_paths\":[\"orders\"]}"),
      "uses", "services[0] (s)", "idempotent_paths" },
    { GOOD_PLANS, SERVED (PLAIN "," PLAIN), "uses", "services[1] (web)",
      "name" },
    { GOOD_PLANS, USES (SERVICES, CLASS "," CLASS, "", ""), "uses",
      "classes[1] (cue)", "name" },
    { GOOD_PLANS,
      USES (SERVICES, "{\"name\":\"cue\",\"priority\":1.5,\"deadline_ms\":1}",
            "", ""),
      "uses", "classes[0] (cue)", "priority" },
    { GOOD_PLANS,
      USES (SERVICES, "{\"name\":\"cue\",\"priority\":1,\"deadline_ms\":0}",
            "", ""),
      "uses", "classes[0] (cue)", "deadline_ms" },
    { GOOD_PLANS, MODELS (""), "uses", "models[0] (m)", "slots" },
    { GOOD_PLANS, MODELS (",\"slots\":0"), "uses", "models[0] (m)", "slots" },
    { GOOD_PLANS, MODELS (",\"slots\":1,\"min_replicas\":3"), "uses",
      "models[0] (m)", "min_replicas" },
    { GOOD_PLANS,
      MODELS (
          ",\"slots\":1,\"adapters\":[" ADAPTER ("a") "," ADAPTER ("a") "]"),
      "uses", "models[0] (m)", "adapters" },
    { GOOD_PLANS,
      MODELS (",\"slots\":1,\"adapters\":[{\"name\":\"a\","
              "\"version\":\"1\",\"bytes\":0}]"),
      "uses", "models[0] (m) adapters[0] (a)", "bytes" },
    { GOOD_PLANS, USES (SERVICES, CLASS, MODEL "," MODEL, ""), "uses",
      "models[1] (m)", "name" },
    { GOOD_PLANS, USES (PLAIN, CLASS, MODEL, ""), "uses", "models[0] (m)",
      "service" },
    { GOOD_PLANS, USED (USE "," USE), "uses", "uses[1] (p/m)", "model" },
    { GOOD_PLANS, USED (USE_WEB "," USE_WEB), "uses", "uses[1] (p/web)",
      "service" },
    { PLANS ("", ""), USED (USE), "uses", "uses[0] (p/m)", "plan" },
    { GOOD_PLANS, USES (SERVICES, CLASS, "", USE), "uses", "uses[0] (p/m)",
      "model" },
    { GOOD_PLANS, USES (ENGINE, CLASS, MODEL, USE_WEB), "uses",
      "uses[0] (p/web)", "service" },
    { GOOD_PLANS,
      USED ("{\"plan\":\"p\",\"service\":\"lm\",\"class\":\"cue\"}"), "uses",
      "uses[0] (p/lm)", "service" },
    { GOOD_PLANS, USES (SERVICES, "", MODEL, USE), "uses", "uses[0] (p/m)",
      "class" },
    { GOOD_PLANS,
      USED ("{\"plan\":\"p\",\"model\":\"m\",\"adapters\":[\"z\"],"
            "\"class\":\"cue\"}"),
      "uses", "uses[0] (p/m)", "adapters" },
    { GOOD_PLANS,
      USED ("{\"plan\":\"p\",\"model\":\"m\",\"adapters\":[\"*\",\"a\"],"
            "\"class\":\"cue\"}"),
      "uses", "uses[0] (p/m)", "adapters" },
    { GOOD_PLANS,
      USED ("{\"plan\":\"p\",\"model\":\"m\",\"service\":\"web\","
            "\"class\":\"cue\"}"),
      "uses", "uses[0] (p/m)", "model" },
    { GOOD_PLANS, USED ("{\"plan\":\"p\",\"class\":\"cue\"}"), "uses",
      "uses[0] (p/)", "model" },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct lists *l = NULL;
      struct lists_error e = { 0 };
      const int rc = lists_parse (str_from (cases[i].plans),
                                  str_from (cases[i].uses), 1, &l, &e);
      const bool ok
          = rc == -EINVAL && str_eq (e.file, str_from (cases[i].file))
            && str_eq (e.entry, str_from (cases[i].entry))
            && str_eq (e.field, str_from (cases[i].field)) && e.reason.len > 0;

      CU_ASSERT (ok);
      if (!ok)
        printf ("case %zu: rc %d, " STR_FMT ", " STR_FMT ", " STR_FMT
                ": " STR_FMT "\n",
                i, rc, STR_ARG (e.file), STR_ARG (e.entry), STR_ARG (e.field),
                STR_ARG (e.reason));
      if (rc == 0)
        lists_destroy (l);
      else
        lists_error_free (&e);
    }
}

/* Guards against lookups that allow more or less than the lists do. */
static void
test_lookups (void)
{
  struct lists *l = NULL;
  struct lists_error e = { 0 };

  CU_ASSERT_EQUAL_FATAL (
      lists_parse (STR (GOOD_PLANS), STR (GOOD_USES), 7, &l, &e), 0);
  CU_ASSERT_EQUAL (l->revision, 7);
  CU_ASSERT_EQUAL (lists_plan (l, STR ("p"))->burst, 9);
  CU_ASSERT_PTR_NULL (lists_plan (l, STR ("q")));
  CU_ASSERT_PTR_EQUAL (lists_customer_by_key (l, STR (KEY)), &l->customers[0]);
  CU_ASSERT_PTR_NULL (lists_customer_by_key (l, STR ("")));
  CU_ASSERT_PTR_EQUAL (lists_customer_by_name (l, STR ("c")), l->customers);
  CU_ASSERT_EQUAL (lists_class (l, STR ("cue"))->deadline_ms, 2000);
  CU_ASSERT_EQUAL (lists_service (l, STR ("web"))->kind, SERVICE_PLAIN);
  const struct model *m = lists_model (l, STR ("m"), STR ("1"));
  CU_ASSERT_PTR_EQUAL_FATAL (m, lists_model (l, STR ("m"), STR ("")));
  CU_ASSERT_PTR_NULL (lists_model (l, STR ("m"), STR ("2")));
  CU_ASSERT_PTR_NOT_NULL (lists_adapter (m, STR ("b")));
  CU_ASSERT_PTR_NULL (lists_adapter (m, STR ("c")));
  CU_ASSERT_PTR_NOT_NULL (
      lists_model_use (l, STR ("p"), STR ("m"), STR ("a")));
  CU_ASSERT_PTR_NOT_NULL (lists_model_use (l, STR ("p"), STR ("m"), STR ("")));
  CU_ASSERT_PTR_NULL (lists_model_use (l, STR ("p"), STR ("m"), STR ("b")));
  CU_ASSERT_PTR_NULL (lists_model_use (l, STR ("p"), STR ("web"), STR ("")));
  CU_ASSERT_PTR_NOT_NULL (lists_service_use (l, STR ("p"), STR ("web")));
  CU_ASSERT_PTR_NULL (lists_service_use (l, STR ("q"), STR ("web")));
  lists_destroy (l);
}

static const struct suite_case cases[] = {
  { "faulty lists name file, entry and field", test_errors },
  { "look-ups", test_lookups },
};
TEST_SUITE ("lists", cases)
