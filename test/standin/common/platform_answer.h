/// Answers of the platform stand-in: at once, late, held until an object changes, or never.
#pragma once

#include "platform_store.h"
#include "tarragontrack/board/rng.h"
#include <h2o.h>

typedef struct
{
  uv_loop_t *loop;
  TtList pending; ///< held answers
  TtRng rng;
  long slow_ms; ///< answers come N/2 to 3N/2 ms late
} PlatformAnswers;

void platform_answers_init (PlatformAnswers *answers, uv_loop_t *loop, uint64_t seed);

/// Answers at once.
void platform_answer_now (h2o_req_t *request, unsigned status, uint64_t version, const char *body,
                          size_t size);

/// Answers, late if answers are slow.
void platform_answer (PlatformAnswers *answers, h2o_req_t *request, unsigned status,
                      uint64_t version, const char *body, size_t size);

/// Closes the connection without an answer.
void platform_answer_break (h2o_req_t *request);

/// Never answers; the connection is closed after a minute.
void platform_answer_silent (PlatformAnswers *answers, h2o_req_t *request);

/// Answers when the object has another version, or 304 after @wait_ms.
void platform_answer_watch (PlatformAnswers *answers, h2o_req_t *request, const char *key,
                            uint64_t version, uint64_t wait_ms);

/// Answers the watches whose object changed.
void platform_answer_wake (PlatformAnswers *answers, PlatformStore *store);

/// Sends the held answers that are due.
void platform_answer_due (PlatformAnswers *answers);
