#include "tarragontrack/codec/document.h"
#include <stdlib.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/// Detects out-of-bounds reads, counts above their limits, and a rejected document without an error
/// detail.
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static TtDocument document;
  TtError error = { 0 };
  int code = tt_document_parse ((const char *) data, size, "document.json", &document, &error);

  if (code != error.code || (code != TT_OK && error.detail[0] == '\0'))
    abort ();
  if (code == TT_OK
      && (document.service_count > TT_DOCUMENT_MAX_SERVICES
          || document.account_count > TT_DOCUMENT_MAX_ACCOUNTS
          || document.kind_count > TT_DOCUMENT_MAX_KINDS))
    abort ();
  return 0;
}
