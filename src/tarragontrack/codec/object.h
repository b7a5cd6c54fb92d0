/// JSON codec of the objects in the platform's store. The prefix of an object's key determines its
/// type.
#pragma once

#include "tarragontrack/board/object_defs.h"
#include <stddef.h>

enum
{
  TT_OBJECT_MAX_BYTES = 1000000, ///< the platform stores values of up to 1 MB
  TT_OBJECT_MAX_RECORDS = 4096   ///< hosts or wanted roles in one object
};

/// Key for decoding the host list, which is not an object of the platform's object API.
#define TT_OBJECT_HOSTS_KEY "hosts"

/// Type of the object stored under a key; TT_OBJECT_NONE if the prefix is unknown.
TtObjectType tt_object_type_from_key (const char *key);

/// tt_object_encode - encodes an object as JSON text; equal objects have equal texts
///
/// ARGUMENTS  key: for errors; text: set to NUL-terminated text, which the caller frees with free()
/// RETURN     0, TT_E_INVALID, TT_E_LIMIT (above TT_OBJECT_MAX_BYTES) or TT_E_NO_MEMORY
int tt_object_encode (const TtObject *object, const char *key, char **text, size_t *size,
                      TtError *error);

/// tt_object_decode - decodes and validates the JSON text of an object
///
/// ARGUMENTS  key: key of the object, or TT_OBJECT_HOSTS_KEY; object: set on success, free with
///            tt_object_free()
/// RETURN     0, TT_E_MALFORMED, TT_E_LIMIT or TT_E_NO_MEMORY
/// NOTES      the text of documents/HASH must have the SHA-256 HASH; for an invalid team
///            document, the call succeeds and the reason is in TtDocumentObject.error; for an audit
///            entry, the hash of @text is stored in the object
int tt_object_decode (const char *key, const char *text, size_t size, TtObject **object,
                      TtError *error);

/// Frees an object returned by tt_object_decode(). @object may be NULL.
void tt_object_free (TtObject *object);
