#pragma once

#include "corianderscale/Workflow/JobEngine.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "Workflow/FakeRowStore.h"
#include "Workflow/FakeWorkers.h"

namespace coriander::workflow {

/** Resources of a task, or with @p memory those of a worker; memory in MiB. */
inline decision::Resources resources(std::int64_t cores, std::int64_t accelerators, std::int64_t memory = 64)
{
    return {MilliCores(cores * 1000), MemoryMib(memory), Accelerators(accelerators)};
}

/** A step of tasks that take 2 s each. */
inline StepSpec stepOf(std::size_t tasks, std::int64_t cores, std::int64_t accelerators)
{
    StepSpec step;
    step.tasks = tasks;
    step.perTask = resources(cores, accelerators);
    step.estimate = std::chrono::seconds(2);
    return step;
}

/** Capacity of every worker. */
inline const decision::Resources WorkerSize = resources(32, 8, 65536);

/** Runs engines, one owner after the other, with fake workers and a fake store that follow the platform's contract, in
    virtual time. */
class EngineHarness
{
public:
    /** @p maximumAttempts is that of all queues; at most FakeWorkers::MaximumAttempts. */
    explicit EngineHarness(std::uint32_t seed = 1, int maximumAttempts = FakeWorkers::MaximumAttempts)
        : workers(timeline, seed)
        , store(timeline, seed)
    {
        auto made = std::make_shared<Catalogue>();
        made->version = ConfigurationVersion(1);
        for (int priority = 0; priority < 3; ++priority) {
            QueueSpec queue;
            queue.name = QueueName("q" + std::to_string(priority));
            queue.service = ServiceName("pool");
            queue.priority = priority;
            queue.maximumAttempts = maximumAttempts;
            queue.stretch = 3;
            made->queues.push_back(queue);
        }
        made->organisations.push_back({OrganisationId("org"), {"key"}, Accelerators(48)});
        made->index();
        catalogue = made;
        tick();
    }

    void addWorkers(int count)
    {
        for (int i = 0; i < count; ++i) {
            workers.add("w" + std::to_string(i), "r" + std::to_string(i / 3), WorkerSize);
        }
    }

    /** Starts an owner that restores the stored state. */
    void startOwner()
    {
        ++epoch;
        engine = std::make_unique<JobEngine>(times, timeline.clock(), Epoch(epoch), workers, [] {});
        if (advisor != nullptr) {
            engine->setAdvisor(advisor);
        }
        engine->setCatalogue(catalogue);
        restore();
        for (const auto &[id, machine] : workers.machines()) {
            if (!machine.hasLeft) {
                report(id);
            }
        }
    }

    /** Ends the owner. With @p lingers its engine runs on without the store for 3 s, as if cut off from it. */
    void endOwner(bool lingers)
    {
        batch.reset();
        if (!lingers) {
            engine.reset();
            return;
        }
        const std::shared_ptr<JobEngine> old = std::move(engine);
        for (int step = 1; step < 60; ++step) {
            timeline.after(milliseconds(50 * step), [old] {
                old->step();
                old->takeBatch(batchLimits());
            });
        }
    }

    void report(const WorkerId &id)
    {
        timeline.after(milliseconds(300), [this, id] {
            if (engine) {
                engine->handleWorkerReport(workers.machines().at(id).report);
            }
        });
    }

    JobSpec job(const std::string &id, int priority, std::vector<StepSpec> steps)
    {
        JobSpec spec;
        spec.id = JobId(id);
        spec.queue = QueueName("q" + std::to_string(priority));
        if (const QueueSpec *queue = catalogue->queue(spec.queue)) {
            spec.policy = *queue;
        }
        spec.organisation = OrganisationId("org");
        spec.steps = std::move(steps);
        spec.acceptedAt = timeline.clock().wallNow();
        return spec;
    }

    void submit(const JobSpec &spec, FakeWorkers::TaskBehaviour behaviour)
    {
        for (std::size_t s = 0; s < spec.steps.size(); ++s) {
            behaviour.resources = spec.steps[s].reservedResources();
            behaviour.gang = spec.steps[s].gang;
            behaviour.gangSize = spec.steps[s].tasks;
            behaviour.maximumPerWorker = spec.steps[s].maximumPerWorker;
            workers.setBehaviour(spec.id, s, behaviour);
        }
        specs[spec.id] = spec;
        // What JobIntake stores.
        const StateRecord state{JobState::Queued, spec.queue, spec.organisation, spec.acceptedAt};
        store.apply({{},
                     {{JobsTable, spec.id.value(), encodeJob(spec), {}, false},
                      {StatesTable, spec.id.value(), encodeState(state), {}, false},
                      {WaitingTable, waitingKey(spec.queue, spec.id), "", {}, false}},
                     {}});
        if (engine) {
            engine->addJob(spec);
        }
    }

