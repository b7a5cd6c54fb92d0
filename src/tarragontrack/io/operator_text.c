#include "tarragontrack/io/operator_text.h"
#include "tarragontrack/board/counter.h"
#include "tarragontrack/board/histogram.h"
#include "tarragontrack/board/name.h"
#include <stdio.h>
#include <stdlib.h>

static const char *const stage_names[TT_STAGE_COUNT]
    = { "free", "arrived", "queued", "claiming", "ready", "running", "finished" };
static const char *const backend_state_names[] = { "live", "damped", "leaving", "gone" };
static const char *const member_state_names[] = { "alive", "suspect", "leaving", "gone" };
static const char *const drain_state_names[] = { "serving", "announced", "closing", "done" };
static const char *const place_reason_names[]
    = { "none", "home", "moved", "hint", "overflow", "spill", "least-load" };

/// Writes the gauges of a pool.
static void
write_pool_gauges (FILE *out, const TtPool *pool)
{
  (void) fprintf (out, "tarragontrack_pool_queued{service=\"%s\"} %u\n", pool->spec.name,
                  pool->admit.queued);
  (void) fprintf (out, "tarragontrack_pool_backends{service=\"%s\"} %u\n", pool->spec.name,
                  pool->backends.count);
  (void) fprintf (out, "tarragontrack_pool_free_slots{service=\"%s\"} %u\n", pool->spec.name,
                  pool->share.free_slots);
}

/// Writes the gauges of a backend server.
static void
write_backend_gauges (FILE *out, const TtBackendServer *backend)
{
  char name[TT_NAME_MAX];

  tt_name_abbreviate (name, backend->name);
  (void) fprintf (out, "tarragontrack_backend_attempts{backend=\"%s\"} %u\n", name,
                  backend->attempts.count);
  (void) fprintf (out, "tarragontrack_backend_ejected{backend=\"%s\"} %d\n", name,
                  backend->health.ejected || backend->breaker.state != TT_BREAKER_CLOSED ? 1 : 0);
  (void) fprintf (out, "tarragontrack_backend_lent_slots{backend=\"%s\"} %u\n", name,
                  backend->share.leased_slots);
}

/// Writes a histogram of one service with cumulative buckets.
static void
write_histogram (FILE *out, const char *name, const char *service, const TtHistogram *histogram)
{
  uint64_t cumulative_count = 0;

  for (unsigned i = 0; i < TT_HISTOGRAM_BUCKETS; i++)
    {
      uint32_t bound_ms = tt_histogram_bound_ms (i);

      cumulative_count += histogram->counts[i];
      if (bound_ms > 0)
        (void) fprintf (out, "%s_bucket{service=\"%s\",le=\"%g\"} %llu\n", name, service,
                        bound_ms / 1000.0, (unsigned long long) cumulative_count);
      else
        (void) fprintf (out, "%s_bucket{service=\"%s\",le=\"+Inf\"} %llu\n", name, service,
                        (unsigned long long) cumulative_count);
    }
  (void) fprintf (out, "%s_sum{service=\"%s\"} %.6f\n%s_count{service=\"%s\"} %llu\n", name,
                  service, (double) histogram->sum_us / 1e6, name, service,
                  (unsigned long long) cumulative_count);
}

/// Writes the response time histograms of all services.
static void
write_histograms (FILE *out, const TtBoard *board)
{
  static const char first_byte_metric[] = "tarragontrack_first_answer_seconds";
  static const char response_metric[] = "tarragontrack_whole_answer_seconds";

  (void) fprintf (out, "# HELP %s time to the first part of an answer\n# TYPE %s histogram\n",
                  first_byte_metric, first_byte_metric);
  TT_LIST_FOREACH (&board->backends.pools, it)
    {
      const TtPool *pool = TT_CONTAINER_OF (it, TtPool, link);

      write_histogram (out, first_byte_metric, pool->spec.name, &pool->first_byte_latency);
    }
  (void) fprintf (out, "# HELP %s time to the end of a whole answer\n# TYPE %s histogram\n",
                  response_metric, response_metric);
  TT_LIST_FOREACH (&board->backends.pools, it)
    {
      const TtPool *pool = TT_CONTAINER_OF (it, TtPool, link);

      write_histogram (out, response_metric, pool->spec.name, &pool->response_latency);
    }
}

