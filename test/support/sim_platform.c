#include "support/sim_event.h"
#include "tarragontrack/board/hash.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WATCH_US (50 * TT_SECOND_US)
#define LOST_ANSWER_US (1 * TT_SECOND_US)

SimObject *
sim_object (Sim *sim, const char *key)
{
  for (uint32_t i = 0; i < sim->object_count; i++)
    if (strcmp (sim->objects[i].key, key) == 0)
      return sim->objects[i].version != 0 ? &sim->objects[i] : NULL;
  return NULL;
}

SimObject *
sim_backup (const Sim *sim, uint32_t *count)
{
  SimObject *copy = calloc (sim->object_count + 1, sizeof *copy);

  if (copy == NULL)
    abort ();
  memcpy (copy, sim->objects, sim->object_count * sizeof *copy);
  *count = sim->object_count;
  return copy;
}

void
sim_restore (Sim *sim, const SimObject *backup, uint32_t count)
{
  memset (sim->objects, 0, SIM_OBJECTS * sizeof *sim->objects);
  memcpy (sim->objects, backup, count * sizeof *backup);
  sim->object_count = count;
}

/// Points a document's text and parsed form at the simulation's own copy.
void
sim_set_document (const Sim *sim, const TtDigest *hash, const char **text, uint32_t *size,
                  const TtDocument **document)
{
  uint32_t number;

  memcpy (&number, hash->bytes, sizeof number);
  *text = sim->text;
  *size = sizeof sim->text;
  *document = number > 0 && number <= sim->document_count ? sim->documents[number - 1] : NULL;
}

/// Writes an object conditionally, and ends the watches of its key.
static int
put (Sim *sim, const char *key, uint64_t version, const TtObject *object, uint64_t *now_version)
{
  SimObject *found = NULL;

  for (uint32_t i = 0; i < sim->object_count; i++)
    if (strcmp (sim->objects[i].key, key) == 0)
      found = &sim->objects[i];
  if ((found != NULL ? found->version : 0) != version)
    return TT_E_CONFLICT;
  if (found == NULL)
    {
      if (sim->object_count == SIM_OBJECTS)
        abort ();
      found = &sim->objects[sim->object_count++];
      (void) snprintf (found->key, sizeof found->key, "%s", key);
    }
  found->old_version = found->version;
  found->old_object = found->object;
  // Versions differ after a restore too.
  found->version = sim->sequence + 1;
  sim->sequence++;
  found->object = *object;
  if (object->type == TT_OBJECT_DOCUMENT)
    sim_set_document (sim, &object->document.hash, &found->object.document.text,
                      &found->object.document.text_size, &found->object.document.document);
  if (object->type == TT_OBJECT_ORDERS)
    found->object.orders.count = 0;
  // A real codec sets the hash of the stored text.
  if (object->type == TT_OBJECT_AUDIT)
    memcpy (found->object.audit.hash.bytes, &found->version, sizeof found->version);
  *now_version = found->version;
  // A pushed event may move others, so the heap is searched again after each.
  for (uint32_t i = 0; i < sim->heap_count; i++)
    {
      SimEvent *watch = sim->heap[i];
      SimEvent *again;

      if (watch->type != SIM_WATCH || watch->done || strcmp (watch->call.key, key) != 0)
        continue;
      watch->done = true;
      again = sim_event (sim, SIM_CALL, watch->node);
      again->start = watch->start;
      again->call = watch->call;
      sim_push (sim, again, sim_delay (sim, 500, 2000));
      i = UINT32_MAX;
    }
  return TT_OK;
}

