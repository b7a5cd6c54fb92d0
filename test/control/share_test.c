#include "support/slot_boards.h"
#include "support/test_board.h"
#include "support/unit.h"
#include "tarragontrack/board/backend.h"
#include <math.h>

#define ENGINES 4
/// Longer than the time in which a new slot owner grants no slots.
#define SETTLE_MS 3000

/// Slots of an engine that are leased to all live boards together.
static uint32_t
sum_leased (SlotBoards *fixture, uint32_t engine)
{
  uint32_t leased = 0;

  for (uint32_t i = 0; i < fixture->count; i++)
    {
      const TtShareBackend *share = &slot_boards_engine (fixture, i, engine)->share;

      if (!fixture->dead[i] && share->lease_expires_us > fixture->now_us)
        leased += share->leased_slots;
    }
  return leased;
}

/// Finds an engine that board @lessee does not own.
static uint32_t
find_foreign_engine (SlotBoards *fixture, uint32_t lessee)
{
  for (uint32_t i = 0; i < ENGINES; i++)
    if (slot_boards_engine (fixture, lessee, i)->share.owner_since_us == 0)
      return i;
  CU_FAIL_FATAL ("the lessee owns all engines");
  return 0;
}

/// Sends requests to a board until it has attempts on an engine that another board owns.
static uint32_t
lease_foreign_slots (SlotBoards *fixture, uint32_t lessee)
{
  uint32_t engine = find_foreign_engine (fixture, lessee);

  for (uint64_t chat = 1; chat < 200; chat++)
    {
      if (slot_boards_engine (fixture, lessee, engine)->attempts.count >= 2)
        return engine;
      slot_boards_send_request (fixture, lessee, chat);
    }
  CU_FAIL_FATAL ("no slot was leased");
  return engine;
}

/// Guards against a single daemon that waits for a slot owner or for a lease period.
static void
serve_without_peers (void)
{
  TtBoard *board = test_board_new ("router-0", "alpha");
  TtAction action;

  test_board_load_configuration (board, ENGINES, 100 * TT_SECOND_US);
  (void) test_board_send_request (board, "small", "chat", 7, 100 * TT_SECOND_US);
  CU_ASSERT_PTR_NOT_NULL (test_board_next_action (board, TT_ACTION_DISPATCH, &action));
  tt_board_free (board);
}

/// Guards against a slot owner that keeps the only slot of an idle engine for itself, so that
/// other daemons cannot place a chat on its home engine.
static void
grant_at_low_load (void)
{
  for (uint64_t chat = 1; chat <= 16; chat++)
    {
      SlotBoards fixture;

      slot_boards_open (&fixture, 2, ENGINES);
      slot_boards_run (&fixture, SETTLE_MS);
      slot_boards_send_request (&fixture, 0, chat);
      CU_ASSERT_EQUAL (fixture.boards[0]->counters[TT_COUNT_PLACED_HOME], 1);
      slot_boards_close (&fixture);
    }
}

/// Guards against slots of a failed lessee that are never leased again.
static void
reclaim_slots_of_failed_lessee (void)
{
  SlotBoards fixture;
  uint32_t engine;
  uint32_t owner;
  TtBackendServer *owned;

  slot_boards_open (&fixture, 2, ENGINES);
  slot_boards_run (&fixture, SETTLE_MS);
  engine = lease_foreign_slots (&fixture, 0);
  owner = slot_boards_owner (&fixture, 0, slot_boards_engine (&fixture, 0, engine)->id);
  owned = slot_boards_engine (&fixture, owner, engine);
  CU_ASSERT (owned->share.leases.count >= 1);
  fixture.dead[0] = true;
  slot_boards_run (&fixture, 2100);
  TT_LIST_FOREACH (&owned->share.leases, it)
    {
      const TtSlotLease *lease = TT_CONTAINER_OF (it, TtSlotLease, link);

      CU_ASSERT (lease->member_id == fixture.boards[owner]->member.self->entry.id
                 || lease->expires_us <= fixture.now_us);
    }
  slot_boards_close (&fixture);
}

