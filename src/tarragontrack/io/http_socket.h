/// Sockets of the HTTP client's connections that are kept for further requests. libcurl does not
/// name the socket of a connection before it sends a request on it, so they are found by both ends.
#pragma once

#include "tarragontrack/io/http_client_defs.h"

/// Lets libcurl open and close the sockets of a call through this module.
void tt_http_socket_track (TtHttpCall *call);

/// tt_http_socket_has_unread_bytes - looks for bytes that the server sent before a request
///
/// ARGUMENTS  local_port, remote, remote_port: both ends of the connection
/// NOTES      libcurl 7.88 would take them for the response to the request
bool tt_http_socket_has_unread_bytes (const TtHttpClient *client, int local_port,
                                      const char *remote, int remote_port);
