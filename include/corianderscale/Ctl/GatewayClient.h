#pragma once

#include "corianderscale/Ctl/Ctl.h"
#include "corianderscale/Protocol/JsonReader.h"

#include <optional>
#include <string>
#include <vector>

namespace coriander {

/**
 * Calls the operators' routes of the first reachable gateway.
 *
 * Thread safety: one thread.
 */
class GatewayClient
{
public:
    GatewayClient(const CtlHooks &hooks, std::vector<std::string> gateways, std::string token, Duration wait);

    /**
     * Sends a call. Tries the next gateway when one is unreachable; for read-only calls also when the answer is lost or
     * has status 503. Prints a message for each gateway without an answer; returns no value when none answered.
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

/** The exit code for an answer of a gateway. Thread safety: pure function. */
int exitCodeOf(const HttpResponse &response);

/** Prints the error of an answer and the document faults that it lists; returns the exit code. */
int printError(const HttpResponse &response, std::ostream &err);

} // namespace coriander
