/// Capacity bench: memory, messages, processor time and platform calls of one daemon and of a
/// fleet, up to the target size. tools/capacity.sh writes the page; docs/CAPACITY.md quotes its
/// figures.
#include "fleet.h"
#include "parts.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/// Load of one daemon at the target size: 5,600 requests/s divided among 360 daemons.
#define REQUESTS_PER_S (5600.0 / 360.0)
/// Time that a request runs: 428 tokens at 30 ms each, after the first token.
#define REQUEST_DURATION_S 13.0
/// Tokens of one daemon at the target size: 2.4 M tokens/s divided among 360 daemons.
#define TOKENS_PER_S (2400000.0 / 360.0)

static const FleetSize fleet_sizes[] = {
  { .domains = 1, .daemons = 33, .engines = 80 },
  { .domains = 11, .daemons = 110, .engines = 440 },
  { .domains = 11, .daemons = 110, .engines = 880 },
  { .domains = 11, .daemons = 220, .engines = 880 },
  { .domains = 11, .daemons = 360, .engines = 880 },
  // Same load per engine and same size of a failure domain as the first and the last size above.
  { .domains = 3, .daemons = 99, .engines = 240 },
};

/// Processor time of the control plane of one daemon per second, without the steps of requests.
static double
control_cpu_us (const FleetResult *result)
{
  return result->steps[TT_EVENT_TICK] * result->step_us[TT_EVENT_TICK]
         + result->steps[TT_EVENT_PEER_MESSAGE] * result->step_us[TT_EVENT_PEER_MESSAGE]
         + result->steps[TT_EVENT_PLATFORM_RESPONSE] * result->step_us[TT_EVENT_PLATFORM_RESPONSE]
         + result->steps[TT_EVENT_LOAD_REPORT] * result->step_us[TT_EVENT_LOAD_REPORT];
}

static double
request_cpu_us (const FleetResult *result)
{
  return result->steps[TT_EVENT_REQUEST] * result->step_us[TT_EVENT_REQUEST]
         + result->steps[TT_EVENT_ATTEMPT_PROGRESS] * result->step_us[TT_EVENT_ATTEMPT_PROGRESS]
         + result->steps[TT_EVENT_ATTEMPT_DONE] * result->step_us[TT_EVENT_ATTEMPT_DONE];
}

static void
print_role (const char *name, const FleetRates *rates)
{
  printf ("| %s | %.0f | %.0f | %.0f | %.1f | %.3f | %.3f | %.3f |\n", name, rates->sent_bytes,
          rates->received_bytes, rates->sent_bytes + rates->received_bytes, rates->sent_messages,
          rates->reads - rates->watches, rates->watches, rates->writes);
}

static void
print_steps (const FleetResult *result)
{
  static const struct
  {
    const char *name;
    TtEventType type;
  } steps[] = { { "tick", TT_EVENT_TICK },
                { "message of a peer", TT_EVENT_PEER_MESSAGE },
                { "answer of the platform", TT_EVENT_PLATFORM_RESPONSE },
                { "load report", TT_EVENT_LOAD_REPORT },
                { "request", TT_EVENT_REQUEST },
                { "progress", TT_EVENT_ATTEMPT_PROGRESS },
                { "end of an answer", TT_EVENT_ATTEMPT_DONE } };

  printf ("\n| step | a second, one daemon | processor time (us) | us a second |\n"
          "|---|---|---|---|\n");
  for (size_t i = 0; i < sizeof steps / sizeof steps[0]; i++)
    printf ("| %s | %.2f | %.1f | %.0f |\n", steps[i].name, result->steps[steps[i].type],
            result->step_us[steps[i].type],
            result->steps[steps[i].type] * result->step_us[steps[i].type]);
}

