/// Result of an HTTP call: whether its response is whole, and what its end says about the server.
#pragma once

#include "tarragontrack/io/http_client_defs.h"

/// True if the response has no body, whatever its head says about one.
bool tt_http_result_has_no_body (TtHttpCall *call);

/// True if a part of the request's body has not been written.
bool tt_http_result_is_upload_partial (TtHttpCall *call);

/// tt_http_result_map - sets the error of a call that libcurl has ended; TT_OK for a whole response
void tt_http_result_map (TtHttpCall *call, CURLcode result, TtError *error);
