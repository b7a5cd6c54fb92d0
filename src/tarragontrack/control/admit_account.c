#include "tarragontrack/board/board.h"
#include "tarragontrack/board/hash.h"
#include "tarragontrack/control/admit.h"
#include "tarragontrack/control/member.h"
#include <stdlib.h>
#include <string.h>

#define FLEET_UPDATE_PERIOD_US (1 * TT_SECOND_US)
#define BURST_US (1 * TT_SECOND_US) // burst of the rate limiter: what the rate allows in this time

int
tt_admit_open_accounts (TtBoard *board)
{
  TtAdmitSection *section = &board->admit;

  section->max_accounts = board->config.max_accounts;
  section->max_queued = board->config.max_requests;
  tt_list_init (&section->accounts);
  tt_list_init (&section->free_accounts);
  for (int i = 0; i < TT_ACCOUNT_BUCKETS; i++)
    tt_list_init (&section->buckets[i]);
  section->account_records = calloc (section->max_accounts, sizeof *section->account_records);
  if (section->account_records == NULL)
    return TT_E_NO_MEMORY;
  for (uint32_t i = 0; i < section->max_accounts; i++)
    tt_list_append (&section->free_accounts, &section->account_records[i].link);
  return TT_OK;
}

void
tt_admit_close_accounts (TtBoard *board)
{
  free (board->admit.account_records);
}

TtClientAccount *
tt_admit_find_account (TtBoard *board, uint64_t team_id, uint64_t account_id)
{
  TT_LIST_FOREACH (&board->admit.buckets[account_id % TT_ACCOUNT_BUCKETS], it)
    {
      TtClientAccount *account = TT_CONTAINER_OF (it, TtClientAccount, bucket_link);

      if (account->spec.id == account_id && account->team_id == team_id && !account->retired)
        return account;
    }
  return NULL;
}

/// Allocates an account record; NULL if TtAdmitSection.max_accounts are in use.
static TtClientAccount *
alloc_account (TtBoard *board, uint64_t team_id, uint64_t account_id)
{
  TtAdmitSection *section = &board->admit;
  TtLink *link = tt_list_pop (&section->free_accounts);
  TtClientAccount *account;

  if (link == NULL)
    {
      tt_board_counter_add (board, TT_COUNT_POOL_FULL, 1);
      return NULL;
    }
  account = TT_CONTAINER_OF (link, TtClientAccount, link);
  memset (account, 0, sizeof *account);
  account->team_id = team_id;
  account->spec.id = account_id;
  tt_list_append (&section->accounts, &account->link);
  tt_list_append (&section->buckets[account_id % TT_ACCOUNT_BUCKETS], &account->bucket_link);
  return account;
}

/// Frees the retired accounts that have no requests left.
static void
free_retired_accounts (TtBoard *board)
{
  TtAdmitSection *section = &board->admit;

  TT_LIST_FOREACH (&section->accounts, it)
    {
      TtClientAccount *account = TT_CONTAINER_OF (it, TtClientAccount, link);

      if (!account->retired || account->in_flight > 0 || account->queued > 0)
        continue;
      tt_admit_free_idle_flows (board, account);
      tt_list_remove (&section->buckets[account->spec.id % TT_ACCOUNT_BUCKETS],
                      &account->bucket_link);
      tt_list_remove (&section->accounts, &account->link);
      tt_list_append (&section->free_accounts, &account->link);
    }
}

void
tt_admit_update_accounts (TtBoard *board)
{
  TT_LIST_FOREACH (&board->admit.accounts, it)
    TT_CONTAINER_OF (it, TtClientAccount, link)->retired = true;
  for (uint32_t i = 0; i < board->team_config.slot_count; i++)
    {
      const TtDocument *document = board->team_config.slots[i].document;

      for (uint32_t a = 0; document != NULL && a < document->account_count; a++)
        {
          const TtAccountSpec *spec = &document->accounts[a];
          TtClientAccount *account = NULL;

          TT_LIST_FOREACH (&board->admit.buckets[spec->id % TT_ACCOUNT_BUCKETS], it)
            {
              TtClientAccount *candidate = TT_CONTAINER_OF (it, TtClientAccount, bucket_link);

              if (candidate->spec.id == spec->id && candidate->team_id == document->team_id)
                account = candidate;
            }
          if (account == NULL)
            account = alloc_account (board, document->team_id, spec->id);
          if (account == NULL)
            continue;
          account->spec = *spec;
          account->retired = false;
        }
    }
  free_retired_accounts (board);
}

void
tt_admit_update_fleet_in_flight (TtBoard *board, int64_t now_us)
{
  TtAdmitSection *section = &board->admit;

  if (now_us < section->next_fleet_update_us)
    return;
  section->next_fleet_update_us = now_us + FLEET_UPDATE_PERIOD_US;
  free_retired_accounts (board);
  TT_LIST_FOREACH (&section->accounts, it)
    {
      TtClientAccount *account = TT_CONTAINER_OF (it, TtClientAccount, link);

      account->fleet_in_flight
          = account->in_flight + tt_gossip_account_in_flight (board, account->spec.id, now_us);
    }
}

/// Local demand of an account as a fraction of the fleet-wide demand, above 0 and at most 1.
static double
local_fraction (const TtClientAccount *account)
{
  double local = (double) account->in_flight + account->queued + 1.0;
  double others = (double) account->fleet_in_flight - account->in_flight;

  return others > 0.0 ? local / (local + others) : 1.0;
}

uint32_t
tt_admit_consume_rate (TtClientAccount *account, int64_t now_us)
{
  double rate = account->spec.requests_per_s * local_fraction (account);
  double burst = rate * (double) BURST_US / (double) TT_SECOND_US;

  if (account->spec.requests_per_s <= 0.0)
    return 0;
  if (burst < 1.0)
    burst = 1.0;
  if (account->refilled_us == 0)
    account->rate_tokens = burst;
  else
    account->rate_tokens += rate * (double) (now_us - account->refilled_us) / (double) TT_SECOND_US;
  account->refilled_us = now_us;
  if (account->rate_tokens > burst)
    account->rate_tokens = burst;
  if (account->rate_tokens < 1.0)
    return 1 + (uint32_t) (1000.0 * (1.0 - account->rate_tokens) / rate);
  account->rate_tokens -= 1.0;
  return 0;
}

uint32_t
tt_admit_local_limit (const TtClientAccount *account)
{
  uint32_t limit = account->spec.max_in_flight;
  uint32_t local_limit;

  if (limit == 0)
    return UINT32_MAX;
  local_limit = (uint32_t) (limit * local_fraction (account));
  return local_limit > 0 ? local_limit : 1;
}
