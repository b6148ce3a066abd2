#include "corianderscale/Gateway/GatewayReplies.h"
#include "corianderscale/Gateway/OperatorApi.h"
#include "corianderscale/Gateway/OperatorReplies.h"
#include "corianderscale/State/TotalsCsv.h"
#include "corianderscale/Support/Log.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <future>

namespace coriander {

namespace {

constexpr Duration StoreTimeout = std::chrono::seconds(5);
/** Long, because the totals read every row of jobs and requests in pages within the read budget of the store. */
constexpr Duration TotalsTimeout = std::chrono::seconds(60);
constexpr std::size_t OperationIdBytes = 16;
constexpr std::int64_t RowsPerPage = 500;
/** Maximum number of pages that one listing call reads; the answer then contains the key to continue from. */
constexpr int PagesPerCall = 10;
constexpr std::int64_t DefaultListLimit = 200;
constexpr std::int64_t MaximumListLimit = 2000;
constexpr int MaximumCancelAttempts = 5;
constexpr std::int64_t MaximumTimelineEvents = 8192;

/** A whole-number parameter from 0 to @p maximum, @p fallback when it is missing, or no value when it is invalid. */
std::optional<std::int64_t> numberParameter(const HttpRequest &request,
                                            const std::string &name,
                                            std::int64_t fallback,
                                            std::int64_t maximum)
{
    const std::string text = request.parameter(name);
    if (text.empty()) {
        return fallback;
    }
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || value < 0 || value > maximum) {
        return std::nullopt;
    }
    return value;
}

/** The job fields for operators: the fields for its caller, and organisation, caller and placements. */
Json operatorJobJson(const JobRecord &record)
{
    Json json = jobToJson(record);
    json["organisation"] = record.organisation.value();
    json["caller"] = record.caller.value();
    json["guaranteed"] = record.guaranteed;
    json["checkpointed"] = record.checkpointed;
    Json placements = Json::array();
    for (const TaskPlacement &placement : record.placements) {
        placements.push_back(placement.toJson());
    }
    json["placements"] = std::move(placements);
    return json;
}

std::optional<VmList> listVmsAndWait(Store &store, MonotonicTime deadline, CoordinationError &error)
{
    const auto promise = std::make_shared<std::promise<std::pair<std::optional<VmList>, CoordinationError>>>();
    store.listVms(deadline, [promise](std::optional<VmList> list, const CoordinationError &reason) {
        promise->set_value({std::move(list), reason});
    });
    auto [list, reason] = promise->get_future().get();
    error = reason;
    return std::move(list);
}

HttpResponse jobNotFound()
{
    return operatorError({StateCode::NotFound, "no job has this id"});
}

StateError tableUnavailable(const CoordinationError &error)
{
    return {StateCode::Unavailable, "the platform's table does not answer: " + error.reason + "; try again later"};
}

Json mergedEvents(const std::vector<ProcessTimeline> &timelines)
{
    Json events = Json::array();
    for (const MergedEvent &item : mergeTimelines(timelines)) {
        Json fields = Json::array();
        for (const LogField &field : item.event.fields) {
            fields.push_back({{"key", field.key}, {"value", field.value}});
        }
        events.push_back({{"instance", item.instance.value()},
                          {"time", item.event.time.toText()},
                          {"unixMs", item.event.time.wallUs / 1000},
                          {"event", item.event.event},
                          {"fields", std::move(fields)}});
    }
    return events;
}

} // namespace

HttpResponse OperatorApi::totals(const HttpRequest &request)
{
    HttpResponse refusal;
    if (!authenticateReader(request, refusal)) {
        return refusal;
    }
    const std::optional<DocumentInForce> present = m_hooks.document();
    if (!present) {
        return operatorError({StateCode::NotFound, "no document is in force at this gateway, so there are no totals"});
    }
    const std::string format = request.parameter("format");
    if (!format.empty() && format != "json" && format != "csv") {
        return operatorInvalid("format: expected json or csv");
    }
    StateError error;
    const auto totals = m_totals.totals(request.parameter("day"), *present->document, deadline(TotalsTimeout), error);
    if (!totals) {
        return operatorError(error);
    }
    if (format != "csv") {
        return operatorJson(totals->toJson());
    }
    HttpResponse response;
    response.headers["Content-Type"] = "text/csv; charset=utf-8";
    response.body = totalsToCsv(*totals);
    return response;
}

