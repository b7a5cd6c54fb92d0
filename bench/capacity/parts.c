#include "parts.h"
#include "fleet.h"
#include "tarragontrack/board/hash.h"
#include "tarragontrack/codec/object.h"
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

/// Default limits of a daemon's settings.
enum
{
  MAX_REQUESTS = 4096,
  MAX_ATTEMPTS = 8192,
  MAX_ACCOUNTS = 2048,
  LENGTH_ENTRIES = 8192,
  SERVICES = 64 ///< of a fleet; allocated one by one
};

typedef struct
{
  const char *name;
  size_t record_bytes;
  size_t count;
} PoolSize;

static const PoolSize pools[] = {
  { "board without pools", sizeof (TtBoard), 1 },
  { "requests (limits.max_requests)", sizeof (TtRequest) + sizeof (TtList), MAX_REQUESTS },
  { "attempts (limits.max_attempts)", sizeof (TtAttempt), MAX_ATTEMPTS },
  { "client accounts (limits.max_accounts)", sizeof (TtClientAccount), MAX_ACCOUNTS },
  { "flows of admission", sizeof (TtAdmitFlow), MAX_REQUESTS + TT_MAX_IDLE_FLOWS },
  { "account counts of members", sizeof (TtMemberAccount), TT_MAX_MEMBER_ACCOUNTS },
  { "members", sizeof (TtMember), TT_MAX_MEMBERS },
  { "backend servers", sizeof (TtBackendServer), TT_MAX_BACKENDS },
  { "services", sizeof (TtPool), SERVICES },
  { "loans", sizeof (TtSlotLease), TT_MAX_SLOT_LEASES },
  { "demands", sizeof (TtShareDemand), TT_MAX_SHARE_DEMANDS },
  { "claim shards", sizeof (TtClaimShard), TT_CLAIM_SHARDS },
  { "moved chats", sizeof (TtMovedChat), TT_MAX_MOVED_CHATS },
  { "length table", sizeof (TtLengthEntry), LENGTH_ENTRIES },
  { "suspects", sizeof (TtSuspect), TT_MAX_SUSPECTS },
  { "leases", sizeof (TtLease), TT_MAX_LEASES },
  { "orders by model", sizeof (TtOrderModel), TT_MAX_LEASES },
  { "documents, present and replaced", sizeof (TtDocument), (size_t) 2 * TT_MAX_TEAMS },
  { "texts of documents", TT_MAX_DOCUMENT_BYTES, (size_t) 2 * TT_MAX_TEAMS },
  { "claim entries, all shards full", sizeof (TtClaimEntry),
    (size_t) TT_CLAIM_SHARDS *TT_CLAIM_SHARD_MAX_ENTRIES },
};

static double
read_cpu_time_us (void)
{
  struct timespec now;

  (void) clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (double) now.tv_sec * 1e6 + (double) now.tv_nsec / 1e3;
}

static size_t
read_heap_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return info.uordblks + info.hblkhd;
}

/// Heap bytes of one daemon after it has loaded the host list and the documents.
static size_t
measure_daemon_heap_bytes (const FleetSize *size)
{
  Sim *sim = fleet_prepare (size);
  size_t before = read_heap_bytes ();
  size_t after;

  fleet_add_daemons (sim, size, 1);
  sim_run (sim, sim->now_us + 20 * TT_SECOND_US);
  after = read_heap_bytes ();
  if (sim->nodes[0].board->team_config.slot_count != FLEET_MODELS)
    abort ();
  sim_free (sim);
  return after - before;
}

void
parts_print_memory (uint64_t seed)
{
  static const uint32_t sizes[][3] = { { 1, 33, 80 }, { 11, 360, 880 } };
  size_t total = 0;

  printf (
      "\nWith the default settings. The heap is that of one daemon that knows the other hosts, "
      "17 documents and %d client accounts; limits at 4,096 requests, attempts and accounts.\n\n"
      "| pool | bytes a record | records | bytes |\n|---|---|---|---|\n",
      FLEET_ACCOUNTS);
  for (size_t i = 0; i < sizeof pools / sizeof pools[0]; i++)
    {
      printf ("| %s | %zu | %zu | %zu |\n", pools[i].name, pools[i].record_bytes, pools[i].count,
              pools[i].record_bytes * pools[i].count);
      if (i + 1 < sizeof pools / sizeof pools[0])
        total += pools[i].record_bytes * pools[i].count;
    }
  printf ("| sum without claim entries | | | %zu |\n", total);
  printf ("\n| members | engines | malloc'd bytes |\n|---|---|---|\n");
  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    {
      FleetSize size = { .seed = seed,
                         .domains = sizes[i][0],
                         .daemons = sizes[i][1],
                         .engines = sizes[i][2],
                         .max_records = MAX_REQUESTS };

      printf ("| %u | %u | %zu |\n", size.daemons, size.engines, measure_daemon_heap_bytes (&size));
    }
}

