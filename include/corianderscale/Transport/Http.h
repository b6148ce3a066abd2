#pragma once

#include "corianderscale/Support/Error.h"
#include "corianderscale/Support/Time.h"

#include <map>
#include <string>

namespace coriander {

/** Orders header names case-insensitively. */
struct HeaderLess {
    bool operator()(const std::string &left, const std::string &right) const;
};

using HttpHeaders = std::map<std::string, std::string, HeaderLess>;

/** An HTTP request, on the client's or the server's side. */
struct HttpRequest {
    /** `GET`, `POST`, `PUT` or `DELETE`. */
    std::string method = "GET";
    /** Decoded path without query. On the client's side, `%2F` is a slash inside a path segment. */
    std::string path = "/";
    /** Path as received, still percent-encoded, without query; set only on the server's side. */
    std::string encodedPath;
    std::map<std::string, std::string> query;
    HttpHeaders headers;
    std::string body;

    /** Returns the value of a header, or an empty string. */
    std::string header(const std::string &name) const;
    /** Returns the value of a query parameter, or an empty string. */
    std::string parameter(const std::string &name) const;
};

/** An HTTP response. */
struct HttpResponse {
    int status = 200;
    HttpHeaders headers;
    std::string body;

    /** Returns the value of a header, or an empty string. */
    std::string header(const std::string &name) const;
};

/** Returns a response with a JSON body. */
HttpResponse jsonResponse(int status, std::string body);

/**
 * Returns the error response to a request that was rejected before a handler ran. Precondition: @p code and @p reason
 * need no JSON escaping.
 */
HttpResponse errorResponse(int status, const std::string &code, const std::string &reason);

} // namespace coriander
