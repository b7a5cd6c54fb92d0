#include "tarragontrack/control/notice.h"
#include "tarragontrack/board/backend.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/board/error_defs.h"
#include "tarragontrack/board/hash.h"
#include "tarragontrack/board/request.h"
#include "tarragontrack/control/controllers.h"
#include "tarragontrack/control/fleet.h"
#include <stdlib.h>

/// Time for which a leaving process is advertised to the other daemons. A process that still serves
/// is then noticed by each daemon that sent it requests.
#define ADVERTISE_US (60 * TT_SECOND_US)

static int
open_notice (void *context, TtBoard *board)
{
  TtNoticeSection *section = &board->notice;

  (void) context;
  tt_list_init (&section->notices);
  tt_list_init (&section->free);
  for (int i = 0; i < TT_NOTICE_BUCKETS; i++)
    tt_list_init (&section->buckets[i]);
  section->pool = calloc (TT_MAX_NOTICES, sizeof *section->pool);
  if (section->pool == NULL)
    return TT_E_NO_MEMORY;
  for (uint32_t i = 0; i < TT_MAX_NOTICES; i++)
    tt_list_append (&section->free, &section->pool[i].link);
  return TT_OK;
}

static void
close_notice (void *context, TtBoard *board)
{
  (void) context;
  free (board->notice.pool);
}

static uint64_t
bucket_index (uint64_t backend_id, uint64_t process_start_ms)
{
  return tt_hash_pair (backend_id, process_start_ms) % TT_NOTICE_BUCKETS;
}

static TtNotice *
find_notice (const TtBoard *board, uint64_t backend_id, uint64_t process_start_ms)
{
  TT_LIST_FOREACH (&board->notice.buckets[bucket_index (backend_id, process_start_ms)], it)
    {
      TtNotice *notice = TT_CONTAINER_OF (it, TtNotice, bucket_link);

      if (notice->backend_id == backend_id && notice->process_start_ms == process_start_ms)
        return notice;
    }
  return NULL;
}

bool
tt_notice_is_leaving (const TtBoard *board, uint64_t backend_id, uint64_t process_start_ms)
{
  const TtNotice *notice = find_notice (board, backend_id, process_start_ms);

  return notice != NULL && notice->leaving;
}

int64_t
tt_notice_unavailable_until_us (const TtBoard *board, uint64_t backend_id,
                                uint64_t process_start_ms)
{
  const TtNotice *notice = find_notice (board, backend_id, process_start_ms);

  return notice != NULL ? notice->unavailable_until_us : 0;
}

uint32_t
tt_notice_copy_leaving (const TtBoard *board, TtPeerNotice *entries, uint32_t max, int64_t now_us)
{
  uint32_t count = 0;

  TT_LIST_FOREACH (&board->notice.notices, it)
    {
      const TtNotice *notice = TT_CONTAINER_OF (it, TtNotice, link);

      if (count == max || now_us - notice->noticed_us > ADVERTISE_US)
        break;
      if (notice->leaving_seen_here)
        entries[count++] = (TtPeerNotice){ .backend_id = notice->backend_id,
                                           .process_start_ms = notice->process_start_ms };
    }
  return count;
}

/// Returns the notice of a process, a new one if needed, and moves it to the front of the list.
static TtNotice *
touch_notice (TtBoard *board, uint64_t backend_id, uint64_t process_start_ms, int64_t now_us)
{
  TtNoticeSection *section = &board->notice;
  TtNotice *notice = find_notice (board, backend_id, process_start_ms);
  TtLink *link;

  if (notice != NULL)
    tt_list_remove (&section->notices, &notice->link);
  else
    {
      link = tt_list_pop (&section->free);
      if (link == NULL)
        {
          link = section->notices.head.prev;
          notice = TT_CONTAINER_OF (link, TtNotice, link);
          tt_list_remove (&section->notices, link);
          tt_list_remove (
              &section->buckets[bucket_index (notice->backend_id, notice->process_start_ms)],
              &notice->bucket_link);
          tt_board_counter_add (board, TT_COUNT_POOL_FULL, 1);
        }
      notice = TT_CONTAINER_OF (link, TtNotice, link);
      *notice = (TtNotice){ .backend_id = backend_id, .process_start_ms = process_start_ms };
      tt_link_init (&notice->link);
      tt_link_init (&notice->bucket_link);
      tt_list_append (&section->buckets[bucket_index (backend_id, process_start_ms)],
                      &notice->bucket_link);
    }
  notice->noticed_us = now_us;
  tt_list_prepend (&section->notices, &notice->link);
  return notice;
}

