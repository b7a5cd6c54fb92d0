/// Control traffic at the target size, with the message sizes of the codec: gossip and `share`
/// messages of one failure domain with 33 daemons and 80 engines. Argument: seed.
#include "support/report.h"
#include "support/sim.h"
#include "tarragontrack/codec/peer.h"
#include <stdlib.h>

/// Bound of docs/design.md, section 1.2.
#define TRAFFIC_BYTES_S 11000.0
#define STEADY_REUSE 0.95
#define DURATION_S 60

enum
{
  ROUTERS = 33,
  ENGINES = 80,
  OTHER_DOMAINS = 10,
  GATEWAY_PERIOD_S = 2, ///< period of the messages to another failure domain, docs/design.md, 5.8
  GATEWAY_ACCOUNTS = 1, ///< maximum number of client account counts in such a message
  PEER_TYPES = TT_PEER_LEAVE + 1
};

/// Bytes and messages by message type, and bytes sent and received by each daemon.
typedef struct
{
  bool measuring;
  double bytes[PEER_TYPES];
  double messages[PEER_TYPES];
  double daemon_bytes[ROUTERS];
} Traffic;

/// Starts counting when the measured time begins.
static void
on_sample (void *context, Sim *sim, int64_t now_us)
{
  Traffic *traffic = context;

  (void) now_us;
  traffic->measuring = sim->measuring;
}

/// Encoded size of a message after its sequence numbers have been made as large as in a daemon that
/// has run for months. In the simulation they start at 1 and would take one byte each.
static uint32_t
encoded_bytes (const TtPeerMessage *message)
{
  TtPeerMessage copy = *message;
  char *data = NULL;
  size_t size = 0;

  copy.sender_incarnation |= INT64_C (1) << 50;
  for (uint32_t i = 0; copy.type == TT_PEER_GOSSIP && i < copy.gossip.member_count; i++)
    {
      TtMemberEntry *entry = &copy.gossip.members[i];

      entry->incarnation |= INT64_C (1) << 50;
      entry->heartbeat |= 1 << 20;
      entry->epoch |= 1 << 20;
      entry->port = 7000;
    }
  if (copy.type == TT_PEER_SLOT_REQUEST || copy.type == TT_PEER_SLOT_GRANT)
    copy.share.sequence |= 1 << 20;
  if (tt_peer_encode (&copy, "tarragontrack", &data, &size) < 0)
    abort ();
  free (data);
  return (uint32_t) size;
}

static uint32_t
record_message (void *context, uint32_t from, uint32_t to, const TtPeerMessage *message)
{
  Traffic *traffic = context;
  uint32_t size = encoded_bytes (message);

  if (traffic->measuring)
    {
      traffic->bytes[message->type] += size;
      traffic->messages[message->type] += 1.0;
      traffic->daemon_bytes[from] += size;
      if (to < ROUTERS)
        traffic->daemon_bytes[to] += size;
    }
  return size;
}

/// Additional bytes per second that a gateway sends and receives: one message to and one from each
/// other failure domain every two seconds, with the maximum number of client account counts.
static double
gateway_bytes_per_s (void)
{
  static TtPeerMessage message;
  TtPeerGossip *gossip = &message.gossip;

  message = (TtPeerMessage){ .type = TT_PEER_GOSSIP, .sender_id = UINT64_MAX };
  gossip->members[0] = (TtMemberEntry){ .id = UINT64_MAX, .domain_id = UINT64_MAX };
  (void) snprintf (gossip->members[0].address, sizeof gossip->members[0].address, "127.0.0.1");
  gossip->member_count = 1;
  gossip->domains[0] = (TtPeerDomain){ UINT64_MAX, 1, 1 << 20, ROUTERS };
  gossip->domain_count = 1;
  for (gossip->account_count = 0; gossip->account_count < GATEWAY_ACCOUNTS; gossip->account_count++)
    gossip->accounts[gossip->account_count] = (TtPeerAccount){ UINT64_MAX, UINT64_MAX, 1000 };
  return encoded_bytes (&message) * 2.0 * OTHER_DOMAINS / GATEWAY_PERIOD_S;
}

