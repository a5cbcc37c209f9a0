#include "edge/streamorigins.h"

#include <stdio.h>

#include "suite.h"

#define START_MS 1000
#define LATER_MS (START_MS + STREAMORIGINS_RETENTION_MS)
#define LIST_MAX 8

enum step_kind
{
  NO_STEP,
  SAW,
  BEGIN,
  MERGE,
  COMPLETE,
  ROUTE, /* the route @stream has the service */
};

/* A call of the module. Streams and versions have one-letter names. */
struct step
{
  enum step_kind kind;
  uint64_t ms;
  const char *stream;
  const char *service;
  const char *version;
};

#define STEPS_MAX 6
/* Route of all streams. */
#define STREAM_ROUTE "r"

static uint64_t
route_of (const char *name)
{
  return str_hash (str_from (name), 0);
}

static void
apply (struct streamorigins *o, const struct step *x)
{
  const uint64_t id = streamorigins_id (str_from (x->stream));
  const struct stored_stream stored
      = { id, { str_from (x->service), str_from (x->version) } };

  if (x->kind == SAW)
    streamorigins_saw_version (o, stored.origin.service, stored.origin.version,
                               x->ms);
  else if (x->kind == BEGIN)
    streamorigins_begin (o, id, route_of (STREAM_ROUTE), &stored.origin,
                         x->ms);
  else if (x->kind == ROUTE)
    streamorigins_saw_route (o, route_of (x->stream), stored.origin.service,
                             x->ms);
  else if (x->kind == MERGE)
    streamorigins_merge (o, &stored, x->ms);
  else if (x->kind == COMPLETE)
    streamorigins_complete (o, id);
}

static struct streamorigins *
after (const struct step *steps)
{
  struct streamorigins *o = streamorigins_create ();

  for (size_t i = 0; i < STEPS_MAX; i++)
    apply (o, &steps[i]);
  return o;
}

/* Guards against a stream that is taken up at servers of another version,
   because its origin is unknown or another one's. */
static void
test_find (void)
{
  static const struct
  {
    struct step steps[STEPS_MAX];
    uint64_t ms;
    const char *service; /* NULL if the stream "a" is unknown */
    const char *version;
  } cases[] = {
    { { { 0 } }, START_MS, NULL, NULL },
    { { { BEGIN, START_MS, "a", "s", "1" } }, START_MS, "s", "1" },
    { { { BEGIN, START_MS, "b", "s", "1" } }, START_MS, NULL, NULL },
    { { { MERGE, START_MS, "a", "s", "1" } }, START_MS, "s", "1" },
    { { { BEGIN, START_MS, "a", "s", "" } }, START_MS, "s", "" },
    { { { BEGIN, START_MS, "a", "s", "1" } }, LATER_MS, "s", "1" },
    { { { BEGIN, START_MS, "a", "s", "1" } }, LATER_MS + 1, NULL, NULL },
    { { { BEGIN, START_MS, "a", "s", "1" },
        { COMPLETE, START_MS + 1, "a", NULL, NULL } },
      START_MS + 2,
      "s",
      "1" },
    /* Taken up again and again. */
    { { { BEGIN, START_MS, "a", "s", "1" },
        { BEGIN, LATER_MS - 1, "a", "s", "1" } },
      LATER_MS + 1,
      "s",
      "1" },
    { { { BEGIN, START_MS, "a", "s", "1" },
        { BEGIN, START_MS + 1, "b", "s", "2" },
        { BEGIN, START_MS + 2, "c", "t", "1" } },
      START_MS + 3,
      "s",
      "1" },
    /* What the node recorded itself counts. */
    { { { BEGIN, START_MS, "a", "s", "1" },
        { MERGE, START_MS + 1, "a", "s", "2" } },
      START_MS + 2,
      "s",
      "1" },
    { { { BEGIN, START_MS, "a", "s", "1" },
        { MERGE, LATER_MS + 1, "a", "s", "2" } },
      LATER_MS + 2,
      "s",
      "2" },
    { { { MERGE, START_MS, "a", "s", "1" },
        { BEGIN, START_MS + 1, "a", "s", "2" } },
      START_MS + 2,
      "s",
      "2" },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct streamorigins *o = after (cases[i].steps);
      struct stream_origin origin = { 0 };
      const bool known = streamorigins_find (o, streamorigins_id (STR ("a")),
                                             cases[i].ms, &origin);

      CU_ASSERT_EQUAL (known, cases[i].service != NULL);
      CU_ASSERT_TRUE (str_eq (origin.service, str_from (cases[i].service)));
      CU_ASSERT_TRUE (str_eq (origin.version, str_from (cases[i].version)));
      streamorigins_destroy (o);
    }
}

