#include "edge/topology.h"

#include <stdlib.h>
#include <string.h>

#include "err.h"

/* ---- routing ---- */

static void
route_free (struct route *r)
{
  for (size_t i = 0; i < r->target_count; i++)
    str_free (&r->targets[i].service);
  free (r->targets);
  str_free (&r->name);
  str_free (&r->host);
  str_free (&r->prefix);
}

static void
engine_destroy (struct engine_spec *e)
{
  if (!e)
    return;
  for (size_t i = 0; i < e->model_count; i++)
    str_free (&e->models[i].name);
  free (e->models);
  free (e);
}

void
routing_destroy (struct routing *r)
{
  if (!r)
    return;
  for (size_t i = 0; i < r->route_count; i++)
    route_free (&r->routes[i]);
  for (size_t i = 0; i < r->service_count; i++)
    {
      str_free (&r->services[i].name);
      engine_destroy (r->services[i].engine);
    }
  tenants_destroy (r->tenants);
  free (r->routes);
  free (r->services);
  free (r);
}

static struct str
without_port (struct str host)
{
  const char *colon = host.len > 0 ? memchr (host.data, ':', host.len) : NULL;

  if (colon)
    host.len = (size_t)(colon - host.data);
  return host;
}

const struct route *
routing_find (const struct routing *r, struct str host, struct str path)
{
  const struct route *best = NULL;
  const struct str name = without_port (host);

  for (size_t i = 0; i < r->route_count; i++)
    {
      const struct route *c = &r->routes[i];

      if ((!best || c->prefix.len > best->prefix.len)
          && str_eq_nocase (without_port (c->host), name)
          && str_starts (path, c->prefix))
        best = c;
    }
  return best;
}

const struct service *
routing_service (const struct routing *r, struct str name)
{
  for (size_t i = 0; i < r->service_count; i++)
    if (str_eq (r->services[i].name, name))
      return &r->services[i];
  return NULL;
}

uint64_t
route_key (const struct route *r)
{
  return str_hash (r->prefix, str_hash (r->host, 0));
}

struct str
route_pick (const struct route *r, uint64_t random)
{
  uint64_t total = 0;
  uint64_t point;

  for (size_t i = 0; i < r->target_count; i++)
    total += r->targets[i].weight;
  if (total == 0)
    return r->target_count > 0 ? r->targets[0].service : (struct str){ 0 };
  point = random % total;
  for (size_t i = 0; i < r->target_count; i++)
    {
      if (point < r->targets[i].weight)
        return r->targets[i].service;
      point -= r->targets[i].weight;
    }
  return (struct str){ 0 };
}

const struct model_spec *
engine_model (const struct engine_spec *e, struct str name)
{
  for (size_t i = 0; i < e->model_count; i++)
    if (str_eq (e->models[i].name, name))
      return &e->models[i];
  return NULL;
}

/* ---- servers ---- */

void
name_list_free (struct name_list *l)
{
  for (size_t i = 0; i < l->count; i++)
    str_free (&l->names[i]);
  free (l->names);
  *l = (struct name_list){ 0 };
}

struct name_list
name_list_copy (const struct str *names, size_t count)
{
  struct name_list l = { .names = xcalloc (count + 1, sizeof (struct str)) };

  for (size_t i = 0; i < count; i++)
    l.names[l.count++] = str_dup (names[i]);
  return l;
}

bool
name_list_has (const struct name_list *l, struct str name)
{
  for (size_t i = 0; i < l->count; i++)
    if (str_eq (l->names[i], name))
      return true;
  return false;
}

void
held_models_free (struct held_model *models, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      for (size_t j = 0; j < models[i].adapter_count; j++)
        str_free (&models[i].adapters[j]);
      free (models[i].adapters);
      str_free (&models[i].name);
    }
  free (models);
}

void
server_entry_free (struct server_entry *e)
{
  str_free (&e->id);
  str_free (&e->service);
  str_free (&e->address);
  str_free (&e->domain);
  str_free (&e->software_version);
  held_models_free (e->models, e->model_count);
  name_list_free (&e->in_memory);
  name_list_free (&e->on_disk);
  *e = (struct server_entry){ 0 };
}

void
server_report_free (struct server_report *r)
{
  held_models_free (r->models, r->model_count);
  name_list_free (&r->loading_adapters);
  name_list_free (&r->in_memory);
  name_list_free (&r->on_disk);
  *r = (struct server_report){ 0 };
}
