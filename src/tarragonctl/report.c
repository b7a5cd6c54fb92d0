#include "commands.h"
#include "json.h"
#include <stdio.h>
#include <string.h>

#define MAX_SAMPLES 60
#define SAMPLE_INTERVAL_US G_USEC_PER_SEC
#define PLOT_WIDTH 640
#define PLOT_HEIGHT 160

/// Samples of one plotted metric over time.
typedef struct
{
  const char *title;
  const char *unit;
  double values[MAX_SAMPLES];
} Series;

/// Finds the value of a counter in a response of /metrics (Prometheus text format); 0 if absent.
static double
counter_value (const char *text, const char *name)
{
  size_t length = strlen (name);

  for (const char *line = text; line != NULL && *line != '\0';)
    {
      if (strncmp (line, name, length) == 0 && line[length] == ' ')
        return g_ascii_strtod (line + length, NULL);
      line = strchr (line, '\n');
      line = line != NULL ? line + 1 : NULL;
    }
  return 0.0;
}

/// @part as a percentage of @whole; 0 if @whole is 0.
static double
percent (double part, double whole)
{
  return whole > 0.0 ? 100.0 * part / whole : 0.0;
}

/// Highest mean time to first token among the backend servers, in ms.
static double
slowest_first_token_ms (json_object *status)
{
  size_t length;
  json_object *backends = ctl_json_array (status, "backends", &length);
  double slowest = 0.0;

  for (size_t i = 0; i < length; i++)
    slowest
        = MAX (slowest, ctl_json_number (json_object_array_get_idx (backends, i), "first_token_us")
                            / 1000.0);
  return slowest;
}

/// Adds one sample to each of the four series; returns false if the daemon's state cannot be read.
static bool
add_samples (CtlSession *session, const CtlOptions *options, Series *series, int index,
             CtlExit *code)
{
  json_object *status = ctl_json_get (session, options, "/status", code);
  char *metrics = NULL;
  double requests;
  double queued = 0.0;
  json_object *stages = NULL;

  if (status == NULL || ctl_session_get (session, "/metrics", &metrics) != 200)
    {
      json_object_put (status);
      g_free (metrics);
      return false;
    }
  requests = counter_value (metrics, "tarragontrack_requests_total");
  if (json_object_object_get_ex (status, "requests", &stages))
    queued = ctl_json_number (stages, "queued");
  series[0].values[index] = percent (counter_value (metrics, "tarragontrack_tokens_cached_total"),
                                     counter_value (metrics, "tarragontrack_tokens_prompt_total"));
  series[1].values[index]
      = percent (counter_value (metrics, "tarragontrack_requests_complete_total"), requests);
  series[2].values[index] = queued;
  series[3].values[index] = slowest_first_token_ms (status);
  json_object_put (status);
  g_free (metrics);
  return true;
}

/// Appends one plot to the page as an SVG element.
static void
append_plot (GString *page, const Series *series, int count)
{
  double max_value = 1.0;

  for (int i = 0; i < count; i++)
    max_value = MAX (max_value, series->values[i]);
  g_string_append_printf (page, "<h2>%s</h2>\n<svg viewBox=\"0 0 %d %d\" role=\"img\">\n",
                          series->title, PLOT_WIDTH + 80, PLOT_HEIGHT + 24);
  g_string_append_printf (page,
                          "<text x=\"4\" y=\"14\">%.1f %s</text><text x=\"4\" y=\"%d\">0</text>\n",
                          max_value, series->unit, PLOT_HEIGHT + 4);
  g_string_append (page, "<polyline points=\"");
  for (int i = 0; i < count; i++)
    g_string_append_printf (page, "%.1f,%.1f ", 70.0 + (double) i * PLOT_WIDTH / MAX (count - 1, 1),
                            PLOT_HEIGHT - series->values[i] / max_value * (PLOT_HEIGHT - 10));
  g_string_append_printf (page,
                          "\"/>\n<text x=\"70\" y=\"%d\">0 s</text><text x=\"%d\" y=\"%d\">%d "
                          "s</text>\n</svg>\n<p>last: %.2f %s</p>\n",
                          PLOT_HEIGHT + 20, PLOT_WIDTH + 40, PLOT_HEIGHT + 20, count,
                          series->values[count - 1], series->unit);
}

/// Renders the page. It is self-contained: it refers to no other files.
static char *
render_page (const CtlOptions *options, const Series *series, int count)
{
  char *daemon = g_markup_escape_text (options->daemon, -1);
  GString *page = g_string_new ("<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
                                "<title>tarragontrack report</title>\n<style>body{font:16px "
                                "sans-serif;max-width:760px;margin:2em auto}svg{width:100%;"
                                "background:#f6f6f6}polyline{fill:none;stroke:#0a5;stroke-width:2}"
                                "text{font:12px sans-serif}</style></head><body>\n");

  g_string_append_printf (
      page, "<h1>tarragontrack report</h1><p>%s, %d samples, one per second</p>\n", daemon, count);
  for (int i = 0; i < 4; i++)
    append_plot (page, &series[i], count);
  g_string_append (page, "</body></html>\n");
  g_free (daemon);
  return g_string_free (page, FALSE);
}

CtlExit
ctl_report (const CtlOptions *options, int count, char **arguments)
{
  Series *series = g_new0 (Series, 4);
  CtlSession *session = ctl_session_new (options);
  CtlExit code = CTL_EXIT_OK;
  int sample_count = 0;
  char *page;
  GError *error = NULL;

  (void) count;
  (void) arguments;
  series[0] = (Series){ .title = "Prompt-cache reuse", .unit = "% of prompt tokens" };
  series[1] = (Series){ .title = "Requests answered completely", .unit = "%" };
  series[2] = (Series){ .title = "Queued requests", .unit = "requests" };
  series[3] = (Series){ .title = "Slowest backend server, time to first token", .unit = "ms" };
  while (sample_count < MAX_SAMPLES && add_samples (session, options, series, sample_count, &code))
    {
      sample_count++;
      g_usleep (SAMPLE_INTERVAL_US);
    }
  if (sample_count > 0)
    {
      page = render_page (options, series, sample_count);
      code = CTL_EXIT_OK;
      if (!g_file_set_contents (options->output != NULL ? options->output : "report.html", page, -1,
                                &error))
        {
          (void) fprintf (stderr, "tarragonctl: %s\n", error->message);
          g_error_free (error);
          code = CTL_EXIT_FAILED;
        }
      g_free (page);
    }
  g_free (series);
  ctl_session_free (session);
  return code;
}
