#pragma once

#include "corianderscale/Workflow/Records.h"
#include "corianderscale/Workflow/RowStore.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace coriander::workflow {

/** Timeouts and intervals of the election and of the owner's writes. */
struct TermTimes {
    /** Maximum time between two writes of the owner. Each heartbeat is a call to the store that costs money. */
    Duration heartbeatInterval = std::chrono::milliseconds(300);
    /** Time between two reads of the term by the other instances; @c followerDelay is added on VMs with few cores. */
    Duration readInterval = std::chrono::milliseconds(400);
    /** Added on VMs with few cores, so that stronger VMs take a free term first: to the time between two reads, and to
     * the time that the row must not change before the term is taken. */
    Duration followerDelay{};
    /** An owner that wrote nothing for this long is replaced. Longer than several heartbeats and one lost answer. */
    Duration silenceTimeout = std::chrono::milliseconds(1400);
    /** Minimum time between two writes of the owner, so that several changes share a write. */
    Duration minimumWriteInterval = std::chrono::milliseconds(25);
    /** Timeout of a read of the term. */
    Duration readTimeout = std::chrono::milliseconds(700);
    /** A write that is not answered within this time is sent once more, while the earlier calls go on. Half of
     * silenceTimeout, so that one lost answer does not cause a change of owner. */
    Duration resendAfter = std::chrono::milliseconds(700);
    /** Timeout of one sending of a write. A slow store answers after more than a second. */
    Duration writeTimeout = std::chrono::milliseconds(2800);
    /** A read that takes long shows that the owner's writes take long too: this many times the duration of the last
     * read is added to silenceTimeout. */
    int silencePerReadTime = 4;
    /** Pause after a failed call. */
    Duration retryAfter = std::chrono::milliseconds(150);
    /** An owner whose writes are not confirmed for this long gives up the term. */
    Duration confirmationTimeout = std::chrono::seconds(15);
};

/**
 * Elects the owner and orders its writes, both by means of one row, the row of the term.
 *
 * The writes form a chain: every write of the owner expects the version of the row that the owner's previous write
 * produced, and writes the row again. Therefore writes take effect in order, a delayed write never takes effect after a
 * later one, and no write takes effect after another instance took the term. A write without an answer is retried until
 * its outcome is known.
 *
 * An instance takes the term when it could read the row for TermTimes::silenceTimeout and the row did not change.
 *
 * Thread safety: only on the thread of the event loop.
 */
class TermChain
{
public:
    struct Hooks {
        /** This instance owns the term from now on. */
        std::function<void(Epoch)> won;
        /** This instance no longer owns the term; called inside step() or a completion. */
        std::function<void(const std::string &reason)> lost;
        /** Returns the next change to store, without the row of the term; no value if there is none. Its size must be
         * within the limits given. */
        std::function<std::optional<RowChange>(const ChangeLimits &)> nextChange;
        /** The last change that nextChange() returned is stored. */
        std::function<void()> changeStored;
        /** A write that was sent at @p sentAt confirmed that this instance owns the term. */
        std::function<void(MonotonicTime sentAt)> confirmed;
        /** Returns whether this instance may take the term. */
        std::function<bool()> mayTake;
        /** Returns whether the backlog of the owner is full, which its writes tell the others; no value while the
         * owner does not know its jobs. May be empty. */
        std::function<std::optional<bool>()> backlogFull;
    };

    /** @p instance has the form `node/process`. A term that an earlier process of the same node owns is taken like a
     * free one, because that process has ended. */
    TermChain(TermTimes times, Clock clock, InstanceId instance, RowStore &store, Hooks hooks);
    ~TermChain();
    TermChain(const TermChain &) = delete;
    TermChain &operator=(const TermChain &) = delete;

    /** Sends the calls that are due. Call several times a second, and when there is a change to store. */
    void step();

    /** Releases the term; changes that are not stored yet are left to the next owner. This instance does not take the
     * term again before resume(). */
    void release(const std::string &reason);
    void resume();

    /** A write of the row of the term that releases it, for an owner that cannot reach the store; another instance may
     * store it. No value if this instance does not own the term. */
    std::optional<RowChange> releaseForOthers() const;
    /** Ends the term because another instance stored releaseForOthers(). */
    void endReleasedTerm();

    /** Ends the term, if this instance owns it, because another instance is known to own a later one. */
    void endSupersededTerm();

    /** The epoch of the term if this instance owns it. */
    std::optional<Epoch> owned() const;

    /** Whether the backlog of the owner is full, as of its latest write that is known here. */
    bool backlogFull() const;

    /** Whether a release was requested and its write is not confirmed yet. */
    bool releasing() const;

private:
    enum class Role {
        Follower,
        /** The write that takes the term is not confirmed yet. */
        Taking,
        Owner,
        /** The write that releases the term is not confirmed yet. */
        Releasing,
    };

    void startRead();
    void finishRead(const std::optional<RowPage> &page);
    void observe(RowVersion version, const std::optional<TermRecord> &record);
    void takeTerm();
    void startWrite(RowChange change, bool hasHookRows);
    void sendWrite();
    /** Whether the current write may be sent, or sent once more, at @p now. */
    bool isWriteDue(MonotonicTime now) const;
    /** Handles the outcome of one sending of the write with the number @p write. */
    void finishWrite(std::uint64_t write, MonotonicTime sentAt, const ChangeResult &result);
    void writeStored(RowVersion version, MonotonicTime sentAt);
    void writeConflict(const std::vector<Row> &current, MonotonicTime sentAt);
    void endTerm(const std::string &reason);
    /** Whether an earlier process of this node holds the term. */
    bool heldByEarlierProcess() const;
    bool isOwnWrite(const std::vector<Row> &current, RowVersion &version) const;

    TermTimes m_times;
    Clock m_clock;
    InstanceId m_instance;
    RowStore &m_store;
    Hooks m_hooks;
    Role m_role = Role::Follower;
    bool m_readInFlight = false;
    MonotonicTime m_readSentAt;
    /** Duration of the last answered read. */
    Duration m_readTook{};
    MonotonicTime m_nextCallAt;
    /** The row of the term as last read or written. */
    RowVersion m_version;
    TermRecord m_record;
    /** Whether the row was read since this instance last became a follower; if not, m_unchangedSince is not valid. */
    bool m_termRowRead = false;
    bool m_readFailed = true;
    /** Since when the row has not changed and no read has failed. */
    MonotonicTime m_unchangedSince;
    /** The write whose outcome is not known yet. */
    std::optional<RowChange> m_write;
    /** Number of the current write; an answer to an earlier write is ignored. */
    std::uint64_t m_writeNumber = 0;
    /** Sendings of the current write that are not answered yet. */
    int m_sendingsInFlight = 0;
    MonotonicTime m_resendAt;
    /** Whether the write contains rows from Hooks::nextChange, in addition to the row of the term. */
    bool m_writeHasHookRows = false;
    MonotonicTime m_lastStoredAt;
    TermRecord m_writtenRecord;
    /** Whether it was logged that the outcome of the current write is not known. */
    bool m_openWriteLogged = false;
    bool m_paused = false;
    bool m_releaseWanted = false;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace coriander::workflow
