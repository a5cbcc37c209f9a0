#include "lists.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <uthash.h>

#include "err.h"

#define NAME_MAX_BYTES 128
#define KEY_HEX_LEN 64
#define DEPTH_MAX 3
#define BLOCK_BYTES 65536
/* Plan, separator and kind, model or service. */
#define USE_KEY_MAX (2 * NAME_MAX_BYTES + 2)

/* Memory of one struct lists; everything is freed at once. */
struct block
{
  struct block *next;
  size_t used;
  size_t size;
  _Alignas(max_align_t) char data[];
};

struct node
{
  struct str key;
  const void *value;
  UT_hash_handle hh;
};

struct index
{
  struct block *blocks;
  struct node *plans;
  struct node *customers;
  struct node *keys;
  struct node *services;
  struct node *classes;
  struct node *models;
  struct node *uses;
};

static void *
arena_alloc (struct index *x, size_t n)
{
  const size_t align = _Alignof(max_align_t);
  struct block *b = x->blocks;

  n = (n + align - 1) / align * align;
  if (!b || b->size - b->used < n)
    {
      const size_t size = n > BLOCK_BYTES ? n : BLOCK_BYTES;

      b = xcalloc (1, sizeof *b + size);
      b->size = size;
      b->next = x->blocks;
      x->blocks = b;
    }
  void *p = b->data + b->used;
  b->used += n;
  return p;
}

static struct str
arena_str (struct index *x, struct str s)
{
  char *p = arena_alloc (x, s.len + 1);

  if (s.len > 0)
    memcpy (p, s.data, s.len);
  return (struct str){ .data = p, .len = s.len };
}

static const void *
node_value (const struct node *table, struct str key)
{
  const struct node *n;

  HASH_FIND (hh, table, key.data, key.len, n);
  return n ? n->value : NULL;
}

/* Returns the value that the key already has, or NULL after adding. */
static const void *
node_add (struct index *x, struct node **table, struct str key,
          const void *value)
{
  const void *present = node_value (*table, key);
  struct node *n;

  if (present)
    return present;
  n = arena_alloc (x, sizeof *n);
  n->key = key;
  n->value = value;
  HASH_ADD_KEYPTR (hh, *table, n->key.data, n->key.len, n);
  return NULL;
}

enum field_type
{
  FIELD_FORMAT,
  FIELD_NAME, /* non-empty text without blanks and control characters */
  FIELD_TEXT, /* as FIELD_NAME or empty */
  FIELD_U32,
  FIELD_U64,
  FIELD_INT,
  FIELD_BOOL,
  FIELD_CHOICE,
  FIELD_STRINGS,
  FIELD_OBJECTS,
};

struct spec;

/* struct field - one member of a JSON object and its place in a struct. */
struct field
{
  const char *name;
  enum field_type type;
  bool optional;
  size_t offset;
  size_t count_offset;      /* arrays: offset of the size_t count */
  json_int_t min;           /* smallest allowed number */
  const char *choices[2];   /* FIELD_CHOICE: names of the values 0 and 1 */
  const struct spec *items; /* FIELD_OBJECTS */
};

/* struct spec - the members of one kind of JSON object. */
struct spec
{
  size_t size;
  const struct field *fields;
  size_t count;
};

#define AT(type, member) .offset = offsetof (struct type, member)
#define COUNT(type, member) .count_offset = offsetof (struct type, member)
#define SPEC(type, list)                                                      \
  {                                                                           \
    .size = sizeof (struct type), .fields = (list),                           \
    .count = sizeof (list) / sizeof *(list)                                   \
  }

static const struct field plan_fields[] = {
  { "name", FIELD_NAME, AT (plan, name) },
  { "requests_per_s", FIELD_U32, AT (plan, requests_per_s) },
  { "burst", FIELD_U32, AT (plan, burst) },
  { "in_flight", FIELD_U32, AT (plan, in_flight) },
};
static const struct spec plan_spec = SPEC (plan, plan_fields);

static const struct field customer_fields[] = {
  { "name", FIELD_NAME, AT (customer, name) },
  { "plan", FIELD_NAME, AT (customer, plan) },
  { "key_sha256", FIELD_STRINGS, AT (customer, key_hashes),
    COUNT (customer, key_hash_count) },
};
static const struct spec customer_spec = SPEC (customer, customer_fields);

