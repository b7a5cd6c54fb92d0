#include "tarragontrack/board/board.h"
#include "tarragontrack/control/controllers.h"

TtController
tt_poison_controller (void)
{
  return (TtController){ .name = "poison" };
}
