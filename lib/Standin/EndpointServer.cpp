#include "corianderscale/Standin/EndpointServer.h"

#include "corianderscale/Support/Log.h"

#include <algorithm>

namespace coriander {

namespace {

/** Interval between checks for attempts that are due; an attempt may end later by this time. */
constexpr Duration FinishInterval = std::chrono::milliseconds(1);

int httpStatusOf(const EndpointRefusal &refusal)
{
    if (refusal.code == "slot-full") {
        return 429;
    }
    if (refusal.code == "too-late") {
        return 410;
    }
    if (refusal.code == "leaving") {
        return 503;
    }
    return refusal.code == "unknown-service" ? 404 : 409;
}

std::optional<std::int64_t> parseUnixMs(const std::string &text)
{
    if (text.empty() || text.size() > 15 || text.find_first_not_of("0123456789") != std::string::npos) {
        return std::nullopt;
    }
    return std::stoll(text);
}

} // namespace

EndpointServer::EndpointServer(EndpointModelSettings settings, std::string listen, const std::string &ledgerFile)
    : m_clock(systemClock())
    , m_model(std::move(settings))
    , m_server(std::move(listen), HttpServerLimits())
{
    if (!ledgerFile.empty()) {
        m_ledger.open(ledgerFile, std::ios::app);
    }
}

EndpointServer::~EndpointServer()
{
    m_finisher.reset();
    m_server.stop(m_clock.now());
}

bool EndpointServer::start(TransportError &error)
{
    addRoutes();
    if (!m_server.start(error)) {
        return false;
    }
    m_finisher = std::make_unique<DutyThread>("endpoint-work", [this] { finishAttempts(); });
    return true;
}

void EndpointServer::leave()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_model.leave();
}

bool EndpointServer::isDrained() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_model.isDrained() && m_pendingResponses.empty();
}

void EndpointServer::addRoutes()
{
    m_server.route("GET", "/v1/endpoint", [this](const HttpRequest &, const auto &, const HttpRespond &respond) {
        const std::lock_guard<std::mutex> lock(m_mutex);
        respond(jsonResponse(200, encodeMessage(m_model.info(static_cast<std::int64_t>(m_pendingResponses.size())))));
    });
    m_server.route("POST",
                   "/v1/run/{service}",
                   [this](const HttpRequest &request, const auto &captures, const HttpRespond &respond) {
                       runAttempt(request, ServiceName(captures.front()), respond);
                   });
    m_server.route(
        "GET", "/v1/attempts/{id}", [this](const HttpRequest &, const auto &captures, const HttpRespond &respond) {
            const std::lock_guard<std::mutex> lock(m_mutex);
            respond(jsonResponse(200, encodeMessage(m_model.status(AttemptId(captures.front())))));
        });
    m_server.route("POST",
                   "/v1/attempts/{id}/fence",
                   [this](const HttpRequest &, const auto &captures, const HttpRespond &respond) {
                       const std::lock_guard<std::mutex> lock(m_mutex);
                       respond(jsonResponse(200, encodeMessage(m_model.fence(AttemptId(captures.front())))));
                   });
}

void EndpointServer::runAttempt(const HttpRequest &request, const ServiceName &service, const HttpRespond &respond)
{
    EndpointRunRequest run;
    run.attempt = AttemptId(request.header(AttemptIdHeader));
    run.service = service;
    run.body = request.body;
    const std::string startBy = request.header(StartByHeader);
    const std::optional<std::int64_t> startByUnixMs
        = startBy.empty() ? std::optional<std::int64_t>(0) : parseUnixMs(startBy);
    if (run.attempt.empty() || !startByUnixMs) {
        respond(jsonResponse(400, encodeMessage(EndpointRefusal{"invalid", false})));
        return;
    }
    run.startByUnixMs = *startByUnixMs;
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (const auto refusal = m_model.run(run, m_clock.now(), m_clock.wallNow())) {
        respond(jsonResponse(httpStatusOf(*refusal), encodeMessage(*refusal)));
        return;
    }
    writeLedger("started", run.attempt, contentDigest(run.body));
    m_pendingResponses[run.attempt] = respond;
}

void EndpointServer::finishAttempts()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (const FinishedAttempt &finished : m_model.finish(m_clock.now())) {
            sendAnswer(finished);
        }
    }
    std::this_thread::sleep_for(FinishInterval);
}

void EndpointServer::sendAnswer(const FinishedAttempt &finished)
{
    writeLedger("finished", finished.attempt, finished.bodyDigest);
    const auto pending = m_pendingResponses.find(finished.attempt);
    if (pending == m_pendingResponses.end()) {
        return;
    }
    HttpResponse response = jsonResponse(200, finished.answer);
    response.headers[AttemptIdHeader] = finished.attempt.value();
    response.headers[ContentDigestHeader] = contentDigest(finished.answer);
    pending->second(std::move(response));
    m_pendingResponses.erase(pending);
}

void EndpointServer::writeLedger(const char *event, const AttemptId &attempt, const std::string &bodyDigest)
{
    if (m_ledger.is_open()) {
        m_ledger << event << ' ' << attempt.value() << ' ' << bodyDigest << '\n' << std::flush;
    }
}

} // namespace coriander