/// Fills in a gossip message with the given number of records of each type.
static void
fill_gossip (TtPeerMessage *message, uint32_t members, uint32_t loads, uint32_t accounts)
{
  TtPeerGossip *gossip = &message->gossip;

  memset (message, 0, sizeof *message);
  message->type = TT_PEER_GOSSIP;
  message->sender_id = tt_hash_pair (1, 1);
  message->sender_incarnation = UINT64_C (1767225600000000);
  for (uint32_t i = 0; i < members; i++)
    {
      TtMemberEntry *entry = &gossip->members[gossip->member_count++];

      *entry = (TtMemberEntry){ .id = tt_hash_pair (i, 2),
                                .domain_id = tt_hash_pair (1, 3),
                                .incarnation = UINT64_C (1767225600000000) + i,
                                .heartbeat = 86400,
                                .epoch = 620500,
                                .generation = 1,
                                .port = 7000 };
      (void) snprintf (entry->address, sizeof entry->address, "10.0.0.1");
    }
  for (uint32_t i = 0; i < loads; i++)
    gossip->loads[gossip->load_count++] = (TtPeerLoad){ tt_hash_pair (i, 4), 84, 105 };
  for (uint32_t i = 0; i < accounts; i++)
    gossip->accounts[gossip->account_count++]
        = (TtPeerAccount){ tt_hash_pair (i, 5), tt_hash_pair (1, 1), 5 };
}

void
parts_print_messages (void)
{
  static TtPeerMessage message;
  static char text[TT_MAX_DOCUMENT_BYTES];
  size_t base;
  size_t encoded_bytes[4];

  fill_gossip (&message, 1, 0, 0);
  base = fleet_message_bytes (&message);
  fill_gossip (&message, 17, 0, 0);
  encoded_bytes[0] = fleet_message_bytes (&message);
  fill_gossip (&message, 1, 16, 0);
  encoded_bytes[1] = fleet_message_bytes (&message);
  fill_gossip (&message, 1, 0, 16);
  encoded_bytes[2] = fleet_message_bytes (&message);
  printf ("\n| message | bytes, least | each further record |\n|---|---|---|\n");
  printf ("| gossip: own entry | %zu | member %.1f, load %.1f, account %.1f |\n", base,
          (double) (encoded_bytes[0] - base) / 16, (double) (encoded_bytes[1] - base) / 16,
          (double) (encoded_bytes[2] - base) / 16);
  for (int type = TT_PEER_SLOT_REQUEST; type <= TT_PEER_SLOT_GRANT; type++)
    {
      for (int i = 0; i < 2; i++)
        {
          memset (&message, 0, sizeof message);
          message.type = (TtPeerType) type;
          message.sender_id = tt_hash_pair (1, 1);
          message.sender_incarnation = UINT64_C (1767225600000000);
          message.share.sequence = 100000;
          message.share.slot_count = i == 0 ? 1 : 17;
          for (uint32_t s = 0; s < message.share.slot_count; s++)
            message.share.slots[s]
                = (TtPeerSlot){ tt_hash_pair (s, 6), 3, 5, type == TT_PEER_SLOT_GRANT ? 2000 : 0 };
          encoded_bytes[i] = fleet_message_bytes (&message);
        }
      printf ("| share %s, one engine | %zu | engine %.1f |\n",
              type == TT_PEER_SLOT_REQUEST ? "ask" : "lend", encoded_bytes[0],
              (double) (encoded_bytes[1] - encoded_bytes[0]) / 16);
    }
  memset (text, ' ', sizeof text);
  memset (&message, 0, sizeof message);
  message.type = TT_PEER_DOCUMENT;
  message.sender_id = tt_hash_pair (1, 1);
  message.document.text = text;
  (void) snprintf (message.document.team, TT_NAME_MAX, "team");
  encoded_bytes[0] = fleet_message_bytes (&message);
  message.document.text_size = TT_MAX_DOCUMENT_BYTES;
  printf ("| document | %zu | byte of text 1; at most %zu in all |\n", encoded_bytes[0],
          fleet_message_bytes (&message));
}

