#pragma once

#include "corianderscale/Transport/Http.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace coriander {

/** Receives the response, or no value and the error. Runs on a thread of the HTTP library. */
using HttpCompletion = std::function<void(std::optional<HttpResponse>, const TransportError &)>;

/**
 * HTTP/1.1 client over cpprestsdk with persistent connections to each address.
 *
 * Thread safety: all methods may be called from any thread.
 */
class HttpClient
{
public:
    /** @p clock is the clock that deadlines refer to. */
    explicit HttpClient(Clock clock);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /**
     * Sends @p request to the base address, such as `http://127.0.0.1:8080`, and calls @p done exactly once, at the
     * latest when the deadline passes. TransportCode::Unreachable proves that nothing was sent.
     */
    void send(const std::string &address, const HttpRequest &request, MonotonicTime deadline, HttpCompletion done);

    /** Sends and waits for the response. Precondition: not called on a thread of the HTTP library. */
    std::optional<HttpResponse> call(const std::string &address,
                                     const HttpRequest &request,
                                     MonotonicTime deadline,
                                     TransportError &error);

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace coriander
