#include "backend.h"
#include "faults.h"
#include "garbage.h"
#include "notice.h"
#include "proxy.h"
#include "store.h"
#include <h2o.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define MAX_HEADER 65536
#define MAX_BODY (16 << 20)
#define READ_TIMEOUT_MS 60000
/// Duration of a plain request; long enough that crashes and resets interrupt some of them.
#define PLAIN_RESPONSE_US 100000
#define EVENT_INTERVAL_US 15000 ///< interval between stream events
#define DRAIN_SLACK_US 500000   ///< tolerance added to DRAIN_US
#define DEADLY_CRASHES 5

typedef struct RequestGuard RequestGuard;

/// A request in progress.
typedef struct
{
  TtLink link; ///< on `jobs`
  SoakBackend *backend;
  unsigned incarnation; ///< SoakBackend.incarnation when the request arrived
  h2o_req_t *request;   ///< NULL once h2o has freed the request
  RequestGuard *guard;
  h2o_generator_t generator;
  char id[SOAK_ID_MAX];
  int64_t due_us;
  unsigned next_event; ///< number of the next event, from 1
  bool stream;
  bool deadly;          ///< the backend server crashes when it begins to answer
  SoakGarbage *garbage; ///< the spoilt answer, written past h2o; NULL = the answer is sound
  bool garbage_after;   ///< garbage follows the sound answer on a kept connection
  bool started;
  bool sending;
  bool finished;
} BackendJob;

/// Allocated in the request's h2o memory pool, so that h2o calls its destructor when it frees the
/// request. The destructor detaches the job from the request.
struct RequestGuard
{
  BackendJob *job; ///< NULL once the job is freed
};

static TtList jobs;

static void
on_request_freed (void *data)
{
  RequestGuard *guard = data;

  if (guard->job != NULL)
    {
      guard->job->request = NULL;
      guard->job->guard = NULL;
    }
}

static void
format_instance_id (const SoakBackend *backend, char *text, size_t size)
{
  (void) snprintf (text, size, "i-%u-%u", backend->index, backend->incarnation);
}

void
soak_backend_register (SoakBackend *backend)
{
  json_object *spec = json_object_new_object ();
  char text[64];

  json_object_object_add (spec, "Service",
                          json_object_new_string (backend->index < SOAK_ENGINES ? "llm" : "desk"));
  (void) snprintf (text, sizeof text, "127.0.0.1:%u", proxy_port (backend->proxy));
  json_object_object_add (spec, "Address", json_object_new_string (text));
  (void) snprintf (text, sizeof text, "z%u", backend->index % soak_domain_count (backend->soak));
  json_object_object_add (spec, "Zone", json_object_new_string (text));
  json_object_object_add (spec, "Slots", json_object_new_int (16));
  json_object_object_add (spec, "State",
                          json_object_new_string (backend->draining ? "draining" : "ready"));
  json_object_object_add (spec, "born", json_object_new_int64 ((int64_t) backend->incarnation + 1));
  format_instance_id (backend, text, sizeof text);
  soak_store_put (&backend->soak->store, "servers", text, spec);
}

/// Adds the headers that all responses of a backend server have.
static void
add_instance_headers (const SoakBackend *backend, h2o_req_t *request)
{
  char instance_id[32];

  format_instance_id (backend, instance_id, sizeof instance_id);
  tt_http_server_add_header (request, "x-instance",
                             h2o_strdup (&request->pool, instance_id, SIZE_MAX).base);
  if (backend->says_leaving)
    tt_http_server_add_header (request, "server-leaving", "1");
}

static void
reject_request (const SoakBackend *backend, h2o_req_t *request, unsigned status)
{
  tt_http_server_add_header (request, "not-executed", "1");
  add_instance_headers (backend, request);
  tt_http_server_send_response (request, status, "text/plain", "", 0);
}