HttpResponse OperatorApi::listJobs(const HttpRequest &request)
{
    HttpResponse refusal;
    if (!authenticateReader(request, refusal)) {
        return refusal;
    }
    const std::string state = request.parameter("state");
    const std::string organisation = request.parameter("organisation");
    const auto limit = numberParameter(request, "limit", DefaultListLimit, MaximumListLimit);
    if (!limit || *limit == 0) {
        return operatorInvalid(fmt::format("limit: expected a whole number from 1 to {}", MaximumListLimit));
    }
    if (!state.empty() && !parseJobState(state)) {
        return operatorInvalid("state: expected a job state such as queued or running");
    }
    Json jobs = Json::array();
    TableScan scan{"jobs/", request.parameter("after"), RowsPerPage};
    bool more = true;
    for (int page = 0; page < PagesPerCall && more && jobs.size() < static_cast<std::size_t>(*limit); ++page) {
        CoordinationError error;
        const auto rows = scanAndWait(*m_hooks.store, scan, deadline(StoreTimeout), error);
        if (!rows) {
            return operatorError(tableUnavailable(error));
        }
        more = rows->more;
        for (auto row = rows->rows.begin(); row != rows->rows.end(); ++row) {
            if (jobs.size() == static_cast<std::size_t>(*limit)) {
                more = true;
                break;
            }
            scan.after = row->key;
            ProtocolError fault;
            const auto record = decodeMessage<JobRecord>(row->value, fault);
            if (!record) {
                logEvent(LogLevel::Error, "job-row-malformed", {{"key", row->key}, {"reason", fault.reason}});
                continue;
            }
            if ((state.empty() || toText(record->state) == state)
                && (organisation.empty() || record->organisation.value() == organisation)) {
                jobs.push_back(operatorJobJson(*record));
            }
        }
    }
    return operatorJson({{"jobs", std::move(jobs)}, {"next", more ? scan.after : ""}});
}

std::optional<OperatorApi::JobRow> OperatorApi::readJob(const std::string &id, HttpResponse &refusal)
{
    const std::optional<DataCentreId> dataCentre = dataCentreOfJob(JobId(id));
    if (!dataCentre) {
        refusal = jobNotFound();
        return std::nullopt;
    }
    CoordinationError error;
    const auto rows = readAndWait(*m_hooks.store, {jobRowKey(*dataCentre, JobId(id))}, deadline(StoreTimeout), error);
    if (!rows || rows->rows.empty()) {
        refusal = operatorError(tableUnavailable(error));
        return std::nullopt;
    }
    if (rows->rows.front().version == RowVersion(0)) {
        refusal = jobNotFound();
        return std::nullopt;
    }
    ProtocolError fault;
    const auto record = decodeMessage<JobRecord>(rows->rows.front().value, fault);
    if (!record) {
        refusal = operatorError({StateCode::Invalid, "the job's row cannot be read: " + fault.reason});
        return std::nullopt;
    }
    return JobRow{*record, rows->rows.front().version};
}

HttpResponse OperatorApi::getJob(const HttpRequest &request, const std::string &id)
{
    HttpResponse refusal;
    const auto job = authenticateReader(request, refusal) ? readJob(id, refusal) : std::nullopt;
    return job ? operatorJson(operatorJobJson(job->record)) : refusal;
}

