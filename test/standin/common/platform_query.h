/// Query and header parsing of the platform stand-in.
#pragma once

#include <h2o.h>
#include <stdbool.h>
#include <stdint.h>

/// Copies the value of a query parameter to @value. RETURN false if it is absent.
bool platform_query_value (const h2o_req_t *request, const char *name, char *value, size_t size);

/// Parses the number in a header, quoted or not. RETURN @absent if the header is missing.
uint64_t platform_header_number (const h2o_req_t *request, const char *name, uint64_t absent);
