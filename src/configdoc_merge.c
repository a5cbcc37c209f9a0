#include "configdoc_impl.h"

#include <stdlib.h>

#include "err.h"

size_t
configdoc_diff (const struct configdoc *from, const struct configdoc *to,
                config_diff_fn fn, void *ctx)
{
  size_t i = 0;
  size_t j = 0;
  size_t n = 0;

  while (i < from->count || j < to->count)
    {
      const struct config_entry *a
          = i < from->count ? &from->entries[i] : NULL;
      const struct config_entry *b = j < to->count ? &to->entries[j] : NULL;
      int order = a ? -1 : 1;

      if (a && b)
        order = configdoc_compare_entries (a, b);
      i += order <= 0;
      j += order >= 0;
      if (order == 0 && str_eq (a->text, b->text))
        continue;
      n++;
      if (order < 0)
        fn (ctx, CONFIG_REMOVED, a, NULL);
      else if (order > 0)
        fn (ctx, CONFIG_ADDED, NULL, b);
      else
        fn (ctx, CONFIG_CHANGED, a, b);
    }
  return n;
}

static bool
same_entry (const struct config_entry *a, const struct config_entry *b)
{
  if (!a || !b)
    return a == b;
  return str_eq (a->text, b->text);
}

/* Returns the lowest of the next entries of three sorted documents, or NULL at
   the end of all three. */
static const struct config_entry *
lowest_entry (const struct configdoc *docs[3], const size_t next[3])
{
  const struct config_entry *lowest = NULL;

  for (size_t d = 0; d < 3; d++)
    if (next[d] < docs[d]->count
        && (!lowest
            || configdoc_compare_entries (&docs[d]->entries[next[d]], lowest)
                   < 0))
      lowest = &docs[d]->entries[next[d]];
  return lowest;
}

size_t
configdoc_merge (const struct configdoc *base, const struct configdoc *mine,
                 const struct configdoc *theirs, struct configdoc *out,
                 config_conflict_fn fn, void *ctx)
{
  const struct configdoc *docs[3] = { base, mine, theirs };
  size_t next[3] = { 0 };
  size_t conflicts = 0;
  const struct config_entry *lowest;

  out->entries
      = xcalloc (mine->count + theirs->count + 1, sizeof *out->entries);
  out->count = 0;
  while ((lowest = lowest_entry (docs, next)))
    {
      const struct config_entry *e[3] = { 0 };

      for (size_t d = 0; d < 3; d++)
        if (next[d] < docs[d]->count
            && configdoc_compare_entries (&docs[d]->entries[next[d]], lowest)
                   == 0)
          e[d] = &docs[d]->entries[next[d]++];
      const struct config_entry *pick = same_entry (e[0], e[1]) ? e[2] : e[1];
      if (!same_entry (e[0], e[1]) && !same_entry (e[0], e[2])
          && !same_entry (e[1], e[2]))
        {
          conflicts++;
          fn (ctx, lowest);
        }
      if (pick)
        out->entries[out->count++] = *pick;
    }
  if (conflicts > 0)
    {
      free (out->entries);
      *out = (struct configdoc){ 0 };
    }
  return conflicts;
}