/* Guards against a take-up of unknown origin at any server while servers of
   several versions are, or were a moment ago, in service, and against its
   refusal where all servers are of one version. */
static void
test_several_versions (void)
{
  static const struct
  {
    struct step steps[STEPS_MAX];
    uint64_t ms;
    bool several; /* of the service "s" */
  } cases[] = {
    { { { 0 } }, START_MS, false },
    { { { SAW, START_MS, NULL, "s", "1" }, { SAW, START_MS, NULL, "s", "1" } },
      START_MS,
      false },
    { { { SAW, START_MS, NULL, "s", "1" }, { SAW, START_MS, NULL, "t", "2" } },
      START_MS,
      false },
    { { { SAW, START_MS, NULL, "s", "1" }, { SAW, START_MS, NULL, "s", "2" } },
      START_MS,
      true },
    { { { SAW, START_MS, NULL, "s", "" }, { SAW, START_MS, NULL, "s", "2" } },
      START_MS,
      true },
    /* The old version left. */
    { { { SAW, START_MS, NULL, "s", "1" }, { SAW, LATER_MS, NULL, "s", "2" } },
      LATER_MS,
      true },
    { { { SAW, START_MS, NULL, "s", "1" }, { SAW, LATER_MS, NULL, "s", "2" } },
      LATER_MS + 1,
      false },
    { { { SAW, START_MS, NULL, "s", "1" },
        { SAW, LATER_MS + 1, NULL, "s", "2" } },
      LATER_MS + 1,
      false },
    { { { SAW, START_MS, NULL, "s", "1" },
        { SAW, START_MS + 1, NULL, "s", "2" },
        { SAW, START_MS + 2, NULL, "s", "1" } },
      LATER_MS + 1,
      true },
    { { { SAW, START_MS, NULL, "s", "1" },
        { SAW, START_MS + 1, NULL, "s", "2" },
        { SAW, START_MS + 2, NULL, "s", "1" } },
      LATER_MS + 2,
      false },
    { { { SAW, START_MS, NULL, "s", "1" },
        { SAW, START_MS + 1, NULL, "s", "2" },
        { SAW, START_MS + 2, NULL, "s", "3" } },
      LATER_MS + 1,
      true },
    /* Streams show it too. */
    { { { SAW, START_MS, NULL, "s", "2" },
        { BEGIN, START_MS, "a", "s", "1" } },
      START_MS,
      true },
    { { { SAW, START_MS, NULL, "s", "2" },
        { MERGE, START_MS, "a", "s", "1" } },
      START_MS,
      true },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct streamorigins *o = after (cases[i].steps);

      CU_ASSERT_EQUAL (
          streamorigins_several_versions (o, STR ("s"), cases[i].ms),
          cases[i].several);
      streamorigins_destroy (o);
    }
}

/* Guards against a stream that is taken up at a version that came into service
   after it began. */
static void
test_latest_version (void)
{
  struct streamorigins *o = streamorigins_create ();

  CU_ASSERT_EQUAL (streamorigins_latest_version (o, STR ("s")).len, 0);
  streamorigins_saw_version (o, STR ("s"), STR ("1"), START_MS);
  streamorigins_saw_version (o, STR ("t"), STR ("2"), START_MS);
  CU_ASSERT (str_eq (streamorigins_latest_version (o, STR ("s")), STR ("1")));
  streamorigins_saw_version (o, STR ("s"), STR ("2"), START_MS);
  CU_ASSERT (str_eq (streamorigins_latest_version (o, STR ("s")), STR ("2")));
  /* Both have expired. */
  streamorigins_saw_version (o, STR ("t"), STR ("3"), LATER_MS + 1);
  CU_ASSERT_EQUAL (streamorigins_latest_version (o, STR ("s")).len, 0);
  streamorigins_destroy (o);
}

/* Guards against streams that are not stored, so that another node can't tell
   where they began, and against writes for services of one version. */
