#include <errno.h>
#include <string.h>

#include <jansson.h>

#include "edge/topology.h"
#include "platform/callheaders.h"
#include "platform/routingcodec.h"
#include "platform/servercodec.h"

#include "suite.h"

static const char config[]
    = "{\"version\":7,\"routes\":["
      "{\"name\":\"a\",\"hostname\":\"one.example\",\"path_prefix\":\"/x/\","
      "\"route_type\":\"idempotent\",\"service\":\"s\",\"max_attempts\":2},"
      "{\"name\":\"b\",\"hostname\":\"one.example\",\"path_prefix\":\"/x/y/\","
      "\"route_type\":\"non_idempotent\",\"service\":\"s\"},"
      "{\"name\":\"c\",\"hostname\":\"two.example\",\"path_prefix\":\"/\","
      "\"route_type\":\"streaming\",\"weighted_services\":["
      "{\"service\":\"s\",\"weight\":90},{\"service\":\"t\",\"weight\":10}],"
      "\"resumable\":true,\"priority\":0,\"timeout_ms\":4000,"
      "\"latency_target_ms\":500,\"gap_aim_ms\":200}],"
      "\"services\":[{\"name\":\"s\"},{\"name\":\"t\",\"engine\":{\"slots\":"
      "96,"
      "\"weights_mb\":83000.0,\"adapter_slots\":8,\"loads_per_s\":2.7,"
      "\"models\":[{\"name\":\"m\",\"weights_mb\":16100.0,\"load_s\":6.0,"
      "\"adapters\":3,\"adapter_mb\":14.0,\"warm_s\":0.27,"
      "\"disk_s\":0.35}]}}],\"limits\":{\"idle_timeout_ms\":15000}}";

static struct routing *
decode (const char *text)
{
  json_t *json = json_loads (text, 0, NULL);
  struct routing *r = routing_decode (json);

  json_decref (json);
  return r;
}

/* Guards against calls that are routed by another host's route, or by a
   shorter prefix although a longer one matches. */
static void
test_find (void)
{
  static const struct
  {
    const char *host;
    const char *path;
    const char *route; /* NULL: none */
  } cases[] = {
    { "one.example", "/x/1", "a" },    { "one.example", "/x/y/1", "b" },
    { "one.example", "/x/y", "a" },    { "one.example", "/x", NULL },
    { "one.example", "/", NULL },      { "ONE.example:80", "/x/1", "a" },
    { "two.example", "/x/y/1", "c" },  { "three.example", "/x/1", NULL },
    { "one.example", "x/1", NULL },    { "", "/x/1", NULL },
    { "two.example", "/?q=/x/", "c" },
  };
  struct routing *r = decode (config);

  CU_ASSERT_PTR_NOT_NULL_FATAL (r);
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      const struct route *found = routing_find (r, str_from (cases[i].host),
                                                str_from (cases[i].path));

      if (!cases[i].route)
        CU_ASSERT_PTR_NULL (found);
      if (cases[i].route)
        CU_ASSERT_TRUE (found
                        && str_eq (found->name, str_from (cases[i].route)));
    }
  routing_destroy (r);
}

/* Guards against a split over services that deviates from their weights. */
static void
test_split (void)
{
  struct routing *r = decode (config);
  int to_t = 0;

  CU_ASSERT_PTR_NOT_NULL_FATAL (r);
  for (uint64_t n = 0; n < 1000; n++)
    to_t += str_eq (route_pick (&r->routes[2], n), STR ("t"));
  CU_ASSERT_EQUAL (to_t, 100);
  CU_ASSERT (str_eq (route_pick (&r->routes[0], 12345), STR ("s")));
  routing_destroy (r);
}

