/// Routing of chats: prompt cache reuse (M1), load bound (M5) and control traffic, compared with
/// baseline policies and an oracle on the same workload. Arguments: seed, deployment (0 to 2) and
/// scenario (0 to 6). All scenarios are run if the scenario is omitted, and all deployments if the
/// deployment is omitted as well.
#include "support/sim.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/// Bounds of docs/design.md, section 1.2.
#define STEADY_REUSE 0.95
#define CHURN_REUSE 0.90
#define TRAFFIC_BYTES_S 11000.0
/// Budget of `share` messages alone; gossip uses the rest of TRAFFIC_BYTES_S.
#define SHARE_BYTES_S (TRAFFIC_BYTES_S / 3.0)

typedef struct
{
  const char *name;
  const char *title;
  uint32_t domains, engines, routers;
  double rate;
  uint32_t chats;
  uint32_t batch_limit;
  uint32_t accounts;
  uint64_t cache_tokens;
  uint32_t prefix_spread;
  int64_t warmup_s, duration_s, churn_duration_s;
  uint32_t surge_account; ///< account whose surge just fits into the capacity of the fleet
} Deployment;

typedef struct
{
  const char *name;
  bool compare_all_policies;       ///< compare with all policies instead of the oracle only
  bool check_reuse;                ///< check M1
  double skew;                     ///< 0 = default
  double restart_fraction_per_min; ///< fraction of the engines that restart per minute
  double message_loss;             ///< fraction of the messages between routers that are lost
  double surge_factor;             ///< multiplies the rate of the surge account; 0 = no surge
  uint32_t prefix_spread;          ///< overrides Deployment.prefix_spread; 0 = not overridden
  bool large_only;                 ///< run only in deployments with more than 5 routers
  uint64_t cache_tokens;           ///< overrides Deployment.cache_tokens; 0 = not overridden
} Scenario;

// Only one of the 11 failure domains of the large deployment is simulated. As long as each domain
// has the capacity for its own load, routers of different domains share no engines, so that this
// omits only the spill-over between domains.
static const Deployment deployments[]
    = { { "raagmala", "Raagmala Sync Partners: 3 failure domains, 10 engines, 5 routers", 3, 10, 5,
          10.0, 600, 32, 10, 600000, 4, 60, 600, 3600, 3 },
        { "skurd", "Skurðlistasjóður Ríkisins: 4 failure domains, 12 engines, 5 routers", 4, 12, 5,
          12.0, 600, 32, 10, 600000, 4, 60, 600, 3600, 3 },
        { "target", "Target, one failure domain of 11: 80 engines, 33 routers", 1, 80, 33, 510.0,
          24480, 128, 100, 1200000, 0, 240, 60, 90, 20 } };

static const Scenario scenarios[]
    = { { "steady", true, true, 0, 0, 0, 0, 0, false },
        { "skewed accounts", false, true, 1.5, 0, 0, 0, 0, false },
        { "1 % churn a minute", false, true, 0, 0.01, 0, 0, 0, false },
        { "5 % of messages lost", false, true, 0, 0, 0.05, 0, 0, false },
        { "surge to 10 times by one account", false, false, 0, 0, 0, 10, 0, false },
        { "steady, prefix_spread 4", false, true, 0, 0, 0, 0, 4, true },
        { "steady, caches hold half of the chats", false, true, 0, 0, 0, 0, 0, true, 600000 } };

static uint64_t seed = 1;

static const char *
verdict (bool pass)
{
  return pass ? "pass" : "FAIL";
}

/// Prints the row of one measure with its bound and verdict.
static void
print_check (const char *measure, double measured, const char *relation, double bound,
             const char *unit, bool pass)
{
  printf ("| %s | %.3f %s | %s %.3f %s | %s |\n", measure, measured, unit, relation, bound, unit,
          verdict (pass));
}

static SimConfig
make_config (const Deployment *deployment, const Scenario *scenario)
{
  SimConfig config;

  sim_defaults (&config);
  config.seed = seed;
  config.domains = deployment->domains;
  config.engines = deployment->engines;
  config.routers = deployment->routers;
  config.rate = deployment->rate;
  config.chats = deployment->chats;
  config.batch_limit = deployment->batch_limit;
  config.accounts = deployment->accounts;
  config.cache_tokens = deployment->cache_tokens;
  if (scenario->cache_tokens != 0)
    config.cache_tokens = scenario->cache_tokens;
  config.prefix_spread
      = scenario->prefix_spread != 0 ? scenario->prefix_spread : deployment->prefix_spread;
  config.warmup_us = deployment->warmup_s * TT_SECOND_US;
  config.duration_us = (scenario->restart_fraction_per_min > 0 ? deployment->churn_duration_s
                                                               : deployment->duration_s)
                       * TT_SECOND_US;
  config.restart_fraction_per_min = scenario->restart_fraction_per_min;
  config.message_loss = scenario->message_loss;
  if (scenario->skew > 0.0)
    config.skew = scenario->skew;
  if (scenario->surge_factor > 0.0)
    {
      config.surge_factor = scenario->surge_factor;
      config.surge_account = deployment->surge_account;
      config.surge_from_us = config.warmup_us + 10 * TT_SECOND_US;
      config.surge_until_us = config.surge_from_us + 60 * TT_SECOND_US;
      config.duration_us = 120 * TT_SECOND_US;
    }
  return config;
}

