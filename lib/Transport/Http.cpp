#include "corianderscale/Transport/Http.h"

#include <strings.h>

namespace coriander {

bool HeaderLess::operator()(const std::string &left, const std::string &right) const
{
    return strcasecmp(left.c_str(), right.c_str()) < 0;
}

namespace {

template<typename Map>
std::string valueOf(const Map &map, const std::string &key)
{
    const auto found = map.find(key);
    return found == map.end() ? std::string() : found->second;
}

} // namespace

std::string HttpRequest::header(const std::string &name) const
{
    return valueOf(headers, name);
}

std::string HttpRequest::parameter(const std::string &name) const
{
    return valueOf(query, name);
}

std::string HttpResponse::header(const std::string &name) const
{
    return valueOf(headers, name);
}

HttpResponse jsonResponse(int status, std::string body)
{
    HttpResponse response;
    response.status = status;
    response.headers["Content-Type"] = "application/json";
    response.body = std::move(body);
    return response;
}

HttpResponse errorResponse(int status, const std::string &code, const std::string &reason)
{
    return jsonResponse(
        status, "{\"error\":{\"code\":\"" + code + "\",\"outcome\":\"rejected\",\"reason\":\"" + reason + "\"}}");
}

} // namespace coriander
