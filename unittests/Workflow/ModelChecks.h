#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Workflow/EngineHarness.h"

namespace coriander::workflow {

/**
 * The rules of the users' pages as callers, workers and store see them; shares no code with the engine's decisions.
 * FakeWorkers checks TWICE, BUDGET and LIMIT. A rule that is broken is a message that begins with the name of the rule.
 */
class ModelChecks
{
public:
    explicit ModelChecks(EngineHarness &harness);

    /** Call when a fault begins, with the time when its effects end. */
    void trouble(MonotonicTime until);
    /** Call when orders may be carried out late, with the time when the last of them is. */
    void lateOrders(MonotonicTime until);
    void submitted(const JobSpec &spec, bool mayFail);
    void cancelled(const JobId &job);
    /** What an owner reserves for each run. */
    using ReservedByRuns = std::map<RunKey, decision::Resources>;
    /** Checks that a new owner reserves the same for each run that it knows of its predecessor. */
    void restored(const ReservedByRuns &before, const ReservedByRuns &after);
    /** Checks the present state; call every CheckInterval. */
    void check();
    /** Checks that all jobs have ended and nothing runs. */
    void checkEnd();
    /** Whether all jobs have ended. */
    bool allEnded() const;
    const std::vector<std::string> &failures() const
    {
        return m_failures;
    }

    static constexpr Duration CheckInterval = milliseconds(100);

private:
    struct Absence {
        MonotonicTime since;
        /** Since when there is room for the task twice over in a calm span. */
        std::optional<MonotonicTime> roomSince;
    };
    struct Known {
        JobSpec spec;
        bool mayFail = false;
        std::optional<MonotonicTime> cancelledAt;
        /** Since when a task of the job waits with nothing of the job running and room for it twice over. */
        std::optional<MonotonicTime> lostSince;
        /** Tasks that last and do not run. */
        std::map<TaskKey, Absence> absent;
        /** When the first task of the job began. */
        std::optional<MonotonicTime> begunAt;
        /** Whether the job was shown as running. */
        bool shownRunning = false;
    };

    void checkStart(const TaskKey &task, std::int64_t run);
    void checkLost(Known &job, bool calmAndHalfEmpty);
    void checkLasting(Known &job, const std::set<TaskKey> &running);
    void checkState(const Known &job);
    /** Checks that a job counts as waiting until one of its tasks has begun, and no longer than callers may see. */
    void checkWaiting(Known &job);
    bool isDone(const Known &job, std::size_t occurrence, std::size_t step) const;
    bool isReady(const Known &job, std::size_t occurrence, std::size_t step) const;
    bool isDue(const Known &job, std::size_t occurrence) const;
    bool hasRuns(const JobId &job) const;
    bool fitsTwice(const Known &job, std::size_t occurrence, std::size_t step) const;
    bool underHalfInUse() const;
    bool isCalm(Duration span) const;
    void fail(const std::string &rule, const std::string &what);

    EngineHarness &m_harness;
    std::map<JobId, Known> m_jobs;
    MonotonicTime m_troubleUntil;
    MonotonicTime m_lateOrdersUntil;
    std::vector<std::string> m_failures;
};

} // namespace coriander::workflow
