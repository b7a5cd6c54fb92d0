/// Random faults, injected from outside the daemons, and planned maintenance.
#pragma once

#include "soak_defs.h"

/// Writes a daemon's settings file, with a random retry budget (`repeat_slack`) each time.
bool soak_daemon_write_settings (SoakDaemon *daemon);

/// Starts a daemon process. RETURN false on failure.
bool soak_daemon_start (SoakDaemon *daemon);

/// Writes the next version of the configuration.
void soak_write_configuration (Soak *soak);

/// Injects one random fault, which ends by itself, or performs a planned step: a SIGTERM to a
/// daemon or a configuration change.
void soak_inject_fault (Soak *soak);

/// Crashes a backend server, which starts again later. @remove_entry: as in soak_backend_crash().
void soak_crash_backend (Soak *soak, unsigned target, bool remove_entry);

/// Performs one random step of planned maintenance: a backend server drains and is replaced, or the
/// configuration or a settings file changes. Every bound must hold while the step is in progress.
void soak_run_maintenance (Soak *soak);

/// Counts a fault as active and ends it after a random time.
void soak_schedule_fault_end (Soak *soak, unsigned target, unsigned min_ms, unsigned max_ms,
                              void (*end) (Soak *soak, unsigned target));

/// Schedules a step that is no fault.
void soak_schedule_step (Soak *soak, unsigned target, unsigned after_ms,
                         void (*step) (Soak *soak, unsigned target));

/// True while a fault is active.
bool soak_fault_active (void);
