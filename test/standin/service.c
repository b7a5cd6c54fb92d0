/// Stand-in for a plain service: responds to every path and counts executions by Idempotency-Key.
#include "common/standin.h"
#include "tarragontrack/board/list.h"
#include <h2o.h>
#include <stdio.h>
#include <string.h>

#define KEY_MAX 96
/// Maximum number of recorded keys. Executions of further keys only count in the total.
#define MAX_EXECUTIONS 100000

typedef struct
{
  TtLink link;
  char key[KEY_MAX];
  unsigned count;
} Execution;

typedef struct RequestGuard RequestGuard;

/// A call in progress.
typedef struct
{
  TtLink link;
  RequestGuard *guard; ///< NULL once h2o has freed the request
  h2o_req_t *request;  ///< NULL once h2o has freed the request
  uint64_t due_ms;
  char key[KEY_MAX];
} Job;

/// Allocated in the request's h2o memory pool, so that h2o calls its destructor when it frees the
/// request. The destructor detaches the job from the request.
struct RequestGuard
{
  Job *job; ///< NULL once the job is freed
};

typedef struct
{
  Standin standin;
  long delay_ms;
  TtList executions;
  TtList jobs;
  uint64_t total;
  long lose_responses; ///< number of upcoming calls to execute without sending a response
  long reject_calls;   ///< number of upcoming calls to reject with a 503, without execution
  bool silent;         ///< calls are executed, but never get a response
  uv_timer_t tick;
} Service;

static void
on_request_freed (void *data)
{
  Job *job = ((RequestGuard *) data)->job;

  if (job == NULL)
    return;
  job->request = NULL;
  job->guard = NULL;
}

/// Counts an execution under its key.
static void
count_execution (Service *service, const char *key)
{
  Execution *execution;

  service->total++;
  TT_LIST_FOREACH (&service->executions, it)
    {
      execution = TT_CONTAINER_OF (it, Execution, link);
      if (strcmp (execution->key, key) == 0)
        {
          execution->count++;
          return;
        }
    }
  if (service->executions.count == MAX_EXECUTIONS)
    return;
  execution = calloc (1, sizeof *execution);
  (void) snprintf (execution->key, sizeof execution->key, "%s", key);
  execution->count = 1;
  tt_list_append (&service->executions, &execution->link);
}

static void
send_executions (Service *service, h2o_req_t *request)
{
  json_object *root = json_object_new_object ();
  json_object *keys = json_object_new_object ();

  TT_LIST_FOREACH (&service->executions, it)
    {
      const Execution *execution = TT_CONTAINER_OF (it, Execution, link);

      json_object_object_add (keys, execution->key, json_object_new_int ((int) execution->count));
    }
  json_object_object_add (root, "total", json_object_new_uint64 (service->total));
  json_object_object_add (root, "keys", keys);
  standin_send_json (request, 200, root);
}

static void
handle_control (Service *service, h2o_req_t *request)
{
  json_object *body = standin_parse_body (request);

  service->delay_ms = standin_json_integer (body, "delay_ms", service->delay_ms);
  service->lose_responses = standin_json_integer (body, "lose", service->lose_responses);
  service->reject_calls = standin_json_integer (body, "refuse", service->reject_calls);
  service->silent = standin_json_integer (body, "silent", service->silent) != 0;
  json_object_put (body);
  standin_send_json (request, 200, json_object_new_object ());
}

static void
on_request (void *context, h2o_req_t *request)
{
  Service *service = context;
  const char *key = tt_http_server_get_header (request, "idempotency-key");
  RequestGuard *guard;
  Job *job;

  if (standin_request_matches (request, "GET", "/executions"))
    send_executions (service, request);
  else if (standin_request_matches (request, "POST", "/control"))
    handle_control (service, request);
  else if (service->reject_calls > 0)
    {
      service->reject_calls--;
      standin_send_json (request, 503, json_object_new_object ());
    }
  else
    {
      job = calloc (1, sizeof *job);
      job->request = request;
      job->due_ms = uv_now (service->standin.loop) + (uint64_t) service->delay_ms;
      (void) snprintf (job->key, sizeof job->key, "%s", key != NULL ? key : "");
      guard = h2o_mem_alloc_shared (&request->pool, sizeof *guard, on_request_freed);
      guard->job = job;
      job->guard = guard;
      tt_list_append (&service->jobs, &job->link);
      count_execution (service, job->key);
    }
}

/// Sends the response of a due call, or closes its connection if the response is to be lost.
static void
send_response (Service *service, Job *job)
{
  json_object *response = json_object_new_object ();

  json_object_object_add (response, "key", json_object_new_string (job->key));
  json_object_object_add (response, "result", json_object_new_string ("executed"));
  if (service->lose_responses > 0)
    {
      service->lose_responses--;
      standin_close_connection (job->request);
    }
  standin_send_json (job->request, 200, response);
}

static void
on_tick (uv_timer_t *timer)
{
  Service *service = timer->data;

  TT_LIST_FOREACH (&service->jobs, it)
    {
      Job *job = TT_CONTAINER_OF (it, Job, link);

      if (job->request != NULL && (service->silent || uv_now (timer->loop) < job->due_ms))
        continue;
      tt_list_remove (&service->jobs, &job->link);
      if (job->request != NULL)
        send_response (service, job);
      if (job->guard != NULL)
        job->guard->job = NULL; // h2o still writes the response
      free (job);
    }
}

int
main (int argc, char **argv)
{
  long port = 0;
  long lifetime_s = 60;
  Service service = { .delay_ms = 5 };
  const StandinOption options[] = {
    { "port", &port, "port on 127.0.0.1" },
    { "lifetime", &lifetime_s, "seconds until the process exits" },
    { "delay-ms", &service.delay_ms, "duration of a call in milliseconds" },
  };

  tt_list_init (&service.executions);
  tt_list_init (&service.jobs);
  if (!standin_parse_options (argc, argv, options, sizeof options / sizeof options[0])
      || standin_listen (&service.standin, port, &service, on_request) != 0)
    return 1;
  (void) uv_timer_init (service.standin.loop, &service.tick);
  service.tick.data = &service;
  (void) uv_timer_start (&service.tick, on_tick, 1, 1);
  return standin_serve (&service.standin, lifetime_s);
}
