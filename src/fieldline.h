#pragma once

#include <stdbool.h>

#include "str.h"

/* Syntax of header lines in HTTP/1.1 messages. */

/**
 * fieldline_valid() - check a line of a head that is neither its first line
 * nor empty.
 * @line: with or without its line end.
 *
 * Returns true if the line is a token, a colon and a value without control
 * bytes (RFC 9110, sections 5.1 and 5.5). Continuation lines (obs-fold) are
 * not valid. Readers differ in what they make of other lines, for example of
 * a length whose name ends with a blank.
 */
bool fieldline_valid (struct str line);
