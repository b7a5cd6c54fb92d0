/// A small deployment like raagmala-sync: 3 failure domains, 4 daemons, and a plain service with
/// one backend server in each domain.
#pragma once

#include "rig.h"

enum
{
  SITE_DAEMONS = 4, ///< two in z-a, one in z-b, one in z-c
  SITE_WORKERS = 3  ///< i-desk-a, i-desk-b, i-desk-c
};

extern RigDaemon site_daemons[SITE_DAEMONS];
extern RigWorker site_workers[SITE_WORKERS];

#define SITE_HOST "licences.example"
#define SITE_KEY "n2ctnfzs989anu6wsjnb"

/// Times of the routes of the plain service.
#define SITE_TIMEOUT_MS 1500

/// JSON of one route of the manifest. @kind: idempotent or non_idempotent.
#define SITE_ROUTE(name, prefix, kind, service, attempts)                                          \
  "{\"Name\":\"" name "\",\"Host\":\"" SITE_HOST "\",\"PathPrefix\":\"" prefix                     \
  "\",\"Kind\":\"" kind                                                                            \
  "\",\"TimeoutMs\":1500,\"GoalMs\":100,\"Priority\":2,\"Service\":\"" service                     \
  "\",\"MaxAttempts\":" attempts ",\"Public\":false,\"Affinity\":false}"

/// Writes the manifest. @routes and @services: contents of the lists.
void site_put_manifest (int version, const char *routes, const char *services);

/// Writes the first manifest with /grant/ (non_idempotent, one attempt) and /rights/ (idempotent,
/// two attempts), starts workers and daemons, and waits until all daemons are ready and have been
/// undisturbed for 3.5 s.
void site_start (RigHandler handler);

/// A caller's request at a daemon. @id: Attempt-Id.
void site_call (const RigDaemon *daemon, const char *method, const char *path, const char *id,
                const char *body, RigAnswer *answer);

/// Records what a caller got.
void site_record_answer (const RigDaemon *daemon, const char *method, const char *path,
                         const char *id, const RigAnswer *answer);
