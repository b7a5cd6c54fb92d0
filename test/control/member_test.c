#include "support/sim.h"
#include "support/test_board.h"
#include "support/unit.h"
#include "tarragontrack/board/backend.h"
#include "tarragontrack/board/hash.h"
#include "tarragontrack/control/member.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static Sim *
start_fleet (uint64_t seed, unsigned count)
{
  Sim *sim = sim_new (seed);

  (void) sim_stage_test_document (sim, "demo", TT_DETACHED_WAIT, true);
  for (unsigned i = 0; i < count; i++)
    {
      char name[TT_NAME_MAX];

      (void) snprintf (name, sizeof name, "router-%u", i);
      (void) sim_add_daemon (sim, name, "alpha");
    }
  sim_run (sim, sim->now_us + 20 * TT_SECOND_US);
  return sim;
}

static TtMemberState
state_at (Sim *sim, unsigned at, unsigned of)
{
  const TtMember *member
      = tt_member_find (sim->nodes[at].board, tt_hash_string (sim->nodes[of].name));

  return member != NULL ? member->entry.state : TT_MEMBER_GONE;
}

/// Guards against suspecting live daemons when messages are lost, duplicated or delayed.
static void
keep_members_on_unreliable_network (void)
{
  Sim *sim = start_fleet (1, 12);

  sim->message_loss = 0.3;
  sim->message_duplication = 0.3;
  for (unsigned step = 0; step < 300; step++)
    {
      sim_run (sim, sim->now_us + TT_SECOND_US / 5);
      for (unsigned i = 0; i < 12; i++)
        CU_ASSERT_EQUAL (sim->nodes[i].board->member.live_in_domain, 12);
    }
  sim_free (sim);
}

/// Guards against a dead daemon that stays a member because gossip repeats its old entry, and
/// against a restarted daemon that does not become a member again.
static void
detect_death_and_restart (void)
{
  Sim *sim = start_fleet (2, 6);

  sim_kill_daemon (&sim->nodes[0]);
  sim_run (sim, sim->now_us + 8 * TT_SECOND_US);
  CU_ASSERT_EQUAL (state_at (sim, 1, 0), TT_MEMBER_SUSPECT);
  sim_run (sim, sim->now_us + 15 * TT_SECOND_US);
  for (unsigned i = 1; i < 6; i++)
    CU_ASSERT_EQUAL (state_at (sim, i, 0), TT_MEMBER_GONE);
  sim_run (sim, sim->now_us + 200 * TT_SECOND_US);
  CU_ASSERT_EQUAL (sim->nodes[1].board->member.live_in_domain, 5);
  sim_start_daemon (sim, &sim->nodes[0]);
  sim_run (sim, sim->now_us + 6 * TT_SECOND_US);
  for (unsigned i = 1; i < 6; i++)
    CU_ASSERT_EQUAL (state_at (sim, i, 0), TT_MEMBER_ALIVE);
  sim_free (sim);
}

/// Guards against a daemon that stays suspect after it was paused and resumed.
static void
refute_suspicion (void)
{
  Sim *sim = start_fleet (3, 6);
  uint64_t before = sim->nodes[0].board->member.self->entry.incarnation;

  sim->nodes[0].paused_until_us = sim->now_us + 8 * TT_SECOND_US;
  sim_run (sim, sim->now_us + 7 * TT_SECOND_US);
  CU_ASSERT_EQUAL (state_at (sim, 1, 0), TT_MEMBER_SUSPECT);
  sim_run (sim, sim->now_us + 6 * TT_SECOND_US);
  CU_ASSERT_EQUAL (state_at (sim, 1, 0), TT_MEMBER_ALIVE);
  CU_ASSERT (sim->nodes[0].board->member.self->entry.incarnation > before);
  sim_free (sim);
}

/// Guards against lessees that wait for a slot owner after its graceful shutdown.
static void
announce_shutdown (void)
{
  Sim *sim = start_fleet (4, 6);
  TtEvent drain = { .type = TT_EVENT_DRAIN };

  tt_board_step (sim->nodes[0].board, &drain, sim->now_us);
  sim_run (sim, sim->now_us + TT_SECOND_US / 2);
  for (unsigned i = 1; i < 6; i++)
    CU_ASSERT_EQUAL (state_at (sim, i, 0), TT_MEMBER_LEAVING);
  sim_free (sim);
}

