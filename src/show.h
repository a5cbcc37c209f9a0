#pragma once

#include <jansson.h>

#include "str.h"

/* Prints JSON responses of a node for operator commands. */

/**
 * show_fetch() - fetch a JSON object from a node.
 *
 * Returns NULL after printing an error to stderr.
 */
json_t *show_fetch (struct str node, struct str path);
/** show_value() - format a value; "-" for NULL and JSON null. Returns a
 * heap-owned string. */
struct str show_value (const json_t *value);
/**
 * show_fields() - print "name: value" for each member except arrays.
 *
 * Members whose names end in "_at_ms" are also printed as UTC time.
 */
void show_fields (const json_t *object);
