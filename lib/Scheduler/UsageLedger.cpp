#include "corianderscale/Scheduler/UsageLedger.h"

#include <algorithm>
#include <utility>

namespace coriander {

namespace {

constexpr std::size_t OperationIdBytes = 16;
/** Delay before a write with an unknown outcome is retried. */
constexpr Duration RetryInterval = std::chrono::milliseconds(500);
/**
 * A report's usage is attributed to at most this time before the report, so that it stays out of day rows that a new
 * owner does not read. A new owner reads the rows of three days.
 */
constexpr Duration MaximumReportSpan = std::chrono::hours(24);
/** Rows of days before the last two are complete and are dropped from memory. */
constexpr std::size_t DaysInMemory = 2;

UsageTotals difference(const UsageTotals &later, const UsageTotals &earlier)
{
    return {std::max<std::int64_t>(0, later.acceleratorMs - earlier.acceleratorMs),
            std::max<std::int64_t>(0, later.coreMs - earlier.coreMs),
            std::max<std::int64_t>(0, later.memoryMibMs - earlier.memoryMibMs)};
}

std::int64_t proportionalShare(std::int64_t amount, Duration part, Duration whole)
{
    const double ratio = static_cast<double>(part.count()) / static_cast<double>(whole.count());
    return static_cast<std::int64_t>(static_cast<double>(amount) * ratio);
}

UsageTotals proportionalShare(const UsageTotals &amount, Duration part, Duration whole)
{
    return {proportionalShare(amount.acceleratorMs, part, whole),
            proportionalShare(amount.coreMs, part, whole),
            proportionalShare(amount.memoryMibMs, part, whole)};
}

} // namespace

UsageLedger::UsageLedger(DataCentreId dataCentre, CivilDays days, Duration interval)
    : m_dataCentre(std::move(dataCentre))
    , m_days(std::move(days))
    , m_writeInterval(interval)
{
}

UsageLedger::IncarnationRows &UsageLedger::rowsOf(const WorkerId &worker, const InstanceId &incarnation)
{
    IncarnationRows &rows = m_rows[worker][incarnation];
    rows.worker = worker;
    rows.incarnation = incarnation;
    return rows;
}

void UsageLedger::restore(const UsageRecord &row, RowVersion version)
{
    IncarnationRows &rows = rowsOf(row.worker, row.incarnation);
    DayRow &day = rows.days[row.day];
    day.usage = row.usage;
    day.version = version;
    rows.sequence = std::max(rows.sequence, row.sequence);
    for (const CountedTask &item : row.tasks) {
        OpenTask &task = m_tasks[item.task];
        if (!task.worker.empty() && task.sequence >= item.sequence && !task.incarnation.empty()) {
            continue;
        }
        task.worker = row.worker;
        task.incarnation = row.incarnation;
        task.caller = item.caller;
        task.guaranteed = item.guaranteed;
        task.sequence = item.sequence;
        task.counted = item.counted;
        task.countedAt = fromUnixMs(row.reportedUnixMs);
    }
}

void UsageLedger::openTask(const TaskId &task,
                           const WorkerId &worker,
                           const InstanceId &incarnation,
                           const CallerKey &caller,
                           bool guaranteed,
                           WallTime now)
{
    OpenTask item;
    item.worker = worker;
    item.incarnation = incarnation;
    item.caller = caller;
    item.guaranteed = guaranteed;
    item.countedAt = now;
    m_tasks.emplace(task, std::move(item));
}

bool UsageLedger::countReport(const WorkerId &worker,
                              const InstanceId &incarnation,
                              const TaskReport &report,
                              WallTime now)
{
    const auto found = m_tasks.find(report.task);
    if (found == m_tasks.end()) {
        return false;
    }
    OpenTask &task = found->second;
    const bool otherIncarnation = !task.incarnation.empty() && task.incarnation != incarnation;
    if (task.worker != worker || otherIncarnation || report.sequence <= task.sequence) {
        return true;
    }
    const UsageTotals total{report.acceleratorMs, report.coreMs, report.memoryMibMs};
    IncarnationRows &rows = rowsOf(worker, incarnation);
    // Rows of days that a new owner does not read must not be written again.
    const WallTime from = std::max(task.countedAt, now - MaximumReportSpan);
    addToDays(rows, task, difference(total, task.counted), from, now);
    task.incarnation = incarnation;
    task.sequence = report.sequence;
    task.counted = total;
    task.countedAt = std::max(task.countedAt, now);
    rows.sequence = std::max(rows.sequence, report.sequence);
    return true;
}

void UsageLedger::markForWrite(const TaskId &task, WallTime now)
{
    const auto found = m_tasks.find(task);
    if (found != m_tasks.end() && !found->second.incarnation.empty()) {
        markDirty(rowsOf(found->second.worker, found->second.incarnation), m_days.dayOf(now));
    }
}

void UsageLedger::markDirty(IncarnationRows &rows, const std::string &day)
{
    rows.days[day].dirty = true;
    rows.revision = ++m_revision;
}

void UsageLedger::addToDays(
    IncarnationRows &rows, const OpenTask &task, const UsageTotals &added, WallTime from, WallTime to)
{
    const std::vector<DayPart> parts = m_days.split(from, to);
    UsageTotals remaining = added;
    for (std::size_t index = 0; index < parts.size(); ++index) {
        const bool last = index + 1 == parts.size();
        const UsageTotals part = last ? remaining : proportionalShare(added, parts[index].length, to - from);
        remaining = difference(remaining, part);
        CallerUsage &usage = rows.days[parts[index].day].usage[task.caller];
        (task.guaranteed ? usage.guaranteed : usage.borrowed) += part;
        markDirty(rows, parts[index].day);
    }
}

void UsageLedger::closeTask(const TaskId &task)
{
    m_tasks.erase(task);
}

void UsageLedger::closeOtherIncarnations(const WorkerId &worker, const InstanceId &incarnation)
{
    std::erase_if(m_tasks, [&](const auto &item) {
        const OpenTask &task = item.second;
        return task.worker == worker && !task.incarnation.empty() && task.incarnation != incarnation;
    });
    const auto incarnations = m_rows.find(worker);
    if (incarnations == m_rows.end()) {
        return;
    }
    std::erase_if(incarnations->second, [&](const auto &item) {
        const IncarnationRows &rows = item.second;
        return item.first != incarnation && !rows.pending && rows.writtenRevision >= rows.revision;
    });
}

UsageTotals UsageLedger::countedUsage(const TaskId &task) const
{
    const auto found = m_tasks.find(task);
    return found == m_tasks.end() ? UsageTotals() : found->second.counted;
}

bool UsageLedger::isWritten(const WorkerId &worker, std::int64_t revision) const
{
    const auto incarnations = m_rows.find(worker);
    return incarnations == m_rows.end()
        || std::all_of(incarnations->second.begin(), incarnations->second.end(), [revision](const auto &item) {
               const IncarnationRows &rows = item.second;
               return rows.writtenRevision >= rows.revision || rows.writtenRevision >= revision;
           });
}

void UsageLedger::requestWrite(const WorkerId &worker)
{
    if (const auto incarnations = m_rows.find(worker); incarnations != m_rows.end()) {
        for (auto &[incarnation, rows] : incarnations->second) {
            rows.writeRequested = true;
        }
    }
}

bool UsageLedger::isDue(const IncarnationRows &rows, MonotonicTime now) const
{
    if (rows.inFlight) {
        return false;
    }
    if (rows.pending) {
        return rows.nextWrite <= now;
    }
    return rows.writtenRevision < rows.revision && (rows.writeRequested || rows.nextWrite <= now);
}

std::vector<StoreWrite> UsageLedger::takeWrites(MonotonicTime now, WallTime wallNow)
{
    std::vector<StoreWrite> writes;
    for (auto &[worker, incarnations] : m_rows) {
        for (auto &[incarnation, rows] : incarnations) {
            if (!isDue(rows, now)) {
                continue;
            }
            if (!rows.pending) {
                rows.pending = makeWrite(rows, wallNow);
            }
            rows.inFlight = true;
            writes.push_back(*rows.pending);
        }
    }
    return writes;
}

StoreWrite UsageLedger::makeWrite(IncarnationRows &rows, WallTime wallNow)
{
    StoreWrite write;
    write.kind = StoreWrite::Kind::Usage;
    write.subject = rows.worker.value() + "/" + rows.incarnation.value();
    write.transaction.operation = OperationId(randomHex(OperationIdBytes));
    rows.pendingDays.clear();
    for (auto &[name, day] : rows.days) {
        if (!day.dirty) {
            continue;
        }
        const UsageRecord row = makeRow(rows, name, day, wallNow);
        write.transaction.conditions.push_back({usageRowKey(row), day.version});
        write.transaction.puts.push_back({usageRowKey(row), encodeMessage(row)});
        rows.pendingDays.push_back(name);
        day.dirty = false;
    }
    rows.pendingRevision = m_revision;
    rows.writeRequested = false;
    return write;
}

UsageRecord UsageLedger::makeRow(const IncarnationRows &rows,
                                 const std::string &day,
                                 const DayRow &row,
                                 WallTime wallNow) const
{
    UsageRecord record;
    record.day = day;
    record.dataCentre = m_dataCentre;
    record.worker = rows.worker;
    record.incarnation = rows.incarnation;
    record.sequence = rows.sequence;
    record.usage = row.usage;
    record.reportedUnixMs = toUnixMs(wallNow);
    for (const auto &[id, task] : m_tasks) {
        if (task.worker == rows.worker && task.incarnation == rows.incarnation) {
            record.tasks.push_back({id, task.caller, task.guaranteed, task.sequence, task.counted});
        }
    }
    return record;
}

bool UsageLedger::handleWriteResult(const std::string &subject,
                                    WriteOutcome outcome,
                                    RowVersion version,
                                    MonotonicTime now)
{
    const std::size_t split = subject.find('/');
    const auto incarnations = m_rows.find(WorkerId(subject.substr(0, split)));
    if (split == std::string::npos || incarnations == m_rows.end()) {
        return true;
    }
    const auto found = incarnations->second.find(InstanceId(subject.substr(split + 1)));
    if (found == incarnations->second.end() || !found->second.pending) {
        return true;
    }
    IncarnationRows &rows = found->second;
    rows.inFlight = false;
    if (outcome == WriteOutcome::Unknown) {
        rows.nextWrite = now + RetryInterval;
        return true;
    }
    rows.pending.reset();
    if (outcome == WriteOutcome::Conflict) {
        return false;
    }
    for (const std::string &day : rows.pendingDays) {
        rows.days[day].version = version;
    }
    rows.writtenRevision = rows.pendingRevision;
    rows.nextWrite = now + m_writeInterval;
    while (rows.days.size() > DaysInMemory && !rows.days.begin()->second.dirty) {
        rows.days.erase(rows.days.begin());
    }
    return true;
}

MonotonicTime UsageLedger::nextDue() const
{
    MonotonicTime due = NeverDue;
    for (const auto &[worker, incarnations] : m_rows) {
        for (const auto &[incarnation, rows] : incarnations) {
            if (!rows.inFlight && (rows.pending || rows.writtenRevision < rows.revision)) {
                due = std::min(due, rows.nextWrite);
            }
        }
    }
    return due;
}

} // namespace coriander
