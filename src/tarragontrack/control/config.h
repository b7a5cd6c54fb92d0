/// Internal interface between the files of `config`.
#pragma once

#include "tarragontrack/board/board_defs.h"

/// A document to put in force.
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
  const TtDocument *document; ///< parsed form; NULL if the text was rejected
  const TtError *error;       ///< reason for the rejection; NULL if unknown
} TtConfigDocument;

/// Writes the key of the object documents/HASH into @key of TT_KEY_MAX bytes.
void tt_config_document_key (const TtDigest *hash, char *key);

/// Returns the slot of a team, adding it if necessary; NULL if TT_MAX_TEAMS are in use.
TtDocumentSlot *tt_config_find_or_add_slot (TtBoard *board, const char *team);

/// tt_config_apply - puts a document in force in its slot, or records that it was rejected
///
/// RETURN     0, TT_E_STALE if the slot's epoch is not lower, TT_E_NO_MEMORY, TT_E_LIMIT
int tt_config_apply (TtBoard *board, const TtConfigDocument *document, int64_t now_us);

/// True if all documents named by the last head read are in force or rejected.
bool tt_config_target_reached (const TtConfigSection *section);

/// Advances the epoch in force to the given one; lower epochs are ignored.
void tt_config_advance_epoch (TtBoard *board, uint64_t generation, uint64_t epoch, int64_t now_us);

/// Records that an epoch exists; it may not be in force here yet.
void tt_config_record_known_epoch (TtBoard *board, uint64_t generation, uint64_t epoch,
                                   int64_t now_us);

/// Processes a head returned by a platform read that started at @started_us; 0 for a watch, whose
/// response does not confirm contact.
void tt_config_handle_head (TtBoard *board, const TtHeadObject *head, int64_t started_us,
                            int64_t now_us);

/// Processes a message from a peer: advertised epochs, a document request or a document.
void tt_config_handle_peer_message (TtBoard *board, const TtPeerMessage *message, int64_t now_us);

/// Requests the next document from the sync peer while a newer epoch than the one in force is
/// known.
void tt_config_sync (TtBoard *board, int64_t now_us);
