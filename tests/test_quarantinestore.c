#include "edge/quarantine_store.h"

#include <errno.h>
#include <pthread.h>

#include "clock.h"
#include "httppeer.h"
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

#define COPY_PATH "/objects/galenagate-quarantine"
#define WRITTEN(revision)                                                     \
  "{\"metadata\":{\"name\":\"requests\",\"revision\":" revision               \
  "},\"spec\":{}}"
#define WAIT_TIMEOUT_MS 15000

/* The copy is created, and is missing after the store came back from an older
   copy. */
static const struct peer_exchange restored_script[] = {
  { "GET " COPY_PATH, "404 Not Found", 1, "{}" },
  { "POST " COPY_PATH, "201 Created", 1, WRITTEN ("90") },
  { "GET /objects/other", "404 Not Found", 2, "{}" },
  { "GET " COPY_PATH, "404 Not Found", 2, "{}" },
  { "POST " COPY_PATH, "201 Created", 2, WRITTEN ("40") },
};
#define RESTORED_EXCHANGES (sizeof restored_script / sizeof *restored_script)
#define RESTORED_CALL 2

static void
ignore_object (void *ctx, struct err err, const struct object *o)
{
  (void)ctx;
  (void)err;
  (void)o;
}

static void
refuse_request (struct quarantine *q)
{
  for (uint64_t server = 1; server <= QUARANTINE_CRASHES_MAX; server++)
    {
      const struct crash_evidence e
          = { .crash = { .fingerprint = 0xaa, .server = server } };

      quarantine_merge (q, &e, clock_ms ());
    }
}

/* Guards against refused requests that all nodes forget when they stop,
   because the store came back from a copy without them. */
static void
test_restored (void)
{
  struct quarantine *q = quarantine_create ();
  struct peer peer;
  pthread_t thread;

  peer_open (&peer);
  struct peer_script script = { .fd = peer.fd,
                                .exchanges = restored_script,
                                .count = RESTORED_EXCHANGES };
  pthread_create (&thread, NULL, peer_run_script, &script);
  struct objects *objects = objects_create (peer.http, peer.addr);
  struct quarantine_store *s = quarantine_store_create (objects, q);
  const uint64_t give_up_ms = clock_ms () + WAIT_TIMEOUT_MS;
  bool restored = false;

  refuse_request (q);
  while (script.answered < RESTORED_EXCHANGES && clock_ms () < give_up_ms)
    {
      if (script.answered == RESTORED_CALL && !restored)
        {
          objects_read (objects, "other", "x", ignore_object, NULL);
          restored = true;
        }
      /* Far enough ahead that no pause between calls is left. */
      quarantine_store_step (s, true, clock_ms () + WAIT_TIMEOUT_MS);
      uv_run (&peer.loop, UV_RUN_NOWAIT);
    }
  CU_ASSERT_EQUAL (script.answered, RESTORED_EXCHANGES);
  CU_ASSERT_FALSE (script.unexpected);
  peer_stop (&peer);
  pthread_join (thread, NULL);
  quarantine_store_destroy (s);
  objects_destroy (objects);
  quarantine_destroy (q);
  peer_close (&peer);
}

static const struct suite_case cases[] = {
  { "round trip", test_round_trip },
  { "damaged", test_damaged },
  { "copy lost by a restored store", test_restored },
};
TEST_SUITE ("quarantinestore", cases)
