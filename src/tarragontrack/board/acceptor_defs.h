/// State of `acceptor`: the failure domain's report and the acceptance of changes.
#pragma once

#include "tarragontrack/board/limits_defs.h"
#include "tarragontrack/board/object_defs.h"
#include <stdbool.h>
#include <stdint.h>

/// A failure domain as the acceptor sees it.
typedef struct
{
  uint64_t id;
  char name[TT_NAME_MAX];
  bool known; ///< `report` was read at least once
  TtDomainObject report;
  int64_t report_us; ///< when report_number was first seen
  uint64_t call;     ///< open read; 0 = none
  int64_t read_us;   ///< start of the last read
} TtAcceptorDomain;

/// The acceptor's next platform call.
typedef enum
{
  TT_ACCEPT_IDLE,
  TT_ACCEPT_READ_ACCEPTED,
  TT_ACCEPT_READ_AUDIT, ///< the last entry, for its hash
  TT_ACCEPT_WRITE_AUDIT,
  TT_ACCEPT_CHECK_AUDIT, ///< an entry of that number exists already
  TT_ACCEPT_WRITE_ACCEPTED,
  TT_ACCEPT_WRITE_DOCUMENT, ///< repair of a restored store
  TT_ACCEPT_READ_HEAD,
  TT_ACCEPT_WRITE_HEAD
} TtAcceptStep;

/// BOUNDS     one report and one acceptance call are open at a time
typedef struct
{
  // As reporter of the own failure domain.
  uint64_t report_call; ///< 0 = none
  bool report_is_write;
  bool report_known; ///< `report` is the object's content
  uint64_t report_version;
  TtDomainObject report;
  int64_t reported_us;
  int64_t next_report_us;
  TtObject report_object; ///< content of the open write
  // As acceptor.
  TtAcceptorDomain domains[TT_MAX_DOMAINS];
  uint32_t domain_count;
  int64_t next_read_us;
  TtAcceptStep step;
  uint64_t call; ///< 0 = none
  int64_t next_try_us;
  bool accepted_known; ///< `accepted` is the object's content at `accepted_version`
  uint64_t accepted_version;
  TtAcceptedObject accepted;
  TtDigest last_hash;    ///< of the last entry of the audit trail
  TtConfigChange change; ///< the change that is being accepted
  bool change_is_entry;  ///< it gets an entry of the audit trail
  uint32_t repair_slot;
  TtObject object; ///< content of the open write
} TtAcceptorSection;
