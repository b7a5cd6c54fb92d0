/// Types of the load generator.
#pragma once

#include "tarragontrack/board/list.h"
#include "tarragontrack/codec/sse.h"
#include "tarragontrack/io/http_client.h"
#include <glib.h>
#include <gsl/gsl_rng.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

enum
{
  LOAD_MAX_TARGETS = 16,
  LOAD_MAX_KINDS = 16,
  LOAD_MAX_ACCOUNTS = 32,
  LOAD_NAME_MAX = 48,
  LOAD_KEY_MAX = 64,
  LOAD_URL_MAX = 128,
  LOAD_NO_TARGET = -1
};

typedef enum
{
  LOAD_TYPE_STREAM, ///< streamed chat completion
  LOAD_TYPE_CHAT,   ///< plain chat completion
  LOAD_TYPE_CALL,   ///< GET of a plain service
  LOAD_TYPE_GRANT,  ///< POST that must run at most once, with an idempotency key
  LOAD_TYPE_COUNT
} LoadType;

typedef enum
{
  LOAD_COMPLETE,    ///< complete response that matches the request
  LOAD_WRONG,       ///< response that differs from the expected one
  LOAD_CUT,         ///< truncated response, with or without an explicit error
  LOAD_NOT_RUN,     ///< X-Outcome: not-run
  LOAD_UNKNOWN,     ///< X-Outcome: unknown
  LOAD_ERROR,       ///< other status than 200 or 201, without a known X-Outcome
  LOAD_TIMEOUT,     ///< no complete response within the time limit
  LOAD_UNREACHABLE, ///< no target accepted the connection
  LOAD_OUTCOME_COUNT
} LoadOutcome;

typedef struct
{
  char name[LOAD_NAME_MAX];
  double weight;
} LoadAccount;

/// Statistics of one kind of work. Times are in milliseconds.
typedef struct
{
  uint64_t outcomes[LOAD_OUTCOME_COUNT];
  GArray *latencies_ms; ///< double; from the scheduled send time to the end of a complete response
  GArray *first_token_ms; ///< double; from the scheduled send time to the first token, complete
                          ///< streams only
  GArray *token_gaps_ms;  ///< double; between tokens, complete streams only
  uint64_t tokens;
  uint64_t prompt_tokens;
  uint64_t cached_tokens;
  uint64_t later_turn_prompt_tokens; ///< of all turns but the first of a chat
  uint64_t later_turn_cached_tokens;
} LoadStatistics;

typedef struct
{
  char name[LOAD_NAME_MAX];
  double weight;
  LoadType type;
  uint32_t mean_response_tokens; ///< mean number of tokens in a response
  LoadStatistics work_statistics;
} LoadKind;

typedef struct
{
  char url[LOAD_URL_MAX];       ///< base URL of the port for callers
  char ready_url[LOAD_URL_MAX]; ///< URL of /readyz; empty = always treated as ready
  bool ready;
  bool probing;           ///< a readiness probe is in flight
  unsigned probe_status;  ///< HTTP status of the last readiness probe
  uint64_t requests_sent; ///< requests sent to it, retries included
  struct Load *load;
} LoadTarget;

/// A chat of several turns. Its prompt grows with each turn.
typedef struct
{
  TtLink link; ///< on Load.chats between two turns
  uint64_t number;
  const LoadAccount *account;
  LoadKind *kind;
  uint32_t turns; ///< turns sent so far
  uint32_t turns_left;
  int64_t resume_us;         ///< earliest time of the next turn
  GString *messages;         ///< JSON text of all messages, without the array brackets
  char route[LOAD_NAME_MAX]; ///< last X-Chat-Route header received
} LoadChat;

