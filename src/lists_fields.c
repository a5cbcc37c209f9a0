#include "lists_impl.h"

#include <errno.h>
#include <string.h>

enum field_type
{
  FIELD_FORMAT,
  FIELD_NAME,          /* string that is_valid_name() accepts */
  FIELD_NAME_OR_EMPTY, /* as FIELD_NAME, or empty */
  FIELD_U32,
  FIELD_U64,
  FIELD_INT,
  FIELD_BOOL,
  FIELD_CHOICE,
  FIELD_STRINGS,
  FIELD_OBJECTS,
};

struct object_spec;

/* struct field_spec - a member of a JSON object and the struct field that it
   is stored in. */
struct field_spec
{
  const char *name;
  enum field_type type;
  bool optional;
  size_t offset;
  size_t count_offset;    /* arrays: offset of the field with the length */
  json_int_t min;         /* smallest allowed number */
  const char *choices[2]; /* FIELD_CHOICE: names of the values 0 and 1 */
  const struct object_spec *items; /* FIELD_OBJECTS */
};

/* struct object_spec - the members of a type of JSON object. */
struct object_spec
{
  size_t size;
  const struct field_spec *fields;
  size_t count;
};

#define OFFSET(type, member) .offset = offsetof (struct type, member)
#define COUNT_OFFSET(type, member)                                            \
  .count_offset = offsetof (struct type, member)
#define SPEC(type, list)                                                      \
  {                                                                           \
    .size = sizeof (struct type), .fields = (list),                           \
    .count = sizeof (list) / sizeof *(list)                                   \
  }

static const struct field_spec plan_fields[] = {
  { "name", FIELD_NAME, OFFSET (plan, name) },
  { "requests_per_s", FIELD_U32, OFFSET (plan, requests_per_s) },
  { "burst", FIELD_U32, OFFSET (plan, burst) },
  { "in_flight", FIELD_U32, OFFSET (plan, in_flight) },
};
static const struct object_spec plan_spec = SPEC (plan, plan_fields);

static const struct field_spec customer_fields[] = {
  { "name", FIELD_NAME, OFFSET (customer, name) },
  { "plan", FIELD_NAME, OFFSET (customer, plan) },
  { "key_sha256", FIELD_STRINGS, OFFSET (customer, key_hashes),
    COUNT_OFFSET (customer, key_hash_count) },
};
static const struct object_spec customer_spec
    = SPEC (customer, customer_fields);

static const struct field_spec service_fields[] = {
  { "name", FIELD_NAME, OFFSET (service, name) },
  { "region", FIELD_NAME_OR_EMPTY, true, OFFSET (service, region) },
  { "kind", FIELD_CHOICE, OFFSET (service, kind),
    .choices = { "engine", "plain" } },
  { "fenced", FIELD_BOOL, true, OFFSET (service, fenced) },
  { "prefer", FIELD_CHOICE, true, OFFSET (service, preference),
    .choices = { "cold-start", "idle-hours" } },
  { "weight_loads_per_s", FIELD_U32, true, OFFSET (service, loads_per_s) },
  { "weight_loads_at_once", FIELD_U32, true, OFFSET (service, loads_at_once) },
  { "idempotent_paths", FIELD_STRINGS, true,
    OFFSET (service, idempotent_paths),
    COUNT_OFFSET (service, idempotent_path_count) },
};
static const struct object_spec service_spec = SPEC (service, service_fields);

static const struct field_spec class_fields[] = {
  { "name", FIELD_NAME, OFFSET (request_class, name) },
  { "priority", FIELD_INT, OFFSET (request_class, priority),
    .min = INT32_MIN },
  { "deadline_ms", FIELD_U32, OFFSET (request_class, deadline_ms), .min = 1 },
};
static const struct object_spec class_object_spec
    = SPEC (request_class, class_fields);

static const struct field_spec adapter_fields[] = {
  { "name", FIELD_NAME, OFFSET (adapter, name) },
  { "version", FIELD_NAME, OFFSET (adapter, version) },
  { "bytes", FIELD_U64, OFFSET (adapter, bytes), .min = 1 },
};
static const struct object_spec adapter_spec = SPEC (adapter, adapter_fields);

