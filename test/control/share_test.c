#include "support/share_world.h"
#include "support/unit.h"
#include "support/world.h"
#include "tarragontrack/board/backend.h"
#include <math.h>

#define ENGINES 4
/// Longer than the pause of a new keeper.
#define SETTLE_MS 3000

/// Slots of an engine that all living boards may use now.
static uint32_t
sum_lent (ShareWorld *world, uint32_t engine)
{
  uint32_t lent = 0;

  for (uint32_t i = 0; i < world->count; i++)
    {
      const TtShareBackend *share = &share_world_engine (world, i, engine)->share;

      if (!world->dead[i] && share->lent_until_us > world->now_us)
        lent += share->lent;
    }
  return lent;
}

/// An engine that board @borrower does not keep.
static uint32_t
foreign_engine (ShareWorld *world, uint32_t borrower)
{
  for (uint32_t i = 0; i < ENGINES; i++)
    if (share_world_engine (world, borrower, i)->share.keeper_since_us == 0)
      return i;
  CU_FAIL_FATAL ("the borrower keeps all engines");
  return 0;
}

/// Sends requests to a board until it has attempts on an engine that another one keeps.
static uint32_t
borrow (ShareWorld *world, uint32_t borrower)
{
  uint32_t engine = foreign_engine (world, borrower);

  for (uint64_t chat = 1; chat < 200; chat++)
    {
      if (share_world_engine (world, borrower, engine)->attempts.count >= 2)
        return engine;
      share_world_request (world, borrower, chat);
    }
  CU_FAIL_FATAL ("nothing was borrowed");
  return engine;
}

/// Guards against a single daemon that waits for a keeper or for a loan period.
static void
serve_alone (void)
{
  TtBoard *board = world_board ("router-0", "alpha");
  TtAction action;

  world_start (board, ENGINES, 100 * TT_SECOND_US);
  (void) world_request (board, "small", "chat", 7, 100 * TT_SECOND_US);
  CU_ASSERT_PTR_NOT_NULL (world_next (board, TT_ACTION_DISPATCH, &action));
  tt_board_free (board);
}

/// Guards against a keeper that holds the only slot of an idle engine as its own spare, so that the
/// other daemons' chats miss their home.
static void
lend_at_low_load (void)
{
  for (uint64_t chat = 1; chat <= 16; chat++)
    {
      ShareWorld world;

      share_world_open (&world, 2, ENGINES);
      share_world_run (&world, SETTLE_MS);
      share_world_request (&world, 0, chat);
      CU_ASSERT_EQUAL (world.boards[0]->counters[TT_COUNT_PLACED_HOME], 1);
      share_world_close (&world);
    }
}

/// Guards against slots of a dead borrower that are never lent again.
static void
free_slots_of_dead_borrower (void)
{
  ShareWorld world;
  uint32_t engine;
  uint32_t keeper;
  TtBackendServer *kept;

  share_world_open (&world, 2, ENGINES);
  share_world_run (&world, SETTLE_MS);
  engine = borrow (&world, 0);
  keeper = share_world_keeper (&world, 0, share_world_engine (&world, 0, engine)->id);
  kept = share_world_engine (&world, keeper, engine);
  CU_ASSERT (kept->share.loans.count >= 1);
  world.dead[0] = true;
  share_world_run (&world, 2100);
  TT_LIST_FOREACH (&kept->share.loans, it)
    {
      const TtLoan *loan = TT_CONTAINER_OF (it, TtLoan, link);

      CU_ASSERT (loan->member_id == world.boards[keeper]->member.self->entry.id
                 || loan->expires_us <= world.now_us);
    }
  share_world_close (&world);
}

/// Guards against a dead entry host that only a stale host list names and that keeps engines
/// forever.
static void
skip_unheard_host (void)
{
  ShareWorld world;
  TtMember *unheard;

  share_world_open (&world, 2, ENGINES);
  unheard = TT_CONTAINER_OF (tt_list_pop (&world.boards[0]->member.free), TtMember, link);
  unheard->entry.id = 77;
  unheard->entry.domain_id = world.boards[0]->domain_id;
  unheard->listed = true;
  tt_list_append (&world.boards[0]->member.all, &unheard->link);
  share_world_run (&world, 16000);
  for (uint32_t engine = 0; engine < ENGINES; engine++)
    CU_ASSERT_NOT_EQUAL (share_world_engine (&world, 0, engine)->share.keeper_id, 77);
  share_world_close (&world);
}

