#pragma once

#include <stdbool.h>

#include "str.h"

/* Syntax of the lines of heads in HTTP/1.1 messages. */

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
/**
 * fieldline_status_valid() - check the first line of a response.
 * @line: with or without its line end.
 *
 * Returns true if the line has a version of HTTP/1, a blank and a status of
 * three digits that is at least 100 (RFC 9112, section 4). A reason is
 * optional.
 */
bool fieldline_status_valid (struct str line);
/** fieldline_without_end() - view of a line without LF or CR LF at its end. */
struct str fieldline_without_end (struct str line);
/** fieldline_is_value_char() - returns true if the character may stand in the
 * value of a field: no control character but a tab. */
bool fieldline_is_value_char (char c);
