/// Random trouble from outside the daemons.
#pragma once

#include "soak_defs.h"

/// Writes a daemon's settings, with another budget of repeats each time.
bool soak_daemon_settings (SoakDaemon *daemon);

/// Starts a daemon's process. RETURN false on failure.
bool soak_daemon_start (SoakDaemon *daemon);

/// Writes the next version of the configuration.
void soak_configure (Soak *soak);

/// Causes one random trouble, which ends by itself.
void soak_trouble (Soak *soak);

/// Does one random thing of planned work, during which every bound holds: a backend server leaves
/// and is replaced, or the configuration or a settings file changes.
void soak_plan (Soak *soak);

/// True while some trouble lasts.
bool soak_trouble_lasts (void);
