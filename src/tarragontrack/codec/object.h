/// The platform's objects as JSON text. The key's prefix gives the type.
#pragma once

#include "tarragontrack/board/object_defs.h"
#include <stddef.h>

enum
{
  TT_OBJECT_MAX_BYTES = 1000000, ///< the platform holds values of up to 1 MB
  TT_OBJECT_MAX_RECORDS = 4096   ///< hosts, wanted roles or claims in one object
};

/// Key under which the host list is read; it is no object of the API.
#define TT_OBJECT_HOSTS_KEY "hosts"

/// Type of the object under a key, TT_OBJECT_NONE if the prefix is unknown.
TtObjectType tt_object_type (const char *key);

/// tt_object_write - turns an object into JSON text, the same for the same content
///
/// ARGUMENTS  key: for errors; text: set to NUL-terminated text, freed by the caller with free()
/// RETURN     0, TT_E_INVALID, TT_E_LIMIT (above TT_OBJECT_MAX_BYTES) or TT_E_NO_MEMORY
int tt_object_write (const TtObject *object, const char *key, char **text, size_t *size,
                     TtError *error);

/// tt_object_read - checks and reads a stored text
///
/// ARGUMENTS  key: of the object, or TT_OBJECT_HOSTS_KEY; object: set on success, freed with
///            tt_object_free()
/// RETURN     0, TT_E_MALFORMED, TT_E_LIMIT or TT_E_NO_MEMORY
/// NOTES      documents/HASH must hash to HASH; a team's document that is refused gives 0, see
///            TtDocumentObject.error. For an audit entry the hash of @text is filled in.
int tt_object_read (const char *key, const char *text, size_t size, TtObject **object,
                    TtError *error);

/// Frees an object that tt_object_read() made. @object may be NULL.
void tt_object_free (TtObject *object);
