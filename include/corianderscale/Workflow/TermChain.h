#pragma once

#include "corianderscale/Workflow/Records.h"
#include "corianderscale/Workflow/RowStore.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace coriander::workflow {

/** Times of the election and of the owner's writes. */
struct TermTimes {
    /** The owner writes at least this often; a call a heartbeat is priced. */
    Duration heartbeatEvery = std::chrono::milliseconds(300);
    /** How often the others read the term; a weak VM, which does not take it first, reads it more rarely. */
    Duration readEvery = std::chrono::milliseconds(400);
    /** A weak VM leaves a free term to stronger ones for this long, and reads it this much later each time. */
    Duration handicap{};
    /** An owner that wrote nothing for this long is replaced; several heartbeats, and one lost answer. */
    Duration silentTime = std::chrono::milliseconds(1400);
    /** Least time between two writes of the owner; lets changes share a write. */
    Duration writePause = std::chrono::milliseconds(25);
    /**
     * How long one call may take; half of silentTime, so that one lost answer does not change the owner. A slow store
     * may take longer, see KNOWN-RED.txt.
     */
    Duration callLimit = std::chrono::milliseconds(700);
    /** Pause after a call that failed. */
    Duration retryAfter = std::chrono::milliseconds(150);
    /** An owner whose writes are not confirmed for this long gives up the term. */
    Duration surrenderAfter = std::chrono::seconds(15);
};

/**
 * Election of the owner and the order of its writes, both by one row.
 *
 * Every write of an owner expects the version of the row that its last write left, and writes the row again. So writes
 * take effect in order, a delayed one never after a later one, and none after another instance took the term. A write
 * without an answer is sent again until it is known whether it took effect.
 *
 * An instance takes the term when the row did not change for TermTimes::silentTime while it could be read.
 *
 * Thread safety: only on the thread of the event loop.
 */
class TermChain
{
public:
    struct Hooks {
        /** This instance owns the term from now on. */
        std::function<void(Epoch)> won;
        /** It owns the term no more; called inside step() or a completion. */
        std::function<void(const std::string &reason)> lost;
        /** The next change to store, without the row of the term; empty when there is nothing to store. */
        std::function<std::optional<RowChange>()> nextChange;
        /** The change that nextChange() returned last is stored. */
        std::function<void()> changeStored;
        /** A write that was sent at the given time confirmed the term. */
        std::function<void(MonotonicTime sentAt)> confirmed;
        /** Whether this instance may take the term. */
        std::function<bool()> mayTake;
    };

    /** @p instance is `node/run`: an earlier run of the same node is over, so its term is taken at once. */
    TermChain(TermTimes times, Clock clock, InstanceId instance, RowStore &store, Hooks hooks);
    ~TermChain();
    TermChain(const TermChain &) = delete;
    TermChain &operator=(const TermChain &) = delete;

    /** Sends what is due. Call several times a second, and when there is a change to store. */
    void step();

    /** Hands the term back; what is not stored yet is left to the next owner. This instance takes it no more until
     * resume(). */
    void release(const std::string &reason);
    void resume();

    /** Gives the term up because another instance was seen to own it. */
    void superseded();

    /** The epoch of the term that this instance owns. */
    std::optional<Epoch> owned() const;

    /** Whether a release is still to be written. */
    bool releasing() const;

private:
    enum class Role {
        Follower,
        /** The write that takes the term has no answer yet. */
        Taking,
        Owner,
        /** The write that hands the term back has no answer yet. */
        Releasing,
    };

    void startRead();
    void finishRead(const std::optional<RowPage> &page);
    void observe(RowVersion version, const std::optional<TermRecord> &record);
    void take();
    void startWrite(RowChange change, bool hasChange);
    void send();
    void finishWrite(const ChangeResult &result);
    void writeStored(RowVersion version);
    void writeConflict(const std::vector<Row> &current);
    void endTerm(const std::string &reason);
    bool heldByEarlierRun() const;
    bool isOwnWrite(const std::vector<Row> &current, RowVersion &version) const;

    TermTimes m_times;
    Clock m_clock;
    InstanceId m_instance;
    RowStore &m_store;
    Hooks m_hooks;
    Role m_role = Role::Follower;
    bool m_callInFlight = false;
    MonotonicTime m_nextCallAt;
    /** The row as it was last seen or written. */
    RowVersion m_version;
    TermRecord m_record;
    bool m_seen = false;
    bool m_readFailed = true;
    /** Since when the row was seen unchanged without a failed read. */
    MonotonicTime m_unchangedSince;
    /** The write that has no answer yet. */
    std::optional<RowChange> m_write;
    bool m_writeHasChange = false;
    MonotonicTime m_writeSentAt;
    MonotonicTime m_lastStoredAt;
    TermRecord m_written;
    /** Whether it was logged that the present write has no answer. */
    bool m_openLogged = false;
    bool m_paused = false;
    bool m_releaseWanted = false;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace coriander::workflow
