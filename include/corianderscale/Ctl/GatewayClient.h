#pragma once

#include "corianderscale/Ctl/Ctl.h"
#include "corianderscale/Protocol/JsonReader.h"

#include <optional>
#include <string>
#include <vector>

namespace coriander {

/**
 * Calls the operators' routes of the first gateway that can be reached.
 *
 * Thread safety: one thread.
 */
class GatewayClient
{
public:
    GatewayClient(const CtlHooks &hooks, std::vector<std::string> gateways, std::string token, Duration wait);

    /**
     * Sends a call. The next gateway is tried when one cannot be reached, and for reading calls also when its answer is
     * lost or it is cut off. No value when no gateway has answered; then a message was printed.
     */
    std::optional<HttpResponse> call(const std::string &method,
                                     const std::string &path,
                                     const std::map<std::string, std::string> &query = {},
                                     const std::string &body = {});

private:
    const CtlHooks &m_hooks;
    std::vector<std::string> m_gateways;
    std::string m_token;
    Duration m_wait;
};

/** The exit code that goes with an answer of a gateway. Thread safety: pure function. */
int exitCodeOf(const HttpResponse &response);

/** Prints the error of an answer, with the faults of a document when it has any; returns the exit code. */
int printError(const HttpResponse &response, std::ostream &err);

} // namespace coriander
