#include "corianderscale/Protocol/WorkerMessages.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <utility>

namespace coriander {

namespace {

constexpr std::array OrderKindNames = {
    std::pair{OrderKind::Reserve, "reserve"},
    std::pair{OrderKind::Start, "start"},
    std::pair{OrderKind::Stop, "stop"},
    std::pair{OrderKind::Checkpoint, "checkpoint"},
    std::pair{OrderKind::Throttle, "throttle"},
    std::pair{OrderKind::Release, "release"},
    std::pair{OrderKind::Renew, "renew"},
};

constexpr std::array TaskStateNames = {
    std::pair{TaskState::Reserved, "reserved"},
    std::pair{TaskState::Running, "running"},
    std::pair{TaskState::Stopping, "stopping"},
    std::pair{TaskState::Succeeded, "succeeded"},
    std::pair{TaskState::Failed, "failed"},
    std::pair{TaskState::Stopped, "stopped"},
};

template<typename Names, typename Value>
std::string nameOf(const Names &names, Value value)
{
    const auto *found
        = std::find_if(names.begin(), names.end(), [value](const auto &entry) { return entry.first == value; });
    return found == names.end() ? "unknown" : found->second;
}

template<typename Value, typename Names>
Value requiredEnum(JsonReader &reader, const std::string &key, const Names &names)
{
    const std::string text = reader.requiredText(key);
    const auto *found
        = std::find_if(names.begin(), names.end(), [&text](const auto &entry) { return text == entry.second; });
    if (found == names.end()) {
        reader.fault(key, "unknown value '" + text + "'");
        return names.front().first;
    }
    return found->first;
}

} // namespace

std::string toText(OrderKind kind)
{
    return nameOf(OrderKindNames, kind);
}

std::string toText(TaskState state)
{
    return nameOf(TaskStateNames, state);
}

Json WorkerInfo::toJson() const
{
    return {{"id", id.value()},
            {"incarnation", incarnation.value()},
            {"dataCentre", dataCentre.value()},
            {"rack", rack.value()},
            {"position", position},
            {"cores", cores.count()},
            {"memoryMb", memory.count()},
            {"accelerators", accelerators.count()},
            {"state", state}};
}

WorkerInfo WorkerInfo::fromJson(JsonReader &reader)
{
    WorkerInfo info;
    info.id = reader.requiredId<WorkerId>("id");
    info.incarnation = reader.requiredId<InstanceId>("incarnation");
    info.dataCentre = reader.requiredId<DataCentreId>("dataCentre");
    info.rack = reader.requiredId<RackId>("rack");
    info.position = reader.requiredInteger("position");
    info.cores = reader.requiredQuantity<MilliCores>("cores");
    info.memory = reader.requiredQuantity<MemoryMib>("memoryMb");
    info.accelerators = reader.requiredQuantity<Accelerators>("accelerators");
    info.state = reader.text("state", "live");
    return info;
}

Json WorkerOrder::toJson() const
{
    Json json = {{"kind", toText(kind)}};
    if (!task.empty()) {
        json["task"] = task.value();
    }
    if (!job.empty()) {
        json["job"] = job.value();
    }
    switch (kind) {
    case OrderKind::Reserve:
        json["cores"] = cores.count();
        json["memoryMb"] = memory.count();
        json["accelerators"] = accelerators.count();
        break;
    case OrderKind::Start:
        json["command"] = command;
        json["startByUnixMs"] = startByUnixMs;
        json["termMs"] = milliseconds;
        json["resume"] = checkpoint;
        break;
    case OrderKind::Stop:
        json["graceMs"] = milliseconds;
        json["checkpoint"] = checkpoint;
        break;
    case OrderKind::Throttle:
        json["cores"] = cores.count();
        break;
    case OrderKind::Renew: {
        json["termMs"] = milliseconds;
        json["notAfterUnixMs"] = startByUnixMs;
        json["digest"] = digest;
        Json jobs = Json::array();
        for (const JobId &id : excepted) {
            jobs.push_back(id.value());
        }
        json["except"] = std::move(jobs);
        break;
    }
    case OrderKind::Checkpoint:
    case OrderKind::Release:
        break;
    }
    return json;
}

WorkerOrder WorkerOrder::fromJson(JsonReader &reader)
{
    WorkerOrder order;
    order.kind = requiredEnum<OrderKind>(reader, "kind", OrderKindNames);
    order.task = reader.id<TaskId>("task");
    order.job = reader.id<JobId>("job");
    if (order.kind != OrderKind::Renew && order.task.empty()) {
        reader.fault("task", "missing; expected the id of a task");
    }
    switch (order.kind) {
    case OrderKind::Reserve:
        order.cores = reader.requiredQuantity<MilliCores>("cores");
        order.memory = reader.requiredQuantity<MemoryMib>("memoryMb");
        order.accelerators = reader.requiredQuantity<Accelerators>("accelerators");
        break;
    case OrderKind::Start:
        order.command = reader.requiredText("command");
        order.startByUnixMs = reader.requiredInteger("startByUnixMs");
        order.milliseconds = reader.requiredInteger("termMs", 1);
        order.checkpoint = reader.boolean("resume", false);
        break;
    case OrderKind::Stop:
        order.milliseconds = reader.requiredInteger("graceMs");
        order.checkpoint = reader.boolean("checkpoint", false);
        break;
    case OrderKind::Throttle:
        order.cores = reader.requiredQuantity<MilliCores>("cores");
        break;
    case OrderKind::Renew:
        order.milliseconds = reader.requiredInteger("termMs", 1);
        order.startByUnixMs = reader.integer("notAfterUnixMs", 0);
        order.digest = reader.text("digest");
        reader.forEachText("except", [&order](const std::string &id) { order.excepted.emplace_back(id); });
        break;
    case OrderKind::Checkpoint:
    case OrderKind::Release:
        break;
    }
    return order;
}

Json WorkerOrders::toJson() const
{
    Json list = Json::array();
    for (const WorkerOrder &order : orders) {
        list.push_back(order.toJson());
    }
    return {{"epoch", epoch.count()}, {"from", from.value()}, {"reportTo", reportTo}, {"orders", std::move(list)}};
}

WorkerOrders WorkerOrders::fromJson(JsonReader &reader)
{
    WorkerOrders message;
    message.epoch = reader.requiredQuantity<Epoch>("epoch");
    message.from = reader.requiredId<InstanceId>("from");
    message.reportTo = reader.text("reportTo");
    reader.forEachObject("orders",
                         [&message](JsonReader &item) { message.orders.push_back(WorkerOrder::fromJson(item)); });
    return message;
}

Json TaskReport::toJson() const
{
    return {{"task", task.value()},
            {"job", job.value()},
            {"state", toText(state)},
            {"reason", reason},
            {"checkpointed", checkpointed},
            {"sequence", sequence},
            {"acceleratorMs", acceleratorMs},
            {"coreMs", coreMs},
            {"memoryMibMs", memoryMibMs},
            {"coresUsed", coresUsed.count()},
            {"memoryUsedMb", memoryUsed.count()}};
}

TaskReport TaskReport::fromJson(JsonReader &reader)
{
    TaskReport report;
    report.task = reader.requiredId<TaskId>("task");
    report.job = reader.requiredId<JobId>("job");
    report.state = requiredEnum<TaskState>(reader, "state", TaskStateNames);
    report.reason = reader.text("reason");
    report.checkpointed = reader.boolean("checkpointed", false);
    report.sequence = reader.integer("sequence", 0);
    report.acceleratorMs = reader.integer("acceleratorMs", 0);
    report.coreMs = reader.integer("coreMs", 0);
    report.memoryMibMs = reader.integer("memoryMibMs", 0);
    report.coresUsed = MilliCores(reader.integer("coresUsed", 0));
    report.memoryUsed = MemoryMib(reader.integer("memoryUsedMb", 0));
    return report;
}

Json OrderResult::toJson() const
{
    return {{"result", ok ? "ok" : "refused"}, {"reason", reason}};
}

OrderResult OrderResult::fromJson(JsonReader &reader)
{
    OrderResult result;
    result.ok = reader.requiredText("result") == "ok";
    result.reason = reader.text("reason");
    return result;
}

Json WorkerReport::toJson() const
{
    Json resultList = Json::array();
    for (const OrderResult &result : results) {
        resultList.push_back(result.toJson());
    }
    Json taskList = Json::array();
    for (const TaskReport &task : tasks) {
        taskList.push_back(task.toJson());
    }
    return {{"worker", worker.value()},
            {"incarnation", incarnation.value()},
            {"epoch", epoch.count()},
            {"digest", digest},
            {"results", std::move(resultList)},
            {"tasks", std::move(taskList)},
            {"full", full}};
}

WorkerReport WorkerReport::fromJson(JsonReader &reader)
{
    WorkerReport report;
    report.worker = reader.requiredId<WorkerId>("worker");
    report.incarnation = reader.requiredId<InstanceId>("incarnation");
    report.epoch = reader.requiredQuantity<Epoch>("epoch");
    report.digest = reader.text("digest");
    reader.forEachObject("results",
                         [&report](JsonReader &item) { report.results.push_back(OrderResult::fromJson(item)); });
    reader.forEachObject("tasks", [&report](JsonReader &item) { report.tasks.push_back(TaskReport::fromJson(item)); });
    report.full = reader.boolean("full", false);
    return report;
}

std::string taskSetDigest(std::vector<TaskId> tasks)
{
    std::sort(tasks.begin(), tasks.end());
    std::string text;
    for (const TaskId &task : tasks) {
        text += task.value();
        text += '\n';
    }
    return fmt::format("{:016x}", XXH64(text.data(), text.size(), 0));
}

} // namespace coriander
