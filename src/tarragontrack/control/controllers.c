#include "tarragontrack/control/controllers.h"
#include "tarragontrack/board/board.h"

typedef TtController (*ControllerFactory) (void);

static int
add_controllers (TtBoard *board, const ControllerFactory *factories, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      TtController controller = factories[i]();
      int code = tt_board_add_controller (board, &controller);

      if (code < 0)
        return code;
    }
  return TT_OK;
}

int
tt_controllers_add_leased (TtBoard *board)
{
  // `evidence` judges the era of an answer before other controllers read it. `retry` runs after all
  // other controllers that read attempts, because it closes them.
  const ControllerFactory factories[] = {
    tt_evidence_controller, tt_roster_controller,   tt_member_controller, tt_config_controller,
    tt_lease_controller,    tt_acceptor_controller, tt_health_controller, tt_length_controller,
    tt_poison_controller,   tt_admit_controller,    tt_claim_controller,  tt_share_controller,
    tt_place_controller,    tt_retry_controller,    tt_order_controller,  tt_drain_controller,
    tt_intake_controller,
  };

  return add_controllers (board, factories, sizeof factories / sizeof factories[0]);
}

int
tt_controllers_add_routed (TtBoard *board)
{
  // `feed` marks the first page of a list before other controllers read it. `registry` applies what
  // `notice` recorded. `reader` passes on what
  // `registry` and `routes` have applied. `recovery` closes
  // attempts, so it runs after all other controllers that read them.
  const ControllerFactory factories[] = {
    tt_feed_controller,       tt_notice_controller,   tt_registry_controller, tt_routes_controller,
    tt_fleet_controller,      tt_reader_controller,   tt_breaker_controller,  tt_poison_controller,
    tt_quarantine_controller, tt_dispatch_controller, tt_recovery_controller, tt_drain_controller,
    tt_intake_controller,
  };

  return add_controllers (board, factories, sizeof factories / sizeof factories[0]);
}
