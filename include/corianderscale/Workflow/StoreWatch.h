#pragma once

#include "corianderscale/Support/Time.h"
#include "corianderscale/Workflow/RowStore.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace coriander::workflow {

/** What recent calls show about the store, as seen from this instance. */
enum class StoreReach {
    Reachable,
    /** Calls are answered, but late. */
    Slow,
    Unreachable,
};

const char *storeReachName(StoreReach reach);

/**
 * Passes calls on to a store and derives from their outcomes whether this instance reaches it.
 *
 * Thread safety: only on the thread of the event loop. Completions that arrive after destruction are not counted.
 */
class StoreWatch : public RowStore
{
public:
    struct Settings {
        /** An answer that takes longer shows that the store is slow; an idle one answers within 10 ms. */
        Duration slowAnswer = std::chrono::milliseconds(100);
        /** A call without an answer for this long counts as failed before its own timeout. */
        Duration overdueAfter = std::chrono::milliseconds(400);
        /** While the store is slow, a call is overdue after this many times the duration of the last answer. */
        int overduePerAnswerTime = 5;
        /** Number of failed calls in a row that show that the store is unreachable; one answer may be lost. */
        int failuresForUnreachable = 2;
    };

    /** Called when the store becomes unreachable, with the reason of the last failure, or reachable again. */
    using Changed = std::function<void(bool reachable, const std::string &reason)>;

    /** @p store must outlive this object. */
    StoreWatch(Settings settings, Clock clock, RowStore &store, Changed changed);

    void change(RowChange change, Duration limit, ChangeDone done) override;
    void read(const std::string &table,
              const std::string &from,
              const std::string &to,
              Duration limit,
              PageDone done) override;
    void follow(const std::string &table, RowVersion after, Duration wait, Duration limit, PageDone done) override;

    StoreReach reach() const;
    /** Since when the store has been unreachable; no value while it is reachable. */
    std::optional<MonotonicTime> unreachableSince() const;

private:
    /** Records an outcome; @p waited is the time that the store was asked to wait. */
    void record(MonotonicTime sentAt, bool answered, Duration waited, const std::string &reason);
    void begin(MonotonicTime sentAt);
    bool isOverdue(MonotonicTime now) const;

    Settings m_settings;
    Clock m_clock;
    RowStore &m_store;
    Changed m_changed;
    /** When the calls without an answer were sent, except those that wait for changes. */
    std::multiset<MonotonicTime> m_inFlight;
    /** When the last answered call was sent; failures of earlier calls are ignored. */
    MonotonicTime m_lastAnsweredSentAt;
    Duration m_lastAnswerTook{};
    int m_failuresInRow = 0;
    MonotonicTime m_firstFailureAt = NeverDue;
    bool m_reportedUnreachable = false;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace coriander::workflow
