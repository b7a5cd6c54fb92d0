/// Common parts of the stand-ins: options, an HTTP server on 127.0.0.1 and a limited lifetime.
#pragma once

#include "tarragontrack/io/http_server.h"
#include <json-c/json.h>
#include <stdbool.h>
#include <uv.h>

/// One option `--NAME NUMBER`.
typedef struct
{
  const char *name;
  long *value; ///< default, replaced by the parsed number
  const char *help;
} StandinOption;

typedef struct
{
  uv_loop_t *loop;
  TtHttpServer *server;
} Standin;

/// Parses the options. RETURN false after printing the usage if one is invalid or `--help` was
/// given.
bool standin_parse_options (int argc, char **argv, const StandinOption *options, size_t count);

/// Starts the HTTP server on 127.0.0.1. RETURN 0, or 1 after printing an error.
int standin_listen (Standin *standin, long port, void *context,
                    void (*on_request) (void *context, struct st_h2o_req_t *request));

/// Runs the event loop until SIGTERM, SIGINT or the end of the lifetime. RETURN the exit code of
/// the process.
int standin_serve (Standin *standin, long lifetime_s);

/// Sends a JSON response with the request's X-Attempt-Id and frees the object.
void standin_send_json (struct st_h2o_req_t *request, unsigned status, json_object *object);

/// Copies the request's X-Attempt-Id to the response headers.
void standin_echo_attempt_id (struct st_h2o_req_t *request);

/// Closes the connection of a request before the response is complete. The caller must still
/// complete the request in h2o.
void standin_close_connection (struct st_h2o_req_t *request);

/// True if the request has this method and its path starts with @prefix.
bool standin_request_matches (struct st_h2o_req_t *request, const char *method, const char *prefix);

/// Parses the body of a request. RETURN NULL if it is not JSON.
json_object *standin_parse_body (struct st_h2o_req_t *request);

/// RETURN the integer under a key, or @fallback if it is absent.
long standin_json_integer (json_object *object, const char *key, long fallback);
