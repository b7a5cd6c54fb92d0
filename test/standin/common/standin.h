/// What all stand-ins have in common: options, a server on 127.0.0.1 and a limited lifetime.
#pragma once

#include "tarragontrack/io/http_server.h"
#include <json-c/json.h>
#include <stdbool.h>
#include <uv.h>

/// One option `--NAME NUMBER`.
typedef struct
{
  const char *name;
  long *value; ///< holds the default
  const char *help;
} StandinOption;

typedef struct
{
  uv_loop_t *loop;
  TtHttpServer *server;
} Standin;

/// Reads options; prints a usage text. RETURN false if one is wrong or `--help` was given.
bool standin_options (int argc, char **argv, const StandinOption *options, size_t count);

/// Listens on 127.0.0.1. RETURN 0, or 1 after a message.
int standin_open (Standin *standin, long port, void *context,
                  void (*on_request) (void *context, struct st_h2o_req_t *request));

/// Serves until SIGTERM, SIGINT or the end of the lifetime. RETURN the program's exit code.
int standin_serve (Standin *standin, long lifetime_s);

/// Sends a JSON answer with the request's X-Attempt-Id and frees the object.
void standin_send_json (struct st_h2o_req_t *request, unsigned status, json_object *object);

/// Repeats the request's X-Attempt-Id in the answer.
void standin_echo_attempt (struct st_h2o_req_t *request);

/// Closes the connection of a request without (more of) an answer. The request must still be ended.
void standin_break (struct st_h2o_req_t *request);

/// True if the request has this method and its path begins with @prefix.
bool standin_matches (struct st_h2o_req_t *request, const char *method, const char *prefix);

/// Parsed body of a request; NULL if it is no JSON.
json_object *standin_body (struct st_h2o_req_t *request);

/// Whole number under a key; @fallback if absent.
long standin_number (json_object *object, const char *key, long fallback);
