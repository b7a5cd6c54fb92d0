/// State of `config`: documents in force, the epoch and how far a change has come.
#pragma once

#include "tarragontrack/board/document_defs.h"
#include "tarragontrack/board/hash.h"
#include <stdbool.h>
#include <stdint.h>

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
  TtDigest hash;         ///< of the object documents/HASH
} TtDocumentSlot;

typedef struct
{
  uint64_t generation;     ///< rises when a restored store was written back
  uint64_t epoch;          ///< highest epoch in force here
  uint64_t accepted_epoch; ///< highest epoch known as accepted
  bool complete;           ///< all documents up to `epoch` are in force; needed to be ready
  bool changed;            ///< set in the step in which a document came into force
  int64_t contact_us;      ///< last confirmed contact with the platform
  int64_t next_poll_us;
  uint32_t slot_count;
  TtDocumentSlot slots[TT_MAX_TEAMS];
} TtConfigSection;