/* Guards against values decoded from the wrong member or in the wrong unit. */
static void
test_values (void)
{
  struct routing *r = decode (config);

  CU_ASSERT_PTR_NOT_NULL_FATAL (r);
  const struct route *c = &r->routes[2];
  const struct engine_spec *e = routing_service (r, STR ("t"))->engine;
  const struct model_spec *m = engine_model (e, STR ("m"));
  CU_ASSERT_EQUAL (r->version, 7);
  CU_ASSERT_EQUAL (c->kind, CALL_STREAM);
  CU_ASSERT_TRUE (c->resumable && c->priority == 0 && c->timeout_ms == 4000
                  && c->latency_objective_ms == 500 && c->event_gap_ms == 200);
  CU_ASSERT_EQUAL (r->routes[0].max_attempts, 2);
  CU_ASSERT_TRUE (e->batch == 96 && e->adapter_slots == 8);
  CU_ASSERT_TRUE (m->load_ms == 6000 && m->disk_load_ms == 350
                  && m->memory_load_ms == 270 && m->adapter_count == 3);
  CU_ASSERT_PTR_NULL (routing_service (r, STR ("s"))->engine);
  CU_ASSERT_EQUAL (r->limits.idle_ms, 15000);
  routing_destroy (r);
}

/* Guards against demand for adapters that clients invent, and against none for
   one that is configured. */
static void
test_adapter_names (void)
{
  static const struct
  {
    const char *name;
    bool configured;
  } cases[] = { { "a1", true },   { "a3", true },
                { "a0", false },  { "a4", false },
                { "a01", false }, { "a", false },
                { "", false },    { "b1", false },
                { "a1x", false }, { "a99999999999999999999", false } };
  const struct model_spec m = { .name = STR ("m"), .adapter_count = 3 };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    CU_ASSERT_EQUAL (routing_has_adapter (&m, str_from (cases[i].name)),
                     cases[i].configured);
}

/* Guards against a malformed configuration that is applied in part. */
static void
test_bad_config (void)
{
  static const char other_kind[]
      = "{\"version\":7,\"routes\":[{\"name\":\"a\",\"hostname\":\"h\","
        "\"path_prefix\":\"/\",\"route_type\":\"other\",\"service\":\"s\"}],"
        "\"services\":[]}";
  static const char *const cases[] = {
    "{}",
    "[]",
    "{\"version\":\"7\",\"routes\":[],\"services\":[]}",
    "{\"version\":7,\"routes\":{},\"services\":[]}",
    "{\"version\":7,\"routes\":[{}],\"services\":[]}",
    other_kind,
    "{\"version\":7,\"routes\":[],\"services\":[{\"name\":7}]}",
  };

  CU_ASSERT_PTR_NULL (routing_decode (NULL));
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    CU_ASSERT_PTR_NULL (decode (cases[i]));
}

static struct routing *
decode_tenants (const char *tenants)
{
  struct str text = str_printf (
      "{\"version\":7,\"routes\":[{\"name\":\"a\",\"hostname\":\"h\","
      "\"path_prefix\":\"/\",\"route_type\":\"idempotent\","
      "\"service\":\"s\",\"allow_anonymous\":true}],\"services\":[],"
      "\"tenants\":%s}",
      tenants);
  struct routing *r = decode (text.data);

  str_free (&text);
  return r;
}

/* Guards against values of a tenant decoded from the wrong member, and against
   taking a configuration without tenants for one with an empty list. */
static void
test_tenants (void)
{
  struct routing *r = decode_tenants (
      "[{\"name\":\"t1\",\"api_keys\":[\"k1\",\"k2\",\"k1\"],"
      "\"priority\":0,\"unit\":\"tokens\",\"plain_tokens\":150,"
      "\"rate_per_s\":2000.5,\"burst\":9000},"
      "{\"name\":\"t2\",\"api_keys\":[\"k3\"],\"unit\":null}]");

  CU_ASSERT_PTR_NOT_NULL_FATAL (r);
  CU_ASSERT_PTR_NOT_NULL_FATAL (r->tenants);
  const struct tenant *a = tenants_find (r->tenants, STR ("k2"));
  const struct tenant *b = tenants_find (r->tenants, STR ("k3"));
  CU_ASSERT_PTR_NOT_NULL_FATAL (a);
  CU_ASSERT_PTR_NOT_NULL_FATAL (b);
  CU_ASSERT_PTR_EQUAL (tenants_find (r->tenants, STR ("k1")), a);
  CU_ASSERT (str_eq (a->name, STR ("t1")));
  CU_ASSERT_TRUE (a->has_priority && a->priority == 0 && a->quota.by_tokens
                  && a->quota.plain_tokens == 150
                  && a->quota.rate_per_s == 2000.5 && a->quota.burst == 9000);
  CU_ASSERT_TRUE (!b->has_priority && !b->quota.by_tokens
                  && b->quota.rate_per_s == 0);
  CU_ASSERT_TRUE (r->routes[0].allow_anonymous);
  routing_destroy (r);
  r = decode_tenants ("[]");
  CU_ASSERT_PTR_NOT_NULL_FATAL (r);
  CU_ASSERT_TRUE (r->tenants && tenants_count (r->tenants) == 0);
  routing_destroy (r);
  r = decode (config);
  CU_ASSERT_PTR_NOT_NULL_FATAL (r);
  CU_ASSERT_PTR_NULL (r->tenants);
  CU_ASSERT_FALSE (r->routes[0].allow_anonymous);
  routing_destroy (r);
}

