#include "tarragontrack/control/controllers.h"
#include "tarragontrack/board/board.h"

int
tt_controllers_add_all (TtBoard *board)
{
  // `retry` comes after all others that read attempts, because it closes them.
  TtController (*const makers[]) (void) = {
    tt_roster_controller,   tt_member_controller, tt_config_controller, tt_lease_controller,
    tt_acceptor_controller, tt_health_controller, tt_length_controller, tt_poison_controller,
    tt_admit_controller,    tt_claim_controller,  tt_share_controller,  tt_place_controller,
    tt_retry_controller,    tt_order_controller,  tt_drain_controller,
  };

  for (size_t i = 0; i < sizeof makers / sizeof makers[0]; i++)
    {
      TtController controller = makers[i]();
      int code = tt_board_add_controller (board, &controller);

      if (code < 0)
        return code;
    }
  return TT_OK;
}