static const struct field service_fields[] = {
  { "name", FIELD_NAME, AT (service, name) },
  { "region", FIELD_TEXT, true, AT (service, region) },
  { "kind", FIELD_CHOICE, AT (service, kind),
    .choices = { "engine", "plain" } },
  { "fenced", FIELD_BOOL, true, AT (service, fenced) },
  { "prefer", FIELD_CHOICE, true, AT (service, preference),
    .choices = { "cold-start", "idle-hours" } },
  { "weight_loads_per_s", FIELD_U32, true, AT (service, loads_per_s) },
  { "weight_loads_at_once", FIELD_U32, true, AT (service, loads_at_once) },
  { "idempotent_paths", FIELD_STRINGS, true, AT (service, idempotent_paths),
    COUNT (service, idempotent_path_count) },
};
static const struct spec service_spec = SPEC (service, service_fields);

static const struct field class_fields[] = {
  { "name", FIELD_NAME, AT (class_spec, name) },
  { "priority", FIELD_INT, AT (class_spec, priority), .min = INT32_MIN },
  { "deadline_ms", FIELD_U32, AT (class_spec, deadline_ms), .min = 1 },
};
static const struct spec class_object_spec = SPEC (class_spec, class_fields);

static const struct field adapter_fields[] = {
  { "name", FIELD_NAME, AT (adapter, name) },
  { "version", FIELD_NAME, AT (adapter, version) },
  { "bytes", FIELD_U64, AT (adapter, bytes), .min = 1 },
};
static const struct spec adapter_spec = SPEC (adapter, adapter_fields);

static const struct field model_fields[] = {
  { "name", FIELD_NAME, AT (model, name) },
  { "version", FIELD_NAME, AT (model, version) },
  { "service", FIELD_NAME, AT (model, service) },
  { "bytes", FIELD_U64, AT (model, bytes), .min = 1 },
  { "slots", FIELD_U32, AT (model, slots), .min = 1 },
  { "min_replicas", FIELD_U32, true, AT (model, min_replicas) },
  { "max_replicas", FIELD_U32, AT (model, max_replicas), .min = 1 },
  { "load_ms", FIELD_U32, true, AT (model, load_ms) },
  { "adapters", FIELD_OBJECTS, true, AT (model, adapters),
    COUNT (model, adapter_count), .items = &adapter_spec },
};
static const struct spec model_spec = SPEC (model, model_fields);

static const struct field use_fields[] = {
  { "plan", FIELD_NAME, AT (use, plan) },
  { "model", FIELD_NAME, true, AT (use, model) },
  { "service", FIELD_NAME, true, AT (use, service) },
  { "adapters", FIELD_STRINGS, true, AT (use, adapters),
    COUNT (use, adapter_count) },
  { "class", FIELD_NAME, AT (use, class_name) },
};
static const struct spec use_spec = SPEC (use, use_fields);

static const struct field plans_file_fields[] = {
  { .name = "format", .type = FIELD_FORMAT },
  { "revision", FIELD_U64, true, AT (lists, revision) },
  { "plans", FIELD_OBJECTS, AT (lists, plans), COUNT (lists, plan_count),
    .items = &plan_spec },
  { "customers", FIELD_OBJECTS, AT (lists, customers),
    COUNT (lists, customer_count), .items = &customer_spec },
};
static const struct spec plans_file_spec = SPEC (lists, plans_file_fields);

static const struct field uses_file_fields[] = {
  { .name = "format", .type = FIELD_FORMAT },
  { "revision", FIELD_U64, true, AT (lists, revision) },
  { "services", FIELD_OBJECTS, AT (lists, services),
    COUNT (lists, service_count), .items = &service_spec },
  { "classes", FIELD_OBJECTS, AT (lists, classes), COUNT (lists, class_count),
    .items = &class_object_spec },
  { "models", FIELD_OBJECTS, AT (lists, models), COUNT (lists, model_count),
    .items = &model_spec },
  { "uses", FIELD_OBJECTS, AT (lists, uses), COUNT (lists, use_count),
    .items = &use_spec },
};
static const struct spec uses_file_spec = SPEC (lists, uses_file_fields);

/* struct step - one array element on the way to the present object. */
struct step
{
  const char *array;
  size_t place;
  const json_t *object;
};

struct parser
{
  struct lists *lists;
  struct index *x;
  struct lists_error *error;
  const char *file;
  struct step steps[DEPTH_MAX];
  size_t depth;
};

