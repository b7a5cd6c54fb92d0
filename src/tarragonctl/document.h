/// Functions that read a document from a file and compare two documents.
#pragma once

#include "ctl_defs.h"

/// Prefix of the first line that `fetch` writes and `apply` reads; the epoch follows.
#define CTL_BASE_EPOCH_PREFIX "// base epoch: "

/// ctl_document_read - reads and validates a document file
///
/// ARGUMENTS  text: set to a copy of the file's text, which the caller frees with g_free();
///            document: filled in
/// RETURN     CTL_EXIT_OK, or CTL_EXIT_FAILED with @error set
CtlExit ctl_document_read (const char *path, char **text, gsize *size, TtDocument *document,
                           TtError *error);

/// Parses the base epoch in the text's first line; -1 if there is none.
gint64 ctl_document_base_epoch (const char *text);

/// Prints the keys that differ between two documents, one per line, with both values.
void ctl_document_print_diff (const char *first, const char *second);
