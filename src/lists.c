#include "lists_impl.h"

#include <errno.h>
#include <stdlib.h>

#include "err.h"

static const char *
string_member (const json_t *object, const char *name)
{
  const char *s = json_string_value (json_object_get (object, name));

  return s ? s : "";
}

static void
append_step (struct buf *b, const struct lists_path_step *s)
{
  const char *name = string_member (s->object, "name");
  const char *plan = string_member (s->object, "plan");
  const char *used_name = string_member (s->object, "model");

  if (!used_name[0])
    used_name = string_member (s->object, "service");
  buf_printf (b, "%s%s[%zu]", b->len > 0 ? " " : "", s->array, s->index);
  if (name[0])
    buf_printf (b, " (%s)", name);
  else if (plan[0])
    buf_printf (b, " (%s/%s)", plan, used_name);
}

int
lists_fail (struct lists_parser *p, const char *field, struct str reason)
{
  struct buf entry = { 0 };

  for (size_t i = 0; i < p->depth; i++)
    append_step (&entry, &p->steps[i]);
  if (p->depth == 0)
    buf_append (&entry, STR ("(top level)"));
  *p->error = (struct lists_error){ .file = str_dup (str_from (p->file)),
                                    .entry = str_dup (buf_str (&entry)),
                                    .field = str_dup (str_from (field)),
                                    .reason = reason };
  buf_free (&entry);
  return -EINVAL;
}

static json_t *
parse_json (const char *file, struct str text, struct lists_error *error)
{
  json_error_t e;
  json_t *root = json_loadb (text.data, text.len, JSON_REJECT_DUPLICATES, &e);

  if (!root)
    *error = (struct lists_error){
      .file = str_dup (str_from (file)),
      .entry = str_printf ("line %d column %d", e.line, e.column),
      .field = str_dup (STR ("")),
      .reason = str_printf ("not valid JSON: %s", e.text),
    };
  return root;
}

int
lists_parse_json (const json_t *plans, const json_t *uses, uint64_t revision,
                  struct lists **out, struct lists_error *error)
{
  struct lists *l = xcalloc (1, sizeof *l);
  struct lists_index *x = xcalloc (1, sizeof *x);
  struct lists_parser p = { .lists = l, .index = x, .error = error };

  l->index = x;
  int rc = lists_read_plans (&p, plans);
  if (rc == 0)
    rc = lists_read_uses (&p, uses);
  if (rc == 0)
    rc = lists_check (&p, plans, uses);
  /* The files contain the revision that they were edited from. */
  l->revision = revision;
  if (rc == 0)
    *out = l;
  else
    lists_destroy (l);
  return rc;
}

int
lists_parse (struct str plans, struct str uses, uint64_t revision,
             struct lists **out, struct lists_error *error)
{
  json_t *plans_root = parse_json ("plans", plans, error);
  json_t *uses_root = plans_root ? parse_json ("uses", uses, error) : NULL;
  int rc = -EINVAL;

  if (uses_root)
    rc = lists_parse_json (plans_root, uses_root, revision, out, error);
  json_decref (plans_root);
  json_decref (uses_root);
  return rc;
}

void
lists_destroy (struct lists *l)
{
  if (!l)
    return;
  lists_index_destroy (l->index);
  free (l);
}

void
lists_error_free (struct lists_error *error)
{
  str_free (&error->file);
  str_free (&error->entry);
  str_free (&error->field);
  str_free (&error->reason);
}
