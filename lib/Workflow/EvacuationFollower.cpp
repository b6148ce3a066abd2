#include "corianderscale/Workflow/EvacuationFollower.h"

#include "corianderscale/Support/Log.h"

#include <utility>

namespace coriander::workflow {

namespace {

/** The key that follows all keys with @p prefix in byte order. */
std::string endOfPrefix(std::string prefix)
{
    prefix.back() = static_cast<char>(prefix.back() + 1);
    return prefix;
}

} // namespace

EvacuationFollower::EvacuationFollower(boost::asio::io_context &loop,
                                       const Times &times,
                                       Clock clock,
                                       RowStore &store,
                                       EvacuationSource source,
                                       Hooks hooks)
    : m_clock(std::move(clock))
    , m_source(std::move(source))
    , m_hooks(std::move(hooks))
    , m_follower(loop,
                 store,
                 settings(times),
                 {/*snapshot=*/
                  [this](const std::vector<Row> &rows) {
                      m_rows.clear();
                      for (const Row &row : rows) {
                          handleRow(row);
                      }
                      report();
                  },
                  /*changed=*/
                  [this](const std::vector<Row> &rows) {
                      for (const Row &row : rows) {
                          handleRow(row);
                      }
                      report();
                  },
                  /*reachable=*/{},
                  /*caughtUp=*/[this] { m_hooks.read(m_askedAt); },
                  /*asking=*/
                  [this] {
                      m_askedAt = m_clock.now();
                  }})
{
}

TableFollower::Settings EvacuationFollower::settings(const Times &times) const
{
    TableFollower::Settings settings;
    settings.table = m_source.table;
    settings.from = m_source.keyPrefix;
    settings.to = endOfPrefix(m_source.keyPrefix);
    settings.wait = times.wait;
    settings.storeCallTimeout = times.storeCallTimeout;
    settings.retryAfter = times.retryAfter;
    settings.readsAllAfterFailure = true;
    return settings;
}

void EvacuationFollower::start()
{
    m_follower.start();
}

void EvacuationFollower::handleRow(const Row &row)
{
    if (!row.key.starts_with(m_source.keyPrefix)) {
        return;
    }
    if (row.removed) {
        m_rows.erase(row.key);
        return;
    }
    ProtocolError error;
    const std::optional<DataCentreId> dataCentre = m_source.decode(row, error);
    if (!error.reason.empty()) {
        logEvent(LogLevel::Error,
                 dataCentre ? "row-unexpected" : "row-ignored",
                 {{"table", row.table}, {"key", row.key}, {"version", row.version}, {"reason", error.reason}});
    }
    if (dataCentre) {
        m_rows.insert_or_assign(row.key, *dataCentre);
    }
}

void EvacuationFollower::report()
{
    std::set<DataCentreId> evacuated;
    for (const auto &[key, dataCentre] : m_rows) {
        evacuated.insert(dataCentre);
    }
    if (m_reported != evacuated) {
        m_reported = evacuated;
        m_hooks.changed(evacuated);
    }
}

} // namespace coriander::workflow
