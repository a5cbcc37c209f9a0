#pragma once

/* Private to lists*.c. */

#include <uthash.h>

#include "lists.h"

#define LISTS_NAME_MAX 128
/* Plan, separator and kind, model or service. */
#define LISTS_USE_KEY_MAX (2 * LISTS_NAME_MAX + 2)
#define LISTS_DEPTH_MAX 3

/** struct lists_node - one key of a hash table and the entry that has it. */
struct lists_node
{
  struct str key;
  const void *value;
  UT_hash_handle hh;
};

/** struct lists_index - memory and hash tables of one struct lists. */
struct lists_index
{
  struct block *blocks;
  struct lists_node *plans;
  struct lists_node *customers;
  struct lists_node *keys;
  struct lists_node *services;
  struct lists_node *classes;
  struct lists_node *models;
  struct lists_node *uses;
};

/** struct lists_step - one array element on the way to the present object. */
struct lists_step
{
  const char *array;
  size_t place;
  const json_t *object;
};

/** struct lists_parser - the lists that are being parsed, and the place in
 * their files that an error is reported with. */
struct lists_parser
{
  struct lists *lists;
  struct lists_index *x;
  struct lists_error *error;
  const char *file;
  struct lists_step steps[LISTS_DEPTH_MAX];
  size_t depth;
};

/* lists_index.c */
/** lists_alloc() - zeroed memory that lives as long as the lists. */
void *lists_alloc (struct lists_index *x, size_t n);
/** lists_alloc_str() - null-terminated copy in such memory. */
struct str lists_alloc_str (struct lists_index *x, struct str s);
/** lists_add() - add an entry; returns the one that has the key already. */
const void *lists_add (struct lists_index *x, struct lists_node **table,
                       struct str key, const void *value);
/** lists_use_key() - key of an entry of "uses", of @kind 'm' (model) or 's'
 * (service); empty if a name is longer than allowed. */
struct str lists_use_key (struct str plan, char kind, struct str name,
                          char out[LISTS_USE_KEY_MAX]);
/** lists_sort_adapters() - order a model's adapters for lists_adapter(). */
void lists_sort_adapters (const struct model *m);
void lists_index_destroy (struct lists_index *x);

/* lists_fields.c */
/** lists_read_plans() - fill the lists from the fields of the file of plans.
 *
 * Returns 0, or -EINVAL with the error recorded; as lists_read_uses() and
 * lists_check().
 */
int lists_read_plans (struct lists_parser *p, const json_t *root);
int lists_read_uses (struct lists_parser *p, const json_t *root);

/* lists_check.c */
/** lists_check() - check values and references, and fill the index. */
int lists_check (struct lists_parser *p, const json_t *plans,
                 const json_t *uses);

/* lists.c */
/** lists_fail() - record an error at the present step; takes over @reason. */
int lists_fail (struct lists_parser *p, const char *field, struct str reason);