char *
tt_operator_metrics (const TtBoard *board, size_t *size)
{
  char *text = NULL;
  FILE *out = open_memstream (&text, size);

  if (out == NULL)
    return NULL;
  for (int i = 0; i < TT_COUNT_END; i++)
    {
      const char *name = tt_counter_name ((TtCounterId) i);

      (void) fprintf (out, "# HELP %s %s\n# TYPE %s counter\n%s %llu\n", name,
                      tt_counter_help ((TtCounterId) i), name, name,
                      (unsigned long long) board->counters[i]);
    }
  (void) fprintf (out, "# HELP tarragontrack_requests requests on the board by stage\n"
                       "# TYPE tarragontrack_requests gauge\n");
  for (int stage = TT_STAGE_ARRIVED; stage < TT_STAGE_COUNT; stage++)
    (void) fprintf (out, "tarragontrack_requests{stage=\"%s\"} %u\n", stage_names[stage],
                    board->requests.stages[stage].count);
  (void) fprintf (out,
                  "# HELP tarragontrack_epoch configuration epoch in force\n"
                  "# TYPE tarragontrack_epoch gauge\ntarragontrack_epoch %llu\n",
                  (unsigned long long) board->team_config.epoch);
  (void) fprintf (out,
                  "# HELP tarragontrack_ready 1 if the daemon takes requests\n"
                  "# TYPE tarragontrack_ready gauge\ntarragontrack_ready %d\n",
                  board->drain.ready ? 1 : 0);
  (void) fprintf (out,
                  "# TYPE tarragontrack_intake_bytes gauge\ntarragontrack_intake_bytes %zu\n"
                  "# TYPE tarragontrack_intake_limit_bytes gauge\n"
                  "tarragontrack_intake_limit_bytes %zu\n",
                  board->intake.held_bytes, board->intake.max_bytes);
  write_histograms (out, board);
  TT_LIST_FOREACH (&board->backends.pools, it)
    write_pool_gauges (out, TT_CONTAINER_OF (it, TtPool, link));
  TT_LIST_FOREACH (&board->backends.all, it)
    write_backend_gauges (out, TT_CONTAINER_OF (it, TtBackendServer, link));
  (void) fclose (out);
  return text;
}

static void
add_text (json_object *object, const char *key, const char *value)
{
  json_object_object_add (object, key, json_object_new_string (value));
}

static void
add_number (json_object *object, const char *key, uint64_t value)
{
  json_object_object_add (object, key, json_object_new_uint64 (value));
}

static void
add_flag (json_object *object, const char *key, bool value)
{
  json_object_object_add (object, key, json_object_new_boolean (value));
}

static json_object *
describe_backend (const TtBackendServer *backend)
{
  json_object *object = json_object_new_object ();

  add_text (object, "name", backend->name);
  add_text (object, "address", backend->address);
  add_number (object, "port", backend->port);
  add_text (object, "service", backend->pool != NULL ? backend->pool->spec.name : "");
  add_text (object, "state", backend_state_names[backend->roster.state]);
  add_flag (object, "ejected", backend->health.ejected);
  json_object_object_add (object, "factor", json_object_new_double (backend->health.weight_factor));
  add_number (object, "first_token_us", (uint64_t) backend->health.first_token_us);
  add_number (object, "per_token_us", (uint64_t) backend->health.per_token_us);
  add_number (object, "attempts", backend->attempts.count);
  add_number (object, "batch_limit", backend->batch_limit);
  add_number (object, "lent", backend->share.leased_slots);
  add_number (object, "used", backend->share.used);
  add_number (object, "room", backend->share.slot_limit);
  add_number (object, "reported_running", backend->reported_running);
  add_number (object, "reported_waiting", backend->reported_waiting);
  add_text (object, "role", backend->order.observed.role);
  return object;
}

