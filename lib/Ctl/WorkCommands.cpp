#include "corianderscale/Ctl/TextTable.h"
#include "corianderscale/Ctl/TimelineSvg.h"
#include "corianderscale/Daemon/CommandLine.h"
#include "corianderscale/Protocol/CallerMessages.h"

#include <fmt/format.h>

#include <charconv>

#include "Commands.h"

namespace coriander {

namespace {

constexpr std::int64_t DefaultWaitMs = 600000;
constexpr Duration JobPollInterval = std::chrono::milliseconds(500);
constexpr double MsPerHour = 3600.0 * 1000.0;
constexpr double MibPerGib = 1024.0;

std::string formatHours(const Json &usage, const std::string &key, double divisor = MsPerHour)
{
    return fmt::format("{:.3f}", static_cast<double>(numberValue(usage, key)) / divisor);
}

std::map<std::string, std::string> makeQuery(const CtlCall &call, const std::map<std::string, std::string> &names)
{
    std::map<std::string, std::string> query;
    for (const auto &[option, parameter] : names) {
        if (!call.option(option).empty()) {
            query[parameter] = call.option(option);
        }
    }
    return query;
}

std::vector<std::string> totalsRow(const std::string &kind, const Json &item)
{
    const Json &guaranteed = item.at("guaranteed");
    const Json &borrowed = item.at("borrowed");
    return {kind,
            cellText(item, "organisation"),
            cellText(item, "caller"),
            cellText(item, "accepted"),
            cellText(item, "finished"),
            cellText(item, "failed"),
            cellText(item, "refusedNotRun"),
            cellText(item, "cancelled"),
            cellText(item, "unknown"),
            formatHours(guaranteed, "acceleratorMs"),
            formatHours(borrowed, "acceleratorMs"),
            formatHours(guaranteed, "coreMs"),
            formatHours(borrowed, "coreMs"),
            formatHours(guaranteed, "memoryMibMs", MsPerHour * MibPerGib),
            formatHours(borrowed, "memoryMibMs", MsPerHour * MibPerGib)};
}

void printTotals(const Json &json, std::ostream &out)
{
    out << fmt::format("{} ({}): {}\n",
                       cellText(json, "day"),
                       cellText(json, "timeZone"),
                       json.value("complete", false) ? "complete" : "incomplete");
    for (const Json &missing : json.at("missing")) {
        const std::int64_t expected = numberValue(missing, "expectedUnixMs");
        out << "missing: " << cellText(missing, "what") << "; expected "
            << (expected == 0 ? "after a repair" : "at " + timeText(expected)) << '\n';
    }
    TextTable table({"ROW",
                     "ORGANISATION",
                     "CALLER",
                     "ACCEPTED",
                     "FINISHED",
                     "FAILED",
                     "NOT RUN",
                     "CANCELLED",
                     "UNKNOWN",
                     "ACC-H GUAR.",
                     "ACC-H BORR.",
                     "CORE-H GUAR.",
                     "CORE-H BORR.",
                     "GIB-H GUAR.",
                     "GIB-H BORR."});
    for (const Json &item : json.at("callers")) {
        table.add(totalsRow("caller", item));
    }
    for (const Json &correction : json.at("corrections")) {
        for (const Json &item : correction.at("callers")) {
            table.add(totalsRow("correction-" + cellText(correction, "number"), item));
        }
    }
    out << table.toString();
}

void printJob(const Json &job, std::ostream &out)
{
    for (const char *key : {"id", "organisation", "caller", "state", "code", "reason", "attempt", "cancelRequested"}) {
        out << fmt::format("{:<16}{}\n", key, cellText(job, key));
    }
    for (const char *key : {"submittedUnixMs", "startedUnixMs", "endedUnixMs"}) {
        out << fmt::format(
            "{:<16}{}\n", std::string(key).substr(0, std::string(key).find("Unix")), timeText(numberValue(job, key)));
    }
    for (const Json &placement : job.value("placements", Json::array())) {
        out << fmt::format("{:<16}{} on {}\n", "task", cellText(placement, "task"), cellText(placement, "worker"));
    }
}

int printRows(CtlCall &call, const std::string &path, const std::string &listKey, const std::vector<std::string> &keys)
{
    const auto response = call.client.call("GET", path);
    int exitCode = ExitSuccess;
    const auto json = call.readJsonOrPrint(response, exitCode);
    if (!json) {
        return exitCode;
    }
    TextTable table(keys);
    for (const Json &item : json->at(listKey)) {
        std::vector<std::string> row;
        for (const std::string &key : keys) {
            row.push_back(cellText(item, key));
        }
        table.add(std::move(row));
    }
    *call.hooks.out << table.toString();
    return ExitSuccess;
}

} // namespace

int runTotals(CtlCall &call)
{
    const std::string format = call.option("format").empty() ? call.option("output") : call.option("format");
    if (call.option("day").empty() || (format != "csv" && format != "table" && format != "json")) {
        *call.hooks.err
            << "corianderctl: --day YYYY-MM-DD is required; --format takes csv, table or json; see --help\n";
        return ExitUsage;
    }
    const auto response = call.client.call(
        "GET", "/v1/operator/totals", {{"day", call.option("day")}, {"format", format == "csv" ? "csv" : "json"}});
    if (format == "json") {
        return call.printJson(response);
    }
    if (format == "csv" && response && response->status < 300) {
        *call.hooks.out << response->body;
        return ExitSuccess;
    }
    int exitCode = ExitSuccess;
    if (const auto json = call.readJson(response, exitCode)) {
        printTotals(*json, *call.hooks.out);
    }
    return exitCode;
}

int runJobsList(CtlCall &call)
{
    const auto query = makeQuery(call, {{"state", "state"}, {"organisation", "organisation"}, {"limit", "limit"}});
    const auto response = call.client.call("GET", "/v1/operator/jobs", query);
    int exitCode = ExitSuccess;
    const auto json = call.readJsonOrPrint(response, exitCode);
    if (!json) {
        return exitCode;
    }
    TextTable table({"JOB", "ORGANISATION", "CALLER", "STATE", "TASKS", "SUBMITTED", "REASON"});
    for (const Json &job : json->at("jobs")) {
        table.add({cellText(job, "id"),
                   cellText(job, "organisation"),
                   cellText(job, "caller"),
                   cellText(job, "state"),
                   cellText(job.at("spec"), "tasks"),
                   timeText(numberValue(job, "submittedUnixMs")),
                   cellText(job, "reason")});
    }
    *call.hooks.out << table.toString();
    if (!cellText(*json, "next").empty()) {
        *call.hooks.err << "corianderctl: the list is incomplete; use more filters or a higher --limit\n";
    }
    return ExitSuccess;
}

int runJobsShow(CtlCall &call)
{
    const auto response = call.client.call("GET", "/v1/operator/jobs/" + call.positional.front());
    int exitCode = ExitSuccess;
    if (const auto json = call.readJsonOrPrint(response, exitCode)) {
        printJob(*json, *call.hooks.out);
    }
    return exitCode;
}

int runJobsCancel(CtlCall &call)
{
    const auto response = call.client.call("DELETE", "/v1/operator/jobs/" + call.positional.front());
    int exitCode = ExitSuccess;
    if (const auto json = call.readJsonOrPrint(response, exitCode)) {
        *call.hooks.out << fmt::format("{}: {}\n",
                                       cellText(*json, "id"),
                                       json->value("cancelRequested", false)
                                           ? "cancellation is requested"
                                           : "has ended: " + cellText(*json, "state"));
    }
    return exitCode;
}

int runJobsWait(CtlCall &call)
{
    std::int64_t wait = DefaultWaitMs;
    const std::string text = call.option("wait-ms");
    if (!text.empty() && std::from_chars(text.data(), text.data() + text.size(), wait).ec != std::errc()) {
        *call.hooks.err << "corianderctl: --wait-ms takes a whole number; see --help\n";
        return ExitUsage;
    }
    const MonotonicTime limit = call.hooks.clock.now() + std::chrono::milliseconds(wait);
    for (;;) {
        const auto response = call.client.call("GET", "/v1/operator/jobs/" + call.positional.front());
        int exitCode = ExitSuccess;
        const auto json = call.readJson(response, exitCode);
        const bool canRetry = exitCode == ExitUnreachable && call.hooks.clock.now() < limit;
        if (!json && !canRetry) {
            return exitCode;
        }
        const auto state = json ? parseJobState(cellText(*json, "state")) : std::nullopt;
        if (state && isTerminal(*state)) {
            if (call.asJson()) {
                call.printJson(response);
            } else {
                *call.hooks.out << cellText(*json, "id") << ": " << toText(*state) << '\n';
            }
            return *state == JobState::Finished ? ExitSuccess : ExitFailed;
        }
        if (call.hooks.clock.now() >= limit) {
            *call.hooks.err << "corianderctl: the job has not ended within --wait-ms; its state is "
                            << (json ? cellText(*json, "state") : "unknown: no gateway answered") << '\n';
            return ExitFailed;
        }
        call.hooks.sleep(JobPollInterval);
    }
}

int runWorkers(CtlCall &call)
{
    return printRows(
        call, "/v1/operator/workers", "workers", {"id", "dataCentre", "address", "state", "tasks", "acceleratorsUsed"});
}

int runEndpoints(CtlCall &call)
{
    return printRows(call, "/v1/operator/endpoints", "endpoints", {"id", "dataCentre", "address", "state"});
}

int runExplain(CtlCall &call)
{
    const auto response = call.client.call("GET", "/v1/operator/explain/" + call.positional.front());
    int exitCode = ExitSuccess;
    const auto json = call.readJsonOrPrint(response, exitCode);
    if (!json) {
        return exitCode;
    }
    printJob(json->at("job"), *call.hooks.out);
    const Json &owner = json->at("owner");
    if (owner.is_object()) {
        for (const char *key : {"state", "reason", "remedy"}) {
            *call.hooks.out << fmt::format("{:<16}{}\n", "owner " + std::string(key), cellText(owner, key));
        }
    }
    return ExitSuccess;
}

namespace {

std::vector<MergedEvent> parseEvents(const Json &answer)
{
    std::vector<MergedEvent> events;
    for (const Json &item : answer.at("events")) {
        MergedEvent event;
        event.instance = InstanceId(cellText(item, "instance"));
        event.event.time = parseHybridTime(cellText(item, "time")).value_or(HybridTime());
        event.event.event = cellText(item, "event");
        for (const Json &field : item.at("fields")) {
            event.event.fields.emplace_back(cellText(field, "key"), cellText(field, "value"));
        }
        events.push_back(std::move(event));
    }
    return events;
}

std::string timelineTable(const std::vector<MergedEvent> &events)
{
    TextTable table({"TIME", "INSTANCE", "EVENT", "FIELDS"});
    for (const MergedEvent &event : events) {
        std::string fields;
        for (const LogField &field : event.event.fields) {
            fields += (fields.empty() ? "" : " ") + formatLogField(field);
        }
        table.add({timeText(event.event.time.wallUs / 1000), event.instance.value(), event.event.event, fields});
    }
    return table.toString();
}

} // namespace

int runTimeline(CtlCall &call)
{
    const std::string format = call.option("format").empty() ? "text" : call.option("format");
    if (format != "text" && format != "json" && format != "svg") {
        *call.hooks.err << "corianderctl: --format takes text, json or svg; see --help\n";
        return ExitUsage;
    }
    const auto query = makeQuery(call, {{"id", "id"}, {"since", "sinceUnixMs"}, {"limit", "limit"}});
    const auto response = call.client.call("GET", "/v1/operator/timeline", query);
    if (call.asJson() || format == "json") {
        return call.printJson(response);
    }
    int exitCode = ExitSuccess;
    const auto json = call.readJson(response, exitCode);
    if (!json) {
        return exitCode;
    }
    for (const Json &instance : json->value("unreachable", Json::array())) {
        *call.hooks.err << "no events from: " << instance.get<std::string>() << '\n';
    }
    const std::vector<MergedEvent> events = parseEvents(*json);
    *call.hooks.out << (format == "svg" ? timelineSvg(events) : timelineTable(events));
    return ExitSuccess;
}

} // namespace coriander
