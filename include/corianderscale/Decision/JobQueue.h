#pragma once

#include "corianderscale/Decision/Policy.h"

#include <functional>
#include <map>
#include <set>
#include <tuple>
#include <vector>

namespace coriander::decision {

/** Maximum number of waiting jobs in a data centre; limits memory to about 20 MB. */
inline constexpr std::size_t MaximumWaitingJobs = 20000;
/** Maximum number of waiting jobs of one caller, so that one caller cannot fill the queue. */
inline constexpr std::size_t MaximumWaitingJobsPerCaller = 4000;

/**
 * Waiting jobs, in one queue per class and caller.
 *
 * Thread safety: not thread safe.
 */
class JobQueue
{
public:
    /** Precondition: the job's rank is set. */
    void add(Job &job);
    void remove(const Job &job);
    bool contains(const Job &job) const;
    std::size_t size() const
    {
        return m_size;
    }
    std::size_t sizeOf(std::uint32_t caller) const;

    /** Returns the newest job of the least urgent class, restricted to @p caller if given; null if there is none. */
    Job *findNewestLeastUrgent(std::optional<std::uint32_t> caller) const;

    /** How visitInOrder() continues after a visit. */
    enum class Next {
        Continue,
        SkipCaller,
        Stop,
    };

    /**
     * Visits the waiting jobs. Jobs of one class and caller are visited by rank; among the classes and callers, the one
     * whose next job has the lowest @p score comes next. The visitor must not change the queue.
     */
    void visitInOrder(const std::function<double(const Job &)> &score, const std::function<Next(Job &)> &visit) const;

    /** Visits all waiting jobs, grouped by class and caller, in order of arrival within each group. */
    void forEach(const std::function<void(Job &)> &visit) const;

private:
    using Key = std::tuple<JobClass, std::uint32_t>;
    struct ByRank {
        bool operator()(const Job *left, const Job *right) const
        {
            return std::tie(left->rank, left->sequence) < std::tie(right->rank, right->sequence);
        }
    };
    struct CallerQueue {
        std::set<Job *, ByRank> byRank;
        std::map<std::uint64_t, Job *> byArrival;
    };

    std::map<Key, CallerQueue> m_callerQueues;
    std::map<JobClass, std::map<std::uint64_t, Job *>> m_byArrival;
    std::map<std::uint32_t, std::size_t> m_perCaller;
    std::size_t m_size = 0;
};

} // namespace coriander::decision
