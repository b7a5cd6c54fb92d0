/// Types of the load tool.
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
  LOAD_WHOLE,       ///< the whole answer of the request itself
  LOAD_WRONG,       ///< an answer that differs from the one that the request must get
  LOAD_CUT,         ///< ended before its end, with or without an explicit error
  LOAD_NOT_RUN,     ///< X-Outcome: not-run
  LOAD_UNKNOWN,     ///< X-Outcome: unknown
  LOAD_ERROR,       ///< another status than 200 without X-Outcome
  LOAD_TIMEOUT,     ///< no whole answer within the time limit
  LOAD_UNREACHABLE, ///< no target took the connection
  LOAD_OUTCOME_COUNT
} LoadOutcome;

typedef struct
{
  char name[LOAD_NAME_MAX];
  double weight;
} LoadAccount;

/// Numbers of one kind of work. Times are in milliseconds.
typedef struct
{
  uint64_t outcomes[LOAD_OUTCOME_COUNT];
  GArray *total; ///< double; from the intended time of sending to the end of a whole answer
  GArray *first; ///< double; to the first token of a whole stream
  GArray *gaps;  ///< double; between tokens of whole streams
  uint64_t tokens;
  uint64_t prompt_tokens;
  uint64_t cached_tokens;
  uint64_t return_prompt_tokens; ///< of turns after a chat's first one
  uint64_t return_cached_tokens;
} LoadNumbers;

typedef struct
{
  char name[LOAD_NAME_MAX];
  double weight;
  LoadType type;
  uint32_t tokens; ///< mean length of an answer
  LoadNumbers numbers;
} LoadKind;

typedef struct
{
  char url[LOAD_URL_MAX];       ///< of the callers' port
  char ready_url[LOAD_URL_MAX]; ///< empty: always ready
  bool ready;
  bool probing;
  unsigned status;
  uint64_t sent;
  struct Load *load;
} LoadTarget;

/// A chat that returns. Its prompt grows with each turn.
typedef struct
{
  TtLink link; ///< on Load.chats while it pauses
  uint64_t number;
  const LoadAccount *account;
  LoadKind *kind;
  uint32_t turns;
  uint32_t turns_left;
  int64_t due_us; ///< end of the pause
  GString *messages;
  char route[LOAD_NAME_MAX]; ///< last X-Chat-Route
} LoadChat;

typedef struct
{
  struct Load *load;
  uint64_t number;
  LoadKind *kind;
  const LoadAccount *account;
  LoadChat *chat;         ///< NULL for calls of plain services
  char key[LOAD_KEY_MAX]; ///< Idempotency-Key of calls and grants
  GString *body;
  uint32_t max_tokens;
  int64_t intended_us;
  int64_t last_us; ///< arrival of the last token
  double first_ms; ///< time to the first token; below 0 = none yet
  GArray *gaps;    ///< double, milliseconds
  uint32_t tries;  ///< targets that took no connection
  uint32_t asks;   ///< answers "unknown" to a repeated grant
  int target;      ///< index; LOAD_NO_TARGET before the first try
  int avoid;       ///< target of the first sending of a repeated grant
  bool repeated;   ///< second sending of a grant
  unsigned status;
  char outcome[LOAD_NAME_MAX]; ///< X-Outcome
  GString *answer;
  size_t scanned; ///< bytes of the answer that were read as events
  TtSseScan scan;
  char url[2 * LOAD_URL_MAX];
} LoadRequest;

typedef struct
{
  double rate;       ///< requests a second
  double duration_s; ///< of the arrivals
  int seed;
  double turns;      ///< mean number of turns of a chat
  double pause_ms;   ///< mean pause between the turns of a chat
  int idle;          ///< idle connections to the first target during the run
  int system_bytes;  ///< size of an account's system prompt
  int message_bytes; ///< mean size of a user's message
  int timeout_ms;    ///< limit for one request
  double repeat;     ///< part of the grants that are sent again at another target
  char *model;
  char *path; ///< of the plain service
  char *json; ///< file for the report
  char **targets;
  char **kinds;
  char **accounts;
  char **services; ///< base URLs of service stand-ins
  gboolean all_whole;
} LoadOptions;

/// Executions of grants as the service stand-ins recorded them.
typedef struct
{
  uint64_t sent;    ///< different grants
  uint64_t ran[3];  ///< grants that ran never, once, more often
  uint64_t denied;  ///< grants that ran although the caller was told "not run"
  uint64_t missing; ///< grants with a whole answer that did not run
  bool read;        ///< all stand-ins answered
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
  TtList chats; ///< LoadChat.link, pausing
  uint64_t chat_count;
  uint64_t request_count;
  uint64_t open;
  uint64_t retries;   ///< connections that were refused and tried at another target
  uint64_t asked;     ///< repeated grants that were sent once more after the outcome "unknown"
  GArray *lags;       ///< double; how late requests were sent, milliseconds
  GHashTable *grants; ///< key to outcome + 1 of its last sending
  int64_t start_us;
  int64_t next_us; ///< intended time of the next arrival
  int64_t end_us;  ///< no arrivals after this
  int64_t last_end_us;
  int clock; ///< timerfd: libuv's timers have a resolution of 1 ms, too coarse for short latencies
  uv_poll_t clock_poll;
  uv_timer_t probe_timer;
  uv_tcp_t *idle; ///< LoadOptions.idle connections
  int idle_open;
  int idle_failed;
  bool arrivals_done;
  int service_calls;
  GString *service_text[LOAD_MAX_TARGETS];
  int service_codes[LOAD_MAX_TARGETS];
  LoadExecutions executions;
} Load;
