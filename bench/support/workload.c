/// Workload of the simulation: chats, arriving requests, hedges and outcomes.
#include "support/sim.h"
#include <math.h>
#include <stdlib.h>

enum
{
  SIM_MAX_REQUESTS = 65536
};

/// Draws a uniformly distributed number between 0.5 and 1.5 times @mean.
static uint32_t
draw_around_mean (Sim *sim, uint32_t mean)
{
  return mean / 2 + (uint32_t) tt_rng_below (&sim->rng, mean + 1);
}

static uint32_t
draw_account (Sim *sim)
{
  double total = sim->account_sums[sim->config.accounts - 1];
  double at = tt_rng_unit (&sim->rng) * total;
  uint32_t account = 0;

  while (account + 1 < sim->config.accounts && sim->account_sums[account] <= at)
    account++;
  return account;
}

static SimChat *
new_chat (Sim *sim, uint32_t account)
{
  SimChat *chat = calloc (1, sizeof *chat);
  uint64_t prefix;

  if (chat == NULL)
    abort ();
  prefix = tt_rng_below (&sim->rng, sim->config.prefixes);
  chat->key = tt_rng_next (&sim->rng) | 1;
  chat->account = account;
  chat->prefix_key = tt_hash_pair (account + 1, prefix + 1);
  chat->prefix_tokens = sim->config.prefix_tokens / 2
                        + (uint32_t) (chat->prefix_key % (sim->config.prefix_tokens + 1));
  chat->prompt_tokens = chat->prefix_tokens + draw_around_mean (sim, sim->config.turn_tokens);
  chat->home_domain = (uint32_t) tt_rng_below (&sim->rng, sim->config.domains);
  chat->sends_route_hint = tt_rng_unit (&sim->rng) < sim->config.route_hint_fraction;
  return chat;
}

static void
add_idle_chat (Sim *sim, SimChat *chat)
{
  if (sim->idle_chat_count == sim->idle_chat_capacity)
    {
      uint32_t size = sim->idle_chat_capacity * 2 + 64;
      SimChat **grown = realloc (sim->idle_chats, size * sizeof (SimChat *));

      if (grown == NULL)
        abort ();
      sim->idle_chats = grown;
      sim->idle_chat_capacity = size;
    }
  sim->idle_chats[sim->idle_chat_count++] = chat;
}

int
sim_workload_open (Sim *sim)
{
  double sum = 0.0;

  sim->account_sums = calloc (sim->config.accounts, sizeof *sim->account_sums);
  sim->requests = calloc (SIM_MAX_REQUESTS, sizeof *sim->requests);
  sim->request_count = SIM_MAX_REQUESTS;
  tt_list_init (&sim->free_requests);
  if (sim->account_sums == NULL || sim->requests == NULL)
    return -1;
  for (uint32_t i = 0; i < SIM_MAX_REQUESTS; i++)
    tt_list_append (&sim->free_requests, &sim->requests[i].link);
  for (uint32_t i = 0; i < sim->config.accounts; i++)
    {
      sum += pow (i + 1.0, -sim->config.skew);
      sim->account_sums[i] = sum;
    }
  for (uint32_t i = 0; i < sim->config.chats; i++)
    add_idle_chat (sim, new_chat (sim, draw_account (sim)));
  return 0;
}

void
sim_workload_close (Sim *sim)
{
  for (uint32_t i = 0; i < sim->idle_chat_count; i++)
    free (sim->idle_chats[i]);
  for (uint32_t i = 0; sim->requests != NULL && i < sim->request_count; i++)
    if (sim->requests[i].owner == NULL)
      free (sim->requests[i].chat);
  free (sim->idle_chats);
  free (sim->requests);
  free (sim->account_sums);
}

/// Chooses a random idle chat or creates one; requests of a surge always start a new chat.
static SimChat *
choose_chat (Sim *sim, bool surge)
{
  uint64_t index;
  SimChat *chat;

  if (surge)
    return new_chat (sim, sim->config.surge_account);
  if (sim->idle_chat_count == 0 || tt_rng_unit (&sim->rng) >= sim->config.returning_fraction)
    return new_chat (sim, draw_account (sim));
  index = tt_rng_below (&sim->rng, sim->idle_chat_count);
  chat = sim->idle_chats[index];
  sim->idle_chats[index] = sim->idle_chats[--sim->idle_chat_count];
  return chat;
}