/// Checks a request from a daemon. RETURN false if it was rejected with a response.
static bool
check_request (SoakBackend *backend, h2o_req_t *request, const char *id)
{
  Soak *soak = backend->soak;
  const char *expected_instance = tt_http_server_get_header (request, "expect-instance");
  const char *account = tt_http_server_get_header (request, "tenant");
  char instance_id[32];

  format_instance_id (backend, instance_id, sizeof instance_id);
  if (expected_instance == NULL || strcmp (expected_instance, instance_id) != 0)
    {
      reject_request (backend, request, 421);
      return false;
    }
  if (soak_request_find (soak, id) == NULL)
    soak_violation (soak, "UNASKED", "request %s was sent by no caller", id);
  if (account == NULL || strcmp (account, "acc") != 0)
    soak_violation (soak, "UNASKED", "request %s for account %s", id,
                    account != NULL ? account : "none");
  if (tt_http_server_get_header (request, "authorization") != NULL)
    soak_violation (soak, "UNASKED", "request %s carries its caller's key", id);
  if (backend->draining && backend->draining_since_us != 0
      && soak_now_us () - backend->draining_since_us > DRAIN_US + DRAIN_SLACK_US
      && soak_time_since_fault_us (soak, NULL) > RECOVERY_US + DRAIN_US)
    soak_violation (soak, "DRAIN", "request %s reached %s %lld ms after it left", id, instance_id,
                    (long long) (soak_now_us () - backend->draining_since_us) / 1000);
  return true;
}

/// Rejects a request with a time for which the daemon must leave the backend server alone.
static void
reject_for_a_while (SoakBackend *backend, h2o_req_t *request, const SoakRequest *record)
{
  Soak *soak = backend->soak;
  SoakNotice *notice = &soak->daemons[record->daemon].notices[backend->index];
  uint64_t ms = 1000 + tt_rng_below (&soak->rng, 2500);
  int64_t until_us = soak_now_us () + (int64_t) ms * 1000;
  char text[32];

  backend->reject_requests--;
  if (notice->incarnation != backend->incarnation)
    *notice = (SoakNotice){ .incarnation = backend->incarnation };
  // A longer time that was named before is still in force. A response over a disturbed path may not
  // reach the daemon.
  if (!backend->path_faulty && until_us > notice->retry_after_us)
    {
      notice->rejected_us = soak_now_us ();
      notice->retry_after_us = until_us;
      notice->requests_inside = 0;
    }
  (void) snprintf (text, sizeof text, "%u.%03u", (unsigned) (ms / 1000), (unsigned) (ms % 1000));
  tt_http_server_add_header (request, "retry-after",
                             h2o_strdup (&request->pool, text, SIZE_MAX).base);
  reject_request (backend, request, 503);
}

/// Draws how the answer is spoilt.
static void
spoil_answer (BackendJob *job)
{
  SoakBackend *backend = job->backend;
  TtRng *rng = &backend->soak->garbage_rng;
  char instance_id[32];
  char headers[320];
  char text[160];
  SoakAnswer answer = {
    .id = job->id, .headers = headers, .stream = job->stream, .first_event = job->next_event
  };

  backend->spoil_answers--;
  backend->soak->spoilt++;
  job->garbage_after = tt_rng_below (rng, 6) == 0;
  if (job->garbage_after)
    return;
  format_instance_id (backend, instance_id, sizeof instance_id);
  (void) snprintf (headers, sizeof headers,
                   "Content-Type: %s\r\nX-Instance: %s\r\nAttempt-Id: %s\r\n"
                   "Response-Signature: %s\r\nInstance-Load: 1,0,16\r\n%s",
                   job->stream ? "text/event-stream" : "text/plain", instance_id, job->id, job->id,
                   backend->says_leaving ? "Server-Leaving: 1\r\n" : "");
  job->garbage = soak_garbage_new (rng, &answer);
  soak_garbage_describe (job->garbage, text, sizeof text);
  soak_log (backend->soak, "backend server %u spoils the answer to %s: %s", backend->index, job->id,
            text);
}

