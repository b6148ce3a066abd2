#include "corianderscale/Workflow/CallRelay.h"

#include "corianderscale/Transport/GuardedHandler.h"
#include "corianderscale/Transport/RefusalLog.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace coriander::workflow {

namespace {

using Json = nlohmann::json;

constexpr const char *RelayPath = "/v1/relay";
constexpr const char *ReleasePath = "/v1/term-release";
constexpr int ConflictStatus = 409;
/** Answered only by the server, to a request that no handler has seen. */
constexpr int NotHandledStatus = 503;
constexpr const char *CredentialHeader = "Relay-Credential";
/** Time that is left to the neighbour is shorter than the limit by the way back. */
constexpr Duration AnswerMargin = std::chrono::milliseconds(20);

/** A connection to a neighbour takes a few ms; one that cannot be reached must not use up the time of the call. */
AsyncHttpClient::Settings clientSettings()
{
    AsyncHttpClient::Settings settings;
    settings.connectTimeout = std::chrono::milliseconds(250);
    settings.maximumConnectionsPerAddress = 8;
    return settings;
}

std::optional<std::int64_t> toInteger(const std::string &text)
{
    std::int64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

std::int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace

HttpRequest encodeRelayedCall(const CallerCall &call, ConfigurationVersion atLeast, Duration limit)
{
    HttpRequest request;
    request.method = "POST";
    request.path = RelayPath;
    request.query = {{"method", call.method},
                     {"host", call.host},
                     {"path", call.path},
                     {"limit_ms", std::to_string(milliseconds(limit - AnswerMargin))},
                     {"configuration", std::to_string(atLeast.count())}};
    request.headers[CredentialHeader] = call.credential;
    request.headers["Content-Type"] = "application/octet-stream";
    request.body = call.body;
    return request;
}

std::optional<CallerCall> decodeRelayedCall(const HttpRequest &request, ConfigurationVersion &atLeast)
{
    const std::optional<std::int64_t> limit = toInteger(request.parameter("limit_ms"));
    const std::optional<std::int64_t> configuration = toInteger(request.parameter("configuration"));
    if (request.path != RelayPath || !limit || !configuration) {
        return std::nullopt;
    }
    CallerCall call;
    call.method = request.parameter("method");
    call.host = request.parameter("host");
    call.path = request.parameter("path");
    call.credential = request.header(CredentialHeader);
    call.body = request.body;
    call.timeLimit = std::chrono::milliseconds(*limit);
    atLeast = ConfigurationVersion(*configuration);
    return call;
}

HttpResponse encodeRoutedAnswer(const RoutedAnswer &routed)
{
    const CallAnswer &answer = routed.answer;
    Json body{{"outcome", callOutcomeName(answer.outcome)},
              {"reason", answer.reason},
              {"retry_after_ms", milliseconds(answer.retryAfter)},
              {"configuration", routed.configuration.count()}};
    if (answer.state) {
        body["state"] = jobStateName(*answer.state);
    }
    if (answer.waiting) {
        body["waiting"] = *answer.waiting;
    }
    return jsonResponse(200, body.dump(-1, ' ', false, Json::error_handler_t::replace));
}

std::optional<RoutedAnswer> decodeRoutedAnswer(const HttpResponse &response, ProtocolError &error)
{
    try {
        const Json body = Json::parse(response.body);
        const std::optional<CallOutcome> outcome = callOutcomeFromName(body.at("outcome").get<std::string>());
        if (!outcome) {
            error = {ProtocolCode::InvalidField, "unknown outcome"};
            return std::nullopt;
        }
        RoutedAnswer routed;
        routed.answer.outcome = *outcome;
        routed.answer.reason = body.at("reason").get<std::string>();
        routed.answer.retryAfter = std::chrono::milliseconds(body.at("retry_after_ms").get<std::int64_t>());
        routed.configuration = ConfigurationVersion(body.at("configuration").get<std::int64_t>());
        if (body.contains("state")) {
            routed.answer.state = jobStateFromName(body.at("state").get<std::string>());
        }
        if (body.contains("waiting")) {
            routed.answer.waiting = body.at("waiting").get<std::size_t>();
        }
        return routed;
    } catch (const Json::exception &failure) {
        error = {ProtocolCode::Malformed, failure.what()};
    } catch (const std::out_of_range &failure) {
        error = {ProtocolCode::InvalidField, failure.what()};
    }
    return std::nullopt;
}

HttpRequest encodeTermRelease(const RowChange &release)
{
    HttpRequest request;
    request.method = "POST";
    request.path = ReleasePath;
    request.query = {{"version", std::to_string(release.expected.front().version.count())}};
    request.headers["Content-Type"] = "application/octet-stream";
    request.body = release.written.front().value;
    return request;
}

std::optional<RowChange> decodeTermRelease(const HttpRequest &request)
{
    const std::optional<std::int64_t> version = toInteger(request.parameter("version"));
    if (request.path != ReleasePath || !version || request.body.empty()) {
        return std::nullopt;
    }
    RowChange release;
    release.expected.push_back({OwnerTable, OwnerKey, RowVersion(*version)});
    release.written.push_back({OwnerTable, OwnerKey, request.body, {}, false});
    return release;
}

CallRelay::CallRelay(boost::asio::io_context &loop, Serve serve, StoreRelease storeRelease)
    : m_serve(std::move(serve))
    , m_storeRelease(std::move(storeRelease))
    , m_client(loop, clientSettings())
    , m_server(loop, {}, makeGuardedHandler([this](const HttpRequest &request, const AsyncHttpRespond &respond) {
                   handle(request, respond);
               }))
{
}

void CallRelay::setConnectionLimits(const decision::ConnectionLimits &limits)
{
    m_server.setConnectionLimits(limits, logRefusals("relay"));
}

bool CallRelay::listen(const std::string &address, TransportError &error)
{
    return m_server.listen(address, error);
}

unsigned short CallRelay::port() const
{
    return m_server.port();
}

void CallRelay::startDraining()
{
    m_server.startDraining();
}

void CallRelay::closeIdle()
{
    m_server.closeIdle();
}

std::size_t CallRelay::requestsInProgress() const
{
    return m_server.requestsInProgress();
}

decision::ConnectionLoad CallRelay::load() const
{
    return m_server.load();
}

const HttpRefusals &CallRelay::refusals() const
{
    return m_server.refusals();
}

void CallRelay::handle(const HttpRequest &request, const AsyncHttpRespond &respond)
{
    if (const std::optional<RowChange> release = decodeTermRelease(request)) {
        m_storeRelease(*release,
                       [respond](bool stored) { respond(jsonResponse(stored ? 200 : ConflictStatus, "{}")); });
        return;
    }
    ConfigurationVersion atLeast;
    const std::optional<CallerCall> call = decodeRelayedCall(request, atLeast);
    if (!call) {
        respond(errorResponse(400, "malformed", "expected a relayed call"));
        return;
    }
    m_serve(*call, atLeast, [respond](const RoutedAnswer &answer) { respond(encodeRoutedAnswer(answer)); });
}

void CallRelay::send(const std::string &address,
                     const CallerCall &call,
                     ConfigurationVersion atLeast,
                     Duration limit,
                     const RelayDone &done)
{
    m_client.send(address,
                  encodeRelayedCall(call, atLeast, limit),
                  limit,
                  [done](const std::optional<HttpResponse> &response, const TransportError &error) {
                      if (!response) {
                          const bool sent
                              = error.code != TransportCode::Unreachable && error.code != TransportCode::LimitExceeded;
                          done({std::nullopt, sent, error.reason});
                          return;
                      }
                      if (response->status == NotHandledStatus) {
                          done({std::nullopt, false, "the neighbour has no memory for the call"});
                          return;
                      }
                      ProtocolError decodeError;
                      std::optional<RoutedAnswer> answer = decodeRoutedAnswer(*response, decodeError);
                      done({std::move(answer), true, decodeError.reason});
                  });
}

void CallRelay::sendRelease(const std::string &address,
                            const RowChange &release,
                            Duration limit,
                            const std::function<void(bool stored)> &done)
{
    m_client.send(address,
                  encodeTermRelease(release),
                  limit,
                  [done](const std::optional<HttpResponse> &response, const TransportError &) {
                      done(response && response->status == 200);
                  });
}

} // namespace coriander::workflow
