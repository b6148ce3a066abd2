#include "corianderscale/Standin/PlatformServer.h"

#include <thread>

namespace coriander {

namespace {

constexpr std::size_t MaximumRequestBytes = 8 * 1024 * 1024;
/** Interval between checks for delayed responses that are due. */
constexpr Duration SendInterval = std::chrono::milliseconds(5);
/** Time that the server has to finish its requests when it is stopped. */
constexpr Duration StopTimeout = std::chrono::seconds(2);

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
    m_sender = std::make_unique<DutyThread>("delayed-answers", [this] { sendDueResponses(); });
    return true;
}

void PlatformServer::stop()
{
    m_sender.reset();
    sendResponsesUntil(NeverDue);
    m_server.stop(m_clock.now() + StopTimeout);
}

void PlatformServer::addRoute(const std::string &method, const std::string &pattern)
{
    m_server.route(method,
                   pattern,
                   [this](const HttpRequest &request, const std::vector<std::string> &captures, HttpRespond respond) {
                       handleRequest(request, captures, std::move(respond));
                   });
}

void PlatformServer::handleRequest(const HttpRequest &request,
                                   const std::vector<std::string> &captures,
                                   HttpRespond respond)
{
    TimedResponse result;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const MonotonicTime now = m_clock.now();
        result = m_model.handle(request, captures, now);
        if (result.sendAt > now) {
            m_delayedResponses.emplace(
                result.sendAt,
                [respond = std::move(respond), response = std::move(result.response)] { respond(response); });
            return;
        }
    }
    respond(std::move(result.response));
}

void PlatformServer::sendDueResponses()
{
    std::this_thread::sleep_for(SendInterval);
    sendResponsesUntil(m_clock.now());
}

void PlatformServer::sendResponsesUntil(MonotonicTime until)
{
    std::multimap<MonotonicTime, std::function<void()>> due;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        while (!m_delayedResponses.empty() && m_delayedResponses.begin()->first <= until) {
            due.insert(m_delayedResponses.extract(m_delayedResponses.begin()));
        }
    }
    for (const auto &[sendAt, send] : due) {
        send();
    }
}

} // namespace coriander
