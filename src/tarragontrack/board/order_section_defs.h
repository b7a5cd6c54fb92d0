/// Section of `order` on the board: the models to whose engines this daemon may send orders.
#pragma once

#include "tarragontrack/board/limits_defs.h"
#include "tarragontrack/board/object_defs.h"
#include <stdbool.h>
#include <stdint.h>

enum
{
  TT_ORDER_MAX_ENGINES = 128 ///< maximum engines of one model in an object orders/MODEL
};

/// The wanted roles of the engines of one model.
typedef struct
{
  char model[TT_NAME_MAX];
  uint64_t version;   ///< version of the object orders/MODEL
  bool loaded;        ///< `wanted` equals the object's content as read or written
  bool write_pending; ///< `wanted` has changes that are not written to the object yet; until they
                      ///< are, no orders are sent
  uint64_t call;      ///< open platform call; 0 = none
  bool call_is_write;
  uint64_t fencing_token;  ///< fencing token of the lease term in which the object was read
  int64_t next_load_us;    ///< earliest time at which the weight store permits the next load
  int64_t next_standby_us; ///< earliest time at which an engine may be put on standby
  TtWantedRole wanted[TT_ORDER_MAX_ENGINES];
  uint32_t count;
  TtObject object; ///< content of the open write
} TtOrderModel;

/// BOUNDS     TT_MAX_LEASES models; TT_ORDER_MAX_ENGINES engines each, further engines get
///            no orders
typedef struct
{
  int64_t next_check_us;
  TtOrderModel *models;
  uint32_t count;
} TtOrderSection;
