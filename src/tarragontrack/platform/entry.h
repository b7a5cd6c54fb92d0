/// Conversion between objects of the store (JSON) and typed entries.
#pragma once

#include "tarragontrack/board/store.h"
#include <json-c/json.h>

/// tt_entry_from_json - converts an object of the store to an entry
///
/// ARGUMENTS  text: room for the entry's strings
/// NOTES      an object with missing or malformed fields gives an entry whose TtStoreEntry.valid is
///            false; without a readable name, TtStoreEntry.name is NULL
void tt_entry_from_json (TtStoreKind kind, json_object *object, TtStoreEntry *entry,
                         TtStoreText *text);

/// Converts this daemon's entry to an object of the store; free it with json_object_put().
json_object *tt_entry_to_json (const char *name, const TtDaemonEntry *daemon);
