#include "corianderscale/Gateway/GatewayCore.h"

#include <absl/time/time.h>

namespace coriander {

namespace {

constexpr Duration HousekeepingInterval = std::chrono::seconds(1);

/** Civil days of a time zone. Uses UTC for an unknown zone; the document check rejects unknown zones. */
DayOf makeDayFunction(const std::string &timeZone)
{
    absl::TimeZone zone = absl::UTCTimeZone();
    if (!timeZone.empty()) {
        absl::LoadTimeZone(timeZone, &zone);
    }
    return [zone](WallTime time) {
        return absl::FormatTime("%Y-%m-%d", absl::FromUnixMicros(time.time_since_epoch().count()), zone);
    };
}

} // namespace

GatewayCore::GatewayCore(GatewaySettings settings,
                         GatewayHooks hooks,
                         Store &store,
                         SendPeer sendPeer,
                         RetryBudgetHooks retryBudget,
                         std::function<std::optional<ErrorBody>(const CallerKey &)> admit)
    : m_settings(std::move(settings))
    , m_hooks(std::move(hooks))
    , m_retryBudget(std::move(retryBudget))
    , m_directory(m_settings.common.instance)
    , m_router(m_directory, m_settings.common.dataCentre, m_hooks.random)
    , m_dispatcher(m_directory, m_router, m_timing, m_settings.queue, m_hooks.clock)
    , m_sender(m_hooks, m_directory, m_timing)
    , m_records(m_hooks, store)
    , m_copies(m_hooks, store)
    , m_peers(m_hooks, m_settings.common.instance, std::move(sendPeer), m_directory, m_copies)
    , m_counters(m_hooks,
                 store,
                 m_settings.common.instance,
                 makeDayFunction({}),
                 [this](const CountsRecord &record, std::function<void(int)> done) {
                     m_peers.copyCounters(record, std::move(done));
                 })
    , m_requests({m_hooks,
                  store,
                  m_dispatcher,
                  m_sender,
                  m_timing,
                  m_records,
                  m_counters,
                  m_retryBudget,
                  m_settings.common.instance,
                  admit,
                  [this](const InstanceId &gateway) {
                      return m_peers.isLive(gateway);
                  }})
    , m_jobs({m_hooks,
              store,
              m_counters,
              m_settings.common.dataCentre,
              admit,
              [this] { return m_api.document(); },
              [this](const DataCentreId &dataCentre, const JobId &job) {
                  m_peers.notifyJobChanged(dataCentre, job);
              }})
    , m_api(m_requests, m_jobs)
    , m_poller(m_hooks,
               m_directory,
               m_settings.pollInterval,
               [this](const EndpointId &endpoint, const InstanceId &incarnation) {
                   m_peers.notifyLeaving(endpoint, incarnation);
               })
    , m_store(store)
{
    m_sender.setLeavingHook([this](const EndpointId &endpoint, const InstanceId &incarnation) {
        m_peers.notifyLeaving(endpoint, incarnation);
    });
    m_poller.setAnsweredHook([this] { m_dispatcher.dispatchQueued(); });
}

CallerApi &GatewayCore::api()
{
    return m_api;
}

GatewayPeers &GatewayCore::peers()
{
    return m_peers;
}

void GatewayCore::setDocument(const std::shared_ptr<const Document> &document)
{
    if (document->timeZone != m_api.document()->timeZone) {
        m_counters.setDayOf(makeDayFunction(document->timeZone));
    }
    m_api.setDocument(document);
}

void GatewayCore::setVms(const VmList &vms)
{
    for (const EndpointId &leaving : m_directory.applyVmList(vms)) {
        m_peers.notifyLeaving(leaving, m_directory.find(leaving)->incarnation);
    }
    m_poller.poll();
}

void GatewayCore::setMembers(std::vector<Member> members)
{
    m_peers.setMembers(std::move(members));
    m_dispatcher.dispatchQueued();
}

void GatewayCore::tick()
{
    m_poller.poll();
    m_dispatcher.dispatchQueued();
    const MonotonicTime now = m_hooks.clock.now();
    if (now < m_housekeepingAt) {
        return;
    }
    m_housekeepingAt = now + HousekeepingInterval;
    m_counters.closeOldDays();
    if (m_store.state() != StoreState::Unavailable) {
        m_copies.restore([this](const InstanceId &gateway) { return m_peers.isDead(gateway); });
        m_copies.dropStoredCopies();
    }
}

void GatewayCore::beginDrain()
{
    m_api.stopAcceptingWork();
}

bool GatewayCore::isDrained() const
{
    return m_requests.inProgress() == 0 && m_jobs.inProgress() == 0;
}

void GatewayCore::closeCounters(std::function<void(bool)> done)
{
    m_counters.close(std::move(done));
}

GatewayNumbers GatewayCore::numbers() const
{
    GatewayNumbers numbers;
    numbers.queuedUrgent = m_dispatcher.queued(Urgency::Urgent);
    numbers.queuedNormal = m_dispatcher.queued(Urgency::Normal);
    numbers.queuedBackground = m_dispatcher.queued(Urgency::Background);
    numbers.inProgress = m_requests.inProgress() + m_jobs.inProgress();
    numbers.activeClaims = m_requests.activeClaims();
    numbers.uncommittedCounts = m_counters.uncommitted();
    numbers.unprotectedReleases = m_counters.unprotectedReleases();
    numbers.counterCopies = m_copies.size();
    numbers.sends = m_sender.sends();
    numbers.slotFullSends = m_sender.slotFull();
    const MonotonicTime now = m_hooks.clock.now();
    for (const auto &[id, entry] : m_directory.entries()) {
        numbers.usableEndpoints += m_directory.isUsable(entry, now) ? 1 : 0;
        numbers.ejectedEndpoints += entry.ejected && now < entry.ejectedUntil ? 1 : 0;
    }
    return numbers;
}

const EndpointDirectory &GatewayCore::endpoints() const
{
    return m_directory;
}

} // namespace coriander
