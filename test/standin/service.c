/// Stand-in for a plain service: answers every path and records each execution by Idempotency-Key.
#include "common/standin.h"
#include "tarragontrack/board/list.h"
#include <h2o.h>
#include <stdio.h>
#include <string.h>

#define KEY_MAX 96
#define MAX_EXECUTIONS 100000 ///< later ones are counted only

typedef struct
{
  TtLink link;
  char key[KEY_MAX];
  unsigned count;
} Execution;

typedef struct Guard Guard;

/// A call that runs.
typedef struct
{
  TtLink link;
  Guard *guard;       ///< NULL once the request is freed
  h2o_req_t *request; ///< NULL once the caller has gone
  uint64_t due_ms;
  char key[KEY_MAX];
} Job;

struct Guard
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
  long lose;   ///< next calls that run and get no answer
  long refuse; ///< next calls that are answered 503 and do not run
  bool silent; ///< calls run and are never answered
  uv_timer_t tick;
} Service;

static void
on_dispose (void *data)
{
  Job *job = ((Guard *) data)->job;

  if (job == NULL)
    return;
  job->request = NULL;
  job->guard = NULL;
}

/// Records one execution.
static void
record_execution (Service *service, const char *key)
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
list_executions (Service *service, h2o_req_t *request)
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
control (Service *service, h2o_req_t *request)
{
  json_object *body = standin_body (request);

  service->delay_ms = standin_number (body, "delay_ms", service->delay_ms);
  service->lose = standin_number (body, "lose", service->lose);
  service->refuse = standin_number (body, "refuse", service->refuse);
  service->silent = standin_number (body, "silent", service->silent) != 0;
  json_object_put (body);
  standin_send_json (request, 200, json_object_new_object ());
}

static void
on_request (void *context, h2o_req_t *request)
{
  Service *service = context;
  const char *key = tt_http_server_header (request, "idempotency-key");
  Guard *guard;
  Job *job;

  if (standin_matches (request, "GET", "/executions"))
    list_executions (service, request);
  else if (standin_matches (request, "POST", "/control"))
    control (service, request);
  else if (service->refuse > 0)
    {
      service->refuse--;
      standin_send_json (request, 503, json_object_new_object ());
    }
  else
    {
      job = calloc (1, sizeof *job);
      job->request = request;
      job->due_ms = uv_now (service->standin.loop) + (uint64_t) service->delay_ms;
      (void) snprintf (job->key, sizeof job->key, "%s", key != NULL ? key : "");
      guard = h2o_mem_alloc_shared (&request->pool, sizeof *guard, on_dispose);
      guard->job = job;
      job->guard = guard;
      tt_list_append (&service->jobs, &job->link);
      record_execution (service, job->key);
    }
}

/// Answers a call that is due.
static void
finish_job (Service *service, Job *job)
{
  json_object *answer = json_object_new_object ();

  json_object_object_add (answer, "key", json_object_new_string (job->key));
  json_object_object_add (answer, "result", json_object_new_string ("executed"));
  if (service->lose > 0)
    {
      service->lose--;
      standin_break (job->request);
    }
  standin_send_json (job->request, 200, answer);
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
        finish_job (service, job);
      if (job->guard != NULL)
        job->guard->job = NULL; // h2o still writes the answer
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
    { "lifetime", &lifetime_s, "seconds until the program ends" },
    { "delay-ms", &service.delay_ms, "time that a call takes" },
  };

  tt_list_init (&service.executions);
  tt_list_init (&service.jobs);
  if (!standin_options (argc, argv, options, sizeof options / sizeof options[0])
      || standin_open (&service.standin, port, &service, on_request) != 0)
    return 1;
  (void) uv_timer_init (service.standin.loop, &service.tick);
  service.tick.data = &service;
  (void) uv_timer_start (&service.tick, on_tick, 1, 1);
  return standin_serve (&service.standin, lifetime_s);
}