static json_object *
describe_member (const TtMember *member)
{
  json_object *object = json_object_new_object ();
  char id[17];

  (void) snprintf (id, sizeof id, "%016llx", (unsigned long long) member->entry.id);
  add_text (object, "id", id);
  add_text (object, "name", member->name);
  add_text (object, "address", member->entry.address);
  add_text (object, "state", member_state_names[member->entry.state]);
  add_number (object, "epoch", member->entry.epoch);
  add_flag (object, "self", member->self);
  return object;
}

static json_object *
describe_pool (const TtPool *pool)
{
  json_object *object = json_object_new_object ();

  add_text (object, "service", pool->spec.name);
  add_text (object, "type", pool->spec.type == TT_SERVICE_MODEL ? "model" : "plain");
  add_number (object, "backends", pool->backends.count);
  add_number (object, "queued", pool->admit.queued);
  add_number (object, "free_slots", pool->share.free_slots);
  return object;
}

static json_object *
describe_lease (const TtLease *lease, int64_t now_us)
{
  json_object *object = json_object_new_object ();

  add_text (object, "role", lease->role);
  add_flag (object, "held", lease->held && now_us < lease->renewed_us + lease->duration_us);
  add_number (object, "fencing", lease->fencing_token);
  return object;
}

json_object *
tt_operator_status (const TtBoard *board, int64_t now_us)
{
  json_object *root = json_object_new_object ();
  json_object *array = json_object_new_array ();

  add_text (root, "daemon", board->config.name);
  add_text (root, "fleet", board->config.fleet);
  add_text (root, "domain", board->config.domain);
  add_flag (root, "ready", board->drain.ready);
  add_text (root, "drain", drain_state_names[board->drain.state]);
  add_number (root, "generation", board->team_config.generation);
  add_number (root, "epoch", board->team_config.epoch);
  add_number (root, "accepted_epoch", board->team_config.accepted_epoch);
  TT_LIST_FOREACH (&board->member.all, it)
    json_object_array_add (array, describe_member (TT_CONTAINER_OF (it, TtMember, link)));
  json_object_object_add (root, "members", array);
  array = json_object_new_array ();
  TT_LIST_FOREACH (&board->backends.pools, it)
    json_object_array_add (array, describe_pool (TT_CONTAINER_OF (it, TtPool, link)));
  json_object_object_add (root, "pools", array);
  array = json_object_new_array ();
  TT_LIST_FOREACH (&board->backends.all, it)
    json_object_array_add (array, describe_backend (TT_CONTAINER_OF (it, TtBackendServer, link)));
  json_object_object_add (root, "backends", array);
  array = json_object_new_array ();
  for (uint32_t i = 0; i < board->lease.count; i++)
    json_object_array_add (array, describe_lease (&board->lease.leases[i], now_us));
  json_object_object_add (root, "leases", array);
  array = json_object_new_object ();
  for (int stage = TT_STAGE_ARRIVED; stage < TT_STAGE_COUNT; stage++)
    add_number (array, stage_names[stage], board->requests.stages[stage].count);
  json_object_object_add (root, "requests", array);
  return root;
}

json_object *
tt_operator_explain (const TtPlacementRecord *placements, size_t count, uint64_t request_id)
{
  json_object *root = json_object_new_object ();
  json_object *array = json_object_new_array ();

  for (size_t i = 0; i < count; i++)
    {
      const TtPlacementRecord *placement = &placements[i];
      json_object *object;

      if (request_id == 0 || placement->request_id != request_id)
        continue;
      object = json_object_new_object ();
      add_text (object, "backend", placement->backend);
      add_text (object, "home", placement->home);
      add_text (object, "reason",
                placement->resume_from > 0 ? "resume"
                : placement->hedge         ? "hedge"
                                           : place_reason_names[placement->reason]);
      add_number (object, "rank", placement->rank);
      add_number (object, "resume_from", placement->resume_from);
      add_text (object, "service", placement->service);
      add_text (object, "account", placement->account);
      add_number (object, "at_us", (uint64_t) placement->placed_at_us);
      json_object_array_add (array, object);
    }
  json_object_object_add (root, "attempts", array);
  return root;
}