/// Size of a platform object as JSON in bytes; 0 if it cannot be encoded.
static size_t
encoded_object_bytes (const TtObject *object, const char *key)
{
  TtError error = { 0 };
  char *text = NULL;
  size_t size = 0;

  if (tt_object_encode (object, key, &text, &size, &error) < 0)
    return 0;
  free (text);
  return size;
}

/// Prints the size, the encoding time and the decoding time of a claim shard whose entries all have
/// outcomes of @outcome_bytes.
static void
print_claim_shard (uint32_t entries, uint32_t outcome_bytes)
{
  TtObject object = { .type = TT_OBJECT_CLAIMS };
  TtObject *copy = NULL;
  TtError error = { 0 };
  char *text = NULL;
  size_t size = 0;
  double start_us;
  double encode_us;
  double decode_us;

  object.claims.count = entries;
  object.claims.entries = calloc (entries, sizeof *object.claims.entries);
  for (uint32_t i = 0; object.claims.entries != NULL && i < entries; i++)
    {
      TtClaimEntry *entry = &object.claims.entries[i];

      entry->key = (TtId128){ tt_hash_pair (i, 7), tt_hash_pair (i, 8) };
      entry->attempt = (TtId128){ tt_hash_pair (i, 9), tt_hash_pair (i, 10) };
      entry->body_hash = tt_hash_pair (i, 11);
      entry->state = TT_CLAIM_DONE;
      entry->written_s = 1767225600;
      entry->status = 200;
      entry->outcome = outcome_bytes > 0 ? calloc (1, outcome_bytes) : NULL;
      entry->outcome_size = outcome_bytes;
    }
  start_us = read_cpu_time_us ();
  if (tt_object_encode (&object, "claims/0", &text, &size, &error) < 0)
    printf ("| %u | %u | refused: %s | | |\n", entries, outcome_bytes, error.detail);
  else
    {
      encode_us = read_cpu_time_us () - start_us;
      start_us = read_cpu_time_us ();
      if (tt_object_decode ("claims/0", text, size, &copy, &error) < 0)
        abort ();
      decode_us = read_cpu_time_us () - start_us;
      printf ("| %u | %u | %zu | %.0f | %.0f |\n", entries, outcome_bytes, size, encode_us,
              decode_us);
    }
  tt_object_free (copy);
  free (text);
  for (uint32_t i = 0; object.claims.entries != NULL && i < entries; i++)
    free (object.claims.entries[i].outcome);
  free (object.claims.entries);
}

void
parts_print_objects (void)
{
  static const uint32_t shards[][2] = { { 16, 0 },   { 256, 0 },   { 1024, 0 },   { 4096, 0 },
                                        { 16, 200 }, { 256, 200 }, { 1024, 200 }, { 2048, 200 } };
  static const uint32_t hosts[][3] = { { 1, 33, 80 }, { 11, 360, 880 } };
  TtObject object = { .type = TT_OBJECT_HEAD };

  printf ("\n| claim shard: entries | bytes of each outcome | bytes | write (us) | read (us) |\n"
          "|---|---|---|---|---|\n");
  for (size_t i = 0; i < sizeof shards / sizeof shards[0]; i++)
    print_claim_shard (shards[i][0], shards[i][1]);
  printf ("\n| object | bytes |\n|---|---|\n");
  object.head.team_count = FLEET_MODELS;
  for (uint32_t i = 0; i < FLEET_MODELS; i++)
    (void) snprintf (object.head.teams[i].team, TT_NAME_MAX, "model-%u", i);
  printf ("| config/head, 17 teams | %zu |\n", encoded_object_bytes (&object, "config/head"));
  object = (TtObject){ .type = TT_OBJECT_DOMAIN };
  (void) snprintf (object.domain.domain, TT_NAME_MAX, "zone-1");
  object.domain.epoch = 620500;
  printf ("| domains/NAME | %zu |\n", encoded_object_bytes (&object, "domains/zone-1"));
  object = (TtObject){ .type = TT_OBJECT_LEASE };
  (void) snprintf (object.lease.holder, TT_NAME_MAX, "entry-100");
  printf ("| leases/ROLE | %zu |\n", encoded_object_bytes (&object, "leases/acceptor"));
  for (size_t i = 0; i < sizeof hosts / sizeof hosts[0]; i++)
    {
      FleetSize size = { .domains = hosts[i][0], .daemons = hosts[i][1], .engines = hosts[i][2] };
      Sim *sim = fleet_prepare (&size);

      fleet_add_daemons (sim, &size, 0);
      object = (TtObject){ .type = TT_OBJECT_HOSTS };
      object.hosts = (TtHostsObject){ .hosts = sim->store->hosts, .count = sim->store->host_count };
      printf ("| host list, %u hosts | %zu |\n", sim->store->host_count,
              encoded_object_bytes (&object, "hosts"));
      sim_free (sim);
    }
}

