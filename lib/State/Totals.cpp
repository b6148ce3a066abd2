#include "corianderscale/State/Totals.h"

#include "corianderscale/Support/Log.h"

#include <fmt/format.h>

#include <algorithm>

namespace coriander {

namespace {

/** Time in ms after the start deadline of a claim in which its outcome is expected; used for @c expectedUnixMs. */
constexpr std::int64_t ClaimGraceMs = 60 * 1000;

void countOutcome(ItemCounts &items, JobState state)
{
    switch (state) {
    case JobState::Finished:
        ++items.finished;
        return;
    case JobState::Failed:
        ++items.failed;
        return;
    case JobState::Cancelled:
        ++items.cancelled;
        return;
    case JobState::Refused:
        ++items.refusedNotRun;
        return;
    case JobState::Queued:
    case JobState::Starting:
    case JobState::Running:
    case JobState::Stopping:
        return;
    }
}

void countOutcome(ItemCounts &items, RequestState state)
{
    switch (state) {
    case RequestState::Finished:
        ++items.finished;
        return;
    case RequestState::Failed:
        ++items.failed;
        return;
    case RequestState::NotRun:
        ++items.refusedNotRun;
        return;
    case RequestState::Unknown:
        ++items.unknown;
        return;
    case RequestState::Claimed:
        return;
    }
}

} // namespace

TotalsRecount::TotalsRecount(DayBounds bounds, std::vector<InstanceView> instances, std::int64_t nowUnixMs)
    : m_instances(std::move(instances))
    , m_nowUnixMs(nowUnixMs)
{
    m_totals.bounds = std::move(bounds);
}

void TotalsRecount::add(const CountsRecord &record)
{
    if (record.day != m_totals.bounds.day) {
        return;
    }
    const auto [entry, inserted] = m_counts.emplace(record.gateway, record);
    if (inserted) {
        return;
    }
    for (const auto &[caller, counts] : record.counts) {
        entry->second.counts[caller].mergeLarger(counts);
    }
    entry->second.closed = entry->second.closed || record.closed;
}

void TotalsRecount::add(const JobRecord &record)
{
    const DayBounds &bounds = m_totals.bounds;
    const CallerKey caller{record.organisation, record.caller};
    if (bounds.contains(record.submittedUnixMs)) {
        ++m_totals.callers[caller].items.accepted;
    }
    const bool ended = isTerminal(record.state);
    if (ended && bounds.contains(record.endedUnixMs)) {
        countOutcome(m_totals.callers[caller].items, record.state);
    }
    const bool startedBefore = record.startedUnixMs > 0 && record.startedUnixMs < bounds.endUnixMs;
    if (startedBefore && (!ended || record.endedUnixMs >= bounds.endUnixMs)) {
        for (const TaskPlacement &placement : record.placements) {
            m_runningAtEnd.emplace(placement.worker, record.id);
        }
    }
}

void TotalsRecount::add(const RequestRecord &record)
{
    // A row without a claim only stores a late answer to an idempotent request, which its gateway counts.
    if (record.claimedUnixMs == 0) {
        return;
    }
    const DayBounds &bounds = m_totals.bounds;
    const CallerKey caller{record.organisation, record.caller};
    if (bounds.contains(record.claimedUnixMs)) {
        ++m_totals.callers[caller].items.accepted;
    }
    if (record.state == RequestState::Claimed) {
        if (record.claimedUnixMs < bounds.endUnixMs) {
            addMissing(
                fmt::format("the outcome of request {} of {}/{}", record.key, record.organisation, record.caller),
                std::max(m_nowUnixMs, record.startByUnixMs) + ClaimGraceMs);
        }
        return;
    }
    if (bounds.contains(record.endedUnixMs)) {
        countOutcome(m_totals.callers[caller].items, record.state);
    }
}

void TotalsRecount::add(const UsageRecord &record)
{
    if (record.day != m_totals.bounds.day || record.reportedUnixMs >= m_totals.bounds.endUnixMs) {
        m_reportedAfterEnd.insert(record.worker);
    }
    if (record.day != m_totals.bounds.day) {
        return;
    }
    const auto [entry, inserted] = m_usage.emplace(std::pair{record.worker, record.incarnation}, record);
    if (!inserted && entry->second.sequence < record.sequence) {
        entry->second = record;
    }
}

void TotalsRecount::addUnreadable(const std::string &key, const std::string &reason)
{
    addMissing(fmt::format("row {}, which cannot be read ({})", key, reason), 0);
}

DayTotals TotalsRecount::finish()
{
    for (const auto &[gateway, record] : m_counts) {
        for (const auto &[caller, counts] : record.counts) {
            m_totals.callers[caller].items += counts;
        }
    }
    for (const auto &[incarnation, record] : m_usage) {
        for (const auto &[caller, usage] : record.usage) {
            m_totals.callers[caller].usage.guaranteed += usage.guaranteed;
            m_totals.callers[caller].usage.borrowed += usage.borrowed;
        }
    }
    if (m_nowUnixMs < m_totals.bounds.endUnixMs + LateWriteGraceMs) {
        addMissing("data until the end of the day and writes that arrive shortly after it",
                   m_totals.bounds.endUnixMs + LateWriteGraceMs);
    }
    findMissingCounts();
    findMissingUsage();
    findCutOffInstances();
    return std::move(m_totals);
}

void TotalsRecount::findMissingCounts()
{
    for (const auto &[gateway, record] : m_counts) {
        if (record.closed) {
            continue;
        }
        const std::int64_t finalAt = std::max(m_totals.bounds.endUnixMs, record.flushedUnixMs);
        if (findInstance(gateway) != nullptr) {
            addMissing(fmt::format("the final counts of gateway {}", gateway),
                       std::max(m_nowUnixMs, finalAt) + LateWriteGraceMs);
        } else if (m_nowUnixMs < finalAt + LostGatewayGraceMs) {
            addMissing(fmt::format("counts that peers may hold for the lost gateway {}", gateway),
                       finalAt + LostGatewayGraceMs);
        }
    }
}

void TotalsRecount::findMissingUsage()
{
    for (const auto &[worker, job] : m_runningAtEnd) {
        if (m_reportedAfterEnd.count(worker) == 0) {
            addMissing(fmt::format("usage of worker {} up to the end of the day (job {})", worker, job),
                       std::max(m_nowUnixMs, m_totals.bounds.endUnixMs) + LateWriteGraceMs);
        }
    }
}

void TotalsRecount::findCutOffInstances()
{
    for (const InstanceView &instance : m_instances) {
        if (!instance.cutOff || instance.cutOffSinceUnixMs >= m_totals.bounds.endUnixMs + LateWriteGraceMs) {
            continue;
        }
        const auto row = m_counts.find(instance.member.instance);
        const bool closed = row != m_counts.end() && row->second.closed;
        if (instance.member.role == MemberRole::Gateway && !closed) {
            addMissing(fmt::format("counts of gateway {} in {}, which is cut off",
                                   instance.member.instance,
                                   instance.member.dataCentre),
                       0);
        } else if (instance.member.role == MemberRole::Scheduler) {
            addMissing(fmt::format("ended jobs and usage of data centre {}, where scheduler {} is cut off",
                                   instance.member.dataCentre,
                                   instance.member.instance),
                       0);
        }
    }
}

void TotalsRecount::addMissing(std::string what, std::int64_t expectedUnixMs)
{
    m_totals.missing.push_back({std::move(what), expectedUnixMs});
}

const InstanceView *TotalsRecount::findInstance(const InstanceId &instance) const
{
    const auto found = std::find_if(m_instances.begin(), m_instances.end(), [&](const InstanceView &view) {
        return view.member.instance == instance;
    });
    return found == m_instances.end() ? nullptr : &*found;
}

} // namespace coriander
