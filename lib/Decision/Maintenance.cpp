#include <algorithm>
#include <cmath>

#include "SchedulerImplementation.h"

namespace coriander::decision {

namespace {

/** Interval of periodic checkpoints: a failed gang loses 5 minutes on average, and a checkpoint takes some seconds. */
constexpr Duration CheckpointInterval = std::chrono::minutes(10);
/**
 * Share of the fleet's accelerator time that non-urgent preemption and compaction may cost; section 11 of the design
 * allows a loss of 3% in total.
 */
constexpr double DisruptionShare = 0.025;
/** Time over which the budget for non-urgent preemption and compaction accumulates at most. */
constexpr Duration DisruptionBudgetWindow = std::chrono::minutes(60);
/** The remaining run time is assumed to be at least this share of the run time so far. */
constexpr double OverrunShare = 0.5;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds(duration) * factor));
}

} // namespace

Resources Scheduler::Implementation::taskSize(const Job &job) const
{
    return m_policy.learns ? m_estimator.expectedSize(job.request) : job.request.perTask;
}

Duration Scheduler::Implementation::remainingRun(const Job &job) const
{
    const Duration expected = m_policy.learns        ? m_estimator.expectedRun(job.request)
        : job.request.declaredRun > Duration::zero() ? job.request.declaredRun
                                                     : DefaultRunTime;
    Duration ran = job.checkpointedRun;
    if (job.state == JobState::Running || job.state == JobState::Stopping) {
        ran += m_now - job.checkpointedAt;
    }
    return std::max(expected - ran, scaled(ran, OverrunShare));
}

MonotonicTime Scheduler::Implementation::expectedEnd(const Job &job) const
{
    if (job.state == JobState::Stopping) {
        return m_now + MaximumCheckpointGrace;
    }
    return m_now + remainingRun(job);
}

double Scheduler::Implementation::queueScore(const Job &job) const
{
    const double floor = 1e-9;
    const OrganisationShare &organisation = m_shares.at(job.organisation);
    OrderInput input;
    input.job = &job;
    input.expectedRun = remainingRun(job);
    input.organisationShare
        = m_shares.weightedService(job.organisation, m_now) / std::max(m_meanWeightedService, floor);
    const double meanCaller
        = organisation.meter.service(m_now) / std::max<double>(1.0, static_cast<double>(organisation.callers));
    input.callerShare = m_shares.callerAt(job.caller).meter.service(m_now) / std::max(meanCaller, floor);
    input.waited = m_now - job.queuedAt;
    return m_policy.order(input);
}

void Scheduler::Implementation::reserveWorkers(const Job &job, const Resources &size)
{
    m_reservation.holder = nullptr;
    m_reservation.expectedFreeAt = NeverDue;
    m_reservation.computedAt = m_now;
    std::fill(m_reservation.workers.begin(), m_reservation.workers.end(), 0);
    struct Slot {
        MonotonicTime at{};
        WorkerIndex worker = 0;
    };
    std::map<std::uint32_t, std::vector<Slot>> groups;
    const bool single = job.request.closeness == Closeness::Worker || job.request.tasks == 1;
    // Limits the workers examined, to bound the time of one decision; any workers that fit serve as a reservation.
    constexpr std::size_t MaximumWorkers = 256;
    std::size_t examined = 0;
    for (WorkerIndex index = 0; index < m_fleet.workers().size() && examined < MaximumWorkers; ++index) {
        const FleetWorker &worker = m_fleet.worker(index);
        const std::int64_t most = countFitting(worker.spec.capacity, size, job.request.tasks);
        if (!m_fleet.usable(index) || most == 0) {
            continue;
        }
        ++examined;
        std::vector<std::pair<MonotonicTime, const Job *>> expectedEnds;
        for (const Job *running : worker.jobs) {
            expectedEnds.emplace_back(expectedEnd(*running), running);
        }
        std::sort(expectedEnds.begin(), expectedEnds.end(), [](const auto &left, const auto &right) {
            return std::tie(left.first, left.second->sequence) < std::tie(right.first, right.second->sequence);
        });
        const std::uint32_t group = single ? index : (job.request.closeness == Closeness::Rack ? worker.rack : 0);
        Resources free = m_fleet.free(index);
        std::int64_t tasks = countFitting(free, size, most);
        std::vector<Slot> &slots = groups[group];
        slots.insert(slots.end(), static_cast<std::size_t>(tasks), {m_now, index});
        for (const auto &[at, running] : expectedEnds) {
            if (tasks >= most) {
                break;
            }
            for (const GangPart &part : running->parts) {
                if (part.worker == index) {
                    free = free + running->size * part.tasks;
                }
            }
            const std::int64_t fits = countFitting(free, size, most);
            slots.insert(slots.end(), static_cast<std::size_t>(std::max<std::int64_t>(fits - tasks, 0)), {at, index});
            tasks = std::max(tasks, fits);
        }
    }
    const auto wanted = static_cast<std::size_t>(job.request.tasks);
    const std::vector<Slot> *best = nullptr;
    for (auto &[group, slots] : groups) {
        std::stable_sort(
            slots.begin(), slots.end(), [](const Slot &left, const Slot &right) { return left.at < right.at; });
        if (slots.size() >= wanted && slots[wanted - 1].at < m_reservation.expectedFreeAt) {
            m_reservation.expectedFreeAt = slots[wanted - 1].at;
            best = &slots;
        }
    }
    if (best == nullptr) {
        return;
    }
    m_reservation.holder = &job;
    for (std::size_t i = 0; i < wanted; ++i) {
        m_reservation.workers[(*best)[i].worker] = 1;
    }
}