/// Guards against electing a dead entry host, which only a stale host list names, as slot owner
/// forever.
static void
silent_host_is_not_elected (void)
{
  SlotBoards fixture;
  TtMember *silent_host;

  slot_boards_open (&fixture, 2, ENGINES);
  silent_host = TT_CONTAINER_OF (tt_list_pop (&fixture.boards[0]->member.free), TtMember, link);
  silent_host->entry.id = 77;
  silent_host->entry.domain_id = fixture.boards[0]->domain_id;
  silent_host->listed = true;
  tt_list_append (&fixture.boards[0]->member.all, &silent_host->link);
  slot_boards_run (&fixture, 16000);
  for (uint32_t engine = 0; engine < ENGINES; engine++)
    CU_ASSERT_NOT_EQUAL (slot_boards_engine (&fixture, 0, engine)->share.owner_id, 77);
  slot_boards_close (&fixture);
}

/// Guards against a lessee that stops serving after its slot owner failed, and against one that
/// uses more than its part of the slots.
static void
fall_back_without_owner (void)
{
  SlotBoards fixture;
  uint32_t engine;
  const TtShareBackend *share;

  slot_boards_open (&fixture, 2, ENGINES);
  slot_boards_run (&fixture, SETTLE_MS);
  engine = lease_foreign_slots (&fixture, 0);
  share = &slot_boards_engine (&fixture, 0, engine)->share;
  fixture.dead[1] = true;
  slot_boards_run (&fixture, 1000);
  CU_ASSERT_FALSE (share->uses_fallback);
  slot_boards_run (&fixture, 2000);
  CU_ASSERT_TRUE (share->uses_fallback);
  CU_ASSERT (share->leased_slots >= 1);
  CU_ASSERT (share->leased_slots <= slot_boards_engine (&fixture, 0, engine)->batch_limit / 2);
  slot_boards_close (&fixture);
}

/// Guards against a new slot owner that grants slots which lessees of the previous owner still use.
static void
new_owner_waits_lease_period (void)
{
  SlotBoards fixture;
  uint32_t engine;
  TtBackendServer *owned;

  slot_boards_open (&fixture, 2, ENGINES);
  slot_boards_run (&fixture, SETTLE_MS);
  engine = find_foreign_engine (&fixture, 0);
  owned = slot_boards_engine (&fixture, 0, engine);
  fixture.dead[1] = true;
  slot_boards_set_member_state (&fixture, 1, TT_MEMBER_SUSPECT);
  slot_boards_run (&fixture, 100);
  CU_ASSERT_NOT_EQUAL (owned->share.owner_since_us, 0);
  CU_ASSERT_EQUAL (owned->share.leased_slots, owned->attempts.count);
  slot_boards_run (&fixture, 1700);
  CU_ASSERT_EQUAL (owned->share.leased_slots, owned->attempts.count);
  slot_boards_run (&fixture, 400);
  CU_ASSERT (owned->share.leased_slots > owned->attempts.count);
  slot_boards_close (&fixture);
}

