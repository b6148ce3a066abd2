#pragma once

#include "corianderscale/Decision/Scheduler.h"
#include "corianderscale/Scheduler/SchedulerCore.h"
#include "corianderscale/Scheduler/TaskIds.h"
#include "corianderscale/Standin/TableModel.h"
#include "corianderscale/Standin/WorkerModel.h"
#include "corianderscale/Support/Log.h"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace coriander {

/** What happens to one message between a core and a worker or the table. */
enum class LinkFault {
    None,
    /** The connection is refused: the sender knows at once that the message did not arrive. */
    NotSent,
    /** The request is lost; the sender gets no answer before its deadline. */
    RequestLost,
    /** The request takes effect, but its answer is lost. */
    AnswerLost,
};

/** Simulates scheduler cores, workers and a table, connected by direct calls with injected faults, on manual time. */
class SchedulerSimulation
{
public:
    /** Returns the fault of a message. @p target is a worker's id, or `table` for a write. */
    using FaultHook = std::function<LinkFault(const std::string &target, const std::vector<WorkerOrder> &orders)>;

    struct TaskRun {
        JobId job;
        std::int64_t attempt = 0;
        TaskId task;
        WorkerId worker;
        MonotonicTime from{};
        MonotonicTime to = NeverDue;
        TaskState state = TaskState::Running;
    };

    static inline const DataCentreId DataCentre{"dc1"};

    SchedulerSimulation()
    {
        organisation.id = OrganisationId("org");
        core = makeCore("s1");
    }

    std::unique_ptr<SchedulerCore> makeCore(const std::string &instance)
    {
        CoreSettings settings;
        settings.dataCentre = DataCentre;
        settings.instance = InstanceId(instance);
        settings.reportTo = instance;
        settings.timing = timing;
        auto makeHooks = [] {
            auto library = std::make_shared<decision::Scheduler>(*decision::makePolicy("corianderscale"));
            return DecisionHooks{
                [library](const decision::Event &event, MonotonicTime now) { return library->handle(event, now); },
                [library] {
                    return library->nextTick();
                }};
        };
        return std::make_unique<SchedulerCore>(
            settings, makeHooks, [this](const CoreEvent &event) { events.push_back(event); });
    }

    void addWorker(const std::string &id, std::int64_t accelerators = 8, bool failsAllTasks = false)
    {
        WorkerInfo info;
        info.id = WorkerId(id);
        info.incarnation = InstanceId(fmt::format("{}-{}", id, ++m_incarnationCount));
        info.dataCentre = DataCentre;
        info.rack = RackId("r1");
        info.position = static_cast<std::int64_t>(workers.size());
        info.cores = MilliCores(32000);
        info.memory = MemoryMib(65536);
        info.accelerators = Accelerators(accelerators);
        WorkerModelSettings settings;
        settings.failsAllTasks = failsAllTasks;
        settings.usageInterval = std::chrono::seconds(5);
        workers.insert_or_assign(WorkerId(id), std::make_unique<WorkerModel>(info, settings));
    }

    /** The worker's machine fails: its tasks end, and the worker no longer answers. */
    void killWorker(const std::string &id)
    {
        endRunsOf(WorkerId(id));
        workers.erase(WorkerId(id));
    }

    void restartWorker(const std::string &id)
    {
        endRunsOf(WorkerId(id));
        addWorker(id);
    }

    JobId submit(const std::string &name, std::int64_t tasks, const std::string &command, std::int64_t accelerators = 1)
    {
        JobRecord record;
        record.id = JobId("dc1-" + name);
        record.dataCentre = DataCentre;
        record.organisation = organisation.id;
        record.caller = CallerId("caller");
        record.spec.kind = "test";
        record.spec.tasks = tasks;
        record.spec.cores = MilliCores(1000);
        record.spec.memory = MemoryMib(1024);
        record.spec.accelerators = Accelerators(accelerators);
        record.spec.command = command;
        record.spec.canCheckpoint = command.find("checkpoint=yes") != std::string::npos;
        record.submittedUnixMs = toUnixMs(at().wallNow);
        putRow(record, RowVersion());
        if (core) {
            core->jobSeen(record, rowVersion(record.id), at());
            flush();
        }
        return record.id;
    }

    void cancel(const JobId &job)
    {
        JobRecord record = row(job);
        record.cancelRequested = true;
        putRow(record, rowVersion(job));
        if (core) {
            core->jobSeen(record, rowVersion(job), at());
            flush();
        }
    }

    JobRecord row(const JobId &job) const
    {
        ProtocolError error;
        return *decodeMessage<JobRecord>(table.read({{jobRowKey(DataCentre, job)}}).rows.front().value, error);
    }