static void
on_request (void *context, h2o_req_t *request)
{
  SoakBackend *backend = context;
  const char *id = tt_http_server_get_header (request, "attempt-id");
  const char *last_event_id = tt_http_server_get_header (request, "last-event-id");
  SoakRequest *record;
  RequestGuard *guard;
  BackendJob *job;

  if (id == NULL || !check_request (backend, request, id))
    return;
  if (soak_now_us () > backend->soak->end_us - FINAL_PHASE_US)
    backend->final_phase_requests++;
  record = soak_request_find (backend->soak, id);
  if (record != NULL)
    {
      soak_notice_check (backend, record);
      if (backend->reject_requests > 0)
        {
          reject_for_a_while (backend, request, record);
          return;
        }
      record->executions++;
      if (record->rejected)
        soak_violation (backend->soak, "REFUSED", "request %s runs after it was refused", id);
      if ((record->kind == SOAK_KIND_NON_IDEMPOTENT
           || (record->kind == SOAK_KIND_STREAMING && !record->resumable))
          && record->executions > 1)
        soak_violation (backend->soak, "TWICE", "request %s runs for the %u. time", id,
                        record->executions);
    }
  job = calloc (1, sizeof *job);
  job->backend = backend;
  job->incarnation = backend->incarnation;
  job->request = request;
  (void) snprintf (job->id, sizeof job->id, "%s", id);
  job->stream = backend->index < SOAK_ENGINES;
  job->next_event = last_event_id != NULL ? (unsigned) strtoul (last_event_id, NULL, 10) + 1 : 1;
  job->deadly = record != NULL && record->deadly;
  job->due_us = soak_now_us () + (job->stream ? EVENT_INTERVAL_US : PLAIN_RESPONSE_US);
  if (backend->spoil_answers > 0 && !job->deadly)
    spoil_answer (job);
  guard = h2o_mem_alloc_shared (&request->pool, sizeof *guard, on_request_freed);
  guard->job = job;
  job->guard = guard;
  tt_list_append (&jobs, &job->link);
}

static void
on_proceed (h2o_generator_t *generator, h2o_req_t *request)
{
  (void) request;
  TT_CONTAINER_OF (generator, BackendJob, generator)->sending = false;
}

static void
start_response (BackendJob *job)
{
  h2o_req_t *request = job->request;

  job->started = true;
  add_instance_headers (job->backend, request);
  tt_http_server_add_header (request, "attempt-id", job->id);
  tt_http_server_add_header (request, "response-signature", job->id);
  tt_http_server_add_header (request, "instance-load", "1,0,16");
  request->res.status = 200;
  request->res.reason = "OK";
}

static int
connection_fd (const BackendJob *job)
{
  return h2o_socket_get_fd (job->request->conn->callbacks->get_socket (job->request->conn));
}

/// Closes the connection in the middle of a response.
static void
truncate_response (BackendJob *job)
{
  job->backend->truncate_responses--;
  (void) shutdown (connection_fd (job), SHUT_RDWR);
}

/// Sends the next part of a spoilt answer; after the last, closes the connection, which h2o notices
/// when it sends.
static void
send_garbage (BackendJob *job)
{
  job->due_us = 0;
  if (soak_garbage_write (job->garbage, &job->backend->soak->garbage_rng, connection_fd (job)))
    return;
  (void) shutdown (connection_fd (job), SHUT_RDWR);
  job->finished = true;
  tt_http_server_send_response (job->request, 200, "text/plain", "", 0);
}

/// Writes garbage after the answer that h2o has just written. @fd: a copy, which is closed.
static void
send_garbage_after (const BackendJob *job, int fd)
{
  soak_log (job->backend->soak, "backend server %u sends garbage after the answer to %s",
            job->backend->index, job->id);
  soak_garbage_write_tail (&job->backend->soak->garbage_rng, fd);
  (void) close (fd);
}

/// Crashes the engine that begins to answer a request with a deadly part.
static void
crash_on_deadly_part (BackendJob *job)
{
  Soak *soak = job->backend->soak;

  soak_log (soak, "backend server %u crashes on request %s", job->backend->index, job->id);
  if (++soak->deadly_crashes == DEADLY_CRASHES)
    soak->fifth_deadly_crash_us = soak_now_us ();
  soak_crash_backend (soak, job->backend->index, false);
}

