/// The platform's objects as C types. codec/object.c encodes and decodes their JSON.
#pragma once

#include "tarragontrack/board/claim_defs.h"
#include "tarragontrack/board/config_defs.h"
#include "tarragontrack/board/error_defs.h"
#include "tarragontrack/board/limits_defs.h"
#include "tarragontrack/board/order_defs.h"
#include <stdbool.h>
#include <stdint.h>

typedef enum
{
  TT_OBJECT_NONE,
  TT_OBJECT_HEAD,     ///< config/head
  TT_OBJECT_DOCUMENT, ///< documents/SHA-256 of the object's text, immutable
  TT_OBJECT_ACCEPTED, ///< config/accepted
  TT_OBJECT_DOMAIN,   ///< domains/NAME
  TT_OBJECT_LEASE,    ///< leases/ROLE
  TT_OBJECT_CLAIMS,   ///< claims/SHARD
  TT_OBJECT_ORDERS,   ///< orders/MODEL
  TT_OBJECT_AUDIT,    ///< audit/NUMBER
  TT_OBJECT_HOSTS     ///< response of the host list, not an object of the API
} TtObjectType;

/// The latest document of one team.
typedef struct
{
  char team[TT_NAME_MAX];
  uint64_t epoch; ///< epoch of the team's last change
  TtDigest hash;  ///< of the object documents/HASH
} TtHeadTeam;

/// Defines the order of all changes. An apply first creates the document's object, then increments
/// the epoch by one with a conditional update of the head.
typedef struct
{
  uint64_t generation;
  uint64_t epoch;
  TtHeadTeam teams[TT_MAX_TEAMS];
  uint32_t team_count;
} TtHeadObject;

typedef struct
{
  char team[TT_NAME_MAX];
  char author[TT_NAME_MAX];
  int64_t staged_s; ///< operator's wall clock, informational only
  TtDigest hash;    ///< of the object's text
  const char *text; ///< the document as the operator wrote it
  uint32_t text_size;
  const TtDocument *document; ///< parsed form; NULL if the text was rejected
  TtError error;              ///< reason for the rejection
} TtDocumentObject;

typedef struct
{
  uint64_t generation;
  uint64_t epoch;
  uint64_t audit_number; ///< number of the last entry of the audit trail
} TtAcceptedObject;

typedef struct
{
  char domain[TT_NAME_MAX];
  uint64_t reporter_id;
  uint64_t generation;
  uint64_t epoch;         ///< lowest epoch in force in the domain
  uint32_t members;       ///< live daemons in the domain
  int64_t confirmed_s;    ///< reporter's wall clock, informational only
  uint64_t report_number; ///< incremented with each report; a change shows that the domain can
                          ///< reach the platform
} TtDomainObject;

typedef struct
{
  uint64_t holder_id;
  char holder[TT_NAME_MAX];
  uint64_t fencing_token;
  uint32_t duration_ms;
  bool released;
} TtLeaseObject;

typedef struct
{
  TtClaimEntry *entries;
  uint32_t count;
} TtClaimsObject;

typedef struct
{
  uint64_t backend_id;
  TtEngineRole role;
} TtWantedRole;

typedef struct
{
  uint64_t fencing_token;
  TtWantedRole *wanted;
  uint32_t count;
} TtOrdersObject;

typedef struct
{
  char name[TT_NAME_MAX];
  int64_t in_force_s; ///< wall clock of the domain's reporter
  bool excluded;      ///< the domain had no platform contact, and the document's detached mode was
                      ///< "refuse"
} TtAuditDomain;

/// One entry of the audit trail. It holds the hash of the previous entry's stored text.
typedef struct
{
  uint64_t number;
  TtDigest previous_hash;
  TtDigest hash; ///< of this entry's stored text; set by the codec on reading, not stored
  uint64_t generation;
  uint64_t epoch;
  char team[TT_NAME_MAX];
  char author[TT_NAME_MAX];
  TtDigest document_hash;
  int64_t staged_s;
  int64_t accepted_s;
  TtAuditDomain domains[TT_MAX_DOMAINS];
  uint32_t domain_count;
} TtAuditObject;

/// One host of the platform's host list.
typedef struct
{
  char name[TT_NAME_MAX];
  char address[TT_ADDRESS_MAX];
  uint16_t port;
  char domain[TT_NAME_MAX];
  bool entry_host; ///< runs a daemon; otherwise a backend server
  bool leaving;
  char service[TT_NAME_MAX]; ///< backend servers only
  double weight;
  uint32_t batch_limit;
  bool supports_fencing; ///< the backend server checks the fencing tokens of orders
} TtHostEntry;

typedef struct
{
  TtHostEntry *hosts;
  uint32_t count;
} TtHostsObject;

typedef struct
{
  TtObjectType type;
  union
  {
    TtHeadObject head;
    TtDocumentObject document;
    TtAcceptedObject accepted;
    TtDomainObject domain;
    TtLeaseObject lease;
    TtClaimsObject claims;
    TtOrdersObject orders;
    TtAuditObject audit;
    TtHostsObject hosts;
  };
} TtObject;

typedef enum
{
  TT_PLATFORM_GET,
  TT_PLATFORM_PUT,   ///< conditional on the version; 0 = create
  TT_PLATFORM_WATCH, ///< responds when the version differs from the given one, or on timeout
  TT_PLATFORM_HOSTS, ///< host list, if its version differs from the given one
  TT_PLATFORM_LIST,  ///< returns a page of the entries of the kind `key`, after the name `after`
  TT_PLATFORM_WATCH_ENTRIES, ///< watches the entries of the kind `key` for changes after the
                             ///< revision `version` and returns them
  TT_PLATFORM_CREATE,        ///< creates this daemon's entry; TT_E_CONFLICT if it exists
  TT_PLATFORM_REPLACE,       ///< replaces this daemon's entry
  TT_PLATFORM_PEER           ///< not a call: entries received from another daemon
} TtPlatformOp;