static void
test_list_own (void)
{
  static const struct
  {
    struct step steps[STEPS_MAX];
    uint64_t ms;
    const char *listed[LIST_MAX]; /* newest first */
  } cases[] = {
    { { { BEGIN, START_MS, "a", "s", "1" } }, START_MS, { 0 } },
    { { { BEGIN, START_MS, "a", "s", "1" },
        { BEGIN, START_MS + 1, "b", "s", "2" } },
      START_MS + 1,
      { "b", "a" } },
    { { { BEGIN, START_MS, "a", "s", "1" },
        { SAW, START_MS + 1, NULL, "s", "2" },
        { BEGIN, START_MS + 2, "b", "t", "1" } },
      START_MS + 2,
      { "a" } },
    { { { SAW, START_MS, NULL, "s", "2" },
        { MERGE, START_MS + 1, "a", "s", "1" },
        { BEGIN, START_MS + 1, "b", "s", "1" } },
      START_MS + 1,
      { "b" } },
    { { { SAW, START_MS, NULL, "s", "2" },
        { BEGIN, START_MS, "a", "s", "1" },
        { BEGIN, START_MS, "b", "s", "1" },
        { BEGIN, START_MS, "c", "s", "1" },
        { COMPLETE, START_MS, "b", NULL, NULL },
        { COMPLETE, START_MS, "d", NULL, NULL } },
      START_MS,
      { "c", "a" } },
    { { { BEGIN, START_MS, "a", "s", "1" },
        { BEGIN, START_MS + 1, "b", "s", "1" },
        { SAW, START_MS + 2, NULL, "s", "2" },
        { SAW, START_MS + 3, NULL, "s", "1" } },
      LATER_MS + 1,
      { "b" } },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct streamorigins *o = after (cases[i].steps);
      struct stored_stream out[LIST_MAX];
      const size_t n
          = streamorigins_list_own (o, cases[i].ms, out, LIST_MAX - 1);

      for (size_t j = 0; j < n; j++)
        {
          CU_ASSERT_PTR_NOT_NULL_FATAL (cases[i].listed[j]);
          CU_ASSERT_EQUAL (out[j].id,
                           streamorigins_id (str_from (cases[i].listed[j])));
        }
      CU_ASSERT_PTR_NULL (cases[i].listed[n]);
      streamorigins_destroy (o);
    }
}

static void
test_list_limit (void)
{
  static const struct step steps[STEPS_MAX]
      = { { SAW, START_MS, NULL, "s", "2" },
          { BEGIN, START_MS, "a", "s", "1" },
          { BEGIN, START_MS, "b", "s", "1" } };
  struct streamorigins *o = after (steps);
  struct stored_stream out[1];

  CU_ASSERT_EQUAL (streamorigins_list_own (o, START_MS, out, 1), 1);
  CU_ASSERT_EQUAL (out[0].id, streamorigins_id (STR ("b")));
  CU_ASSERT_TRUE (str_eq (out[0].origin.service, STR ("s")));
  CU_ASSERT_TRUE (str_eq (out[0].origin.version, STR ("1")));
  streamorigins_destroy (o);
}

/* Guards against streams that are not stored, because the change is not
   noticed. */
static void
test_changes (void)
{
  static const struct
  {
    struct step before[STEPS_MAX];
    struct step last;
    bool changed;
  } cases[] = {
    { { { 0 } }, { BEGIN, START_MS, "a", "s", "1" }, false },
    { { { BEGIN, START_MS, "a", "s", "1" } },
      { BEGIN, START_MS, "b", "s", "1" },
      false },
    { { { BEGIN, START_MS, "a", "s", "1" } },
      { SAW, START_MS, NULL, "s", "1" },
      false },
    { { { BEGIN, START_MS, "a", "s", "1" } },
      { SAW, START_MS, NULL, "s", "2" },
      true },
    { { { BEGIN, START_MS, "a", "s", "1" } },
      { MERGE, START_MS, "b", "s", "2" },
      true },
    { { { SAW, START_MS, NULL, "s", "1" }, { SAW, START_MS, NULL, "s", "2" } },
      { SAW, START_MS, NULL, "s", "1" },
      false },
    { { { SAW, START_MS, NULL, "s", "1" }, { SAW, START_MS, NULL, "s", "2" } },
      { BEGIN, START_MS, "a", "s", "1" },
      true },
    { { { SAW, START_MS, NULL, "s", "1" }, { SAW, START_MS, NULL, "s", "2" } },
      { MERGE, START_MS, "a", "s", "1" },
      false },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct streamorigins *o = after (cases[i].before);
      const uint64_t changes = streamorigins_changes (o);

      apply (o, &cases[i].last);
      CU_ASSERT_EQUAL (streamorigins_changes (o) > changes, cases[i].changed);
      streamorigins_destroy (o);
    }
}

/* Guards against memory that grows with the number of streams and versions. */
static void
test_limit (void)
{
  struct streamorigins *o = streamorigins_create ();
  const struct stream_origin origin = { STR ("s"), STR ("1") };
  struct stream_origin found;

  for (uint64_t id = 0; id <= STREAMORIGINS_MAX; id++)
    streamorigins_begin (o, id, 0, &origin, START_MS);
  CU_ASSERT_FALSE (streamorigins_find (o, 0, START_MS, &found));
  CU_ASSERT_TRUE (streamorigins_find (o, 1, START_MS, &found));
  CU_ASSERT_TRUE (streamorigins_find (o, STREAMORIGINS_MAX, START_MS, &found));
  for (uint32_t i = 0; i < 1000; i++)
    {
      struct str version = str_printf ("%u", i);

      streamorigins_saw_version (o, STR ("s"), version,
                                 LATER_MS
                                     + i * (STREAMORIGINS_RETENTION_MS + 1ul));
      str_free (&version);
    }
  CU_ASSERT_FALSE (streamorigins_find (o, 1, LATER_MS + 1, &found));
  streamorigins_destroy (o);
}

