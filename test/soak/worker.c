#include "worker.h"
#include "proxy.h"
#include "store.h"
#include <h2o.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_HEADER 65536
#define MAX_BODY (1 << 20)
#define READ_TIMEOUT_MS 60000
/// Time of a plain request; long enough that crashes and resets meet some of them at work.
#define PLAIN_US 100000
#define EVENT_US 15000   ///< time of an event
#define DRAIN_US 2000000 ///< after which a leaving backend server gets no new work
#define DRAIN_SLACK_US 500000
#define SETTLED_US 3000000 ///< after which bounds hold again

typedef struct Guard Guard;

/// A request that runs.
typedef struct
{
  TtLink link; ///< on `jobs`
  SoakWorker *worker;
  unsigned boot;
  h2o_req_t *request; ///< NULL once the daemon has gone
  Guard *guard;
  h2o_generator_t generator;
  char id[SOAK_ID_MAX];
  int64_t due_us;
  unsigned next; ///< event
  bool stream;
  bool begun;
  bool sending;
  bool ended;
} Job;

struct Guard
{
  Job *job; ///< NULL once it was freed
};

static TtList jobs;

static void
on_dispose (void *data)
{
  Guard *guard = data;

  if (guard->job != NULL)
    {
      guard->job->request = NULL;
      guard->job->guard = NULL;
    }
}

static void
format_id (const SoakWorker *worker, char *text, size_t size)
{
  (void) snprintf (text, size, "i-%u-%u", worker->index, worker->boot);
}

static void
register_worker (SoakWorker *worker)
{
  json_object *spec = json_object_new_object ();
  char text[64];

  json_object_object_add (spec, "Service",
                          json_object_new_string (worker->index < SOAK_ENGINES ? "llm" : "desk"));
  (void) snprintf (text, sizeof text, "127.0.0.1:%u", proxy_port (worker->proxy));
  json_object_object_add (spec, "Address", json_object_new_string (text));
  json_object_object_add (spec, "Zone", json_object_new_string ("z"));
  json_object_object_add (spec, "Slots", json_object_new_int (16));
  json_object_object_add (spec, "State",
                          json_object_new_string (worker->leaving ? "draining" : "ready"));
  json_object_object_add (spec, "born", json_object_new_int64 ((int64_t) worker->boot + 1));
  format_id (worker, text, sizeof text);
  soak_store_put (&worker->soak->store, "servers", text, spec);
}

static void
refuse (h2o_req_t *request, unsigned status)
{
  tt_http_server_add_header (request, "not-executed", "1");
  tt_http_server_send (request, status, "text/plain", "", 0);
}

/// Checks what a daemon sent. RETURN false if it was answered here.
static bool
check_request (SoakWorker *worker, h2o_req_t *request, const char *id)
{
  Soak *soak = worker->soak;
  const char *wanted = tt_http_server_header (request, "expect-instance");
  const char *account = tt_http_server_header (request, "tenant");
  char own[32];

  format_id (worker, own, sizeof own);
  if (wanted == NULL || strcmp (wanted, own) != 0)
    {
      refuse (request, 421);
      return false;
    }
  if (soak_request_find (soak, id) == NULL)
    soak_violation (soak, "UNASKED", "request %s was sent by no caller", id);
  if (account == NULL || strcmp (account, "acc") != 0)
    soak_violation (soak, "UNASKED", "request %s for account %s", id,
                    account != NULL ? account : "none");
  if (tt_http_server_header (request, "authorization") != NULL)
    soak_violation (soak, "UNASKED", "request %s carries its caller's key", id);
  if (worker->leaving && worker->left_us != 0
      && soak_now_us () - worker->left_us > DRAIN_US + DRAIN_SLACK_US
      && soak_calm_us (soak, NULL) > SETTLED_US + DRAIN_US)
    soak_violation (soak, "DRAIN", "request %s reached %s %lld ms after it left", id, own,
                    (long long) (soak_now_us () - worker->left_us) / 1000);
  return true;
}

static void
on_request (void *context, h2o_req_t *request)
{
  SoakWorker *worker = context;
  const char *id = tt_http_server_header (request, "attempt-id");
  const char *last = tt_http_server_header (request, "last-event-id");
  SoakRequest *record;
  Guard *guard;
  Job *job;

  if (id == NULL || !check_request (worker, request, id))
    return;
  record = soak_request_find (worker->soak, id);
  if (record != NULL)
    {
      record->runs++;
      if (record->refused)
        soak_violation (worker->soak, "REFUSED", "request %s runs after it was refused", id);
      if (record->kind == SOAK_ONCE && record->runs > 1)
        soak_violation (worker->soak, "TWICE", "request %s runs for the %u. time", id,
                        record->runs);
    }
  job = calloc (1, sizeof *job);
  job->worker = worker;
  job->boot = worker->boot;
  job->request = request;
  (void) snprintf (job->id, sizeof job->id, "%s", id);
  job->stream = worker->index < SOAK_ENGINES;
  job->next = last != NULL ? (unsigned) strtoul (last, NULL, 10) + 1 : 1;
  job->due_us = soak_now_us () + (job->stream ? EVENT_US : PLAIN_US);
  guard = h2o_mem_alloc_shared (&request->pool, sizeof *guard, on_dispose);
  guard->job = job;
  job->guard = guard;
  tt_list_append (&jobs, &job->link);
}

