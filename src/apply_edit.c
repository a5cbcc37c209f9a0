#include "apply_impl.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>

#include "cli.h"

#define EDIT_ATTEMPTS_MAX 8

static void
print_change (void *ctx, enum config_change change,
              const struct config_entry *from, const struct config_entry *to)
{
  static const char marks[] = {
    [CONFIG_ADDED] = '+', [CONFIG_REMOVED] = '-', [CONFIG_CHANGED] = '~'
  };
  const struct config_entry *e = to ? to : from;

  (void)ctx;
  printf ("%c %s (" STR_FMT ")\n", marks[change], config_list_name (e->list),
          STR_ARG (e->key));
  if (from && to)
    printf ("    from " STR_FMT "\n    to   " STR_FMT "\n",
            STR_ARG (from->text), STR_ARG (to->text));
}

bool
apply_print_changes (const struct apply_revision *current,
                     const struct configdoc *next)
{
  printf ("changes to revision %lu:\n", current->root.revision);
  if (configdoc_diff (&current->doc, next, print_change, NULL) > 0)
    return true;
  printf ("none\n");
  return false;
}

static void
print_conflict (void *ctx, const struct config_entry *e)
{
  (void)ctx;
  fprintf (stderr, "galenagate: conflict: %s (" STR_FMT ")\n",
           config_list_name (e->list), STR_ARG (e->key));
}

int
apply_read_base (struct apply *a, uint64_t edited_from)
{
  uint64_t revision = edited_from;
  struct apply_revision r;

  if (a->options.base.len > 0 && !str_u64 (a->options.base, &revision))
    {
      fprintf (stderr,
               "galenagate: --base: '%s' is not valid; allowed: a number\n",
               a->options.base.data);
      return EXIT_USAGE;
    }
  if (revision == 0 || revision == a->current.root.revision)
    return configdoc_join (&a->current.root, &a->base) == 0 ? 0 : EXIT_FAILED;
  struct str key = apply_revision_key (revision);
  const int rc = apply_read_revision (a->client, key, &r);
  str_free (&key);
  if (rc == -ENOENT)
    fprintf (stderr,
             "galenagate: base revision %lu is not in the store; the current "
             "one is %lu\n",
             revision, a->current.root.revision);
  if (rc != 0)
    return EXIT_FAILED;
  a->base = r.doc;
  r.doc = (struct configdoc){ 0 };
  apply_revision_free (&r);
  return 0;
}

/* Checks the lists that result from merging other operators' edits with this
   one. */
static int
check_merged (const struct apply *a)
{
  static const char *const names[2] = { "plans (merged)", "uses (merged)" };
  struct buf plans = { 0 };
  struct buf uses = { 0 };
  int rc = configdoc_to_lists (&a->merged, 0, false, &plans, &uses);

  if (rc == 0)
    rc = apply_check_lists (buf_str (&plans), buf_str (&uses), names);
  buf_free (&plans);
  buf_free (&uses);
  return rc;
}

/* Merges this edit with those accepted since its base. Returns an exit code.
 */
static int
merge_edits (struct apply *a)
{
  free (a->merged.entries);
  a->merged = (struct configdoc){ 0 };
  const size_t n = configdoc_merge (&a->base, &a->mine, &a->current.doc,
                                    &a->merged, print_conflict, NULL);
  if (n > 0)
    {
      fprintf (stderr,
               "galenagate: nothing was applied: %zu entries were also "
               "edited up to revision %lu (writer %s); see 'galenagate get', "
               "then edit again or name the base with --base\n",
               n, a->current.root.revision, a->current.root.writer.data);
      return EXIT_CONFLICT;
    }
  if (check_merged (a) != 0)
    {
      fprintf (stderr,
               "galenagate: nothing was applied: the lists are not valid "
               "together with the edits up to revision %lu\n",
               a->current.root.revision);
      return EXIT_CONFLICT;
    }
  return EXIT_DONE;
}

/* Rebases the edit after another one came first: the revision that it was
   merged with becomes its base, and the current revision is read again. */
static int
rebase (struct apply *a)
{
  struct configdoc mine = { 0 };
  struct buf plans = { 0 };
  struct buf uses = { 0 };
  int rc = configdoc_to_lists (&a->merged, 0, false, &plans, &uses);

  if (rc == 0)
    rc = configdoc_from_lists (buf_str (&plans), buf_str (&uses), &mine);
  buf_free (&plans);
  buf_free (&uses);
  if (rc != 0)
    return rc;
  configdoc_free (&a->mine);
  configdoc_free (&a->base);
  a->mine = mine;
  a->base = a->current.doc;
  a->current.doc = (struct configdoc){ 0 };
  apply_revision_free (&a->current);
  return apply_read_current (a->client, &a->current);
}

int
apply_edit (struct apply *a)
{
  for (int i = 0; i < EDIT_ATTEMPTS_MAX; i++)
    {
      int rc = merge_edits (a);

      if (rc != EXIT_DONE)
        return rc;
      a->revision = a->current.root.revision;
      if (!apply_print_changes (&a->current, &a->merged) || a->options.dry_run)
        return EXIT_DONE;
      rc = apply_write (a);
      if (rc != -EEXIST)
        return rc == 0 ? EXIT_DONE : EXIT_FAILED;
      printf ("another edit came first\n");
      if (rebase (a) != 0)
        return EXIT_FAILED;
    }
  fprintf (stderr,
           "galenagate: nothing was applied: %d other edits came first\n",
           EDIT_ATTEMPTS_MAX);
  return EXIT_CONFLICT;
}
