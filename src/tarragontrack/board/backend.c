#include "tarragontrack/board/backend.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/board/name.h"
#include <stdlib.h>
#include <string.h>

int
tt_backend_open (TtBoard *board)
{
  TtBackendSection *section = &board->backends;

  section->backend_records = calloc (TT_MAX_BACKENDS, sizeof *section->backend_records);
  if (section->backend_records == NULL)
    return TT_E_NO_MEMORY;
  for (uint32_t i = 0; i < TT_MAX_BACKENDS; i++)
    tt_list_append (&section->free_backends, &section->backend_records[i].link);
  return TT_OK;
}

static void
free_pool (TtBoard *board, TtPool *pool)
{
  tt_list_remove (&board->backends.pools, &pool->link);
  free (pool->name);
  free (pool);
}

void
tt_backend_close (TtBoard *board)
{
  TT_LIST_FOREACH (&board->backends.pools, it)
    free_pool (board, TT_CONTAINER_OF (it, TtPool, link));
  TT_LIST_FOREACH (&board->backends.all, it)
    free (TT_CONTAINER_OF (it, TtBackendServer, link)->name);
  free (board->backends.backend_records);
}

TtBackendServer *
tt_backend_find (TtBoard *board, uint64_t id)
{
  TT_LIST_FOREACH (&board->backends.buckets[id % TT_BACKEND_BUCKETS], it)
    {
      TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, bucket_link);

      if (backend->id == id)
        return backend;
    }
  return NULL;
}

bool
tt_backend_accepts (const TtBackendServer *backend, int64_t now_us)
{
  return backend->roster.state == TT_BACKEND_LIVE && now_us >= backend->notice.unavailable_until_us;
}

TtBackendServer *
tt_backend_new (TtBoard *board, uint64_t id, const char *name)
{
  TtBackendSection *section = &board->backends;
  char *copy = strdup (name);
  TtLink *link = copy != NULL ? tt_list_pop (&section->free_backends) : NULL;
  TtBackendServer *backend;

  if (link == NULL)
    {
      free (copy);
      tt_board_counter_add (board, TT_COUNT_POOL_FULL, 1);
      return NULL;
    }
  backend = TT_CONTAINER_OF (link, TtBackendServer, link);
  memset (backend, 0, sizeof *backend);
  backend->id = id;
  backend->name = copy;
  backend->health.weight_factor = 1.0;
  tt_list_init (&backend->attempts);
  tt_list_init (&backend->share.leases);
  tt_list_append (&section->all, &backend->link);
  tt_list_append (&section->buckets[id % TT_BACKEND_BUCKETS], &backend->bucket_link);
  return backend;
}

void
tt_backend_free (TtBoard *board, TtBackendServer *backend)
{
  TtBackendSection *section = &board->backends;
  TtLink *lease;

  while ((lease = tt_list_pop (&backend->share.leases)) != NULL)
    tt_list_append (&board->share.free_leases, lease);
  tt_list_remove (&board->share.changed_backends, &backend->share.changed_link);
  tt_list_remove (&board->place.awaited_backends, &backend->place.awaited_link);
  tt_list_remove (&section->all, &backend->link);
  tt_list_remove (&section->buckets[backend->id % TT_BACKEND_BUCKETS], &backend->bucket_link);
  if (backend->pool != NULL)
    tt_list_remove (&backend->pool->backends, &backend->pool_link);
  free (backend->name);
  backend->name = NULL;
  tt_list_append (&section->free_backends, &backend->link);
}

TtPool *
tt_pool_find (TtBoard *board, uint64_t id)
{
  TT_LIST_FOREACH (&board->backends.pools, it)
    {
      TtPool *pool = TT_CONTAINER_OF (it, TtPool, link);

      if (pool->id == id)
        return pool;
    }
  return NULL;
}

TtPool *
tt_pool_new (TtBoard *board, uint64_t id, const char *name)
{
  TtPool *pool = calloc (1, sizeof *pool);

  if (pool != NULL)
    pool->name = strdup (name);
  if (pool == NULL || pool->name == NULL)
    {
      free (pool);
      tt_board_counter_add (board, TT_COUNT_POOL_FULL, 1);
      return NULL;
    }
  pool->id = id;
  pool->spec.id = id;
  tt_name_abbreviate (pool->spec.name, name);
  tt_link_init (&pool->link);
  tt_list_init (&pool->backends);
  tt_list_init (&pool->share.demands);
  for (int priority = 0; priority < TT_PRIORITY_COUNT; priority++)
    tt_list_init (&pool->admit.queues[priority]);
  tt_list_append (&board->backends.pools, &pool->link);
  return pool;
}

void
tt_pool_free_unused (TtBoard *board)
{
  TT_LIST_FOREACH (&board->backends.pools, it)
    {
      TtPool *pool = TT_CONTAINER_OF (it, TtPool, link);

      if (!pool->configured && pool->backends.count == 0 && pool->request_count == 0)
        free_pool (board, pool);
    }
}