    RowVersion rowVersion(const JobId &job) const
    {
        return table.read({{jobRowKey(DataCentre, job)}}).rows.front().version;
    }

    std::vector<std::pair<UsageRecord, RowVersion>> usageRows() const
    {
        std::vector<std::pair<UsageRecord, RowVersion>> rows;
        ProtocolError error;
        for (const TableRow &row : table.scan({"usage/", "", 1000}).rows) {
            rows.emplace_back(*decodeMessage<UsageRecord>(row.value, error), row.version);
        }
        return rows;
    }

    /** Replaces the core by a new owner that starts from the table's contents and the last snapshot. */
    void takeOver(const std::string &instance)
    {
        if (core) {
            lastSnapshot = core->snapshot();
        }
        core = makeCore(instance);
        TakeoverState state;
        state.epoch = Epoch(++epoch);
        ProtocolError error;
        for (const TableRow &row : table.scan({"jobs/", "", 1000}).rows) {
            state.jobs.emplace_back(*decodeMessage<JobRecord>(row.value, error), row.version);
        }
        state.usage = usageRows();
        state.snapshot = lastSnapshot;
        state.organisations = {organisation};
        core->takeOver(state, at());
        lookUpWorkers();
        core->workersListed(at());
        flush();
    }

    void lookUpWorkers()
    {
        for (const auto &[id, worker] : workers) {
            core->workerSeen(worker->info(), "http://" + id.value(), at());
        }
    }

    Instant at() const
    {
        return {now, WallTime(std::chrono::hours(24 * 365 * 50)) + now.time_since_epoch()};
    }

    /** Advances time in steps and runs workers and core at each step. */
    void advance(Duration time, Duration step = std::chrono::milliseconds(100))
    {
        for (Duration passed{}; passed < time; passed += step) {
            now += step;
            deliverTimeouts();
            for (auto &[id, worker] : workers) {
                worker->advance(now);
                recordRuns(*worker);
                const std::optional<WorkerReport> report = worker->takeReport(now);
                if (report && core && faultOf(id.value(), {}) == LinkFault::None) {
                    core->reportReceived(*report, at());
                }
            }
            if (core) {
                core->tick(at());
            }
            flush();
            checkInvariants();
        }
    }

    /** Executes the outputs of the core until there are none, at most 100 rounds. */
    void flush()
    {
        for (int round = 0; core && round < 100; ++round) {
            const std::vector<WorkerRequest> requests = core->takeRequests(at());
            const std::vector<StoreWrite> writes = core->takeWrites(at());
            const std::vector<JobId> reads = core->takeReads();
            for (const StoreWrite &write : writes) {
                execute(write);
            }
            for (const WorkerRequest &request : requests) {
                execute(request);
            }
            for (const JobId &job : reads) {
                core->jobSeen(row(job), rowVersion(job), at());
            }
            if (requests.empty() && writes.empty() && reads.empty()) {
                return;
            }
        }
    }

    /** Runs of the job's tasks that have not ended. */
    std::vector<TaskRun> running(const JobId &job) const
    {
        std::vector<TaskRun> found;
        std::copy_if(runs.begin(), runs.end(), std::back_inserter(found), [&job](const TaskRun &run) {
            return run.job == job && run.to == NeverDue;
        });
        return found;
    }

    std::size_t startCount(const JobId &job) const
    {
        return static_cast<std::size_t>(
            std::count_if(runs.begin(), runs.end(), [&job](const TaskRun &run) { return run.job == job; }));
    }

    /** Accelerator time of all usage rows, in milliseconds. */
    std::int64_t acceleratorMsInRows() const
    {
        std::int64_t total = 0;
        for (const auto &[row, version] : usageRows()) {
            for (const auto &[caller, usage] : row.usage) {
                total += usage.guaranteed.acceleratorMs + usage.borrowed.acceleratorMs;
            }
        }
        return total;
    }

    SchedulerTiming timing;
    MonotonicTime now{std::chrono::seconds(1000)};
    decision::OrganisationPolicy organisation;
    TableModel table;
    std::map<WorkerId, std::unique_ptr<WorkerModel>> workers;
    std::unique_ptr<SchedulerCore> core;
    std::optional<Snapshot> lastSnapshot;
    std::int64_t epoch = 0;
    FaultHook faultHook;
    std::vector<CoreEvent> events;
    std::vector<TaskRun> runs;
    /** Violations of the invariants that checkInvariants() found. */
    std::vector<std::string> violations;

private:
    struct PendingTimeout {
        MonotonicTime due;
        SchedulerCore *to = nullptr;
        WorkerRequest request;
    };