/// Draws a random router of the chat's failure domain for one request. Callers are not pinned to a
/// router.
static uint32_t
choose_router (Sim *sim, const SimChat *chat)
{
  uint32_t domains = sim->config.domains;
  uint32_t count = (sim->config.routers + domains - 1 - chat->home_domain) / domains;

  return chat->home_domain + domains * (uint32_t) tt_rng_below (&sim->rng, count);
}

void
sim_workload_arrive (Sim *sim, bool surge)
{
  TtLink *link = tt_list_pop (&sim->free_requests);
  SimRequest *request;
  uint64_t serial;

  if (link == NULL)
    return;
  request = TT_CONTAINER_OF (link, SimRequest, link);
  serial = request->serial + 1;
  *request = (SimRequest){ .serial = serial };
  request->chat = choose_chat (sim, surge);
  request->router = choose_router (sim, request->chat);
  request->prompt_tokens = request->chat->prompt_tokens;
  request->response_tokens = draw_around_mean (sim, sim->config.response_tokens);
  request->priority = 1;
  request->kind = "";
  request->arrived_us = sim->now_us;
  if (sim->config.prepare_request != NULL)
    sim->config.prepare_request (sim->config.context, sim, request);
  request->remaining_tokens = request->response_tokens;
  if (sim->boards != NULL)
    {
      sim_router_submit_request (sim, request);
      return;
    }
  {
    SimEngine *engine = sim_policy_pick (sim, request);

    if (engine == NULL)
      sim_request_end (sim, request, TT_OUTCOME_NOT_RUN);
    else
      sim_engine_submit (sim, engine, request);
  }
}

SimRequest *
sim_hedge_open (Sim *sim, SimRequest *request)
{
  TtLink *link = request->hedge == NULL ? tt_list_pop (&sim->free_requests) : NULL;
  SimRequest *hedge;
  uint64_t serial;

  if (link == NULL)
    return NULL;
  hedge = TT_CONTAINER_OF (link, SimRequest, link);
  serial = hedge->serial + 1;
  *hedge = *request;
  tt_link_init (&hedge->link);
  hedge->serial = serial;
  hedge->engine = NULL;
  hedge->owner = request;
  request->hedge = hedge;
  return hedge;
}

void
sim_hedge_close (Sim *sim, SimRequest *request)
{
  SimRequest *hedge = request->hedge;

  if (hedge == NULL)
    return;
  sim_engine_cancel (sim, hedge);
  request->hedge = NULL;
  hedge->chat = NULL;
  hedge->owner = NULL;
  hedge->serial++;
  tt_list_append (&sim->free_requests, &hedge->link);
}

/// Adds an ended request to the result.
static void
record_request (Sim *sim, const SimRequest *request)
{
  SimResult *result = &sim->result;

  result->requests++;
  if (request->outcome == TT_OUTCOME_NOT_RUN)
    result->not_run++;
  else if (request->outcome != TT_OUTCOME_COMPLETE)
    result->failed++;
  else
    {
      result->completed++;
      result->prompt_tokens += request->prompt_tokens;
      result->cached_tokens += request->cached_tokens;
      sim->first_token_sum_us += (double) (request->first_token_us - request->arrived_us);
    }
  if (sim->config.on_request_end != NULL)
    sim->config.on_request_end (sim->config.context, sim, request);
}

void
sim_request_end (Sim *sim, SimRequest *request, TtOutcome outcome)
{
  SimChat *chat = request->chat;

  sim_hedge_close (sim, request);
  request->outcome = outcome;
  request->ended_us = sim->now_us;
  if (sim->measuring)
    record_request (sim, request);
  if (outcome == TT_OUTCOME_COMPLETE)
    chat->prompt_tokens = request->prompt_tokens + request->response_tokens
                          + draw_around_mean (sim, sim->config.turn_tokens);
  // The probability that a chat ends equals the probability that a request starts a new one, so
  // that the number of chats stays about the same.
  if (tt_rng_unit (&sim->rng) < sim->config.returning_fraction)
    add_idle_chat (sim, chat);
  else
    free (chat);
  request->chat = NULL;
  request->serial++;
  tt_list_append (&sim->free_requests, &request->link);
}
