#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "str.h"

/* The operators' two lists, parsed and checked: plans with their customers,
   and what each plan may use. All strings belong to the struct lists. The JSON
   format is described in docs/lists.md. */

struct plan
{
  struct str name;
  uint32_t requests_per_s; /* over all nodes; 0 means no limit */
  uint32_t burst;
  uint32_t in_flight; /* over all nodes; 0 means no limit */
};

struct customer
{
  struct str name;
  struct str plan;
  const struct str *key_hashes; /* lower-case hex SHA-256 of bearer keys */
  size_t key_hash_count;
};

enum service_kind
{
  SERVICE_ENGINE,
  SERVICE_PLAIN,
};

/* What the placement policy weights more: short cold starts, or few hours of
   idle accelerators. */
enum preference
{
  PREFER_COLD_START,
  PREFER_IDLE_HOURS,
};

struct service
{
  struct str name;
  struct str region; /* empty means any */
  enum service_kind kind;
  bool fenced; /* engines reject orders with an outdated fence */
  enum preference preference;
  uint32_t loads_per_s;
  uint32_t loads_at_once;
  /* Plain services: path prefixes on which POST and other calls may be
     retried. Elsewhere only GET and HEAD calls may be. */
  const struct str *idempotent_paths;
  size_t idempotent_path_count;
};

struct request_class
{
  struct str name;
  int priority; /* higher is more urgent */
  uint32_t deadline_ms;
};

struct adapter
{
  struct str name;
  struct str version;
  uint64_t bytes;
};

struct model
{
  struct str name;
  struct str version;
  struct str service;
  uint64_t bytes;
  uint32_t slots; /* requests that one replica runs at once */
  uint32_t min_replicas;
  uint32_t max_replicas;
  uint32_t load_ms; /* expected time to load from remote; 0 if unknown */
  const struct adapter *adapters;
  size_t adapter_count;
};

/* Entry of the second list: a model or service that a plan may use, and the
   class of its requests. Exactly one of @model and @service is set. */
struct use
{
  struct str plan;
  struct str model;
  struct str service;
  const struct str *adapters; /* a single "*" allows all */
  size_t adapter_count;
  struct str class_name;
};

struct lists_index;

struct lists
{
  uint64_t revision;
  const struct plan *plans;
  size_t plan_count;
  const struct customer *customers;
  size_t customer_count;
  const struct service *services;
  size_t service_count;
  const struct request_class *classes;
  size_t class_count;
  const struct model *models;
  size_t model_count;
  const struct use *uses;
  size_t use_count;
  struct lists_index *index; /* private to lists*.c */
};

/** struct lists_error - position and reason of an error in a list; all members
 * are heap-owned. */
struct lists_error
{
  struct str file;
  struct str entry; /* for example "models[3] (tosca-lm)" */
  struct str field;
  struct str reason;
};

/**
 * lists_parse() - parse both lists and check them together.
 * @plans: JSON text of the list of plans and customers.
 * @uses: JSON text of the list of what each plan may use.
 *
 * Returns 0 with *@out (free with lists_destroy()), or -EINVAL with *@error.
 */
int lists_parse (struct str plans, struct str uses, uint64_t revision,
                 struct lists **out, struct lists_error *error);
/** lists_parse_json() - same as lists_parse() for JSON already parsed. */
int lists_parse_json (const json_t *plans, const json_t *uses,
                      uint64_t revision, struct lists **out,
                      struct lists_error *error);
void lists_destroy (struct lists *lists);
void lists_error_free (struct lists_error *error);

const struct plan *lists_plan (const struct lists *l, struct str name);
const struct service *lists_service (const struct lists *l, struct str name);
const struct request_class *lists_class (const struct lists *l,
                                         struct str name);
/** lists_model() - find a model by name; an empty @version matches any. */
const struct model *lists_model (const struct lists *l, struct str name,
                                 struct str version);
const struct adapter *lists_adapter (const struct model *m, struct str name);
/** lists_customer_by_key() - find a customer by lower-case hex SHA-256 of the
 * bearer key. */
const struct customer *lists_customer_by_key (const struct lists *l,
                                              struct str key_hash);
const struct customer *lists_customer_by_name (const struct lists *l,
                                               struct str name);
/** lists_model_use() - find the entry that allows a plan to use a model.
 * @adapter: must be allowed too, unless empty.
 *
 * Returns NULL if the plan may not use them.
 */
const struct use *lists_model_use (const struct lists *l, struct str plan,
                                   struct str model, struct str adapter);
const struct use *lists_service_use (const struct lists *l, struct str plan,
                                     struct str service);
