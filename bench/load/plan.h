/// Generates the requests and their arrival times from the seed.
#pragma once

#include "load_defs.h"

/// Draws the time to the next arrival, in microseconds.
int64_t load_plan_interarrival_us (Load *load);

/// Creates the next request. A chat request continues a chat whose next turn is due, or starts a
/// new chat if there is none.
LoadRequest *load_plan_next_request (Load *load, int64_t now_us);

/// Creates the second sending of a grant, with the same idempotency key and body.
LoadRequest *load_plan_repeat_grant (const LoadRequest *first, int64_t now_us);

/// Appends the response @content to the chat and puts the chat on Load.chats until its next turn is
/// due; frees it after its last turn.
void load_plan_pause_chat (Load *load, LoadChat *chat, const char *content, int64_t now_us);

/// Frees a chat; NULL is allowed.
void load_plan_free_chat (LoadChat *chat);

void load_plan_free_request (LoadRequest *request);
