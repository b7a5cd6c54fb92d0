#include "tarragontrack/board/board.h"
#include "tarragontrack/control/controllers.h"

TtController
tt_share_controller (void)
{
  return (TtController){ .name = "share" };
}
