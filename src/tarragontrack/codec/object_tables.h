/// Fields of the records in platform objects, shared by object.c and object_write.c.
#pragma once

#include "tarragontrack/board/object_defs.h"
#include "tarragontrack/codec/object_fields.h"

typedef struct
{
  const TtObjectField *fields;
  size_t count;
} TtObjectTable;

/// Fields of an object's own record, without its arrays; NULL fields for an unknown type.
TtObjectTable tt_object_table (TtObjectType type);

extern const TtObjectTable tt_object_team_table;
extern const TtObjectTable tt_object_claim_table;
extern const TtObjectTable tt_object_wanted_table;
extern const TtObjectTable tt_object_audit_domain_table;
extern const TtObjectTable tt_object_host_table;
