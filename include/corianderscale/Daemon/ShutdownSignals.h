#pragma once

#include "corianderscale/Support/Time.h"

namespace coriander {

/** Blocks SIGINT and SIGTERM in this thread and the threads that it starts later, and ignores SIGPIPE. */
void blockShutdownSignals();

/**
 * Waits for SIGINT or SIGTERM. Returns false when none arrived within @p wait.
 *
 * Precondition: blockShutdownSignals() was called before any other thread started. Thread safety: one thread.
 */
bool waitForShutdownSignal(Duration wait);

} // namespace coriander
