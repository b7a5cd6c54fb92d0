/// Synchronous calls to the platform and to daemons: each call runs the event loop until its
/// response arrives.
#pragma once

#include "ctl_defs.h"
#include "tarragontrack/board/event_defs.h"

/// Receives the response of a platform call. The response is valid during the callback only.
typedef void (*CtlPlatformCallback) (void *context, const TtPlatformEvent *response);

/// Creates a session, which the caller frees with ctl_session_free(). Never returns NULL.
CtlSession *ctl_session_new (const CtlOptions *options);
void ctl_session_free (CtlSession *session);

/// ctl_session_call - calls the platform and waits for the response
///
/// ARGUMENTS  on_response: called once, also for errors
/// RETURN     the response's code: 0 or a negative error number
int ctl_session_call (CtlSession *session, TtPlatformOp op, const char *key, uint64_t version,
                      const TtObject *object, CtlPlatformCallback on_response, void *context);

/// ctl_session_get - sends a GET request to the daemon's operator port
///
/// ARGUMENTS  body: set to the NUL-terminated response body, which the caller frees with g_free()
/// RETURN     the HTTP status, or a negative error number
int ctl_session_get (CtlSession *session, const char *path, char **body);

/// Prints an error of a call to the platform or a daemon and returns the corresponding exit code.
CtlExit ctl_session_print_error (const char *peer, int code);

/// Formats the key documents/HASH of a document's object into @key.
void ctl_session_format_document_key (const TtDigest *hash, char key[TT_KEY_MAX]);
