/// Section of `order` on the board: the models whose engines this daemon may give orders to.
#pragma once

#include "tarragontrack/board/limits_defs.h"
#include "tarragontrack/board/object_defs.h"
#include <stdbool.h>
#include <stdint.h>

enum
{
  TT_ORDER_ENGINES = 128 ///< engines of one model in an object orders/MODEL
};

/// The wanted roles of one model's engines.
typedef struct
{
  char model[TT_NAME_MAX];
  uint64_t version; ///< of the object orders/MODEL
  bool known;       ///< `wanted` is the object's content, or what was written to it
  bool unwritten;   ///< `wanted` is not in the object yet; no order goes out
  uint64_t call;    ///< open platform call; 0 = none
  bool call_is_write;
  uint64_t fencing;     ///< holding for which the object was read
  int64_t next_load_us; ///< the weight store allows no load before this time
  int64_t next_idle_us; ///< no engine is unloaded before this time
  TtWantedRole wanted[TT_ORDER_ENGINES];
  uint32_t count;
  TtObject object; ///< content of the open write
} TtOrderModel;

/// BOUNDS     TT_MAX_LEASES models; TT_ORDER_ENGINES engines each, more get no orders
typedef struct
{
  int64_t next_check_us;
  TtOrderModel *models;
  uint32_t count;
} TtOrderSection;
