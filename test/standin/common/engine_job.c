#include "engine_job.h"
#include "tarragontrack/board/hash.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CHUNK_MAX 256
#define CRASH_MARKER "crash-the-engine" ///< a request with this text crashes the engine
#define CRASH_DOWN_MS 300

/// Allocated in the request's h2o memory pool, so that h2o calls its destructor when it frees the
/// request. The destructor detaches the job from the request.
struct EngineRequestGuard
{
  EngineJob *job; ///< NULL once the job is freed
};

static TtList *
job_list (EngineJob *job)
{
  return job->running ? &job->engine->running : &job->engine->waiting;
}

static void
free_job (EngineJob *job)
{
  tt_list_remove (job_list (job), &job->link);
  if (job->guard != NULL)
    job->guard->job = NULL;
  h2o_buffer_dispose (&job->output);
  h2o_buffer_dispose (&job->inflight);
  free (job);
}

/// Called when h2o frees the request. The engine frees the job when it next processes the batch.
static void
on_request_freed (void *data)
{
  EngineJob *job = ((EngineRequestGuard *) data)->job;

  if (job == NULL)
    return;
  job->request = NULL;
  job->guard = NULL;
}

static void
flush_output (EngineJob *job)
{
  h2o_buffer_t *empty_buffer = job->inflight;
  h2o_iovec_t bytes;

  if (job->request == NULL || job->sending || (job->output->size == 0 && !job->finished))
    return;
  job->inflight = job->output;
  job->output = empty_buffer;
  job->sending = true;
  bytes = h2o_iovec_init (job->inflight->bytes, job->inflight->size);
  h2o_send (job->request, &bytes, bytes.len > 0 ? 1 : 0,
            job->finished ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS);
}

static void
on_proceed (h2o_generator_t *generator, h2o_req_t *request)
{
  EngineJob *job = TT_CONTAINER_OF (generator, EngineJob, generator);

  (void) request;
  job->sending = false;
  h2o_buffer_consume (&job->inflight, job->inflight->size);
  flush_output (job);
}

static void
append_text (EngineJob *job, const char *text, size_t size)
{
  h2o_buffer_reserve (&job->output, size);
  memcpy (job->output->bytes + job->output->size, text, size);
  job->output->size += size;
}

/// Formats the word at a position of the response. It is the same on every engine, so that another
/// engine can resume the stream.
static void
format_word (const EngineJob *job, uint32_t index, char *word, size_t size)
{
  (void) snprintf (word, size, "w%u.%llu ", index,
                   (unsigned long long) (tt_hash_pair (job->seed, index) % 1000));
}

/// Formats the token usage at the end of a response.
static int
format_usage (const EngineJob *job, char *text, size_t size)
{
  return snprintf (text, size,
                   "\"usage\":{\"prompt_tokens\":%u,\"completion_tokens\":%u,\"total_tokens\":%u,"
                   "\"prompt_tokens_details\":{\"cached_tokens\":%u}}",
                   job->prompt_tokens, job->response_tokens,
                   job->prompt_tokens + job->response_tokens, job->cached_tokens);
}

static void
append_token (EngineJob *job)
{
  char word[32];
  char chunk[CHUNK_MAX];
  int length;

  format_word (job, job->generated_tokens, word, sizeof word);
  length = snprintf (chunk, sizeof chunk,
                     "data: {\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,"
                     "\"delta\":{\"content\":\"%s\"},\"finish_reason\":null}]}\n\n",
                     word);
  append_text (job, chunk, (size_t) length);
}

/// Sends the response headers of a stream.
static void
start_stream (EngineJob *job)
{
  char from[16];

  job->headers_sent = true;
  job->request->res.status = 200;
  job->request->res.reason = "OK";
  tt_http_server_add_header (job->request, "content-type", "text/event-stream");
  if (job->engine->wrong_id_responses > 0)
    {
      job->engine->wrong_id_responses--;
      tt_http_server_add_header (job->request, "x-attempt-id", "00000000000000000000000000000000");
    }
  else
    standin_echo_attempt_id (job->request);
  if (job->resume_from > 0)
    {
      (void) snprintf (from, sizeof from, "%u", job->resume_from);
      tt_http_server_add_header (job->request, "x-resume-from", from);
    }
  job->generator.proceed = on_proceed;
  h2o_start_response (job->request, &job->generator);
}

