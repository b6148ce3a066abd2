#pragma once

#include "corianderscale/Coordination/Store.h"

#include <cstddef>
#include <list>
#include <optional>
#include <set>
#include <vector>

namespace coriander {

/** The transaction of one caller inside a group. */
struct CommitPart {
    TableTransaction transaction;
    MonotonicTime deadline;
    CommitDone done;
};

/** Transactions that are written to the table as one transaction. */
struct CommitGroup {
    std::vector<CommitPart> parts;
    std::set<std::string> keys;
    std::size_t writes = 0;
    std::size_t bytes = 0;
    /** Latest time at which the group is sent. */
    MonotonicTime closesAt;

    /**
     * Whether @p part can join the group: it shares no key with the group, the size limits hold, and its deadline is
     * close to that of the group, so that a short deadline does not end the tries of the other parts early.
     */
    bool accepts(const CommitPart &part) const;
    void add(CommitPart part);
    /** Earliest deadline of the parts. Precondition: the group has a part. */
    MonotonicTime deadline() const;
    /**
     * Joins all parts into one transaction. A group of one part keeps the operation id of the part, so that the table
     * recognises an operation that the caller repeats; a larger group gets a new id.
     */
    TableTransaction joined() const;
};

/**
 * The parts of a joined transaction that the table refused. A part whose own conditions are among the
 * conflicts gets those conflicts as its result. The other parts were refused only because of it and must be written
 * again.
 */
struct ConflictSplit {
    struct Refused {
        CommitPart part;
        TableTransactionResult result;
    };
    std::vector<Refused> refused;
    std::vector<CommitPart> unaffected;
};

ConflictSplit splitConflicts(std::vector<CommitPart> parts, const std::vector<TableCondition> &conflicts);

/**
 * Collects transactions for a short time into groups of at most MaximumTransactionWrites writes.
 *
 * A part that shares a key with an open group goes into a later group, so that writes to one row keep their order.
 * Thread safety: not thread safe; the owner serialises access.
 */
class CommitGatherer
{
public:
    /** @p gatherTime is how long a group stays open for further parts after its first part. */
    explicit CommitGatherer(Duration gatherTime);

    void add(CommitPart part, MonotonicTime now);

    /** Removes and returns the oldest group that is full or whose gather time has passed. */
    std::optional<CommitGroup> takeDue(MonotonicTime now);

    /** Removes and returns all parts. */
    std::vector<CommitPart> takeAll();

    /** When takeDue() will next return a group; NeverDue without parts. */
    MonotonicTime nextDue() const;

    /** Number of parts waiting. */
    std::size_t size() const;

private:
    Duration m_gatherTime;
    std::list<CommitGroup> m_groups;
};

} // namespace coriander
