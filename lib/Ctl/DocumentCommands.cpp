#include "corianderscale/Ctl/TextTable.h"
#include "corianderscale/Daemon/CommandLine.h"
#include "corianderscale/Protocol/CallerMessages.h"
#include "corianderscale/State/Document.h"

#include <fmt/format.h>

#include <charconv>

#include "Commands.h"

namespace coriander {

namespace {

constexpr std::int64_t DefaultPromoteWaitMs = 15000;

std::optional<std::string> readDocument(CtlCall &call)
{
    std::vector<YamlFault> faults;
    auto text = readTextFile(call.positional.front(), MaximumDocumentBytes, faults);
    for (const YamlFault &fault : faults) {
        *call.hooks.err << fault.toString() << '\n';
    }
    return text;
}

std::optional<std::int64_t> readNumber(CtlCall &call, const std::string &name, std::int64_t fallback)
{
    const std::string text = call.option(name);
    std::int64_t value = fallback;
    if (!text.empty()) {
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc() || end != text.data() + text.size() || value < 0) {
            *call.hooks.err << "corianderctl: --" << name << " takes a whole number; see --help\n";
            return std::nullopt;
        }
    }
    return value;
}

std::string dumpJson(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

int printAccepted(CtlCall &call, const std::optional<HttpResponse> &response)
{
    int exitCode = ExitSuccess;
    if (const auto json = call.readJsonOrPrint(response, exitCode)) {
        *call.hooks.out << fmt::format("{}: version {} is accepted, digest {}\n",
                                       cellText(*json, "environment"),
                                       numberValue(*json, "version"),
                                       cellText(*json, "digest"));
    }
    return exitCode;
}

/** Retry delay in ms when the answer is `not-in-force`, otherwise 0. */
std::int64_t promoteRetryDelayMs(const std::optional<HttpResponse> &response)
{
    ProtocolError error;
    const auto body
        = response && response->status == 409 ? decodeMessage<ErrorBody>(response->body, error) : std::nullopt;
    return body && body->code == "not-in-force" ? std::max<std::int64_t>(body->retryAfterMs, 1) : 0;
}

} // namespace

int runCheck(CtlCall &call)
{
    const std::optional<std::string> text = readDocument(call);
    if (!text) {
        return ExitInvalid;
    }
    const auto response = call.client.call("POST", "/v1/operator/check", {}, dumpJson({{"document", *text}}));
    int exitCode = ExitSuccess;
    const auto json = call.readJson(response, exitCode);
    if (!json) {
        return exitCode;
    }
    if (call.asJson()) {
        call.printJson(response);
    } else if (json->value("valid", false)) {
        *call.hooks.out << call.positional.front() << ": ok, digest " << cellText(*json, "digest") << '\n';
    } else {
        for (const Json &fault : json->at("faults")) {
            const YamlFault localFault{call.positional.front(),
                                       static_cast<int>(numberValue(fault, "line")),
                                       static_cast<int>(numberValue(fault, "column")),
                                       cellText(fault, "key"),
                                       cellText(fault, "expected")};
            *call.hooks.err << localFault.toString() << '\n';
        }
    }
    return json->value("valid", false) ? ExitSuccess : ExitInvalid;
}

int runDiff(CtlCall &call)
{
    const std::optional<std::string> text = readDocument(call);
    if (!text) {
        return ExitInvalid;
    }
    Json body = {{"document", *text}};
    if (!call.option("environment").empty()) {
        body["environment"] = call.option("environment");
    }
    const auto response = call.client.call("POST", "/v1/operator/diff", {}, dumpJson(body));
    int exitCode = ExitSuccess;
    const auto json = call.readJsonOrPrint(response, exitCode);
    if (!json) {
        return exitCode;
    }
    *call.hooks.out << fmt::format("compared with {} version {}, digest {}\n",
                                   cellText(*json, "environment"),
                                   numberValue(*json, "version"),
                                   cellText(*json, "digest"));
    for (const Json &line : json->at("lines")) {
        *call.hooks.out << fmt::format(
            "{} {:>4} {}\n", cellText(line, "mark"), numberValue(line, "line"), cellText(line, "text"));
    }
    return ExitSuccess;
}

int runApply(CtlCall &call)
{
    if (call.option("environment") != "trial") {
        *call.hooks.err << "corianderctl: apply requires --environment trial; use promote for production\n";
        return ExitUsage;
    }
    const std::optional<std::string> text = readDocument(call);
    if (!text) {
        return ExitInvalid;
    }
    Json body = {{"document", *text}, {"environment", "trial"}};
    if (!call.option("base-version").empty()) {
        const auto base = readNumber(call, "base-version", 0);
        if (!base) {
            return ExitUsage;
        }
        body["baseVersion"] = *base;
    }
    return printAccepted(call, call.client.call("POST", "/v1/operator/apply", {}, dumpJson(body)));
}

int runPromote(CtlCall &call)
{
    const auto wait = readNumber(call, "wait-ms", DefaultPromoteWaitMs);
    if (!wait) {
        return ExitUsage;
    }
    const std::string body = dumpJson({{"digest", call.positional.front()}});
    const MonotonicTime limit = call.hooks.clock.now() + std::chrono::milliseconds(*wait);
    for (;;) {
        const auto response = call.client.call("POST", "/v1/operator/promote", {}, body);
        const auto retry = std::chrono::milliseconds(promoteRetryDelayMs(response));
        if (retry.count() == 0 || call.hooks.clock.now() + retry > limit) {
            return printAccepted(call, response);
        }
        call.hooks.sleep(retry);
    }
}

int runStatus(CtlCall &call)
{
    const auto response = call.client.call("GET", "/v1/operator/status");
    int exitCode = ExitSuccess;
    const auto json = call.readJsonOrPrint(response, exitCode);
    if (!json) {
        return exitCode;
    }
    *call.hooks.out << fmt::format("answered by {}, environment {}, version in force here {}, table {}\n\n",
                                   cellText(*json, "answeredBy"),
                                   cellText(*json, "environment"),
                                   numberValue(json->at("inForce"), "version"),
                                   cellText(*json, "table"));
    TextTable accepted({"ENVIRONMENT", "ACCEPTED", "DIGEST", "OPERATOR", "SINCE"});
    for (const Json &item : json->at("accepted")) {
        accepted.add({cellText(item, "environment"),
                      item.value("known", false) ? cellText(item, "version") : "not known",
                      cellText(item, "digest"),
                      cellText(item, "operator"),
                      timeText(numberValue(item, "acceptedUnixMs"))});
    }
    TextTable instances({"INSTANCE", "ROLE", "DATA CENTRE", "ADDRESS", "VERSION", "CUT OFF SINCE"});
    for (const Json &item : json->at("instances")) {
        instances.add({cellText(item, "instance"),
                       cellText(item, "role"),
                       cellText(item, "dataCentre"),
                       cellText(item, "address"),
                       cellText(item, "version"),
                       item.value("cutOff", false) ? timeText(numberValue(item, "cutOffSinceUnixMs")) : "no"});
    }
    *call.hooks.out << accepted.toString() << '\n' << instances.toString();
    return ExitSuccess;
}

int runHistory(CtlCall &call)
{
    std::map<std::string, std::string> query;
    if (!call.option("environment").empty()) {
        query["environment"] = call.option("environment");
    }
    const auto response = call.client.call("GET", "/v1/operator/history", query);
    int exitCode = ExitSuccess;
    const auto json = call.readJsonOrPrint(response, exitCode);
    if (!json) {
        return exitCode;
    }
    TextTable table({"VERSION", "ACCEPTED", "OPERATOR", "DIGEST"});
    for (const Json &item : json->at("versions")) {
        table.add({cellText(item, "version"),
                   timeText(numberValue(item, "acceptedUnixMs")),
                   cellText(item, "operator"),
                   cellText(item, "digest")});
    }
    *call.hooks.out << table.toString();
    return ExitSuccess;
}

int runOrganisations(CtlCall &call)
{
    const auto response = call.client.call("GET", "/v1/operator/document");
    int exitCode = ExitSuccess;
    const auto json = call.readJson(response, exitCode);
    if (!json) {
        return exitCode;
    }
    std::vector<YamlFault> faults;
    const auto document = parseDocument(cellText(*json, "document"), "document", faults);
    if (!document) {
        *call.hooks.err
            << "corianderctl: the environment has no document, or one that this version of corianderctl cannot parse\n";
        return ExitFailed;
    }
    TextTable table({"ORGANISATION", "WEIGHT", "QUOTA", "REQUESTS/S", "GUARANTEED", "CALLERS"});
    Json list = Json::array();
    for (const OrganisationSpec &organisation : document->organisations) {
        std::int64_t guaranteed = 0;
        for (const decision::Guarantee &guarantee : organisation.guarantees) {
            guaranteed += guarantee.accelerators.count() * guarantee.count;
        }
        table.add({organisation.id.value(),
                   std::to_string(organisation.weight),
                   organisation.quota.count() == 0 ? "none" : std::to_string(organisation.quota.count()),
                   std::to_string(organisation.requestsPerSecond),
                   std::to_string(guaranteed),
                   std::to_string(organisation.callers.size())});
        list.push_back({{"organisation", organisation.id.value()},
                        {"weight", organisation.weight},
                        {"acceleratorQuota", organisation.quota.count()},
                        {"requestsPerSecond", organisation.requestsPerSecond},
                        {"guaranteedAccelerators", guaranteed},
                        {"callers", organisation.callers.size()}});
    }
    *call.hooks.out << (call.asJson() ? list.dump(2) + "\n" : table.toString());
    return ExitSuccess;
}

int runGuarantees(CtlCall &call)
{
    const auto response = call.client.call("GET", "/v1/operator/guarantees");
    int exitCode = ExitSuccess;
    const auto json = call.readJsonOrPrint(response, exitCode);
    if (!json) {
        return exitCode;
    }
    TextTable table({"ORGANISATION", "DATA CENTRE", "ACCELERATORS", "ADJACENCY", "COUNT", "CLAIMED THERE"});
    for (const Json &item : json->at("guarantees")) {
        table.add({cellText(item, "organisation"),
                   cellText(item, "dataCentre"),
                   cellText(item, "accelerators"),
                   cellText(item, "adjacency"),
                   cellText(item, "count"),
                   cellText(item, "acceleratorsClaimedThere")});
    }
    *call.hooks.out << table.toString();
    return ExitSuccess;
}

} // namespace coriander
