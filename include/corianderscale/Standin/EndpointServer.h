#pragma once

#include "corianderscale/Standin/EndpointModel.h"
#include "corianderscale/Transport/DutyThread.h"
#include "corianderscale/Transport/HttpServer.h"

#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace coriander {

/**
 * Serves an EndpointModel over HTTP as described in section 8 of docs/design.md.
 *
 * Thread safety: leave() and isDrained() from any thread; start() once.
 */
class EndpointServer
{
public:
    /** Appends one line to @p ledgerFile for each attempt that starts or finishes; an empty name disables this. */
    EndpointServer(EndpointModelSettings settings, std::string listen, const std::string &ledgerFile);
    ~EndpointServer();
    EndpointServer(const EndpointServer &) = delete;
    EndpointServer &operator=(const EndpointServer &) = delete;

    /** Opens the port. Returns false with the reason when it cannot be opened. */
    bool start(TransportError &error);

    /** Refuses new attempts from now on. */
    void leave();

    /** Whether the endpoint is leaving and every attempt has been answered. */
    bool isDrained() const;

private:
    void addRoutes();
    void runAttempt(const HttpRequest &request, const ServiceName &service, const HttpRespond &respond);
    void finishAttempts();
    void sendAnswer(const FinishedAttempt &finished);
    void writeLedger(const char *event, const AttemptId &attempt, const std::string &bodyDigest);

    Clock m_clock;
    mutable std::mutex m_mutex;
    EndpointModel m_model;
    std::map<AttemptId, HttpRespond> m_pendingResponses;
    std::ofstream m_ledger;
    HttpServer m_server;
    std::unique_ptr<DutyThread> m_finisher;
};

} // namespace coriander
