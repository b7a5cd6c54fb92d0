/// A team's document from JSON with comments.
#pragma once

#include "tarragontrack/board/document_defs.h"
#include "tarragontrack/board/error_defs.h"
#include "tarragontrack/codec/json_defs.h"
#include <stddef.h>

/// tt_document_parse - parses and checks a team's document
///
/// ARGUMENTS  name: file or object name for errors; document: filled in on success
/// RETURN     0, TT_E_MALFORMED, TT_E_INVALID, TT_E_VERSION (schema too new) or TT_E_LIMIT
int tt_document_parse (const char *text, size_t size, const char *name, TtDocument *document,
                       TtError *error);

/// Tables of the document's keys, for the reference page's check. @index counts from 0.
///
/// RETURN     the table, with its name and length, or NULL after the last one
const TtJsonField *tt_document_fields (unsigned index, const char **name, size_t *count);
