/// Runs one scenario script (Lua) over a simulated fleet. Exit code 0 if every expectation holds.
#include "support/fleet.h"
#include <lauxlib.h>
#include <lua.h>
#include <lualib.h>
#include <stdio.h>
#include <string.h>

static Fleet *
fleet_of (lua_State *lua)
{
  Fleet **slot = lua_touserdata (lua, lua_upvalueindex (1));

  if (*slot == NULL)
    luaL_error (lua, "start the fleet first");
  return *slot;
}

/// Field of the table at index 1 as a number, or a default.
static lua_Number
field (lua_State *lua, const char *name, lua_Number fallback)
{
  lua_Number value;

  lua_getfield (lua, 1, name);
  value = luaL_optnumber (lua, -1, fallback);
  lua_pop (lua, 1);
  return value;
}

static int64_t
seconds (lua_Number value)
{
  return (int64_t) (value * (lua_Number) TT_SECOND_US);
}

/// Index of a daemon or backend server, counted from 1 in scripts.
static uint32_t
index_of (lua_State *lua, int argument, uint32_t count)
{
  lua_Integer index = luaL_checkinteger (lua, argument);

  luaL_argcheck (lua, index >= 1 && index <= count, argument, "no such daemon or backend server");
  return (uint32_t) index - 1;
}

/// Index of a failure domain, or of the platform for "platform".
static uint32_t
side_of (lua_State *lua, int argument)
{
  if (lua_type (lua, argument) == LUA_TSTRING
      && strcmp (lua_tostring (lua, argument), "platform") == 0)
    return SIM_PLATFORM;
  return index_of (lua, argument, FLEET_DOMAINS);
}

/// start { seed =, domains =, daemons =, engines =, services =, batch =, token_ms = }
static int
start (lua_State *lua)
{
  Fleet **slot = lua_touserdata (lua, lua_upvalueindex (1));
  FleetConfig config = { .seed = (uint64_t) field (lua, "seed", 1),
                         .domains = (uint32_t) field (lua, "domains", 3),
                         .daemons = (uint32_t) field (lua, "daemons", 4),
                         .engines = (uint32_t) field (lua, "engines", 9),
                         .services = (uint32_t) field (lua, "services", 3),
                         .batch_limit = (uint32_t) field (lua, "batch", 16),
                         .token_us = (int64_t) (field (lua, "token_ms", 10) * 1000) };

  *slot = fleet_new (&config);
  fleet_run (*slot, seconds (field (lua, "settle", 10)));
  return 0;
}

/// run (seconds)
static int
run (lua_State *lua)
{
  Fleet *fleet = fleet_of (lua);

  fleet_run (fleet, seconds (luaL_checknumber (lua, 1)));
  if (fleet->violation[0] != '\0')
    luaL_error (lua, "%s", fleet->violation);
  return 0;
}

/// send { daemon =, service =, kind =, account =, chat =, key =, tokens =, deadly = } -> call
static int
send (lua_State *lua)
{
  Fleet *fleet = fleet_of (lua);
  const char *texts[3] = { "chat", "", "small" };
  const char *const names[3] = { "service", "kind", "account" };
  bool deadly;
  uint32_t call;

  for (int i = 0; i < 3; i++)
    {
      lua_getfield (lua, 1, names[i]);
      texts[i] = luaL_optstring (lua, -1, texts[i]); // stays on the stack, so the text stays valid
    }
  lua_getfield (lua, 1, "deadly");
  deadly = lua_toboolean (lua, -1);
  call = fleet_send (fleet, (uint32_t) field (lua, "daemon", 1) - 1, texts[2], texts[0], texts[1],
                     (uint64_t) field (lua, "chat", 1), (uint64_t) field (lua, "key", 0),
                     (uint32_t) field (lua, "tokens", strcmp (texts[0], "chat") == 0 ? 64 : 0),
                     deadly);
  lua_pushinteger (lua, call);
  return 1;
}

/// outcome (call) -> "complete", "not-run", "unknown", "cut", "recorded", "invalid", "open", "lost"
static int
outcome (lua_State *lua)
{
  static const char *const names[]
      = { "open", "complete", "not-run", "unknown", "cut", "recorded", "invalid" };
  const FleetCall *call = &fleet_of (lua)->calls[luaL_checkinteger (lua, 1)];

  lua_pushstring (lua, call->lost ? "lost" : names[call->outcome]);
  return 1;
}

/// status (call) -> HTTP status of the answer
static int
status (lua_State *lua)
{
  lua_pushinteger (lua, fleet_of (lua)->calls[luaL_checkinteger (lua, 1)].status);
  return 1;
}

/// latency (call) -> seconds from sending to the end of the answer
static int
latency (lua_State *lua)
{
  const FleetCall *call = &fleet_of (lua)->calls[luaL_checkinteger (lua, 1)];

  lua_pushnumber (lua, (lua_Number) (call->answered_us - call->sent_us) / TT_SECOND_US);
  return 1;
}

/// executions (key) -> how often a plain service ran it
static int
executions (lua_State *lua)
{
  lua_pushinteger (lua, fleet_of (lua)->executions[luaL_checkinteger (lua, 1)]);
  return 1;
}

static int
kill_daemon (lua_State *lua)
{
  fleet_kill (fleet_of (lua), index_of (lua, 1, FLEET_DAEMONS));
  return 0;
}

static int
replace_daemon (lua_State *lua)
{
  fleet_kill (fleet_of (lua), index_of (lua, 1, FLEET_DAEMONS));
  fleet_start (fleet_of (lua), index_of (lua, 1, FLEET_DAEMONS));
  return 0;
}

