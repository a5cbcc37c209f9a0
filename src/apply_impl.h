#pragma once

/* Private to apply*.c: the operators' sub-commands apply, get and diff. */

#include <stdbool.h>
#include <stdint.h>

#include "client.h"
#include "configdoc.h"

/** struct options - options of all three sub-commands. */
struct options
{
  struct str store_url;
  struct str node;
  struct str out;
  struct str base;
  uint32_t dry_run;
  uint32_t wait;
  uint32_t wait_ms;
};

/** struct remote - a revision as read from the store. */
struct remote
{
  struct config_root root;
  struct str text;
  uint64_t version; /* of the root object */
  struct configdoc doc;
};

/** struct apply - one edit on its way into the store. */
struct apply
{
  struct client *client;
  struct options options;
  struct configdoc mine;
  struct configdoc base;
  struct remote current;
  struct configdoc merged; /* borrows from mine and current */
  struct str writer;
  uint64_t sequence;
  uint64_t revision; /* accepted, or already in the store */
};

/* apply_read.c */
/** apply_error() - report a failed step to the operator; returns @code. */
int apply_error (const char *step, struct str what, int code);
void apply_remote_free (struct remote *r);
/** apply_read_remote() - read a root and its chunks; -ENOENT when there is no
 * such root. */
int apply_read_remote (struct client *c, struct str key, struct remote *out);
/** apply_read_current() - the present revision, empty before the first one. */
int apply_read_current (struct client *c, struct remote *out);
/** apply_revision_key() - heap-owned key of the copy of a former root. */
struct str apply_revision_key (uint64_t revision);
/** apply_read_files() - read and check both files.
 * @revision: the lower one of the revisions that they were edited from.
 */
int apply_read_files (char **paths, struct configdoc *out, uint64_t *revision);
/** apply_check_lists() - parse and check both texts.
 * @names: what error reports call them.
 */
int apply_check_lists (struct str plans, struct str uses,
                       const char *const names[2]);

/* apply_edit.c */
/** apply_report() - print the changes that @next makes; false if none. */
bool apply_report (const struct remote *current, const struct configdoc *next);
/** apply_pick_base() - read the base of the comparison. Returns 0 or an exit
 * code.
 * @edited_from: the revision in the files.
 */
int apply_pick_base (struct apply *a, uint64_t edited_from);
/** apply_edit() - compare, report and write until accepted. Returns an exit
 * code. */
int apply_edit (struct apply *a);

/* apply_write.c */
/** apply_write() - one try to get the merged lists accepted. Returns 0,
 * -EEXIST when another edit came first, or why it failed. */
int apply_write (struct apply *a);

/* apply_wait.c */
/** apply_wait() - wait until all live nodes have the revision. Returns an exit
 * code. */
int apply_wait (struct apply *a);