/// Records that a process leaves. @request is the id of the request whose response said so; NULL if
/// another daemon did.
static void
record_leaving (TtBoard *board, uint64_t backend_id, uint64_t process_start_ms, const char *request,
                int64_t now_us)
{
  TtNotice *notice = touch_notice (board, backend_id, process_start_ms, now_us);
  bool seen_here = request != NULL;

  if (notice->leaving && (notice->leaving_seen_here || !seen_here))
    return;
  if (!notice->leaving)
    {
      const TtBackendServer *backend = tt_backend_find (board, backend_id);

      board->notice.leaving_changed = true;
      if (seen_here)
        tt_fleet_advertise (board);
      tt_board_counter_add (board, TT_COUNT_LEAVING_NOTICES, 1);
      tt_board_log (board, TT_LOG_BACKEND_SAID_LEAVING,
                    "backend=%s process=%llu source=%s "
                    "request=%s servers_revision=%llu",
                    backend != NULL ? backend->name : "", (unsigned long long) process_start_ms,
                    seen_here ? "answer" : "daemon", seen_here ? request : "",
                    (unsigned long long) board->registry.point.revision);
    }
  notice->leaving = true;
  notice->leaving_seen_here = notice->leaving_seen_here || seen_here;
}

/// Records a rejection that names the time for which a process wants no requests. A shorter time
/// that is named later does not end an earlier one.
static void
record_unavailable (TtBoard *board, const TtAttempt *attempt, uint32_t unavailable_ms,
                    int64_t now_us)
{
  TtBackendServer *backend = attempt->backend;
  TtNotice *notice = touch_notice (board, backend->id, attempt->process_start_ms, now_us);
  int64_t until_us = now_us + unavailable_ms * TT_MILLISECOND_US;

  if (until_us <= notice->unavailable_until_us)
    return;
  if (notice->unavailable_until_us <= now_us)
    {
      tt_board_counter_add (board, TT_COUNT_UNAVAILABLE_NOTICES, 1);
      tt_board_log (board, TT_LOG_BACKEND_UNAVAILABLE,
                    "backend=%s process=%llu request=%s for_ms=%u open=%u", backend->name,
                    (unsigned long long) attempt->process_start_ms,
                    attempt->request->spec.external_id, unavailable_ms, backend->attempts.count);
    }
  notice->unavailable_until_us = until_us;
  if (backend->registry.process_start_ms == attempt->process_start_ms)
    backend->notice.unavailable_until_us = until_us;
}

/// Records what the head of a response says about the process that an attempt was sent to.
static void
record_response (TtBoard *board, const TtAttempt *attempt, const TtAttemptEvent *event,
                 int64_t now_us)
{
  const TtBackendServer *backend = attempt->backend;

  if (event->leaving)
    record_leaving (board, backend->id, attempt->process_start_ms,
                    attempt->request->spec.external_id, now_us);
  if (event->unavailable_ms > 0)
    record_unavailable (board, attempt, event->unavailable_ms, now_us);
}

static void
on_event (void *context, TtBoard *board, const TtEvent *event, int64_t now_us)
{
  const TtAttempt *attempt;

  (void) context;
  if (event->type == TT_EVENT_PEER_MESSAGE && event->peer->type == TT_PEER_STATUS)
    for (uint32_t i = 0; i < event->peer->status.notice_count; i++)
      {
        const TtPeerNotice *notice = &event->peer->status.notices[i];

        if (!tt_notice_is_leaving (board, notice->backend_id, notice->process_start_ms))
          record_leaving (board, notice->backend_id, notice->process_start_ms, NULL, now_us);
      }
  if (event->type != TT_EVENT_ATTEMPT_PROGRESS && event->type != TT_EVENT_ATTEMPT_DONE)
    return;
  attempt = tt_attempt_find (board, event->attempt.attempt_id);
  if (attempt != NULL)
    record_response (board, attempt, &event->attempt, now_us);
}

TtController
tt_notice_controller (void)
{
  return (TtController){
    .name = "notice", .open = open_notice, .close = close_notice, .on_event = on_event
  };
}
