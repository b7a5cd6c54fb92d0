/// State of the platform stand-in: versioned objects, a snapshot of them, and the host list.
#pragma once

#include "tarragontrack/board/limits_defs.h"
#include "tarragontrack/board/list.h"

enum
{
  PLATFORM_HOST_VERSIONS = 64 ///< versions kept for readers that see the host list with a delay
};

typedef struct
{
  TtLink link; ///< on PlatformStore.objects or PlatformStore.snapshot
  char key[TT_KEY_MAX];
  uint64_t version;
  char *text;
  size_t size;
} PlatformObject;

/// Delay with which readers in one failure domain see the host list.
typedef struct
{
  TtLink link; ///< on PlatformStore.lags
  char domain[TT_NAME_MAX];
  uint64_t lag_ms;
} PlatformHostsLag;

typedef struct
{
  uint64_t version; ///< 0 = unused
  uint64_t valid_from_ms;
  char *text;
} PlatformHosts;

typedef struct
{
  TtList objects;
  TtList snapshot;
  TtList lags;
  PlatformHosts hosts[PLATFORM_HOST_VERSIONS]; ///< indexed by version modulo the array length
  uint64_t hosts_version;
} PlatformStore;

void platform_store_init (PlatformStore *store);

/// RETURN the object of a key, or NULL.
PlatformObject *platform_store_find (PlatformStore *store, const char *key);

/// Writes an object if its version is @expected (0 = absent). RETURN its new version, 0 on
/// conflict.
uint64_t platform_store_put (PlatformStore *store, const char *key, uint64_t expected,
                             const char *text, size_t size);

/// Takes a snapshot of all objects.
void platform_store_take_snapshot (PlatformStore *store);

/// Restores the snapshot, as an operator restores a backup.
void platform_store_restore_snapshot (PlatformStore *store);

/// Sets the host list, valid from @now_ms.
void platform_store_set_hosts (PlatformStore *store, const char *text, uint64_t now_ms);

/// Sets the delay with which readers in a failure domain see the host list. The @domain "" stands
/// for readers that state none.
void platform_store_set_lag (PlatformStore *store, const char *domain, uint64_t lag_ms);

/// RETURN the host list as readers in a domain see it at @now_ms, or NULL if none is visible yet.
const PlatformHosts *platform_store_hosts (const PlatformStore *store, const char *domain,
                                           uint64_t now_ms);
