#include "callbody.h"

#include "suite.h"

/* Guards against forwarding a malformed body to a target. */
static void
test_bodies (void)
{
  static const struct
  {
    const char *body;
    bool ok;
    enum api_error error;
    const char *model;
    const char *adapter;
    bool stream;
  } cases[] = {
    { "{\"model\":\"m\",\"messages\":[]}", true, 0, "m", "", false },
    { "{\"model\":\"m:a\",\"prompt\":\"x\",\"stream\":true}", true, 0, "m",
      "a", true },
    { "", false, API_INVALID_JSON, "", "", false },
    { "{\"model\":\"m\"", false, API_INVALID_JSON, "", "", false },
    { "{\"model\":\"m\",\"model\":\"n\",\"prompt\":\"\"}", false,
      API_INVALID_JSON, "", "", false },
    { "[]", false, API_INVALID_REQUEST, "", "", false },
    { "{\"messages\":[]}", false, API_INVALID_REQUEST, "", "", false },
    { "{\"model\":3,\"messages\":[]}", false, API_INVALID_REQUEST, "", "",
      false },
    { "{\"model\":\"m\"}", false, API_INVALID_REQUEST, "", "", false },
    { "{\"model\":\"m\",\"prompt\":\"\",\"stream\":1}", false,
      API_INVALID_REQUEST, "", "", false },
    { "{\"model\":\"m\",\"prompt\":\"\",\"max_tokens\":0}", false,
      API_INVALID_REQUEST, "", "", false },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct callbody out;
      enum api_error error;
      const char *message;
      const bool ok
          = callbody_parse (str_from (cases[i].body), &out, &error, &message);

      CU_ASSERT_EQUAL (ok, cases[i].ok);
      if (ok)
        {
          CU_ASSERT (str_eq (out.model, str_from (cases[i].model)));
          CU_ASSERT (str_eq (out.adapter, str_from (cases[i].adapter)));
          CU_ASSERT_EQUAL (out.stream, cases[i].stream);
        }
      else
        CU_ASSERT_EQUAL (error, cases[i].error);
      callbody_free (&out);
    }
}

/* Guards against an error body that is not valid JSON or lacks a documented
   field. */
static void
test_error_body (void)
{
  const char bad_utf8[] = "\xff\xfe";
  struct str body = api_error_body (API_DEADLINE, RAN_NO, STR ("late"),
                                    "queue", STR ("10.0.0.1:9"), STR ("r1"));

  CU_ASSERT (str_eq (
      body, STR ("{\"error\":{\"code\":\"deadline\",\"message\":\"late\","
                 "\"ran\":\"no\",\"step\":\"queue\",\"peer\":\"10.0.0.1:9\","
                 "\"request_id\":\"r1\"}}\n")));
  str_free (&body);
  body = api_error_body (API_DEADLINE, RAN_NO, str_from (bad_utf8), "queue",
                         (struct str){ 0 }, STR ("r1"));
  CU_ASSERT (
      str_eq (body, STR ("{\"error\":{\"code\":\"deadline\",\"message\":\"\","
                         "\"ran\":\"no\",\"step\":\"queue\",\"peer\":\"\","
                         "\"request_id\":\"r1\"}}\n")));
  str_free (&body);
}

static const struct suite_case cases[] = {
  { "request bodies", test_bodies },
  { "error bodies", test_error_body },
};
TEST_SUITE ("callbody", cases)