/// Guards against a borrower that stops when its keeper dies, and one that uses more than its part.
static void
fall_back_without_keeper (void)
{
  ShareWorld world;
  uint32_t engine;
  const TtShareBackend *share;

  share_world_open (&world, 2, ENGINES);
  share_world_run (&world, SETTLE_MS);
  engine = borrow (&world, 0);
  share = &share_world_engine (&world, 0, engine)->share;
  world.dead[1] = true;
  share_world_run (&world, 1000);
  CU_ASSERT_FALSE (share->without_keeper);
  share_world_run (&world, 2000);
  CU_ASSERT_TRUE (share->without_keeper);
  CU_ASSERT (share->lent >= 1);
  CU_ASSERT (share->lent <= share_world_engine (&world, 0, engine)->batch_limit / 2);
  share_world_close (&world);
}

/// Guards against a new keeper that lends slots which the old keeper's borrowers still use.
static void
wait_as_new_keeper (void)
{
  ShareWorld world;
  uint32_t engine;
  TtBackendServer *kept;

  share_world_open (&world, 2, ENGINES);
  share_world_run (&world, SETTLE_MS);
  engine = foreign_engine (&world, 0);
  kept = share_world_engine (&world, 0, engine);
  world.dead[1] = true;
  share_world_set_state (&world, 1, TT_MEMBER_SUSPECT);
  share_world_run (&world, 100);
  CU_ASSERT_NOT_EQUAL (kept->share.keeper_since_us, 0);
  CU_ASSERT_EQUAL (kept->share.lent, kept->attempts.count);
  share_world_run (&world, 1700);
  CU_ASSERT_EQUAL (kept->share.lent, kept->attempts.count);
  share_world_run (&world, 400);
  CU_ASSERT (kept->share.lent > kept->attempts.count);
  share_world_close (&world);
}

/// Guards against a late or repeated LEND that lengthens a loan, and a late ASK that undoes one.
static void
ignore_old_messages (void)
{
  ShareWorld world;
  TtEvent event = { .type = TT_EVENT_PEER };
  TtPeerMessage old;
  uint32_t engine;
  uint32_t keeper;
  int64_t until_us;
  uint32_t count;

  share_world_open (&world, 2, ENGINES);
  share_world_run (&world, SETTLE_MS);
  world.keep_type = TT_PEER_SHARE_LEND;
  engine = borrow (&world, 0);
  until_us = share_world_engine (&world, 0, engine)->share.lent_until_us;
  world.now_us += 30 * TT_MILLISECOND_US;
  event.peer = &world.kept;
  tt_board_step (world.boards[0], &event, world.now_us);
  CU_ASSERT_EQUAL (share_world_engine (&world, 0, engine)->share.lent_until_us, until_us);
  world.keep_type = TT_PEER_SHARE_ASK;
  share_world_run (&world, 1700);
  old = world.kept;
  share_world_run (&world, 1700);
  keeper = share_world_keeper (&world, 0, share_world_engine (&world, 0, engine)->id);
  CU_ASSERT (world.kept.share.sequence > old.share.sequence);
  world.keep_type = TT_PEER_SHARE_LEND;
  count = world.kept_count;
  event.peer = &old;
  tt_board_step (world.boards[keeper], &event, world.now_us);
  share_world_pump (&world);
  CU_ASSERT_EQUAL (world.kept_count, count);
  share_world_close (&world);
}

/// Guards against a LEND that was delayed and lets the loan outlast the keeper's record of it.
static void
count_loan_from_ask (void)
{
  ShareWorld world;
  TtPeerMessage lend = { .type = TT_PEER_SHARE_LEND };
  TtEvent event = { .type = TT_EVENT_PEER, .peer = &lend };
  uint32_t engine;
  const TtShareBackend *share;

  share_world_open (&world, 2, ENGINES);
  share_world_run (&world, SETTLE_MS);
  engine = borrow (&world, 0);
  share = &share_world_engine (&world, 0, engine)->share;
  world.cut[1] = true;
  while (share->ask_sequence == 0)
    share_world_run (&world, 50);
  lend.sender_id = share->keeper_id;
  lend.share.sequence = share->ask_sequence;
  world.now_us += 150 * TT_MILLISECOND_US;
  tt_board_step (world.boards[0], &event, world.now_us);
  CU_ASSERT_EQUAL (share->ask_sequence, 0);
  CU_ASSERT_EQUAL (share->lent_until_us, share->asked_us + 2 * TT_SECOND_US);
  share_world_close (&world);
}

