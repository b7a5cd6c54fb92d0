#include "support/sim.h"
#include "support/unit.h"
#include "tarragontrack/board/hash.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/// Creates three failure domains with three daemons each, and one change in force.
static Sim *
start_fleet (uint64_t seed)
{
  static const char *const names[] = { "alpha", "beta", "gamma" };
  Sim *sim = sim_new (seed);

  (void) sim_stage_test_document (sim, "demo", TT_DETACHED_WAIT, true);
  for (unsigned i = 0; i < 9; i++)
    {
      char name[TT_NAME_MAX];

      (void) snprintf (name, sizeof name, "router-%u", i);
      (void) sim_add_daemon (sim, name, names[i % 3]);
    }
  sim_run (sim, sim->now_us + 20 * TT_SECOND_US);
  return sim;
}

/// Runs until the epoch is in force, for at most @limit_s seconds. RETURN elapsed seconds, or a
/// negative number on timeout.
static double
wait_in_force (Sim *sim, uint64_t epoch, int64_t limit_s)
{
  int64_t start_us = sim->now_us;

  while (!sim_epoch_in_force (sim, epoch))
    {
      if (sim->now_us - start_us > limit_s * TT_SECOND_US)
        return -1.0;
      sim_run (sim, sim->now_us + 10 * TT_MILLISECOND_US);
    }
  return (double) (sim->now_us - start_us) / (double) TT_SECOND_US;
}

/// Guards against a lost update when two operators apply changes concurrently: both changes come
/// into force in the order of the head, and each has an audit entry with the hash of the previous
/// entry.
static void
concurrent_applies_are_both_accepted (void)
{
  Sim *sim = start_fleet (1);
  uint64_t first = sim_stage_test_document (sim, "demo", TT_DETACHED_WAIT, true);
  uint64_t second = sim_stage_test_document (sim, "other", TT_DETACHED_WAIT, true);

  CU_ASSERT_EQUAL (second, first + 1);
  CU_ASSERT (wait_in_force (sim, second, 15) >= 0.0);
  sim_run (sim, sim->now_us + 10 * TT_SECOND_US);
  CU_ASSERT_EQUAL (sim_accepted_epoch (sim), second);
  for (unsigned i = 1; i <= 3; i++)
    {
      char key[TT_KEY_MAX];
      const StoreItem *entry;
      const StoreItem *previous;

      (void) snprintf (key, sizeof key, "audit/%u", i);
      entry = sim_find_object (sim, key);
      CU_ASSERT_PTR_NOT_NULL_FATAL (entry);
      if (entry == NULL)
        break;
      CU_ASSERT_EQUAL (entry->object.audit.epoch, i);
      (void) snprintf (key, sizeof key, "audit/%u", i - 1);
      previous = sim_find_object (sim, key);
      if (previous != NULL)
        CU_ASSERT (
            tt_digest_equal (&entry->object.audit.previous_hash, &previous->object.audit.hash));
    }
  sim_free (sim);
}

/// Guards against a write that is repeated or abandoned after its response was lost: each change
/// has to be accepted exactly once.
static void
lost_responses_accept_each_change_once (void)
{
  Sim *sim = start_fleet (2);

  sim->response_loss = 0.4;
  for (unsigned i = 0; i < 5; i++)
    {
      uint64_t epoch = sim_stage_test_document (sim, "demo", TT_DETACHED_WAIT, true);

      CU_ASSERT (wait_in_force (sim, epoch, 15) >= 0.0);
      sim_run (sim, sim->now_us + 30 * TT_SECOND_US);
    }
  sim->response_loss = 0.0;
  sim_run (sim, sim->now_us + 30 * TT_SECOND_US);
  CU_ASSERT_EQUAL (sim_accepted_epoch (sim), 6);
  CU_ASSERT_PTR_NOT_NULL (sim_find_object (sim, "audit/6"));
  CU_ASSERT_PTR_NULL (sim_find_object (sim, "audit/7"));
  sim_free (sim);
}

