#pragma once

#include <jansson.h>

#include "str.h"

/* Text output of operator commands for a node's JSON answers. */

/**
 * show_fetch() - GET of a node's JSON object.
 *
 * Returns NULL after a message on stderr.
 */
json_t *show_fetch (struct str node, struct str path);
/** show_value() - heap-owned text of a value; "-" for NULL. */
struct str show_value (const json_t *value);
/**
 * show_members() - one line "name: value" for each member but arrays.
 *
 * Members whose names end in "_at_ms" are also given as UTC time.
 */
void show_members (const json_t *object);
