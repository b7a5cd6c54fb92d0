/// State of `config`: documents in force, the epoch in force and the progress of changes.
#pragma once

#include "tarragontrack/board/document_defs.h"
#include "tarragontrack/board/hash.h"
#include <stdbool.h>
#include <stdint.h>

enum
{
  TT_CONFIG_MAX_CHANGES = 256 ///< last changes kept for the audit trail
};

/// A team's document in force with the metadata of the change that set it.
typedef struct
{
  char team[TT_NAME_MAX];
  char author[TT_NAME_MAX];
  int64_t staged_s;     ///< operator's wall clock
  TtDocument *document; ///< parsed form, owned
  char *text;           ///< document text as the operator wrote it, owned
  uint32_t text_size;
  uint64_t generation;
  uint64_t epoch;
  uint64_t wanted_epoch; ///< epoch of the document named by the head; the document is fetched if
                         ///< wanted_epoch is newer than `epoch`
  TtDigest hash;         ///< hash of the object documents/HASH of the document in force
  uint64_t wanted_generation;
  TtDigest wanted_hash;
  TtDocument *old_document; ///< previous document; queued actions may still point to it
  char *old_text;
  uint64_t call;                ///< open read of the wanted document; 0 = none
  int64_t next_fetch_us;        ///< earliest start of the next read; while one is open, its start
  uint64_t document_generation; ///< generation of the change that set `document`
  uint64_t document_epoch; ///< epoch of that change; differs from `epoch` after a rejected change
  bool rejected; ///< the document of `epoch` was rejected; an earlier document stays in force
  bool rejects_requests; ///< no platform contact for detach_after_s: `admit` rejects the team's
                         ///< requests
  uint64_t refuse_from_epoch; ///< every document applied since this epoch has the detached mode
                              ///< "refuse"; 0 = the last one applied has another mode
  uint32_t refuse_after_s;    ///< longest detach_after_s of the documents since refuse_from_epoch
} TtDocumentSlot;

/// One of the last TT_CONFIG_MAX_CHANGES changes that this daemon received.
typedef struct
{
  uint64_t generation;
  uint64_t epoch;
  char team[TT_NAME_MAX];
  char author[TT_NAME_MAX];
  int64_t staged_s;
  TtDigest hash;
  int64_t received_us; ///< when this daemon received the change
  bool rejected;
} TtConfigChange;

/// BOUNDS     TT_MAX_TEAMS documents; TT_CONFIG_MAX_CHANGES changes, the oldest is replaced
typedef struct
{
  uint64_t generation;            ///< incremented when the acceptor repairs a restored store
  uint64_t epoch;                 ///< all changes up to this epoch are in force on this daemon
  int64_t generation_advanced_us; ///< when `generation` last increased on this daemon
  uint64_t accepted_epoch;        ///< highest epoch known to be accepted
  bool synced; ///< the highest epoch known after the start, or after a pause of this daemon, has
               ///< come into force
  int64_t last_event_us;  ///< time of the last event
  int64_t resumed_us;     ///< end of the last process pause (see PAUSE_THRESHOLD_US); 0 = none
  bool documents_changed; ///< true during the board step in which a document came into force
  uint32_t consecutive_failures; ///< consecutive platform calls without a response
  bool platform_lost;            ///< PLATFORM_LOST_CALLS consecutive calls had no response
  int64_t contact_confirmed_us;  ///< start of the last read of the head after which this daemon had
                                 ///< all changes in force; 0 = none yet
  int64_t reconnect_us;          ///< start of the first read of the head after a long loss of
                                 ///< platform contact
  int64_t next_poll_us;
  uint64_t known_generation; ///< highest epoch advertised by the platform or by peers
  uint64_t known_epoch;
  int64_t behind_since_us;    ///< since when known_epoch exceeds `epoch`, reset to the current time
                              ///< when an early poll is scheduled; 0 = it does not
  uint64_t target_generation; ///< generation and epoch of the last head read
  uint64_t target_epoch;
  int64_t target_read_us; ///< start of the read that returned the target
  uint64_t head_version;
  uint64_t head_call; ///< open read of the head; 0 = none
  int64_t head_call_start_us;
  uint64_t watch_call;    ///< open watch of the head; 0 = none
  int64_t watch_start_us; ///< start of the watch
  int64_t next_watch_us;
  uint64_t sync_peer; ///< daemon from which documents are fetched; 0 = none
  uint64_t sync_incarnation;
  uint64_t sync_generation; ///< all of that daemon's documents up to this epoch have been received
  uint64_t sync_epoch;
  int64_t sync_request_us; ///< time of the last open document request; 0 = none
  uint32_t sync_attempts;
  int64_t first_head_us; ///< time of the first response to a read of the head
  bool head_failed;      ///< the last read of the head got no usable response
  bool gossip_received;
  int64_t head_regressed_us; ///< since when the head lacks changes in force here; 0 = it lacks none
  bool store_restored; ///< the store was restored to an older version; the acceptor repairs it
  uint32_t next_change_index;
  TtConfigChange changes[TT_CONFIG_MAX_CHANGES];
  uint32_t slot_count;
  TtDocumentSlot slots[TT_MAX_TEAMS];
} TtConfigSection;
