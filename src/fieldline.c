#include "fieldline.h"

#include <ctype.h>
#include <string.h>

#define STATUS_DIGITS 3
#define STATUS_MIN 100

static bool
is_token_char (char c)
{
  static const char symbols[] = "!#$%&'*+-.^_`|~";

  return isalnum ((unsigned char)c)
         || memchr (symbols, c, sizeof symbols - 1) != NULL;
}

static bool
is_token (struct str s)
{
  for (size_t i = 0; i < s.len; i++)
    if (!is_token_char (s.data[i]))
      return false;
  return s.len > 0;
}

bool
fieldline_is_value_char (char c)
{
  return c == '\t' || ((unsigned char)c >= ' ' && c != 0x7f);
}

struct str
fieldline_without_end (struct str s)
{
  if (s.len > 0 && s.data[s.len - 1] == '\n')
    s.len--;
  if (s.len > 0 && s.data[s.len - 1] == '\r')
    s.len--;
  return s;
}

bool
fieldline_valid (struct str line)
{
  const struct str field = fieldline_without_end (line);
  struct str value;
  const struct str name = str_split (field, ':', &value);

  if (name.len == field.len || !is_token (name))
    return false;
  for (size_t i = 0; i < value.len; i++)
    if (!fieldline_is_value_char (value.data[i]))
      return false;
  return true;
}

bool
fieldline_status_valid (struct str line)
{
  static const struct str version = { "HTTP/1.", 7 };
  struct str rest;
  struct str reason;
  const struct str protocol
      = str_split (fieldline_without_end (line), ' ', &rest);
  const struct str status = str_split (rest, ' ', &reason);
  uint64_t code;

  return protocol.len == version.len + 1 && str_starts (protocol, version)
         && isdigit ((unsigned char)protocol.data[version.len])
         && status.len == STATUS_DIGITS && str_u64 (status, &code)
         && code >= STATUS_MIN;
}
