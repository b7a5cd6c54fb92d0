/// Generates the requests and their arrival times from the seed.
#pragma once

#include "load_defs.h"

/// Draws the time to the next arrival, in microseconds.
int64_t load_plan_interarrival_us (Load *load);

/// Creates the next request. Continues a chat whose pause is over; starts a new chat if there is
/// none.
LoadRequest *load_plan_next_request (Load *load, int64_t now_us);

/// Creates the second sending of a grant, with the same idempotency key and body.
LoadRequest *load_plan_repeat_grant (const LoadRequest *first, int64_t now_us);

/// Appends the response to the chat and puts the chat on the list of pausing chats, or frees it
/// after its last turn.
void load_plan_pause_chat (Load *load, LoadChat *chat, const char *answer, int64_t now_us);

/// Frees a chat.
void load_plan_free_chat (LoadChat *chat);

/// Frees a request.
void load_plan_free_request (LoadRequest *request);
