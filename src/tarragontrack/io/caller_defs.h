/// Private types of the caller server, for io/caller_*.c only.
#pragma once

#include "tarragontrack/io/caller_server.h"
#include <h2o.h>

enum
{
  TT_CALLER_BUCKETS = 1024
};

typedef struct TtCallerRecord TtCallerRecord;

/// Allocated in the h2o request's memory pool; its dispose callback runs when h2o frees the
/// request.
typedef struct
{
  TtCallerRecord *record;
} TtCallerDisposeHook;

struct TtCallerRecord
{
  TtLink link;      ///< on TtCallerServer.buckets
  TtLink open_link; ///< on TtCallerServer.open_records
  TtCallerCall call;
  TtCallerServer *server;
  h2o_req_t *req; ///< NULL after the connection or stream was closed
  h2o_generator_t generator;
  char *storage;           ///< headers, texts and body of `call`
  bool close_reported;     ///< TT_EVENT_CALLER_CLOSED was posted
  bool finished_by_board;  ///< the board has finished the request
  bool response_started;   ///< the response head was passed to h2o
  bool response_ended;     ///< no more data will be appended
  bool response_truncated; ///< the incomplete response must end with a connection or stream error
  bool sending;            ///< h2o is sending `inflight`
  bool awaiting_writable;  ///< the writer is paused until on_writable
  bool final_sent;
  h2o_buffer_t *waiting;
  h2o_buffer_t *inflight;
};

struct TtCallerServer
{
  TtFront front;
  TtCallerOptions options;
  TtHttpServer *http;
  TtList buckets[TT_CALLER_BUCKETS];
  TtList open_records;
  /// Linked by TtCallerRecord.open_link; TtCallerServer.free_timer frees the records.
  TtList released_records;
  uv_timer_t disconnect_timer;
  uv_timer_t free_timer;
};

/// Schedules the free of a record after both the board has finished the request and the connection
/// has released it; otherwise does nothing.
void tt_caller_record_release (TtCallerRecord *record);

/// Passes waiting bytes to h2o unless it is still sending earlier ones.
void tt_caller_record_flush (TtCallerRecord *record);
