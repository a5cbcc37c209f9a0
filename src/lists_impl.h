#pragma once

/* Private to lists*.c. */

#include <uthash.h>

#include "lists.h"

#define LISTS_NAME_MAX 128
/* Plan name, separator, kind, and name of the model or service. */
#define LISTS_USE_KEY_MAX (2 * LISTS_NAME_MAX + 2)
#define LISTS_DEPTH_MAX 3

/** struct lists_index_entry - key and value of a hash table of the index. */
struct lists_index_entry
{
  struct str key;
  const void *value;
  UT_hash_handle hh;
};

/** struct lists_index - memory and hash tables of a struct lists.
 * @customers: by name.
 * @keys: customers by hash of the bearer key.
 */
struct lists_index
{
  struct block *blocks;
  struct lists_index_entry *plans;
  struct lists_index_entry *customers;
  struct lists_index_entry *keys;
  struct lists_index_entry *services;
  struct lists_index_entry *classes;
  struct lists_index_entry *models;
  struct lists_index_entry *uses;
};

/** struct lists_path_step - an array element on the path to the object that is
 * being parsed or checked. */
struct lists_path_step
{
  const char *array;
  size_t index;
  const json_t *object;
};

/** struct lists_parser - the lists that are being parsed, and the position in
 * the files that lists_fail() reports. */
struct lists_parser
{
  struct lists *lists;
  struct lists_index *index;
  struct lists_error *error;
  const char *file;
  struct lists_path_step steps[LISTS_DEPTH_MAX];
  size_t depth;
};

/* lists_index.c */
/** lists_alloc() - allocate zeroed memory that lives as long as the lists. */
void *lists_alloc (struct lists_index *x, size_t n);
/** lists_alloc_str() - make a null-terminated copy in such memory. */
struct str lists_alloc_str (struct lists_index *x, struct str s);
/** lists_add() - add a value to a table.
 *
 * Returns NULL. If the table has the key already, it is left unchanged and the
 * value stored there is returned.
 */
const void *lists_add (struct lists_index *x, struct lists_index_entry **table,
                       struct str key, const void *value);
/** lists_use_key() - write the key of an entry of "uses" to @out.
 * @kind: 'm' (model) or 's' (service).
 *
 * Returns the key, or an empty string if a name is longer than allowed.
 */
struct str lists_use_key (struct str plan, char kind, struct str name,
                          char out[LISTS_USE_KEY_MAX]);
/** lists_sort_adapters() - sort a model's adapters for lists_adapter(). */
void lists_sort_adapters (const struct model *m);
void lists_index_destroy (struct lists_index *x);

/* lists_fields.c */
/** lists_read_plans() - read the file of plans into the lists.
 *
 * Returns 0, or -EINVAL with the error recorded.
 */
int lists_read_plans (struct lists_parser *p, const json_t *root);
/** lists_read_uses() - the same for the file of uses. */
int lists_read_uses (struct lists_parser *p, const json_t *root);

/* lists_check.c */
/** lists_check() - check values and references, and fill the index.
 *
 * Returns 0, or -EINVAL with the error recorded.
 */
int lists_check (struct lists_parser *p, const json_t *plans,
                 const json_t *uses);

/* lists.c */
/** lists_fail() - record an error at the current path.
 * @reason: heap-owned; ownership passes to the error.
 *
 * Returns -EINVAL.
 */
int lists_fail (struct lists_parser *p, const char *field, struct str reason);
