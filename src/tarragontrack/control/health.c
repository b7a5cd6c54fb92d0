#include "tarragontrack/board/board.h"
#include "tarragontrack/control/controllers.h"

TtController
tt_health_controller (void)
{
  return (TtController){ .name = "health" };
}
