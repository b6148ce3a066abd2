#include "corianderscale/Ctl/GatewayClient.h"

#include "corianderscale/Daemon/CommandLine.h"
#include "corianderscale/Protocol/CallerMessages.h"

#include <utility>

namespace coriander {

namespace {

/** Whether a call is read-only. check and diff use POST only because they have a body. */
bool isReadOnly(const std::string &method, const std::string &path)
{
    return method == "GET" || path == "/v1/operator/check" || path == "/v1/operator/diff";
}

} // namespace

GatewayClient::GatewayClient(const CtlHooks &hooks, std::vector<std::string> gateways, std::string token, Duration wait)
    : m_hooks(hooks)
    , m_gateways(std::move(gateways))
    , m_token(std::move(token))
    , m_wait(wait)
{
}

std::optional<HttpResponse> GatewayClient::call(const std::string &method,
                                                const std::string &path,
                                                const std::map<std::string, std::string> &query,
                                                const std::string &body)
{
    HttpRequest request;
    request.method = method;
    request.path = path;
    request.query = query;
    request.body = body;
    request.headers["Authorization"] = "Bearer " + m_token;
    std::optional<HttpResponse> unavailable;
    for (const std::string &gateway : m_gateways) {
        TransportError error;
        std::optional<HttpResponse> response = m_hooks.send(gateway, request, m_wait, error);
        const bool canTryNext = isReadOnly(method, path);
        if (response && response->status == 503 && canTryNext) {
            unavailable = std::move(response);
            continue;
        }
        if (response) {
            return response;
        }
        *m_hooks.err << "corianderctl: " << gateway << ": " << error.reason << '\n';
        if (error.code != TransportCode::Unreachable && !canTryNext) {
            *m_hooks.err << "corianderctl: the call may have taken effect; check the status before a retry\n";
            return std::nullopt;
        }
    }
    return unavailable;
}

int exitCodeOf(const HttpResponse &response)
{
    if (response.status < 300) {
        return ExitSuccess;
    }
    switch (response.status) {
    case 401:
    case 403:
    case 409:
        return ExitRefused;
    case 422:
        return ExitInvalid;
    case 503:
        return ExitUnreachable;
    default:
        return ExitFailed;
    }
}

int printError(const HttpResponse &response, std::ostream &err)
{
    ProtocolError error;
    const std::optional<Json> json = parseJson(response.body, MaximumMessageBytes, error);
    const auto body = json ? decodeJson<ErrorBody>(*json, error) : std::nullopt;
    if (!body) {
        err << "corianderctl: the gateway answered with HTTP status " << response.status << '\n';
        return exitCodeOf(response);
    }
    err << "corianderctl: " << body->code << ": " << body->reason << '\n';
    for (const Json &fault : json->value("faults", Json::array())) {
        err << fault.value("text", "") << '\n';
    }
    return exitCodeOf(response);
}

} // namespace coriander