HttpResponse OperatorApi::cancelJob(const HttpRequest &request, const std::string &id)
{
    HttpResponse refusal;
    const auto name = authenticateReader(request, refusal);
    for (int attempt = 0; name && attempt < MaximumCancelAttempts; ++attempt) {
        auto job = readJob(id, refusal);
        if (!job) {
            return refusal;
        }
        if (isTerminal(job->record.state) || job->record.cancelRequested) {
            return operatorJson(operatorJobJson(job->record));
        }
        job->record.cancelRequested = true;
        job->record.operation = OperationId(randomHex(OperationIdBytes));
        const std::string key = jobRowKey(job->record.dataCentre, job->record.id);
        TableTransaction transaction{
            job->record.operation, {{key, job->version}}, {{key, encodeMessage(job->record)}}, {}};
        CoordinationError error;
        const auto result = commitAndWait(*m_hooks.store, std::move(transaction), deadline(StoreTimeout), error);
        if (!result && error.code != CoordinationCode::OutcomeUnknown) {
            return operatorError(tableUnavailable(error));
        }
        // After a conflict or a lost answer, the next iteration reads the row again.
        if (result && result->committed) {
            logEvent(LogLevel::Info, "job-cancel-requested", {{"job", id}, {"operator", *name}});
            if (m_hooks.jobChanged) {
                m_hooks.jobChanged(job->record.dataCentre, job->record.id);
            }
            return operatorJson(operatorJobJson(job->record));
        }
    }
    return name ? operatorError({StateCode::OutcomeUnknown, "the cancellation may not be stored; retry"}) : refusal;
}

std::optional<Json> OperatorApi::listedVms(const std::string &role, HttpResponse &refusal)
{
    Json list = Json::array();
    CoordinationError error;
    const auto vms = listVmsAndWait(*m_hooks.store, deadline(StoreTimeout), error);
    if (!vms) {
        refusal = operatorError({StateCode::Unavailable, "the platform's VM list does not answer: " + error.reason});
        return std::nullopt;
    }
    for (const VmEntry &vm : vms->vms) {
        if (vm.role == role) {
            list.push_back(
                {{"id", vm.id}, {"dataCentre", vm.dataCentre.value()}, {"address", vm.address}, {"state", vm.state}});
        }
    }
    return list;
}

std::optional<std::vector<JobRecord>> OperatorApi::runningJobs(HttpResponse &refusal)
{
    CoordinationError error;
    const auto rows = scanAllAndWait(*m_hooks.store, "jobs/", deadline(StoreTimeout), error);
    if (!rows) {
        refusal = operatorError(tableUnavailable(error));
        return std::nullopt;
    }
    std::vector<JobRecord> jobs;
    for (const TableRow &row : *rows) {
        ProtocolError fault;
        const auto record = decodeMessage<JobRecord>(row.value, fault);
        if (record && !isTerminal(record->state) && !record->placements.empty()) {
            jobs.push_back(*record);
        }
    }
    return jobs;
}

HttpResponse OperatorApi::workers(const HttpRequest &request)
{
    HttpResponse refusal;
    const auto name = authenticateReader(request, refusal);
    const auto jobs = name ? runningJobs(refusal) : std::nullopt;
    auto list = jobs ? listedVms("worker", refusal) : std::nullopt;
    if (!list) {
        return refusal;
    }
    std::map<std::string, std::int64_t> tasks;
    std::map<std::string, std::int64_t> accelerators;
    for (const JobRecord &job : *jobs) {
        for (const TaskPlacement &placement : job.placements) {
            ++tasks[placement.worker.value()];
            accelerators[placement.worker.value()] += job.spec.accelerators.count();
        }
    }
    for (Json &worker : *list) {
        const std::string id = worker.at("id").get<std::string>();
        worker["tasks"] = tasks[id];
        worker["acceleratorsUsed"] = accelerators[id];
    }
    return operatorJson({{"workers", std::move(*list)}});
}

