/// Parser of team documents: JSON with comments.
#pragma once

#include "tarragontrack/board/document_defs.h"
#include "tarragontrack/board/error_defs.h"
#include "tarragontrack/codec/json_defs.h"
#include <stddef.h>

/// tt_document_parse - parses and validates a team document
///
/// ARGUMENTS  name: file or object name, for errors; document: filled in on success
/// RETURN     0, TT_E_MALFORMED, TT_E_INVALID, TT_E_VERSION (schema too new) or TT_E_LIMIT
int tt_document_parse (const char *text, size_t size, const char *name, TtDocument *document,
                       TtError *error);

/// Tables of the document's keys, with @index from 0; a check compares them with the reference
/// page.
///
/// RETURN     the table, its name in @name and its length in @count; NULL after the last table
const TtJsonField *tt_document_fields (unsigned index, const char **name, size_t *count);