static const struct field_spec model_fields[] = {
  { "name", FIELD_NAME, OFFSET (model, name) },
  { "version", FIELD_NAME, OFFSET (model, version) },
  { "service", FIELD_NAME, OFFSET (model, service) },
  { "bytes", FIELD_U64, OFFSET (model, bytes), .min = 1 },
  { "slots", FIELD_U32, OFFSET (model, slots), .min = 1 },
  { "min_replicas", FIELD_U32, true, OFFSET (model, min_replicas) },
  { "max_replicas", FIELD_U32, OFFSET (model, max_replicas), .min = 1 },
  { "load_ms", FIELD_U32, true, OFFSET (model, load_ms) },
  { "adapters", FIELD_OBJECTS, true, OFFSET (model, adapters),
    COUNT_OFFSET (model, adapter_count), .items = &adapter_spec },
};
static const struct object_spec model_spec = SPEC (model, model_fields);

static const struct field_spec use_fields[] = {
  { "plan", FIELD_NAME, OFFSET (use, plan) },
  { "model", FIELD_NAME, true, OFFSET (use, model) },
  { "service", FIELD_NAME, true, OFFSET (use, service) },
  { "adapters", FIELD_STRINGS, true, OFFSET (use, adapters),
    COUNT_OFFSET (use, adapter_count) },
  { "class", FIELD_NAME, OFFSET (use, class_name) },
};
static const struct object_spec use_spec = SPEC (use, use_fields);

static const struct field_spec plans_file_fields[] = {
  { .name = "format", .type = FIELD_FORMAT },
  { "revision", FIELD_U64, true, OFFSET (lists, revision) },
  { "plans", FIELD_OBJECTS, OFFSET (lists, plans),
    COUNT_OFFSET (lists, plan_count), .items = &plan_spec },
  { "customers", FIELD_OBJECTS, OFFSET (lists, customers),
    COUNT_OFFSET (lists, customer_count), .items = &customer_spec },
};
static const struct object_spec plans_file_spec
    = SPEC (lists, plans_file_fields);

static const struct field_spec uses_file_fields[] = {
  { .name = "format", .type = FIELD_FORMAT },
  { "revision", FIELD_U64, true, OFFSET (lists, revision) },
  { "services", FIELD_OBJECTS, OFFSET (lists, services),
    COUNT_OFFSET (lists, service_count), .items = &service_spec },
  { "classes", FIELD_OBJECTS, OFFSET (lists, classes),
    COUNT_OFFSET (lists, class_count), .items = &class_object_spec },
  { "models", FIELD_OBJECTS, OFFSET (lists, models),
    COUNT_OFFSET (lists, model_count), .items = &model_spec },
  { "uses", FIELD_OBJECTS, OFFSET (lists, uses),
    COUNT_OFFSET (lists, use_count), .items = &use_spec },
};
static const struct object_spec uses_file_spec
    = SPEC (lists, uses_file_fields);

/* Returns true if the string has 1 to LISTS_NAME_MAX bytes and no blanks,
   quotes, backslashes or control characters, as names appear in object keys,
   log lines and metric labels. */
