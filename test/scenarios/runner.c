/// Runs one Lua scenario script against a simulated fleet. The exit code is 0 if every expectation
/// holds, 1 if one fails, 2 on a usage error.
#include "support/fleet.h"
#include <lauxlib.h>
#include <lua.h>
#include <lualib.h>
#include <stdio.h>
#include <string.h>

static Fleet *
require_fleet (lua_State *lua)
{
  Fleet **fleet_pointer = lua_touserdata (lua, lua_upvalueindex (1));

  if (*fleet_pointer == NULL)
    luaL_error (lua, "start () must be called before this function");
  return *fleet_pointer;
}

/// Reads a number from the table at stack index 1, or returns the default if it is absent.
static lua_Number
number_field (lua_State *lua, const char *name, lua_Number default_value)
{
  lua_Number value;

  lua_getfield (lua, 1, name);
  value = luaL_optnumber (lua, -1, default_value);
  lua_pop (lua, 1);
  return value;
}

static int64_t
seconds_to_us (lua_Number value)
{
  return (int64_t) (value * (lua_Number) TT_SECOND_US);
}

/// Converts a script's one-based index of a daemon, backend server or failure domain to a
/// zero-based index.
static uint32_t
check_index (lua_State *lua, int argument, uint32_t count)
{
  lua_Integer index = luaL_checkinteger (lua, argument);

  luaL_argcheck (lua, index >= 1 && index <= count, argument,
                 "index of a daemon, backend server or failure domain is out of range");
  return (uint32_t) index - 1;
}

/// Index of a failure domain, or SIM_PLATFORM for the string "platform".
static uint32_t
check_partition_side (lua_State *lua, int argument)
{
  if (lua_type (lua, argument) == LUA_TSTRING
      && strcmp (lua_tostring (lua, argument), "platform") == 0)
    return SIM_PLATFORM;
  return check_index (lua, argument, FLEET_MAX_DOMAINS);
}

/// start { seed =, domains =, daemons =, engines =, services =, batch =, token_ms =, settle = }:
/// creates the fleet and runs it for settle seconds (default 10)
static int
start (lua_State *lua)
{
  Fleet **fleet_pointer = lua_touserdata (lua, lua_upvalueindex (1));
  FleetConfig config = { .seed = (uint64_t) number_field (lua, "seed", 1),
                         .domains = (uint32_t) number_field (lua, "domains", 3),
                         .daemons = (uint32_t) number_field (lua, "daemons", 4),
                         .engines = (uint32_t) number_field (lua, "engines", 9),
                         .service_workers = (uint32_t) number_field (lua, "services", 3),
                         .batch_limit = (uint32_t) number_field (lua, "batch", 16),
                         .token_us = (int64_t) (number_field (lua, "token_ms", 10) * 1000) };

  *fleet_pointer = fleet_new (&config);
  fleet_run (*fleet_pointer, seconds_to_us (number_field (lua, "settle", 10)));
  return 0;
}

/// run (seconds): advances simulated time; fails the script if a property was violated
static int
run (lua_State *lua)
{
  Fleet *fleet = require_fleet (lua);

  fleet_run (fleet, seconds_to_us (luaL_checknumber (lua, 1)));
  if (fleet->violation[0] != '\0')
    luaL_error (lua, "%s", fleet->violation);
  return 0;
}

/// send { daemon =, service =, kind =, account =, chat =, key =, tokens =, crash_backend = } ->
/// call
///
/// crash_backend: the request crashes each backend server that executes it
static int
send (lua_State *lua)
{
  Fleet *fleet = require_fleet (lua);
  const char *values[3] = { "chat", "", "small" };
  const char *const names[3] = { "service", "kind", "account" };
  bool crashes_backend;
  uint32_t call;

  for (int i = 0; i < 3; i++)
    {
      lua_getfield (lua, 1, names[i]);
      values[i]
          = luaL_optstring (lua, -1, values[i]); // not popped, so that Lua does not free the string
    }
  lua_getfield (lua, 1, "crash_backend");
  crashes_backend = lua_toboolean (lua, -1);
  call = fleet_send_request (
      fleet, (uint32_t) number_field (lua, "daemon", 1) - 1, values[2], values[0], values[1],
      (uint64_t) number_field (lua, "chat", 1), (uint64_t) number_field (lua, "key", 0),
      (uint32_t) number_field (lua, "tokens", strcmp (values[0], "chat") == 0 ? 64 : 0),
      crashes_backend);
  lua_pushinteger (lua, call);
  return 1;
}

/// outcome (call) -> "complete", "not-run", "unknown", "cut", "recorded", "invalid", "open" (no
/// reply yet) or "lost" (the daemon did not accept the request, or was killed before it replied)
static int
outcome (lua_State *lua)
{
  static const char *const names[]
      = { "open", "complete", "not-run", "unknown", "cut", "recorded", "invalid" };
  const FleetCall *call = &require_fleet (lua)->calls[luaL_checkinteger (lua, 1)];

  lua_pushstring (lua, call->lost ? "lost" : names[call->outcome]);
  return 1;
}

