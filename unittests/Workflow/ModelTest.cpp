#include <gtest/gtest-spi.h>

#include <cstdlib>
#include <set>

#include "Workflow/FakeAdvisor.h"
#include "Workflow/ModelChecks.h"
#include "Workflow/ModelHistory.h"

namespace coriander::workflow {
namespace {

using std::chrono::seconds;

/** Plays a history and checks it at every step of virtual time. */
class HistoryPlayer
{
public:
    explicit HistoryPlayer(const ModelHistory &history)
        : m_history(history)
        , m_harness(history.seed)
        , m_checks(m_harness)
    {
        for (std::size_t i = 0; i < history.workers.size(); ++i) {
            m_harness.workers.add(workerId(i).value(), "", {});
            describe(i, history.workers[i]);
        }
        if (history.advised) {
            useAdvisor();
        }
        m_harness.startOwner();
        m_harness.runFor(seconds(1));
    }

    /** The rules that the engine broke. */
    std::vector<std::string> play()
    {
        for (const ModelEvent &event : m_history.events) {
            m_harness.timeline.after(milliseconds(event.atMs), [this, &event] { apply(event); });
        }
        runChecked(milliseconds(HistoryMs));
        recover();
        // Work that goes on all the while needs more than 150 s with seeds 437 and 855; check() sees jobs that stand
        // still.
        for (int i = 0; i < 400 && !m_checks.allEnded(); ++i) {
            runChecked(seconds(1));
        }
        runChecked(seconds(5));
        m_checks.checkEnd();
        return m_checks.failures();
    }

private:
    static WorkerId workerId(std::size_t number)
    {
        return WorkerId("w" + std::to_string(number));
    }

    static JobId jobId(std::size_t number)
    {
        return JobId("j" + std::to_string(number));
    }

    /** Makes all queues need advice. A question takes a part of the time of the deployments, so that questions about
     * all jobs of a history fit into the 3 s of the rule LOST; a ticket is valid for a shorter time in proportion. */
    void useAdvisor()
    {
        m_advisor.approves = [](const StepKey &, const WorkerId &) {
            return true;
        };
        m_advisor.decisionTime = milliseconds(60);
        m_advisor.timePerWorker = milliseconds(4);
        m_advisor.valid = milliseconds(700);
        m_harness.advisor = &m_advisor;
        m_harness.workers.ticketIsValid = [this](const WorkerId &worker, const StartOrder &order) {
            return m_advisor.accepts(worker, order);
        };
        auto catalogue = std::make_shared<Catalogue>(*m_harness.catalogue);
        for (QueueSpec &queue : catalogue->queues) {
            queue.needsAdvice = true;
        }
        m_allQueues = m_harness.catalogue = catalogue;
    }

    void describe(std::size_t number, const ModelWorker &worker)
    {
        WorkerReport &report = m_harness.workers.machines().at(workerId(number)).report;
        const std::string rack = "r" + std::to_string(worker.rack);
        report.rack = RackId(rack);
        report.labels = {worker.label, rack};
        report.capacity = resources(worker.cores, worker.accelerators, 65536);
    }

    void runChecked(Duration time)
    {
        for (Duration done{}; done < time; done += ModelChecks::CheckInterval) {
            m_harness.runFor(ModelChecks::CheckInterval);
            m_checks.check();
        }
    }

    void apply(const ModelEvent &event)
    {
        const MonotonicTime end = m_harness.timeline.now() + milliseconds(event.lengthMs);
        const auto atEnd = [this, &event](std::function<void()> action) {
            m_harness.timeline.after(milliseconds(event.lengthMs), std::move(action));
        };
        switch (event.kind) {
        case ModelEventKind::Submit:
            submit(event);
            break;
        case ModelEventKind::Cancel:
            m_harness.cancel(jobId(event.subject));
            m_checks.cancelled(jobId(event.subject));
            break;
        case ModelEventKind::CutWorker:
            m_checks.trouble(end);
            m_harness.workers.machines().at(workerId(event.subject)).isCutOff = true;
            atEnd([this, id = workerId(event.subject)] { m_harness.workers.machines().at(id).isCutOff = false; });
            break;
        case ModelEventKind::CrashWorker:
            m_checks.trouble(end);
            crash(event.subject, event.worker);
            break;
        case ModelEventKind::StoreDown:
            m_checks.trouble(end);
            m_harness.store.isUnreachable = true;
            atEnd([this] { m_harness.store.isUnreachable = false; });
            break;
        case ModelEventKind::ReplaceOwner:
            m_checks.trouble(end);
            if (m_harness.engine) {
                const auto before = reservedByRuns();
                // An owner that lingers goes on asking as the machine that it is.
                m_harness.endOwner(event.subject == 1 && !m_history.advised);
                atEnd([this, before] {
                    m_advisor.changeCaller();
                    m_harness.startOwner();
                    m_checks.restored(before, reservedByRuns());
                });
            }
            break;
        case ModelEventKind::RemoveQueue:
            setQueueRemoved(static_cast<int>(event.subject), true);
            atEnd([this, priority = static_cast<int>(event.subject)] { setQueueRemoved(priority, false); });
            break;
        case ModelEventKind::SilentAdvisor:
            // An answer that is lost is waited for for some seconds.
            m_checks.trouble(end + seconds(5));
            m_advisor.losesAnswer = [](const StepKey &) {
                return true;
            };
            atEnd([this] { m_advisor.losesAnswer = {}; });
            break;
        case ModelEventKind::FaultyOrders:
            // An order may be carried out 12 s after it was sent.
            m_checks.lateOrders(end + seconds(12));
            m_harness.workers.faults = {0.05, 0.1, 0.1};
            atEnd([this] { m_harness.workers.faults = {}; });
            break;
        }
    }

