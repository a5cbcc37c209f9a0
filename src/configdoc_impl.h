#pragma once

/* Private to configdoc*.c. */

#include <stdbool.h>
#include <stdint.h>

#include "configdoc.h"

#define CONFIGDOC_COMPACT (JSON_COMPACT | JSON_SORT_KEYS)

struct configdoc_list
{
  const char *name;
  bool in_uses; /* belongs to the file of uses */
  /* One entry of so many ends a chunk. With the usual sizes of entries the
     mean chunk has 5 to 15 KB and few chunks reach the limit. */
  uint32_t stride;
};

/* configdoc.c */
extern const struct configdoc_list configdoc_lists[CONFIG_LIST_COUNT];
/** configdoc_member() - text of a member; NULL if it has none. */
const char *configdoc_member (const json_t *o, const char *name);
/** configdoc_grow() - make room for one more item of @size bytes. */
void *configdoc_grow (void *items, size_t count, size_t size);
/** configdoc_add() - append an entry; -EINVAL when it has no key. */
int configdoc_add (struct configdoc *doc, enum config_list list,
                   const json_t *o);
int configdoc_by_key (const void *a, const void *b);
/** configdoc_sort() - order the entries that were appended. */
void configdoc_sort (struct configdoc *doc);

/* configdoc_files.c */
/** configdoc_make_files() - both files with empty arrays. */
void configdoc_make_files (json_t *files[2]);
/**
 * configdoc_attach() - put an entry into its file.
 * @models: models by name so far; adapters are put into these.
 */
int configdoc_attach (json_t *files[2], json_t *models, enum config_list list,
                      json_t *o);
/** configdoc_dump() - append JSON text, indented for people or compact. */
void configdoc_dump (const json_t *root, bool indent, struct buf *out);

/* configdoc_root.c */
/** config_root_add() - append an empty part. */
struct config_part *config_root_add (struct config_root *root);
/** config_part_list() - the list that a chunk's name begins with;
 * CONFIG_LIST_COUNT if there is none. */
enum config_list config_part_list (struct str name);
