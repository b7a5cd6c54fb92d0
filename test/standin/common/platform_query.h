/// Parts of a request to the platform stand-in.
#pragma once

#include <h2o.h>
#include <stdbool.h>
#include <stdint.h>

/// Value of a key in the query as text; false if it is absent.
bool platform_query_value (const h2o_req_t *request, const char *name, char *value, size_t size);

/// Number in a header, in quotes or not; @absent if there is none.
uint64_t platform_header_number (const h2o_req_t *request, const char *name, uint64_t absent);