    ModelChecks::ReservedByRuns reservedByRuns() const
    {
        ModelChecks::ReservedByRuns reserved;
        for (const auto &[id, worker] : m_harness.engine->workers().all()) {
            for (const auto &[key, run] : worker.runs) {
                reserved.emplace(key, run.resources);
            }
        }
        return reserved;
    }

    void setQueueRemoved(int priority, bool removed)
    {
        if (removed) {
            m_removedQueues.insert(QueueName("q" + std::to_string(priority)));
        } else {
            m_removedQueues.erase(QueueName("q" + std::to_string(priority)));
        }
        auto catalogue = std::make_shared<Catalogue>(*m_allQueues);
        std::erase_if(catalogue->queues,
                      [this](const QueueSpec &queue) { return m_removedQueues.count(queue.name) > 0; });
        catalogue->index();
        m_harness.catalogue = catalogue;
        if (m_harness.engine) {
            m_harness.engine->setCatalogue(catalogue);
        }
    }

    void crash(std::size_t number, const ModelWorker &next)
    {
        describe(number, next);
        m_harness.workers.restart(workerId(number));
        // FakeWorkers does not refuse orders for an earlier process, so the owner learns of the new one at once.
        if (m_harness.engine) {
            m_harness.engine->handleWorkerReport(m_harness.workers.machines().at(workerId(number)).report);
        }
        m_harness.report(workerId(number));
    }

    void submit(const ModelEvent &event)
    {
        if (m_removedQueues.count(QueueName("q" + std::to_string(event.job.priority))) > 0) {
            return; // The nodes refuse jobs of a queue that is not configured.
        }
        std::vector<StepSpec> steps;
        bool mayFail = false;
        for (const ModelStep &each : event.job.steps) {
            StepSpec step = stepOf(each.tasks, each.cores, each.accelerators);
            step.estimate = milliseconds(each.estimateMs);
            step.after = each.after;
            step.gang = each.gang;
            step.sameRack = each.sameRack;
            step.longRunning = each.lasts;
            step.requiredLabel = each.label;
            step.dataRack = RackId(each.dataRack);
            step.maximumPerWorker = each.maximumPerWorker;
            step.usesIdleCores = each.usesIdleCores;
            mayFail = mayFail || each.failures > 0;
            steps.push_back(step);
        }
        JobSpec spec = m_harness.job(jobId(event.subject).value(), event.job.priority, steps);
        spec.occurrences = event.job.occurrences;
        spec.firstDue = m_harness.timeline.clock().wallNow() + milliseconds(event.job.firstDueMs);
        spec.interval = milliseconds(event.job.intervalMs);
        m_checks.submitted(spec, mayFail);
        m_harness.submit(spec, {});
        for (std::size_t s = 0; s < steps.size(); ++s) {
            const ModelStep &step = event.job.steps[s];
            FakeWorkers::TaskBehaviour behaviour;
            behaviour.work = milliseconds(step.workMs);
            behaviour.lasts = step.lasts;
            behaviour.failures = step.failures;
            behaviour.gang = step.gang;
            behaviour.gangSize = step.tasks;
            behaviour.resources = steps[s].reservedResources();
            m_harness.workers.setBehaviour(spec.id, s, behaviour);
        }
    }

    /** Ends all faults and the jobs that last, and gives every worker its first capacity and labels back. */
    void recover()
    {
        runChecked(seconds(15));
        std::set<std::size_t> changed;
        for (const ModelEvent &event : m_history.events) {
            if (event.kind == ModelEventKind::CrashWorker) {
                changed.insert(event.subject);
            }
            const bool lasts = !event.job.steps.empty() && event.job.steps.back().lasts;
            if (event.kind == ModelEventKind::Submit && (lasts || event.job.neverEnds)) {
                m_harness.cancel(jobId(event.subject));
                m_checks.cancelled(jobId(event.subject));
            }
        }
        for (const std::size_t number : changed) {
            m_checks.trouble(m_harness.timeline.now());
            crash(number, m_history.workers.at(number));
        }
    }

