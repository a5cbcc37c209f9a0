#include "lists_impl.h"

#include <errno.h>
#include <string.h>

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

/* Is the text of 1 to 128 bytes, without blanks and control characters. The
   names appear in object keys, log lines and metric labels. */
static bool
name_ok (struct str s)
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
parse_text (struct lists_parser *p, const struct field *f, const json_t *v,
            struct str *out)
{
  const struct str s
      = { .data = json_string_value (v), .len = json_string_length (v) };

  if (!json_is_string (v))
    return lists_fail (p, f->name, str_printf ("must be a string"));
  if (!name_ok (s) && !(f->type == FIELD_TEXT && s.len == 0))
    return lists_fail (
        p, f->name,
        str_printf ("must have 1 to %d bytes without blanks, quotes, "
                    "backslashes and control characters",
                    LISTS_NAME_MAX));
  *out = lists_alloc_str (p->x, s);
  return 0;
}

static int
parse_number (struct lists_parser *p, const struct field *f, const json_t *v,
              void *out)
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
parse_choice (struct lists_parser *p, const struct field *f, const json_t *v,
              void *out)
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
parse_strings (struct lists_parser *p, const struct field *f, const json_t *v,
               char *out)
{
  const size_t n = json_array_size (v);
  struct str *items = lists_alloc (p->x, (n + 1) * sizeof *items);

  if (!json_is_array (v))
    return lists_fail (p, f->name, str_printf ("must be an array of strings"));
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

static int parse_object (struct lists_parser *p, const struct spec *spec,
                         const json_t *object, char *out);

/* The depth is bounded by the nesting of the specs: file, entry, adapter. */
static int
parse_objects (struct lists_parser *p, const struct field *f, const json_t *v,
               char *out)
{
  const size_t n = json_array_size (v);
  const size_t size = f->items->size;
  char *items = lists_alloc (p->x, (n + 1) * size);

  if (!json_is_array (v))
    return lists_fail (p, f->name, str_printf ("must be an array of objects"));
  for (size_t i = 0; i < n; i++)
    {
      const json_t *item = json_array_get (v, i);

      p->steps[p->depth++] = (struct lists_step){ .array = f->name,
                                                  .place = i,
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
parse_field (struct lists_parser *p, const struct field *f, const json_t *v,
             char *out)
{
  switch (f->type)
    {
    case FIELD_FORMAT:
      if (json_integer_value (v) == 1)
        return 0;
      return lists_fail (p, f->name, str_printf ("must be 1"));
    case FIELD_NAME:
    case FIELD_TEXT:
      return parse_text (p, f, v, (struct str *)(out + f->offset));
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

static const struct field *
find_field (const struct spec *spec, const char *name)
{
  for (size_t i = 0; i < spec->count; i++)
    if (strcmp (spec->fields[i].name, name) == 0)
      return &spec->fields[i];
  return NULL;
}

static int
parse_object (struct lists_parser *p, const struct spec *spec,
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
      const struct field *f = &spec->fields[i];
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