/* Guards against a stream that goes on at another version, or is not stored,
   because one of the services of its route has a version of its own. */
static void
test_shared_routes (void)
{
  static const struct
  {
    struct step steps[STEPS_MAX];
    uint64_t ms;
    bool differ;
  } cases[] = {
    /* One version. */
    { { { SAW, START_MS, NULL, "s", "1" },
        { SAW, START_MS, NULL, "t", "1" },
        { ROUTE, START_MS, "r", "s", NULL },
        { ROUTE, START_MS, "r", "t", NULL } },
      START_MS,
      false },
    /* Each service has another one. */
    { { { SAW, START_MS, NULL, "s", "1" },
        { SAW, START_MS, NULL, "t", "2" },
        { ROUTE, START_MS, "r", "s", NULL },
        { ROUTE, START_MS, "r", "t", NULL } },
      START_MS,
      true },
    /* The other service has two. */
    { { { SAW, START_MS, NULL, "t", "1" },
        { SAW, START_MS, NULL, "t", "2" },
        { ROUTE, START_MS, "r", "s", NULL },
        { ROUTE, START_MS, "r", "t", NULL } },
      START_MS,
      true },
    /* The routes have one service each. */
    { { { SAW, START_MS, NULL, "s", "1" },
        { SAW, START_MS, NULL, "t", "2" },
        { ROUTE, START_MS, "r", "s", NULL },
        { ROUTE, START_MS, "q", "t", NULL } },
      START_MS,
      false },
    /* The route was moved from one service to the other. */
    { { { SAW, START_MS, NULL, "s", "1" },
        { SAW, START_MS, NULL, "t", "2" },
        { ROUTE, START_MS, "r", "t", NULL },
        { ROUTE, START_MS + 1, "r", "s", NULL } },
      LATER_MS,
      true },
    /* Long ago. */
    { { { ROUTE, START_MS, "r", "t", NULL },
        { ROUTE, START_MS + 1, "r", "s", NULL },
        { SAW, LATER_MS, NULL, "s", "1" },
        { SAW, LATER_MS, NULL, "t", "2" } },
      LATER_MS + 1,
      false },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct streamorigins *o = after (cases[i].steps);
      const struct step begin = { BEGIN, cases[i].ms, "a", "s", "1" };
      struct stored_stream out;

      CU_ASSERT_EQUAL (streamorigins_may_differ (o, route_of (STREAM_ROUTE),
                                                 STR ("s"), cases[i].ms),
                       cases[i].differ);
      const uint64_t changes = streamorigins_changes (o);
      apply (o, &begin);
      CU_ASSERT_EQUAL (streamorigins_changes (o) > changes, cases[i].differ);
      CU_ASSERT_EQUAL (streamorigins_list_own (o, cases[i].ms, &out, 1),
                       cases[i].differ);
      streamorigins_destroy (o);
    }
}

/* Guards against streams that are not stored, because they began before the
   services of their route had several versions. */
static void
test_shared_later (void)
{
  static const struct
  {
    struct step before[STEPS_MAX];
    struct step last;
  } cases[] = {
    { { { ROUTE, START_MS, "r", "s", NULL },
        { ROUTE, START_MS, "r", "t", NULL },
        { BEGIN, START_MS, "a", "s", "1" } },
      { SAW, START_MS, NULL, "t", "2" } },
    { { { SAW, START_MS, NULL, "t", "2" },
        { ROUTE, START_MS, "r", "s", NULL },
        { BEGIN, START_MS, "a", "s", "1" } },
      { ROUTE, START_MS, "r", "t", NULL } },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct streamorigins *o = after (cases[i].before);
      const uint64_t changes = streamorigins_changes (o);
      struct stored_stream out;

      apply (o, &cases[i].last);
      CU_ASSERT_TRUE (streamorigins_changes (o) > changes);
      CU_ASSERT_EQUAL (streamorigins_list_own (o, START_MS, &out, 1), 1);
      streamorigins_destroy (o);
    }
}

static const struct suite_case cases[] = {
  { "origin of a stream", test_find },
  { "several versions in service", test_several_versions },
  { "latest version", test_latest_version },
  { "streams to be stored", test_list_own },
  { "services of one route", test_shared_routes },
  { "services of one route, later", test_shared_later },
  { "limit of the list", test_list_limit },
  { "changes", test_changes },
  { "limit of the streams", test_limit },
};
TEST_SUITE ("streamorigins", cases)
