#pragma once

#include "corianderscale/Coordination/Store.h"

#include <cstddef>
#include <list>
#include <optional>
#include <set>
#include <vector>

namespace coriander {

/** One caller's transaction inside a group. */
struct CommitPart {
    TableTransaction transaction;
    MonotonicTime deadline;
    CommitDone done;
};

/** Transactions that are written together. */
struct CommitGroup {
    std::vector<CommitPart> parts;
    std::set<std::string> keys;
    std::size_t writes = 0;
    std::size_t bytes = 0;
    /** When the group is closed at the latest. */
    MonotonicTime closesAt;

    /**
     * Whether @p part has no key in common with the group, fits into it and has a deadline close to the group's, so
     * that a short deadline does not cut the others' tries off.
     */
    bool accepts(const CommitPart &part) const;
    void add(CommitPart part);
    /** Earliest deadline of the parts. Precondition: the group has a part. */
    MonotonicTime deadline() const;
    /**
     * All parts as one transaction. A group of one keeps the part's operation id, so that a caller's repeated
     * operation is recognised by the table; others get a new one.
     */
    TableTransaction joined() const;
};

/**
 * Parts whose own conditions are named in the conflicts of a joined transaction get that as their result; the rest
 * was refused only because of them and must be written again.
 */
struct ConflictSplit {
    struct Refused {
        CommitPart part;
        TableTransactionResult result;
    };
    std::vector<Refused> refused;
    std::vector<CommitPart> rest;
};

ConflictSplit splitConflicts(std::vector<CommitPart> parts, const std::vector<TableCondition> &conflicts);

/**
 * Gathers transactions for a short time into groups of at most MaximumTransactionWrites writes.
 *
 * A part that has a key in common with an open group goes to a later one, so writes to one row keep their order.
 * Thread safety: not thread safe; the owner serialises access.
 */
class CommitGatherer
{
public:
    /** @p gatherTime is how long the first part of a group waits for others. */
    explicit CommitGatherer(Duration gatherTime);

    void add(CommitPart part, MonotonicTime now);

    /** Removes and returns the oldest group that is full or due. */
    std::optional<CommitGroup> takeDue(MonotonicTime now);

    /** Removes and returns all parts. */
    std::vector<CommitPart> takeAll();

    /** When takeDue() has something to return; NeverDue without parts. */
    MonotonicTime nextDue() const;

    /** Number of parts waiting. */
    std::size_t size() const;

private:
    Duration m_gatherTime;
    std::list<CommitGroup> m_groups;
};

} // namespace coriander
