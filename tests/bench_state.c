#include <stdio.h>
#include <string.h>

#include "benchlib.h"
#include "configdoc.h"
#include "err.h"
#include "ledger.h"
#include "lists.h"

/* Size of the stored state, and time to write and read it. */

#define STATE_RUNS 5
#define MODELS_PER_CUSTOMER 3
#define PAUSE_BOUND_MS 60000
#define MODEL_BYTES 16000000000ULL
#define ADAPTER_BYTES 200000000ULL
#define BYTES_PER_KB 1000.0
/* No load is decided beyond this size (src/ledger.c). */
#define LEDGER_LIMIT_BYTES 900000

static const struct size
{
  size_t models;
  size_t adapters;
  size_t servers;
} sizes[] = { { 30, 64, 12 }, { 300, 6000, 200 }, { 1100, 22000, 1000 } };

/* Active share of the models and adapters in the ledger. */
static const double shares[] = { 0.19, 1 };

/* ---- lists ---- */

static struct str
list_plans (const struct size *z)
{
  struct buf b = { 0 };
  struct str hash = config_hash (STR ("key"));

  buf_printf (&b, "{\"format\":1,\"plans\":[{\"name\":\"house\","
                  "\"requests_per_s\":0,\"burst\":0,\"in_flight\":0}],"
                  "\"customers\":[");
  for (size_t i = 0; i < z->models / MODELS_PER_CUSTOMER; i++)
    buf_printf (&b,
                "%s{\"name\":\"customer-%zu\",\"plan\":\"house\","
                "\"key_sha256\":[\"%04zx%s\"]}",
                i > 0 ? "," : "", i, i, hash.data + 4);
  buf_printf (&b, "]}");
  str_free (&hash);
  return (struct str){ .data = b.data, .len = b.len };
}

static struct str
list_uses (const struct size *z)
{
  const size_t each = z->adapters / z->models;
  struct buf b = { 0 };
  size_t left = z->adapters;

  buf_printf (&b, "{\"format\":1,\"services\":[{\"name\":\"engines\","
                  "\"region\":\"test\",\"kind\":\"engine\",\"fenced\":true,"
                  "\"prefer\":\"cold-start\",\"weight_loads_per_s\":5,"
                  "\"weight_loads_at_once\":4}],\"classes\":[{\"name\":"
                  "\"cue\",\"priority\":9,\"deadline_ms\":15000}],"
                  "\"models\":[");
  for (size_t i = 0; i < z->models; i++)
    {
      const size_t n = i + 1 < z->models ? each : left;

      buf_printf (&b,
                  "%s{\"name\":\"model-%zu\",\"version\":\"1\",\"service\":"
                  "\"engines\",\"bytes\":%llu,\"slots\":8,\"min_replicas\":0,"
                  "\"max_replicas\":2,\"load_ms\":9000,\"adapters\":[",
                  i > 0 ? "," : "", i, MODEL_BYTES);
      for (size_t j = 0; j < n; j++)
        buf_printf (&b,
                    "%s{\"name\":\"adapter-%zu\",\"version\":\"1\","
                    "\"bytes\":%llu}",
                    j > 0 ? "," : "", j, ADAPTER_BYTES);
      buf_printf (&b, "]}");
      left -= n;
    }
  buf_printf (&b, "],\"uses\":[");
  for (size_t i = 0; i < z->models; i++)
    buf_printf (&b,
                "%s{\"plan\":\"house\",\"model\":\"model-%zu\",\"adapters\":["
                "\"*\"],\"class\":\"cue\"}",
                i > 0 ? "," : "", i);
  buf_printf (&b, "]}");
  return (struct str){ .data = b.data, .len = b.len };
}

/* What operators write: cut into chunks, as by `galenagate apply`. */
static size_t
cut (struct str plans, struct str uses, struct config_root *root,
     struct buf *text)
{
  struct configdoc doc = { 0 };
  const struct config_entry *big = NULL;
  size_t bytes = 0;

  CU_ASSERT_EQUAL_FATAL (configdoc_from_lists (plans, uses, &doc), 0);
  CU_ASSERT_EQUAL_FATAL (configdoc_split (&doc, root, &big), 0);
  root->revision = 1;
  root->writer = str_dup (STR ("bench"));
  config_root_encode (root, text);
  for (size_t i = 0; i < root->chunk_count; i++)
    bytes += root->chunks[i].body.len;
  configdoc_free (&doc);
  return bytes;
}

/* What each node does with a revision. */
static void
adopt (const struct config_root *root)
{
  struct lists *lists = NULL;
  struct lists_error error = { 0 };
  json_t *plans = NULL;
  json_t *uses = NULL;

  CU_ASSERT_EQUAL_FATAL (configdoc_assemble (root, &plans, &uses), 0);
  const int rc = lists_parse_json (plans, uses, 1, &lists, &error);
  if (rc != 0)
    printf (STR_FMT ": " STR_FMT "\n", STR_ARG (error.entry),
            STR_ARG (error.reason));
  CU_ASSERT_EQUAL (rc, 0);
  lists_destroy (lists);
  lists_error_free (&error);
  json_decref (plans);
  json_decref (uses);
}

static void
row (const struct size *z, const char *what, const char *unit,
     struct series *runs)
{
  char label[2 * BENCH_LABEL];