static void
report_message_type (FILE *page, const char *name, const Traffic *traffic, TtPeerType type)
{
  char text[96];

  (void) snprintf (text, sizeof text, "%s, sent: bytes/s, mean of the daemons", name);
  report_value (page, text, traffic->bytes[type] / DURATION_S / ROUTERS);
  (void) snprintf (text, sizeof text, "%s, sent: messages/s, mean of the daemons", name);
  report_value (page, text, traffic->messages[type] / DURATION_S / ROUTERS);
}

int
main (int argc, char **argv)
{
  uint64_t seed = argc > 1 ? strtoull (argv[1], NULL, 10) : 1;
  Traffic traffic = { 0 };
  SimConfig config;
  SimResult result;
  SimResult oracle;
  double mean_bytes_s = 0.0;
  double max_bytes_s = 0.0;
  FILE *page;
  bool pass = true;

  // The target deployment of route_bench: one of its 11 failure domains.
  sim_defaults (&config);
  config.seed = seed;
  config.engines = ENGINES;
  config.routers = ROUTERS;
  config.rate = 510.0;
  config.chats = 24480;
  config.batch_limit = 128;
  config.accounts = 100;
  config.cache_tokens = 1200000;
  config.prefix_spread = 0;
  config.warmup_us = 240 * TT_SECOND_US;
  config.duration_us = DURATION_S * TT_SECOND_US;
  config.context = &traffic;
  config.on_sample = on_sample;
  config.measure_message = record_message;
  config.policy = SIM_ORACLE;
  if (sim_run (&config, &oracle) < 0)
    return 1;
  config.policy = SIM_ROUTER;
  if (sim_run (&config, &result) < 0)
    return 1;
  for (int i = 0; i < ROUTERS; i++)
    {
      double bytes_s = traffic.daemon_bytes[i] / DURATION_S;

      mean_bytes_s += bytes_s / ROUTERS;
      max_bytes_s = bytes_s > max_bytes_s ? bytes_s : max_bytes_s;
    }
  page = report_open ("docs/measurements/control.md", "Control traffic at the target size",
                      "control_bench", seed);
  (void) fprintf (page,
                  "\nOne failure domain of 11: 33 daemons, 80 engines, 510 requests a second. "
                  "Bytes as codec/peer\nwrites them, with numbers of a daemon that runs for "
                  "months; framing of ZeroMQ and TCP is not counted.\n\n| measure | value | "
                  "bound | verdict |\n|---|---|---|---|\n");
  pass &= report_check (page, "gossip and share, sent and received: bytes/s, mean of the daemons",
                        mean_bytes_s, true, TRAFFIC_BYTES_S);
  pass &= report_check (page, "gossip and share, sent and received: bytes/s, busiest daemon",
                        max_bytes_s, true, TRAFFIC_BYTES_S);
  pass &= report_check (page, "busiest daemon if it is a gateway as well: bytes/s",
                        max_bytes_s + gateway_bytes_per_s (), true, TRAFFIC_BYTES_S);
  report_message_type (page, "gossip", &traffic, TT_PEER_GOSSIP);
  report_message_type (page, "ASK", &traffic, TT_PEER_SLOT_REQUEST);
  report_message_type (page, "LEND", &traffic, TT_PEER_SLOT_GRANT);
  pass &= report_check (page, "M1 reuse, part of the oracle's", result.reuse / oracle.reuse, false,
                        STEADY_REUSE);
  pass &= report_check (page, "M5 longest time above the load bound, s",
                        (double) result.max_overload_us / 1e6, true,
                        (double) config.load_report_period_us / 1e6);
  (void) fclose (page);
  return pass ? 0 : 1;
}