static const char *
member_text (const json_t *object, const char *name)
{
  const char *s = json_string_value (json_object_get (object, name));

  return s ? s : "";
}

static void
print_step (struct buf *b, const struct step *s)
{
  const char *name = member_text (s->object, "name");
  const char *plan = member_text (s->object, "plan");
  const char *used = member_text (s->object, "model");

  if (!used[0])
    used = member_text (s->object, "service");
  buf_printf (b, "%s%s[%zu]", b->len > 0 ? " " : "", s->array, s->place);
  if (name[0])
    buf_printf (b, " (%s)", name);
  else if (plan[0])
    buf_printf (b, " (%s/%s)", plan, used);
}

/* Records an error at the present step; takes over `reason`. */
static int
fail (struct parser *p, const char *field, struct str reason)
{
  struct buf entry = { 0 };

  for (size_t i = 0; i < p->depth; i++)
    print_step (&entry, &p->steps[i]);
  if (p->depth == 0)
    buf_append (&entry, STR ("(top level)"));
  *p->error = (struct lists_error){ .file = str_dup (str_from (p->file)),
                                    .entry = str_dup (buf_str (&entry)),
                                    .field = str_dup (str_from (field)),
                                    .reason = reason };
  buf_free (&entry);
  return -EINVAL;
}

/* Is the text of 1 to 128 bytes, without blanks and control characters. The
   names appear in object keys, log lines and metric labels. */
static bool
name_ok (struct str s)
{
  if (s.len == 0 || s.len > NAME_MAX_BYTES)
    return false;
  for (size_t i = 0; i < s.len; i++)
    {
      const unsigned char c = (unsigned char)s.data[i];

      if (c <= ' ' || c == 0x7f || c == '"' || c == '\\')
        return false;
    }
  return true;
}

static int
parse_text (struct parser *p, const struct field *f, const json_t *v,
            struct str *out)
{
  const struct str s
      = { .data = json_string_value (v), .len = json_string_length (v) };

  if (!json_is_string (v))
    return fail (p, f->name, str_printf ("must be a string"));
  if (!name_ok (s) && !(f->type == FIELD_TEXT && s.len == 0))
    return fail (p, f->name,
                 str_printf ("must have 1 to %d bytes without blanks, quotes, "
                             "backslashes and control characters",
                             NAME_MAX_BYTES));
  *out = arena_str (p->x, s);
  return 0;
}

static int
parse_number (struct parser *p, const struct field *f, const json_t *v,
              void *out)
{
  const json_int_t n = json_integer_value (v);
  json_int_t max = UINT32_MAX;

  if (f->type == FIELD_U64)
    max = INT64_MAX;
  if (f->type == FIELD_INT)
    max = INT32_MAX;
  if (!json_is_integer (v) || n < f->min || n > max)
    return fail (p, f->name,
                 str_printf ("must be a whole number from %lld to %lld",
                             (long long)f->min, (long long)max));
  if (f->type == FIELD_U64)
    *(uint64_t *)out = (uint64_t)n;
  else if (f->type == FIELD_INT)
    *(int *)out = (int)n;
  else
    *(uint32_t *)out = (uint32_t)n;
  return 0;
}

static int
parse_choice (struct parser *p, const struct field *f, const json_t *v,
              void *out)
{
  const char *s = json_string_value (v);

  for (unsigned i = 0; s && i < 2; i++)
    if (strcmp (s, f->choices[i]) == 0)
      {
        memcpy (out, &i, sizeof i);
        return 0;
      }
  return fail (
      p, f->name,
      str_printf ("must be \"%s\" or \"%s\"", f->choices[0], f->choices[1]));
}

static int
parse_strings (struct parser *p, const struct field *f, const json_t *v,
               char *out)
{
  const size_t n = json_array_size (v);
  struct str *items = arena_alloc (p->x, (n + 1) * sizeof *items);

  if (!json_is_array (v))
    return fail (p, f->name, str_printf ("must be an array of strings"));
  for (size_t i = 0; i < n; i++)
    {
      const int rc = parse_text (p, f, json_array_get (v, i), &items[i]);

      if (rc != 0)
        return rc;
    }
  *(const struct str **)(out + f->offset) = items;
  *(size_t *)(out + f->count_offset) = n;
  return 0;
}