void
parts_print_step_times (uint64_t seed)
{
  static const double rates[] = { 1.0, 15.0, 75.0, 150.0, 300.0 };

  printf ("\nOne daemon, 80 engines of one failure domain; requests of 13 s.\n\n"
          "| open requests | tick (us) | request (us) | progress (us) | end (us) |\n"
          "|---|---|---|---|---|\n");
  for (size_t i = 0; i < sizeof rates / sizeof rates[0]; i++)
    {
      // run_until() in fleet.c sends a daemon at most one request per 10 ms. Rates above 99 per
      // second are therefore simulated as longer requests, which gives the same number of open
      // requests.
      FleetSize size = { .seed = seed,
                         .domains = 1,
                         .daemons = 1,
                         .engines = 80,
                         .requests_per_s = rates[i] < 99.0 ? rates[i] : 99.0,
                         .request_duration_s = 13.0 * (rates[i] < 99.0 ? 1.0 : rates[i] / 99.0),
                         .warmup_s = 45,
                         .measure_s = 10,
                         .max_records = MAX_REQUESTS };
      FleetResult result;

      fleet_measure (&size, &result);
      printf ("| %.0f | %.1f | %.1f | %.1f | %.1f |\n", result.open_requests,
              result.step_us[TT_EVENT_TICK], result.step_us[TT_EVENT_REQUEST],
              result.step_us[TT_EVENT_ATTEMPT_PROGRESS], result.step_us[TT_EVENT_ATTEMPT_DONE]);
    }
}

void
parts_print_restart (uint64_t seed)
{
  FleetSize size
      = { .seed = seed, .domains = 11, .daemons = 55, .engines = 880, .max_records = 1200 };
  Sim *sim = fleet_prepare (&size);
  SimNode *node;
  SimNode before;
  int64_t start_us;

  fleet_add_daemons (sim, &size, size.daemons);
  sim_run (sim, sim->now_us + 30 * TT_SECOND_US);
  node = &sim->nodes[30];
  sim_kill_daemon (node);
  sim_run (sim, sim->now_us + 20 * TT_SECOND_US);
  before = *node;
  start_us = sim->now_us;
  sim_start_daemon (sim, node);
  while (!node->board->team_config.synced && sim->now_us - start_us < 60 * TT_SECOND_US)
    sim_run (sim, sim->now_us + 50 * TT_MILLISECOND_US);
  printf ("\n11 failure domains of 5 daemons, 880 engines, 17 documents of 2,000 bytes; until the "
          "daemon has the documents in force.\n\n| measure | value |\n|---|---|\n");
  printf ("| time (s) | %.2f |\n", (double) (sim->now_us - start_us) / 1e6);
  printf ("| reads of the platform | %llu |\n", (unsigned long long) (node->reads - before.reads));
  printf ("| writes | %llu |\n", (unsigned long long) (node->writes - before.writes));
  printf ("| messages sent | %llu |\n",
          (unsigned long long) (node->sent_messages - before.sent_messages));
  printf ("| bytes sent to peers | %llu |\n",
          (unsigned long long) (node->sent_bytes - before.sent_bytes));
  printf ("| bytes received from peers | %llu |\n",
          (unsigned long long) (node->received_bytes - before.received_bytes));
  sim_free (sim);
}
