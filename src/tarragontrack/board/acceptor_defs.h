/// State of `acceptor`: the failure domain's report and the acceptance of configuration changes.
#pragma once

#include "tarragontrack/board/limits_defs.h"
#include "tarragontrack/board/object_defs.h"
#include <stdbool.h>
#include <stdint.h>

/// The acceptor's view of a failure domain.
typedef struct
{
  uint64_t id;
  char name[TT_NAME_MAX];
  bool has_report; ///< `report` was read at least once
  TtDomainObject report;
  int64_t report_observed_us; ///< when the current report_number was first read
  uint64_t call;              ///< open read; 0 = none
  int64_t read_start_us;      ///< start of the last read
} TtAcceptorDomain;

/// The acceptor's open platform call.
typedef enum
{
  TT_ACCEPT_IDLE,
  TT_ACCEPT_READ_ACCEPTED,
  TT_ACCEPT_READ_LAST_AUDIT, ///< reads the last entry for its hash
  TT_ACCEPT_WRITE_AUDIT,
  TT_ACCEPT_READ_EXISTING_AUDIT, ///< reads the existing entry of the same number
  TT_ACCEPT_WRITE_ACCEPTED,
  TT_ACCEPT_WRITE_DOCUMENT, ///< repair of a restored store: writes a document back
  TT_ACCEPT_READ_HEAD,      ///< repair: reads the restored head
  TT_ACCEPT_WRITE_HEAD      ///< repair: writes a head of a higher generation
} TtAcceptStep;

/// BOUNDS     one call as reporter, one call as acceptor, and one read for each failure domain are
///            open at a time
typedef struct
{
  // As reporter of the daemon's own failure domain.
  uint64_t report_call; ///< 0 = none
  bool report_is_write;
  bool report_known; ///< `report` equals the object's content
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
  uint64_t call;       ///< 0 = none
  int64_t next_try_us; ///< earliest start of the next call; while one is open, its timeout
  bool accepted_known; ///< `accepted` equals the object's content at `accepted_version`
  uint64_t accepted_version;
  TtAcceptedObject accepted;
  TtDigest last_entry_hash;   ///< hash of the last entry of the audit trail
  TtConfigChange change;      ///< the change being accepted
  bool needs_audit_entry;     ///< `change` gets an entry in the audit trail
  uint32_t repair_slot_index; ///< index of the next document slot to write back
  TtObject object;            ///< content of the open write
} TtAcceptorSection;