static int parse_object (struct parser *p, const struct spec *spec,
                         const json_t *object, char *out);

/* The depth is bounded by the nesting of the specs: file, entry, adapter. */
static int
parse_objects (struct parser *p, const struct field *f, const json_t *v,
               char *out)
{
  const size_t n = json_array_size (v);
  const size_t size = f->items->size;
  char *items = arena_alloc (p->x, (n + 1) * size);

  if (!json_is_array (v))
    return fail (p, f->name, str_printf ("must be an array of objects"));
  for (size_t i = 0; i < n; i++)
    {
      const json_t *item = json_array_get (v, i);

      p->steps[p->depth++]
          = (struct step){ .array = f->name, .place = i, .object = item };
      const int rc = parse_object (p, f->items, item, items + i * size);
      if (rc != 0)
        return rc;
      p->depth--;
    }
  *(const void **)(out + f->offset) = items;
  *(size_t *)(out + f->count_offset) = n;
  return 0;
}

static int
parse_field (struct parser *p, const struct field *f, const json_t *v,
             char *out)
{
  switch (f->type)
    {
    case FIELD_FORMAT:
      if (json_integer_value (v) == 1)
        return 0;
      return fail (p, f->name, str_printf ("must be 1"));
    case FIELD_NAME:
    case FIELD_TEXT:
      return parse_text (p, f, v, (struct str *)(out + f->offset));
    case FIELD_U32:
    case FIELD_U64:
    case FIELD_INT:
      return parse_number (p, f, v, out + f->offset);
    case FIELD_BOOL:
      if (!json_is_boolean (v))
        return fail (p, f->name, str_printf ("must be true or false"));
      *(bool *)(out + f->offset) = json_is_true (v);
      return 0;
    case FIELD_CHOICE:
      return parse_choice (p, f, v, out + f->offset);
    case FIELD_STRINGS:
      return parse_strings (p, f, v, out);
    case FIELD_OBJECTS:
      return parse_objects (p, f, v, out);
    }
  return -EINVAL;
}

static const struct field *
find_field (const struct spec *spec, const char *name)
{
  for (size_t i = 0; i < spec->count; i++)
    if (strcmp (spec->fields[i].name, name) == 0)
      return &spec->fields[i];
  return NULL;
}

static int
parse_object (struct parser *p, const struct spec *spec, const json_t *object,
              char *out)
{
  const char *name;
  json_t *value;

  if (!json_is_object (object))
    return fail (p, "", str_printf ("must be an object"));
  json_object_foreach ((json_t *)object, name, value)
  {
    if (!find_field (spec, name))
      return fail (p, name, str_printf ("unknown field"));
  }
  for (size_t i = 0; i < spec->count; i++)
    {
      const struct field *f = &spec->fields[i];
      const json_t *v = json_object_get (object, f->name);

      if (!v && f->optional)
        continue;
      if (!v)
        return fail (p, f->name, str_printf ("missing"));
      const int rc = parse_field (p, f, v, out);
      if (rc != 0)
        return rc;
    }
  return 0;
}

static json_t *
parse_json (const char *file, struct str text, struct lists_error *error)
{
  json_error_t e;
  json_t *root = json_loadb (text.data, text.len, JSON_REJECT_DUPLICATES, &e);

  if (!root)
    *error = (struct lists_error){
      .file = str_dup (str_from (file)),
      .entry = str_printf ("line %d column %d", e.line, e.column),
      .field = str_dup (STR ("")),
      .reason = str_printf ("not valid JSON: %s", e.text),
    };
  return root;
}

/* Sets the step for an error in an entry found after parsing. */
static void
at (struct parser *p, const char *file, const json_t *root, const char *array,
    size_t place)
{
  p->file = file;
  p->depth = 1;
  p->steps[0] = (struct step){
    .array = array,
    .place = place,
    .object = json_array_get (json_object_get (root, array), place),
  };
}

static int
dangling (struct parser *p, const char *field, const char *what,
          struct str name)
{
  return fail (
      p, field,
      str_printf ("no %s is named '" STR_FMT "'", what, STR_ARG (name)));
}

static int
duplicate (struct parser *p, const char *field, struct str value)
{
  return fail (p, field,
               str_printf ("'" STR_FMT "' occurs twice", STR_ARG (value)));
}