/// A request, from its creation to its outcome. The second sending of a grant (LOAD_TYPE_GRANT)
/// is a separate request.
typedef struct
{
  struct Load *load;
  uint64_t number;
  LoadKind *kind;
  const LoadAccount *account;
  LoadChat *chat;         ///< NULL for calls of plain services
  char key[LOAD_KEY_MAX]; ///< Idempotency-Key header of calls and grants
  GString *body;
  uint32_t max_tokens;
  int64_t scheduled_us;      ///< scheduled send time
  int64_t last_token_us;     ///< arrival of the last token
  double first_token_ms;     ///< time to the first token; below 0 = no token yet
  GArray *token_gaps_ms;     ///< double, milliseconds
  uint32_t connect_attempts; ///< attempts without a connection to a target
  uint32_t unknown_retries;  ///< responses with the outcome "unknown" to a repeated grant
  int target;                ///< index; LOAD_NO_TARGET before the first attempt
  int avoid_target; ///< target of the first sending of a repeated grant; else LOAD_NO_TARGET
  bool is_repeat;   ///< second sending of a grant
  unsigned status;
  char outcome[LOAD_NAME_MAX]; ///< X-Outcome header of the response
  GString *response;
  size_t scanned_bytes; ///< bytes of the response that the SSE scanner has consumed
  TtSseScan scan;
  char url[2 * LOAD_URL_MAX];
} LoadRequest;

typedef struct
{
  double rate;       ///< requests per second
  double duration_s; ///< period in which requests arrive
  int seed;
  double turns;           ///< mean number of turns of a chat
  double pause_ms;        ///< mean pause between the turns of a chat
  int idle_connections;   ///< idle connections to the first target during the run
  int system_bytes;       ///< size of an account's system prompt
  int message_bytes;      ///< mean size of a user's message
  int timeout_ms;         ///< limit for one request
  double repeat_fraction; ///< fraction of the grants that are sent a second time, to another target
  char *model;
  char *service_path; ///< of the plain service
  char *report_path;  ///< path of the JSON report
  char **targets;
  char **kinds;
  char **accounts;
  char **services;           ///< base URLs of service stand-ins
  gboolean require_complete; ///< the run fails unless all responses are complete and each grant ran
} LoadOptions;

/// Executions of grants as the service stand-ins recorded them.
typedef struct
{
  uint64_t distinct_grants;
  uint64_t grants_by_runs[3];    ///< number of grants that ran never, once, more than once
  uint64_t ran_after_not_run;    ///< grants that ran although the response said "not-run"
  uint64_t complete_but_not_run; ///< grants that did not run although their response was complete
  bool counts_received;          ///< the counts of all stand-ins arrived and are well-formed
} LoadExecutions;

typedef struct Load
{
  LoadOptions options;
  uv_loop_t loop;
  TtHttpClient *http;
  gsl_rng *random;
  LoadTarget targets[LOAD_MAX_TARGETS];
  int target_count;
  int next_target;
  LoadKind kinds[LOAD_MAX_KINDS];
  int kind_count;
  LoadAccount accounts[LOAD_MAX_ACCOUNTS];
  int account_count;
  TtList chats; ///< LoadChat.link; chats between two turns
  uint64_t chat_count;
  uint64_t request_count;
  uint64_t open_requests;     ///< requests without an outcome
  uint64_t connect_retries;   ///< refused connections that were retried at another target
  uint64_t unknown_retries;   ///< retries of repeated grants after the outcome "unknown"
  GArray *send_lags_ms;       ///< double; delay of requests after their scheduled send time
  GHashTable *grant_outcomes; ///< idempotency key to LoadOutcome + 1 of the first sending
  int64_t start_us;
  int64_t next_arrival_us; ///< scheduled time of the next arrival
  int64_t arrivals_end_us; ///< no request arrives from this time on
  int64_t last_end_us;     ///< time of the last outcome
  int arrival_timer; ///< timerfd for arrivals: libuv's timers have a resolution of 1 ms, too coarse
                     ///< for short latencies
  uv_poll_t arrival_timer_poll;
  uv_timer_t probe_timer;
  uv_tcp_t *idle_sockets; ///< LoadOptions.idle_connections sockets
  int idle_open_count;    ///< number of established idle connections
  int idle_failed_count;  ///< number of idle connections that failed
  bool arrivals_done;
  int open_service_calls; ///< open calls to the service stand-ins for their execution counts
  GString *service_responses[LOAD_MAX_TARGETS];
  int service_codes[LOAD_MAX_TARGETS];
  LoadExecutions executions;
} Load;
