/// Calls to the platform and to daemons, each waited for on one loop.
#pragma once

#include "ctl_defs.h"
#include "tarragontrack/board/event_defs.h"

/// Gets the answer of a platform call, valid during the callback.
typedef void (*CtlTake) (void *context, const TtPlatformEvent *answer);

/// Makes a session; NULL with a message on standard error if it cannot.
CtlSession *ctl_session_new (const CtlOptions *options);
void ctl_session_free (CtlSession *session);

/// ctl_session_call - calls the platform and waits for the answer
///
/// ARGUMENTS  take: called once, also for errors
/// RETURN     the answer's code: 0 or a negative error number
int ctl_session_call (CtlSession *session, TtPlatformOp op, const char *key, uint64_t version,
                      const TtObject *object, CtlTake take, void *context);

/// ctl_session_get - reads a path of the daemon's operators' port
///
/// ARGUMENTS  body: set to the NUL-terminated answer, freed with g_free()
/// RETURN     the HTTP status, or a negative error number with a message on standard error
int ctl_session_get (CtlSession *session, const char *path, char **body);

/// Prints a platform or daemon error and gives the exit code that fits.
CtlExit ctl_fail (const char *peer, int code);

/// Writes the key of a document's object, documents/HASH, into @key.
void ctl_document_key (const TtDigest *hash, char key[TT_KEY_MAX]);