  snprintf (label, sizeof label, "%zu models, %zu adapters: %s", z->models,
            z->adapters, what);
  bench_row (label, unit, runs);
}

static void
lists_rows (const struct size *z)
{
  struct str plans = list_plans (z);
  struct str uses = list_uses (z);
  struct series size = { 0 };
  struct series root_size = { 0 };
  struct series encode = { 0 };
  struct series decode = { 0 };

  for (size_t i = 0; i < STATE_RUNS; i++)
    {
      struct config_root root = { 0 };
      struct buf text = { 0 };
      const double t0 = bench_now_ms ();
      const size_t bytes = cut (plans, uses, &root, &text);
      const double t1 = bench_now_ms ();

      adopt (&root);
      series_add (&encode, t1 - t0);
      series_add (&decode, bench_now_ms () - t1);
      series_add (&size, (double)bytes / BYTES_PER_KB);
      series_add (&root_size, (double)text.len / BYTES_PER_KB);
      config_root_free (&root);
      buf_free (&text);
    }
  row (z, "lists, all chunks", "kB", &size);
  row (z, "lists, root", "kB", &root_size);
  row (z, "lists, cut and encode", "ms", &encode);
  row (z, "lists, decode, check and index", "ms", &decode);
  str_free (&plans);
  str_free (&uses);
}

/* ---- ledger ---- */

static void
add_entry (struct ledger_server *s, size_t model, const char *adapter,
           uint64_t bytes, size_t number)
{
  struct ledger_entry *e = xcalloc (1, sizeof *e);

  e->key = (struct replica_key){
    .model = str_printf ("model-%zu", model),
    .version = str_dup (STR ("1")),
    .adapter = str_dup (str_from (adapter)),
  };
  e->state = LEDGER_LOADED;
  /* As ledger.c forms it: fence, write, number. */
  e->order_id = str_printf ("7.%zu.%zu", number, number);
  e->fence = 7;
  e->instance = 1796362000000;
  e->bytes = bytes;
  ledger_entry_append (s, e);
}

/* One replica of each active model with its active adapters. */
static struct ledger *
build_ledger (const struct size *z, double share)
{
  struct ledger *l = ledger_create (STR ("engines"), true, PAUSE_BOUND_MS);
  const size_t models = (size_t)((double)z->models * share);
  const size_t adapters = (size_t)((double)z->adapters * share);
  size_t number = 0;

  l->fence = 7;
  l->writer = str_dup (STR ("127.0.0.1:10001"));
  for (size_t i = 0; i < z->servers; i++)
    {
      struct str addr = str_printf ("127.0.0.1:%zu", 20000 + i);
      struct ledger_server *s = ledger_server_add (l, addr, STR ("domain-a"));

      s->instance = 1796362000000;
      s->memory_bytes = 4 * 80000000000ULL;
      str_free (&addr);
    }
  for (size_t i = 0; i < models && l->server_count > 0; i++)
    add_entry (l->servers[i % l->server_count], i, "", MODEL_BYTES, number++);
  for (size_t i = 0; models > 0 && l->server_count > 0 && i < adapters; i++)
    {
      char name[BENCH_LABEL];

      snprintf (name, sizeof name, "adapter-%zu", i / models);
      add_entry (l->servers[i % models % l->server_count], i % models, name,
                 ADAPTER_BYTES, number++);
    }
  return l;
}

static void
ledger_rows (const struct size *z, double share)
{
  struct ledger *l = build_ledger (z, share);
  struct series size = { 0 };
  struct series encode = { 0 };
  struct series decode = { 0 };
  char label[BENCH_LABEL];

  for (size_t i = 0; i < STATE_RUNS; i++)
    {
      struct ledger *read
          = ledger_create (STR ("engines"), true, PAUSE_BOUND_MS);
      const double t0 = bench_now_ms ();
      struct str json = ledger_encode (l, i + 1);
      const double t1 = bench_now_ms ();

      CU_ASSERT_EQUAL (ledger_decode (read, json), 0);
      series_add (&encode, t1 - t0);
      series_add (&decode, bench_now_ms () - t1);
      series_add (&size, (double)json.len / BYTES_PER_KB);
      ledger_destroy (read);
      str_free (&json);
    }
  const double bytes = series_at (&size, 0.5) * BYTES_PER_KB;
  snprintf (label, sizeof label, "ledger, %.0f %% loaded%s", 100 * share,
            bytes > LEDGER_LIMIT_BYTES ? " (over its limit)" : "");
  row (z, label, "kB", &size);
  row (z, "its encoding", "ms", &encode);
  row (z, "its decoding", "ms", &decode);
  ledger_destroy (l);
}

static void
state (void)
{
  bench_section ("state", "Stored state");
  for (size_t i = 0; i < sizeof sizes / sizeof *sizes; i++)
    {
      lists_rows (&sizes[i]);
      for (size_t j = 0; j < sizeof shares / sizeof *shares; j++)
        ledger_rows (&sizes[i], shares[j]);
    }
  bench_note ("The ledger is that of one service with %zu, %zu and %zu "
              "servers and one replica of each loaded model; its limit is "
              "%d bytes.",
              sizes[0].servers, sizes[1].servers, sizes[2].servers,
              LEDGER_LIMIT_BYTES);
}

static const struct suite_case cases[] = { { "state", state } };
TEST_SUITE ("state", cases)
