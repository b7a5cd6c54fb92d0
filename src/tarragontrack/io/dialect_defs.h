/// Dialects: how requests, answers and attempts are written for one kind of deployment. The caller
/// server and the backend client move bytes; a dialect gives them names and formats. Neither
/// decides anything.
#pragma once

#include "tarragontrack/board/board_defs.h"
#include "tarragontrack/codec/sse.h"
#include <stddef.h>

/// One header. Names are in lower case.
typedef struct
{
  const char *name;
  const char *value;
} TtHeader;

typedef struct
{
  TtHeader *entries;
  size_t count;
} TtHeaders;

/// Receives the headers that a dialect writes; both texts are copied.
typedef void (*TtAddHeader) (void *target, const char *name, const char *value);

/// One request of a caller: what a backend server is sent. It is kept until the board has finished
/// it and its connection has let go of it.
typedef struct
{
  uint64_t id;
  TtRequestSpec spec;
  const char *method;
  const char *path; ///< with its query
  const char *host; ///< empty if absent
  TtHeaders headers;
  const char *body;
  size_t body_size;
  uint64_t relaying; ///< attempt whose answer is relayed; 0 = none; set by the backend client
} TtCallerCall;

/// Head of an answer that is relayed.
typedef struct
{
  unsigned status;
  const char *content_type; ///< NULL = not stated
  size_t content_length;    ///< SIZE_MAX = not known
  uint64_t backend_id;
  bool whole;        ///< the whole answer is there
  TtHeaders headers; ///< of the backend server, as far as the dialect keeps them
} TtAnswerHead;

/// What the head of a backend server's answer says.
typedef struct
{
  unsigned status;         ///< in
  bool stream;             ///< in: the request was for a stream
  uint32_t resume_from;    ///< in: tokens that the caller has already
  bool events;             ///< a stream of events, relayed as it arrives
  bool not_executed;       ///< the backend server did not run the request
  uint32_t retry_after_ms; ///< 0 = not told
  TtLoadSample load;
} TtAnswerFacts;

/// Looks up a header of an answer; NULL if it is absent.
typedef const char *(*TtFindHeader) (void *source, const char *name);

typedef struct
{
  void *context;
  bool breaks_cut_streams; ///< a stream that cannot be completed ends with its connection, not with
                           ///< an error event
  bool close_ends_answer;  ///< an answer without a length ends with its connection
  bool new_connections;    ///< each attempt gets a connection of its own, closed after it

  /// Reads a request and makes the event for the board. RETURN 0 or a negative error number.
  int (*read_request) (void *context, const TtBoard *board, TtCallerCall *call, TtEvent *event,
                       TtError *error);
  /// Writes the headers of an answer that is relayed.
  void (*write_answer) (void *context, const TtCallerCall *call, const TtAnswerHead *head,
                        TtAddHeader add, void *target);
  /// Writes an answer of this daemon. RETURN the length of the body.
  size_t (*write_reply) (void *context, const TtCallerCall *call, const TtReplyAction *reply,
                         TtAddHeader add, void *target, char *body, size_t size);
  /// Writes the headers of an attempt.
  void (*write_attempt) (void *context, TtBoard *board, const TtAttemptAction *action,
                         const TtCallerCall *call, TtAddHeader add, void *target);
  /// Reads the head of an attempt's answer. RETURN 0, or a negative error number if the answer
  /// cannot be that of the attempt.
  int (*read_head) (void *context, const TtCallerCall *call, TtId128 token, TtFindHeader find,
                    void *source, TtAnswerFacts *facts, const char **reason);
  /// True if a header of a backend server's answer is relayed.
  bool (*keeps_header) (void *context, const char *name);
  /// Reads the whole events at the front of @data. RETURN their bytes that may be relayed.
  size_t (*scan) (const char *data, size_t size, TtSseScan *scan);
  /// Reads the token counts of a whole answer that is no stream; may be NULL.
  void (*read_usage) (const char *data, size_t size, TtSseScan *scan);
} TtDialect;
