/// State of `config`: documents in force, the epoch and how far a change has come.
#pragma once

#include "tarragontrack/board/document_defs.h"
#include "tarragontrack/board/hash.h"
#include <stdbool.h>
#include <stdint.h>

enum
{
  TT_CONFIG_CHANGES = 256 ///< last changes kept for the audit trail
};

/// A team's document with the facts of its change.
typedef struct
{
  char team[TT_NAME_MAX];
  char author[TT_NAME_MAX];
  int64_t staged_s;     ///< operator's wall clock
  TtDocument *document; ///< parsed form, owned
  char *text;           ///< as the operator wrote it, owned
  uint32_t text_size;
  uint64_t generation;
  uint64_t epoch;
  uint64_t wanted_epoch; ///< named by the head and not in force here yet
  TtDigest hash;         ///< of the object documents/HASH of the document in force
  uint64_t wanted_generation;
  TtDigest wanted_hash;
  TtDocument *old_document; ///< replaced by the last change; actions may still refer to it
  char *old_text;
  uint64_t call; ///< open read of the wanted document; 0 = none
  int64_t next_fetch_us;
  uint64_t document_generation; ///< of the change that brought the document in force
  uint64_t document_epoch;      ///< differs from `epoch` after a refused change
  bool refused;                 ///< the document of `epoch` was refused; an earlier one is in force
  bool refused_detached; ///< no contact for detach_after_s: `admit` refuses the team's requests
  uint64_t refuse_from_epoch; ///< since this epoch all documents said "refuse"; 0 = unknown
  uint32_t refuse_after_s;    ///< longest detach_after_s of these documents
} TtDocumentSlot;

/// A change of the last ones that this daemon saw.
typedef struct
{
  uint64_t generation;
  uint64_t epoch;
  char team[TT_NAME_MAX];
  char author[TT_NAME_MAX];
  int64_t staged_s;
  TtDigest hash;
  int64_t known_us; ///< when this daemon first knew of it
  bool refused;
} TtConfigChange;

/// BOUNDS     TT_MAX_TEAMS documents; TT_CONFIG_CHANGES changes, the oldest is replaced
typedef struct
{
  uint64_t generation;     ///< rises when a restored store was written back
  uint64_t epoch;          ///< all changes up to this one are in force here
  int64_t generation_us;   ///< when the generation last rose here
  uint64_t accepted_epoch; ///< highest epoch known as accepted
  bool complete;           ///< the highest epoch known at the start, or after a pause of this
                           ///< daemon, came into force
  int64_t stepped_us;      ///< time of the last event
  int64_t woke_us;         ///< end of the last pause of this daemon; 0 = none
  bool changed;            ///< set in the step in which a document came into force
  uint32_t unanswered;     ///< platform calls without an answer in a row
  bool platform_lost;      ///< several calls in a row had no answer
  int64_t contact_us;      ///< start of the last read of the head that showed nothing missing here;
                           ///< 0 = none yet
  int64_t rejoin_us;       ///< first read of the head after a long loss of contact
  int64_t next_poll_us;
  uint64_t known_generation; ///< highest epoch known from the platform or from peers
  uint64_t known_epoch;
  int64_t behind_us; ///< since when the known epoch is above the one in force; 0 = it is not
  uint64_t target_generation; ///< of the last head read
  uint64_t target_epoch;
  int64_t target_us; ///< start of the read that gave the target
  uint64_t head_version;
  uint64_t head_call; ///< open read of the head; 0 = none
  int64_t head_call_us;
  uint64_t watch_call; ///< open watch of the head; 0 = none
  int64_t watch_us;    ///< start of the watch
  int64_t next_watch_us;
  uint64_t sync_peer; ///< daemon that documents are fetched from; 0 = none
  uint64_t sync_incarnation;
  uint64_t sync_generation; ///< all of that daemon's documents up to this epoch are here
  uint64_t sync_epoch;
  int64_t sync_us; ///< last question; 0 = none open
  uint32_t sync_tries;
  int64_t first_head_us; ///< first answer to a read of the head
  bool head_failed;      ///< the last read of the head had no answer
  bool heard_peer;
  int64_t low_head_us; ///< since when the head is behind the documents in force; 0 = it is not
  bool restored;       ///< the store was restored to an older version; the acceptor repairs it
  uint32_t change_next;
  TtConfigChange changes[TT_CONFIG_CHANGES];
  uint32_t slot_count;
  TtDocumentSlot slots[TT_MAX_TEAMS];
} TtConfigSection;
