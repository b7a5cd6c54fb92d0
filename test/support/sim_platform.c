/// Simulated platform: calls, pending watches, faults, and an operator's changes.
#include "support/sim_event.h"
#include "tarragontrack/board/hash.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/// Schedules a new check of the store for the pending watches of a key, or for all if @key is NULL.
static void
recheck_watches (Sim *sim, const char *key)
{
  int64_t check_us = sim->timing.watch_check_us;

  TT_LIST_FOREACH (&sim->watches, it)
    {
      SimEvent *watch = TT_CONTAINER_OF (it, SimEvent, link);
      int64_t time_us = watch->platform_arrival_us
                        + ((sim->now_us - watch->platform_arrival_us) / check_us + 1) * check_us;
      SimEvent *recheck;

      if (time_us >= watch->time_us || (key != NULL && strcmp (watch->platform_call.key, key) != 0))
        continue;
      // The old event stays queued until it expires; sim_execute_platform_call() ignores it because
      // it is unlinked.
      tt_list_remove (&sim->watches, it);
      recheck = sim_event_new (sim, SIM_PLATFORM_CALL, watch->node);
      recheck->process_start_count = watch->process_start_count;
      recheck->platform_call = watch->platform_call;
      recheck->platform_arrival_us = watch->platform_arrival_us;
      sim_push_event (sim, recheck, time_us);
    }
}

StoreItem *
sim_find_object (Sim *sim, const char *key)
{
  StoreItem *item = store_find (sim->store, key);

  return item != NULL && item->version > 0 ? item : NULL;
}

uint64_t
sim_accepted_epoch (Sim *sim)
{
  const StoreItem *item = sim_find_object (sim, "config/accepted");

  return item != NULL ? item->object.accepted.epoch : 0;
}

void
sim_restore_store (Sim *sim, const Store *snapshot)
{
  store_restore (sim->store, snapshot);
  recheck_watches (sim, NULL);
}

void
sim_set_partition (Sim *sim, uint32_t first, uint32_t second, bool partitioned)
{
  sim->partitioned[first][second] = partitioned;
  sim->partitioned[second][first] = partitioned;
  if (partitioned)
    recheck_watches (sim, NULL);
}

void
sim_isolate_domain (Sim *sim, uint32_t domain, bool partitioned)
{
  for (uint32_t side = 0; side <= SIM_PLATFORM; side++)
    if (side != domain)
      sim_set_partition (sim, domain, side, partitioned);
}

void
sim_set_platform_down (Sim *sim, bool down)
{
  sim->platform_down = down;
  if (down)
    recheck_watches (sim, NULL);
}

/// Executes a call at the store. A successful write triggers the watches of its key.
static TtPlatformEvent
call_store (Sim *sim, const TtPlatformAction *call)
{
  bool stale = call->op != TT_PLATFORM_PUT && sim->stale_read_fraction > 0.0
               && tt_rng_unit (&sim->rng) < sim->stale_read_fraction;
  TtPlatformEvent response = store_call (sim->store, call, stale);

  if (call->op == TT_PLATFORM_PUT && response.code == TT_OK)
    recheck_watches (sim, call->key);
  return response;
}

/// Writes an object as an operator, if the key has the given version. RETURN the error code
static int
put_object (Sim *sim, const char *key, uint64_t version, const TtObject *object)
{
  TtPlatformAction call = { .op = TT_PLATFORM_PUT, .version = version, .object = object };

  (void) snprintf (call.key, sizeof call.key, "%s", key);
  return call_store (sim, &call).code;
}

uint64_t
sim_stage_document (Sim *sim, const char *team, const TtDocument *document, uint32_t number)
{
  static TtObject object;
  const StoreItem *head = sim_find_object (sim, "config/head");
  char key[TT_KEY_MAX];
  size_t length = (size_t) snprintf (key, sizeof key, "documents/");
  TtDigest hash = { 0 };
  uint32_t team_index = 0;

  memcpy (hash.bytes, &number, sizeof number);
  for (size_t i = 0; i < sizeof hash.bytes; i++)
    length += (size_t) snprintf (key + length, sizeof key - length, "%02x", hash.bytes[i]);
  object = (TtObject){ .type = TT_OBJECT_DOCUMENT };
  object.document.hash = hash;
  object.document.document = document;
  object.document.text = sim->document_text;
  object.document.text_size = sim->document_text_bytes;
  (void) snprintf (object.document.team, TT_NAME_MAX, "%s", team);
  (void) snprintf (object.document.author, TT_NAME_MAX, "operator");
  (void) put_object (sim, key, 0, &object);
  object = head != NULL ? head->object : (TtObject){ .type = TT_OBJECT_HEAD };
  object.head.generation = object.head.generation > 0 ? object.head.generation : 1;
  object.head.epoch++;
  while (team_index < object.head.team_count
         && strcmp (object.head.teams[team_index].team, team) != 0)
    team_index++;
  if (team_index == object.head.team_count)
    object.head.team_count++;
  (void) snprintf (object.head.teams[team_index].team, TT_NAME_MAX, "%s", team);
  object.head.teams[team_index].epoch = object.head.epoch;
  object.head.teams[team_index].hash = hash;
  if (put_object (sim, "config/head", head != NULL ? head->version : 0, &object) != TT_OK)
    abort ();
  return object.head.epoch;
}

