#include "corianderscale/Standin/PlatformServer.h"

#include <thread>

namespace coriander {

namespace {

constexpr std::size_t MaximumRequestBytes = 8 * 1024 * 1024;
/** Interval between checks for delayed responses that are due. */
constexpr Duration SenderInterval = std::chrono::milliseconds(5);
/** Time that the server has to finish its requests when it is stopped. */
constexpr Duration StopWait = std::chrono::seconds(2);

} // namespace

PlatformServer::PlatformServer(const std::string &listen, PlatformOptions options, Clock clock)
    : m_clock(std::move(clock))
    , m_model(options)
    , m_server(listen, {.maximumBodyBytes = MaximumRequestBytes, .maximumRequests = 4096, .receiveTimeoutSeconds = 10})
{
    addRoute("POST", "/table/txn");
    addRoute("POST", "/table/read");
    addRoute("POST", "/table/scan");
    addRoute("GET", "/objects");
    addRoute("GET", "/objects/{key}");
    addRoute("PUT", "/objects/{key}");
    addRoute("DELETE", "/objects/{key}");
    addRoute("GET", "/vms");
    addRoute("POST", "/vms");
    addRoute("POST", "/standin/faults");
}

PlatformServer::~PlatformServer()
{
    stop();
}

bool PlatformServer::start(TransportError &error)
{
    if (!m_server.start(error)) {
        return false;
    }
    m_sender = std::make_unique<DutyThread>("delayed-answers", [this] { sendDue(); });
    return true;
}

void PlatformServer::stop()
{
    m_sender.reset();
    sendHeld(NeverDue);
    m_server.stop(m_clock.now() + StopWait);
}

void PlatformServer::addRoute(const std::string &method, const std::string &pattern)
{
    m_server.route(method,
                   pattern,
                   [this](const HttpRequest &request, const std::vector<std::string> &captures, HttpRespond respond) {
                       answer(request, captures, std::move(respond));
                   });
}

void PlatformServer::answer(const HttpRequest &request, const std::vector<std::string> &captures, HttpRespond respond)
{
    PlatformAnswer result;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const MonotonicTime now = m_clock.now();
        result = m_model.handle(request, captures, now);
        if (result.sendAt > now) {
            m_held.emplace(result.sendAt, [respond = std::move(respond), response = std::move(result.response)] {
                respond(response);
            });
            return;
        }
    }
    respond(std::move(result.response));
}

void PlatformServer::sendDue()
{
    std::this_thread::sleep_for(SenderInterval);
    sendHeld(m_clock.now());
}

void PlatformServer::sendHeld(MonotonicTime until)
{
    std::multimap<MonotonicTime, std::function<void()>> due;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        while (!m_held.empty() && m_held.begin()->first <= until) {
            due.insert(m_held.extract(m_held.begin()));
        }
    }
    for (const auto &[sendAt, send] : due) {
        send();
    }
}

} // namespace coriander
