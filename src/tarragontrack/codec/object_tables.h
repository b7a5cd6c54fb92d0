/// Field tables of the records in platform objects, shared by the decoder and the encoder.
#pragma once

#include "tarragontrack/board/object_defs.h"
#include "tarragontrack/codec/object_fields.h"

typedef struct
{
  const TtObjectField *fields;
  size_t count;
} TtObjectTable;

/// Top-level fields of an object, without its arrays. TtObjectTable.fields is NULL for an unknown
/// type.
TtObjectTable tt_object_table (TtObjectType type);

extern const TtObjectTable tt_object_team_table;
extern const TtObjectTable tt_object_claim_table;
extern const TtObjectTable tt_object_wanted_table;
extern const TtObjectTable tt_object_audit_domain_table;
extern const TtObjectTable tt_object_host_table;