/// Guards against a daemon that reverts to an older document, or that overwrites the store, because
/// a replica returned a stale head.
static void
stale_head_reverts_nothing (void)
{
  Sim *sim = start_fleet (3);
  uint64_t epoch = sim_stage_test_document (sim, "demo", TT_DETACHED_WAIT, true);

  CU_ASSERT (wait_in_force (sim, epoch, 15) >= 0.0);
  sim->stale_read_fraction = 1.0;
  sim_run (sim, sim->now_us + 30 * TT_SECOND_US);
  CU_ASSERT (sim_epoch_in_force (sim, epoch));
  sim->stale_read_fraction = 0.0;
  sim_run (sim, sim->now_us + 20 * TT_SECOND_US);
  CU_ASSERT_EQUAL (sim_find_object (sim, "config/head")->object.head.generation, 1);
  CU_ASSERT_FALSE (sim->nodes[0].board->team_config.store_restored);
  sim_free (sim);
}

/// Guards against a daemon that starts during a platform outage and serves without documents, or
/// with fewer than its peers have, and against one that never becomes ready although its peers have
/// all documents.
static void
start_during_platform_outage (void)
{
  Sim *sim = start_fleet (4);
  uint64_t epoch = sim_stage_test_document (sim, "other", TT_DETACHED_WAIT, true);
  SimNode *node = &sim->nodes[0];
  const SimNode *delta_node;

  CU_ASSERT (wait_in_force (sim, epoch, 15) >= 0.0);
  sim_set_platform_down (sim, true);
  sim_kill_daemon (node);
  sim_start_daemon (sim, node);
  CU_ASSERT_FALSE (node->board->team_config.synced);
  // When the daemon becomes ready, it has all documents that its peers have at that time.
  for (int i = 0; i < 1000 && !node->board->team_config.synced; i++)
    sim_run (sim, sim->now_us + 10 * TT_MILLISECOND_US);
  CU_ASSERT (node->board->team_config.synced);
  CU_ASSERT_EQUAL (node->board->team_config.epoch, epoch);
  CU_ASSERT_EQUAL (node->board->team_config.slot_count, 2);
  delta_node = sim_add_daemon (sim, "lonely", "delta");
  sim_run (sim, sim->now_us + 30 * TT_SECOND_US);
  CU_ASSERT_FALSE (delta_node->board->drain.ready);
  sim_free (sim);
}

/// Guards against a change that is reported as accepted while a partitioned failure domain serves
/// the old document, and against the return of that domain's old epoch after the partition heals.
static void
partitioned_domain_delays_acceptance (void)
{
  Sim *sim = start_fleet (5);
  uint64_t epoch;

  sim_isolate_domain (sim, 1, true);
  sim_run (sim, sim->now_us + 5 * TT_SECOND_US);
  epoch = sim_stage_test_document (sim, "demo", TT_DETACHED_WAIT, true);
  CU_ASSERT (wait_in_force (sim, epoch, 15) >= 0.0);
  sim_run (sim, sim->now_us + 100 * TT_SECOND_US);
  CU_ASSERT_EQUAL (sim_accepted_epoch (sim), 1);
  CU_ASSERT (sim->nodes[1].board->drain.ready);
  CU_ASSERT_EQUAL (sim->nodes[1].board->team_config.epoch, 1);
  sim_isolate_domain (sim, 1, false);
  CU_ASSERT (wait_in_force (sim, epoch, 15) >= 0.0);
  sim_run (sim, sim->now_us + 15 * TT_SECOND_US);
  CU_ASSERT_EQUAL (sim_accepted_epoch (sim), epoch);
  sim_free (sim);
}