    const ModelHistory &m_history;
    EngineHarness m_harness;
    ModelChecks m_checks;
    FakeAdvisor m_advisor{m_harness.timeline};
    std::shared_ptr<const Catalogue> m_allQueues = m_harness.catalogue;
    std::set<QueueName> m_removedQueues;
};

/** The first rule that the engine breaks in @p history; empty if none. */
std::string firstFailure(const ModelHistory &history)
{
    ::testing::TestPartResultArray reported;
    std::vector<std::string> failures;
    {
        // The checks of FakeWorkers fail the test by themselves.
        const ::testing::ScopedFakeTestPartResultReporter reporter(
            ::testing::ScopedFakeTestPartResultReporter::INTERCEPT_ALL_THREADS, &reported);
        failures = HistoryPlayer(history).play();
    }
    for (int i = 0; i < reported.size(); ++i) {
        if (reported.GetTestPartResult(i).failed()) {
            return reported.GetTestPartResult(i).message();
        }
    }
    return failures.empty() ? "" : failures.front();
}

/** Drops events as long as the history still breaks the same rule. */
ModelHistory shrink(ModelHistory history, const std::string &failure)
{
    const std::string rule = failure.substr(0, failure.find(':'));
    for (std::size_t i = history.events.size(); i-- > 0;) {
        ModelHistory smaller = history;
        smaller.events.erase(smaller.events.begin() + static_cast<std::ptrdiff_t>(i));
        const std::string found = firstFailure(smaller);
        if (found.substr(0, found.find(':')) == rule && !found.empty()) {
            history = smaller;
        }
    }
    return history;
}

/** The first of 100 seeds; CORIANDER_FIRST_SEED selects others. */
int firstSeed()
{
    const char *text = std::getenv("CORIANDER_FIRST_SEED");
    return text == nullptr ? 1 : std::atoi(text);
}

/** Fails if the engine breaks a rule in @p history, and shows the smallest history found that breaks it. */
void expectRulesKept(const ModelHistory &history)
{
    const std::string failure = firstFailure(history);
    if (!failure.empty()) {
        const ModelHistory small = shrink(history, failure);
        FAIL() << failure << "\nThe smallest history found:\n"
               << firstFailure(small) << "\nEXPECT_EQ(firstFailure(" << printHistory(small) << "), \"\");";
    }
}

class EngineModel : public ::testing::TestWithParam<int>
{
};

// Guards against every broken rule of ModelChecks and FakeWorkers, on unlike workers and with several faults at once.
TEST_P(EngineModel, keepsTheRules)
{
    expectRulesKept(generateHistory(static_cast<std::uint32_t>(GetParam())));
}

INSTANTIATE_TEST_SUITE_P(Seeds, EngineModel, ::testing::Range(firstSeed(), firstSeed() + 100), [](const auto &info) {
    return "seed" + std::to_string(info.param);
});

class AdvisedModel : public ::testing::TestWithParam<int>
{
};

// Guards against a job that does not start because the advisor is asked only about others, see incident 028, on top of
// what EngineModel guards against.
TEST_P(AdvisedModel, keepsTheRules)
{
    expectRulesKept(generateAdvisedHistory(static_cast<std::uint32_t>(GetParam())));
}

INSTANTIATE_TEST_SUITE_P(Seeds, AdvisedModel, ::testing::Range(firstSeed(), firstSeed() + 40), [](const auto &info) {
    return "seed" + std::to_string(info.param);
});

// Guards against a job that stands still although its workers are idle: its tasks fail twice through their own fault,
// and both workers that have accelerators are avoided for that. From seed 26.
TEST(KeptHistory, jobWhoseTasksFailOnAllWorkersThatFitGoesOn)
{
    const ModelHistory history{
        26,
        {{24, 7, 1, "a"}, {6, 0, 2, "a"}, {10, 7, 0, "b"}, {21, 0, 0, "a"}, {22, 0, 1, "a"}, {4, 0, 2, "a"}},
        {{22693,
          ModelEventKind::Submit,
          7,
          0,
          {1,
           0,
           0,
           0,
           {{2, 1, 0, 3448, 34480, 0, {}, true, true, false, "", "", 0},
            {3, 1, 1, 4315, 4315, 2, {}, false, false, false, "", "", 0}}},
          {}}}};
    EXPECT_EQ(firstFailure(history), "");
}

// Guards against incident 019: a task ends on a worker that is cut off and was given up, and the next step waits for a
// second run. The worker that is cut off is each of those that can run the task.
TEST(KeptHistory, completionOnAWorkerThatWasGivenUpCounts)
{
    for (std::size_t cut = 0; cut < 2; ++cut) {
        const ModelHistory history{
            1,
            {{16, 0, 0, "a"}, {16, 0, 0, "a"}, {16, 0, 1, "b"}, {16, 0, 1, "b"}},
            {{.atMs = 1000,
              .job = {.steps = {{.workMs = 15000, .estimateMs = 15000, .label = "a"}, {.after = {0}, .label = "b"}}}},
             {.atMs = 10000, .kind = ModelEventKind::CutWorker, .subject = cut, .lengthMs = 13000}}};
        EXPECT_EQ(firstFailure(history), "") << "worker " << cut;
    }
}

} // namespace
} // namespace coriander::workflow
