#include "corianderscale/Daemon/CommandLine.h"

#include <array>
#include <iostream>
#include <string_view>

#include "Subcommands.h"

namespace {

struct Subcommand {
    std::string_view name;
    std::string_view purpose;
    int (*run)(int argc, char **argv);
};

constexpr std::array Subcommands = {
    Subcommand{"platform", "table service, object store and VM list in memory", runPlatform},
    Subcommand{"worker", "a worker that simulates tasks with timers", runWorker},
    Subcommand{"endpoint", "an endpoint that simulates requests with timers", runEndpoint},
};

void printHelp(std::ostream &stream)
{
    stream << "coriander-standin: stand-ins for external systems, for tests and the demo\n\n"
              "Usage: coriander-standin SUBCOMMAND [OPTIONS]\n\nSubcommands, each with --help:\n";
    for (const Subcommand &subcommand : Subcommands) {
        stream << "  " << subcommand.name << "  " << subcommand.purpose << '\n';
    }
}

} // namespace

int main(int argc, char **argv)
{
    const std::string_view first = argc > 1 ? argv[1] : "";
    if (first == "--help") {
        printHelp(std::cout);
        return coriander::ExitSuccess;
    }
    if (first == "--version") {
        std::cout << "coriander-standin " << CORIANDER_VERSION << '\n';
        return coriander::ExitSuccess;
    }
    for (const Subcommand &subcommand : Subcommands) {
        if (first == subcommand.name) {
            return subcommand.run(argc - 1, argv + 1);
        }
    }
    printHelp(std::cerr);
    return coriander::ExitUsage;
}
