/// Typed access to members of a JSON object from the platform. If a member is absent or has another
/// type, the functions return the fallback.
#pragma once

#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// Returns a string member; NULL if it is absent.
const char *tt_field_string (json_object *object, const char *name);

/// True if the member is a string without NUL bytes.
bool tt_field_is_plain (json_object *object, const char *name);

/// True if the member is a string that reaches a server unchanged as the value of a header.
bool tt_field_is_header_value (json_object *object, const char *name);

/// Copies a string member. RETURN false if it is absent, empty or too long.
bool tt_field_copy (json_object *object, const char *name, char *target, size_t size);

/// Returns a non-negative number, UINT64_MAX if it is larger.
uint64_t tt_field_number (json_object *object, const char *name, uint64_t fallback);

/// Returns a non-negative number, UINT32_MAX if it is larger.
uint32_t tt_field_number32 (json_object *object, const char *name, uint32_t fallback);

/// Reads a whole number from 0 to @limit; @number is 0 if the member is absent. RETURN false if the
/// member is anything else.
bool tt_field_whole (json_object *object, const char *name, uint64_t limit, uint64_t *number);

/// Reads a whole number that must be present, from 0 to INT64_MAX: a higher one would never be
/// exceeded by a later version or revision. RETURN false if the member is anything else.
bool tt_field_counter (json_object *object, const char *name, uint64_t *number);

/// True if the member is a non-negative number.
bool tt_field_is_number (json_object *object, const char *name);

/// Returns a boolean member.
bool tt_field_bool (json_object *object, const char *name, bool fallback);

/// Returns an array member; NULL if it is absent. Sets @count to its length.
json_object *tt_field_array (json_object *object, const char *name, size_t *count);

/// True if the member is an array, null or absent.
bool tt_field_is_optional_array (json_object *object, const char *name);

/// tt_field_parse_text - parses a JSON text that holds one value and nothing else but white space
///
/// Values that are nested too deeply are replaced; see tt_nesting_cut().
///
/// RETURN     the value, which the caller releases; NULL if the text has another form or memory
///            could not be allocated
json_object *tt_field_parse_text (const char *text, size_t size);

/// Parses "IP:PORT" (IPv4). RETURN false if it is malformed.
bool tt_field_parse_endpoint (const char *text, char *address, size_t size, uint16_t *port);
