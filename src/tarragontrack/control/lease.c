#include "tarragontrack/board/board.h"
#include "tarragontrack/control/controllers.h"

TtController
tt_lease_controller (void)
{
  return (TtController){ .name = "lease" };
}