#define NAME_64                                                               \
  "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
#define NAME_256 NAME_64 NAME_64 NAME_64 NAME_64
#define KEY_4096                                                              \
  NAME_256 NAME_256 NAME_256 NAME_256 NAME_256 NAME_256 NAME_256 NAME_256     \
      NAME_256 NAME_256 NAME_256 NAME_256 NAME_256 NAME_256 NAME_256 NAME_256

/* Guards against a version that is applied although one of its tenants is
   malformed, and against refusing one at the limits. */
static void
test_tenant_limits (void)
{
  static const struct
  {
    const char *tenants;
    bool valid;
  } cases[] = {
    { "[{\"name\":\"" NAME_256 "\",\"api_keys\":[\"" KEY_4096 "\"]}]", true },
    { "[{\"name\":\"t\",\"api_keys\":[]}]", true },
    { "[{\"name\":\"!~\\\"\",\"api_keys\":[\"k k\"]}]", true },
    { "[{\"name\":\"" NAME_256 "x\",\"api_keys\":[]}]", false },
    { "[{\"name\":\"t\",\"api_keys\":[\"" KEY_4096 "x\"]}]", false },
    { "[{\"name\":\"t\",\"api_keys\":[\"\"]}]", false },
    { "[{\"name\":\"t\",\"api_keys\":[7]}]", false },
    { "[{\"name\":\"t\",\"api_keys\":\"k\"}]", false },
    { "[{\"api_keys\":[\"k\"]}]", false },
    { "[{\"name\":\"\",\"api_keys\":[\"k\"]}]", false },
    { "[{\"name\":7,\"api_keys\":[\"k\"]}]", false },
    { "[{\"name\":\"a b\",\"api_keys\":[\"k\"]}]", false },
    { "[{\"name\":\"a\\r\\nb\",\"api_keys\":[\"k\"]}]", false },
    { "[{\"name\":\"\\u00e9\",\"api_keys\":[\"k\"]}]", false },
    { "[{\"name\":\"t\",\"api_keys\":[\"k\"]},"
      "{\"name\":\"u\",\"api_keys\":[\"k\"]}]",
      false },
    { "[{\"name\":\"t\",\"api_keys\":[\"k\"]},"
      "{\"name\":\"t\",\"api_keys\":[\"l\"]}]",
      false },
    { "[{\"name\":\"t\",\"priority\":-1}]", false },
    { "[{\"name\":\"t\",\"priority\":\"1\"}]", false },
    { "[{\"name\":\"t\",\"rate_per_s\":-0.5}]", false },
    { "[{\"name\":\"t\",\"rate_per_s\":\"9\"}]", false },
    { "[{\"name\":\"t\",\"burst\":-1}]", false },
    { "[{\"name\":\"t\",\"plain_tokens\":[]}]", false },
    { "[{\"name\":\"t\",\"unit\":\"bytes\"}]", false },
    { "[{\"name\":\"t\",\"unit\":1}]", false },
    { "[7]", false },
    { "{}", false },
    { "null", false },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct routing *r = decode_tenants (cases[i].tenants);

      CU_ASSERT_EQUAL (r != NULL, cases[i].valid);
      routing_destroy (r);
    }
}

/* Guards against a key that is read from another scheme, and against calls
   with two keys that pass with one of them. */