/// Guards against a change of a "refuse" document that is accepted while daemons of a partitioned
/// failure domain still serve the team, and against a change that waits for that domain forever.
static void
refuse_mode_excludes_partitioned_domain (void)
{
  Sim *sim = start_fleet (6);
  uint64_t epoch = sim_stage_test_document (sim, "demo", TT_DETACHED_REFUSE, true);
  int64_t limit_us;

  CU_ASSERT (wait_in_force (sim, epoch, 15) >= 0.0);
  sim_run (sim, sim->now_us + 20 * TT_SECOND_US);
  CU_ASSERT_EQUAL (sim_accepted_epoch (sim), epoch);
  sim_isolate_domain (sim, 2, true);
  sim_run (sim, sim->now_us + TT_SECOND_US);
  epoch = sim_stage_test_document (sim, "demo", TT_DETACHED_REFUSE, true);
  limit_us = sim->now_us + 80 * TT_SECOND_US;
  while (sim_accepted_epoch (sim) < epoch && sim->now_us < limit_us)
    sim_run (sim, sim->now_us + 100 * TT_MILLISECOND_US);
  CU_ASSERT_EQUAL (sim_accepted_epoch (sim), epoch);
  for (unsigned i = 2; i < 9; i += 3)
    CU_ASSERT (sim->nodes[i].board->team_config.slots[0].rejects_requests);
  CU_ASSERT_FALSE (sim->nodes[0].board->team_config.slots[0].rejects_requests);
  sim_isolate_domain (sim, 2, false);
  CU_ASSERT (wait_in_force (sim, epoch, 15) >= 0.0);
  sim_run (sim, sim->now_us + 15 * TT_SECOND_US);
  CU_ASSERT_FALSE (sim->nodes[2].board->team_config.slots[0].rejects_requests);
  sim_free (sim);
}

/// Guards against a fleet that reverts to older documents after the store was restored to an older
/// version.
static void
restored_store_is_repaired (void)
{
  Sim *sim = start_fleet (7);
  Store *backup = store_snapshot (sim->store);
  uint64_t epoch = sim_stage_test_document (sim, "demo", TT_DETACHED_WAIT, true);
  const StoreItem *head;

  CU_ASSERT (wait_in_force (sim, epoch, 15) >= 0.0);
  sim_run (sim, sim->now_us + 15 * TT_SECOND_US);
  sim_restore_store (sim, backup);
  store_free (backup);
  sim_run (sim, sim->now_us + 60 * TT_SECOND_US);
  CU_ASSERT (sim_epoch_in_force (sim, epoch));
  head = sim_find_object (sim, "config/head");
  CU_ASSERT_EQUAL (head->object.head.generation, 2);
  CU_ASSERT_EQUAL (head->object.head.epoch, epoch);
  CU_ASSERT_EQUAL (sim_accepted_epoch (sim), epoch);
  CU_ASSERT_PTR_NOT_NULL (sim_find_object (sim, "audit/2"));
  epoch = sim_stage_test_document (sim, "demo", TT_DETACHED_WAIT, true);
  CU_ASSERT (wait_in_force (sim, epoch, 15) >= 0.0);
  sim_free (sim);
}

/// Runs reconnected_domain_ignores_restored_head() with one seed.
static void
reconnect_to_restored_store (uint64_t seed)
{
  Sim *sim = start_fleet (seed);
  Store *backup;
  uint64_t epoch;

  (void) sim_stage_test_document (sim, "demo", TT_DETACHED_REFUSE, true);
  sim_run (sim, sim->now_us + 30 * TT_SECOND_US);
  backup = store_snapshot (sim->store);
  sim_isolate_domain (sim, 2, true);
  sim_run (sim, sim->now_us + TT_SECOND_US);
  epoch = sim_stage_test_document (sim, "demo", TT_DETACHED_REFUSE, true);
  sim_run (sim, sim->now_us + 80 * TT_SECOND_US);
  CU_ASSERT_EQUAL (sim_accepted_epoch (sim), epoch);
  sim_restore_store (sim, backup);
  store_free (backup);
  sim_isolate_domain (sim, 2, false);
  for (unsigned step = 0; step < 600; step++)
    {
      sim_run (sim, sim->now_us + 50 * TT_MILLISECOND_US);
      for (unsigned i = 2; i < 9; i += 3)
        {
          const TtConfigSection *section = &sim->nodes[i].board->team_config;

          if (section->epoch < epoch && !section->slots[0].rejects_requests)
            CU_FAIL ("serves with a document older than the accepted one");
        }
    }
  CU_ASSERT (sim_epoch_in_force (sim, epoch));
  CU_ASSERT_FALSE (sim->nodes[2].board->team_config.slots[0].rejects_requests);
  sim_free (sim);
}

