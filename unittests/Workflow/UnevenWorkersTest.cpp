#include "Workflow/EngineHarness.h"

namespace coriander::workflow {
namespace {

using std::chrono::seconds;

/** A pool of eight racks of three workers, one of each speed, with work that keeps all of them busy. */
class UnevenWorkers : public ::testing::Test
{
protected:
    void play(const std::vector<double> &speeds, std::size_t batchTasks)
    {
        setUrgentStretch(1.5);
        m_harness.addWorkers(24);
        std::size_t index = 0;
        for (auto &[id, machine] : m_harness.workers.machines()) {
            machine.speed = speeds[index++ % speeds.size()];
        }
        m_harness.startOwner();
        m_harness.runFor(seconds(1));
        for (int i = 0; i < 40; ++i) {
            submitBatch(batchTasks);
            if (i >= 10) {
                submitUrgentGang();
            }
            m_harness.runFor(seconds(1));
        }
        m_harness.runFor(seconds(60));
    }

    void setUrgentStretch(double stretch)
    {
        auto catalogue = std::make_shared<Catalogue>(*m_harness.catalogue);
        catalogue->queues[0].stretch = stretch;
        catalogue->queues[0].objectiveSlack = milliseconds(250);
        catalogue->index();
        m_harness.catalogue = catalogue;
    }

    /** Work that can wait, whose estimate is wrong. */
    void submitBatch(std::size_t tasks)
    {
        StepSpec step = stepOf(tasks, 4, 1);
        step.estimate = seconds(1 + m_jobs % 7);
        submit("b", 2, step, seconds(3));
    }

    void submitUrgentGang()
    {
        StepSpec step = stepOf(3, 4, 4);
        step.gang = true;
        m_urgent[submit("u", 0, step, step.estimate)] = m_harness.timeline.now();
    }

    JobId submit(const std::string &prefix, int priority, const StepSpec &step, Duration work)
    {
        const JobSpec spec = m_harness.job(prefix + std::to_string(++m_jobs), priority, {step});
        FakeWorkers::TaskBehaviour behaviour;
        behaviour.work = work;
        m_harness.submit(spec, behaviour);
        watch(spec.id, m_harness.timeline.now());
        return spec.id;
    }

    /** Records when the job is stored as completed. */
    void watch(const JobId &id, MonotonicTime submittedAt)
    {
        m_harness.timeline.after(milliseconds(20), [this, id, submittedAt] {
            if (m_harness.storedState(id) == JobState::Completed) {
                m_took[id] = m_harness.timeline.now() - submittedAt;
                return;
            }
            watch(id, submittedAt);
        });
    }

    std::size_t urgentInTime() const
    {
        std::size_t inTime = 0;
        for (const auto &[id, submittedAt] : m_urgent) {
            const auto took = m_took.find(id);
            inTime += took != m_took.end() && took->second <= milliseconds(3250) ? 1 : 0;
        }
        return inTime;
    }

    EngineHarness m_harness;
    std::map<JobId, MonotonicTime> m_urgent;
    std::map<JobId, Duration> m_took;
    int m_jobs = 0;
};

// Guards against urgent gangs that are late because a member runs on a slow worker, with faster ones at hand.
TEST_F(UnevenWorkers, urgentGangsRunOnWorkersThatAreFastEnough)
{
    play({0.6, 1.0, 1.6}, 36);
    EXPECT_GE(urgentInTime(), 27U) << "of " << m_urgent.size();
    EXPECT_EQ(m_took.size(), static_cast<std::size_t>(m_jobs));
}

// Guards against slow workers that stay idle, and against work that is lost, where every worker is slow or fast.
TEST_F(UnevenWorkers, allWorkersAreUsed)
{
    play({0.5, 1.6}, 60);
    std::set<WorkerId> idle;
    for (const auto &[id, worker] : m_harness.engine->workers().all()) {
        if (worker.runsDone == 0) {
            idle.insert(id);
        }
    }
    EXPECT_TRUE(idle.empty());
    EXPECT_EQ(m_took.size(), static_cast<std::size_t>(m_jobs));
}

} // namespace
} // namespace coriander::workflow
