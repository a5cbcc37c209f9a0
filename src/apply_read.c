#include "apply_impl.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>

#include <jansson.h>

#include "lists.h"

void
apply_revision_free (struct apply_revision *r)
{
  config_root_free (&r->root);
  str_free (&r->text);
  configdoc_free (&r->doc);
  *r = (struct apply_revision){ 0 };
}

int
apply_error (const char *step, struct str what, int code)
{
  fprintf (stderr, "galenagate: %s: " STR_FMT ": %s\n", step, STR_ARG (what),
           err_str (code));
  return code;
}

static int
read_chunk (struct client *c, struct configdoc_chunk *p)
{
  struct str key = config_chunk_key (p->hash);
  struct client_reply r = client_read (c, key);
  int rc = r.err.code;

  if (rc == 0)
    {
      struct str hash = config_hash (r.value);

      rc = str_eq (hash, p->hash) ? 0 : -EBADMSG;
      str_free (&hash);
    }
  if (rc == 0)
    {
      p->body = r.value;
      r.value = (struct str){ 0 };
    }
  else
    apply_error ("read", key, rc);
  client_reply_free (&r);
  str_free (&key);
  return rc;
}

int
apply_read_revision (struct client *c, struct str key,
                     struct apply_revision *out)
{
  struct client_reply r = client_read (c, key);
  int rc = r.err.code;

  *out = (struct apply_revision){ .version = r.version, .text = r.value };
  if (rc == 0)
    rc = config_root_decode (out->text, &out->root);
  if (rc != 0 && rc != -ENOENT)
    apply_error ("read", key, rc);
  for (size_t i = 0; i < out->root.chunk_count && rc == 0; i++)
    rc = read_chunk (c, &out->root.chunks[i]);
  if (rc == 0)
    rc = configdoc_join (&out->root, &out->doc);
  if (rc != 0)
    apply_revision_free (out);
  return rc;
}

int
apply_read_current (struct client *c, struct apply_revision *out)
{
  const int rc = apply_read_revision (c, STR (CONFIG_ROOT_KEY), out);

  return rc == -ENOENT ? 0 : rc;
}

struct str
apply_revision_key (uint64_t revision)
{
  return str_printf (CONFIG_REVISION_PREFIX "%lu", revision);
}

static int
read_file (const char *path, struct str *out)
{
  struct buf b = { 0 };
  char part[8192];
  size_t n;
  FILE *f = fopen (path, "rb");

  if (!f)
    return apply_error ("open", str_from (path), -errno);
  while ((n = fread (part, 1, sizeof part, f)) > 0)
    buf_append (&b, (struct str){ part, n });
  const bool failed = ferror (f) != 0;
  fclose (f);
  if (failed)
    {
      buf_free (&b);
      return apply_error ("read", str_from (path), -EIO);
    }
  *out = str_dup (buf_str (&b));
  buf_free (&b);
  return 0;
}

int
apply_check_lists (struct str plans, struct str uses,
                   const char *const names[2])
{
  struct lists_error e = { 0 };
  struct lists *l = NULL;
  const int rc = lists_parse (plans, uses, 0, &l, &e);

  if (rc == 0)
    {
      lists_destroy (l);
      return 0;
    }
  fprintf (stderr, "galenagate: %s: " STR_FMT ": " STR_FMT "%s" STR_FMT "\n",
           names[str_eq (e.file, STR ("uses"))], STR_ARG (e.entry),
           STR_ARG (e.field), e.field.len > 0 ? ": " : "", STR_ARG (e.reason));
  lists_error_free (&e);
  return rc;
}

/* Revision that a file was edited from, as `get` wrote it; 0 if none. */
static uint64_t
file_revision (struct str text)
{
  json_t *o = json_loadb (text.data, text.len, 0, NULL);
  const json_int_t n = json_integer_value (json_object_get (o, "revision"));

  json_decref (o);
  return (uint64_t)n;
}

int
apply_read_files (char **paths, struct configdoc *out, uint64_t *revision)
{
  const char *const names[2] = { paths[0], paths[1] };
  struct str plans = { 0 };
  struct str uses = { 0 };
  int rc = read_file (paths[0], &plans);

  if (rc == 0)
    rc = read_file (paths[1], &uses);
  if (rc == 0)
    rc = apply_check_lists (plans, uses, names);
  if (rc == 0)
    rc = configdoc_from_lists (plans, uses, out);
  if (rc == 0 && file_revision (plans) < file_revision (uses))
    *revision = file_revision (plans);
  else if (rc == 0)
    *revision = file_revision (uses);
  str_free (&plans);
  str_free (&uses);
  return rc;
}
