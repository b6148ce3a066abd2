#include "corianderscale/Ctl/Ctl.h"

#include "corianderscale/Daemon/CommandLine.h"

#include <boost/program_options.hpp>
#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>

#include "Commands.h"

namespace coriander {

namespace {

namespace options = boost::program_options;

constexpr std::size_t MaximumTokenFileBytes = 4096;
constexpr std::int64_t DefaultTimeoutMs = 70000;

const CtlOption EnvironmentOption = {"environment", "ENV", "trial or production"};

const std::vector<CtlCommand> &commands()
{
    static const std::vector<CtlCommand> AllCommands = {
        {"check", {"FILE"}, "check a document and print its digest, or all its faults", {}, runCheck},
        {"diff", {"FILE"}, "compare a document with the accepted one", {EnvironmentOption}, runDiff},
        {"apply",
         {"FILE"},
         "apply a document to trial",
         {EnvironmentOption, {"base-version", "N", "version that the change is based on; default: the current one"}},
         runApply},
        {"promote",
         {"DIGEST"},
         "copy the document in force in trial to production",
         {{"wait-ms", "N", "ms to wait until the document is in force in trial; default 15000"}},
         runPromote},
        {"status", {}, "show the versions in force and the instances that are cut off", {}, runStatus},
        {"history", {}, "show all accepted versions", {EnvironmentOption}, runHistory},
        {"totals",
         {},
         "show the totals of a civil day",
         {{"day", "YYYY-MM-DD", "civil day of the totals; required"}, {"format", "FORMAT", "csv, table or json"}},
         runTotals},
        {"organisations", {}, "list the organisations of the document in force", {}, runOrganisations},
        {"guarantees", {}, "list the guarantees and the accelerators claimed under them", {}, runGuarantees},
        {"jobs list",
         {},
         "list jobs of all organisations",
         {{"state", "STATE", "only jobs in this state"},
          {"organisation", "NAME", "only jobs of this organisation"},
          {"limit", "N", "maximum number of jobs; default 200"}},
         runJobsList},
        {"jobs show", {"JOB"}, "show one job", {}, runJobsShow},
        {"jobs cancel", {"JOB"}, "request the cancellation of a job", {}, runJobsCancel},
        {"jobs wait",
         {"JOB"},
         "wait until a job has ended; exit code 0 only when it finished",
         {{"wait-ms", "N", "ms to wait; default 600000"}},
         runJobsWait},
        {"workers", {}, "list the workers and the number of tasks on them", {}, runWorkers},
        {"endpoints", {}, "list the endpoints", {}, runEndpoints},
        {"explain", {"JOB"}, "explain why a job is in its state", {}, runExplain},
        {"timeline",
         {},
         "show events of all processes in order",
         {{"id", "ID", "only events with this id in a field"},
          {"since", "UNIX-MS", "only events since this time"},
          {"limit", "N", "maximum number of events; default 1000"},
          {"format", "FORMAT", "text, json or svg; default text"}},
         runTimeline},
    };
    return AllCommands;
}

options::options_description describe(const CtlCommand &command)
{
    options::options_description description("Options");
    auto add = description.add_options();
    add("help", "print this help");
    add("gateway",
        options::value<std::vector<std::string>>()->value_name("ADDRESS"),
        "base address of a gateway; repeatable: the next one is tried when one is unreachable");
    add("token-file",
        options::value<std::string>()->value_name("FILE"),
        "file with the operator's token; default: the environment variable CORIANDER_TOKEN");
    add("output", options::value<std::string>()->default_value("table")->value_name("FORMAT"), "table or json");
    add("timeout-ms",
        options::value<std::int64_t>()->default_value(DefaultTimeoutMs)->value_name("N"),
        "ms to wait for the answer of each gateway");
    for (const CtlOption &option : command.options) {
        add(option.name.c_str(), options::value<std::string>()->value_name(option.valueName), option.help.c_str());
    }
    return description;
}

void printHelp(std::ostream &out)
{
    out << "corianderctl: operators' command line of corianderscale\n\n"
           "Usage: corianderctl COMMAND [ARGUMENTS] --gateway ADDRESS [OPTIONS]\n\n"
           "Commands, each with --help:\n";
    for (const CtlCommand &command : commands()) {
        out << fmt::format("  {:<15}{}\n", command.name, command.help);
    }
    out << "\nExit codes: 0 success, 1 failed, 2 usage error, 3 document invalid, 4 service unreachable,\n"
           "5 refused or conflict.\n";
}

const CtlCommand *findCommand(const std::vector<std::string> &arguments, std::size_t &wordCount)
{
    for (const CtlCommand &command : commands()) {
        wordCount = command.name.find(' ') == std::string::npos ? 1 : 2;
        if (arguments.size() < wordCount) {
            continue;
        }
        const std::string name = wordCount == 1 ? arguments[0] : arguments[0] + " " + arguments[1];
        if (name == command.name) {
            return &command;
        }
    }
    return nullptr;
}

/** Reads the operator's token; prints a message and returns no value when there is none. */
std::optional<std::string> readToken(const std::string &file, const CtlHooks &hooks)
{
    std::string token = hooks.tokenVariable;
    if (!file.empty()) {
        std::vector<YamlFault> faults;
        const std::optional<std::string> content = readTextFile(file, MaximumTokenFileBytes, faults);
        if (!content) {
            *hooks.err << "corianderctl: " << faults.front().toString() << '\n';
            return std::nullopt;
        }
        token = *content;
    }
    while (!token.empty() && (token.back() == '\n' || token.back() == '\r' || token.back() == ' ')) {
        token.pop_back();
    }
    if (token.empty() || token.find_first_of("\r\n") != std::string::npos) {
        *hooks.err << "corianderctl: give the token with --token-file or in CORIANDER_TOKEN\n";
        return std::nullopt;
    }
    return token;
}

int runCommand(const CtlCommand &command, const options::variables_map &values, const CtlHooks &hooks)
{
    const std::string output = values["output"].as<std::string>();
    if (output != "table" && output != "json") {
        throw options::error("--output takes table or json");
    }
    const auto timeout = values["timeout-ms"].as<std::int64_t>();
    if (timeout < 1) {
        throw options::error("--timeout-ms must be positive");
    }
    if (values.count("gateway") == 0) {
        throw options::error("give at least one --gateway ADDRESS");
    }
    std::vector<std::string> positional;
    if (values.count("argument") > 0) {
        positional = values["argument"].as<std::vector<std::string>>();
    }
    if (positional.size() != command.arguments.size()) {
        throw options::error(command.arguments.empty() ? "this command takes no arguments"
                                                       : fmt::format("this command takes the arguments {}",
                                                                     fmt::join(command.arguments, " ")));
    }
    const std::string file = values.count("token-file") > 0 ? values["token-file"].as<std::string>() : std::string();
    const std::optional<std::string> token = readToken(file, hooks);
    if (!token) {
        return ExitUsage;
    }
    std::vector<std::string> gateways = values["gateway"].as<std::vector<std::string>>();
    CtlCall call{hooks,
                 GatewayClient(hooks, std::move(gateways), *token, std::chrono::milliseconds(timeout)),
                 {{"output", output}},
                 std::move(positional)};
    for (const CtlOption &option : command.options) {
        if (values.count(option.name) > 0) {
            call.options[option.name] = values[option.name].as<std::string>();
        }
    }
    return command.run(call);
}

int parseAndRun(const CtlCommand &command, const std::vector<std::string> &arguments, const CtlHooks &hooks)
{
    const options::options_description visible = describe(command);
    options::options_description all = visible;
    all.add_options()("argument", options::value<std::vector<std::string>>());
    options::positional_options_description positional;
    positional.add("argument", -1);
    options::variables_map values;
    options::store(options::command_line_parser(arguments)
                       .options(all)
                       .positional(positional)
                       .style(options::command_line_style::default_style & ~options::command_line_style::allow_guessing)
                       .run(),
                   values);
    options::notify(values);
    if (values.count("help") > 0) {
        *hooks.out << "corianderctl " << command.name << ": " << command.help << "\n\nUsage: corianderctl "
                   << command.name;
        for (const std::string &argument : command.arguments) {
            *hooks.out << ' ' << argument;
        }
        *hooks.out << " --gateway ADDRESS [OPTIONS]\n\n" << visible;
        return ExitSuccess;
    }
    return runCommand(command, values, hooks);
}

} // namespace

int runCtl(const std::vector<std::string> &arguments, const CtlHooks &hooks)
{
    if (!arguments.empty() && arguments.front() == "--help") {
        printHelp(*hooks.out);
        return ExitSuccess;
    }
    if (!arguments.empty() && arguments.front() == "--version") {
        *hooks.out << "corianderctl " << CORIANDER_VERSION << '\n';
        return ExitSuccess;
    }
    std::size_t wordCount = 0;
    const CtlCommand *command = findCommand(arguments, wordCount);
    if (command == nullptr) {
        printHelp(*hooks.err);
        return ExitUsage;
    }
    try {
        return parseAndRun(
            *command, {arguments.begin() + static_cast<std::ptrdiff_t>(wordCount), arguments.end()}, hooks);
    } catch (const options::error &error) {
        *hooks.err << "corianderctl " << command->name << ": " << error.what() << "; see --help\n";
        return ExitUsage;
    } catch (const Json::exception &) {
        *hooks.err << "corianderctl: the answer of the gateway has an unexpected format; use corianderctl of the "
                      "gateway's version\n";
        return ExitFailed;
    }
}

} // namespace coriander
