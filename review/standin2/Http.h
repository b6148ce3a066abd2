#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <string>

namespace review {

using Json = nlohmann::json;
using SteadyClock = std::chrono::steady_clock;

struct Request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    /** Names in lower case. */
    std::map<std::string, std::string> headers;
    std::string body;
};

struct Response {
    /** 0 closes the connection without a response. */
    int status = 0;
    std::string body;
};

using Handler = std::function<Response(const Request &)>;

/** Serves HTTP/1.1 on the loopback address of this process with a thread for each connection. The handler runs on these
 * threads and may block. */
void serve(unsigned short port, Handler handler);

/** Sends one request on a new connection; status 0 if no complete response arrives in time. */
Response call(const std::string &method,
              const std::string &address,
              const std::string &path,
              const std::map<std::string, std::string> &headers,
              const std::string &body,
              std::chrono::milliseconds limit);

/** A free TCP port of the loopback address of this process; each call gives another one. */
unsigned short freePort();

/** The address of a port of this process, `IPv4:port`. */
std::string loopback(unsigned short port);

} // namespace review
