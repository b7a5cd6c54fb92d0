#include "balancer.h"
#include <stdio.h>
#include <string.h>

#define PROBE_TIMEOUT_MS 2000
#define STATUS_OK 200

bool
load_balancer_add (Load *load, const char *text)
{
  const char *comma = strchr (text, ',');
  size_t length = comma != NULL ? (size_t) (comma - text) : strlen (text);
  LoadTarget *target = &load->targets[load->target_count];

  if (load->target_count == LOAD_MAX_TARGETS || length >= sizeof target->url
      || strlen (text) - length > sizeof target->ready_url - sizeof "/readyz")
    return false;
  load->target_count++;
  target->load = load;
  memcpy (target->url, text, length);
  target->ready = comma == NULL;
  if (comma != NULL)
    (void) snprintf (target->ready_url, sizeof target->ready_url, "%s/readyz", comma + 1);
  return true;
}

static void
on_headers (void *context, TtHttpCall *call, unsigned status)
{
  (void) call;
  ((LoadTarget *) context)->probe_status = status;
}

static void
on_end (void *context, const TtError *error)
{
  LoadTarget *target = context;

  target->probing = false;
  target->ready = error->code == TT_OK && target->probe_status == STATUS_OK;
}

void
load_balancer_probe (Load *load)
{
  for (int i = 0; i < load->target_count; i++)
    {
      LoadTarget *target = &load->targets[i];
      TtHttpRequest call = { .method = "GET",
                             .url = target->ready_url,
                             .peer = target->ready_url,
                             .connect_timeout_ms = PROBE_TIMEOUT_MS,
                             .total_timeout_ms = PROBE_TIMEOUT_MS,
                             .context = target,
                             .on_headers = on_headers,
                             .on_end = on_end };

      if (target->ready_url[0] == '\0' || target->probing)
        continue;
      target->probe_status = 0;
      target->probing = tt_http_client_start (load->http, &call) != NULL;
    }
}

bool
load_balancer_probes_finished (const Load *load)
{
  for (int i = 0; i < load->target_count; i++)
    if (load->targets[i].probing)
      return false;
  return true;
}

int
load_balancer_pick (Load *load, int avoid)
{
  int candidate = LOAD_NO_TARGET;

  for (int i = 0; i < load->target_count; i++)
    {
      int index = (load->next_target + i) % load->target_count;

      if (!load->targets[index].ready || (index == avoid && candidate != LOAD_NO_TARGET))
        continue;
      candidate = index;
      if (index != avoid)
        break;
    }
  if (candidate != LOAD_NO_TARGET)
    load->next_target = (candidate + 1) % load->target_count;
  return candidate;
}
