#pragma once

/* Private to configdoc*.c. */

#include <stdbool.h>
#include <stdint.h>

#include "configdoc.h"

#define CONFIGDOC_COMPACT (JSON_COMPACT | JSON_SORT_KEYS)

struct configdoc_list
{
  const char *name;
  bool in_uses_file; /* in the uses file, else in the plans file */
  /* A chunk ends after an entry whose key's hash is a multiple of this. With
     entries of usual size, chunks have 5 to 15 KB on average and few reach the
     limit. */
  uint32_t split_modulus;
};

/* configdoc.c */
extern const struct configdoc_list configdoc_lists[CONFIG_LIST_COUNT];
/** configdoc_string_member() - returns the value of a string member, or NULL.
 */
const char *configdoc_string_member (const json_t *o, const char *name);
/** configdoc_grow_array() - returns the array, reallocated if it has no
 * space for one more item of @size bytes. */
void *configdoc_grow_array (void *items, size_t count, size_t size);
/** configdoc_add() - appends an entry; returns 0, or -EINVAL if it has no key.
 */
int configdoc_add (struct configdoc *doc, enum config_list list,
                   const json_t *o);
/** configdoc_compare_entries() - compares by list and key, for qsort(). */
int configdoc_compare_entries (const void *a, const void *b);
void configdoc_sort (struct configdoc *doc);

/* configdoc_files.c */
/** configdoc_make_files() - creates the plans and the uses file with empty
 * arrays. */
void configdoc_make_files (json_t *files[2]);
/**
 * configdoc_attach() - adds an entry to its file.
 * @models: models added so far, by name; adapters are added to their model.
 *
 * Returns 0, or -EINVAL if an adapter's model is missing.
 */
int configdoc_attach (json_t *files[2], json_t *models, enum config_list list,
                      json_t *o);
/** configdoc_dump() - appends JSON text, indented for readers or compact. */
void configdoc_dump (const json_t *root, bool indent, struct buf *out);

/* configdoc_root.c */
/** config_root_add_chunk() - appends an empty chunk and returns it. */
struct configdoc_chunk *config_root_add_chunk (struct config_root *root);
/** config_list_of_chunk() - returns the list that a chunk's name begins with,
 * or CONFIG_LIST_COUNT if there is none. */
enum config_list config_list_of_chunk (struct str name);
