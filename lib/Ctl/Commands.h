#pragma once

#include "corianderscale/Ctl/GatewayClient.h"

#include <map>
#include <string>
#include <vector>

namespace coriander {

/** One invocation of a command with its validated arguments. */
struct CtlCall {
    const CtlHooks &hooks;
    GatewayClient client;
    /** Values of the options that were given. */
    std::map<std::string, std::string> options;
    std::vector<std::string> positional;

    /** The value of an option; empty when it was not given. */
    std::string option(const std::string &name) const;
    bool asJson() const;
    /** Prints an answer as JSON, or its error; returns the exit code. */
    int printJson(const std::optional<HttpResponse> &response) const;
    /** Returns the JSON of a successful answer; otherwise prints the error and returns no value. Sets @p exitCode. */
    std::optional<Json> readJson(const std::optional<HttpResponse> &response, int &exitCode) const;
    /** Like readJson(), but with `--output json` prints the answer as JSON and returns no value. */
    std::optional<Json> readJsonOrPrint(const std::optional<HttpResponse> &response, int &exitCode) const;
};

/** An option of a command, with the placeholder of its value and its help text. */
struct CtlOption {
    std::string name;
    std::string valueName;
    std::string help;
};

struct CtlCommand {
    /** One or two words, such as `jobs list`. */
    std::string name;
    /** Placeholders of the positional arguments, all of them required. */
    std::vector<std::string> arguments;
    std::string help;
    std::vector<CtlOption> options;
    int (*run)(CtlCall &call);
};

/** @name Commands on documents */
///@{
int runCheck(CtlCall &call);
int runDiff(CtlCall &call);
int runApply(CtlCall &call);
int runPromote(CtlCall &call);
int runStatus(CtlCall &call);
int runHistory(CtlCall &call);
int runOrganisations(CtlCall &call);
int runGuarantees(CtlCall &call);
///@}

/** @name Commands on work and machines */
///@{
int runTotals(CtlCall &call);
int runJobsList(CtlCall &call);
int runJobsShow(CtlCall &call);
int runJobsCancel(CtlCall &call);
int runJobsWait(CtlCall &call);
int runWorkers(CtlCall &call);
int runEndpoints(CtlCall &call);
int runExplain(CtlCall &call);
int runTimeline(CtlCall &call);
///@}

/** Text of a JSON value for a table cell; empty for a missing or null value. */
std::string cellText(const Json &object, const std::string &key);
/** Number in a JSON object; 0 for a missing one. */
std::int64_t numberValue(const Json &object, const std::string &key);

} // namespace coriander
