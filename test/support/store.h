/// In-process fake of the platform's object API: versioned objects, conditional updates, watches, a
/// host list, and stale reads. It has no clock; the caller simulates delays.
#pragma once

#include "tarragontrack/board/action_defs.h"
#include "tarragontrack/board/event_defs.h"
#include "tarragontrack/board/rng.h"

enum
{
  STORE_MAX_KEYS = 1024,
  STORE_MAX_HOSTS = 1280,
  STORE_MAX_VALUE_BYTES = 1 << 20 ///< maximum size of one value
};

typedef struct
{
  char key[TT_KEY_MAX];
  uint64_t version; ///< 0 = absent
  TtObject object;
  TtObject previous; ///< content before the last update, returned by stale reads
  uint64_t previous_version;
} StoreItem;

typedef struct
{
  StoreItem items[STORE_MAX_KEYS];
  uint32_t count;
  uint64_t era; ///< stated in all responses; rises with store_restore(); 0 = none is stated
  uint64_t last_version; ///< highest version of any item
  /// An update sets the item's own version + 1, so versions repeat after a restore. Otherwise it
  /// sets Store.last_version + 1.
  bool reuse_versions;
  TtHostEntry hosts[STORE_MAX_HOSTS];
  uint32_t host_count;
  uint64_t hosts_version;
  uint64_t reads;
  uint64_t writes;
} Store;

/// Creates an empty store; aborts if memory is exhausted.
Store *store_new (void);

/// Frees the store and its objects.
void store_free (Store *store);

/// Executes one call. A watch returns immediately.
///
/// ARGUMENTS  stale: a read returns the content before the last update
/// RETURN     the response; its object is owned by the store and valid until the next call
TtPlatformEvent store_call (Store *store, const TtPlatformAction *call, bool stale);

/// Makes a deep copy of an object. Free it with store_free_object().
TtObject *store_copy_object (const TtObject *object);

/// Frees a copy; NULL is allowed.
void store_free_object (TtObject *object);

/// True if a watch on the call's key and version would return a change now.
bool store_watch_has_change (const Store *store, const TtPlatformAction *call);

/// Finds the item of a key, or NULL. Its version is 0 if a restore removed the object.
StoreItem *store_find (Store *store, const char *key);

/// Copies all objects for store_restore(). Free the copy with store_free().
Store *store_snapshot (const Store *store);

/// Replaces all objects with those of a snapshot, as a restore from a backup does.
void store_restore (Store *store, const Store *snapshot);
