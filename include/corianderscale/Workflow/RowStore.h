#pragma once

#include "corianderscale/Support/Error.h"
#include "corianderscale/Support/Time.h"
#include "corianderscale/Support/Units.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace coriander::workflow {

struct Row {
    std::string table;
    std::string key;
    std::string value;
    RowVersion version;
    /** Whether the row was removed; only in feeds. */
    bool removed = false;
};

/** Precondition of a change: the row has this version; 0 means that the row does not exist. */
struct RowExpectation {
    std::string table;
    std::string key;
    RowVersion version;
};

struct RowName {
    std::string table;
    std::string key;
};

/** A transaction; it takes effect as a whole or not at all. */
struct RowChange {
    std::vector<RowExpectation> expected;
    std::vector<Row> written;
    std::vector<RowName> removed;
};

/** Limits of a change. The store refuses a change beyond them as a whole, and again each time it is sent. */
struct ChangeLimits {
    /** Maximum number of expectations, written rows and removed rows together. */
    std::size_t entries = 100;
    /** Maximum bytes of all written values together. The store accepts a message of 1 MB, in which a value takes 4/3 of
     * its size and each entry some 100 bytes more. */
    std::size_t valueBytes = 600000;
    /** Maximum bytes of the value of one row. */
    std::size_t rowBytes = 65536;
};

enum class ChangeOutcome {
    Committed,
    /** An expected version does not match; nothing was written. */
    Conflict,
    /** The store cannot be reached or refused the change; nothing was written. */
    NotDone,
    /** The change was sent but not answered. It may take effect, even later, if the expected versions match then. */
    Unknown,
};

struct ChangeResult {
    ChangeOutcome outcome = ChangeOutcome::Unknown;
    /** Version of all written rows after Committed. */
    RowVersion version;
    /** The current rows of the expectations, after Conflict. */
    std::vector<Row> current;
    /** Why the change was not committed. */
    std::string reason;
};

struct RowPage {
    std::vector<Row> rows;
    /** Whether there are more rows in the range, or may be more changes. */
    bool hasMore = false;
    /** Newest version in the store when the page was read. */
    RowVersion version;
};

using ChangeDone = std::function<void(const ChangeResult &)>;
/** Called with a page, or with no value and the error. StateCode::NotFound from follow() means that the store dropped
   the history. */
using PageDone = std::function<void(std::optional<RowPage>, const StateError &)>;

/**
 * A store of rows in tables, with one version counter, conditional transactions and change feeds.
 *
 * Completions run later on the thread of the event loop, exactly once. Thread safety: that thread only.
 */
class RowStore
{
public:
    virtual ~RowStore() = default;

    virtual void change(RowChange change, Duration limit, ChangeDone done) = 0;

    /** Reads the rows of @p table with `from <= key < to` in key order; an empty @p to means no upper bound. */
    virtual void read(
        const std::string &table, const std::string &from, const std::string &to, Duration limit, PageDone done)
        = 0;

    /** Reads the rows changed after version @p after; waits up to @p wait for the first one. */
    virtual void follow(const std::string &table, RowVersion after, Duration wait, Duration limit, PageDone done) = 0;
};

/** The key that follows @p key in byte order; the upper bound for a read of one row. */
inline std::string keyAfter(const std::string &key)
{
    return key + '\0';
}

} // namespace coriander::workflow
