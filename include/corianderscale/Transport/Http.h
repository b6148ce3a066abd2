#pragma once

#include "corianderscale/Support/Error.h"
#include "corianderscale/Support/Time.h"

#include <map>
#include <string>

namespace coriander {

/** Compares header names without regard to case. */
struct HeaderLess {
    bool operator()(const std::string &left, const std::string &right) const;
};

using HttpHeaders = std::map<std::string, std::string, HeaderLess>;

/** An HTTP request, on the client's or the server's side. */
struct HttpRequest {
    /** `GET`, `POST`, `PUT` or `DELETE`. */
    std::string method = "GET";
    /** Decoded path without query. On the client's side `%2F` stands for a slash inside one part of the path. */
    std::string path = "/";
    /** Path as received, without query; only on the server's side. */
    std::string encodedPath;
    std::map<std::string, std::string> query;
    HttpHeaders headers;
    std::string body;

    /** The value of a header, or empty text. */
    std::string header(const std::string &name) const;
    /** The value of a query parameter, or empty text. */
    std::string parameter(const std::string &name) const;
};

/** An HTTP response. */
struct HttpResponse {
    int status = 200;
    HttpHeaders headers;
    std::string body;

    /** The value of a header, or empty text. */
    std::string header(const std::string &name) const;
};

/** A response with a JSON body. */
HttpResponse jsonResponse(int status, std::string body);

/** The body by which a server rejects a request that no handler has run; both texts need no JSON escapes. */
HttpResponse errorResponse(int status, const std::string &code, const std::string &reason);

} // namespace coriander