static int
check_plans (struct parser *p, const json_t *root)
{
  for (size_t i = 0; i < p->lists->plan_count; i++)
    {
      const struct plan *e = &p->lists->plans[i];

      at (p, "plans", root, "plans", i);
      if (node_add (p->x, &p->x->plans, e->name, e))
        return duplicate (p, "name", e->name);
      if (e->requests_per_s > 0 && e->burst == 0)
        return fail (p, "burst",
                     str_printf ("must be at least 1 when requests_per_s is "
                                 "limited"));
    }
  return 0;
}

static bool
key_hash_ok (struct str s)
{
  return s.len == KEY_HEX_LEN
         && strspn (s.data, "0123456789abcdef") == KEY_HEX_LEN;
}

static int
check_customer_keys (struct parser *p, const struct customer *e)
{
  for (size_t i = 0; i < e->key_hash_count; i++)
    {
      const struct str key = e->key_hashes[i];

      if (!key_hash_ok (key))
        return fail (p, "key_sha256",
                     str_printf ("[%zu] must be 64 lower-case hex digits", i));
      const struct customer *other = node_add (p->x, &p->x->keys, key, e);
      if (other)
        return fail (p, "key_sha256",
                     str_printf ("[%zu] is also a key of customer '" STR_FMT
                                 "'",
                                 i, STR_ARG (other->name)));
    }
  return 0;
}

static int
check_customers (struct parser *p, const json_t *root)
{
  for (size_t i = 0; i < p->lists->customer_count; i++)
    {
      const struct customer *e = &p->lists->customers[i];

      at (p, "plans", root, "customers", i);
      if (node_add (p->x, &p->x->customers, e->name, e))
        return duplicate (p, "name", e->name);
      if (!lists_plan (p->lists, e->plan))
        return dangling (p, "plan", "plan", e->plan);
      const int rc = check_customer_keys (p, e);
      if (rc != 0)
        return rc;
    }
  return 0;
}

static int
check_service_kind (struct parser *p, const struct service *e)
{
  if (e->kind == SERVICE_ENGINE)
    {
      if (e->loads_per_s == 0)
        return fail (p, "weight_loads_per_s",
                     str_printf ("an engine service needs at least 1"));
      if (e->loads_at_once == 0)
        return fail (p, "weight_loads_at_once",
                     str_printf ("an engine service needs at least 1"));
      if (e->idempotent_path_count > 0)
        return fail (p, "idempotent_paths",
                     str_printf ("only plain services have paths"));
      return 0;
    }
  if (e->fenced)
    return fail (p, "fenced", str_printf ("only engine services are fenced"));
  for (size_t i = 0; i < e->idempotent_path_count; i++)
    if (e->idempotent_paths[i].data[0] != '/')
      return fail (p, "idempotent_paths",
                   str_printf ("[%zu] must begin with '/'", i));
  return 0;
}

static int
check_services (struct parser *p, const json_t *root)
{
  for (size_t i = 0; i < p->lists->service_count; i++)
    {
      const struct service *e = &p->lists->services[i];

      at (p, "uses", root, "services", i);
      if (node_add (p->x, &p->x->services, e->name, e))
        return duplicate (p, "name", e->name);
      const int rc = check_service_kind (p, e);
      if (rc != 0)
        return rc;
    }
  return 0;
}

static int
check_classes (struct parser *p, const json_t *root)
{
  for (size_t i = 0; i < p->lists->class_count; i++)
    {
      const struct class_spec *e = &p->lists->classes[i];

      at (p, "uses", root, "classes", i);
      if (node_add (p->x, &p->x->classes, e->name, e))
        return duplicate (p, "name", e->name);
    }
  return 0;
}

static int
by_adapter_name (const void *a, const void *b)
{
  const struct adapter *x = a;
  const struct adapter *y = b;

  return str_cmp (x->name, y->name);
}

/* Sorts the adapters for lists_adapter() and finds names that occur twice. */
static int
check_adapters (struct parser *p, const struct model *e)
{
  if (e->adapter_count == 0)
    return 0;
  qsort ((struct adapter *)e->adapters, e->adapter_count, sizeof *e->adapters,
         by_adapter_name);
  for (size_t i = 1; i < e->adapter_count; i++)
    if (str_eq (e->adapters[i - 1].name, e->adapters[i].name))
      return duplicate (p, "adapters", e->adapters[i].name);
  return 0;
}

