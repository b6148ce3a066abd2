#include "corianderscale/Scheduler/UsageLedger.h"

#include <algorithm>
#include <utility>

namespace coriander {

namespace {

constexpr std::size_t OperationRandomBytes = 16;
/** Delay before a write with an unknown outcome is retried. */
constexpr Duration RetryInterval = std::chrono::milliseconds(500);
/**
 * A report's usage is attributed to at most this time before the report, so that it stays out of day rows that a new
 * owner does not read. A new owner reads the rows of three days.
 */
constexpr Duration MaximumSplit = std::chrono::hours(24);
/** Rows of days before the last two are complete and are dropped from memory. */
constexpr std::size_t KeptDays = 2;

UsageTotals difference(const UsageTotals &later, const UsageTotals &earlier)
{
    return {std::max<std::int64_t>(0, later.acceleratorMs - earlier.acceleratorMs),
            std::max<std::int64_t>(0, later.coreMs - earlier.coreMs),
            std::max<std::int64_t>(0, later.memoryMibMs - earlier.memoryMibMs)};
}

std::int64_t share(std::int64_t amount, Duration part, Duration whole)
{
    const double ratio = static_cast<double>(part.count()) / static_cast<double>(whole.count());
    return static_cast<std::int64_t>(static_cast<double>(amount) * ratio);
}

UsageTotals share(const UsageTotals &amount, Duration part, Duration whole)
{
    return {share(amount.acceleratorMs, part, whole),
            share(amount.coreMs, part, whole),
            share(amount.memoryMibMs, part, whole)};
}

} // namespace

UsageLedger::UsageLedger(DataCentreId dataCentre, CivilDays days, Duration interval)
    : m_dataCentre(std::move(dataCentre))
    , m_days(std::move(days))
    , m_interval(interval)
{
}

UsageLedger::Unit &UsageLedger::unitOf(const WorkerId &worker, const InstanceId &incarnation)
{
    Unit &unit = m_units[worker][incarnation];
    unit.worker = worker;
    unit.incarnation = incarnation;
    return unit;
}

void UsageLedger::restore(const UsageRecord &row, RowVersion version)
{
    Unit &unit = unitOf(row.worker, row.incarnation);
    DayRow &day = unit.days[row.day];
    day.usage = row.usage;
    day.version = version;
    unit.sequence = std::max(unit.sequence, row.sequence);
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

void UsageLedger::open(const TaskId &task,
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

bool UsageLedger::count(const WorkerId &worker, const InstanceId &incarnation, const TaskReport &report, WallTime now)
{
    const auto found = m_tasks.find(report.task);
    if (found == m_tasks.end()) {
        return false;
    }
    OpenTask &task = found->second;
    const bool otherRun = !task.incarnation.empty() && task.incarnation != incarnation;
    if (task.worker != worker || otherRun || report.sequence <= task.sequence) {
        return true;
    }
    const UsageTotals total{report.acceleratorMs, report.coreMs, report.memoryMibMs};
    Unit &unit = unitOf(worker, incarnation);
    // Rows of days that a new owner does not read must not be written again.
    const WallTime from = std::max(task.countedAt, now - MaximumSplit);
    addToDays(unit, task, difference(total, task.counted), from, now);
    task.incarnation = incarnation;
    task.sequence = report.sequence;
    task.counted = total;
    task.countedAt = std::max(task.countedAt, now);
    unit.sequence = std::max(unit.sequence, report.sequence);
    return true;
}

void UsageLedger::keep(const TaskId &task, WallTime now)
{
    const auto found = m_tasks.find(task);
    if (found != m_tasks.end() && !found->second.incarnation.empty()) {
        touch(unitOf(found->second.worker, found->second.incarnation), m_days.dayOf(now));
    }
}

void UsageLedger::touch(Unit &unit, const std::string &day)
{
    unit.days[day].dirty = true;
    unit.revision = ++m_changes;
}

void UsageLedger::addToDays(Unit &unit, const OpenTask &task, const UsageTotals &added, WallTime from, WallTime to)
{
    const std::vector<DayPart> parts = m_days.split(from, to);
    UsageTotals left = added;
    for (std::size_t index = 0; index < parts.size(); ++index) {
        const bool last = index + 1 == parts.size();
        const UsageTotals part = last ? left : share(added, parts[index].length, to - from);
        left = difference(left, part);
        CallerUsage &usage = unit.days[parts[index].day].usage[task.caller];
        (task.guaranteed ? usage.guaranteed : usage.borrowed) += part;
        touch(unit, parts[index].day);
    }
}

void UsageLedger::close(const TaskId &task)
{
    m_tasks.erase(task);
}

void UsageLedger::closeOlder(const WorkerId &worker, const InstanceId &incarnation)
{
    std::erase_if(m_tasks, [&](const auto &item) {
        const OpenTask &task = item.second;
        return task.worker == worker && !task.incarnation.empty() && task.incarnation != incarnation;
    });
    const auto units = m_units.find(worker);
    if (units == m_units.end()) {
        return;
    }
    std::erase_if(units->second, [&](const auto &item) {
        const Unit &unit = item.second;
        return item.first != incarnation && !unit.pending && unit.writtenRevision >= unit.revision;
    });
}

UsageTotals UsageLedger::counted(const TaskId &task) const
{
    const auto found = m_tasks.find(task);
    return found == m_tasks.end() ? UsageTotals() : found->second.counted;
}

bool UsageLedger::isWritten(const WorkerId &worker, std::int64_t revision) const
{
    const auto units = m_units.find(worker);
    return units == m_units.end()
        || std::all_of(units->second.begin(), units->second.end(), [revision](const auto &item) {
               const Unit &unit = item.second;
               return unit.writtenRevision >= unit.revision || unit.writtenRevision >= revision;
           });
}

void UsageLedger::hurry(const WorkerId &worker)
{
    if (const auto units = m_units.find(worker); units != m_units.end()) {
        for (auto &[incarnation, unit] : units->second) {
            unit.hurried = true;
        }
    }
}

bool UsageLedger::isDue(const Unit &unit, MonotonicTime now) const
{
    if (unit.inFlight) {
        return false;
    }
    if (unit.pending) {
        return unit.nextWrite <= now;
    }
    return unit.writtenRevision < unit.revision && (unit.hurried || unit.nextWrite <= now);
}

std::vector<StoreWrite> UsageLedger::takeWrites(MonotonicTime now, WallTime wallNow)
{
    std::vector<StoreWrite> writes;
    for (auto &[worker, units] : m_units) {
        for (auto &[incarnation, unit] : units) {
            if (!isDue(unit, now)) {
                continue;
            }
            if (!unit.pending) {
                unit.pending = makeWrite(unit, wallNow);
            }
            unit.inFlight = true;
            writes.push_back(*unit.pending);
        }
    }
    return writes;
}

StoreWrite UsageLedger::makeWrite(Unit &unit, WallTime wallNow)
{
    StoreWrite write;
    write.kind = StoreWrite::Kind::Usage;
    write.unit = unit.worker.value() + "/" + unit.incarnation.value();
    write.transaction.operation = OperationId(randomHex(OperationRandomBytes));
    unit.pendingDays.clear();
    for (auto &[name, day] : unit.days) {
        if (!day.dirty) {
            continue;
        }
        const UsageRecord row = makeRow(unit, name, day, wallNow);
        write.transaction.conditions.push_back({usageRowKey(row), day.version});
        write.transaction.puts.push_back({usageRowKey(row), encodeMessage(row)});
        unit.pendingDays.push_back(name);
        day.dirty = false;
    }
    unit.pendingRevision = m_changes;
    unit.hurried = false;
    return write;
}

UsageRecord UsageLedger::makeRow(const Unit &unit, const std::string &day, const DayRow &row, WallTime wallNow) const
{
    UsageRecord record;
    record.day = day;
    record.dataCentre = m_dataCentre;
    record.worker = unit.worker;
    record.incarnation = unit.incarnation;
    record.sequence = unit.sequence;
    record.usage = row.usage;
    record.reportedUnixMs = toUnixMs(wallNow);
    for (const auto &[id, task] : m_tasks) {
        if (task.worker == unit.worker && task.incarnation == unit.incarnation) {
            record.tasks.push_back({id, task.caller, task.guaranteed, task.sequence, task.counted});
        }
    }
    return record;
}

bool UsageLedger::written(const std::string &name, WriteOutcome outcome, RowVersion version, MonotonicTime now)
{
    const std::size_t split = name.find('/');
    const auto units = m_units.find(WorkerId(name.substr(0, split)));
    if (split == std::string::npos || units == m_units.end()) {
        return true;
    }
    const auto found = units->second.find(InstanceId(name.substr(split + 1)));
    if (found == units->second.end() || !found->second.pending) {
        return true;
    }
    Unit &unit = found->second;
    unit.inFlight = false;
    if (outcome == WriteOutcome::Unknown) {
        unit.nextWrite = now + RetryInterval;
        return true;
    }
    unit.pending.reset();
    if (outcome == WriteOutcome::Conflict) {
        return false;
    }
    for (const std::string &day : unit.pendingDays) {
        unit.days[day].version = version;
    }
    unit.writtenRevision = unit.pendingRevision;
    unit.nextWrite = now + m_interval;
    while (unit.days.size() > KeptDays && !unit.days.begin()->second.dirty) {
        unit.days.erase(unit.days.begin());
    }
    return true;
}

MonotonicTime UsageLedger::nextDue() const
{
    MonotonicTime due = NeverDue;
    for (const auto &[worker, units] : m_units) {
        for (const auto &[incarnation, unit] : units) {
            if (!unit.inFlight && (unit.pending || unit.writtenRevision < unit.revision)) {
                due = std::min(due, unit.nextWrite);
            }
        }
    }
    return due;
}

} // namespace coriander