HttpResponse OperatorApi::endpoints(const HttpRequest &request)
{
    HttpResponse refusal;
    if (!authenticateReader(request, refusal)) {
        return refusal;
    }
    if (m_hooks.endpoints) {
        return operatorJson({{"endpoints", m_hooks.endpoints()}});
    }
    auto list = listedVms("endpoint", refusal);
    return list ? operatorJson({{"endpoints", std::move(*list)}}) : refusal;
}

HttpResponse OperatorApi::guarantees(const HttpRequest &request)
{
    HttpResponse refusal;
    if (!authenticateReader(request, refusal)) {
        return refusal;
    }
    const std::optional<DocumentInForce> present = m_hooks.document();
    const auto jobs = present ? runningJobs(refusal) : std::nullopt;
    if (!jobs) {
        return present ? refusal : operatorJson({{"guarantees", Json::array()}});
    }
    Json list = Json::array();
    for (const OrganisationSpec &organisation : present->document->organisations) {
        for (const decision::Guarantee &guarantee : organisation.guarantees) {
            std::int64_t used = 0;
            for (const JobRecord &job : *jobs) {
                if (job.guaranteed && job.organisation == organisation.id && job.dataCentre == guarantee.dataCentre) {
                    used += job.spec.accelerators.count() * static_cast<std::int64_t>(job.placements.size());
                }
            }
            list.push_back({{"organisation", organisation.id.value()},
                            {"dataCentre", guarantee.dataCentre.value()},
                            {"accelerators", guarantee.accelerators.count()},
                            {"adjacency",
                             guarantee.closeness == decision::Closeness::Worker     ? "worker"
                                 : guarantee.closeness == decision::Closeness::Rack ? "rack"
                                                                                    : "none"},
                            {"count", guarantee.count},
                            {"acceleratorsClaimedThere", used}});
        }
    }
    return operatorJson({{"guarantees", std::move(list)}});
}

HttpResponse OperatorApi::explain(const HttpRequest &request, const std::string &id)
{
    HttpResponse refusal;
    const auto job = authenticateReader(request, refusal) ? readJob(id, refusal) : std::nullopt;
    if (!job) {
        return refusal;
    }
    Json json = {{"job", operatorJobJson(job->record)}};
    const bool waits = !isTerminal(job->record.state) && m_hooks.queryOwner;
    const auto answer = waits ? m_hooks.queryOwner(job->record.dataCentre, "/v1/explain/" + id) : std::nullopt;
    json["owner"] = answer.value_or(Json(nullptr));
    return operatorJson(json);
}

HttpResponse OperatorApi::timeline(const HttpRequest &request)
{
    HttpResponse refusal;
    if (!authenticateReader(request, refusal)) {
        return refusal;
    }
    const auto since = numberParameter(request, "sinceUnixMs", 0, std::numeric_limits<std::int64_t>::max() / 1000);
    const auto limit = numberParameter(request, "limit", 1000, MaximumTimelineEvents);
    if (!since || !limit || *limit == 0) {
        return operatorInvalid("expected sinceUnixMs in ms since the Unix epoch and limit from 1 to 8192");
    }
    TimelineFilter filter;
    filter.since.wallUs = *since * 1000;
    filter.id = request.parameter("id");
    filter.most = static_cast<std::size_t>(*limit);
    const CollectedTimelines collected = m_hooks.timelines
        ? m_hooks.timelines(filter)
        : CollectedTimelines{{localTimeline(m_hooks.instance, filter)}, {}};
    std::int64_t dropped = 0;
    Json instances = Json::array();
    for (const ProcessTimeline &timeline : collected.timelines) {
        dropped += timeline.dropped;
        instances.push_back(timeline.instance.value());
    }
    Json unreachable = Json::array();
    for (const InstanceId &instance : collected.unreachable) {
        unreachable.push_back(instance.value());
    }
    return operatorJson({{"events", mergedEvents(collected.timelines)},
                         {"instances", std::move(instances)},
                         {"unreachable", std::move(unreachable)},
                         {"dropped", dropped}});
}

} // namespace coriander
