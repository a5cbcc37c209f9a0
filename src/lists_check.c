#include "lists_impl.h"

#define KEY_HEX_LEN 64

/* Sets the list entry that lists_fail() reports, for checks after parsing. */
static void
set_error_entry (struct lists_parser *p, const char *file, const json_t *root,
                 const char *array, size_t index)
{
  p->file = file;
  p->depth = 1;
  p->steps[0] = (struct lists_path_step){
    .array = array,
    .index = index,
    .object = json_array_get (json_object_get (root, array), index),
  };
}

static int
fail_dangling (struct lists_parser *p, const char *field, const char *what,
               struct str name)
{
  return lists_fail (
      p, field,
      str_printf ("no %s is named '" STR_FMT "'", what, STR_ARG (name)));
}

static int
fail_duplicate (struct lists_parser *p, const char *field, struct str value)
{
  return lists_fail (
      p, field, str_printf ("'" STR_FMT "' occurs twice", STR_ARG (value)));
}

static int
check_plans (struct lists_parser *p, const json_t *root)
{
  for (size_t i = 0; i < p->lists->plan_count; i++)
    {
      const struct plan *e = &p->lists->plans[i];

      set_error_entry (p, "plans", root, "plans", i);
      if (lists_add (p->index, &p->index->plans, e->name, e))
        return fail_duplicate (p, "name", e->name);
      if (e->requests_per_s > 0 && e->burst == 0)
        return lists_fail (
            p, "burst",
            str_printf ("must be at least 1 when requests_per_s is "
                        "limited"));
    }
  return 0;
}

static int
check_customer_keys (struct lists_parser *p, const struct customer *e)
{
  for (size_t i = 0; i < e->key_hash_count; i++)
    {
      const struct str key = e->key_hashes[i];

      if (!str_is_hex (key, KEY_HEX_LEN))
        return lists_fail (
            p, "key_sha256",
            str_printf ("[%zu] must be 64 lower-case hex digits", i));
      const struct customer *other
          = lists_add (p->index, &p->index->keys, key, e);
      if (other)
        return lists_fail (
            p, "key_sha256",
            str_printf ("[%zu] is also a key of customer '" STR_FMT "'", i,
                        STR_ARG (other->name)));
    }
  return 0;
}

static int
check_customers (struct lists_parser *p, const json_t *root)
{
  for (size_t i = 0; i < p->lists->customer_count; i++)
    {
      const struct customer *e = &p->lists->customers[i];

      set_error_entry (p, "plans", root, "customers", i);
      if (lists_add (p->index, &p->index->customers, e->name, e))
        return fail_duplicate (p, "name", e->name);
      if (!lists_plan (p->lists, e->plan))
        return fail_dangling (p, "plan", "plan", e->plan);
      const int rc = check_customer_keys (p, e);
      if (rc != 0)
        return rc;
    }
  return 0;
}

static int
check_service_kind (struct lists_parser *p, const struct service *e)
{
  if (e->kind == SERVICE_ENGINE)
    {
      if (e->loads_per_s == 0)
        return lists_fail (p, "weight_loads_per_s",
                           str_printf ("an engine service needs at least 1"));
      if (e->loads_at_once == 0)
        return lists_fail (p, "weight_loads_at_once",
                           str_printf ("an engine service needs at least 1"));
      if (e->idempotent_path_count > 0)
        return lists_fail (p, "idempotent_paths",
                           str_printf ("only plain services have paths"));
      return 0;
    }
  if (e->fenced)
    return lists_fail (p, "fenced",
                       str_printf ("only engine services are fenced"));
  for (size_t i = 0; i < e->idempotent_path_count; i++)
    if (e->idempotent_paths[i].data[0] != '/')
      return lists_fail (p, "idempotent_paths",
                         str_printf ("[%zu] must begin with '/'", i));
  return 0;
}

static int
check_services (struct lists_parser *p, const json_t *root)
{
  for (size_t i = 0; i < p->lists->service_count; i++)
    {
      const struct service *e = &p->lists->services[i];

      set_error_entry (p, "uses", root, "services", i);
      if (lists_add (p->index, &p->index->services, e->name, e))
        return fail_duplicate (p, "name", e->name);
      const int rc = check_service_kind (p, e);
      if (rc != 0)
        return rc;
    }
  return 0;
}