static void
on_proceed (h2o_generator_t *generator, h2o_req_t *request)
{
  (void) request;
  TT_CONTAINER_OF (generator, Job, generator)->sending = false;
}

static void
begin (Job *job)
{
  h2o_req_t *request = job->request;

  job->begun = true;
  tt_http_server_add_header (request, "attempt-id", job->id);
  tt_http_server_add_header (request, "response-signature", job->id);
  tt_http_server_add_header (request, "instance-load", "1,0,16");
  request->res.status = 200;
  request->res.reason = "OK";
}

/// Breaks the connection in the middle of an answer.
static void
spoil (Job *job)
{
  h2o_socket_t *socket = job->request->conn->callbacks->get_socket (job->request->conn);

  job->worker->spoil--;
  (void) shutdown (h2o_socket_get_fd (socket), SHUT_RDWR);
}

static void
send_event (Job *job)
{
  char text[96];
  h2o_iovec_t bytes;
  bool last = job->next == SOAK_EVENTS;

  if (!job->begun)
    {
      begin (job);
      tt_http_server_add_header (job->request, "content-type", "text/event-stream");
      job->request->res.content_length = SIZE_MAX;
      job->generator.proceed = on_proceed;
      h2o_start_response (job->request, &job->generator);
    }
  if (job->worker->spoil > 0 && job->next == SOAK_EVENTS / 2)
    spoil (job);
  bytes = h2o_strdup (&job->request->pool, text,
                      (size_t) snprintf (text, sizeof text, "id: %u\ndata: %s %u\n\n", job->next,
                                         job->id, job->next));
  job->next++;
  job->sending = true;
  job->ended = last;
  h2o_send (job->request, &bytes, 1, last ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS);
}

static void
send_plain (Job *job)
{
  char text[64];

  if (job->worker->spoil > 0)
    spoil (job);
  begin (job);
  (void) snprintf (text, sizeof text, "done %s", job->id);
  job->ended = true;
  tt_http_server_send (job->request, 200, "text/plain", text, strlen (text));
}

static void
free_job (Job *job)
{
  tt_list_remove (&jobs, &job->link);
  if (job->guard != NULL)
    job->guard->job = NULL;
  free (job);
}

void
soak_worker_tick (Soak *soak)
{
  int64_t now_us = soak_now_us ();

  (void) soak;
  TT_LIST_FOREACH (&jobs, it)
    {
      Job *job = TT_CONTAINER_OF (it, Job, link);

      if (job->request != NULL && !job->ended && !job->sending && now_us >= job->due_us
          && job->boot == job->worker->boot)
        {
          job->due_us = now_us + EVENT_US;
          if (job->stream)
            send_event (job);
          else
            send_plain (job);
        }
      if (job->request == NULL || (job->ended && !job->stream))
        free_job (job);
    }
}

bool
soak_worker_start (SoakWorker *worker)
{
  TtHttpServerOptions options = { .address = "127.0.0.1",
                                  .max_connections = 512,
                                  .max_body_bytes = MAX_BODY,
                                  .max_header_bytes = MAX_HEADER,
                                  .read_timeout_ms = READ_TIMEOUT_MS,
                                  .context = worker,
                                  .on_request = on_request };
  TtError error;

  if (jobs.head.next == NULL)
    tt_list_init (&jobs);
  worker->port = options.port = soak_free_port (worker->soak->loop);
  worker->server = tt_http_server_new (worker->soak->loop, &options, &error);
  if (worker->server == NULL)
    return false;
  if (worker->proxy == NULL)
    worker->proxy = proxy_new (worker->soak->loop, worker->port);
  if (worker->proxy == NULL)
    return false;
  proxy_set_target (worker->proxy, worker->port);
  worker->boot++;
  worker->leaving = false;
  worker->left_us = 0;
  register_worker (worker);
  return true;
}

void
soak_worker_crash (SoakWorker *worker, bool lapse)
{
  char id[32];

  format_id (worker, id, sizeof id);
  proxy_reset (worker->proxy);
  proxy_set_target (worker->proxy, 1); // nothing listens there
  tt_http_server_shut_down (worker->server);
  worker->server = NULL;
  if (lapse)
    soak_store_remove (&worker->soak->store, "servers", id);
}

void
soak_worker_leave (SoakWorker *worker)
{
  worker->leaving = true;
  worker->left_us = soak_now_us ();
  register_worker (worker);
}