static int
check_model (struct parser *p, const struct model *e)
{
  const struct service *s = lists_service (p->lists, e->service);

  if (!s)
    return dangling (p, "service", "service", e->service);
  if (s->kind != SERVICE_ENGINE)
    return fail (p, "service",
                 str_printf ("'" STR_FMT "' is not an engine service",
                             STR_ARG (e->service)));
  if (e->min_replicas > e->max_replicas)
    return fail (p, "min_replicas",
                 str_printf ("%u is more than max_replicas (%u)",
                             e->min_replicas, e->max_replicas));
  return check_adapters (p, e);
}

static int
check_models (struct parser *p, const json_t *root)
{
  for (size_t i = 0; i < p->lists->model_count; i++)
    {
      const struct model *e = &p->lists->models[i];

      at (p, "uses", root, "models", i);
      if (node_add (p->x, &p->x->models, e->name, e))
        return duplicate (p, "name", e->name);
      const int rc = check_model (p, e);
      if (rc != 0)
        return rc;
    }
  return 0;
}

/* Key of an entry of "uses"; empty if a name is longer than allowed. */
static struct str
use_key (struct str plan, char kind, struct str name, char out[USE_KEY_MAX])
{
  if (plan.len > NAME_MAX_BYTES || name.len > NAME_MAX_BYTES)
    return STR ("");
  if (plan.len > 0)
    memcpy (out, plan.data, plan.len);
  out[plan.len] = '\n';
  out[plan.len + 1] = kind;
  if (name.len > 0)
    memcpy (out + plan.len + 2, name.data, name.len);
  return (struct str){ .data = out, .len = plan.len + 2 + name.len };
}

static int
check_use_model (struct parser *p, const struct use *e)
{
  const struct model *m = lists_model (p->lists, e->model, STR (""));

  if (!m)
    return dangling (p, "model", "model", e->model);
  for (size_t i = 0; i < e->adapter_count; i++)
    {
      if (str_eq (e->adapters[i], STR ("*")) && e->adapter_count == 1)
        continue;
      if (!lists_adapter (m, e->adapters[i]))
        return fail (
            p, "adapters",
            str_printf ("model '" STR_FMT "' has no adapter '" STR_FMT "'",
                        STR_ARG (e->model), STR_ARG (e->adapters[i])));
    }
  return 0;
}

static int
check_use_service (struct parser *p, const struct use *e)
{
  const struct service *s = lists_service (p->lists, e->service);

  if (!s)
    return dangling (p, "service", "service", e->service);
  if (s->kind != SERVICE_PLAIN)
    return fail (p, "service",
                 str_printf ("'" STR_FMT "' is an engine service; allow its "
                             "models instead",
                             STR_ARG (e->service)));
  if (e->adapter_count > 0)
    return fail (p, "adapters", str_printf ("only models have adapters"));
  return 0;
}

static int
check_use (struct parser *p, const struct use *e)
{
  char key[USE_KEY_MAX];
  const bool is_model = e->model.len > 0;
  const struct str name = is_model ? e->model : e->service;

  if (is_model == (e->service.len > 0))
    return fail (p, "model",
                 str_printf ("exactly one of model and service is needed"));
  if (!lists_plan (p->lists, e->plan))
    return dangling (p, "plan", "plan", e->plan);
  const int rc = is_model ? check_use_model (p, e) : check_use_service (p, e);
  if (rc != 0)
    return rc;
  if (!lists_class (p->lists, e->class_name))
    return dangling (p, "class", "class", e->class_name);
  const struct str k = use_key (e->plan, is_model ? 'm' : 's', name, key);
  if (node_add (p->x, &p->x->uses, arena_str (p->x, k), e))
    return duplicate (p, is_model ? "model" : "service", name);
  return 0;
}

static int
check_uses (struct parser *p, const json_t *root)
{
  for (size_t i = 0; i < p->lists->use_count; i++)
    {
      at (p, "uses", root, "uses", i);
      const int rc = check_use (p, &p->lists->uses[i]);
      if (rc != 0)
        return rc;
    }
  return 0;
}

static int
check (struct parser *p, const json_t *plans, const json_t *uses)
{
  int rc = check_plans (p, plans);

  if (rc == 0)
    rc = check_customers (p, plans);
  if (rc == 0)
    rc = check_services (p, uses);
  if (rc == 0)
    rc = check_classes (p, uses);
  if (rc == 0)
    rc = check_models (p, uses);
  if (rc == 0)
    rc = check_uses (p, uses);
  return rc;
}

