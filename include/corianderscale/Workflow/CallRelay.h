#pragma once

#include "corianderscale/Transport/AsyncHttpClient.h"
#include "corianderscale/Transport/AsyncHttpServer.h"
#include "corianderscale/Workflow/CallRouter.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace coriander::workflow {

/** @name Encoding of relayed calls and their answers */
///@{
HttpRequest encodeRelayedCall(const CallerCall &call, ConfigurationVersion atLeast, Duration limit);
/** No value if a field is missing or invalid. */
std::optional<CallerCall> decodeRelayedCall(const HttpRequest &request, ConfigurationVersion &atLeast);
HttpResponse encodeRoutedAnswer(const RoutedAnswer &answer);
std::optional<RoutedAnswer> decodeRoutedAnswer(const HttpResponse &response, ProtocolError &error);
///@}

/**
 * Carries calls between instances by HTTP on an internal port. The port is not reachable for callers.
 *
 * Thread safety: only on the thread of the event loop.
 */
class CallRelay
{
public:
    /** Serves a call of a neighbour; calls the completion once. */
    using Serve = std::function<void(
        const CallerCall &, ConfigurationVersion atLeast, const std::function<void(const RoutedAnswer &)> &)>;

    CallRelay(boost::asio::io_context &loop, Serve serve);

    bool listen(const std::string &address, TransportError &error);
    /** Precondition: listen() succeeded. */
    unsigned short port() const;
    void startDraining();
    void closeIdle();
    std::size_t requestsInProgress() const;

    /** Sends a call to the instance at @p address. */
    void send(const std::string &address,
              const CallerCall &call,
              ConfigurationVersion atLeast,
              Duration limit,
              const RelayDone &done);

private:
    void handle(const HttpRequest &request, const AsyncHttpRespond &respond);

    Serve m_serve;
    AsyncHttpClient m_client;
    AsyncHttpServer m_server;
};

} // namespace coriander::workflow