    LinkFault faultOf(const std::string &target, const std::vector<WorkerOrder> &orders) const
    {
        return faultHook ? faultHook(target, orders) : LinkFault::None;
    }

    void putRow(const JobRecord &record, RowVersion version)
    {
        const std::string key = jobRowKey(DataCentre, record.id);
        TableTransaction transaction;
        transaction.operation = OperationId(randomHex(8));
        transaction.conditions.push_back({key, version});
        transaction.puts.push_back({key, encodeMessage(record)});
        table.commit(transaction, now);
    }

    void execute(const StoreWrite &write)
    {
        const LinkFault fault = faultOf("table", {});
        if (fault == LinkFault::NotSent || fault == LinkFault::RequestLost) {
            core->writeDone(write.kind, write.subject, WriteOutcome::Unknown, {}, at());
            return;
        }
        const TableTransactionResult result = table.commit(write.transaction, now);
        const WriteOutcome outcome = fault == LinkFault::AnswerLost ? WriteOutcome::Unknown
            : result.committed                                      ? WriteOutcome::Committed
                                                                    : WriteOutcome::Conflict;
        core->writeDone(write.kind, write.subject, outcome, result.version, at());
    }

    void execute(const WorkerRequest &request)
    {
        const auto worker = workers.find(request.worker);
        const LinkFault fault
            = worker == workers.end() ? LinkFault::NotSent : faultOf(request.worker.value(), request.orders.orders);
        if (fault == LinkFault::NotSent) {
            core->workerAnswered(request.worker, request.id, std::nullopt, true, at());
            return;
        }
        std::optional<WorkerReport> report;
        if (fault != LinkFault::RequestLost) {
            report = worker->second->handle(request.orders, now, at().wallNow);
            recordRuns(*worker->second);
        }
        if (fault == LinkFault::None) {
            core->workerAnswered(request.worker, request.id, report, false, at());
            return;
        }
        m_pendingTimeouts.push_back({request.deadline, core.get(), request});
    }

    void deliverTimeouts()
    {
        std::vector<PendingTimeout> due;
        std::erase_if(m_pendingTimeouts, [&](const PendingTimeout &item) {
            if (item.due > now) {
                return false;
            }
            due.push_back(item);
            return true;
        });
        for (const PendingTimeout &item : due) {
            if (core && item.to == core.get()) {
                core->workerAnswered(item.request.worker, item.request.id, std::nullopt, false, at());
            }
        }
    }

    void recordRuns(WorkerModel &worker)
    {
        for (const TaskEvent &entry : worker.takeLedger()) {
            if (entry.started) {
                const std::int64_t attempt = parseTaskId(entry.task)->attempt;
                runs.push_back({entry.job, attempt, entry.task, worker.info().id, entry.at});
                continue;
            }
            for (TaskRun &run : runs) {
                if (run.task == entry.task && run.worker == worker.info().id && run.to == NeverDue) {
                    run.to = entry.at;
                    run.state = entry.state;
                }
            }
        }
    }

    void endRunsOf(const WorkerId &worker)
    {
        for (TaskRun &run : runs) {
            if (run.worker == worker && run.to == NeverDue) {
                run.to = now;
                run.state = TaskState::Stopped;
            }
        }
    }

    /** Checks the invariants: a job runs one attempt at a time, and part of a gang runs no longer than the bound. */
    void checkInvariants()
    {
        std::map<JobId, std::int64_t> attempts;
        for (const TaskRun &run : runs) {
            if (run.to != NeverDue) {
                continue;
            }
            const auto [found, inserted] = attempts.emplace(run.job, run.attempt);
            if (found->second != run.attempt) {
                violations.push_back(fmt::format("{} runs twice at {}", run.job, now.time_since_epoch().count()));
            }
        }
        checkPartialGangs();
    }

    void checkPartialGangs()
    {
        const Duration bound = timing.leaseTerm + timing.stopGrace + timing.requestTimeout;
        std::map<GangKey, MonotonicTime> firstEnd;
        for (const TaskRun &run : runs) {
            if (run.to != NeverDue && run.state != TaskState::Succeeded) {
                auto [found, inserted] = firstEnd.emplace(GangKey{run.job, run.attempt}, run.to);
                found->second = std::min(found->second, run.to);
            }
        }
        for (const TaskRun &run : runs) {
            const auto first = firstEnd.find({run.job, run.attempt});
            if (run.to == NeverDue && first != firstEnd.end() && first->second + bound < now) {
                violations.push_back(fmt::format("part of {} runs past the bound", run.job));
            }
        }
    }

    std::vector<PendingTimeout> m_pendingTimeouts;
    int m_incarnationCount = 0;
};

} // namespace coriander
