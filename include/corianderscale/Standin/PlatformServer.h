#pragma once

#include "corianderscale/Standin/PlatformModel.h"
#include "corianderscale/Transport/DutyThread.h"
#include "corianderscale/Transport/HttpServer.h"

#include <memory>
#include <mutex>

namespace coriander {

/**
 * Serves a PlatformModel over HTTP and sends delayed responses when they are due.
 *
 * Thread safety: start() and stop() from any one thread.
 */
class PlatformServer
{
public:
    /** @p listen is a base address such as `http://127.0.0.1:8000`. */
    PlatformServer(const std::string &listen, PlatformOptions options, Clock clock);
    ~PlatformServer();
    PlatformServer(const PlatformServer &) = delete;
    PlatformServer &operator=(const PlatformServer &) = delete;

    /** Opens the port. Returns false with the reason when it cannot be opened. */
    bool start(TransportError &error);

    /** Sends all delayed responses immediately and closes the port. */
    void stop();

private:
    void addRoute(const std::string &method, const std::string &pattern);
    void handleRequest(const HttpRequest &request, const std::vector<std::string> &captures, HttpRespond respond);
    void sendDueResponses();
    void sendResponsesUntil(MonotonicTime until);

    Clock m_clock;
    std::mutex m_mutex;
    PlatformModel m_model;
    std::multimap<MonotonicTime, std::function<void()>> m_delayedResponses;
    HttpServer m_server;
    std::unique_ptr<DutyThread> m_sender;
};

} // namespace coriander
