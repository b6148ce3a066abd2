#include "corianderscale/State/Totals.h"

#include "corianderscale/Support/Log.h"

#include <fmt/format.h>

#include <algorithm>

namespace coriander {

namespace {

/** Time in ms after the start deadline of a claim in which its outcome is expected; used for @c expectedUnixMs. */
constexpr std::int64_t ClaimSettlingMs = 60 * 1000;

void addTerminal(ItemCounts &items, JobState state)
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

void addTerminal(ItemCounts &items, RequestState state)
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
    const auto [known, inserted] = m_counts.emplace(record.gateway, record);
    if (inserted) {
        return;
    }
    for (const auto &[caller, counts] : record.counts) {
        known->second.counts[caller].mergeLarger(counts);
    }
    known->second.closed = known->second.closed || record.closed;
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
        addTerminal(m_totals.callers[caller].items, record.state);
    }
    const bool startedBefore = record.startedUnixMs > 0 && record.startedUnixMs < bounds.endUnixMs;
    if (startedBefore && (!ended || record.endedUnixMs >= bounds.endUnixMs)) {
        for (const TaskPlacement &placement : record.placements) {
            m_ranAtEnd.emplace(placement.worker, record.id);
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
            miss(fmt::format("the outcome of request {} of {}/{}", record.key, record.organisation, record.caller),
                 std::max(m_nowUnixMs, record.startByUnixMs) + ClaimSettlingMs);
        }
        return;
    }
    if (bounds.contains(record.endedUnixMs)) {
        addTerminal(m_totals.callers[caller].items, record.state);
    }
}

void TotalsRecount::add(const UsageRecord &record)
{
    if (record.day != m_totals.bounds.day || record.reportedUnixMs >= m_totals.bounds.endUnixMs) {
        m_reportedLater.insert(record.worker);
    }
    if (record.day != m_totals.bounds.day) {
        return;
    }
    const auto [known, inserted] = m_usage.emplace(std::pair{record.worker, record.incarnation}, record);
    if (!inserted && known->second.sequence < record.sequence) {
        known->second = record;
    }
}

void TotalsRecount::addUnreadable(const std::string &key, const std::string &reason)
{
    miss(fmt::format("row {}, which cannot be read ({})", key, reason), 0);
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
    if (m_nowUnixMs < m_totals.bounds.endUnixMs + SettlingMs) {
        miss("data until the end of the day and writes that arrive shortly after it",
             m_totals.bounds.endUnixMs + SettlingMs);
    }
    findMissingCounts();
    findMissingUsage();
    findCutOff();
    return std::move(m_totals);
}

void TotalsRecount::findMissingCounts()
{
    for (const auto &[gateway, record] : m_counts) {
        if (record.closed) {
            continue;
        }
        const std::int64_t settled = std::max(m_totals.bounds.endUnixMs, record.flushedUnixMs);
        if (findInstance(gateway) != nullptr) {
            miss(fmt::format("the final counts of gateway {}", gateway), std::max(m_nowUnixMs, settled) + SettlingMs);
        } else if (m_nowUnixMs < settled + GoneGatewayMs) {
            miss(fmt::format("counts that peers may hold for the lost gateway {}", gateway), settled + GoneGatewayMs);
        }
    }
}

void TotalsRecount::findMissingUsage()
{
    for (const auto &[worker, job] : m_ranAtEnd) {
        if (m_reportedLater.count(worker) == 0) {
            miss(fmt::format("usage of worker {} up to the end of the day (job {})", worker, job),
                 std::max(m_nowUnixMs, m_totals.bounds.endUnixMs) + SettlingMs);
        }
    }
}

void TotalsRecount::findCutOff()
{
    for (const InstanceView &instance : m_instances) {
        if (!instance.cutOff || instance.cutOffSinceUnixMs >= m_totals.bounds.endUnixMs + SettlingMs) {
            continue;
        }
        const auto row = m_counts.find(instance.member.instance);
        const bool closed = row != m_counts.end() && row->second.closed;
        if (instance.member.role == MemberRole::Gateway && !closed) {
            miss(fmt::format("counts of gateway {} in {}, which is cut off",
                             instance.member.instance,
                             instance.member.dataCentre),
                 0);
        } else if (instance.member.role == MemberRole::Scheduler) {
            miss(fmt::format("ended jobs and usage of data centre {}, where scheduler {} is cut off",
                             instance.member.dataCentre,
                             instance.member.instance),
                 0);
        }
    }
}

void TotalsRecount::miss(std::string what, std::int64_t expectedUnixMs)
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