/// status (call) -> HTTP status of the reply
static int
status (lua_State *lua)
{
  lua_pushinteger (lua, require_fleet (lua)->calls[luaL_checkinteger (lua, 1)].status);
  return 1;
}

/// latency (call) -> seconds from sending the request to the end of the reply
static int
latency (lua_State *lua)
{
  const FleetCall *call = &require_fleet (lua)->calls[luaL_checkinteger (lua, 1)];

  lua_pushnumber (lua, (lua_Number) (call->replied_us - call->sent_us) / TT_SECOND_US);
  return 1;
}

/// executions (key) -> how many times plain services executed requests with this idempotency key
static int
executions (lua_State *lua)
{
  lua_pushinteger (lua, require_fleet (lua)->executions[luaL_checkinteger (lua, 1)]);
  return 1;
}

/// kill (daemon): kills the process without a drain
static int
kill_daemon (lua_State *lua)
{
  fleet_kill_daemon (require_fleet (lua), check_index (lua, 1, FLEET_MAX_DAEMONS));
  return 0;
}

/// restart (daemon): kills the process and starts one without any state
static int
restart_daemon (lua_State *lua)
{
  fleet_kill_daemon (require_fleet (lua), check_index (lua, 1, FLEET_MAX_DAEMONS));
  fleet_start_daemon (require_fleet (lua), check_index (lua, 1, FLEET_MAX_DAEMONS));
  return 0;
}

/// pause (daemon, seconds): suspends the process; its events are delivered after the pause
static int
pause_daemon (lua_State *lua)
{
  Sim *sim = require_fleet (lua)->sim;
  uint32_t daemon = check_index (lua, 1, FLEET_MAX_DAEMONS);

  sim->nodes[daemon].paused_until_us = sim->now_us + seconds_to_us (luaL_checknumber (lua, 2));
  return 0;
}

/// drain (daemon): sends SIGTERM
static int
drain_daemon (lua_State *lua)
{
  fleet_drain_daemon (require_fleet (lua), check_index (lua, 1, FLEET_MAX_DAEMONS));
  return 0;
}

/// running (daemon) -> whether the process is running
static int
running (lua_State *lua)
{
  lua_pushboolean (lua,
                   require_fleet (lua)->sim->nodes[check_index (lua, 1, FLEET_MAX_DAEMONS)].alive);
  return 1;
}

/// partition (side, side): starts a network partition between two failure domains, or between one
/// and "platform"; messages already in flight are still delivered
static int
partition (lua_State *lua)
{
  sim_set_partition (require_fleet (lua)->sim, check_partition_side (lua, 1),
                     check_partition_side (lua, 2), true);
  return 0;
}

/// heal (side, side): ends the partition
static int
heal (lua_State *lua)
{
  sim_set_partition (require_fleet (lua)->sim, check_partition_side (lua, 1),
                     check_partition_side (lua, 2), false);
  return 0;
}

/// platform { down =, lose_responses =, stale_reads = }
///
/// lose_responses: number of upcoming writes whose response is lost; stale_reads: true makes half
/// of the reads return the content before the last write
static int
platform (lua_State *lua)
{
  Fleet *fleet = require_fleet (lua);

  lua_getfield (lua, 1, "down");
  if (!lua_isnil (lua, -1))
    sim_set_platform_down (fleet->sim, lua_toboolean (lua, -1));
  lua_getfield (lua, 1, "stale_reads");
  if (!lua_isnil (lua, -1))
    fleet->sim->stale_read_fraction = lua_toboolean (lua, -1) ? 0.5 : 0.0;
  fleet->sim->lose_next_responses
      = (uint32_t) number_field (lua, "lose_responses", fleet->sim->lose_next_responses);
  return 0;
}

/// network { loss =, duplication = }: fractions of the messages between daemons that are lost or
/// delivered twice
static int
network (lua_State *lua)
{
  Fleet *fleet = require_fleet (lua);

  fleet->sim->message_loss = number_field (lua, "loss", fleet->sim->message_loss);
  fleet->sim->message_duplication
      = number_field (lua, "duplication", fleet->sim->message_duplication);
  return 0;
}

