#pragma once

#include "corianderscale/Workflow/RowStore.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Workflow/FakeWorkers.h"

namespace coriander::workflow {

/** Keeps rows in memory; a test sets how calls fail. */
class FakeRowStore : public RowStore
{
public:
    explicit FakeRowStore(Timeline &timeline, std::uint32_t seed = 1)
        : m_timeline(timeline)
        , m_random(seed)
    {
    }

    /** Share of writes that take effect and are not answered, from 0 to 1. */
    double responseLossProbability = 0;
    /** Share of writes that are not answered and take effect 1 to 6 s later, if the expected versions match then. */
    double delayedProbability = 0;
    /** Share of writes that never arrive. */
    double requestLost = 0;
    /** Whether the store refuses all calls. */
    bool isUnreachable = false;
    /** Tables whose reads and feeds are not answered, as on connections that went silent without a reset. Such calls
     * fail when their limit is over. */
    std::set<std::string> silentTables;
    /** Number of calls of read() and of follow() so far. */
    std::size_t reads = 0;
    std::size_t follows = 0;
    /** Time from a call to its effect, and from there to the answer. */
    Duration answerTime = milliseconds(4);
    /** Maximum number of changes in one answer to a follower. */
    std::size_t changesPerPage = 500;
    /** Maximum number of rows in one answer to a read. */
    std::size_t rowsPerPage = 500;
    /** Number of calls of change() so far. */
    std::size_t changes = 0;
    /** Number of changes so far that exceed the limits of the store. */
    std::size_t refusedChanges = 0;

    std::map<std::pair<std::string, std::string>, Row> rows;

    const Row *find(const std::string &table, const std::string &key) const
    {
        const auto found = rows.find({table, key});
        return found == rows.end() ? nullptr : &found->second;
    }

    /** Why the store refuses the change, each time it is sent; empty if it does not. */
    static std::string refusalOf(const RowChange &change)
    {
        constexpr std::size_t MaximumEntries = 100;
        constexpr std::size_t MaximumRowBytes = 65536;
        constexpr std::size_t MaximumBytes = 1000000;
        if (change.expected.size() + change.written.size() + change.removed.size() > MaximumEntries) {
            return "the store answered 400: too many entries";
        }
        std::size_t bytes = 0;
        for (const Row &row : change.written) {
            if (row.value.size() > MaximumRowBytes) {
                return "the store answered 400: the row " + row.key + " is too large";
            }
            // Values are sent as base64.
            bytes += row.value.size() * 4 / 3;
        }
        return bytes > MaximumBytes ? "the store answered 400: the change is too large" : "";
    }

    ChangeResult apply(const RowChange &change)
    {
        ChangeResult result;
        if (const std::string refusal = refusalOf(change); !refusal.empty()) {
            ++refusedChanges;
            result.outcome = ChangeOutcome::NotDone;
            result.reason = refusal;
            return result;
        }
        for (const RowExpectation &each : change.expected) {
            const Row *row = find(each.table, each.key);
            if ((row == nullptr ? RowVersion() : row->version) != each.version) {
                result.outcome = ChangeOutcome::Conflict;
            }
        }
        if (result.outcome == ChangeOutcome::Conflict) {
            for (const RowExpectation &each : change.expected) {
                if (const Row *row = find(each.table, each.key)) {
                    result.current.push_back(*row);
                }
            }
            return result;
        }
        m_version = m_version + RowVersion(1);
        for (Row row : change.written) {
            row.version = m_version;
            rows[{row.table, row.key}] = row;
            m_history.push_back(row);
        }
        for (const RowName &each : change.removed) {
            rows.erase({each.table, each.key});
            m_history.push_back({each.table, each.key, "", m_version, true});
        }
        answerFollowers();
        result.outcome = ChangeOutcome::Committed;
        result.version = m_version;
        return result;
    }

    void change(RowChange change, Duration limit, ChangeDone done) override
    {
        ++changes;
        const double draw = std::uniform_real_distribution<double>(0, 1)(m_random);
        const auto answer = [this, done](Duration delay, const ChangeResult &result) {
            m_timeline.after(delay, [done, result] { done(result); });
        };
        if (isUnreachable) {
            answer(milliseconds(1), {ChangeOutcome::NotDone, {}, {}, "the store answered with status 503"});
        } else if (draw < requestLost) {
            answer(limit, {ChangeOutcome::Unknown, {}, {}, "no response in time"});
        } else if (draw < requestLost + delayedProbability) {
            const int delay = std::uniform_int_distribution<int>(1000, 6000)(m_random);
            m_timeline.after(milliseconds(delay), [this, change] { apply(change); });
            answer(limit, {ChangeOutcome::Unknown, {}, {}, "no response in time"});
        } else {
            const bool lost = draw < requestLost + delayedProbability + responseLossProbability;
            m_timeline.after(answerTime, [this, change, lost, limit, answer] {
                const ChangeResult result = apply(change);
                if (lost) {
                    answer(limit, {ChangeOutcome::Unknown, {}, {}, "no response in time"});
                } else {
                    answer(answerTime, result);
                }
            });
        }
    }

