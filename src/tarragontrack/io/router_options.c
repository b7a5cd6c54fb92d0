#include "tarragontrack/io/router_options.h"
#include "tarragontrack/control/intake.h"
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>

/// Caller connections allowed per concurrent request. More than one because of idle connections and
/// HTTP/1.1 connection pools.
#define CONNECTIONS_PER_REQUEST 2
/// A response of a plain service, or a non-streaming chat response, is buffered up to this size
/// until it is complete, so that the request can be retried on another backend server.
#define RETRY_BUFFER_BYTES (1 << 20)
/// Bytes of a response buffered for a slow caller before reading from the backend server is paused.
#define RELAY_BUFFER_BYTES (256 << 10)
#define CONNECT_TIMEOUT_MS 1000 ///< failure domains of a deployment have low latency to each other
/// Shorter because routes have short response time goals: another backend server is tried before a
/// lost packet would be retransmitted.
#define ROUTED_CONNECT_TIMEOUT_MS 250
#define LOAD_POLL_PERIOD_MS 1000
#define OPERATOR_MAX_CONNECTIONS 64
#define OPERATOR_MAX_BODY_BYTES 1024

/// An answer of the platform holds a page of a list, or the largest object with its status and
/// escaped text.
#define RESPONSE_OBJECTS 4

/// Part of the process's memory for responses that are buffered until they are complete, and the
/// same part for those that slow callers have not read yet.
#define TOTAL_BUFFER_FRACTION 0.125

static size_t
total_buffer_bytes (const TtSettings *settings)
{
  return (size_t) (settings->memory_mb * TOTAL_BUFFER_FRACTION * (1 << 20));
}

static void
copy_text (char *target, size_t size, const char *text)
{
  (void) snprintf (target, size, "%s", text);
}

/// Number of descriptors that the process may have open.
static uint32_t
descriptors (const TtSettings *settings)
{
  struct rlimit limit;

  if (settings->descriptors > 0)
    return settings->descriptors;
  if (getrlimit (RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur > INT32_MAX)
    return INT32_MAX;
  return (uint32_t) limit.rlim_cur;
}

void
tt_router_board_config (const TtSettings *settings, TtBoardConfig *config)
{
  memset (config, 0, sizeof *config);
  copy_text (config->fleet, sizeof config->fleet, settings->fleet);
  copy_text (config->name, sizeof config->name, settings->name);
  copy_text (config->domain, sizeof config->domain, settings->domain);
  copy_text (config->region, sizeof config->region, settings->region);
  copy_text (config->address, sizeof config->address, settings->peer.address);
  config->peer_port = settings->peer.port;
  config->max_requests = settings->max_requests;
  config->max_attempts = settings->max_attempts;
  config->max_accounts = settings->max_accounts;
  config->memory_bytes = (size_t) (settings->memory_mb * (1 << 20));
  config->descriptors = descriptors (settings);
  // Each request may need a connection to a backend server; one of HTTP/2 carries many requests.
  if (config->max_requests > tt_intake_caller_descriptors (config->descriptors))
    config->max_requests = tt_intake_caller_descriptors (config->descriptors);
  config->request_timeout_ms = settings->request_timeout_ms;
  config->send_timeout_ms = settings->send_timeout_ms;
  config->uses_tls = settings->certificate_file[0] != '\0';
  config->uses_routing_table = settings->configuration == TT_CONFIGURATION_ROUTES;
  config->bounds = settings->bounds;
}

void
tt_router_caller_options (const TtSettings *settings, TtCallerServerOptions *options)
{
  TtHttpServerOptions *http = &options->http;

  http->address = settings->caller.address;
  http->port = settings->caller.port;
  http->certificate_file
      = settings->certificate_file[0] != '\0' ? settings->certificate_file : NULL;
  http->key_file = settings->key_file;
  http->max_connections = CONNECTIONS_PER_REQUEST * settings->max_requests;
  http->max_body_bytes = settings->max_body_bytes;
  http->max_header_bytes = settings->max_header_bytes;
  http->read_timeout_ms = settings->read_timeout_ms;
  options->response_buffer_bytes = RELAY_BUFFER_BYTES;
  options->total_buffer_bytes = total_buffer_bytes (settings);
}

void
tt_router_operator_options (const TtSettings *settings, TtHttpServerOptions *options)
{
  *options = (TtHttpServerOptions){ .address = settings->operators.address,
                                    .port = settings->operators.port,
                                    .max_connections = OPERATOR_MAX_CONNECTIONS,
                                    .max_body_bytes = OPERATOR_MAX_BODY_BYTES,
                                    .max_header_bytes = settings->max_header_bytes,
                                    .read_timeout_ms = settings->read_timeout_ms };
}

void
tt_router_backend_options (const TtSettings *settings, TtBackendClientOptions *options)
{
  bool routed = settings->configuration == TT_CONFIGURATION_ROUTES;

  *options = (TtBackendClientOptions){ .connect_timeout_ms
                                       = routed ? ROUTED_CONNECT_TIMEOUT_MS : CONNECT_TIMEOUT_MS,
                                       .max_buffered_response_bytes = RETRY_BUFFER_BYTES,
                                       .max_total_buffered_bytes = total_buffer_bytes (settings),
                                       .load_poll_interval_ms = LOAD_POLL_PERIOD_MS };
}

void
tt_router_platform_options (const TtSettings *settings, TtPlatformClientOptions *options)
{
  options->url = settings->platform_url;
  options->max_response_bytes = RESPONSE_OBJECTS * (size_t) settings->object_bytes;
}
