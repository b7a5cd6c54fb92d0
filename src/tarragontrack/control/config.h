/// Parts of `config` shared by its files.
#pragma once

#include "tarragontrack/board/board_defs.h"

/// A document to be put in force.
typedef struct
{
  const char *team;
  const char *author;
  int64_t staged_s;
  uint64_t generation;
  uint64_t epoch;
  const TtDigest *hash;
  const char *text;
  uint32_t text_size;
  const TtDocument *document; ///< NULL: refused
  const TtError *error;
} TtConfigDocument;

/// Writes the key of the object documents/HASH into @key of TT_KEY_MAX bytes.
void tt_config_document_key (const TtDigest *hash, char *key);

/// Slot of a team, or a new one; NULL if TT_MAX_TEAMS are in use.
TtDocumentSlot *tt_config_slot (TtBoard *board, const char *team);

/// tt_config_apply - puts a document in force in its slot, or notes that it was refused
///
/// RETURN     0, TT_E_STALE if the slot's epoch is not lower, TT_E_NO_MEMORY, TT_E_LIMIT
int tt_config_apply (TtBoard *board, const TtConfigDocument *document, int64_t now_us);

/// True if all documents that the last head read names are in force or refused.
bool tt_config_has_target (const TtConfigSection *section);

/// Raises the epoch in force, which never falls.
void tt_config_raise (TtBoard *board, uint64_t generation, uint64_t epoch, int64_t now_us);

/// Notes that an epoch exists.
void tt_config_know (TtBoard *board, uint64_t generation, uint64_t epoch, int64_t now_us);

/// Takes in a head read from the platform at @started_us.
void tt_config_take_head (TtBoard *board, const TtHeadObject *head, int64_t started_us,
                          int64_t now_us);

/// Answers a daemon that asks for documents, and takes in what other daemons send.
void tt_config_peer (TtBoard *board, const TtPeerMessage *message, int64_t now_us);

/// Asks a daemon for documents if one is known to have newer ones.
void tt_config_sync (TtBoard *board, int64_t now_us);
