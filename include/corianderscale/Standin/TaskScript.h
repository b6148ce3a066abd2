#pragma once

#include "corianderscale/Support/Time.h"
#include "corianderscale/Support/Units.h"

#include <string>

namespace coriander {

/**
 * Simulated behaviour of a task, parsed from its command:
 * `run ms=2000 outcome=succeed checkpoint=yes checkpointMs=100 stopMs=0 cores=4000 memoryMb=1024`.
 */
struct TaskScript {
    /** Time from start to end, unless the task is stopped. */
    Duration runTime = std::chrono::seconds(1);
    /** `outcome=succeed` or `outcome=fail` at the end of the run. */
    bool succeeds = true;
    /** Whether the task can write a checkpoint. */
    bool canCheckpoint = false;
    /** Time to write one checkpoint. */
    Duration checkpointTime = std::chrono::milliseconds(100);
    /** Time from a stop order to the end of the task, limited by the grace period of the order. */
    Duration stopTime{};
    /** Cores and memory in use while the task runs; zero means the reserved amount. */
    MilliCores cores;
    MemoryMib memory;
};

/** Parses a command. Ignores unknown words, because a stand-in accepts any command. Thread safety: pure function. */
TaskScript parseTaskScript(const std::string &command);

} // namespace coriander
