/// Stand-in for the platform's object API in one process: versioned objects, conditional updates,
/// watches, a lagging host list, and faults. Time is simulated by the caller.
#pragma once

#include "tarragontrack/board/action_defs.h"
#include "tarragontrack/board/event_defs.h"
#include "tarragontrack/board/rng.h"

enum
{
  STORE_KEYS = 1024,
  STORE_HOSTS = 1280,
  STORE_MAX_VALUE = 1 << 20 ///< bytes of a value
};

typedef struct
{
  char key[TT_KEY_MAX];
  uint64_t version; ///< 0 = absent
  TtObject object;
  TtObject previous; ///< content before the last update, for stale reads
  uint64_t previous_version;
} StoreItem;

typedef struct
{
  StoreItem items[STORE_KEYS];
  uint32_t count;
  uint64_t last_version; ///< highest version of any item
  bool reuse_versions;   ///< versions count on from the item's own, so a restore repeats them
  TtHostEntry hosts[STORE_HOSTS];
  uint32_t host_count;
  uint64_t hosts_version;
  uint64_t reads;
  uint64_t writes;
} Store;

/// Makes an empty store; aborts if memory is exhausted.
Store *store_new (void);

/// Frees the store and its objects.
void store_free (Store *store);

/// Executes one call other than a watch that waits.
///
/// ARGUMENTS  stale: answer a read with the content before the last update
/// RETURN     the answer; its object is owned by the store and valid until the next call
TtPlatformEvent store_call (Store *store, const TtPlatformAction *call, bool stale);

/// Copies an object with all that it points to. Free with store_free_object().
TtObject *store_copy_object (const TtObject *object);

/// Frees a copy; NULL is allowed.
void store_free_object (TtObject *object);

/// True if a watch on the call's key and version would answer now.
bool store_watch_is_due (const Store *store, const TtPlatformAction *call);

/// Item of a key, or NULL. Its version is 0 if a restore has removed the object.
StoreItem *store_find (Store *store, const char *key);

/// Copies all objects for store_restore(). Free with store_free().
Store *store_snapshot (const Store *store);

/// Puts the objects of a snapshot back, as a restore from a backup does.
void store_restore (Store *store, const Store *snapshot);