/// Guards against daemons of a reconnecting failure domain that read the old head of a restored
/// store, count this as confirmed contact, and serve a team whose newer document was accepted
/// without them.
static void
reconnected_domain_ignores_restored_head (void)
{
  for (uint64_t seed = 10; seed < 18; seed++)
    reconnect_to_restored_store (seed);
}

/// Guards against a refused document that replaces the valid one in force, or that blocks later
/// changes of other teams.
static void
refused_document_keeps_last_valid (void)
{
  Sim *sim = start_fleet (8);
  const TtDocument *kept = sim->nodes[0].board->team_config.slots[0].document;
  uint64_t epoch;

  (void) sim_stage_test_document (sim, "demo", TT_DETACHED_WAIT, false);
  sim_run (sim, sim->now_us + 5 * TT_SECOND_US);
  CU_ASSERT_PTR_EQUAL (sim->nodes[0].board->team_config.slots[0].document, kept);
  CU_ASSERT (sim->nodes[0].board->team_config.slots[0].rejected);
  epoch = sim_stage_test_document (sim, "other", TT_DETACHED_WAIT, true);
  CU_ASSERT (wait_in_force (sim, epoch, 15) >= 0.0);
  sim_run (sim, sim->now_us + 15 * TT_SECOND_US);
  CU_ASSERT_EQUAL (sim_accepted_epoch (sim), epoch);
  sim_free (sim);
}

/// Guards against a change that is reported as accepted before every live daemon has it in force,
/// while messages are lost and duplicated and daemons restart.
static void
accepted_epoch_is_in_force_everywhere (void)
{
  Sim *sim = start_fleet (9);
  uint64_t epoch = 1;

  sim->message_loss = 0.2;
  sim->message_duplication = 0.2;
  for (unsigned step = 0; step < 1200; step++)
    {
      if (step % 97 == 0)
        epoch = sim_stage_test_document (sim, step % 2 == 0 ? "demo" : "other", TT_DETACHED_WAIT,
                                         true);
      if (step % 151 == 0)
        {
          SimNode *node = &sim->nodes[step % 9];

          sim_kill_daemon (node);
          sim_start_daemon (sim, node);
        }
      sim_run (sim, sim->now_us + 100 * TT_MILLISECOND_US);
      for (unsigned i = 0; i < 9; i++)
        {
          const TtBoard *board = sim->nodes[i].board;

          if (board->team_config.synced && board->team_config.epoch < sim_accepted_epoch (sim))
            CU_FAIL ("accepted before it is in force");
        }
    }
  CU_ASSERT (wait_in_force (sim, epoch, 15) >= 0.0);
  sim_free (sim);
}

static const UnitTest tests[] = {
  { "changes applied concurrently are both accepted", concurrent_applies_are_both_accepted },
  { "a lost response neither repeats nor loses an acceptance",
    lost_responses_accept_each_change_once },
  { "a stale head does not revert documents", stale_head_reverts_nothing },
  { "a daemon that starts during a platform outage waits for its peers",
    start_during_platform_outage },
  { "a partitioned domain delays acceptance and catches up", partitioned_domain_delays_acceptance },
  { "a refuse-mode change is accepted without the partitioned domain",
    refuse_mode_excludes_partitioned_domain },
  { "a restored store is repaired", restored_store_is_repaired },
  { "a domain that reconnects to a restored store waits for its peers",
    reconnected_domain_ignores_restored_head },
  { "a refused document leaves the last valid one in force", refused_document_keeps_last_valid },
  { "an accepted change is in force on every daemon", accepted_epoch_is_in_force_everywhere },
};

UNIT_MAIN ("config", tests)