static void
test_bearer (void)
{
  static const struct
  {
    const char *first;
    const char *second; /* NULL: none */
    const char *key;
    bool differ;
  } cases[] = {
    { "Bearer k1", NULL, "k1", false },
    { "bEARER   k1 ", NULL, "k1", false },
    { "Bearer k1", "Bearer k1", "k1", false },
    { "Bearer k1", "Bearer k2", "k2", true },
    { "Bearer k1", "Basic k1", "", true },
    { "Bearer k1, k2", NULL, "k1, k2", false },
    { "Basic k1", NULL, "", false },
    { "Bearerk1", NULL, "", false },
    { "Bearer", NULL, "", false },
    { "Bearer ", NULL, "", false },
    { "", NULL, "", false },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      const struct http_field fields[]
          = { { STR ("authorization"), str_from (cases[i].first) },
              { STR ("AUTHORIZATION"), str_from (cases[i].second) } };
      struct call_meta meta;

      call_meta_read (fields, cases[i].second ? 2 : 1, &meta);
      CU_ASSERT (str_eq (meta.bearer_key, str_from (cases[i].key)));
      CU_ASSERT_EQUAL (meta.keys_differ, cases[i].differ);
    }
}

/* Guards against a cost of 0 for a call whose tokens can't be read. */
static void
test_has_tokens (void)
{
  static const struct
  {
    const char *value;
    bool readable;
  } cases[] = {
    { "1460,80", true },
    { "0,0", true },
    { "1460", false },
    { "1460,", false },
    { ",80", false },
    { "", false },
    { "-1,80", false },
    { "a,80", false },
    { "99999999999999999999,1", false },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      const struct http_field field
          = { STR ("X-Galenagate-Token-Usage"), str_from (cases[i].value) };
      struct call_meta meta;

      call_meta_read (&field, 1, &meta);
      CU_ASSERT_EQUAL (meta.has_tokens, cases[i].readable);
    }
}

/* Guards against entries that were not written by a server but are decoded as
   servers. */
static void
test_entries (void)
{
  static const struct
  {
    const char *spec;
    int rc;
  } cases[] = {
    { "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
      "\"slots\":6,\"state\":\"ready\",\"seq\":4,\"born\":1700000000000}",
      0 },
    { "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
      "\"slots\":6,\"state\":\"draining\",\"models\":[{\"name\":\"m\","
      "\"version\":1,\"adapters\":[\"a1\"]}],\"at_hand\":{\"in_memory\":"
      "[\"m\"],\"on_disk\":[]}}",
      0 },
    { "{\"service\":\"s\",\"address\":\"10.0.0.1\",\"zone\":\"z\","
      "\"slots\":6,\"state\":\"ready\"}",
      -EBADMSG },
    { "{\"service\":5,\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
      "\"slots\":6,\"state\":\"ready\"}",
      -EBADMSG },
    { "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
      "\"slots\":6,\"state\":\"Ready\"}",
      -EBADMSG },
    { "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
      "\"slots\":6,\"state\":\"ready\",\"models\":\"m\"}",
      -EBADMSG },
    { "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
      "\"slots\":6,\"state\":\"ready\",\"models\":[{\"adapters\":[]}]}",
      -EBADMSG },
    { "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
      "\"slots\":6,\"state\":\"ready\",\"born\":\"soon\"}",
      -EBADMSG },
    { "null", -EBADMSG },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      json_t *json = json_loads (cases[i].spec, JSON_DECODE_ANY, NULL);
      struct server_entry e;

      CU_ASSERT_EQUAL (server_entry_decode (STR ("id"), json, &e),
                       cases[i].rc);
      server_entry_free (&e);
      json_decref (json);
    }
}

/* Guards against a server that is not used because the version in its entry
   can't be read, and against a version that is not read. */
static void
test_entry_versions (void)
{
  static const struct
  {
    const char *member;
    const char *version;
  } cases[] = {
    { "", "" },
    { ",\"version\":\"v1\"", "v1" },
    { ",\"version\":\"\"", "" },
    { ",\"version\":1", "" },
    { ",\"version\":null", "" },
    { ",\"version\":[\"v1\"]", "" },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct str spec = str_printf (
          "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
          "\"slots\":6,\"state\":\"ready\"%s}",
          cases[i].member);
      json_t *json = json_loads (spec.data, 0, NULL);
      struct server_entry e;

      CU_ASSERT_EQUAL (server_entry_decode (STR ("id"), json, &e), 0);
      CU_ASSERT (str_eq (e.software_version, str_from (cases[i].version)));
      server_entry_free (&e);
      json_decref (json);
      str_free (&spec);
    }
}

/* Guards against an entry whose name, sent to servers in a header, ends the
   header and adds others or a request. */