/// Guards against a late or duplicate grant that extends a lease, and against a late request that
/// reverts one.
static void
ignore_outdated_messages (void)
{
  SlotBoards fixture;
  TtEvent event = { .type = TT_EVENT_PEER_MESSAGE };
  TtPeerMessage outdated;
  uint32_t engine;
  uint32_t owner;
  int64_t until_us;
  uint32_t count;

  slot_boards_open (&fixture, 2, ENGINES);
  slot_boards_run (&fixture, SETTLE_MS);
  fixture.captured_type = TT_PEER_SLOT_GRANT;
  engine = lease_foreign_slots (&fixture, 0);
  until_us = slot_boards_engine (&fixture, 0, engine)->share.lease_expires_us;
  fixture.now_us += 30 * TT_MILLISECOND_US;
  event.peer = &fixture.captured_message;
  tt_board_step (fixture.boards[0], &event, fixture.now_us);
  CU_ASSERT_EQUAL (slot_boards_engine (&fixture, 0, engine)->share.lease_expires_us, until_us);
  fixture.captured_type = TT_PEER_SLOT_REQUEST;
  slot_boards_run (&fixture, 1700);
  outdated = fixture.captured_message;
  slot_boards_run (&fixture, 1700);
  owner = slot_boards_owner (&fixture, 0, slot_boards_engine (&fixture, 0, engine)->id);
  CU_ASSERT (fixture.captured_message.share.sequence > outdated.share.sequence);
  fixture.captured_type = TT_PEER_SLOT_GRANT;
  count = fixture.captured_count;
  event.peer = &outdated;
  tt_board_step (fixture.boards[owner], &event, fixture.now_us);
  slot_boards_deliver_messages (&fixture);
  CU_ASSERT_EQUAL (fixture.captured_count, count);
  slot_boards_close (&fixture);
}

/// Guards against a delayed grant with which the lease outlasts the slot owner's record of it.
static void
lease_starts_at_request (void)
{
  SlotBoards fixture;
  TtPeerMessage grant = { .type = TT_PEER_SLOT_GRANT };
  TtEvent event = { .type = TT_EVENT_PEER_MESSAGE, .peer = &grant };
  uint32_t engine;
  const TtShareBackend *share;

  slot_boards_open (&fixture, 2, ENGINES);
  slot_boards_run (&fixture, SETTLE_MS);
  engine = lease_foreign_slots (&fixture, 0);
  share = &slot_boards_engine (&fixture, 0, engine)->share;
  fixture.partitioned[1] = true;
  while (share->request_sequence == 0)
    slot_boards_run (&fixture, 50);
  grant.sender_id = share->owner_id;
  grant.share.sequence = share->request_sequence;
  fixture.now_us += 150 * TT_MILLISECOND_US;
  tt_board_step (fixture.boards[0], &event, fixture.now_us);
  CU_ASSERT_EQUAL (share->request_sequence, 0);
  CU_ASSERT_EQUAL (share->lease_expires_us, share->requested_us + 2 * TT_SECOND_US);
  slot_boards_close (&fixture);
}

/// Guards against a daemon that grants slots of an engine which, according to its own member list,
/// another daemon owns.
static void
non_owner_grants_nothing (void)
{
  SlotBoards fixture;
  uint32_t engine;
  TtPeerMessage request = { .type = TT_PEER_SLOT_REQUEST, .sender_incarnation = 1 };
  TtEvent event = { .type = TT_EVENT_PEER_MESSAGE, .peer = &request };

  slot_boards_open (&fixture, 2, ENGINES);
  slot_boards_run (&fixture, SETTLE_MS);
  engine = find_foreign_engine (&fixture, 0);
  request.sender_id = fixture.boards[1]->member.self->entry.id;
  request.share.sequence = 100000;
  request.share.slot_count = 1;
  request.share.slots[0].backend_id = slot_boards_engine (&fixture, 0, engine)->id;
  request.share.slots[0].slots = 3;
  fixture.captured_type = TT_PEER_SLOT_GRANT;
  tt_board_step (fixture.boards[0], &event, fixture.now_us);
  slot_boards_deliver_messages (&fixture);
  CU_ASSERT_EQUAL (fixture.captured_count, 1);
  CU_ASSERT_EQUAL (fixture.captured_message.share.slots[0].slots, 0);
  CU_ASSERT_EQUAL (fixture.captured_message.share.slots[0].lease_period_ms, 0);
  slot_boards_close (&fixture);
}

