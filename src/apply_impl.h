#pragma once

/* Private to apply*.c: the operators' sub-commands apply, get and diff. */

#include <stdbool.h>
#include <stdint.h>

#include "client.h"
#include "configdoc.h"

/** struct apply_options - options of the three sub-commands together. */
struct apply_options
{
  struct str store_url;
  struct str node;
  struct str out;
  struct str base;
  uint32_t dry_run;
  uint32_t wait;
  uint32_t wait_ms;
};

/** struct apply_revision - a revision that was read from the store. */
struct apply_revision
{
  struct config_root root;
  struct str text;  /* the root as stored */
  uint64_t version; /* of the root object */
  struct configdoc doc;
};

/** struct apply - one edit that is being applied to the store. */
struct apply
{
  struct client *client;
  struct apply_options options;
  struct configdoc mine; /* the operator's edit */
  struct configdoc base;
  struct apply_revision current;
  struct configdoc merged; /* borrows from mine and current */
  struct str writer;
  uint64_t sequence;
  uint64_t revision; /* the accepted one, or the current one if unchanged */
};

/* apply_read.c */
/** apply_error() - prints the error of a step to stderr; returns @code. */
int apply_error (const char *step, struct str what, int code);
void apply_revision_free (struct apply_revision *r);
/** apply_read_revision() - reads a root and its chunks. Returns 0, -ENOENT if
 * there is no such root, or another negative errno value. */
int apply_read_revision (struct client *c, struct str key,
                         struct apply_revision *out);
/** apply_read_current() - reads the current revision; @out is empty if there
 * is none yet. */
int apply_read_current (struct client *c, struct apply_revision *out);
/** apply_revision_key() - returns the store key of the copy of a replaced
 * root; the caller frees it. */
struct str apply_revision_key (uint64_t revision);
/** apply_read_files() - reads and checks both files.
 * @revision: set to the lower of the revisions that they were edited from.
 */
int apply_read_files (char **paths, struct configdoc *out, uint64_t *revision);
/** apply_check_lists() - parses and checks both texts.
 * @names: their names in error messages.
 */
int apply_check_lists (struct str plans, struct str uses,
                       const char *const names[2]);

/* apply_edit.c */
/** apply_print_changes() - prints the changes from @current to @next; returns
 * false if there are none. */
bool apply_print_changes (const struct apply_revision *current,
                          const struct configdoc *next);
/** apply_read_base() - reads the base of the three-way merge. Returns 0 or an
 * exit code.
 * @edited_from: the revision named in the files, 0 if none; --base overrides
 *   it.
 */
int apply_read_base (struct apply *a, uint64_t edited_from);
/** apply_edit() - merges the edit, prints its changes and writes it; repeats
 * this if another edit came first. Returns an exit code. */
int apply_edit (struct apply *a);

/* apply_write.c */
/** apply_write() - writes the merged lists as the next revision. Returns 0,
 * -EEXIST if another edit came first, or another negative errno value. */
int apply_write (struct apply *a);

/* apply_wait.c */
/** apply_wait() - waits until the revision is in force on all live nodes.
 * Returns an exit code. */
int apply_wait (struct apply *a);
