/// What is sent and when, from the seed.
#pragma once

#include "load_defs.h"

/// Time to the next arrival in microseconds.
int64_t load_plan_gap_us (Load *load);

/// Makes the next request. A chat whose pause is over goes on; otherwise a new one begins.
LoadRequest *load_plan_next (Load *load, int64_t now_us);

/// Makes the second sending of a grant.
LoadRequest *load_plan_repeat (const LoadRequest *first, int64_t now_us);

/// Puts a chat with its answered turn on the list of those that pause, or frees it after its last.
void load_plan_return_chat (Load *load, LoadChat *chat, const char *answer, int64_t now_us);

/// Frees a chat.
void load_plan_free_chat (LoadChat *chat);

/// Frees a request.
void load_plan_free (LoadRequest *request);