static void
test_entry_names (void)
{
  static const struct
  {
    const char *name;
    int rc;
  } cases[] = {
    { "i-7f3a91c2", 0 },
    { "&+#%", 0 },
    { "", -EBADMSG },
    { "i 7", -EBADMSG },
    { "i-7\r\nX-Galenagate-Request-Priority: 0", -EBADMSG },
    { "i-7\n", -EBADMSG },
    { "i\t7", -EBADMSG },
    { "i\0017", -EBADMSG },
    { "i\1777", -EBADMSG },
    { "i\303\251", -EBADMSG },
  };
  json_t *json
      = json_pack ("{s:s, s:s, s:s, s:i, s:s}", "service", "s", "address",
                   "10.0.0.1:80", "zone", "z", "slots", 6, "state", "ready");

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct server_entry e;

      CU_ASSERT_EQUAL (
          server_entry_decode (str_from (cases[i].name), json, &e),
          cases[i].rc);
      server_entry_free (&e);
    }
  json_decref (json);
}

static bool
has_line (const struct str *lines, size_t n, const char *line)
{
  for (size_t i = 0; i < n; i++)
    if (str_eq (lines[i], str_from (line)))
      return true;
  return false;
}

/* Guards against a client that sets headers reserved for galenagate, and
   against hop-by-hop headers of its connection that reach a server. */
static void
test_headers (void)
{
  static const struct http_field fields[] = {
    { { "host", 4 }, { "one.example", 11 } },
    { { "x-galenagate-attempt-id", 23 }, { "id", 2 } },
    { { "X-Galenagate-Deadline-Ms", 24 }, { "12000", 5 } },
    { { "x-galenagate-hold", 17 }, { "h", 1 } },
    { { "x-galenagate-pin-ms", 19 }, { "9", 1 } },
    { { "x-galenagate-kv-backup", 22 }, { "10.0.0.1:1", 10 } },
    { { "kv-from", 7 }, { "10.0.0.1:1/x", 12 } },
    { { "X-Galenagate-Request-Priority", 29 }, { "0", 1 } },
    { { "transfer-encoding", 17 }, { "chunked", 7 } },
    { { "connection", 10 }, { "close", 5 } },
    { { "x-galenagate-model", 18 }, { "m/a1", 4 } },
    { { "x-galenagate-token-usage", 24 }, { "1460,80", 7 } },
    { { "x-galenagate-prompt-prefix", 26 }, { "5c1e:800,91bd:410", 17 } },
    { { "last-event-id", 13 }, { "3", 1 } },
    { { "resumes", 7 }, { "id-0", 4 } },
    { { "x-empty", 7 }, { "", 0 } },
  };
  const struct call_extra_headers stamp = { .deadline_ms = 900,
                                            .server_id = STR ("i-1"),
                                            .priority = 2,
                                            .last_event_id = STR ("5") };
  static const char *const expected[] = {
    "host: one.example",
    "x-galenagate-attempt-id: id",
    "x-galenagate-model: m/a1",
    "x-galenagate-token-usage: 1460,80",
    "x-galenagate-prompt-prefix: 5c1e:800,91bd:410",
    "resumes: id-0",
    "x-empty;",
    "X-Galenagate-Deadline-Ms: 900",
    "X-Galenagate-Expect-Instance: i-1",
    "X-Galenagate-Request-Priority: 2",
    "Last-Event-Id: 5",
  };
  const size_t count = sizeof fields / sizeof *fields;
  const size_t lines_expected = sizeof expected / sizeof *expected;
  struct str lines[CALL_HEADERS_MAX];
  struct call_meta meta;

  call_meta_read (fields, count, &meta);
  CU_ASSERT (str_eq (meta.model, STR ("m")));
  CU_ASSERT (str_eq (meta.adapter, STR ("a1")));
  CU_ASSERT (str_eq (meta.resumes, STR ("id-0")));
  CU_ASSERT (str_eq (meta.prompt_parts, STR ("5c1e:800,91bd:410")));
  CU_ASSERT_TRUE (meta.deadline_ms == 12000 && meta.prompt_tokens == 1460
                  && meta.output_tokens == 80);
  const size_t n = call_headers (fields, count, &stamp, lines);
  CU_ASSERT_EQUAL (n, lines_expected);
  for (size_t i = 0; i < lines_expected; i++)
    CU_ASSERT_TRUE (has_line (lines, n, expected[i]));
  for (size_t i = 0; i < n; i++)
    str_free (&lines[i]);
}

