#include "tarragontrack/board/board.h"
#include "tarragontrack/control/controllers.h"

TtController
tt_order_controller (void)
{
  return (TtController){ .name = "order" };
}
