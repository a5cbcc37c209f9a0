#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "str.h"

/* Format of the operators' lists in the store: entries sorted by key and split
   into chunks that are addressed by content hash, and a root that lists the
   chunks of a revision. All functions are pure and thread-safe. */

#define CONFIG_ROOT_KEY "config/root"
#define CONFIG_CHUNK_PREFIX "config/chunk/"
/* Copies of replaced roots, which serve as bases of later three-way merges. */
#define CONFIG_REVISION_PREFIX "config/revision/"
#define CONFIG_CHUNK_BYTES 65536
#define CONFIG_HASH_LEN 64

enum config_list
{
  CONFIG_PLANS,
  CONFIG_CUSTOMERS,
  CONFIG_SERVICES,
  CONFIG_CLASSES,
  CONFIG_MODELS,
  CONFIG_ADAPTERS, /* stored apart from their models */
  CONFIG_USES,
  CONFIG_LIST_COUNT,
};

/**
 * struct config_entry - one entry of a list.
 * @key: unique in the list: the name; "MODEL ADAPTER" for adapters; "PLAN
 *   model NAME" or "PLAN service NAME" for uses.
 * @text: compact JSON with sorted members.
 */
struct config_entry
{
  enum config_list list;
  struct str key;
  struct str text;
};

/** struct configdoc - all entries, ordered by list and key. */
struct configdoc
{
  struct config_entry *entries;
  size_t count;
};

/** struct configdoc_chunk - a chunk; @body is empty until it has been read. */
struct configdoc_chunk
{
  struct str name; /* list and number, for example "customers/2" */
  struct str hash; /* lower-case hex SHA-256 of the body */
  struct str body;
};

/** struct config_root - content of config/root. */
struct config_root
{
  uint64_t revision;
  uint64_t sequence;      /* number of this root among the writer's roots */
  uint64_t applied_at_ms; /* wall clock of the writer; informational */
  struct str writer;
  struct configdoc_chunk *chunks;
  size_t chunk_count;
};

const char *config_list_name (enum config_list list);
/** config_hash() - returns the hex SHA-256; the caller frees it. */
struct str config_hash (struct str body);
/** config_chunk_key() - returns the store key of a chunk; the caller frees it.
 */
struct str config_chunk_key (struct str hash);

/**
 * configdoc_from_lists() - extracts the entries of lists that lists_parse()
 * has accepted.
 *
 * Returns 0 or -EINVAL.
 */
int configdoc_from_lists (struct str plans, struct str uses,
                          struct configdoc *out);
/**
 * configdoc_to_lists() - appends the JSON text of both lists to the buffers.
 * @revision: written into both texts for operators; left out if 0.
 * @indent: indents the text for readers; else it is compact.
 *
 * Returns 0, or -EINVAL if an entry is not JSON or an adapter has no model.
 */
int configdoc_to_lists (const struct configdoc *doc, uint64_t revision,
                        bool indent, struct buf *plans, struct buf *uses);
void configdoc_free (struct configdoc *doc);

/**
 * configdoc_split() - splits the entries into chunks of at most 64 KB.
 * @too_big: on -EFBIG, set to the entry that does not fit into a chunk.
 *
 * A chunk ends after each entry whose key's hash is a multiple of a constant,
 * so that an edit changes only the chunk that holds the entry. Returns 0 or
 * -EFBIG.
 */
int configdoc_split (const struct configdoc *doc, struct config_root *out,
                     const struct config_entry **too_big);
/**
 * configdoc_join() - extracts the entries of a root whose chunks all have
 * bodies.
 *
 * Returns 0, or -EINVAL if a chunk is malformed.
 */
int configdoc_join (const struct config_root *root, struct configdoc *out);

/**
 * configdoc_assemble() - builds both lists as JSON from a root whose chunks
 * all have bodies.
 *
 * The caller owns the objects. Returns 0, or -EINVAL if a chunk is malformed.
 */
int configdoc_assemble (const struct config_root *root, json_t **plans,
                        json_t **uses);

/** config_root_encode() - appends the JSON text to a buffer. */
void config_root_encode (const struct config_root *root, struct buf *out);
/** config_root_decode() - returns 0, or -EINVAL if the text is not a root. */
int config_root_decode (struct str text, struct config_root *out);
/** config_root_find_chunk() - returns the chunk with a hash, or NULL. */
const struct configdoc_chunk *
config_root_find_chunk (const struct config_root *root, struct str hash);
void config_root_free (struct config_root *root);

enum config_change
{
  CONFIG_ADDED,
  CONFIG_REMOVED,
  CONFIG_CHANGED,
};

typedef void (*config_diff_fn) (void *ctx, enum config_change change,
                                const struct config_entry *from,
                                const struct config_entry *to);
/** configdoc_diff() - calls @fn for each difference in order of the entries;
 * returns the number of differences. */
size_t configdoc_diff (const struct configdoc *from,
                       const struct configdoc *to, config_diff_fn fn,
                       void *ctx);

typedef void (*config_conflict_fn) (void *ctx,
                                    const struct config_entry *entry);
/**
 * configdoc_merge() - three-way merge by entry.
 * @out: without conflicts, the entries of @theirs with the changes from @base
 *   to @mine; else empty.
 * @fn: called for each entry that both sides changed differently.
 *
 * The entries of @out borrow their strings from @mine and @theirs; the caller
 * frees only the array. Returns the number of conflicts.
 */
size_t configdoc_merge (const struct configdoc *base,
                        const struct configdoc *mine,
                        const struct configdoc *theirs, struct configdoc *out,
                        config_conflict_fn fn, void *ctx);