/* Guards against a key that reaches a server, against a client that sets its
   tenant itself, and against dropping both where calls need no key. */
static void
test_credentials (void)
{
  static const struct http_field fields[] = {
    { { "authorization", 13 }, { "Bearer k", 8 } },
    { { "AUTHORIZATION", 13 }, { "Bearer k", 8 } },
    { { "x-galenagate-tenant", 19 }, { "t2", 2 } },
    { { "X-GALENAGATE-TENANT", 19 }, { "t3", 2 } },
  };
  static const struct
  {
    bool omit;
    const char *tenant;
    size_t kept;
    const char *line; /* NULL: none */
  } cases[] = {
    { true, "t1", 0, "X-Galenagate-Tenant: t1" },
    { true, "", 0, NULL },
    { false, "", 4, NULL },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      const struct call_extra_headers extra
          = { .server_id = STR ("i-1"),
              .priority = -1,
              .omit_credentials = cases[i].omit,
              .tenant = str_from (cases[i].tenant) };
      struct str lines[CALL_HEADERS_MAX];
      const size_t n = call_headers (fields, 4, &extra, lines);

      /* The deadline and the expected instance are always added. */
      CU_ASSERT_EQUAL (n, cases[i].kept + 2 + (cases[i].line != NULL));
      if (cases[i].line)
        CU_ASSERT_TRUE (has_line (lines, n, cases[i].line));
      for (size_t j = 0; j < n; j++)
        str_free (&lines[j]);
    }
}

/* Guards against taking a prompt's own part for a shared one, against values
   that are cut off, and against parts that are left out of a long list. */
static void
test_prompt_parts (void)
{
  static const struct
  {
    const char *value;
    const char *ids; /* each followed by a blank */
  } cases[] = {
    { "5c1e:800,91bd:410,e440:250", "5c1e 91bd " },
    { "5c1e:800", "" },
    { "", "" },
    { ",", "" },
    { "a,b,c", "a b " },
    { "a:1,b:2,", "a " },
    { "1,2,3,4,5,6,7,8,9,10,11", "1 2 3 4 5 6 7 8 9 10 " },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      const struct http_field field
          = { STR ("x-galenagate-prompt-prefix"), str_from (cases[i].value) };
      struct call_meta meta;
      struct buf ids = { 0 };
      struct str id;

      call_meta_read (&field, 1, &meta);
      while (call_next_shared_part (&meta.prompt_parts, &id))
        {
          buf_append (&ids, id);
          buf_append (&ids, STR (" "));
        }
      CU_ASSERT (str_eq (buf_str (&ids), str_from (cases[i].ids)));
      buf_free (&ids);
    }
}

/* Guards against a rest of no or endless length because of a value that is no
   number of seconds. */
static void
test_retry_after (void)
{
  static const struct
  {
    const char *value;
    uint32_t ms;
  } cases[] = {
    { "2", 2000 },
    { "0.25", 250 },
    { "0", 0 },
    { "-3", 0 },
    { "", 0 },
    { "soon", 0 },
    { "2 s", 0 },
    { "nan", 0 },
    { "1e9", 60000 },
    { "inf", 60000 },
    { "Sat, 05 Dec 2026 08:00:00 GMT", 0 },
    { "00000000000000000000000000000000001", 0 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    CU_ASSERT_EQUAL (retry_after_read (str_from (cases[i].value)),
                     cases[i].ms);
}

static const struct suite_case cases[] = {
  { "find", test_find },
  { "split", test_split },
  { "values", test_values },
  { "adapter names", test_adapter_names },
  { "bad configuration", test_bad_config },
  { "tenants", test_tenants },
  { "tenant limits", test_tenant_limits },
  { "bearer", test_bearer },
  { "has tokens", test_has_tokens },
  { "entries", test_entries },
  { "versions in entries", test_entry_versions },
  { "names of entries", test_entry_names },
  { "headers", test_headers },
  { "credentials", test_credentials },
  { "prompt parts", test_prompt_parts },
  { "retry after", test_retry_after },
};
TEST_SUITE ("routing", cases)