uint64_t
sim_apply (Sim *sim, const char *team, TtDetachedMode detached, bool valid)
{
  TtDocument *document = valid ? calloc (1, sizeof *document) : NULL;
  const SimObject *old = sim_object (sim, "config/head");
  TtObject *object = calloc (1, sizeof *object);
  uint32_t number = ++sim->document_count;
  char key[TT_KEY_MAX];
  uint64_t version = 0;
  size_t length = (size_t) snprintf (key, sizeof key, "documents/");
  uint32_t t = 0;

  if (object == NULL)
    abort ();
  if (document != NULL)
    {
      (void) snprintf (document->team, sizeof document->team, "%s", team);
      document->team_id = tt_hash_string (team);
      document->detached = detached;
      document->detach_after_s = 20;
      document->service_count = 1;
      document->services[0].min_replicas = 1;
      (void) snprintf (document->services[0].name, TT_NAME_MAX, "%s", team);
      document->services[0].id = tt_hash_string (team);
    }
  sim->documents[number - 1] = document;
  object->type = TT_OBJECT_DOCUMENT;
  memcpy (object->document.hash.bytes, &number, sizeof number);
  (void) snprintf (object->document.team, TT_NAME_MAX, "%s", team);
  for (size_t b = 0; b < 32; b++)
    length += (size_t) snprintf (key + length, sizeof key - length, "%02x",
                                 object->document.hash.bytes[b]);
  (void) put (sim, key, 0, object, &version);
  if (old != NULL)
    *object = old->object;
  else
    memset (object, 0, sizeof *object);
  object->type = TT_OBJECT_HEAD;
  if (object->head.generation == 0)
    object->head.generation = 1;
  object->head.epoch++;
  while (t < object->head.team_count && strcmp (object->head.teams[t].team, team) != 0)
    t++;
  if (t == object->head.team_count)
    object->head.team_count++;
  (void) snprintf (object->head.teams[t].team, TT_NAME_MAX, "%s", team);
  object->head.teams[t].epoch = object->head.epoch;
  memset (&object->head.teams[t].hash, 0, sizeof object->head.teams[t].hash);
  memcpy (object->head.teams[t].hash.bytes, &number, sizeof number);
  version = old != NULL ? old->version : 0;
  if (put (sim, "config/head", version, object, &version) != TT_OK)
    abort ();
  uint64_t epoch = object->head.epoch;

  free (object);
  return epoch;
}

/// Answers a host list call: of one failure domain, or of all if the key is empty.
static void
answer_hosts (Sim *sim, SimEvent *event)
{
  TtHostEntry *list;

  event->answer.version = sim->hosts_version;
  event->answer.unchanged = event->call.version == sim->hosts_version;
  if (event->answer.unchanged)
    return;
  event->object = calloc (1, sizeof (TtObject) + sim->host_count * sizeof *list);
  if (event->object == NULL)
    abort ();
  list = (TtHostEntry *) (event->object + 1);
  event->object->type = TT_OBJECT_HOSTS;
  event->object->hosts.hosts = list;
  for (uint32_t i = 0; i < sim->host_count; i++)
    if (event->call.key[0] == '\0' || strcmp (sim->hosts[i].domain, event->call.key) == 0)
      list[event->object->hosts.count++] = sim->hosts[i];
}

/// Executes a call at the platform and sends its answer.
void
sim_execute (Sim *sim, SimEvent *event)
{
  const SimObject *found = sim_object (sim, event->call.key);
  TtPlatformEvent *answer = &event->answer;
  int64_t time_us = sim_delay (sim, 500, 3000);

  *answer = (TtPlatformEvent){ .call_id = event->call.call_id, .op = event->call.op };
  if (sim->platform_down || sim->cut[sim->nodes[event->node].domain])
    answer->code = TT_E_UNAVAILABLE;
  else if (event->call.op == TT_PLATFORM_HOSTS)
    answer_hosts (sim, event);
  else if (event->call.op == TT_PLATFORM_PUT)
    {
      answer->code
          = put (sim, event->call.key, event->call.version, event->object, &answer->version);
      free (event->object);
      event->object = NULL;
      if (tt_rng_unit (&sim->rng) < sim->lost_answers)
        {
          answer->code = TT_E_TIMEOUT;
          time_us += LOST_ANSWER_US;
        }
    }
  else if (event->call.op == TT_PLATFORM_WATCH && found != NULL
           && found->version == event->call.version)
    {
      event->type = SIM_WATCH;
      sim_push (sim, event, sim->now_us + WATCH_US);
      return;
    }
  else if (found == NULL || (sim->stale_reads && found->old_version == 0))
    answer->code = TT_E_NOT_FOUND;
  else
    {
      event->object = malloc (sizeof *event->object);
      if (event->object == NULL)
        abort ();
      *event->object = sim->stale_reads ? found->old_object : found->object;
      answer->version = sim->stale_reads ? found->old_version : found->version;
    }
  answer->object = event->object;
  event->type = SIM_ANSWER;
  sim_push (sim, event, time_us);
}
