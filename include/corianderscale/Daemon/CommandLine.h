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

/** The most bytes of a settings file. */
inline constexpr std::size_t MaximumSettingsBytes = 256 * 1024;

/** A daemon as its main function describes it. */
struct DaemonProgram {
    std::string name;
    std::string purpose;
    /** Reads and checks the settings; adds faults. Called once, before @c run. */
    std::function<void(YamlMap &settings)> readSettings;
    /** Whether SIGINT and SIGTERM are blocked for waitForShutdownSignal(); false for a program that handles them. */
    bool blocksSignals = true;
    /** Runs the daemon with checked settings until it is told to stop; returns its exit code. */
    std::function<int()> run;
};

/**
 * Handles `--help`, `--version`, `--settings FILE` and `--check-settings FILE`, prints every fault of the settings, and
 * runs the daemon. Precondition: called from main() before other threads start. Blocks SIGINT and SIGTERM for
 * waitForShutdownSignal() unless the program handles them itself.
 */
int runDaemon(int argc, char **argv, const DaemonProgram &program);

} // namespace coriander
