#include "corianderscale/Coordination/StoreClient.h"

#include "corianderscale/Transport/DutyThread.h"

#include <algorithm>
#include <condition_variable>
#include <utility>

namespace coriander {

namespace {

/** Maximum time between two polls of the engine. */
constexpr Duration MaximumPollInterval = std::chrono::milliseconds(200);

/** Interval at which the destructor checks whether tries are still in flight. */
constexpr Duration DrainPollInterval = std::chrono::milliseconds(5);

} // namespace

class StoreClient::Implementation
{
public:
    Implementation(const Settings &settings, const Clock &clock)
        : m_clock(clock)
        , m_client(clock)
        , m_engine(
              settings.engine,
              clock,
              systemRandomUnit(),
              [this,
               platform = settings.platform](const HttpRequest &request, MonotonicTime deadline, HttpCompletion done) {
                  m_client.send(platform, request, deadline, std::move(done));
              },
              [this] { wake(); })
        , m_thread("store-client", [this] { step(); })
    {
    }

    ~Implementation()
    {
        m_engine.stop();
        // The completions of the tries in flight use the engine. Each try ends by its own deadline.
        while (m_engine.triesInFlight() > 0) {
            std::this_thread::sleep_for(DrainPollInterval);
        }
        wake();
        m_thread.stop();
    }

    StoreEngine &engine()
    {
        return m_engine;
    }

private:
    void wake()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_woken = true;
        m_wake.notify_one();
    }

    void step()
    {
        const MonotonicTime nextPoll = m_engine.poll();
        const MonotonicTime now = m_clock.now();
        const Duration wait = nextPoll <= now ? Duration(0) : std::min(MaximumPollInterval, nextPoll - now);
        std::unique_lock<std::mutex> lock(m_mutex);
        m_wake.wait_for(lock, wait, [this] { return m_woken; });
        m_woken = false;
    }

    Clock m_clock;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_woken = false;
    HttpClient m_client;
    StoreEngine m_engine;
    DutyThread m_thread;
};

StoreClient::StoreClient(Settings settings, Clock clock)
    : m_implementation(std::make_unique<Implementation>(settings, clock))
{
}

StoreClient::~StoreClient() = default;

void StoreClient::setLiveInstances(int instances)
{
    m_implementation->engine().setLiveInstances(instances);
}

void StoreClient::commit(TableTransaction transaction, MonotonicTime deadline, CommitDone done)
{
    m_implementation->engine().commit(std::move(transaction), deadline, std::move(done));
}

void StoreClient::read(std::vector<std::string> keys, MonotonicTime deadline, RowsDone done)
{
    m_implementation->engine().read(std::move(keys), deadline, std::move(done));
}

void StoreClient::scan(TableScan scan, MonotonicTime deadline, RowsDone done)
{
    m_implementation->engine().scan(std::move(scan), deadline, std::move(done));
}

void StoreClient::putObject(std::string key, std::string content, MonotonicTime deadline, WriteDone done)
{
    m_implementation->engine().putObject(std::move(key), std::move(content), deadline, std::move(done));
}

void StoreClient::getObject(std::string key, MonotonicTime deadline, ObjectDone done)
{
    m_implementation->engine().getObject(std::move(key), deadline, std::move(done));
}

void StoreClient::listVms(MonotonicTime deadline, VmsDone done)
{
    m_implementation->engine().listVms(deadline, std::move(done));
}

StoreState StoreClient::state() const
{
    return m_implementation->engine().state();
}

} // namespace coriander
