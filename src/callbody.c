#include "callbody.h"

#include <string.h>

#include <jansson.h>

/* Requests whose prompts have the same first bytes, up to this number, get the
   same prefix hash and are sent to the same replica. */
#define PREFIX_BYTES 256

static struct str
find_prompt (const json_t *json)
{
  const json_t *prompt = json_object_get (json, "prompt");

  if (!prompt)
    prompt = json_object_get (
        json_array_get (json_object_get (json, "messages"), 0), "content");
  if (!json_is_string (prompt))
    return (struct str){ 0 };
  return (struct str){ json_string_value (prompt),
                       json_string_length (prompt) };
}

static void
parse_model (struct str name, struct callbody *out)
{
  const char *colon = memchr (name.data, ':', name.len);
  const size_t n = colon ? (size_t)(colon - name.data) : name.len;

  out->model = str_dup ((struct str){ name.data, n });
  if (colon)
    out->adapter = str_dup ((struct str){ colon + 1, name.len - n - 1 });
}

static const char *
parse_fields (const json_t *json, struct callbody *out)
{
  const json_t *model = json_object_get (json, "model");
  const json_t *stream = json_object_get (json, "stream");
  const json_t *tokens = json_object_get (json, "max_tokens");

  if (!json_is_object (json))
    return "the body must be a JSON object";
  if (!json_is_string (model) || json_string_length (model) == 0)
    return "'model' must be a string";
  if (stream && !json_is_boolean (stream))
    return "'stream' must be true or false";
  if (tokens
      && (!json_is_integer (tokens) || json_integer_value (tokens) < 1
          || json_integer_value (tokens) > UINT32_MAX))
    return "'max_tokens' must be a whole number from 1";
  if (!json_object_get (json, "prompt") && !json_object_get (json, "messages"))
    return "'messages' or 'prompt' is required";
  parse_model (
      (struct str){ json_string_value (model), json_string_length (model) },
      out);
  out->stream = json_is_true (stream);
  out->max_tokens = (uint32_t)json_integer_value (tokens);
  struct str prompt = find_prompt (json);
  if (prompt.len > PREFIX_BYTES)
    prompt.len = PREFIX_BYTES;
  out->prefix_hash = prompt.len > 0 ? str_hash (prompt, 0) : 0;
  return NULL;
}

bool
callbody_parse (struct str body, struct callbody *out, enum api_error *error,
                const char **message)
{
  json_t *json = json_loadb (body.data ? body.data : "", body.len,
                             JSON_REJECT_DUPLICATES, NULL);

  *out = (struct callbody){ 0 };
  *error = API_INVALID_JSON;
  *message = "the body is not valid JSON";
  if (!json)
    return false;
  *error = API_INVALID_REQUEST;
  *message = parse_fields (json, out);
  json_decref (json);
  return *message == NULL;
}

void
callbody_free (struct callbody *body)
{
  str_free (&body->model);
  str_free (&body->adapter);
}
