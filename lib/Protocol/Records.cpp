#include "corianderscale/Protocol/Records.h"

#include <algorithm>
#include <array>
#include <utility>

namespace coriander {

namespace {

constexpr std::array RequestStateNames = {
    std::pair{RequestState::Claimed, "claimed"},
    std::pair{RequestState::Finished, "finished"},
    std::pair{RequestState::Failed, "failed"},
    std::pair{RequestState::NotRun, "not-run"},
    std::pair{RequestState::Unknown, "unknown"},
};

constexpr std::size_t JobIdDigits = 32;

RequestState readRequestState(JsonReader &reader)
{
    const std::string text = reader.requiredText("state");
    for (const auto &[state, name] : RequestStateNames) {
        if (text == name) {
            return state;
        }
    }
    reader.fault("state", "unknown value '" + text + "'");
    return RequestState::Unknown;
}

JobState readJobState(JsonReader &reader)
{
    const std::string text = reader.requiredText("state");
    const std::optional<JobState> state = parseJobState(text);
    if (!state) {
        reader.fault("state", "unknown value '" + text + "'");
    }
    return state.value_or(JobState::Queued);
}

CallerKey readCallerKey(JsonReader &reader)
{
    return {reader.requiredId<OrganisationId>("organisation"), reader.requiredId<CallerId>("caller")};
}

void writeCallerKey(Json &json, const CallerKey &key)
{
    json["organisation"] = key.organisation.value();
    json["caller"] = key.caller.value();
}

} // namespace

UsageTotals &UsageTotals::operator+=(const UsageTotals &other)
{
    acceleratorMs += other.acceleratorMs;
    coreMs += other.coreMs;
    memoryMibMs += other.memoryMibMs;
    return *this;
}

Json UsageTotals::toJson() const
{
    return {{"acceleratorMs", acceleratorMs}, {"coreMs", coreMs}, {"memoryMibMs", memoryMibMs}};
}

UsageTotals UsageTotals::fromJson(JsonReader &reader)
{
    UsageTotals totals;
    totals.acceleratorMs = reader.integer("acceleratorMs", 0);
    totals.coreMs = reader.integer("coreMs", 0);
    totals.memoryMibMs = reader.integer("memoryMibMs", 0);
    return totals;
}

Json TaskPlacement::toJson() const
{
    return {{"task", task.value()}, {"worker", worker.value()}};
}

TaskPlacement TaskPlacement::fromJson(JsonReader &reader)
{
    return {reader.requiredId<TaskId>("task"), reader.requiredId<WorkerId>("worker")};
}

Json JobRecord::toJson() const
{
    Json placementList = Json::array();
    for (const TaskPlacement &placement : placements) {
        placementList.push_back(placement.toJson());
    }
    return {{"id", id.value()},
            {"dataCentre", dataCentre.value()},
            {"organisation", organisation.value()},
            {"caller", caller.value()},
            {"spec", spec.toJson()},
            {"state", toText(state)},
            {"cancelRequested", cancelRequested},
            {"code", code},
            {"reason", reason},
            {"attempt", attempt},
            {"placements", std::move(placementList)},
            {"guaranteed", guaranteed},
            {"checkpointed", checkpointed},
            {"submittedUnixMs", submittedUnixMs},
            {"startedUnixMs", startedUnixMs},
            {"endedUnixMs", endedUnixMs},
            {"guaranteedUsage", guaranteedUsage.toJson()},
            {"borrowedUsage", borrowedUsage.toJson()},
            {"operation", operation.value()}};
}

JobRecord JobRecord::fromJson(JsonReader &reader)
{
    JobRecord record;
    record.id = reader.requiredId<JobId>("id");
    record.dataCentre = reader.requiredId<DataCentreId>("dataCentre");
    record.organisation = reader.requiredId<OrganisationId>("organisation");
    record.caller = reader.requiredId<CallerId>("caller");
    reader.requiredObject("spec", [&record](JsonReader &item) { record.spec = JobSpec::fromJson(item); });
    record.state = readJobState(reader);
    record.cancelRequested = reader.boolean("cancelRequested", false);
    record.code = reader.text("code");
    record.reason = reader.text("reason");
    record.attempt = reader.integer("attempt", 0);
    reader.forEachObject("placements",
                         [&record](JsonReader &item) { record.placements.push_back(TaskPlacement::fromJson(item)); });
    record.guaranteed = reader.boolean("guaranteed", false);
    record.checkpointed = reader.boolean("checkpointed", false);
    record.submittedUnixMs = reader.integer("submittedUnixMs", 0);
    record.startedUnixMs = reader.integer("startedUnixMs", 0);
    record.endedUnixMs = reader.integer("endedUnixMs", 0);
    reader.requiredObject("guaranteedUsage",
                          [&record](JsonReader &item) { record.guaranteedUsage = UsageTotals::fromJson(item); });
    reader.requiredObject("borrowedUsage",
                          [&record](JsonReader &item) { record.borrowedUsage = UsageTotals::fromJson(item); });
    record.operation = reader.id<OperationId>("operation");
    return record;
}

std::string toText(RequestState state)
{
    for (const auto &[value, name] : RequestStateNames) {
        if (value == state) {
            return name;
        }
    }
    return "unknown";
}

Json RequestRecord::toJson() const
{
    return {{"organisation", organisation.value()},
            {"caller", caller.value()},
            {"key", key.value()},
            {"service", service.value()},
            {"bodyDigest", bodyDigest},
            {"state", toText(state)},
            {"attempt", attempt.value()},
            {"endpoint", endpoint.value()},
            {"endpointAddress", endpointAddress},
            {"endpointIncarnation", endpointIncarnation.value()},
            {"startByUnixMs", startByUnixMs},
            {"gateway", gateway.value()},
            {"claimedUnixMs", claimedUnixMs},
            {"endedUnixMs", endedUnixMs},
            {"answerStatus", answerStatus},
            {"answer", answer},
            {"answerObject", answerObject},
            {"answerDigest", answerDigest},
            {"code", code},
            {"reason", reason},
            {"operation", operation.value()}};
}

RequestRecord RequestRecord::fromJson(JsonReader &reader)
{
    RequestRecord record;
    record.organisation = reader.requiredId<OrganisationId>("organisation");
    record.caller = reader.requiredId<CallerId>("caller");
    record.key = reader.requiredId<RequestKey>("key");
    record.service = reader.requiredId<ServiceName>("service");
    record.bodyDigest = reader.text("bodyDigest");
    record.state = readRequestState(reader);
    record.attempt = reader.id<AttemptId>("attempt");
    record.endpoint = reader.id<EndpointId>("endpoint");
    record.endpointAddress = reader.text("endpointAddress");
    record.endpointIncarnation = reader.id<InstanceId>("endpointIncarnation");
    record.startByUnixMs = reader.integer("startByUnixMs", 0);
    record.gateway = reader.id<InstanceId>("gateway");
    record.claimedUnixMs = reader.integer("claimedUnixMs", 0);
    record.endedUnixMs = reader.integer("endedUnixMs", 0);
    record.answerStatus = reader.integer("answerStatus", 0);
    record.answer = reader.text("answer");
    record.answerObject = reader.text("answerObject");
    record.answerDigest = reader.text("answerDigest");
    record.code = reader.text("code");
    record.reason = reader.text("reason");
    record.operation = reader.id<OperationId>("operation");
    return record;
}

ItemCounts &ItemCounts::operator+=(const ItemCounts &other)
{
    accepted += other.accepted;
    finished += other.finished;
    failed += other.failed;
    refusedNotRun += other.refusedNotRun;
    cancelled += other.cancelled;
    unknown += other.unknown;
    return *this;
}

void ItemCounts::mergeLarger(const ItemCounts &other)
{
    accepted = std::max(accepted, other.accepted);
    finished = std::max(finished, other.finished);
    failed = std::max(failed, other.failed);
    refusedNotRun = std::max(refusedNotRun, other.refusedNotRun);
    cancelled = std::max(cancelled, other.cancelled);
    unknown = std::max(unknown, other.unknown);
}

Json ItemCounts::toJson() const
{
    return {{"accepted", accepted},
            {"finished", finished},
            {"failed", failed},
            {"refusedNotRun", refusedNotRun},
            {"cancelled", cancelled},
            {"unknown", unknown}};
}

ItemCounts ItemCounts::fromJson(JsonReader &reader)
{
    ItemCounts counts;
    counts.accepted = reader.integer("accepted", 0);
    counts.finished = reader.integer("finished", 0);
    counts.failed = reader.integer("failed", 0);
    counts.refusedNotRun = reader.integer("refusedNotRun", 0);
    counts.cancelled = reader.integer("cancelled", 0);
    counts.unknown = reader.integer("unknown", 0);
    return counts;
}

Json CountsRecord::toJson() const
{
    Json list = Json::array();
    for (const auto &[key, itemCounts] : counts) {
        Json item = itemCounts.toJson();
        writeCallerKey(item, key);
        list.push_back(std::move(item));
    }
    return {{"day", day},
            {"gateway", gateway.value()},
            {"counts", std::move(list)},
            {"closed", closed},
            {"flushedUnixMs", flushedUnixMs}};
}

CountsRecord CountsRecord::fromJson(JsonReader &reader)
{
    CountsRecord record;
    record.day = reader.requiredText("day");
    record.gateway = reader.requiredId<InstanceId>("gateway");
    reader.forEachObject("counts", [&record](JsonReader &item) {
        const CallerKey key = readCallerKey(item);
        record.counts[key] = ItemCounts::fromJson(item);
    });
    record.closed = reader.boolean("closed", false);
    record.flushedUnixMs = reader.integer("flushedUnixMs", 0);
    return record;
}

Json CallerUsage::toJson() const
{
    return {{"guaranteed", guaranteed.toJson()}, {"borrowed", borrowed.toJson()}};
}

CallerUsage CallerUsage::fromJson(JsonReader &reader)
{
    CallerUsage usage;
    reader.requiredObject("guaranteed", [&usage](JsonReader &item) { usage.guaranteed = UsageTotals::fromJson(item); });
    reader.requiredObject("borrowed", [&usage](JsonReader &item) { usage.borrowed = UsageTotals::fromJson(item); });
    return usage;
}

Json CountedTask::toJson() const
{
    Json json
        = {{"task", task.value()}, {"guaranteed", guaranteed}, {"sequence", sequence}, {"counted", counted.toJson()}};
    writeCallerKey(json, caller);
    return json;
}

CountedTask CountedTask::fromJson(JsonReader &reader)
{
    CountedTask item;
    item.task = reader.requiredId<TaskId>("task");
    item.caller = readCallerKey(reader);
    item.guaranteed = reader.boolean("guaranteed", false);
    item.sequence = reader.integer("sequence", 0);
    reader.requiredObject("counted", [&item](JsonReader &totals) { item.counted = UsageTotals::fromJson(totals); });
    return item;
}

Json UsageRecord::toJson() const
{
    Json taskList = Json::array();
    for (const CountedTask &task : tasks) {
        taskList.push_back(task.toJson());
    }
    Json list = Json::array();
    for (const auto &[key, callerUsage] : usage) {
        Json item = callerUsage.toJson();
        writeCallerKey(item, key);
        list.push_back(std::move(item));
    }
    return {{"day", day},
            {"dataCentre", dataCentre.value()},
            {"worker", worker.value()},
            {"incarnation", incarnation.value()},
            {"sequence", sequence},
            {"usage", std::move(list)},
            {"tasks", std::move(taskList)},
            {"reportedUnixMs", reportedUnixMs}};
}

UsageRecord UsageRecord::fromJson(JsonReader &reader)
{
    UsageRecord record;
    record.day = reader.requiredText("day");
    record.dataCentre = reader.requiredId<DataCentreId>("dataCentre");
    record.worker = reader.requiredId<WorkerId>("worker");
    record.incarnation = reader.requiredId<InstanceId>("incarnation");
    record.sequence = reader.integer("sequence", 0);
    reader.forEachObject("usage", [&record](JsonReader &item) {
        const CallerKey key = readCallerKey(item);
        record.usage[key] = CallerUsage::fromJson(item);
    });
    reader.forEachObject("tasks", [&record](JsonReader &item) { record.tasks.push_back(CountedTask::fromJson(item)); });
    record.reportedUnixMs = reader.integer("reportedUnixMs", 0);
    return record;
}

Json DocumentHead::toJson() const
{
    return {{"version", version.count()},
            {"digest", digest},
            {"operatorName", operatorName},
            {"acceptedUnixMs", acceptedUnixMs}};
}

DocumentHead DocumentHead::fromJson(JsonReader &reader)
{
    DocumentHead head;
    head.version = reader.requiredQuantity<DocumentVersion>("version");
    head.digest = reader.requiredText("digest");
    head.operatorName = reader.text("operatorName");
    head.acceptedUnixMs = reader.integer("acceptedUnixMs", 0);
    return head;
}

Json OwnerRecord::toJson() const
{
    return {{"owner", owner.value()},
            {"epoch", epoch.count()},
            {"address", address},
            {"peerAddress", peerAddress},
            {"termMs", termMs},
            {"released", released},
            {"operation", operation.value()}};
}

OwnerRecord OwnerRecord::fromJson(JsonReader &reader)
{
    OwnerRecord record;
    record.owner = reader.requiredId<InstanceId>("owner");
    record.epoch = reader.requiredQuantity<Epoch>("epoch");
    record.address = reader.text("address");
    record.peerAddress = reader.text("peerAddress");
    record.termMs = reader.requiredInteger("termMs", 1);
    record.released = reader.boolean("released", false);
    record.operation = reader.id<OperationId>("operation");
    return record;
}

std::string jobRowKey(const DataCentreId &dataCentre, const JobId &job)
{
    return "jobs/" + dataCentre.value() + "/" + job.value();
}

std::string requestRowKey(const OrganisationId &organisation, const CallerId &caller, const RequestKey &key)
{
    return "requests/" + organisation.value() + "/" + caller.value() + "/" + key.value();
}

std::string countsRowKey(const std::string &day, const InstanceId &gateway)
{
    return "counts/" + day + "/" + gateway.value();
}

std::string usageRowKey(const UsageRecord &record)
{
    return "usage/" + record.dataCentre.value() + "/" + record.day + "/" + record.worker.value() + "/"
        + record.incarnation.value();
}

std::string documentHeadKey(const std::string &environment)
{
    return "config/" + environment + "/head";
}

std::string documentVersionKey(const std::string &environment, DocumentVersion version)
{
    return "config/" + environment + "/v/" + std::to_string(version.count());
}

std::string ownerRowKey(const DataCentreId &dataCentre)
{
    return "owner/" + dataCentre.value();
}

std::optional<DataCentreId> dataCentreOfJob(const JobId &job)
{
    const std::string &text = job.value();
    const std::size_t hyphen = text.rfind('-');
    if (hyphen == std::string::npos || text.size() - hyphen - 1 != JobIdDigits) {
        return std::nullopt;
    }
    const std::string name = text.substr(0, hyphen);
    if (!isValidName(name) || text.find_first_not_of("0123456789abcdef", hyphen + 1) != std::string::npos) {
        return std::nullopt;
    }
    return DataCentreId(name);
}

JobId makeJobId(const DataCentreId &dataCentre)
{
    return JobId(dataCentre.value() + "-" + randomHex(JobIdDigits / 2));
}

} // namespace coriander
