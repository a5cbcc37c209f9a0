#include "edge/quarantine_store.h"

#include <errno.h>

#include "suite.h"

#define WALL_MS 1700000000000
#define ITEMS_MAX 4

/* Guards against crashes that change on the way through the store, and against
   a clock that was set back meanwhile. */
static void
test_round_trip (void)
{
  static const struct
  {
    uint32_t age_ms;
    int64_t later_ms;
    uint32_t age_then_ms;
    enum quarantine_kind kind;
    uint64_t next_part;
  } cases[] = { { 0, 0, 0, QUARANTINE_REQUEST, 0 },
                { 500, 1000, 1500, QUARANTINE_PART, 0 },
                { 500, -2000, 0, QUARANTINE_PART, 9 },
                { 500, 0, 500, QUARANTINE_PART_BEGINNING, 9 },
                { 500, 0, 500, QUARANTINE_PART_REST, 0 } };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      const struct crash_evidence in
          = { { UINT64_MAX, 7, cases[i].next_part, cases[i].kind },
              cases[i].age_ms };
      struct crash_evidence out[ITEMS_MAX];
      struct str text = crash_evidence_encode (&in, 1, WALL_MS);
      json_t *json = json_loadb (text.data, text.len, 0, NULL);

      CU_ASSERT_EQUAL (
          crash_evidence_decode (json, (uint64_t)(WALL_MS + cases[i].later_ms),
                                 out, ITEMS_MAX),
          1);
      CU_ASSERT_EQUAL (out[0].crash.fingerprint, in.crash.fingerprint);
      CU_ASSERT_EQUAL (out[0].crash.server, in.crash.server);
      CU_ASSERT_EQUAL (out[0].crash.next_part, in.crash.next_part);
      CU_ASSERT_EQUAL (out[0].crash.kind, in.crash.kind);
      CU_ASSERT_EQUAL (out[0].age_ms, cases[i].age_then_ms);
      json_decref (json);
      str_free (&text);
    }
}

#define REQUEST_FIELD "\"request\":\"00000000000000aa\""
#define NEXT_FIELD "\"next_part\":\"0000000000000000\""
#define SERVER_FIELD "\"server\":\"00000000000000bb\"," NEXT_FIELD
#define GOOD                                                                  \
  "{" REQUEST_FIELD "," SERVER_FIELD ",\"crashed_ms\":1699999999000}"

/* Guards against a node that ends or refuses sound requests because another
   writer changed the copy, and against old crashes that last for ever. */
static void
test_damaged (void)
{
  static const struct
  {
    const char *text;
    int result;
  } cases[] = {
    { "[]", -EBADMSG },
    { "null", -EBADMSG },
    { "{}", -EBADMSG },
    { "{\"crashes\":7}", -EBADMSG },
    { "{\"crashes\":[]}", 0 },
    { "{\"crashes\":[1,null,[],{}]}", 0 },
    { "{\"crashes\":[" GOOD ",{}," GOOD "]}", 2 },
    { "{\"crashes\":[" GOOD "," GOOD "," GOOD "," GOOD "," GOOD "]}",
      ITEMS_MAX },
    { "{\"crashes\":[{" REQUEST_FIELD ",\"server\":\"bb\"," NEXT_FIELD ","
      "\"crashed_ms\":1699999999000}]}",
      0 },
    { "{\"crashes\":[{" REQUEST_FIELD
      ",\"server\":\"0000000000000000\"," NEXT_FIELD ","
      "\"crashed_ms\":1699999999000}]}",
      0 },
    { "{\"crashes\":[{" REQUEST_FIELD "," SERVER_FIELD ",\"crashed_ms\":-1}]}",
      0 },
    { "{\"crashes\":[{" REQUEST_FIELD "," SERVER_FIELD
      ",\"crashed_ms\":1600000000000}]}",
      0 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct crash_evidence out[ITEMS_MAX];
      json_t *json = json_loads (cases[i].text, JSON_DECODE_ANY, NULL);

      CU_ASSERT_EQUAL (crash_evidence_decode (json, WALL_MS, out, ITEMS_MAX),
                       cases[i].result);
      json_decref (json);
    }
}

static const struct suite_case cases[] = {
  { "round trip", test_round_trip },
  { "damaged", test_damaged },
};
TEST_SUITE ("quarantinestore", cases)