static void
end_stream (EngineJob *job)
{
  char usage[CHUNK_MAX];
  char chunk[2 * CHUNK_MAX];
  int length;

  (void) format_usage (job, usage, sizeof usage);
  length = snprintf (chunk, sizeof chunk,
                     "data: {\"object\":\"chat.completion.chunk\",\"choices\":[],%s}\n\n"
                     "data: [DONE]\n\n",
                     usage);
  append_text (job, chunk, (size_t) length);
  job->finished = true;
}

/// Sends a complete, non-streaming response.
static void
send_complete_response (EngineJob *job)
{
  json_object *root = json_object_new_object ();
  json_object *choices = json_object_new_array ();
  json_object *choice = json_object_new_object ();
  json_object *message = json_object_new_object ();
  json_object *usage;
  char usage_text[CHUNK_MAX];
  char text[CHUNK_MAX + 2];
  char *content = calloc (job->response_tokens + 1, 32);
  size_t length = 0;

  for (uint32_t i = 0; i < job->response_tokens; i++)
    {
      format_word (job, i, content + length, 32);
      length += strlen (content + length);
    }
  (void) format_usage (job, usage_text, sizeof usage_text);
  (void) snprintf (text, sizeof text, "{%s}", usage_text);
  usage = json_tokener_parse (text);
  json_object_object_add (message, "role", json_object_new_string ("assistant"));
  json_object_object_add (message, "content", json_object_new_string (content));
  json_object_object_add (choice, "message", message);
  json_object_array_add (choices, choice);
  json_object_object_add (root, "object", json_object_new_string ("chat.completion"));
  json_object_object_add (root, "choices", choices);
  json_object_object_add (root, "usage", json_object_get (json_object_object_get (usage, "usage")));
  json_object_put (usage);
  free (content);
  job->finished = true;
  standin_send_json (job->request, 200, root);
}

static uint64_t
now_ms (const Engine *engine)
{
  return uv_now (engine->standin.loop);
}

void
engine_job_add (Engine *engine, h2o_req_t *request)
{
  const char *priority = tt_http_server_get_header (request, "x-priority");
  const char *resume = tt_http_server_get_header (request, "x-resume-from");
  const char *chat = tt_http_server_get_header (request, "x-chat-key");
  json_object *body = standin_parse_body (request);
  json_object *value = NULL;
  EngineJob *job = calloc (1, sizeof *job);
  struct timeval connected_at = request->conn->connected_at;
  struct timeval now = request->processed_at.at;
  TtLink *before;

  job->engine = engine;
  job->request = request;
  job->guard = h2o_mem_alloc_shared (&request->pool, sizeof *job->guard, on_request_freed);
  job->guard->job = job;
  h2o_buffer_init (&job->output, &h2o_socket_buffer_prototype);
  h2o_buffer_init (&job->inflight, &h2o_socket_buffer_prototype);
  job->priority = priority != NULL ? strtol (priority, NULL, 10) : 2;
  job->resume_from = resume != NULL ? (uint32_t) strtoul (resume, NULL, 10) : 0;
  job->seed = tt_hash_bytes (request->entity.base, request->entity.len);
  job->response_tokens = (uint32_t) standin_json_integer (body, "max_tokens", engine->max_tokens);
  job->generated_tokens = job->resume_from;
  job->connected_ms = now_ms (engine)
                      - (uint64_t) ((now.tv_sec - connected_at.tv_sec) * 1000
                                    + (now.tv_usec - connected_at.tv_usec) / 1000);
  if (json_object_object_get_ex (body, "stream", &value))
    job->stream = json_object_get_boolean (value) != 0;
  if (json_object_object_get_ex (body, "messages", &value))
    {
      job->crashes_engine = strstr (json_object_to_json_string (value), CRASH_MARKER) != NULL;
      job->cached_tokens = engine_cache_lookup (
          &engine->cache, chat != NULL ? strtoull (chat, NULL, 16) : 0, value, &job->prompt_tokens);
    }
  json_object_put (body);
  for (before = engine->waiting.head.next; before != &engine->waiting.head; before = before->next)
    if (TT_CONTAINER_OF (before, EngineJob, link)->priority > job->priority)
      break;
  tt_list_insert_before (&engine->waiting, before, &job->link);
}

