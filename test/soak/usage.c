#include "usage.h"
#include <dirent.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/// Shorter runs are not checked, because the daemons are still warming up in the second fifth.
#define MIN_RUN_US (INT64_C (300) * 1000000)
/// Tolerated ratio of late to early usage. It covers pages that the allocator returns with a delay
/// and connections that happen to be open when a sample is taken.
#define MAX_GROWTH_RATIO 1.05

static uint64_t
resident_kb (int pid)
{
  char path[64];
  unsigned long long pages = 0;
  FILE *file;

  (void) snprintf (path, sizeof path, "/proc/%d/statm", pid);
  file = fopen (path, "re");
  if (file == NULL)
    return 0;
  if (fscanf (file, "%*u %llu", &pages) != 1)
    pages = 0;
  (void) fclose (file);
  return pages * (unsigned long long) sysconf (_SC_PAGESIZE) / 1024;
}

uint64_t
soak_usage_peak_kb (int pid)
{
  char line[128];
  unsigned long long peak = 0;
  FILE *file;

  (void) snprintf (line, sizeof line, "/proc/%d/status", pid);
  file = fopen (line, "re");
  if (file == NULL)
    return 0;
  while (fgets (line, sizeof line, file) != NULL)
    if (strncmp (line, "VmHWM:", 6) == 0)
      peak = strtoull (line + 6, NULL, 10);
  (void) fclose (file);
  return peak;
}

uint64_t
soak_usage_descriptors (int pid)
{
  char path[64];
  uint64_t count = 0;
  DIR *directory;

  (void) snprintf (path, sizeof path, "/proc/%d/fd", pid);
  directory = opendir (path);
  if (directory == NULL)
    return 0;
  while (readdir (directory) != NULL)
    count++;
  (void) closedir (directory);
  return count - 2; // . and ..
}

void
soak_usage_sample (Soak *soak)
{
  int64_t length_us = soak->end_us - soak->start_us;
  int64_t fifth = 5 * (soak_now_us () - soak->start_us) / length_us;

  for (unsigned i = 0; i < soak->daemon_count && (fifth == 1 || fifth == 4); i++)
    {
      SoakDaemon *daemon = &soak->daemons[i];
      SoakUsage *usage = fifth == 1 ? &daemon->early_usage : &daemon->late_usage;

      if (!daemon->running)
        continue;
      usage->samples++;
      usage->resident_kb += resident_kb (daemon->process.pid);
      usage->descriptors += soak_usage_descriptors (daemon->process.pid);
    }
}

static double
mean (uint64_t sum, uint64_t samples)
{
  return samples > 0 ? (double) sum / (double) samples : 0.0;
}

void
soak_usage_check (Soak *soak)
{
  if (soak->end_us - soak->start_us < MIN_RUN_US)
    return;
  for (unsigned i = 0; i < soak->daemon_count; i++)
    {
      const SoakUsage *early = &soak->daemons[i].early_usage;
      const SoakUsage *late = &soak->daemons[i].late_usage;
      double resident[2]
          = { mean (early->resident_kb, early->samples), mean (late->resident_kb, late->samples) };
      double descriptors[2]
          = { mean (early->descriptors, early->samples), mean (late->descriptors, late->samples) };

      (void) printf ("daemon %u: %.0f and %.0f KB resident, %.1f and %.1f descriptors\n", i,
                     resident[0], resident[1], descriptors[0], descriptors[1]);
      if (resident[1] > MAX_GROWTH_RATIO * resident[0])
        soak_violation (soak, "GROWTH", "memory of daemon %u: %.0f to %.0f KB", i, resident[0],
                        resident[1]);
      if (descriptors[1] > MAX_GROWTH_RATIO * descriptors[0])
        soak_violation (soak, "GROWTH", "descriptors of daemon %u: %.1f to %.1f", i, descriptors[0],
                        descriptors[1]);
    }
}