/// Guards against a daemon that lends slots of an engine which, by its own list, another one keeps.
static void
refuse_when_lists_differ (void)
{
  ShareWorld world;
  uint32_t engine;
  TtPeerMessage ask = { .type = TT_PEER_SHARE_ASK, .sender_incarnation = 1 };
  TtEvent event = { .type = TT_EVENT_PEER, .peer = &ask };

  share_world_open (&world, 2, ENGINES);
  share_world_run (&world, SETTLE_MS);
  engine = foreign_engine (&world, 0);
  ask.sender_id = world.boards[1]->member.self->entry.id;
  ask.share.sequence = 100000;
  ask.share.slot_count = 1;
  ask.share.slots[0].backend_id = share_world_engine (&world, 0, engine)->id;
  ask.share.slots[0].slots = 3;
  world.keep_type = TT_PEER_SHARE_LEND;
  tt_board_step (world.boards[0], &event, world.now_us);
  share_world_pump (&world);
  CU_ASSERT_EQUAL (world.kept_count, 1);
  CU_ASSERT_EQUAL (world.kept.share.slots[0].slots, 0);
  CU_ASSERT_EQUAL (world.kept.share.slots[0].period_ms, 0);
  share_world_close (&world);
}

/// Guards against a borrower that uses a loan after its end, e.g. after a pause of the process.
static void
end_loan_after_pause (void)
{
  ShareWorld world;
  uint32_t engine;
  const TtBackendServer *backend;
  uint32_t used;

  share_world_open (&world, 2, ENGINES);
  share_world_run (&world, SETTLE_MS);
  engine = borrow (&world, 0);
  backend = share_world_engine (&world, 0, engine);
  used = backend->attempts.count;
  world.cut[1] = true;
  world.now_us += 5 * TT_SECOND_US;
  for (uint64_t chat = 1; chat < 20; chat++)
    share_world_request (&world, 0, chat);
  CU_ASSERT_EQUAL (backend->attempts.count, used);
  share_world_close (&world);
}

/// Guards against an engine above its room while one daemon surges and another one flaps.
static void
keep_bound_in_surge (void)
{
  ShareWorld world;
  uint64_t chat = 1;

  share_world_open (&world, 3, ENGINES);
  share_world_run (&world, SETTLE_MS);
  for (uint32_t round = 0; round < 60; round++)
    {
      share_world_set_state (&world, 2, round / 10 % 2 == 0 ? TT_MEMBER_ALIVE : TT_MEMBER_SUSPECT);
      for (uint32_t i = 0; i < 2; i++)
        share_world_request (&world, 0, chat++);
      share_world_run (&world, 100);
      for (uint32_t engine = 0; engine < ENGINES; engine++)
        CU_ASSERT (sum_lent (&world, engine)
                   <= share_world_engine (&world, 0, engine)->batch_limit);
    }
  for (uint32_t engine = 0; engine < ENGINES; engine++)
    {
      uint32_t load = 0;

      for (uint32_t i = 0; i < world.count; i++)
        load += share_world_engine (&world, i, engine)->attempts.count;
      // 120 requests on four engines: the mean is at most 30.
      CU_ASSERT (load <= (uint32_t) ceil (1.25 * 120 / ENGINES) + 1);
    }
  share_world_close (&world);
}

/// Guards against two daemons that lend the same slots: in one partition each serves on its own.
static void
serve_in_partition (void)
{
  ShareWorld world;
  uint32_t before;

  share_world_open (&world, 2, ENGINES);
  share_world_run (&world, SETTLE_MS);
  world.cut[1] = true;
  share_world_run (&world, 3000);
  before = (uint32_t) world.boards[0]->counters[TT_COUNT_ATTEMPTS];
  for (uint64_t chat = 1; chat <= ENGINES; chat++)
    share_world_request (&world, 0, chat);
  share_world_run (&world, 200);
  CU_ASSERT (world.boards[0]->counters[TT_COUNT_ATTEMPTS] > before);
  for (uint32_t engine = 0; engine < ENGINES; engine++)
    CU_ASSERT (sum_lent (&world, engine) <= 32);
  share_world_close (&world);
}

static const UnitTest tests[] = {
  { "a host that was never heard keeps no engine", skip_unheard_host },
  { "a single daemon serves at once", serve_alone },
  { "an idle engine is lent to others", lend_at_low_load },
  { "slots of a dead borrower are lent again", free_slots_of_dead_borrower },
  { "a dead keeper leaves its borrowers a part", fall_back_without_keeper },
  { "a new keeper waits one loan period", wait_as_new_keeper },
  { "late and repeated messages change nothing", ignore_old_messages },
  { "a loan runs from the sending of its ASK", count_loan_from_ask },
  { "a daemon that is not the keeper lends nothing", refuse_when_lists_differ },
  { "a loan ends during a pause", end_loan_after_pause },
  { "the bound holds in a surge with a flapping member", keep_bound_in_surge },
  { "both sides of a partition serve", serve_in_partition },
};

UNIT_MAIN ("share", tests)