static void
send_event (BackendJob *job)
{
  char text[96];
  h2o_iovec_t bytes;
  size_t events; // none if the stream is resumed after its last
  bool last = job->next_event >= SOAK_STREAM_EVENTS;
  int fd = last && job->garbage_after ? dup (connection_fd (job)) : -1;

  if (job->deadly)
    {
      crash_on_deadly_part (job);
      return;
    }
  if (!job->started)
    {
      start_response (job);
      tt_http_server_add_header (job->request, "content-type", "text/event-stream");
      job->request->res.content_length = SIZE_MAX;
      job->generator.proceed = on_proceed;
      h2o_start_response (job->request, &job->generator);
    }
  if (job->backend->truncate_responses > 0 && job->next_event == SOAK_STREAM_EVENTS / 2)
    truncate_response (job);
  bytes = h2o_strdup (&job->request->pool, text,
                      (size_t) snprintf (text, sizeof text, "id: %u\ndata: %s %u\n\n",
                                         job->next_event, job->id, job->next_event));
  events = job->next_event <= SOAK_STREAM_EVENTS ? 1 : 0;
  job->next_event++;
  job->sending = true;
  job->finished = last;
  h2o_send (job->request, &bytes, events, last ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS);
  if (fd >= 0)
    send_garbage_after (job, fd);
}

static void
send_complete_response (BackendJob *job)
{
  char text[64];
  int fd = job->garbage_after ? dup (connection_fd (job)) : -1;

  if (job->backend->truncate_responses > 0)
    truncate_response (job);
  start_response (job);
  (void) snprintf (text, sizeof text, "done %s", job->id);
  job->finished = true;
  tt_http_server_send_response (job->request, 200, "text/plain", text, strlen (text));
  if (fd >= 0)
    send_garbage_after (job, fd);
}

static void
free_job (BackendJob *job)
{
  tt_list_remove (&jobs, &job->link);
  if (job->guard != NULL)
    job->guard->job = NULL;
  soak_garbage_free (job->garbage);
  free (job);
}

void
soak_backend_tick (Soak *soak)
{
  int64_t now_us = soak_now_us ();

  (void) soak;
  TT_LIST_FOREACH (&jobs, it)
    {
      BackendJob *job = TT_CONTAINER_OF (it, BackendJob, link);

      if (job->request != NULL && !job->finished && !job->sending && now_us >= job->due_us
          && job->incarnation == job->backend->incarnation && job->backend->server != NULL)
        {
          job->due_us = now_us + EVENT_INTERVAL_US;
          if (job->garbage != NULL)
            send_garbage (job);
          else if (job->stream)
            send_event (job);
          else
            send_complete_response (job);
        }
      if (job->request == NULL || (job->finished && !job->stream))
        free_job (job);
    }
}

bool
soak_backend_start (SoakBackend *backend)
{
  TtHttpServerOptions options = { .address = "127.0.0.1",
                                  .max_connections = 512,
                                  .max_body_bytes = MAX_BODY,
                                  .max_header_bytes = MAX_HEADER,
                                  .read_timeout_ms = READ_TIMEOUT_MS,
                                  .context = backend,
                                  .on_request = on_request };
  TtError error;

  if (jobs.head.next == NULL)
    tt_list_init (&jobs);
  backend->port = options.port = soak_free_port (backend->soak);
  backend->server = tt_http_server_new (backend->soak->loop, &options, &error);
  if (backend->server == NULL)
    return false;
  if (backend->proxy == NULL)
    backend->proxy = proxy_new (backend->soak->loop, backend->port);
  if (backend->proxy == NULL)
    return false;
  proxy_set_target (backend->proxy, backend->port);
  backend->incarnation++;
  backend->started_us = soak_now_us ();
  backend->draining = backend->says_leaving = false;
  backend->draining_since_us = 0;
  backend->reject_requests = 0;
  soak_backend_register (backend);
  return true;
}

void
soak_backend_crash (SoakBackend *backend, bool remove_entry)
{
  char id[32];

  format_instance_id (backend, id, sizeof id);
  proxy_reset (backend->proxy);
  proxy_set_target (backend->proxy, 1); // no process listens on this port
  tt_http_server_shut_down (backend->server);
  backend->server = NULL;
  if (remove_entry)
    soak_store_remove (&backend->soak->store, "servers", id);
}

void
soak_backend_expire_entries (const SoakBackend *backend)
{
  char id[32];

  for (unsigned i = 1; i < backend->incarnation; i++)
    {
      (void) snprintf (id, sizeof id, "i-%u-%u", backend->index, i);
      soak_store_remove (&backend->soak->store, "servers", id);
    }
}

void
soak_backend_drain (SoakBackend *backend)
{
  backend->draining = backend->says_leaving = true;
  backend->draining_since_us = soak_now_us ();
  soak_backend_register (backend);
}