void Scheduler::Implementation::runMaintenance()
{
    m_nextMaintenance = m_now + MaintenancePeriod;
    const double rate = DisruptionShare * static_cast<double>(m_fleet.usableCapacity().accelerators.count());
    m_maximumDisruptionBudget = rate * seconds(DisruptionBudgetWindow);
    m_disruptionBudget
        = std::min(m_disruptionBudget + rate * seconds(m_now - m_disruptionBudgetUpdatedAt), m_maximumDisruptionBudget);
    m_disruptionBudgetUpdatedAt = m_now;
    m_passNeeded = true;
    constexpr Duration MaximumReservationAge = std::chrono::seconds(60);
    if (m_reservation.holder != nullptr && m_now - m_reservation.computedAt > MaximumReservationAge) {
        m_reservation.holder = nullptr;
    }
    checkDeadlines();
    expireAssignments();
    if (m_policy.checkpoints) {
        requestPeriodicCheckpoints();
    }
    if (m_policy.compacts && m_now >= m_nextCompaction) {
        compact();
    }
}

void Scheduler::Implementation::checkDeadlines()
{
    while (!m_deadlines.empty() && std::get<MonotonicTime>(*m_deadlines.begin()) <= m_now) {
        const auto [at, sequence, id] = *m_deadlines.begin();
        m_deadlines.erase(m_deadlines.begin());
        const auto found = m_jobs.find(id);
        if (found == m_jobs.end() || found->second->sequence != sequence) {
            continue;
        }
        Job &job = *found->second;
        if (job.state == JobState::Waiting && job.request.deadline <= m_now) {
            refuse(job, "too-late", "the deadline passed before the job could start");
            continue;
        }
        const MonotonicTime latestStart = job.request.deadline - remainingRun(job);
        if (!job.riskReported && latestStart <= m_now) {
            job.riskReported = true;
            m_decisions.emplace_back(
                DeadlineAtRisk{id,
                               "about " + std::to_string(static_cast<std::int64_t>(seconds(remainingRun(job))))
                                   + " s of run time left and "
                                   + std::to_string(static_cast<std::int64_t>(seconds(job.request.deadline - m_now)))
                                   + " s until the deadline"});
        }
        if (job.request.deadline > m_now) {
            // Estimates change while the job runs or waits, so the job is checked at least this often.
            constexpr Duration MaximumCheckInterval = std::chrono::minutes(1);
            const MonotonicTime next = job.riskReported ? job.request.deadline : std::max(latestStart, m_now);
            m_deadlines.emplace(
                std::clamp(next, m_now + MaintenancePeriod, m_now + MaximumCheckInterval), sequence, id);
        }
    }
}

void Scheduler::Implementation::expireAssignments()
{
    std::vector<Job *> expired;
    for (const auto &[sequence, job] : m_assigned) {
        if (job->assignedUntil <= m_now) {
            expired.push_back(job);
        }
    }
    for (Job *job : expired) {
        stop(*job, StopReason::Preempted, Duration::zero());
    }
}

void Scheduler::Implementation::requestPeriodicCheckpoints()
{
    for (const auto &[sequence, job] : m_active) {
        if (job->state == JobState::Running && job->request.canCheckpoint
            && m_now - std::max(job->checkpointedAt, job->checkpointRequestedAt) >= CheckpointInterval) {
            job->checkpointRequestedAt = m_now;
            m_decisions.emplace_back(CheckpointGang{job->request.id, job->attempt});
        }
    }
}

} // namespace coriander::decision