/// backend (index, { alive =, slow =, unresponsive =, leaving = })
///
/// alive: false crashes the backend server, true restarts it; slow: factor on its response
/// times; unresponsive: it sends nothing on its connections; leaving: the host list marks
/// it as leaving
static int
backend (lua_State *lua)
{
  Fleet *fleet = require_fleet (lua);
  uint32_t index = check_index (lua, 1, fleet->backend_count);
  FleetBackend *server = &fleet->backends[index];

  lua_remove (lua, 1);
  server->slowdown = number_field (lua, "slow", server->slowdown);
  lua_getfield (lua, 1, "unresponsive");
  if (!lua_isnil (lua, -1))
    server->unresponsive = lua_toboolean (lua, -1);
  lua_getfield (lua, 1, "alive");
  if (lua_isboolean (lua, -1) && lua_toboolean (lua, -1))
    fleet_restart_backend (fleet, index);
  else if (lua_isboolean (lua, -1))
    fleet_crash_backend (fleet, index);
  lua_getfield (lua, 1, "leaving");
  if (lua_toboolean (lua, -1))
    fleet_set_backend_leaving (fleet, index);
  return 0;
}

/// check_load (): enables the check of the load bound (P1)
static int
check_load (lua_State *lua)
{
  require_fleet (lua)->check_load = true;
  return 0;
}

/// apply (queue_deadline_ms) -> epoch of the staged change, or 0 if it could not be staged
static int
apply (lua_State *lua)
{
  lua_pushinteger (lua, (lua_Integer) fleet_stage_document (require_fleet (lua),
                                                            (uint32_t) luaL_checkinteger (lua, 1)));
  return 1;
}

/// accepted_epoch () -> highest accepted epoch in the store, or 0
static int
accepted_epoch (lua_State *lua)
{
  lua_pushinteger (lua, (lua_Integer) sim_accepted_epoch (require_fleet (lua)->sim));
  return 1;
}

/// epoch (daemon) -> configuration epoch in force on the daemon
static int
epoch (lua_State *lua)
{
  const SimNode *daemon = &require_fleet (lua)->sim->nodes[check_index (lua, 1, FLEET_MAX_DAEMONS)];

  lua_pushinteger (lua, (lua_Integer) daemon->board->team_config.epoch);
  return 1;
}

/// ready (daemon) -> whether the daemon is running and accepts requests
static int
ready (lua_State *lua)
{
  const SimNode *daemon = &require_fleet (lua)->sim->nodes[check_index (lua, 1, FLEET_MAX_DAEMONS)];

  lua_pushboolean (lua, daemon->alive && daemon->board->drain.ready);
  return 1;
}

/// snapshot () -> backup of the platform's store
static int
snapshot (lua_State *lua)
{
  lua_pushlightuserdata (lua, store_snapshot (require_fleet (lua)->sim->store));
  return 1;
}

/// restore (backup): restores the store from a backup and frees the backup
static int
restore (lua_State *lua)
{
  Store *backup = lua_touserdata (lua, 1);

  luaL_argcheck (lua, backup != NULL, 1, "the return value of snapshot () is required");
  sim_restore_store (require_fleet (lua)->sim, backup);
  store_free (backup);
  return 0;
}

/// expect (condition, text): fails the script with the text if the condition is false
static int
expect (lua_State *lua)
{
  if (!lua_toboolean (lua, 1))
    luaL_error (lua, "expected: %s", luaL_checkstring (lua, 2));
  return 0;
}

int
main (int argc, char **argv)
{
  static const luaL_Reg functions[] = {
    { "start", start },
    { "run", run },
    { "send", send },
    { "outcome", outcome },
    { "status", status },
    { "latency", latency },
    { "executions", executions },
    { "kill", kill_daemon },
    { "restart", restart_daemon },
    { "pause", pause_daemon },
    { "drain", drain_daemon },
    { "running", running },
    { "partition", partition },
    { "heal", heal },
    { "platform", platform },
    { "network", network },
    { "backend", backend },
    { "apply", apply },
    { "accepted_epoch", accepted_epoch },
    { "epoch", epoch },
    { "ready", ready },
    { "snapshot", snapshot },
    { "restore", restore },
    { "check_load", check_load },
    { "expect", expect },
  };
  Fleet *fleet = NULL;
  lua_State *lua = luaL_newstate ();
  int lua_status;

  if (argc != 2 || lua == NULL)
    {
      (void) fprintf (stderr, "usage: scenario_runner SCRIPT.lua\n");
      return 2;
    }
  luaL_openlibs (lua);
  for (size_t i = 0; i < sizeof functions / sizeof functions[0]; i++)
    {
      lua_pushlightuserdata (lua, &fleet);
      lua_pushcclosure (lua, functions[i].func, 1);
      lua_setglobal (lua, functions[i].name);
    }
  lua_status = luaL_dofile (lua, argv[1]);
  if (lua_status != LUA_OK)
    (void) fprintf (stderr, "%s\n", lua_tostring (lua, -1));
  else
    (void) printf ("%s: all expectations hold\n", argv[1]);
  lua_close (lua);
  if (fleet != NULL)
    fleet_free (fleet);
  return lua_status == LUA_OK ? 0 : 1;
}
