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
/** A release of the term that a neighbour is asked to store. Precondition: @p release has one expectation and one
 * write, as from TermChain::releaseForOthers(). */
HttpRequest encodeTermRelease(const RowChange &release);
std::optional<RowChange> decodeTermRelease(const HttpRequest &request);
///@}

/**
 * Carries calls, and releases of the term, between instances by HTTP on an internal port. The port is not reachable for
 * callers.
 *
 * Thread safety: only on the thread of the event loop.
 */
class CallRelay
{
public:
    /** Serves a call of a neighbour; calls the completion once. */
    using Serve = std::function<void(
        const CallerCall &, ConfigurationVersion atLeast, const std::function<void(const RoutedAnswer &)> &)>;

    /** Stores the release of the term for a neighbour; calls the completion with whether it is stored. */
    using StoreRelease = std::function<void(const RowChange &, const std::function<void(bool stored)> &)>;

    CallRelay(boost::asio::io_context &loop, Serve serve, StoreRelease storeRelease);

    /** Sets the limits of what neighbours send. Precondition: listen() was not called. */
    void setConnectionLimits(const decision::ConnectionLimits &limits);
    bool listen(const std::string &address, TransportError &error);
    /** Precondition: listen() succeeded. */
    unsigned short port() const;
    void startDraining();
    void closeIdle();
    std::size_t requestsInProgress() const;
    /** What the listener holds, and the refusals. */
    decision::ConnectionLoad load() const;
    const HttpRefusals &refusals() const;

    /** Sends a call to the instance at @p address. */
    void send(const std::string &address,
              const CallerCall &call,
              ConfigurationVersion atLeast,
              Duration limit,
              const RelayDone &done);

    /** Asks the instance at @p address to store a release of the term. */
    void sendRelease(const std::string &address,
                     const RowChange &release,
                     Duration limit,
                     const std::function<void(bool stored)> &done);

private:
    void handle(const HttpRequest &request, const AsyncHttpRespond &respond);

    Serve m_serve;
    StoreRelease m_storeRelease;
    AsyncHttpClient m_client;
    AsyncHttpServer m_server;
};

} // namespace coriander::workflow
