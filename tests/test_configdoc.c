#include "configdoc.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "suite.h"

#define CUSTOMERS 2000

/* Returns lists with CUSTOMERS customers. Customer number @edited has another
   plan, and number @without is left out; -1 selects none. */
static struct configdoc
make_doc (int edited, int without)
{
  struct buf plans = { 0 };
  struct configdoc doc = { 0 };
  static const char uses[]
      = "{\"format\":1,\"services\":[],\"classes\":[],\"models\":["
        "{\"name\":\"m\",\"adapters\":[{\"name\":\"b\"},{\"name\":\"a\"}]}],"
        "\"uses\":[{\"plan\":\"p\",\"model\":\"m\",\"class\":\"c\"}]}";

  buf_append (&plans, STR ("{\"format\":1,\"plans\":[],\"customers\":["));
  for (int i = 0; i < CUSTOMERS; i++)
    if (i != without)
      buf_printf (&plans,
                  "%s{\"plan\":\"%s\",\"name\":\"customer-%d\","
                  "\"key_sha256\":[]}",
                  plans.data[plans.len - 1] == '[' ? "" : ",",
                  i == edited ? "other" : "p", i);
  buf_append (&plans, STR ("]}"));
  CU_ASSERT_EQUAL_FATAL (
      configdoc_from_lists (buf_str (&plans), STR (uses), &doc), 0);
  buf_free (&plans);
  return doc;
}

static struct config_root
make_root (const struct configdoc *doc)
{
  struct config_root root = { .revision = 5, .sequence = 6 };
  const struct config_entry *too_big = NULL;

  root.writer = str_dup (STR ("test"));
  CU_ASSERT_EQUAL_FATAL (configdoc_split (doc, &root, &too_big), 0);
  return root;
}

static size_t
chunks_not_in (const struct config_root *a, const struct config_root *b)
{
  size_t n = 0;

  for (size_t i = 0; i < a->chunk_count; i++)
    {
      bool found = false;

      for (size_t j = 0; j < b->chunk_count && !found; j++)
        found = str_eq (a->chunks[i].hash, b->chunks[j].hash);
      n += !found;
    }
  return n;
}

/* Guards against an edit that changes more than one chunk, so that all nodes
   fetch everything again. */
static void
test_split (void)
{
  struct configdoc base = make_doc (-1, -1);
  struct config_root root = make_root (&base);

  CU_ASSERT (root.chunk_count > 10);
  for (size_t i = 0; i < root.chunk_count; i++)
    CU_ASSERT (root.chunks[i].body.len <= CONFIG_CHUNK_BYTES);
  for (int i = 0; i < CUSTOMERS; i += 97)
    {
      struct configdoc edit = make_doc (i, -1);
      struct configdoc removal = make_doc (-1, i);
      struct config_root a = make_root (&edit);
      struct config_root b = make_root (&removal);

      CU_ASSERT_EQUAL (chunks_not_in (&a, &root), 1);
      /* A chunk that loses its last entry is joined with the next one; a chunk
         that loses its only entry disappears. */
      CU_ASSERT (chunks_not_in (&b, &root) <= 1);
      config_root_free (&a);
      config_root_free (&b);
      configdoc_free (&edit);
      configdoc_free (&removal);
    }
  config_root_free (&root);
  configdoc_free (&base);
}

/* Guards against entries that get lost when lists are converted to chunks and
   a root, or back. */
static void
test_round_trip (void)
{
  struct configdoc doc = make_doc (-1, -1);
  struct config_root root = make_root (&doc);
  struct config_root decoded;
  struct configdoc joined = { 0 };
  struct configdoc again = { 0 };
  struct buf text = { 0 };
  struct buf plans = { 0 };
  struct buf uses = { 0 };

  config_root_encode (&root, &text);
  CU_ASSERT_EQUAL_FATAL (config_root_decode (buf_str (&text), &decoded), 0);
  CU_ASSERT_EQUAL (decoded.revision, 5);
  CU_ASSERT_EQUAL (decoded.sequence, 6);
  CU_ASSERT (str_eq (decoded.writer, STR ("test")));
  CU_ASSERT_EQUAL (decoded.chunk_count, root.chunk_count);
  CU_ASSERT_EQUAL (chunks_not_in (&decoded, &root), 0);
  CU_ASSERT_EQUAL (configdoc_join (&root, &joined), 0);
  CU_ASSERT_EQUAL (configdoc_diff (&doc, &joined, NULL, NULL), 0);
  CU_ASSERT_EQUAL (configdoc_to_lists (&joined, 5, true, &plans, &uses), 0);
  CU_ASSERT_EQUAL (
      configdoc_from_lists (buf_str (&plans), buf_str (&uses), &again), 0);
  CU_ASSERT_EQUAL (again.count, CUSTOMERS + 4);
  CU_ASSERT_EQUAL (configdoc_diff (&doc, &again, NULL, NULL), 0);
  buf_free (&text);
  buf_free (&plans);
  buf_free (&uses);
  configdoc_free (&doc);
  configdoc_free (&joined);
  configdoc_free (&again);
  config_root_free (&root);
  config_root_free (&decoded);
}

