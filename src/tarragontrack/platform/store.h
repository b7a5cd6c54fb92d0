/// HTTP dialect of the platform's store: lists and watches entries, and writes this daemon's own
/// entry.
#pragma once

#include "tarragontrack/io/platform_dialect_defs.h"

/// Name and entry under which this daemon registers in the store.
typedef struct
{
  char name[TT_NAME_MAX];
  TtDaemonEntry daemon_entry;
} TtStoreIdentity;

/// tt_store_dialect - returns the dialect for a platform client
///
/// ARGUMENTS  identity: must outlive the client
TtPlatformDialect tt_store_dialect (TtStoreIdentity *identity);

/// tt_store_entries_from_table - parses a routing table that another daemon sent
///
/// RETURN     one entry with the table, or NULL with @error set; free with tt_store_entries_free()
TtStoreEntries *tt_store_entries_from_table (const char *text, size_t size, TtError *error);

/// Frees entries, including routing tables of which no controller took ownership. @entries may be
/// NULL.
void tt_store_entries_free (TtStoreEntries *entries);
