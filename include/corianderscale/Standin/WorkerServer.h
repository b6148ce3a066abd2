#pragma once

#include "corianderscale/Protocol/TableMessages.h"
#include "corianderscale/Standin/WorkerModel.h"
#include "corianderscale/Transport/DutyThread.h"
#include "corianderscale/Transport/HttpClient.h"
#include "corianderscale/Transport/HttpServer.h"

#include <fstream>
#include <memory>
#include <mutex>
#include <string>

namespace coriander {

/** Addresses and ledger file of a worker stand-in. */
struct WorkerServerSettings {
    /** Base address to listen on. */
    std::string listen;
    /** Base address of the platform's services. */
    std::string platform;
    /** File to which one line is appended per started and ended task; empty for none. */
    std::string ledgerFile;
};

/**
 * Serves a WorkerModel over HTTP, pushes its reports and announces the worker to the platform.
 *
 * Thread safety: start() and stop() from one thread.
 */
class WorkerServer
{
public:
    WorkerServer(WorkerServerSettings settings, WorkerInfo info, WorkerModelSettings model, Clock clock);
    ~WorkerServer();

    /** Opens the ledger and the port and starts the announcements. Returns false with the reason when that fails. */
    bool start(std::string &reason);

    /** Announces that the worker is leaving and closes the port. */
    void stop();

private:
    void addRoutes();
    void handleOrders(const HttpRequest &request, const HttpRespond &respond);
    void handleTimer();
    void pushReport();
    void announce(const std::string &state);
    void writeLedger();

    WorkerServerSettings m_settings;
    Clock m_clock;
    std::mutex m_mutex;
    WorkerModel m_model;
    std::ofstream m_ledger;
    HttpClient m_client;
    HttpServer m_server;
    MonotonicTime m_nextAnnouncement{};
    std::unique_ptr<DutyThread> m_timer;
};

} // namespace coriander