/// Guards against a member table that grows without bound, or that rejects live daemons, when many
/// daemons start and stop.
static void
bound_member_table (void)
{
  TtBoard *board = test_board_new ("router-1", "alpha");
  TtEvent tick = { .type = TT_EVENT_TICK };
  int64_t now_us = TT_SECOND_US;
  TtMemberEntry entry = { .domain_id = board->domain_id, .heartbeat = 1, .incarnation = 1 };

  for (uint64_t i = 0; i < 4L * TT_MAX_MEMBERS; i++)
    {
      entry.id = 1000 + i;
      now_us += TT_SECOND_US / 10;
      tt_member_merge (board, &entry, now_us);
      if (i % 10 == 0)
        tt_board_step (board, &tick, now_us);
      CU_ASSERT_PTR_NOT_NULL (tt_member_find (board, entry.id));
    }
  CU_ASSERT (board->member.all.count <= TT_MAX_MEMBERS);
  tt_board_free (board);
}

/// Guards against control traffic beyond 11 KB/s per daemon in a fleet of 60.
static void
bound_control_traffic (void)
{
  Sim *sim = start_fleet (5, 60);
  uint64_t max_bytes = 0;

  for (unsigned i = 0; i < 60; i++)
    sim->nodes[i].sent_bytes = sim->nodes[i].received_bytes = 0;
  sim_run (sim, sim->now_us + 60 * TT_SECOND_US);
  for (unsigned i = 0; i < 60; i++)
    if (sim->nodes[i].sent_bytes + sim->nodes[i].received_bytes > max_bytes)
      max_bytes = sim->nodes[i].sent_bytes + sim->nodes[i].received_bytes;
  CU_ASSERT (max_bytes / 60 < 11000);
  sim_free (sim);
}

/// Guards against a load bound computed without the engines of other slot owners, and against a
/// forwarded, older load that replaces a newer one.
static void
propagate_loads (void)
{
  Sim *sim = sim_new (6);
  TtBoard *boards[3];
  const TtBackendServer *owned = NULL;

  (void) sim_stage_test_document (sim, "demo", TT_DETACHED_WAIT, true);
  sim_add_engines (sim, 2, "demo", "alpha");
  for (unsigned i = 0; i < 3; i++)
    {
      char name[TT_NAME_MAX];

      (void) snprintf (name, sizeof name, "router-%u", i);
      boards[i] = sim_add_daemon (sim, name, "alpha")->board;
    }
  sim_run (sim, sim->now_us + 10 * TT_SECOND_US);
  for (unsigned i = 0; i < 3; i++)
    {
      TtBackendServer *engine = tt_backend_find (boards[i], tt_hash_string ("demo-alpha-0"));

      if (engine != NULL && engine->share.owner_since_us != 0)
        owned = engine;
    }
  UNIT_REQUIRE (owned != NULL);
  sim_run (sim, sim->now_us + 3 * TT_SECOND_US);
  for (unsigned i = 0; i < 3; i++)
    {
      const TtBackendServer *remote = tt_backend_find (boards[i], owned->id);

      if (remote == owned)
        continue;
      CU_ASSERT_EQUAL (remote->share.gossip_slot_limit, owned->share.slot_limit);
      CU_ASSERT (sim->now_us - remote->share.gossip_us < 3 * TT_SECOND_US);
    }
  sim_free (sim);
}

static const UnitTest tests[] = {
  { "message loss, duplication and delay remove no member", keep_members_on_unreliable_network },
  { "a dead daemon is removed, a restarted one returns", detect_death_and_restart },
  { "a suspected daemon refutes by raising its incarnation", refute_suspicion },
  { "a daemon announces its graceful shutdown", announce_shutdown },
  { "the member table is bounded and accepts live daemons", bound_member_table },
  { "control traffic per daemon is bounded", bound_control_traffic },
  { "engine loads reach the other daemons", propagate_loads },
};

UNIT_MAIN ("member", tests)