static int
check_classes (struct lists_parser *p, const json_t *root)
{
  for (size_t i = 0; i < p->lists->class_count; i++)
    {
      const struct request_class *e = &p->lists->classes[i];

      set_error_entry (p, "uses", root, "classes", i);
      if (lists_add (p->index, &p->index->classes, e->name, e))
        return fail_duplicate (p, "name", e->name);
    }
  return 0;
}

/* Sorts the adapters for lists_adapter() and rejects duplicate names. */
static int
check_adapters (struct lists_parser *p, const struct model *e)
{
  lists_sort_adapters (e);
  for (size_t i = 1; i < e->adapter_count; i++)
    if (str_eq (e->adapters[i - 1].name, e->adapters[i].name))
      return fail_duplicate (p, "adapters", e->adapters[i].name);
  return 0;
}

static int
check_model (struct lists_parser *p, const struct model *e)
{
  const struct service *s = lists_service (p->lists, e->service);

  if (!s)
    return fail_dangling (p, "service", "service", e->service);
  if (s->kind != SERVICE_ENGINE)
    return lists_fail (p, "service",
                       str_printf ("'" STR_FMT "' is not an engine service",
                                   STR_ARG (e->service)));
  if (e->min_replicas > e->max_replicas)
    return lists_fail (p, "min_replicas",
                       str_printf ("%u is more than max_replicas (%u)",
                                   e->min_replicas, e->max_replicas));
  return check_adapters (p, e);
}

static int
check_models (struct lists_parser *p, const json_t *root)
{
  for (size_t i = 0; i < p->lists->model_count; i++)
    {
      const struct model *e = &p->lists->models[i];

      set_error_entry (p, "uses", root, "models", i);
      if (lists_add (p->index, &p->index->models, e->name, e))
        return fail_duplicate (p, "name", e->name);
      const int rc = check_model (p, e);
      if (rc != 0)
        return rc;
    }
  return 0;
}

static int
check_use_model (struct lists_parser *p, const struct use *e)
{
  const struct model *m = lists_model (p->lists, e->model, STR (""));

  if (!m)
    return fail_dangling (p, "model", "model", e->model);
  for (size_t i = 0; i < e->adapter_count; i++)
    {
      if (str_eq (e->adapters[i], STR ("*")) && e->adapter_count == 1)
        continue;
      if (!lists_adapter (m, e->adapters[i]))
        return lists_fail (
            p, "adapters",
            str_printf ("model '" STR_FMT "' has no adapter '" STR_FMT "'",
                        STR_ARG (e->model), STR_ARG (e->adapters[i])));
    }
  return 0;
}

static int
check_use_service (struct lists_parser *p, const struct use *e)
{
  const struct service *s = lists_service (p->lists, e->service);

  if (!s)
    return fail_dangling (p, "service", "service", e->service);
  if (s->kind != SERVICE_PLAIN)
    return lists_fail (p, "service",
                       str_printf ("'" STR_FMT
                                   "' is an engine service; allow its "
                                   "models instead",
                                   STR_ARG (e->service)));
  if (e->adapter_count > 0)
    return lists_fail (p, "adapters",
                       str_printf ("only models have adapters"));
  return 0;
}

static int
check_use (struct lists_parser *p, const struct use *e)
{
  char key[LISTS_USE_KEY_MAX];
  const bool is_model = e->model.len > 0;
  const struct str name = is_model ? e->model : e->service;

  if (is_model == (e->service.len > 0))
    return lists_fail (
        p, "model", str_printf ("exactly one of model and service is needed"));
  if (!lists_plan (p->lists, e->plan))
    return fail_dangling (p, "plan", "plan", e->plan);
  const int rc = is_model ? check_use_model (p, e) : check_use_service (p, e);
  if (rc != 0)
    return rc;
  if (!lists_class (p->lists, e->class_name))
    return fail_dangling (p, "class", "class", e->class_name);
  const struct str k
      = lists_use_key (e->plan, is_model ? 'm' : 's', name, key);
  if (lists_add (p->index, &p->index->uses, lists_alloc_str (p->index, k), e))
    return fail_duplicate (p, is_model ? "model" : "service", name);
  return 0;
}

static int
check_uses (struct lists_parser *p, const json_t *root)
{
  for (size_t i = 0; i < p->lists->use_count; i++)
    {
      set_error_entry (p, "uses", root, "uses", i);
      const int rc = check_use (p, &p->lists->uses[i]);
      if (rc != 0)
        return rc;
    }
  return 0;
}

int
lists_check (struct lists_parser *p, const json_t *plans, const json_t *uses)
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