    void cancel(const JobId &id)
    {
        if (store.find(JobsTable, id.value()) == nullptr) {
            return;
        }
        store.apply({{}, {{JobsTable, cancelKey(id), "", {}, false}}, {}});
        if (engine) {
            engine->cancelJob(id);
        }
    }

    std::optional<JobState> storedState(const JobId &id) const
    {
        const Row *row = store.find(StatesTable, id.value());
        ProtocolError error;
        const auto record = row == nullptr ? std::nullopt : decodeState(row->value, error);
        return record ? std::optional(record->state) : std::nullopt;
    }

    void runFor(Duration time)
    {
        timeline.runFor(time);
    }

    Timeline timeline;
    FakeWorkers workers;
    FakeRowStore store;
    EngineTimes times;
    std::shared_ptr<const Catalogue> catalogue;
    std::unique_ptr<JobEngine> engine;
    std::optional<EngineBatch> batch;
    /** Advisor of each owner; null if no queue needs advice. */
    Advisor *advisor = nullptr;
    std::map<JobId, JobSpec> specs;
    std::int64_t epoch = 0;
    /** Whether the owner can read the reports of the workers. */
    bool discoveryAnswers = true;
    /** Whether the owner can read the evacuated data centres. */
    bool evacuationsAnswer = true;

private:
    void tick()
    {
        timeline.after(milliseconds(10), [this] { tick(); });
        if (!engine) {
            return;
        }
        engine->termConfirmed(timeline.now());
        if (discoveryAnswers) {
            engine->discoveryRead();
        }
        if (evacuationsAnswer) {
            engine->evacuationsRead(timeline.now());
        }
        engine->step();
        if (batch || store.isUnreachable) {
            return;
        }
        batch = engine->takeBatch(batchLimits());
        if (batch->empty()) {
            batch.reset();
            return;
        }
        storeBatch();
    }

    /** Limits of a batch; the row of the term, which is stored with it, takes an expectation and a written row. */
    static ChangeLimits batchLimits()
    {
        ChangeLimits limits;
        limits.entries -= 2;
        return limits;
    }

    /** Stores the batch with the row of the term; a refused batch is sent again, as by TermChain. */
    void storeBatch()
    {
        timeline.after(milliseconds(8), [this, owner = epoch] {
            if (!engine || epoch != owner || !batch) {
                return;
            }
            const Row *term = store.find(OwnerTable, OwnerKey);
            RowChange change{{{OwnerTable, OwnerKey, term == nullptr ? RowVersion(0) : term->version}},
                             batch->written,
                             batch->removed};
            change.written.push_back({OwnerTable, OwnerKey, "", {}, false});
            if (store.apply(change).outcome != ChangeOutcome::Committed) {
                storeBatch();
                return;
            }
            engine->batchStored(*std::exchange(batch, std::nullopt));
        });
    }

    void restore()
    {
        ProtocolError error;
        for (const auto &[name, row] : store.rows) {
            if (name.first != JobsTable || cancelledJob(name.second)) {
                continue;
            }
            engine->addJob(*decodeJob(row.value, error));
        }
        std::map<JobId, std::set<std::size_t>> leftover;
        for (const auto &[name, row] : store.rows) {
            const std::size_t dot = name.second.rfind('.');
            if (name.first != ProgressTable) {
                continue;
            }
            const JobId id(name.second.substr(0, dot));
            const std::size_t occurrence = std::stoul(name.second.substr(dot + 1));
            if (!engine->restoreProgress(id, occurrence, *decodeOccurrence(row.value, error))) {
                leftover[id].insert(occurrence);
            }
        }
        engine->finishRestore();
        for (const auto &[name, row] : store.rows) {
            if (const auto job = cancelledJob(name.second); name.first == JobsTable && job) {
                engine->cancelJob(*job);
            }
        }
        for (const auto &[id, occurrences] : leftover) {
            engine->removeProgress(id, occurrences);
        }
    }
};

} // namespace coriander::workflow
