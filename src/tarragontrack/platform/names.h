/// Header names and object kinds of the users' platform. Only this folder depends on them.
#pragma once

// Headers of requests from callers and of attempts sent to backend servers.
#define TT_WIRE_REQUEST_ID "attempt-id"    ///< external id: the caller's id of one of its attempts
#define TT_WIRE_REMAINING_MS "deadline-ms" ///< remaining time as a duration, not a point in time
#define TT_WIRE_AUTHORIZATION "authorization"
#define TT_WIRE_LAST_EVENT_ID "last-event-id"
#define TT_WIRE_TOKEN_COUNTS "token-counts" ///< prompt tokens, maximum tokens of the response
/// ID:TOKENS of each prompt part; the last part is not shared.
#define TT_WIRE_PREFIX_HASHES "prefix-hash"
#define TT_WIRE_ACCOUNT "tenant" ///< name of the client account
/// Name of the only backend server that may execute the attempt.
#define TT_WIRE_EXPECTED_BACKEND "expect-instance"
#define TT_WIRE_URGENCY "request-urgency" ///< 0 to 9, 0 is served first
#define TT_WIRE_HOLD "hold"
#define TT_WIRE_PIN_MS "pin-ms"
#define TT_WIRE_KV_BACKUP "kv-backup"
#define TT_WIRE_KV_FROM "kv-from"
/// IP:PORT of a backend server that has parts of the prompt in its KV cache.
#define TT_WIRE_KV_FETCH "kv-fetch"
#define TT_WIRE_EXPECTED_VERSION "expect-version"

// Headers of responses.
/// Sent by a backend server with each successful response to show that it generated the response.
/// Only the presence of the header is checked.
#define TT_WIRE_SIGNATURE "response-signature"
#define TT_WIRE_NOT_EXECUTED "not-executed"
/// Running requests, waiting requests, slots, pace in hundredths. Only the first two are used.
#define TT_WIRE_LOAD "instance-load"
/// "1" in all responses of a backend server that leaves.
#define TT_WIRE_LEAVING "server-leaving"
/// Version of the weights; also the first line of an event at which it changes.
#define TT_WIRE_WEIGHT_VERSIONS "weight-versions"
#define TT_WIRE_RETRY_AFTER "retry-after" ///< seconds, may have a fraction
/// In all answers of the store: number of its history, which rises when it returns from a copy.
#define TT_WIRE_ERA_HEADER "store-era"

// Object kinds of the store. Only "daemons" is written by this system.
#define TT_WIRE_KIND_CONFIG "config"
#define TT_WIRE_KIND_SERVERS "servers"
#define TT_WIRE_KIND_DAEMONS "daemons"
#define TT_WIRE_CONFIG_NAME "main" ///< the only object of the kind "config"
