#include "tarragontrack/control/claim_query.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/control/claim_era.h"
#include "tarragontrack/control/claim_shard.h"

#define QUERY_TIMEOUT_US (5 * TT_SECOND_US)
#define RETRY_AFTER_MS 1000

void
tt_claim_query_add (TtBoard *board, const TtOutcomeQuery *received, int64_t now_us)
{
  TtLink *link = tt_list_pop (&board->claim.free_queries);
  TtClaimQuery *query;

  if (link == NULL)
    {
      TtAction *action = tt_board_append_action (board, TT_ACTION_REPLY);

      tt_board_counter_add (board, TT_COUNT_POOL_FULL, 1);
      if (action != NULL)
        action->reply = (TtReplyAction){ .request_id = received->request_id,
                                         .outcome = TT_OUTCOME_UNKNOWN,
                                         .status = 503,
                                         .retry_after_ms = RETRY_AFTER_MS };
      return;
    }
  query = TT_CONTAINER_OF (link, TtClaimQuery, link);
  query->request_id = received->request_id;
  query->key = received->key;
  query->received_us = now_us;
  tt_list_append (&tt_claim_shard_activate (board, received->key, now_us)->queries, &query->link);
}

void
tt_claim_query_respond (TtBoard *board, TtClaimShard *shard, int64_t now_us)
{
  TT_LIST_FOREACH (&shard->queries, it)
    {
      TtClaimQuery *query = TT_CONTAINER_OF (it, TtClaimQuery, link);
      bool fresh = shard->loaded && shard->read_us >= query->received_us;
      const TtClaimEntry *entry = fresh ? tt_claim_shard_find (shard, query->key) : NULL;
      TtAction *action;

      fresh = fresh && (entry != NULL || tt_claim_era_proves_absence (board, now_us));
      if (!fresh && now_us - query->received_us < QUERY_TIMEOUT_US)
        continue;
      tt_list_remove (&shard->queries, &query->link);
      tt_list_append (&board->claim.free_queries, &query->link);
      action = tt_board_append_action (board, TT_ACTION_REPLY);
      if (action == NULL)
        continue;
      action->reply = (TtReplyAction){ .request_id = query->request_id,
                                       .outcome = TT_OUTCOME_UNKNOWN,
                                       .status = fresh ? 409 : 503 };
      if (fresh && (entry == NULL || entry->state == TT_CLAIM_NOT_RUN))
        {
          action->reply.outcome = TT_OUTCOME_NOT_RUN;
          action->reply.status = 404;
        }
      else if (fresh && entry->state == TT_CLAIM_DONE)
        {
          action->reply.outcome = TT_OUTCOME_RECORDED;
          action->reply.status = entry->status;
          action->reply.body = entry->outcome;
          action->reply.body_size = entry->outcome_size;
        }
    }
}
