#include "corianderscale/Decision/JobQueue.h"

#include <algorithm>
#include <queue>

namespace coriander::decision {

void JobQueue::add(Job &job)
{
    CallerQueue &callerQueue = m_callerQueues[{job.request.jobClass, job.caller}];
    callerQueue.byRank.insert(&job);
    callerQueue.byArrival.emplace(job.sequence, &job);
    m_byArrival[job.request.jobClass].emplace(job.sequence, &job);
    ++m_perCaller[job.caller];
    ++m_size;
}

void JobQueue::remove(const Job &job)
{
    const auto found = m_callerQueues.find({job.request.jobClass, job.caller});
    CallerQueue &callerQueue = found->second;
    callerQueue.byRank.erase(const_cast<Job *>(&job));
    callerQueue.byArrival.erase(job.sequence);
    if (callerQueue.byArrival.empty()) {
        m_callerQueues.erase(found);
    }
    m_byArrival[job.request.jobClass].erase(job.sequence);
    if (--m_perCaller[job.caller] == 0) {
        m_perCaller.erase(job.caller);
    }
    --m_size;
}

bool JobQueue::contains(const Job &job) const
{
    const auto jobs = m_byArrival.find(job.request.jobClass);
    return jobs != m_byArrival.end() && jobs->second.contains(job.sequence);
}

std::size_t JobQueue::sizeOf(std::uint32_t caller) const
{
    const auto found = m_perCaller.find(caller);
    return found == m_perCaller.end() ? 0 : found->second;
}

Job *JobQueue::findNewestLeastUrgent(std::optional<std::uint32_t> caller) const
{
    for (const JobClass jobClass : {JobClass::Background, JobClass::Normal, JobClass::Urgent}) {
        if (caller) {
            const auto callerQueue = m_callerQueues.find({jobClass, *caller});
            if (callerQueue != m_callerQueues.end()) {
                return callerQueue->second.byArrival.rbegin()->second;
            }
            continue;
        }
        const auto jobs = m_byArrival.find(jobClass);
        if (jobs != m_byArrival.end() && !jobs->second.empty()) {
            return jobs->second.rbegin()->second;
        }
    }
    return nullptr;
}

void JobQueue::visitInOrder(const std::function<double(const Job &)> &score,
                            const std::function<Next(Job &)> &visit) const
{
    struct Head {
        double score;
        std::uint64_t sequence;
        const CallerQueue *callerQueue;
        std::set<Job *, ByRank>::const_iterator next;
    };
    const auto later = [](const Head &left, const Head &right) {
        return std::tie(left.score, left.sequence) > std::tie(right.score, right.sequence);
    };
    std::vector<Head> heads;
    heads.reserve(m_callerQueues.size());
    for (const auto &[key, callerQueue] : m_callerQueues) {
        const auto first = callerQueue.byRank.begin();
        heads.push_back({score(**first), (*first)->sequence, &callerQueue, first});
    }
    std::make_heap(heads.begin(), heads.end(), later);
    while (!heads.empty()) {
        std::pop_heap(heads.begin(), heads.end(), later);
        Head head = heads.back();
        heads.pop_back();
        const Next next = visit(**head.next);
        if (next == Next::Stop) {
            return;
        }
        ++head.next;
        if (next == Next::SkipCaller || head.next == head.callerQueue->byRank.end()) {
            continue;
        }
        head.score = score(**head.next);
        head.sequence = (*head.next)->sequence;
        heads.push_back(head);
        std::push_heap(heads.begin(), heads.end(), later);
    }
}

void JobQueue::forEach(const std::function<void(Job &)> &visit) const
{
    for (const auto &[key, callerQueue] : m_callerQueues) {
        for (const auto &[sequence, job] : callerQueue.byArrival) {
            visit(*job);
        }
    }
}

} // namespace coriander::decision