/* This hash would form the key of another object in the store. */
static const char escaping_root[]
    = "{\"format\":1,\"revision\":2,\"writer\":\"w\",\"chunks\":[{"
      "\"name\":\"plans/0\",\"hash\":\"../root\"}]}";

/* Guards against accepting a malformed root or chunk from the network. */
static void
test_malformed (void)
{
  static const char *const roots[] = {
    "",
    "{}",
    "[]",
    "{\"format\":1,\"revision\":0,\"writer\":\"w\",\"chunks\":[]}",
    "{\"format\":1,\"revision\":2,\"chunks\":[]}",
    "{\"format\":1,\"revision\":2,\"writer\":\"w\"}",
    "{\"format\":2,\"revision\":2,\"writer\":\"w\",\"chunks\":[]}",
    escaping_root,
  };
  static const char *const bodies[] = { "", "[", "[{}]", "[1]" };

  for (size_t i = 0; i < sizeof roots / sizeof *roots; i++)
    {
      struct config_root r;

      CU_ASSERT_EQUAL (config_root_decode (str_from (roots[i]), &r), -EINVAL);
    }
  for (size_t i = 0; i < sizeof bodies / sizeof *bodies; i++)
    {
      struct configdoc_chunk p
          = { .name = STR ("plans/0"), .body = str_from (bodies[i]) };
      const struct config_root r = { .chunks = &p, .chunk_count = 1 };
      struct configdoc doc = { 0 };

      CU_ASSERT_EQUAL (configdoc_join (&r, &doc), -EINVAL);
    }
}

static void
count_conflict (void *ctx, const struct config_entry *entry)
{
  struct buf *b = ctx;

  buf_printf (b, "%s ", entry->key.data);
}

/* Returns plans from pairs of characters: a plan's name, which is its key, and
   a digit that makes up its text. */
static struct configdoc
small_doc (const char *spec)
{
  struct buf plans = { 0 };
  struct configdoc doc = { 0 };

  buf_append (&plans, STR ("{\"plans\":["));
  for (const char *p = spec; p[0]; p += 2)
    buf_printf (&plans, "%s{\"name\":\"%c\",\"burst\":%c}",
                p == spec ? "" : ",", p[0], p[1]);
  buf_append (&plans, STR ("]}"));
  CU_ASSERT_EQUAL_FATAL (
      configdoc_from_lists (buf_str (&plans), STR ("{}"), &doc), 0);
  buf_free (&plans);
  return doc;
}

/* Guards against a merge that undoes an operator's edit or mixes it with
   another one. */
static void
test_merge (void)
{
  static const struct
  {
    const char *base;
    const char *mine;
    const char *theirs;
    const char *merged;
    const char *conflicts;
  } cases[] = {
    { "a1b1", "a1b1", "a1b1", "a1b1", "" },
    { "a1b1", "a2b1", "a1b2", "a2b2", "" },
    { "a1b1", "a2b1", "a3b1", "", "a " },
    { "a1b1", "a2b1", "a2b1", "a2b1", "" },
    { "a1b1", "b1", "a1b2", "b2", "" },
    { "a1b1", "b1", "a2b1", "", "a " },
    { "a1b1", "a2b1", "b1", "", "a " },
    { "a1", "a1c1", "a1b1", "a1b1c1", "" },
    { "a1", "a1c1", "a1c2", "", "c " },
    { "a1", "a1c1", "a1c1", "a1c1", "" },
    { "a1b1", "", "a1b1", "", "" },
    { "a1b1", "a2b2", "a3b3", "", "a b " },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct configdoc base = small_doc (cases[i].base);
      struct configdoc mine = small_doc (cases[i].mine);
      struct configdoc theirs = small_doc (cases[i].theirs);
      struct configdoc expected = small_doc (cases[i].merged);
      struct configdoc merged = { 0 };
      struct buf b = { 0 };

      configdoc_merge (&base, &mine, &theirs, &merged, count_conflict, &b);
      CU_ASSERT (str_eq (buf_str (&b), str_from (cases[i].conflicts)));
      CU_ASSERT_EQUAL (merged.count, expected.count);
      for (size_t j = 0; j < merged.count && j < expected.count; j++)
        CU_ASSERT (str_eq (merged.entries[j].text, expected.entries[j].text));
      free (merged.entries);
      buf_free (&b);
      configdoc_free (&base);
      configdoc_free (&mine);
      configdoc_free (&theirs);
      configdoc_free (&expected);
    }
}

static const struct suite_case cases[] = {
  { "an edit changes one chunk", test_split },
  { "round trip", test_round_trip },
  { "malformed roots and chunks", test_malformed },
  { "three-way merge", test_merge },
};
TEST_SUITE ("configdoc", cases)