uint64_t
sim_stage_test_document (Sim *sim, const char *team, TtDetachedMode detached, bool valid)
{
  static TtDocument document;

  memset (&document, 0, sizeof document);
  (void) snprintf (document.team, sizeof document.team, "%s", team);
  document.team_id = tt_hash_string (team);
  document.detached = detached;
  document.detach_after_s = 20;
  document.service_count = 1;
  document.services[0].min_replicas = 1;
  (void) snprintf (document.services[0].name, TT_NAME_MAX, "%s", team);
  document.services[0].id = tt_hash_string (team);
  return sim_stage_document (sim, team, valid ? &document : NULL, ++sim->document_count);
}

void
sim_send_platform_call (Sim *sim, uint32_t index, const TtPlatformAction *call)
{
  SimNode *node = &sim->nodes[index];
  SimEvent *event = sim_event_new (sim, SIM_PLATFORM_CALL, index);

  event->platform_call = *call;
  if (call->op == TT_PLATFORM_PUT)
    {
      event->object = store_copy_object (call->object);
      event->platform_call.object = event->object;
    }
  node->writes += call->op == TT_PLATFORM_PUT;
  node->watches += call->op == TT_PLATFORM_WATCH;
  node->reads += call->op != TT_PLATFORM_PUT;
  sim_push_event (sim, event, sim_random_time (sim, sim->timing.platform_call));
}

/// True if the response to the current write is lost.
static bool
is_response_lost (Sim *sim)
{
  if (sim->lose_next_responses > 0)
    {
      sim->lose_next_responses--;
      return true;
    }
  return sim->response_loss > 0.0 && tt_rng_unit (&sim->rng) < sim->response_loss;
}

/// Executes a call that reached the platform, and fills in the response. RETURN the response's
/// delay
static SimDelayRange
execute_and_respond (Sim *sim, const SimEvent *call, SimEvent *response)
{
  response->event.platform = call_store (sim, &call->platform_call);
  if (call->platform_call.op == TT_PLATFORM_PUT && is_response_lost (sim))
    {
      response->event.platform.code = TT_E_TIMEOUT;
      response->event.platform.object = NULL;
      return sim->timing.lost_response;
    }
  if (response->event.platform.object != NULL)
    {
      // Copies the object because another write may replace it before the response arrives.
      response->object = store_copy_object (response->event.platform.object);
      response->event.platform.object = response->object;
    }
  return sim->timing.platform_response;
}

bool
sim_execute_platform_call (Sim *sim, SimEvent *event)
{
  bool unreachable
      = sim->platform_down || sim->partitioned[sim->nodes[event->node].domain][SIM_PLATFORM];
  SimDelayRange delay = sim->timing.unreachable;
  SimEvent *response;

  if (event->type == SIM_PLATFORM_WATCH)
    {
      if (!tt_link_is_linked (&event->link))
        return true;
      tt_list_remove (&sim->watches, &event->link);
    }
  if (event->platform_arrival_us == 0)
    event->platform_arrival_us = sim->now_us;
  if (!unreachable && event->platform_call.op == TT_PLATFORM_WATCH
      && !store_watch_has_change (sim->store, &event->platform_call)
      && sim->now_us - event->platform_arrival_us < sim->timing.max_watch_us)
    {
      event->type = SIM_PLATFORM_WATCH;
      event->sequence = 0;
      tt_list_append (&sim->watches, &event->link);
      sim_push_event (sim, event, event->platform_arrival_us + sim->timing.max_watch_us);
      return false;
    }
  response = sim_event_new (sim, SIM_BOARD_EVENT, event->node);
  response->process_start_count = event->process_start_count;
  response->event.type = TT_EVENT_PLATFORM_RESPONSE;
  response->event.platform = (TtPlatformEvent){ .call_id = event->platform_call.call_id,
                                                .op = event->platform_call.op,
                                                .code = sim->timing.unreachable_code };
  if (!unreachable)
    delay = execute_and_respond (sim, event, response);
  sim_push_event (sim, response, sim_random_time (sim, delay));
  return true;
}
