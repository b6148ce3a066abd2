#pragma once

#include "corianderscale/Support/YamlReader.h"

#include <functional>
#include <string>
#include <vector>

namespace coriander {

/** Exit codes of all programs. */
enum ExitCode {
    ExitSuccess = 0,
    ExitFailed = 1,
    ExitUsage = 2,
    ExitInvalid = 3,
    ExitUnreachable = 4,
    ExitRefused = 5,
};

/** Limit on the size of a settings file, in bytes. */
inline constexpr std::size_t MaximumSettingsBytes = 256 * 1024;

/** Description of a daemon, which its main() passes to runDaemon(). */
struct DaemonProgram {
    std::string name;
    std::string purpose;
    /** Reads and validates the settings, and adds a fault for each error. Called once, before @c run. */
    std::function<void(YamlMap &settings)> readSettings;
    /** Whether SIGINT and SIGTERM are blocked for waitForShutdownSignal(); false if the program handles them itself. */
    bool blocksSignals = true;
    /** Runs the daemon with the validated settings until it is stopped; returns its exit code. */
    std::function<int()> run;
};

/**
 * Parses `--help`, `--version`, `--settings FILE` and `--check-settings FILE`, prints all faults of the settings, and
 * runs the daemon. Blocks SIGINT and SIGTERM for waitForShutdownSignal() unless the program handles them itself.
 * Precondition: called from main() before other threads start.
 */
int runDaemon(int argc, char **argv, const DaemonProgram &program);

} // namespace coriander
