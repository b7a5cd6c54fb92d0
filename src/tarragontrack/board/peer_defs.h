/// Typed messages between daemons; codec/peer.c encodes and decodes them as msgpack.
#pragma once

#include "tarragontrack/board/config_defs.h"
#include "tarragontrack/board/error_defs.h"
#include "tarragontrack/board/fleet_defs.h"
#include "tarragontrack/board/member_defs.h"
#include "tarragontrack/board/store_defs.h"
#include <stdbool.h>
#include <stdint.h>

enum
{
  TT_PEER_VERSION = 1,         ///< protocol version of sent messages; lower versions are accepted
  TT_PEER_MAX_MEMBERS = 64,    ///< member entries in one gossip message
  TT_PEER_MAX_HEARTBEATS = 32, ///< heartbeats in one gossip message
  TT_PEER_MAX_LOADS = 48,      ///< engine loads in one gossip message
  TT_PEER_MAX_ACCOUNTS = 32,   ///< account counts in one gossip message
  TT_PEER_MAX_SLOTS = 32,      ///< entries per slot message, leaving servers per gossip message
  TT_PEER_MAX_DOMAINS = TT_MAX_DOMAINS
};

typedef enum
{
  TT_PEER_GOSSIP = 1,
  TT_PEER_SLOT_REQUEST,     ///< lessee to slot owner: slots in use and slots wanted
  TT_PEER_SLOT_GRANT,       ///< slot owner to lessee: slots granted
  TT_PEER_DOCUMENT_REQUEST, ///< request for documents above an epoch
  TT_PEER_DOCUMENT,         ///< one configuration document
  TT_PEER_LEAVE,            ///< the sender shuts down; its slot leases end
  TT_PEER_STATUS,           ///< the sender's status message
  TT_PEER_TABLE_REQUEST,    ///< request for the receiver's routing table
  TT_PEER_TABLE,            ///< a routing table as text
  TT_PEER_SERVERS_REQUEST,  ///< request for the receiver's list of backend servers
  TT_PEER_SERVERS,          ///< a list of backend servers
  TT_PEER_SERVER_CHANGES,   ///< changes of the list of backend servers
  TT_PEER_LOAD_SUMS         ///< sums of the loads of several daemons
} TtPeerType;

typedef struct
{
  uint64_t backend_id;
  uint32_t load;       ///< slots that the slot owner has leased out
  uint32_t slot_limit; ///< total of slots that the slot owner may lease
} TtPeerLoad;

typedef struct
{
  uint64_t account_id;
  uint64_t member_id; ///< daemon or failure domain whose requests are counted
  uint32_t in_flight;
} TtPeerAccount;

/// Compact heartbeat of a member whose entry is otherwise unchanged.
typedef struct
{
  uint32_t id;         ///< low half of the member's id
  uint8_t incarnation; ///< low 7 bits, to ignore heartbeats of an earlier process
  uint32_t heartbeat;
} TtPeerHeartbeat;

/// Lowest configuration epoch in force in a failure domain, sent by its gateway.
typedef struct
{
  uint64_t domain_id;
  uint64_t generation;
  uint64_t epoch;
  uint32_t members;
} TtPeerDomain;

typedef struct
{
  TtMemberEntry members[TT_PEER_MAX_MEMBERS]; ///< the first is the sender's own entry
  uint32_t member_count;
  TtPeerHeartbeat heartbeats[TT_PEER_MAX_HEARTBEATS];
  uint32_t heartbeat_count;
  TtPeerLoad loads[TT_PEER_MAX_LOADS];
  uint32_t load_count;
  TtPeerAccount accounts[TT_PEER_MAX_ACCOUNTS];
  uint32_t account_count;
  TtPeerSuspect suspects[TT_PEER_MAX_SUSPECTS];
  uint32_t suspect_count;
  uint64_t leaving[TT_PEER_MAX_SLOTS]; ///< backend servers known to be leaving
  uint32_t leaving_count;
  TtPeerDomain domains[TT_PEER_MAX_DOMAINS];
  uint32_t domain_count;
} TtPeerGossip;

/// Entry of a slot request or slot grant.
///
/// In a request, an entry may carry a pool's id in TtPeerSlot.backend_id. TtPeerSlot.used is then
/// the number of the sender's requests that run on or wait for the pool, and TtPeerSlot.slots its
/// offered load. A grant has no entries for pools, and no entries for backend servers whose slots
/// were granted as requested for the usual period.
typedef struct
{
  uint64_t backend_id;
  uint32_t used;            ///< request: slots in use; grant: unused
  uint32_t slots;           ///< request: total slots wanted; grant: total slots leased
  uint32_t lease_period_ms; ///< grant: lease period, counted from the sending of the request; 0 =
                            ///< the sender is not the slot owner
} TtPeerSlot;

/// Body of TT_PEER_SLOT_REQUEST and TT_PEER_SLOT_GRANT.
typedef struct
{
  TtPeerSlot slots[TT_PEER_MAX_SLOTS];
  uint32_t slot_count;
  uint32_t sequence; ///< a grant repeats the sequence number of its request
} TtPeerSlotMessage;

typedef struct
{
  uint64_t generation;
  uint64_t epoch;
  char team[TT_NAME_MAX];
  char author[TT_NAME_MAX];
  int64_t staged_s;
  TtDigest hash;
  const char *text; ///< valid during the step only
  uint32_t text_size;
  const TtDocument *document; ///< parsed by the codec on receipt; NULL if rejected
  TtError error;              ///< reason for the rejection
} TtPeerDocument;

typedef struct
{
  const char *text; ///< valid during the step only
  uint32_t text_size;
} TtPeerTable;

typedef struct
{
  TtPeerType type;
  uint64_t sender_id;
  uint64_t sender_incarnation;
  union
  {
    TtPeerGossip gossip;
    TtPeerSlotMessage share;
    TtPeerDocument document; ///< TT_PEER_DOCUMENT_REQUEST uses generation and epoch only
    TtDaemonStatus status;   ///< also the body of TT_PEER_TABLE_REQUEST and
                             ///< TT_PEER_SERVERS_REQUEST, without loads there
    TtPeerTable table;
    TtLoadSums sums;
    TtStoreEntries servers; ///< entries are valid during the step only
  };
} TtPeerMessage;
