#include "tarragontrack/board/board.h"
#include "tarragontrack/control/controllers.h"

TtController
tt_claim_controller (void)
{
  return (TtController){ .name = "claim" };
}
