/// Entry points of the tarragonctl commands.
#pragma once

#include "ctl_defs.h"

CtlExit ctl_check (const CtlOptions *options, int count, char **arguments);
CtlExit ctl_fetch (const CtlOptions *options, int count, char **arguments);
CtlExit ctl_apply (const CtlOptions *options, int count, char **arguments);
CtlExit ctl_status (const CtlOptions *options, int count, char **arguments);
CtlExit ctl_explain (const CtlOptions *options, int count, char **arguments);
CtlExit ctl_audit (const CtlOptions *options, int count, char **arguments);
CtlExit ctl_report (const CtlOptions *options, int count, char **arguments);
