/// State of the `notice` controller: what backend servers said about themselves in their responses.
#pragma once

#include "tarragontrack/board/list.h"
#include <stdbool.h>
#include <stdint.h>

enum
{
  TT_MAX_NOTICES = 2048, ///< processes of backend servers; the least recently noticed is replaced
  TT_NOTICE_BUCKETS = 512,
  TT_PEER_MAX_NOTICES = 16 ///< leaving processes in one message to another daemon
};

/// A process of a backend server that said that it leaves.
typedef struct
{
  uint64_t backend_id;
  uint64_t process_start_ms;
} TtPeerNotice;

/// What one process of a backend server said. Valid until it is replaced, because the process can
/// be listed again after it was removed.
typedef struct
{
  TtLink link;        ///< on TtNoticeSection.notices or TtNoticeSection.free
  TtLink bucket_link; ///< on TtNoticeSection.buckets
  uint64_t backend_id;
  uint64_t process_start_ms;
  bool leaving;
  bool leaving_seen_here;       ///< in a response to this daemon; advertised to the others
  int64_t unavailable_until_us; ///< end of the longest time that a rejection named; 0 = none
  int64_t noticed_us;           ///< time of the last response or message that stated something
} TtNotice;

typedef struct
{
  TtList notices; ///< most recently noticed first
  TtList buckets[TT_NOTICE_BUCKETS];
  TtList free;
  TtNotice *pool;
  bool leaving_changed; ///< `registry` has yet to apply a process that leaves
} TtNoticeSection;

typedef struct
{
  int64_t unavailable_until_us; ///< TtNotice.unavailable_until_us of the current process
} TtNoticeBackend;
