/// Numbered log events. docs/events.md documents them; CI checks that both lists are equal.
/// 1xxx process, 2xxx configuration and membership, 3xxx requests, 4xxx backend servers,
/// 5xxx platform, leases and claims, 6xxx peers.
#pragma once

typedef enum
{
  TT_LEVEL_ERROR,
  TT_LEVEL_WARN,
  TT_LEVEL_INFO,
  TT_LEVEL_DEBUG
} TtLogLevel;

// X (enum suffix, number, level)
#define TT_LOG_LIST(X)                                                                             \
  X (STARTED, 1001, INFO)                                                                          \
  X (DRAIN_STARTED, 1002, INFO)                                                                    \
  X (STOPPED, 1003, INFO)                                                                          \
  X (READY, 1004, INFO)                                                                            \
  X (SETTINGS_REFUSED, 1005, ERROR)                                                                \
  X (LISTEN_FAILED, 1006, ERROR)                                                                   \
  X (SETTINGS_RELOADED, 1007, INFO)                                                                \
  X (LINES_LEFT_OUT, 1008, WARN)                                                                   \
  X (DOCUMENT_IN_FORCE, 2001, INFO)                                                                \
  X (DOCUMENT_REFUSED, 2002, ERROR)                                                                \
  X (CHANGE_ACCEPTED, 2003, INFO)                                                                  \
  X (STORE_RESTORED, 2004, ERROR)                                                                  \
  X (DOMAIN_DETACHED, 2005, WARN)                                                                  \
  X (DOMAIN_ATTACHED, 2006, INFO)                                                                  \
  X (MEMBER_ALIVE, 2101, INFO)                                                                     \
  X (MEMBER_SUSPECT, 2102, WARN)                                                                   \
  X (MEMBER_GONE, 2103, WARN)                                                                      \
  X (REQUEST_SHED, 3001, WARN)                                                                     \
  X (REQUEST_UNKNOWN, 3002, WARN)                                                                  \
  X (REQUEST_CUT, 3003, WARN)                                                                      \
  X (REQUEST_BLOCKED, 3004, ERROR)                                                                 \
  X (ANSWER_LATE, 3005, DEBUG)                                                                     \
  X (REQUEST_REFUSED, 3006, INFO)                                                                  \
  X (REQUEST_CLEARED, 3007, INFO)                                                                  \
  X (PART_STRUCK, 3008, INFO)                                                                      \
  X (PART_QUARANTINED, 3009, ERROR)                                                                \
  X (PART_CLEARED, 3010, INFO)                                                                     \
  X (PART_TRIED, 3011, INFO)                                                                       \
  X (CALLER_ENDED, 3012, WARN)                                                                     \
  X (REQUEST_ENDED, 3101, INFO)                                                                    \
  X (REQUEST_PLACED, 3102, INFO)                                                                   \
  X (ATTEMPT_ENDED, 3103, INFO)                                                                    \
  X (ATTEMPT_BESIDE, 3104, INFO)                                                                   \
  X (BACKEND_LIVE, 4001, INFO)                                                                     \
  X (BACKEND_LEAVING, 4002, INFO)                                                                  \
  X (BACKEND_GONE, 4003, INFO)                                                                     \
  X (BACKEND_DAMPED, 4004, WARN)                                                                   \
  X (BACKEND_EJECTED, 4005, WARN)                                                                  \
  X (BACKEND_RETURNED, 4006, INFO)                                                                 \
  X (BACKEND_CRASHED, 4007, ERROR)                                                                 \
  X (CONNECTION_SILENT, 4008, WARN)                                                                \
  X (DOMAIN_CUT, 4009, WARN)                                                                       \
  X (DOMAIN_REACHED, 4010, INFO)                                                                   \
  X (BACKEND_SAID_LEAVING, 4011, INFO)                                                             \
  X (BACKEND_UNAVAILABLE, 4012, INFO)                                                              \
  X (ANSWER_UNKNOWN_FORM, 4013, WARN)                                                              \
  X (BACKEND_MISSING, 4014, INFO)                                                                  \
  X (ORDER_SENT, 4101, INFO)                                                                       \
  X (ORDER_REFUSED, 4102, WARN)                                                                    \
  X (ORDER_CONFIRMED, 4103, INFO)                                                                  \
  X (PLATFORM_LOST, 5001, WARN)                                                                    \
  X (PLATFORM_BACK, 5002, INFO)                                                                    \
  X (READER_STARTED, 5003, INFO)                                                                   \
  X (READER_STOPPED, 5004, INFO)                                                                   \
  X (STORE_ERA, 5005, WARN)                                                                        \
  X (WATCH_LOST, 5006, WARN)                                                                       \
  X (ANSWER_DISCARDED, 5007, INFO)                                                                 \
  X (LEASE_ACQUIRED, 5101, INFO)                                                                   \
  X (LEASE_LOST, 5102, WARN)                                                                       \
  X (CLAIM_UNCERTAIN, 5201, WARN)                                                                  \
  X (CLAIM_SHARD_FULL, 5202, ERROR)                                                                \
  X (PEER_REFUSED, 6001, WARN)                                                                     \
  X (PEER_VERSION, 6002, WARN)                                                                     \
  X (PEER_UNSENT, 6003, WARN)

typedef enum
{
#define TT_LOG_ENUM(id, number, level) TT_LOG_##id = (number),
  TT_LOG_LIST (TT_LOG_ENUM)
#undef TT_LOG_ENUM
} TtLogEvent;
