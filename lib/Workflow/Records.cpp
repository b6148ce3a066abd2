#include "corianderscale/Workflow/Records.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <functional>
#include <map>

namespace coriander::workflow {

namespace {

using Json = nlohmann::json;

constexpr const char *CancelSuffix = "!cancel";
/** Field with the term in the row of the term. Versions that can't read the present rows of progress don't know it, so
 * they can't read the term either and don't take it. */
constexpr const char *RowFormatKey = "format-2";

std::string toBytes(const Json &value)
{
    std::string bytes;
    Json::to_cbor(value, bytes);
    return bytes;
}

/** Decodes CBOR and calls @p read to convert the fields; exceptions of either are returned as an error. */
template<typename Record>
std::optional<Record> fromBytes(const std::string &bytes,
                                const std::function<Record(const Json &)> &read,
                                ProtocolError &error)
{
    try {
        return read(Json::from_cbor(bytes));
    } catch (const Json::exception &failure) {
        error = {ProtocolCode::Malformed, failure.what()};
        return std::nullopt;
    } catch (const std::out_of_range &failure) {
        error = {ProtocolCode::InvalidField, failure.what()};
        return std::nullopt;
    }
}

Json stepToJson(const StepSpec &step)
{
    return {{"n", step.tasks},
            {"c", step.perTask.cores.count()},
            {"m", step.perTask.memory.count()},
            {"g", step.perTask.accelerators.count()},
            {"e", step.estimate.count()},
            {"a", step.after},
            {"ck", step.checkpoints},
            {"gang", step.gang},
            {"sr", step.sameRack},
            {"l", step.requiredLabel},
            {"dr", step.dataRack.value()},
            {"mpw", step.maximumPerWorker},
            {"lr", step.longRunning},
            {"fi", step.usesIdleCores},
            {"im", step.image.value()}};
}

StepSpec stepFromJson(const Json &value)
{
    StepSpec step;
    step.tasks = value.at("n").get<std::size_t>();
    step.perTask.cores = MilliCores(value.at("c").get<std::int64_t>());
    step.perTask.memory = MemoryMib(value.at("m").get<std::int64_t>());
    step.perTask.accelerators = Accelerators(value.at("g").get<std::int64_t>());
    step.estimate = Duration(value.at("e").get<std::int64_t>());
    step.after = distinctSteps(value.at("a").get<std::vector<std::size_t>>());
    step.checkpoints = value.at("ck").get<bool>();
    step.gang = value.at("gang").get<bool>();
    step.sameRack = value.at("sr").get<bool>();
    step.requiredLabel = value.at("l").get<std::string>();
    step.dataRack = RackId(value.at("dr").get<std::string>());
    step.maximumPerWorker = value.at("mpw").get<std::size_t>();
    step.longRunning = value.at("lr").get<bool>();
    step.usesIdleCores = value.at("fi").get<bool>();
    step.image = ImageName(value.at("im").get<std::string>());
    return step;
}

Json policyToJson(const QueuePolicy &policy)
{
    return {policy.service.value(),
            policy.priority,
            policy.maximumAttempts,
            policy.stretch,
            policy.objectiveSlack.count(),
            policy.needsAdvice};
}

QueuePolicy policyFromJson(const Json &value)
{
    QueuePolicy policy;
    policy.service = ServiceName(value.at(0).get<std::string>());
    policy.priority = value.at(1).get<int>();
    policy.maximumAttempts = value.at(2).get<int>();
    policy.stretch = value.at(3).get<double>();
    policy.objectiveSlack = Duration(value.at(4).get<std::int64_t>());
    policy.needsAdvice = value.at(5).get<bool>();
    return policy;
}

TaskPhase phaseFromNumber(int number)
{
    if (number < 0 || number > static_cast<int>(TaskPhase::Done)) {
        throw std::out_of_range(fmt::format("unknown task phase {}", number));
    }
    return static_cast<TaskPhase>(number);
}

/** Assigns numbers to the workers of an occurrence, so that each id is stored once. */
class WorkerNumbers
{
public:
    std::size_t numberOf(const WorkerId &worker, Incarnation incarnation)
    {
        const auto [found, added] = m_numbers.try_emplace({worker, incarnation}, m_workers.size());
        if (added) {
            m_workers.push_back({worker.value(), incarnation.count()});
        }
        return found->second;
    }