    void read(const std::string &table,
              const std::string &from,
              const std::string &to,
              Duration limit,
              PageDone done) override
    {
        ++reads;
        m_timeline.after(answerTime, [this, table, from, to, limit, done] {
            if (silentTables.count(table) > 0) {
                m_timeline.after(limit, [done] {
                    done(std::nullopt, {StateCode::Unavailable, "no response in time"});
                });
                return;
            }
            if (isUnreachable) {
                done(std::nullopt, {StateCode::Unavailable, "the store answered with status 503"});
                return;
            }
            RowPage page;
            page.version = m_version;
            for (const auto &[name, row] : rows) {
                if (name.first != table || name.second < from || (!to.empty() && name.second >= to)) {
                    continue;
                }
                if (page.rows.size() == rowsPerPage) {
                    page.hasMore = true;
                    break;
                }
                page.rows.push_back(row);
            }
            done(page, {});
        });
    }

    void follow(const std::string &table, RowVersion after, Duration wait, Duration limit, PageDone done) override
    {
        ++follows;
        const std::uint64_t follower = ++m_lastFollower;
        m_followers[follower] = {table, after, std::move(done)};
        m_timeline.after(milliseconds(4), [this] { answerFollowers(); });
        // A call that does not wait reports the changes that there are.
        m_timeline.after(std::max(wait, answerTime), [this, follower] {
            const auto found = m_followers.find(follower);
            if (found == m_followers.end() || silentTables.count(found->second.table) > 0) {
                return;
            }
            auto waiting = m_followers.extract(found);
            const auto news = pendingAnswer(waiting.mapped());
            waiting.mapped().done(news ? news->first : RowPage{{}, false, m_version},
                                  news ? news->second : StateError{});
        });
        if (limit <= wait) {
            return;
        }
        m_timeline.after(limit, [this, follower] {
            auto waiting = m_followers.extract(follower);
            if (!waiting.empty()) {
                waiting.mapped().done(std::nullopt, {StateCode::Unavailable, "no response in time"});
            }
        });
    }

    /** Drops the history; followers that have not seen all changes have to read all rows again. */
    void dropHistory()
    {
        m_history.clear();
        m_historyFrom = m_version;
    }

private:
    struct Follower {
        std::string table;
        RowVersion after;
        PageDone done;
    };

    /** The answer to a follower: the changes that it has not seen, or an error; no value if there is no change yet. */
    std::optional<std::pair<std::optional<RowPage>, StateError>> pendingAnswer(const Follower &follower) const
    {
        if (isUnreachable) {
            return std::pair(std::optional<RowPage>(),
                             StateError{StateCode::Unavailable, "the store answered with status 503"});
        }
        if (follower.after < m_historyFrom) {
            return std::pair(std::optional<RowPage>(), StateError{StateCode::NotFound, "the history was dropped"});
        }
        RowPage page{{}, false, m_version};
        for (const Row &row : m_history) {
            if (row.table != follower.table || row.version <= follower.after) {
                continue;
            }
            if (page.rows.size() == changesPerPage) {
                page.hasMore = true;
                page.version = page.rows.back().version;
                break;
            }
            page.rows.push_back(row);
        }
        if (page.rows.empty()) {
            return std::nullopt;
        }
        return std::pair(std::optional(page), StateError{});
    }

    void answerFollowers()
    {
        for (auto at = m_followers.begin(); at != m_followers.end();) {
            const auto news = pendingAnswer(at->second);
            if (!news || silentTables.count(at->second.table) > 0) {
                ++at;
                continue;
            }
            m_timeline.after(milliseconds(1), [done = at->second.done, news] { done(news->first, news->second); });
            at = m_followers.erase(at);
        }
    }

    Timeline &m_timeline;
    std::mt19937 m_random;
    RowVersion m_version;
    /** Changes after m_historyFrom, oldest first. */
    std::vector<Row> m_history;
    RowVersion m_historyFrom;
    std::map<std::uint64_t, Follower> m_followers;
    std::uint64_t m_lastFollower = 0;
};

} // namespace coriander::workflow