/// Moves waiting jobs into the batch up to the batch limit.
static void
fill_batch (Engine *engine)
{
  while ((long) engine->running.count < engine->batch_limit)
    {
      TtLink *link = tt_list_pop (&engine->waiting);
      EngineJob *job;

      if (link == NULL)
        return;
      job = TT_CONTAINER_OF (link, EngineJob, link);
      job->running = true;
      job->next_token_ms = now_ms (engine)
                           + (uint64_t) ((job->prompt_tokens - job->cached_tokens)
                                         * engine->prefill_us / 1000 * engine->slow_factor)
                           + (uint64_t) (engine->token_ms * engine->slow_factor);
      tt_list_append (&engine->running, &job->link);
    }
}

/// Generates the due tokens of one job.
static void
run_job (Engine *engine, EngineJob *job)
{
  while (!job->finished && job->next_token_ms <= now_ms (engine))
    {
      if (job->generated_tokens < job->response_tokens && job->stream)
        append_token (job);
      job->generated_tokens++;
      engine->generated_tokens++;
      job->next_token_ms
          += (uint64_t) (engine->token_ms * engine->slow_factor) + (engine->token_ms == 0);
      if (job->stream && !job->headers_sent)
        start_stream (job);
      if (job->stream && engine->truncate_after_tokens > 0
          && job->generated_tokens >= engine->truncate_after_tokens)
        {
          engine->truncate_after_tokens = 0;
          standin_close_connection (job->request);
          return;
        }
      if (job->generated_tokens < job->response_tokens)
        continue;
      engine->served_requests++;
      if (job->stream)
        end_stream (job);
      else
        send_complete_response (job);
    }
  if (job->stream && job->headers_sent)
    flush_output (job);
}

void
engine_crash (Engine *engine, long down_ms)
{
  engine->down_until_ms = now_ms (engine) + (uint64_t) down_ms;
  engine_cache_clear (&engine->cache);
  for (int i = 0; i < 2; i++)
    {
      TtList *list = i == 0 ? &engine->running : &engine->waiting;

      TT_LIST_FOREACH (list, it)
        {
          EngineJob *job = TT_CONTAINER_OF (it, EngineJob, link);

          if (job->request != NULL)
            standin_close_connection (job->request);
          if (job->request != NULL && job->headers_sent && !job->sending && !job->finished)
            h2o_send (job->request, NULL, 0, H2O_SEND_STATE_ERROR);
          else if (job->request != NULL && !job->headers_sent && !job->finished)
            tt_http_server_send_response (job->request, 500, "text/plain", "", 0);
          job->finished = true;
          // h2o refers to a stream's generator until it frees the request.
          if (job->request == NULL || !job->headers_sent)
            free_job (job);
        }
    }
}

/// True if the client has closed its connection. Peeks at the socket, because h2o does not read
/// from it while a response is being generated.
static bool
is_disconnected (const EngineJob *job)
{
  h2o_socket_t *socket;
  char byte;

  if (job->request == NULL)
    return true;
  socket = job->request->conn->callbacks->get_socket (job->request->conn);
  return socket != NULL
         && recv (h2o_socket_get_fd (socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

void
engine_job_run_due (Engine *engine)
{
  fill_batch (engine);
  TT_LIST_FOREACH (&engine->running, it)
    {
      EngineJob *job = TT_CONTAINER_OF (it, EngineJob, link);

      if (engine->silent_before_ms > job->connected_ms)
        continue;
      if (job->request != NULL && job->crashes_engine)
        {
          engine_crash (engine, CRASH_DOWN_MS);
          return;
        }
      if (job->request != NULL && !job->finished && !is_disconnected (job))
        run_job (engine, job);
      else if (job->request != NULL && !job->finished)
        {
          job->finished = true; // cancelled: the rest of the response is not generated
          if (!job->headers_sent)
            tt_http_server_send_response (job->request, 499, "text/plain", "", 0);
          else
            flush_output (job);
        }
      if (job->request == NULL || (job->finished && !job->stream))
        free_job (job);
    }
}