    Json toJson() const
    {
        return m_workers;
    }

private:
    std::map<std::pair<WorkerId, Incarnation>, std::size_t> m_numbers;
    Json m_workers = Json::array();
};

Json taskToJson(const TaskRecord &task, WorkerNumbers &workers)
{
    Json value = {static_cast<int>(task.phase), task.run, task.failures, task.lastFailedRun, task.checkpoint};
    if (task.phase == TaskPhase::Assigned) {
        value.push_back(workers.numberOf(task.worker, task.incarnation));
    }
    return value;
}

TaskRecord taskFromJson(const Json &value, const Json &workers)
{
    TaskRecord task;
    task.phase = phaseFromNumber(value.at(0).get<int>());
    task.run = value.at(1).get<std::int64_t>();
    task.failures = value.at(2).get<int>();
    task.lastFailedRun = value.at(3).get<std::int64_t>();
    task.checkpoint = value.at(4).get<std::string>();
    if (task.phase == TaskPhase::Assigned) {
        const Json &worker = workers.at(value.at(5).get<std::size_t>());
        task.worker = WorkerId(worker.at(0).get<std::string>());
        task.incarnation = Incarnation(worker.at(1).get<std::int64_t>());
    }
    return task;
}

/** True for a step that is done, false for one of which no task was ever assigned, else an array of its tasks: true for
 * a task that is done, an empty array for one that was never assigned, else its fields. */
Json stepRecordToJson(const StepRecord &step, WorkerNumbers &workers)
{
    if (step.done || step.count == 0) {
        return step.done;
    }
    std::vector<Json> tasks(step.count, Json::array());
    for (const std::size_t index : step.doneTasks) {
        tasks.at(index) = true;
    }
    for (const auto &[index, task] : step.tasks) {
        tasks.at(index) = taskToJson(task, workers);
    }
    return Json(std::move(tasks));
}

/** Reads also rows that list the fields of tasks that are done, as versions before this one wrote them. */
StepRecord stepRecordFromJson(const Json &value, const Json &workers)
{
    StepRecord step;
    if (value.is_boolean()) {
        step.done = value.get<bool>();
        return step;
    }
    step.count = value.size();
    for (std::size_t i = 0; i < step.count; ++i) {
        const Json &task = value.at(i);
        if (task.is_boolean() && task.get<bool>()) {
            step.doneTasks.push_back(i);
        } else if (!task.empty()) {
            const TaskRecord record = taskFromJson(task, workers);
            if (record.phase == TaskPhase::Done) {
                step.doneTasks.push_back(i);
            } else {
                step.tasks.emplace(i, record);
            }
        }
    }
    if (step.count > 0 && step.doneTasks.size() == step.count) {
        step = StepRecord();
        step.done = true;
    }
    return step;
}

} // namespace

std::string cancelKey(const JobId &job)
{
    return job.value() + CancelSuffix;
}

std::optional<JobId> cancelledJob(const std::string &key)
{
    const std::size_t mark = key.find(CancelSuffix);
    if (mark == std::string::npos) {
        return std::nullopt;
    }
    return JobId(key.substr(0, mark));
}

std::string progressKey(const JobId &job, std::size_t occurrence)
{
    return fmt::format("{}.{}", job.value(), occurrence);
}

std::string waitingPrefix(const QueueName &queue)
{
    return queue.value() + "/";
}

std::string waitingKey(const QueueName &queue, const JobId &job)
{
    return waitingPrefix(queue) + job.value();
}

std::string encodeJob(const JobSpec &job)
{
    Json steps = Json::array();
    for (const StepSpec &step : job.steps) {
        steps.push_back(stepToJson(step));
    }
    Json value = {{"id", job.id.value()},
                  {"q", job.queue.value()},
                  {"o", job.organisation.value()},
                  {"p", job.payload},
                  {"s", steps},
                  {"k", job.occurrences},
                  {"f", job.firstDue.time_since_epoch().count()},
                  {"i", job.interval.count()},
                  {"t", job.acceptedAt.time_since_epoch().count()}};
    if (job.policy) {
        value["qp"] = policyToJson(*job.policy);
    }
    return toBytes(value);
}

std::optional<JobSpec> decodeJob(const std::string &bytes, ProtocolError &error)
{
    return fromBytes<JobSpec>(
        bytes,
        [](const Json &value) {
            JobSpec job;
            job.id = JobId(value.at("id").get<std::string>());
            job.queue = QueueName(value.at("q").get<std::string>());
            if (value.contains("qp")) {
                job.policy = policyFromJson(value.at("qp"));
            }
            job.organisation = OrganisationId(value.at("o").get<std::string>());
            job.payload = value.at("p").get<std::string>();
            for (const Json &step : value.at("s")) {
                job.steps.push_back(stepFromJson(step));
            }
            job.occurrences = value.at("k").get<std::size_t>();
            job.firstDue = WallTime(Duration(value.at("f").get<std::int64_t>()));
            job.interval = Duration(value.at("i").get<std::int64_t>());
            job.acceptedAt = WallTime(Duration(value.at("t").get<std::int64_t>()));
            return job;
        },
        error);
}

std::string encodeState(const StateRecord &record)
{
    Json value = {{"s", jobStateName(record.state)},
                  {"q", record.queue.value()},
                  {"o", record.organisation.value()},
                  {"t", record.since.time_since_epoch().count()}};
    if (record.withdrawn) {
        value["w"] = true;
    }
    return toBytes(value);
}

std::optional<StateRecord> decodeState(const std::string &bytes, ProtocolError &error)
{
    return fromBytes<StateRecord>(
        bytes,
        [](const Json &value) {
            StateRecord record;
            record.state = jobStateFromName(value.at("s").get<std::string>());
            record.queue = QueueName(value.at("q").get<std::string>());
            record.organisation = OrganisationId(value.at("o").get<std::string>());
            record.since = WallTime(Duration(value.at("t").get<std::int64_t>()));
            record.withdrawn = value.value("w", false);
            return record;
        },
        error);
}

std::string encodeTerm(const TermRecord &record)
{
    Json term = {{"h", record.holder.value()}, {"e", record.epoch.count()}, {"n", record.sequence}};
    if (record.backlogFull) {
        term["b"] = true;
    }
    return toBytes({{RowFormatKey, term}});
}

std::optional<TermRecord> decodeTerm(const std::string &bytes, ProtocolError &error)
{
    return fromBytes<TermRecord>(
        bytes,
        [](const Json &row) {
            const Json &value = row.value(RowFormatKey, row);
            TermRecord record;
            record.holder = InstanceId(value.at("h").get<std::string>());
            record.epoch = Epoch(value.at("e").get<std::int64_t>());
            record.sequence = value.at("n").get<std::int64_t>();
            record.backlogFull = value.value("b", false);
            return record;
        },
        error);
}

std::string encodeMember(const MemberRecord &record)
{
    return toBytes({{"d", record.dataCentre.value()}, {"r", record.relayAddress}});
}

std::optional<MemberRecord> decodeMember(const std::string &bytes, ProtocolError &error)
{
    return fromBytes<MemberRecord>(
        bytes,
        [](const Json &value) {
            MemberRecord record;
            record.dataCentre = DataCentreId(value.at("d").get<std::string>());
            record.relayAddress = value.at("r").get<std::string>();
            return record;
        },
        error);
}

std::string encodeOccurrence(const OccurrenceRecord &record)
{
    WorkerNumbers workers;
    Json steps = Json::array();
    for (const StepRecord &step : record.steps) {
        steps.push_back(stepRecordToJson(step, workers));
    }
    Json value = {{"w", workers.toJson()}, {"s", std::move(steps)}, {"f", record.jobFailed}};
    if (record.jobBegun) {
        value["b"] = true;
    }
    return toBytes(value);
}

std::optional<OccurrenceRecord> decodeOccurrence(const std::string &bytes, ProtocolError &error)
{
    return fromBytes<OccurrenceRecord>(
        bytes,
        [](const Json &value) {
            OccurrenceRecord record;
            const Json &workers = value.at("w");
            record.jobFailed = value.at("f").get<bool>();
            record.jobBegun = value.value("b", false);
            for (const Json &step : value.at("s")) {
                record.steps.push_back(stepRecordFromJson(step, workers));
            }
            return record;
        },
        error);
}

} // namespace coriander::workflow
