#include "corianderscale/Daemon/CommandLine.h"

#include "corianderscale/Daemon/ShutdownSignals.h"
#include "corianderscale/Support/Log.h"

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <iostream>

namespace coriander {

namespace {

namespace options = boost::program_options;

int printFaults(const std::vector<YamlFault> &faults)
{
    for (const YamlFault &fault : faults) {
        std::cerr << fault.toString() << '\n';
    }
    return ExitInvalid;
}

std::vector<YamlFault> loadSettings(const std::string &file, const DaemonProgram &program)
{
    std::vector<YamlFault> faults;
    const std::optional<std::string> content = readTextFile(file, MaximumSettingsBytes, faults);
    if (!content) {
        return faults;
    }
    const std::optional<YAML::Node> root = parseYaml(*content, file, faults);
    if (!root) {
        return faults;
    }
    YamlMap settings(*root, file, {}, faults);
    program.readSettings(settings);
    settings.finish();
    return faults;
}

} // namespace

int runDaemon(int argc, char **argv, const DaemonProgram &program)
{
    options::options_description description(fmt::format("{}: {}\n\nOptions", program.name, program.purpose));
    description.add_options()("help", "print this help");
    description.add_options()("version", "print the version");
    description.add_options()("settings", options::value<std::string>()->value_name("FILE"), "run with these settings");
    description.add_options()(
        "check-settings", options::value<std::string>()->value_name("FILE"), "check the settings and exit");
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
    } catch (const options::error &error) {
        std::cerr << program.name << ": " << error.what() << "; see --help\n";
        return ExitUsage;
    }
    if (values.count("help") > 0) {
        std::cout << description;
        return ExitSuccess;
    }
    if (values.count("version") > 0) {
        std::cout << program.name << ' ' << CORIANDER_VERSION << '\n';
        return ExitSuccess;
    }
    const bool checkOnly = values.count("check-settings") > 0;
    if (!checkOnly && values.count("settings") == 0) {
        std::cerr << program.name << ": --settings FILE is required; see --help\n";
        return ExitUsage;
    }
    const std::string file = values[checkOnly ? "check-settings" : "settings"].as<std::string>();
    const std::vector<YamlFault> faults = loadSettings(file, program);
    if (!faults.empty()) {
        return printFaults(faults);
    }
    if (checkOnly) {
        std::cout << file << ": ok\n";
        return ExitSuccess;
    }
    if (program.blocksSignals) {
        blockShutdownSignals();
    }
    return program.run();
}

} // namespace coriander