static bool
is_valid_name (struct str s)
{
  if (s.len == 0 || s.len > LISTS_NAME_MAX)
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
parse_name (struct lists_parser *p, const struct field_spec *f,
            const json_t *v, struct str *out)
{
  const struct str s
      = { .data = json_string_value (v), .len = json_string_length (v) };

  if (!json_is_string (v))
    return lists_fail (p, f->name, str_printf ("must be a string"));
  if (!is_valid_name (s) && !(f->type == FIELD_NAME_OR_EMPTY && s.len == 0))
    return lists_fail (
        p, f->name,
        str_printf ("must have 1 to %d bytes without blanks, quotes, "
                    "backslashes and control characters",
                    LISTS_NAME_MAX));
  *out = lists_alloc_str (p->index, s);
  return 0;
}

static int
parse_number (struct lists_parser *p, const struct field_spec *f,
              const json_t *v, void *out)
{
  const json_int_t n = json_integer_value (v);
  json_int_t max = UINT32_MAX;

  if (f->type == FIELD_U64)
    max = INT64_MAX;
  if (f->type == FIELD_INT)
    max = INT32_MAX;
  if (!json_is_integer (v) || n < f->min || n > max)
    return lists_fail (p, f->name,
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
parse_choice (struct lists_parser *p, const struct field_spec *f,
              const json_t *v, void *out)
{
  const char *s = json_string_value (v);

  for (unsigned i = 0; s && i < 2; i++)
    if (strcmp (s, f->choices[i]) == 0)
      {
        memcpy (out, &i, sizeof i);
        return 0;
      }
  return lists_fail (
      p, f->name,
      str_printf ("must be \"%s\" or \"%s\"", f->choices[0], f->choices[1]));
}

static int
parse_strings (struct lists_parser *p, const struct field_spec *f,
               const json_t *v, char *out)
{
  const size_t n = json_array_size (v);
  struct str *items = lists_alloc (p->index, (n + 1) * sizeof *items);

  if (!json_is_array (v))
    return lists_fail (p, f->name, str_printf ("must be an array of strings"));
  for (size_t i = 0; i < n; i++)
    {
      const int rc = parse_name (p, f, json_array_get (v, i), &items[i]);

      if (rc != 0)
        return rc;
    }
  *(const struct str **)(out + f->offset) = items;
  *(size_t *)(out + f->count_offset) = n;
  return 0;
}

static int parse_object (struct lists_parser *p,
                         const struct object_spec *spec, const json_t *object,
                         char *out);

/* The recursion is bounded by the nesting of the specs: file, entry, adapter.
 */
static int
parse_objects (struct lists_parser *p, const struct field_spec *f,
               const json_t *v, char *out)
{
  const size_t n = json_array_size (v);
  const size_t size = f->items->size;
  char *items = lists_alloc (p->index, (n + 1) * size);

  if (!json_is_array (v))
    return lists_fail (p, f->name, str_printf ("must be an array of objects"));
  for (size_t i = 0; i < n; i++)
    {
      const json_t *item = json_array_get (v, i);

      p->steps[p->depth++] = (struct lists_path_step){ .array = f->name,
                                                       .index = i,
                                                       .object = item };
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
parse_field (struct lists_parser *p, const struct field_spec *f,
             const json_t *v, char *out)
{
  switch (f->type)
    {
    case FIELD_FORMAT:
      if (json_integer_value (v) == 1)
        return 0;
      return lists_fail (p, f->name, str_printf ("must be 1"));
    case FIELD_NAME:
    case FIELD_NAME_OR_EMPTY:
      return parse_name (p, f, v, (struct str *)(out + f->offset));
    case FIELD_U32:
    case FIELD_U64:
    case FIELD_INT:
      return parse_number (p, f, v, out + f->offset);
    case FIELD_BOOL:
      if (!json_is_boolean (v))
        return lists_fail (p, f->name, str_printf ("must be true or false"));
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

static const struct field_spec *
find_field (const struct object_spec *spec, const char *name)
{
  for (size_t i = 0; i < spec->count; i++)
    if (strcmp (spec->fields[i].name, name) == 0)
      return &spec->fields[i];
  return NULL;
}

static int
parse_object (struct lists_parser *p, const struct object_spec *spec,
              const json_t *object, char *out)
{
  const char *name;
  json_t *value;

  if (!json_is_object (object))
    return lists_fail (p, "", str_printf ("must be an object"));
  json_object_foreach ((json_t *)object, name, value)
  {
    if (!find_field (spec, name))
      return lists_fail (p, name, str_printf ("unknown field"));
  }
  for (size_t i = 0; i < spec->count; i++)
    {
      const struct field_spec *f = &spec->fields[i];
      const json_t *v = json_object_get (object, f->name);

      if (!v && f->optional)
        continue;
      if (!v)
        return lists_fail (p, f->name, str_printf ("missing"));
      const int rc = parse_field (p, f, v, out);
      if (rc != 0)
        return rc;
    }
  return 0;
}

int
lists_read_plans (struct lists_parser *p, const json_t *root)
{
  p->file = "plans";
  return parse_object (p, &plans_file_spec, root, (char *)p->lists);
}

int
lists_read_uses (struct lists_parser *p, const json_t *root)
{
  p->file = "uses";
  return parse_object (p, &uses_file_spec, root, (char *)p->lists);
}
