/// Reading a document from a file, and comparing two documents.
#pragma once

#include "ctl_defs.h"

/// First line that `fetch` writes and `apply` reads; the rest is the epoch.
#define CTL_BASE_LINE "// base epoch: "

/// ctl_document_read - reads and checks a document file
///
/// ARGUMENTS  text: set to the file's text, freed with g_free(); document: filled in
/// RETURN     CTL_EXIT_OK, or CTL_EXIT_REFUSED with a message on standard error
CtlExit ctl_document_read (const char *path, char **text, gsize *size, TtDocument *document,
                           TtError *error);

/// Epoch in the text's first line, or -1.
gint64 ctl_document_base (const char *text);

/// Prints the keys that differ between two documents, one a line, with both values.
void ctl_document_compare (const char *first, const char *second);