static void
print_fleet (const FleetSize *size, const FleetResult *result)
{
  static const char *const names[]
      = { "", "gossip", "share ask", "share lend", "document ask", "document", "leave" };

  printf ("\n### %u failure domains, %u daemons, %u engines\n\n", size->domains, size->daemons,
          size->engines);
  printf ("| role | sent (B/s) | received (B/s) | both (B/s) | messages/s | reads/s | watches/s | "
          "writes/s |\n|---|---|---|---|---|---|---|---|\n");
  print_role ("mean of all", &result->mean);
  print_role ("member, keeper", &result->member);
  print_role ("second gateway", &result->second_gateway);
  print_role ("first gateway: reporter, acceptor, order issuer", &result->first_gateway);
  print_role ("busiest", &result->busiest);
  printf ("| whole fleet | | | | %.0f | %.1f | %.1f | %.1f |\n",
          result->mean.sent_messages * size->daemons,
          (result->mean.reads - result->mean.watches) * size->daemons,
          result->mean.watches * size->daemons, result->mean.writes * size->daemons);
  printf ("\n| message | bytes, mean | sent a second by one daemon |\n|---|---|---|\n");
  for (int type = TT_PEER_GOSSIP; type <= TT_PEER_LEAVE; type++)
    printf ("| %s | %.0f | %.3f |\n", names[type], result->message_bytes[type],
            result->messages[type]);
  print_steps (result);
  printf ("\n| measure | value |\n|---|---|\n");
  printf ("| open requests of one daemon | %.0f |\n", result->open_requests);
  printf ("| requests completed a second, fleet | %.0f |\n", result->completed_per_s);
  printf ("| requests not completed, part | %.4f |\n", result->not_completed);
  printf ("| records refused because of a bound | %llu |\n",
          (unsigned long long) result->pool_full);
  printf ("| suspicions of live daemons a second, one daemon | %.3f |\n", result->false_suspicions);
  printf ("| most engines of one keeper | %.0f |\n", result->max_owned_engines);
  printf ("| error of an account's fleet-wide count, part of the truth | %.3f |\n",
          result->account_error);
  printf ("| changes, slowest until in force on all daemons (s) | %u, %.1f |\n", result->changes,
          result->max_in_force_s);
  printf ("| control, processor time of one daemon (%% of a core) | %.2f |\n",
          control_cpu_us (result) / 1e4);
  printf ("| requests without tokens, processor time of one daemon (%% of a core) | %.2f |\n",
          request_cpu_us (result) / 1e4);
  printf ("| tokens at %.0f a second, one step each (%% of a core) | %.2f |\n", TOKENS_PER_S,
          TOKENS_PER_S * result->step_us[TT_EVENT_ATTEMPT_PROGRESS] / 1e4);
  printf ("| longest step (us) | %.0f |\n", result->max_step_us);
  (void) fflush (stdout);
}

static FleetSize
make_size (const FleetSize *from, uint64_t seed)
{
  FleetSize size = *from;

  size.seed = seed;
  size.requests_per_s = REQUESTS_PER_S;
  size.request_duration_s = REQUEST_DURATION_S;
  size.warmup_s = 20;
  size.measure_s = 20;
  // A daemon has 205 open requests at the target load.
  size.max_records = 1200;
  // Shorter than at the target size, where 1,700 changes per day are one every 51 s.
  size.change_period_s = 10.0;
  return size;
}

/// Runs one fleet without warm-up, for callgrind. The difference between two runs of different
/// length is the cost of the additional seconds.
static void
run_for_callgrind (char **arguments)
{
  FleetSize size = { .domains = (uint32_t) strtoul (arguments[2], NULL, 10),
                     .daemons = (uint32_t) strtoul (arguments[3], NULL, 10),
                     .engines = (uint32_t) strtoul (arguments[4], NULL, 10) };
  FleetResult result;

  size = make_size (&size, strtoull (arguments[1], NULL, 10));
  size.warmup_s = 0;
  size.measure_s = (uint32_t) strtoul (arguments[5], NULL, 10);
  // Short requests, so that the number of open requests becomes stable within the few seconds of a
  // run.
  size.request_duration_s = 3.0;
  size.change_period_s = 0.0;
  fleet_measure (&size, &result);
}

static void
print_parts (uint64_t seed)
{
  printf ("\n## Memory of a board\n");
  parts_print_memory (seed);
  printf ("\n## Messages\n");
  parts_print_messages ();
  printf ("\n## Objects of the platform\n");
  parts_print_objects ();
  printf ("\n## Steps against open requests\n");
  parts_print_step_times (seed);
  printf ("\n## Restart of a daemon\n");
  parts_print_restart (seed);
  printf ("\n## Faults\n");
  parts_print_faults (seed);
}

/// Usage: capacity_bench SEED [INDEX of a fleet size, or DOMAINS DAEMONS ENGINES SECONDS]
int
main (int count, char **arguments)
{
  uint64_t seed = count > 1 ? strtoull (arguments[1], NULL, 10) : 1;
  size_t last = sizeof fleet_sizes / sizeof fleet_sizes[0];
  size_t first = 0;

  if (count == 6)
    {
      run_for_callgrind (arguments);
      return 0;
    }
  if (count > 2)
    {
      first = strtoul (arguments[2], NULL, 10);
      last = first < last ? first + 1 : 0;
    }
  if (count == 2 || first == sizeof fleet_sizes / sizeof fleet_sizes[0])
    print_parts (seed);
  for (; first < last; first++)
    {
      FleetSize size = make_size (&fleet_sizes[first], seed);
      FleetResult result;

      fleet_measure (&size, &result);
      print_fleet (&size, &result);
    }
  return 0;
}
