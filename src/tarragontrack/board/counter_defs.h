/// Counters of the daemon. docs/counters.md documents them; CI checks that both lists are equal.
#pragma once

// X (enum suffix, Prometheus name, help text)
#define TT_COUNTER_LIST(X)                                                                         \
  X (REQUESTS, "tarragontrack_requests_total", "requests that arrived")                            \
  X (COMPLETE, "tarragontrack_requests_complete_total", "requests answered whole")                 \
  X (NOT_RUN, "tarragontrack_requests_not_run_total", "requests answered not run")                 \
  X (UNKNOWN, "tarragontrack_requests_unknown_total", "requests answered unknown")                 \
  X (CUT, "tarragontrack_requests_cut_total", "answers ended with an explicit error")              \
  X (RECORDED, "tarragontrack_requests_recorded_total",                                            \
     "requests answered with a recorded outcome")                                                  \
  X (INVALID, "tarragontrack_requests_invalid_total", "requests refused as wrong")                 \
  X (CALLERS_REFUSED, "tarragontrack_callers_refused_total",                                       \
     "requests refused before they were read whole")                                               \
  X (CALLERS_CLOSED, "tarragontrack_callers_closed_total",                                         \
     "connections of callers closed without an answer to make room or after a time limit")         \
  X (SHED, "tarragontrack_requests_shed_total", "requests shed by admission")                      \
  X (ATTEMPTS, "tarragontrack_attempts_total", "attempts dispatched")                              \
  X (RETRIES, "tarragontrack_attempts_retry_total", "attempts after a failed one")                 \
  X (HEDGES, "tarragontrack_attempts_hedge_total", "attempts beside an open one")                  \
  X (LATE_RESPONSES, "tarragontrack_answers_late_total", "answers of closed attempts, discarded")  \
  X (TOKENS, "tarragontrack_tokens_relayed_total", "tokens relayed to callers")                    \
  X (CACHED_TOKENS, "tarragontrack_tokens_cached_total", "prompt tokens that engines had cached")  \
  X (PROMPT_TOKENS, "tarragontrack_tokens_prompt_total", "prompt tokens sent to engines")          \
  X (PLACED_HOME, "tarragontrack_placed_home_total", "chats placed on the first of their ranking") \
  X (PLACED_MOVED, "tarragontrack_placed_moved_total", "chats placed elsewhere")                   \
  X (PLACED_SPILL, "tarragontrack_placed_spill_total", "chats placed in another failure domain")   \
  X (EJECTIONS, "tarragontrack_ejections_total", "backend servers ejected as stragglers")          \
  X (CRASHES, "tarragontrack_backend_crashes_total", "backend servers that crashed at work")       \
  X (BLOCKED, "tarragontrack_requests_blocked_total", "requests stopped after crashes")            \
  X (LEAVING_NOTICES, "tarragontrack_backend_leaving_notices_total",                               \
     "backend servers that said in a response that they leave")                                    \
  X (UNAVAILABLE_NOTICES, "tarragontrack_backend_unavailable_notices_total",                       \
     "times that a backend server rejected a request and named a time to leave it alone")          \
  X (UNKNOWN_FORMS, "tarragontrack_answers_unknown_form_total",                                    \
     "answers with bytes of no known form")                                                        \
  X (QUARANTINED_PARTS, "tarragontrack_prompt_parts_quarantined_total",                            \
     "parts of prompts stopped after crashes")                                                     \
  X (CLAIMS, "tarragontrack_claims_total", "claims owned")                                         \
  X (CLAIM_WRITES, "tarragontrack_claim_writes_total", "conditional updates of claim shards")      \
  X (PLATFORM_CALLS, "tarragontrack_platform_calls_total", "calls to the platform")                \
  X (PLATFORM_ERRORS, "tarragontrack_platform_errors_total", "platform calls without an answer")   \
  X (STORE_ERAS, "tarragontrack_store_eras_total", "returns of the platform's store from a copy")  \
  X (WATCHES_LOST, "tarragontrack_store_watches_lost_total",                                       \
     "watches that did not deliver what another call showed")                                      \
  X (ANSWERS_DISCARDED, "tarragontrack_store_answers_discarded_total",                             \
     "answers of the platform's store from an earlier era or to a call that was given up")         \
  X (PEER_SENT, "tarragontrack_peer_messages_sent_total", "messages sent to daemons")              \
  X (PEER_SENT_BYTES, "tarragontrack_peer_bytes_sent_total", "bytes sent to daemons")              \
  X (PEER_RECEIVED, "tarragontrack_peer_messages_received_total", "messages from daemons")         \
  X (PEER_RECEIVED_BYTES, "tarragontrack_peer_bytes_received_total", "bytes from daemons")         \
  X (PEER_REFUSED, "tarragontrack_peer_messages_refused_total", "messages that failed a check")    \
  X (PEER_UNSENT, "tarragontrack_peer_messages_unsent_total", "messages that were not sent")       \
  X (CONFIG_APPLIED, "tarragontrack_documents_in_force_total", "documents put in force")           \
  X (CONFIG_REFUSED, "tarragontrack_documents_refused_total", "documents refused")                 \
  X (LEASES_LOST, "tarragontrack_leases_lost_total", "leases lost before they were released")      \
  X (ORDERS, "tarragontrack_orders_total", "orders sent to engines")                               \
  X (ORDERS_REFUSED, "tarragontrack_orders_refused_total", "orders refused by engines")            \
  X (POOL_FULL, "tarragontrack_pool_full_total", "records refused because a bound was reached")

typedef enum
{
#define TT_COUNTER_ENUM(id, name, help) TT_COUNT_##id,
  TT_COUNTER_LIST (TT_COUNTER_ENUM)
#undef TT_COUNTER_ENUM
      TT_COUNT_END
} TtCounterId;
