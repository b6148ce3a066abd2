#include "corianderscale/Workflow/NeighbourTable.h"

#include "corianderscale/Support/Log.h"

#include <utility>

namespace coriander::workflow {

namespace {

/** Limit on the expired rows that one renewal removes; a transaction has at most 100 entries, two for each row. */
constexpr std::size_t MaximumRemovals = 40;

TableFollower::Settings followerSettings(const NeighbourTable::Settings &settings)
{
    TableFollower::Settings follower;
    follower.table = MembersTable;
    follower.wait = settings.readWait;
    follower.pause = settings.readInterval;
    follower.retryAfter = settings.retryAfter;
    return follower;
}

} // namespace

NeighbourTable::NeighbourTable(boost::asio::io_context &loop,
                               Settings settings,
                               Clock clock,
                               RowStore &store,
                               Neighbour self,
                               std::function<bool()> isOwner)
    : m_timer(loop)
    , m_settings(settings)
    , m_clock(std::move(clock))
    , m_store(store)
    , m_self(std::move(self))
    , m_isOwner(std::move(isOwner))
    , m_follower(loop,
                 store,
                 followerSettings(settings),
                 {[this](const std::vector<Row> &rows) { takeRows(rows); },
                  [this](const std::vector<Row> &rows) { takeRows(rows); },
                  {}})
{
}

void NeighbourTable::start()
{
    renew();
    m_follower.start();
}

bool NeighbourTable::isExpired(const Entry &entry) const
{
    return m_clock.now() - entry.renewedAt > m_settings.renewInterval * m_settings.missedRenewals;
}

void NeighbourTable::renew()
{
    RowChange change;
    change.written.push_back(
        {MembersTable, m_self.instance, encodeMember({m_self.dataCentre, m_self.address}), {}, false});
    if (m_isOwner()) {
        for (const auto &[instance, entry] : m_entries) {
            if (isExpired(entry) && change.removed.size() < MaximumRemovals) {
                change.expected.push_back({MembersTable, instance, entry.version});
                change.removed.push_back({MembersTable, instance});
            }
        }
    }
    m_store.change(std::move(change),
                   m_settings.storeCallTimeout,
                   [this, alive = std::weak_ptr<int>(m_alive)](const ChangeResult &result) {
                       if (!alive.lock()) {
                           return;
                       }
                       const bool stored = result.outcome == ChangeOutcome::Committed;
                       if (!stored) {
                           logEvent(LogLevel::Warning, "registration-not-stored", {{"reason", result.reason}});
                       }
                       m_timer.expires_after(stored ? m_settings.renewInterval : m_settings.retryAfter);
                       m_timer.async_wait([this](boost::system::error_code code) {
                           if (!code) {
                               renew();
                           }
                       });
                   });
}

void NeighbourTable::takeRows(const std::vector<Row> &rows)
{
    for (const Row &row : rows) {
        if (row.removed) {
            m_entries.erase(row.key);
            continue;
        }
        ProtocolError error;
        const std::optional<MemberRecord> record = decodeMember(row.value, error);
        if (!record) {
            logEvent(LogLevel::Error,
                     "row-ignored",
                     {{"table", row.table}, {"key", row.key}, {"version", row.version}, {"reason", error.reason}});
            continue;
        }
        if (row.key != m_self.instance) {
            m_entries[row.key] = {{row.key, record->dataCentre, record->relayAddress}, row.version, m_clock.now()};
        }
    }
}

std::vector<Neighbour> NeighbourTable::neighbours() const
{
    std::vector<Neighbour> usable;
    for (const auto &[instance, entry] : m_entries) {
        if (!isExpired(entry)) {
            usable.push_back(entry.neighbour);
        }
    }
    return usable;
}

} // namespace coriander::workflow
