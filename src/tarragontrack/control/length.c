#include "tarragontrack/board/board.h"
#include "tarragontrack/control/controllers.h"

TtController
tt_length_controller (void)
{
  return (TtController){ .name = "length" };
}
