#pragma once

#include "corianderscale/Support/Time.h"
#include "corianderscale/Support/Units.h"

#include <string>

namespace coriander {

/**
 * What a task of the stand-in does, read from its command text:
 * `run ms=2000 outcome=succeed checkpoint=yes checkpointMs=100 stopMs=0 cores=4000 memoryMb=1024`.
 */
struct TaskScript {
    Duration run = std::chrono::seconds(1);
    /** `outcome=succeed` or `outcome=fail` at the end of the run. */
    bool succeeds = true;
    /** Whether the task can write a checkpoint. */
    bool canCheckpoint = false;
    /** Time that one checkpoint takes. */
    Duration checkpoint = std::chrono::milliseconds(100);
    /** Time that the task takes to end after a stop order; the grace of the order cuts it short. */
    Duration stop{};
    /** Present use; zero stands for the reserved size. */
    MilliCores cores;
    MemoryMib memory;
};

/** Reads a command. Unknown words are ignored, as a stand-in runs any command. Thread safety: pure function. */
TaskScript parseTaskScript(const std::string &command);

} // namespace coriander