int
lists_parse_json (const json_t *plans, const json_t *uses, uint64_t revision,
                  struct lists **out, struct lists_error *error)
{
  struct lists *l = xcalloc (1, sizeof *l);
  struct index *x = xcalloc (1, sizeof *x);
  struct parser p = { .lists = l, .x = x, .error = error, .file = "plans" };

  l->index = x;
  int rc = parse_object (&p, &plans_file_spec, plans, (char *)l);
  p.file = "uses";
  if (rc == 0)
    rc = parse_object (&p, &uses_file_spec, uses, (char *)l);
  if (rc == 0)
    rc = check (&p, plans, uses);
  /* The files carry the revision that they were edited from. */
  l->revision = revision;
  if (rc == 0)
    *out = l;
  else
    lists_destroy (l);
  return rc;
}

int
lists_parse (struct str plans, struct str uses, uint64_t revision,
             struct lists **out, struct lists_error *error)
{
  json_t *plans_root = parse_json ("plans", plans, error);
  json_t *uses_root = plans_root ? parse_json ("uses", uses, error) : NULL;
  int rc = -EINVAL;

  if (uses_root)
    rc = lists_parse_json (plans_root, uses_root, revision, out, error);
  json_decref (plans_root);
  json_decref (uses_root);
  return rc;
}

void
lists_destroy (struct lists *l)
{
  if (!l)
    return;
  struct index *x = l->index;
  HASH_CLEAR (hh, x->plans);
  HASH_CLEAR (hh, x->customers);
  HASH_CLEAR (hh, x->keys);
  HASH_CLEAR (hh, x->services);
  HASH_CLEAR (hh, x->classes);
  HASH_CLEAR (hh, x->models);
  HASH_CLEAR (hh, x->uses);
  while (x->blocks)
    {
      struct block *b = x->blocks;

      x->blocks = b->next;
      free (b);
    }
  free (x);
  free (l);
}

void
lists_error_free (struct lists_error *error)
{
  str_free (&error->file);
  str_free (&error->entry);
  str_free (&error->field);
  str_free (&error->reason);
}

static const struct index *
index_of (const struct lists *l)
{
  return l->index;
}

const struct plan *
lists_plan (const struct lists *l, struct str name)
{
  return node_value (index_of (l)->plans, name);
}

const struct service *
lists_service (const struct lists *l, struct str name)
{
  return node_value (index_of (l)->services, name);
}

const struct class_spec *
lists_class (const struct lists *l, struct str name)
{
  return node_value (index_of (l)->classes, name);
}

const struct model *
lists_model (const struct lists *l, struct str name, struct str version)
{
  const struct model *m = node_value (index_of (l)->models, name);

  if (m && version.len > 0 && !str_eq (m->version, version))
    return NULL;
  return m;
}

const struct adapter *
lists_adapter (const struct model *m, struct str name)
{
  const struct adapter key = { .name = name };

  if (m->adapter_count == 0)
    return NULL;
  return bsearch (&key, m->adapters, m->adapter_count, sizeof *m->adapters,
                  by_adapter_name);
}

const struct customer *
lists_customer (const struct lists *l, struct str key_hash)
{
  return node_value (index_of (l)->keys, key_hash);
}

const struct customer *
lists_customer_named (const struct lists *l, struct str name)
{
  return node_value (index_of (l)->customers, name);
}

static bool
use_allows (const struct lists *l, const struct use *u, struct str adapter)
{
  if (adapter.len == 0)
    return true;
  if (!lists_adapter (lists_model (l, u->model, STR ("")), adapter))
    return false;
  for (size_t i = 0; i < u->adapter_count; i++)
    if (str_eq (u->adapters[i], STR ("*")) || str_eq (u->adapters[i], adapter))
      return true;
  return false;
}

const struct use *
lists_use_model (const struct lists *l, struct str plan, struct str model,
                 struct str adapter)
{
  char key[USE_KEY_MAX];
  const struct use *u
      = node_value (index_of (l)->uses, use_key (plan, 'm', model, key));

  return u && use_allows (l, u, adapter) ? u : NULL;
}

const struct use *
lists_use_service (const struct lists *l, struct str plan, struct str service)
{
  char key[USE_KEY_MAX];

  return node_value (index_of (l)->uses, use_key (plan, 's', service, key));
}
