/// Private types of the caller server, for io/caller_*.c only.
#pragma once

#include "tarragontrack/io/caller_server.h"
#include <h2o.h>

enum
{
  TT_CALLER_BUCKETS = 1024,
  TT_CALLER_SMALL_PART_BYTES = 16384 ///< unsent bytes that each response may have
};

typedef struct TtCallerRecord TtCallerRecord;

/// Allocated in the memory pool of the h2o request, so that a dispose callback runs when h2o frees
/// the request.
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
  char *storage;           ///< memory of the headers, strings and body of `call`
  size_t charged_bytes;    ///< for the storage, and for the copy that an attempt sends
  bool close_reported;     ///< TT_EVENT_CALLER_CLOSED was posted
  bool finished_by_board;  ///< the board has finished the request
  bool response_started;   ///< the response head was passed to h2o
  bool response_ended;     ///< no more data will be appended
  bool response_truncated; ///< the incomplete response must end with a connection or stream error
  bool chunked;            ///< the response is framed in chunks here, not by h2o
  bool sending;            ///< h2o is sending `inflight` and has not called on_proceed()
  bool awaiting_writable;  ///< the writer is paused until on_writable
  bool final_sent;         ///< the last bytes or the error were passed to h2o
  h2o_buffer_t *unsent;    ///< response bytes not passed to h2o yet
  h2o_buffer_t *inflight;  ///< response bytes that h2o is sending
  char chunk_head[24];     ///< size line of the chunk that h2o is sending
};

struct TtCallerServer
{
  TtFront front;
  TtCallerServerOptions options;
  TtHttpServer *http;
  size_t unsent_bytes; ///< of all responses, those included that h2o is sending
  TtList buckets[TT_CALLER_BUCKETS];
  TtList open_records;
  /// Records to be freed by the callback of TtCallerServer.free_timer, linked by
  /// TtCallerRecord.open_link.
  TtList released_records;
  uv_timer_t disconnect_timer;
  uv_timer_t free_timer;
};

/// Schedules a record to be freed if both the board and h2o are done with the request; otherwise
/// does nothing.
void tt_caller_record_release (TtCallerRecord *record);

/// Passes the bytes in TtCallerRecord.unsent to h2o unless h2o is still sending earlier ones.
void tt_caller_record_flush (TtCallerRecord *record);