static void
print_policy_row (SimPolicy policy, const SimResult *result)
{
  printf ("| %s | %.3f | %.1f | %.2f | %.1f | %llu | %.2f | %llu | %llu | %.0f | %.0f |\n",
          sim_policy_name (policy), result->reuse, result->first_token_us / 1e3,
          100.0 * (double) result->overload_samples / (double) (result->load_samples + 1),
          (double) result->max_overload_us / 1e6, (unsigned long long) result->overload_placements,
          result->max_load_ratio, (unsigned long long) result->completed,
          (unsigned long long) result->not_run + result->failed, result->peer_bytes_s,
          result->max_peer_bytes_s);
}

/// Prints the checks of one scenario.
static void
print_scenario_checks (const Scenario *scenario, const SimConfig *config, const SimResult *router,
                       const SimResult *oracle)
{
  double bound = scenario->restart_fraction_per_min > 0.0 ? CHURN_REUSE : STEADY_REUSE;
  double ratio = oracle->reuse > 0.0 ? router->reuse / oracle->reuse : 0.0;
  double report_period_s = (double) config->load_report_period_us / 1e6;
  double max_overload_s = (double) router->max_overload_us / 1e6;

  printf ("\n| measure | measured | bound | verdict |\n|---|---|---|---|\n");
  if (scenario->check_reuse)
    print_check ("M1 reuse, part of the oracle's", ratio, ">=", bound, "", ratio >= bound);
  print_check ("M5 longest time above the load bound", max_overload_s, "<=", report_period_s, "s",
               max_overload_s <= report_period_s);
  print_check ("M1 control traffic of the busiest router", router->max_peer_bytes_s / 1e3,
               "<=", TRAFFIC_BYTES_S / 1e3, "KB/s", router->max_peer_bytes_s <= TRAFFIC_BYTES_S);
  print_check ("aim: traffic of share, mean of the routers", router->peer_bytes_s / 1e3,
               "<=", SHARE_BYTES_S / 1e3, "KB/s", router->peer_bytes_s <= SHARE_BYTES_S);
}

static int
run_scenario (const Deployment *deployment, const Scenario *scenario)
{
  SimConfig config = make_config (deployment, scenario);
  SimResult results[SIM_POLICY_COUNT];

  memset (results, 0, sizeof results);
  printf ("\n### %s\n\n", scenario->name);
  printf ("| policy | reuse | first token (ms) | samples above bound (%%) | longest (s) |"
          " placed above it | worst load / bound | completed | not run or failed | bytes/s | "
          "busiest |\n"
          "|---|---|---|---|---|---|---|---|---|---|---|\n");
  for (int policy = 0; policy < SIM_POLICY_COUNT; policy++)
    {
      if (!scenario->compare_all_policies && policy != SIM_ROUTER && policy != SIM_ORACLE)
        continue;
      config.policy = (SimPolicy) policy;
      if (sim_run (&config, &results[policy]) < 0)
        return -1;
      print_policy_row (config.policy, &results[policy]);
    }
  print_scenario_checks (scenario, &config, &results[SIM_ROUTER], &results[SIM_ORACLE]);
  (void) fflush (stdout);
  return 0;
}

int
main (int count, char **arguments)
{
  size_t first = 0;
  size_t end = sizeof deployments / sizeof deployments[0];

  if (count > 1)
    seed = strtoull (arguments[1], NULL, 10);
  if (count > 2)
    {
      first = strtoul (arguments[2], NULL, 10);
      end = first + 1 < end ? first + 1 : end;
    }
  for (size_t d = first; d < end; d++)
    {
      if (count <= 3)
        printf ("\n## %s\n", deployments[d].title);
      for (size_t s = 0; s < sizeof scenarios / sizeof scenarios[0]; s++)
        if ((count <= 3 || s == strtoul (arguments[3], NULL, 10))
            && (!scenarios[s].large_only || deployments[d].routers > 5)
            && run_scenario (&deployments[d], &scenarios[s]) < 0)
          return 1;
    }
  return 0;
}
