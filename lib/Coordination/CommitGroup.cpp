#include "corianderscale/Coordination/CommitGroup.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace coriander {

namespace {

/**
 * Maximum difference between the deadline of a part and that of the first part of its group. The group is tried only
 * until its earliest deadline.
 */
constexpr Duration MaximumDeadlineSpread = std::chrono::milliseconds(250);

/** Random bytes of the operation id of a joined transaction, before hexadecimal encoding. */
constexpr std::size_t OperationRandomBytes = 16;

/** Maximum bytes of keys and values in one group, far below the platform's message limit of 8 MiB. */
constexpr std::size_t MaximumGroupBytes = 1024 * 1024;

std::set<std::string> keysOf(const TableTransaction &transaction)
{
    std::set<std::string> keys(transaction.deletes.begin(), transaction.deletes.end());
    for (const TableCondition &condition : transaction.conditions) {
        keys.insert(condition.key);
    }
    for (const TablePut &put : transaction.puts) {
        keys.insert(put.key);
    }
    return keys;
}

std::size_t writesOf(const TableTransaction &transaction)
{
    return transaction.puts.size() + transaction.deletes.size();
}

std::size_t bytesOf(const TableTransaction &transaction)
{
    std::size_t bytes = 0;
    for (const TablePut &put : transaction.puts) {
        bytes += put.key.size() + put.value.size();
    }
    return bytes;
}

bool sharesKey(const std::set<std::string> &keys, const TableTransaction &transaction)
{
    const std::set<std::string> others = keysOf(transaction);
    return std::any_of(others.begin(), others.end(), [&](const std::string &key) { return keys.count(key) > 0; });
}

template<typename Item>
void append(std::vector<Item> &to, const std::vector<Item> &from)
{
    to.insert(to.end(), from.begin(), from.end());
}

} // namespace

bool CommitGroup::accepts(const CommitPart &part) const
{
    if (parts.empty()) {
        return true;
    }
    const Duration spread = std::chrono::abs(part.deadline - parts.front().deadline);
    return spread <= MaximumDeadlineSpread && writes + writesOf(part.transaction) <= MaximumTransactionWrites
        && bytes + bytesOf(part.transaction) <= MaximumGroupBytes && !sharesKey(keys, part.transaction);
}

void CommitGroup::add(CommitPart part)
{
    keys.merge(keysOf(part.transaction));
    writes += writesOf(part.transaction);
    bytes += bytesOf(part.transaction);
    parts.push_back(std::move(part));
}

MonotonicTime CommitGroup::deadline() const
{
    assert(!parts.empty() && "a group without parts has no deadline");
    return std::min_element(parts.begin(),
                            parts.end(),
                            [](const CommitPart &a, const CommitPart &b) { return a.deadline < b.deadline; })
        ->deadline;
}

TableTransaction CommitGroup::joined() const
{
    if (parts.size() == 1) {
        return parts.front().transaction;
    }
    TableTransaction joined;
    joined.operation = OperationId(randomHex(OperationRandomBytes));
    for (const CommitPart &part : parts) {
        append(joined.conditions, part.transaction.conditions);
        append(joined.puts, part.transaction.puts);
        append(joined.deletes, part.transaction.deletes);
    }
    return joined;
}

ConflictSplit splitConflicts(std::vector<CommitPart> parts, const std::vector<TableCondition> &conflicts)
{
    ConflictSplit split;
    for (CommitPart &part : parts) {
        TableTransactionResult result;
        for (const TableCondition &condition : part.transaction.conditions) {
            const auto found = std::find_if(conflicts.begin(), conflicts.end(), [&](const TableCondition &conflict) {
                return conflict.key == condition.key;
            });
            if (found != conflicts.end()) {
                result.conflicts.push_back(*found);
            }
        }
        if (result.conflicts.empty()) {
            split.unaffected.push_back(std::move(part));
        } else {
            split.refused.push_back({std::move(part), std::move(result)});
        }
    }
    return split;
}

CommitGatherer::CommitGatherer(Duration gatherTime)
    : m_gatherTime(gatherTime)
{
}

void CommitGatherer::add(CommitPart part, MonotonicTime now)
{
    // The part may only join a group after the last one that shares a key, so that writes to one row keep their order.
    auto firstCandidate = m_groups.end();
    while (firstCandidate != m_groups.begin() && !sharesKey(std::prev(firstCandidate)->keys, part.transaction)) {
        --firstCandidate;
    }
    for (auto group = firstCandidate; group != m_groups.end(); ++group) {
        if (group->accepts(part)) {
            group->add(std::move(part));
            return;
        }
    }
    CommitGroup group;
    group.closesAt = now + m_gatherTime;
    group.add(std::move(part));
    m_groups.push_back(std::move(group));
}

std::optional<CommitGroup> CommitGatherer::takeDue(MonotonicTime now)
{
    for (auto group = m_groups.begin(); group != m_groups.end(); ++group) {
        if (group->closesAt <= now || group->writes >= MaximumTransactionWrites) {
            CommitGroup taken = std::move(*group);
            m_groups.erase(group);
            return taken;
        }
    }
    return std::nullopt;
}

std::vector<CommitPart> CommitGatherer::takeAll()
{
    std::vector<CommitPart> parts;
    for (CommitGroup &group : m_groups) {
        std::move(group.parts.begin(), group.parts.end(), std::back_inserter(parts));
    }
    m_groups.clear();
    return parts;
}

MonotonicTime CommitGatherer::nextDue() const
{
    MonotonicTime due = NeverDue;
    for (const CommitGroup &group : m_groups) {
        due = std::min(due, group.writes >= MaximumTransactionWrites ? MonotonicTime() : group.closesAt);
    }
    return due;
}

std::size_t CommitGatherer::size() const
{
    std::size_t parts = 0;
    for (const CommitGroup &group : m_groups) {
        parts += group.parts.size();
    }
    return parts;
}

} // namespace coriander
