/// Event queue: a binary heap ordered by time and sequence number.
#include "support/sim_event.h"
#include <stdlib.h>

static bool
is_before (const SimEvent *a, const SimEvent *b)
{
  return a->time_us != b->time_us ? a->time_us < b->time_us : a->sequence < b->sequence;
}

void
sim_push_event (Sim *sim, SimEvent *event, int64_t time_us)
{
  uint32_t i = sim->heap_count++;

  event->time_us = time_us;
  if (event->sequence == 0)
    event->sequence = ++sim->last_sequence;
  if (sim->heap_count > sim->heap_capacity)
    {
      sim->heap_capacity = sim->heap_capacity * 2 + 1024;
      sim->heap = realloc (sim->heap, sim->heap_capacity * sizeof (SimEvent *));
      if (sim->heap == NULL)
        abort ();
    }
  while (i > 0 && is_before (event, sim->heap[(i - 1) / 2]))
    {
      sim->heap[i] = sim->heap[(i - 1) / 2];
      i = (i - 1) / 2;
    }
  sim->heap[i] = event;
}

SimEvent *
sim_pop_event (Sim *sim)
{
  SimEvent *first = sim->heap[0];
  SimEvent *last = sim->heap[--sim->heap_count];
  uint32_t i = 0;

  for (;;)
    {
      uint32_t child = 2 * i + 1;

      if (child >= sim->heap_count)
        break;
      if (child + 1 < sim->heap_count && is_before (sim->heap[child + 1], sim->heap[child]))
        child++;
      if (!is_before (sim->heap[child], last))
        break;
      sim->heap[i] = sim->heap[child];
      i = child;
    }
  sim->heap[i] = last;
  return first;
}

SimEvent *
sim_event_new (const Sim *sim, SimEventType type, uint32_t node)
{
  SimEvent *event = calloc (1, sizeof *event);

  if (event == NULL)
    abort ();
  event->type = type;
  event->node = node;
  tt_link_init (&event->link);
  event->process_start_count = sim->nodes[node].start_count;
  return event;
}

void
sim_event_free (SimEvent *event)
{
  free (event->message);
  store_free_object (event->object);
  free (event);
}

int64_t
sim_random_time (Sim *sim, SimDelayRange range)
{
  // tt_rng_below() draws no random number if the range is empty.
  return sim->now_us + range.min_us
         + (int64_t) tt_rng_below (&sim->rng, (uint64_t) (range.max_us - range.min_us));
}