/// Guards against a lessee that uses a lease after it expired, e.g. after the process was
/// suspended.
static void
lease_expires_during_suspend (void)
{
  SlotBoards fixture;
  uint32_t engine;
  const TtBackendServer *backend;
  uint32_t used;

  slot_boards_open (&fixture, 2, ENGINES);
  slot_boards_run (&fixture, SETTLE_MS);
  engine = lease_foreign_slots (&fixture, 0);
  backend = slot_boards_engine (&fixture, 0, engine);
  used = backend->attempts.count;
  fixture.partitioned[1] = true;
  fixture.now_us += 5 * TT_SECOND_US;
  for (uint64_t chat = 1; chat < 20; chat++)
    slot_boards_send_request (&fixture, 0, chat);
  CU_ASSERT_EQUAL (backend->attempts.count, used);
  slot_boards_close (&fixture);
}

/// Guards against exceeding an engine's slot limit during a traffic surge at one daemon while
/// another daemon's membership flaps.
static void
bound_holds_in_surge (void)
{
  SlotBoards fixture;
  uint64_t chat = 1;

  slot_boards_open (&fixture, 3, ENGINES);
  slot_boards_run (&fixture, SETTLE_MS);
  for (uint32_t round = 0; round < 60; round++)
    {
      slot_boards_set_member_state (&fixture, 2,
                                    round / 10 % 2 == 0 ? TT_MEMBER_ALIVE : TT_MEMBER_SUSPECT);
      for (uint32_t i = 0; i < 2; i++)
        slot_boards_send_request (&fixture, 0, chat++);
      slot_boards_run (&fixture, 100);
      for (uint32_t engine = 0; engine < ENGINES; engine++)
        CU_ASSERT (sum_leased (&fixture, engine)
                   <= slot_boards_engine (&fixture, 0, engine)->batch_limit);
    }
  for (uint32_t engine = 0; engine < ENGINES; engine++)
    {
      uint32_t load = 0;

      for (uint32_t i = 0; i < fixture.count; i++)
        load += slot_boards_engine (&fixture, i, engine)->attempts.count;
      // 120 requests on four engines: the mean is at most 30.
      CU_ASSERT (load <= (uint32_t) ceil (1.25 * 120 / ENGINES) + 1);
    }
  slot_boards_close (&fixture);
}

/// Guards against both sides of a partition granting the same slots, and against a side that stops
/// serving.
static void
serve_in_partition (void)
{
  SlotBoards fixture;
  uint32_t before;

  slot_boards_open (&fixture, 2, ENGINES);
  slot_boards_run (&fixture, SETTLE_MS);
  fixture.partitioned[1] = true;
  slot_boards_run (&fixture, 3000);
  before = (uint32_t) fixture.boards[0]->counters[TT_COUNT_ATTEMPTS];
  for (uint64_t chat = 1; chat <= ENGINES; chat++)
    slot_boards_send_request (&fixture, 0, chat);
  slot_boards_run (&fixture, 200);
  CU_ASSERT (fixture.boards[0]->counters[TT_COUNT_ATTEMPTS] > before);
  for (uint32_t engine = 0; engine < ENGINES; engine++)
    CU_ASSERT (sum_leased (&fixture, engine) <= 32);
  slot_boards_close (&fixture);
}

static const UnitTest tests[] = {
  { "a host that never sent a message owns no engine", silent_host_is_not_elected },
  { "a single daemon serves immediately", serve_without_peers },
  { "slots of an idle engine are granted to other daemons", grant_at_low_load },
  { "slots of a failed lessee are leased again", reclaim_slots_of_failed_lessee },
  { "lessees of a failed slot owner use their fallback part", fall_back_without_owner },
  { "a new slot owner waits one lease period", new_owner_waits_lease_period },
  { "late and duplicate messages have no effect", ignore_outdated_messages },
  { "a lease starts when its request is sent", lease_starts_at_request },
  { "a daemon that is not the slot owner grants nothing", non_owner_grants_nothing },
  { "a lease expires while the process is suspended", lease_expires_during_suspend },
  { "the load bound holds in a surge with a flapping member", bound_holds_in_surge },
  { "both sides of a partition serve", serve_in_partition },
};

UNIT_MAIN ("share", tests)
