/// State of `poison`: fingerprints of requests that ran on a backend server when it crashed.
#pragma once

#include "tarragontrack/board/list.h"
#include <stdbool.h>
#include <stdint.h>

enum
{
  TT_MAX_SUSPECTS = 1024 ///< fingerprints; the oldest is replaced
};

typedef struct
{
  uint64_t fingerprint; ///< hash of client account and body
  bool suspect;         ///< must run beside no other suspect
} TtPoisonRequest;

typedef struct
{
  TtLink link;
  uint64_t fingerprint;
  uint32_t strikes;
  uint64_t last_backend_id;
  int64_t struck_us;
  int64_t blocked_until_us; ///< 0 = not blocked
} TtSuspect;

typedef struct
{
  TtList suspects; ///< most recently struck first
  TtList free;
  TtSuspect *pool;
} TtPoisonSection;