static int
pause_daemon (lua_State *lua)
{
  Sim *sim = fleet_of (lua)->sim;
  uint32_t daemon = index_of (lua, 1, FLEET_DAEMONS);

  sim->nodes[daemon].paused_until_us = sim->now_us + seconds (luaL_checknumber (lua, 2));
  return 0;
}

static int
drain_daemon (lua_State *lua)
{
  fleet_drain (fleet_of (lua), index_of (lua, 1, FLEET_DAEMONS));
  return 0;
}

/// running (daemon) -> whether the process runs
static int
running (lua_State *lua)
{
  lua_pushboolean (lua, fleet_of (lua)->sim->nodes[index_of (lua, 1, FLEET_DAEMONS)].alive);
  return 1;
}

static int
cut (lua_State *lua)
{
  sim_cut (fleet_of (lua)->sim, side_of (lua, 1), side_of (lua, 2), true);
  return 0;
}

static int
heal (lua_State *lua)
{
  sim_cut (fleet_of (lua)->sim, side_of (lua, 1), side_of (lua, 2), false);
  return 0;
}

/// platform { down =, lose_answers =, stale_reads = }
static int
platform (lua_State *lua)
{
  Fleet *fleet = fleet_of (lua);

  lua_getfield (lua, 1, "down");
  if (!lua_isnil (lua, -1))
    sim_set_platform_down (fleet->sim, lua_toboolean (lua, -1));
  lua_getfield (lua, 1, "stale_reads");
  if (!lua_isnil (lua, -1))
    fleet->sim->stale_reads = lua_toboolean (lua, -1) ? 0.5 : 0.0;
  fleet->sim->lose_next = (uint32_t) field (lua, "lose_answers", fleet->sim->lose_next);
  return 0;
}

/// network { loss =, duplication = }
static int
network (lua_State *lua)
{
  Fleet *fleet = fleet_of (lua);

  fleet->sim->loss = field (lua, "loss", fleet->sim->loss);
  fleet->sim->repeat = field (lua, "duplication", fleet->sim->repeat);
  return 0;
}

/// backend (index, { alive =, slow =, silent =, leave = })
static int
backend (lua_State *lua)
{
  Fleet *fleet = fleet_of (lua);
  uint32_t index = index_of (lua, 1, fleet->backend_count);
  FleetBackend *it = &fleet->backends[index];

  lua_remove (lua, 1);
  it->slow = field (lua, "slow", it->slow);
  lua_getfield (lua, 1, "silent");
  if (!lua_isnil (lua, -1))
    it->silent = lua_toboolean (lua, -1);
  lua_getfield (lua, 1, "alive");
  if (lua_isboolean (lua, -1) && lua_toboolean (lua, -1))
    fleet_restart_backend (fleet, index);
  else if (lua_isboolean (lua, -1))
    fleet_crash_backend (fleet, index);
  lua_getfield (lua, 1, "leave");
  if (lua_toboolean (lua, -1))
    fleet_leave_backend (fleet, index);
  return 0;
}

/// check_load (): from now on the load bound is checked
static int
check_load (lua_State *lua)
{
  fleet_of (lua)->check_load = true;
  return 0;
}

/// apply (queue_deadline_ms) -> epoch, 0 when it could not be staged
static int
apply (lua_State *lua)
{
  lua_pushinteger (
      lua, (lua_Integer) fleet_apply (fleet_of (lua), (uint32_t) luaL_checkinteger (lua, 1)));
  return 1;
}

static int
accepted (lua_State *lua)
{
  lua_pushinteger (lua, (lua_Integer) sim_accepted (fleet_of (lua)->sim));
  return 1;
}

/// epoch (daemon) -> epoch in force there, ready (daemon) -> whether it takes requests
static int
epoch (lua_State *lua)
{
  const SimNode *daemon = &fleet_of (lua)->sim->nodes[index_of (lua, 1, FLEET_DAEMONS)];

  lua_pushinteger (lua, (lua_Integer) daemon->board->team_config.epoch);
  return 1;
}

static int
ready (lua_State *lua)
{
  const SimNode *daemon = &fleet_of (lua)->sim->nodes[index_of (lua, 1, FLEET_DAEMONS)];

  lua_pushboolean (lua, daemon->alive && daemon->board->drain.ready);
  return 1;
}

/// snapshot () and restore (): a backup of the store, and going back to it
static int
snapshot (lua_State *lua)
{
  lua_pushlightuserdata (lua, store_snapshot (fleet_of (lua)->sim->store));
  return 1;
}

static int
restore (lua_State *lua)
{
  Store *backup = lua_touserdata (lua, 1);

  luaL_argcheck (lua, backup != NULL, 1, "a snapshot");
  sim_restore (fleet_of (lua)->sim, backup);
  store_free (backup);
  return 0;
}

/// expect (condition, text)
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
    { "replace", replace_daemon },
    { "pause", pause_daemon },
    { "drain", drain_daemon },
    { "running", running },
    { "cut", cut },
    { "heal", heal },
    { "platform", platform },
    { "network", network },
    { "backend", backend },
    { "apply", apply },
    { "accepted", accepted },
    { "epoch", epoch },
    { "ready", ready },
    { "snapshot", snapshot },
    { "restore", restore },
    { "check_load", check_load },
    { "expect", expect },
  };
  Fleet *fleet = NULL;
  lua_State *lua = luaL_newstate ();
  int result;

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
  result = luaL_dofile (lua, argv[1]);
  if (result != LUA_OK)
    (void) fprintf (stderr, "%s\n", lua_tostring (lua, -1));
  else
    (void) printf ("%s: all expectations hold\n", argv[1]);
  lua_close (lua);
  if (fleet != NULL)
    fleet_free (fleet);
  return result == LUA_OK ? 0 : 1;
}
