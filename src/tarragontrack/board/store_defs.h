/// Entries that daemons read from the platform's store: the configuration, backend servers, and
/// other daemons. State of `feed`, which watches the store for changes.
#pragma once

#include "tarragontrack/board/limits_defs.h"
#include "tarragontrack/board/route_defs.h"
#include <stdbool.h>
#include <stdint.h>

typedef enum
{
  TT_STORE_CONFIG,  ///< routing table
  TT_STORE_SERVERS, ///< backend servers
  TT_STORE_DAEMONS, ///< daemons of the fleet; each daemon writes its own entry
  TT_STORE_KINDS
} TtStoreKind;

/// A backend server's registration.
typedef struct
{
  const char *service;
  char address[TT_ADDRESS_MAX];
  uint16_t port;
  uint64_t domain_id; ///< hash of the failure domain's name
  uint32_t slots;
  bool leaving;
  uint64_t process_start_ms; ///< start time of the process, wall clock; distinguishes two processes
                             ///< that use the same id
} TtServerEntry;

/// Address at which a daemon accepts messages of other daemons.
typedef struct
{
  char address[TT_ADDRESS_MAX];
  uint16_t port;
} TtDaemonEntry;

/// One entry. Its strings have any length and are stored behind the array of entries, see
/// tt_store_entries_alloc().
typedef struct
{
  TtStoreKind kind;
  const char *name;
  uint64_t revision; ///< store revision of the entry's last change
  bool removed;
  bool valid; ///< false: the entry could not be parsed or holds invalid values
  union
  {
    TtRouteTable *table; ///< a controller that takes ownership sets this to NULL
    TtServerEntry server;
    TtDaemonEntry daemon;
  };
} TtStoreEntry;

/// Response to a list or watch call (TT_PLATFORM_LIST, TT_PLATFORM_WATCH_ENTRIES).
typedef struct
{
  TtStoreKind kind;
  TtStoreEntry *entries;
  uint32_t count;
  bool is_list;               ///< a list of the kind or a page of it, not a set of changes
  bool is_first_page;         ///< first page of a list
  bool has_more;              ///< further pages follow
  const char *continue_after; ///< continuation token: the name of the last entry; NULL = none
  uint64_t era;               ///< of `revision`, `base_revision` and the entries' revisions
  uint64_t revision;          ///< of the store; the next watch call starts here
  bool from_peer;             ///< another daemon sent the entries, not the store
  bool discarded; ///< set by `feed`: the response is not to the current call of its kind, or
                  ///< of another era
  uint64_t base_revision; ///< changes sent by a daemon: revision of the list to which they apply
  uint32_t
      lapse_ms; ///< sent by a daemon: time for which entries may be missing because of an outage
} TtStoreEntries;

/// State of listing and watching the entries of one kind.
typedef struct
{
  uint64_t revision;        ///< changes up to here were received; 0 = the kind has to be listed
  char *continue_after;     ///< continuation token of the pages received so far; NULL = first page
  bool list_requested;      ///< the kind is to be listed once, see tt_feed_request_list()
  uint64_t call_id;         ///< id of the call in flight; 0 = none
  int64_t call_started_us;  ///< when that call was started
  bool watch_waits;         ///< that call is a watch that waits for a change
  int64_t next_call_us;     ///< earliest start of the next call
  uint64_t confirm_call_id; ///< call in flight that confirms the copy beside a watch; 0 = none
  int64_t confirm_started_us;  ///< when that call was started
  int64_t next_confirm_us;     ///< earliest start of the next such call
  int64_t confirmed_us;        ///< the copy is known to have been complete at this time
  int64_t responded_us;        ///< arrival of the last response; 0 = none
  uint32_t failures;           ///< consecutive failed calls
  uint32_t unreadable_answers; ///< since the last readable watch
  int64_t failing_since_us;    ///< when calls began to fail; 0 = the last call succeeded
} TtFeedStream;

typedef struct
{
  TtFeedStream streams[TT_STORE_KINDS];
  bool loss_logged;           ///< the loss of the store was logged
  uint64_t own_write_call_id; ///< id of the write call in flight for this daemon's entry; 0 = none
  int64_t own_write_next_us;
  bool own_entry_current; ///< the store's entry for this daemon has the right address
  bool own_entry_exists;  ///< the store has an entry of this name, possibly with another address
  bool own_entry_listed;  ///< the list that is being read contains this daemon's entry
  bool own_entry_renewed; ///< it is written again because the store's era changed
  uint64_t own_entry_era; ///< era in which the store's entry was last seen or written
} TtFeedSection;
