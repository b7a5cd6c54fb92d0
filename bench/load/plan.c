#include "plan.h"
#include <gsl/gsl_randist.h>
#include <math.h>
#include <stdio.h>

#define MIN_MESSAGE_BYTES 8
#define MESSAGE_SIGMA 0.6 ///< of the lognormal distribution of message sizes
#define TOKENS_SIGMA 0.4  ///< of the lognormal distribution of response lengths

int64_t
load_plan_interarrival_us (Load *load)
{
  return (int64_t) gsl_ran_exponential (load->random, 1e6 / load->options.rate);
}

/// Draws an index; the probability of each is proportional to its weight. @weights is the weight
/// field of the first element of an array of structs of @stride bytes.
static int
draw_weighted_index (Load *load, const double *weights, size_t stride, int count)
{
  double sum = 0.0;
  double at;

  for (int i = 0; i < count; i++)
    sum += *(const double *) ((const char *) weights + (size_t) i * stride);
  at = gsl_rng_uniform (load->random) * sum;
  for (int i = 0; i < count - 1; i++)
    {
      at -= *(const double *) ((const char *) weights + (size_t) i * stride);
      if (at < 0.0)
        return i;
    }
  return count - 1;
}

/// Draws a lognormally distributed number with the given mean.
static double
draw_lognormal (Load *load, double mean, double sigma)
{
  return gsl_ran_lognormal (load->random, log (mean) - sigma * sigma / 2, sigma);
}

/// Appends at least @size bytes of words that need no escapes in JSON; @prefix begins each word.
static void
append_words (GString *text, uint64_t prefix, size_t size)
{
  size_t end = text->len + size;

  for (uint64_t i = 0; text->len < end; i++)
    g_string_append_printf (text, "%" G_GINT64_MODIFIER "x-%" G_GINT64_MODIFIER "u ", prefix, i);
}

/// Appends a user message of random size to the chat.
static void
append_user_message (Load *load, LoadChat *chat)
{
  double size = draw_lognormal (load, load->options.message_bytes, MESSAGE_SIGMA);

  g_string_append (chat->messages, ",{\"role\":\"user\",\"content\":\"");
  append_words (chat->messages, chat->number * 1000 + chat->turns,
                size > MIN_MESSAGE_BYTES ? (size_t) size : MIN_MESSAGE_BYTES);
  g_string_append (chat->messages, "\"}");
}

/// Removes a chat of the account and kind from Load.chats if its next turn is due; NULL if there is
/// none.
static LoadChat *
pop_resumable_chat (Load *load, const LoadAccount *account, const LoadKind *kind, int64_t now_us)
{
  TT_LIST_FOREACH (&load->chats, it)
    {
      LoadChat *chat = TT_CONTAINER_OF (it, LoadChat, link);

      if (chat->account != account || chat->kind != kind || chat->resume_us > now_us)
        continue;
      tt_list_remove (&load->chats, it);
      return chat;
    }
  return NULL;
}

/// Starts a chat. All chats of an account have the same system prompt.
static LoadChat *
start_chat (Load *load, const LoadAccount *account, LoadKind *kind)
{
  LoadChat *chat = g_new0 (LoadChat, 1);

  chat->number = ++load->chat_count;
  chat->account = account;
  chat->kind = kind;
  chat->turns_left = gsl_ran_geometric (load->random, 1.0 / load->options.turns);
  chat->messages = g_string_new ("{\"role\":\"system\",\"content\":\"");
  g_string_append_printf (chat->messages, "account %s ", account->name);
  append_words (chat->messages, 0, (size_t) load->options.system_bytes);
  g_string_append (chat->messages, "\"}");
  return chat;
}

/// Appends a user message to the chat and writes the request body of this turn.
static void
write_turn (Load *load, LoadRequest *request)
{
  LoadChat *chat = request->chat;
  double tokens = draw_lognormal (load, request->kind->mean_response_tokens, TOKENS_SIGMA);

  request->max_tokens = tokens >= 1.0 ? (uint32_t) tokens : 1;
  append_user_message (load, chat);
  chat->turns++;
  chat->turns_left--;
  g_string_append_printf (
      request->body, "{\"model\":\"%s\",\"stream\":%s,\"max_tokens\":%u,\"messages\":[%s]}",
      load->options.model, request->kind->type == LOAD_TYPE_STREAM ? "true" : "false",
      request->max_tokens, chat->messages->str);
}

static LoadRequest *
new_request (Load *load, LoadKind *kind, const LoadAccount *account, int64_t send_us)
{
  LoadRequest *request = g_new0 (LoadRequest, 1);

  request->load = load;
  request->number = ++load->request_count;
  request->kind = kind;
  request->account = account;
  request->scheduled_us = send_us;
  request->target = LOAD_NO_TARGET;
  request->avoid_target = LOAD_NO_TARGET;
  request->first_token_ms = -1.0;
  request->body = g_string_new (NULL);
  request->response = g_string_new (NULL);
  request->token_gaps_ms = g_array_new (FALSE, FALSE, sizeof (double));
  return request;
}

LoadRequest *
load_plan_next_request (Load *load, int64_t now_us)
{
  LoadKind *kind = &load->kinds[draw_weighted_index (load, &load->kinds[0].weight,
                                                     sizeof (LoadKind), load->kind_count)];
  const LoadAccount *account = &load->accounts[draw_weighted_index (
      load, &load->accounts[0].weight, sizeof (LoadAccount), load->account_count)];
  LoadRequest *request = new_request (load, kind, account, load->next_arrival_us);

  if (kind->type == LOAD_TYPE_STREAM || kind->type == LOAD_TYPE_CHAT)
    {
      request->chat = pop_resumable_chat (load, account, kind, now_us);
      if (request->chat == NULL)
        request->chat = start_chat (load, account, kind);
      write_turn (load, request);
      return request;
    }
  (void) snprintf (request->key, sizeof request->key, "%s-%d-%" G_GINT64_MODIFIER "u",
                   kind->type == LOAD_TYPE_GRANT ? "grant" : "call", load->options.seed,
                   request->number);
  if (kind->type == LOAD_TYPE_GRANT)
    g_string_append_printf (request->body, "{\"grant\":%" G_GINT64_MODIFIER "u}", request->number);
  return request;
}

LoadRequest *
load_plan_repeat_grant (const LoadRequest *first, int64_t now_us)
{
  LoadRequest *request = new_request (first->load, first->kind, first->account, now_us);

  g_strlcpy (request->key, first->key, sizeof request->key);
  g_string_assign (request->body, first->body->str);
  request->is_repeat = true;
  request->avoid_target = first->target;
  return request;
}

void
load_plan_free_chat (LoadChat *chat)
{
  if (chat == NULL)
    return;
  (void) g_string_free (chat->messages, TRUE);
  g_free (chat);
}

void
load_plan_pause_chat (Load *load, LoadChat *chat, const char *content, int64_t now_us)
{
  if (chat->turns_left == 0)
    {
      load_plan_free_chat (chat);
      return;
    }
  g_string_append_printf (chat->messages, ",{\"role\":\"assistant\",\"content\":\"%s\"}", content);
  chat->resume_us
      = now_us + (int64_t) gsl_ran_exponential (load->random, load->options.pause_ms * 1000);
  tt_list_append (&load->chats, &chat->link);
}

void
load_plan_free_request (LoadRequest *request)
{
  (void) g_string_free (request->body, TRUE);
  (void) g_string_free (request->response, TRUE);
  (void) g_array_free (request->token_gaps_ms, TRUE);
  g_free (request);
}
