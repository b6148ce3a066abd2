#include "corianderscale/Workflow/TableFollower.h"

#include <algorithm>

namespace coriander::workflow {

namespace {

/** Upper limit of the factor on the pause after a failed call. */
constexpr int MaximumPauseFactor = 6;

} // namespace

class TableFollower::Implementation : public std::enable_shared_from_this<TableFollower::Implementation>
{
public:
    Implementation(boost::asio::io_context &loop, RowStore &store, Settings settings, Hooks hooks)
        : m_timer(loop)
        , m_store(store)
        , m_settings(std::move(settings))
        , m_hooks(std::move(hooks))
    {
    }

    void startSnapshot()
    {
        m_rows.clear();
        m_from = m_settings.from;
        m_hasVersion = false;
        reportAsking();
        readPage();
    }

    void stop()
    {
        m_stopped = true;
        m_timer.cancel();
    }

private:
    void readPage()
    {
        m_store.read(m_settings.table,
                     m_from,
                     m_settings.to,
                     m_settings.storeCallTimeout,
                     [weak = weak_from_this()](const std::optional<RowPage> &page, const StateError &error) {
                         const std::shared_ptr<Implementation> self = weak.lock();
                         if (self && !self->m_stopped) {
                             self->handlePage(page, error);
                         }
                     });
    }

    void handlePage(const std::optional<RowPage> &page, const StateError &error)
    {
        if (!page) {
            setReachable(false, error.reason);
            // Starts over with the first page; the history since an older first page may have been dropped.
            after(m_settings.retryAfter, [this] { startSnapshot(); });
            return;
        }
        setReachable(true, {});
        if (!m_hasVersion) {
            m_version = page->version;
            m_hasVersion = true;
        }
        if (m_hooks.page) {
            m_hooks.page(page->rows);
        } else {
            m_rows.insert(m_rows.end(), page->rows.begin(), page->rows.end());
        }
        if (m_stopped) {
            return;
        }
        if (page->hasMore && !page->rows.empty()) {
            m_from = keyAfter(page->rows.back().key);
            readPage();
            return;
        }
        const std::vector<Row> rows = std::move(m_rows);
        m_rows.clear();
        m_hooks.snapshot(rows);
        reportCaughtUp();
        follow();
    }

    void follow()
    {
        if (m_stopped) {
            return;
        }
        reportAsking();
        m_store.follow(m_settings.table,
                       m_version,
                       m_settings.wait,
                       m_settings.wait + m_settings.storeCallTimeout,
                       [weak = weak_from_this()](const std::optional<RowPage> &page, const StateError &error) {
                           const std::shared_ptr<Implementation> self = weak.lock();
                           if (self && !self->m_stopped) {
                               self->handleChanges(page, error);
                           }
                       });
    }

    void handleChanges(const std::optional<RowPage> &page, const StateError &error)
    {
        if (!page && error.code == StateCode::NotFound) {
            startSnapshot();
            return;
        }
        if (!page) {
            setReachable(false, error.reason);
            ++m_failedFollows;
            after(retryPause(), [this] { m_settings.readsAllAfterFailure ? startSnapshot() : follow(); });
            return;
        }
        m_failedFollows = 0;
        setReachable(true, {});
        m_version = std::max(m_version, page->version);
        if (!page->rows.empty()) {
            m_hooks.changed(page->rows);
        }
        if (!page->hasMore) {
            reportCaughtUp();
        }
        if (m_settings.pause > Duration(0) && !page->hasMore) {
            after(m_settings.pause, [this] { follow(); });
            return;
        }
        follow();
    }

    /** Grows with the failures in a row, so that a call that always fails is not repeated at a high rate. */
    Duration retryPause() const
    {
        return m_settings.readsAllAfterFailure ? m_settings.retryAfter * std::min(m_failedFollows, MaximumPauseFactor)
                                               : m_settings.retryAfter;
    }

    void reportAsking()
    {
        if (m_hooks.asking) {
            m_hooks.asking();
        }
    }

    void reportCaughtUp()
    {
        if (m_hooks.caughtUp) {
            m_hooks.caughtUp();
        }
    }

    void setReachable(bool reachable, const std::string &reason)
    {
        if (reachable == m_reachable || !m_hooks.reachable) {
            return;
        }
        m_reachable = reachable;
        m_hooks.reachable(reachable, reason);
    }

    void after(Duration pause, std::function<void()> next)
    {
        m_timer.expires_after(pause);
        m_timer.async_wait([weak = weak_from_this(), next = std::move(next)](boost::system::error_code code) {
            const std::shared_ptr<Implementation> self = weak.lock();
            if (!code && self && !self->m_stopped) {
                next();
            }
        });
    }

    boost::asio::steady_timer m_timer;
    RowStore &m_store;
    Settings m_settings;
    Hooks m_hooks;
    std::string m_from;
    std::vector<Row> m_rows;
    RowVersion m_version;
    bool m_hasVersion = false;
    bool m_reachable = true;
    /** Number of calls for changes that failed since the last one that succeeded. */
    int m_failedFollows = 0;
    bool m_stopped = false;
};

TableFollower::TableFollower(boost::asio::io_context &loop, RowStore &store, Settings settings, Hooks hooks)
    : m_implementation(std::make_shared<Implementation>(loop, store, std::move(settings), std::move(hooks)))
{
}

TableFollower::~TableFollower()
{
    m_implementation->stop();
}

void TableFollower::start()
{
    m_implementation->startSnapshot();
}

} // namespace coriander::workflow
