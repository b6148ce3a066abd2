#include "corianderscale/Daemon/StatusRoutes.h"

#include <prometheus/text_serializer.h>

#include <sstream>

namespace coriander {

namespace {

HttpResponse textResponse(int status, std::string body)
{
    HttpResponse response;
    response.status = status;
    response.headers["Content-Type"] = "text/plain; charset=utf-8";
    response.body = std::move(body);
    return response;
}

} // namespace

void addStatusRoutes(HttpServer &server, const std::shared_ptr<DaemonStatus> &status)
{
    server.route("GET", "/metrics", [status](const HttpRequest &, const auto &, const HttpRespond &respond) {
        std::ostringstream text;
        prometheus::TextSerializer().Serialize(text, status->metrics->Collect());
        respond(textResponse(200, text.str()));
    });
    server.route("GET", "/healthz", [](const HttpRequest &, const auto &, const HttpRespond &respond) {
        respond(textResponse(200, "ok\n"));
    });
    server.route("GET", "/readyz", [status](const HttpRequest &, const auto &, const HttpRespond &respond) {
        if (status->ready.load()) {
            respond(textResponse(200, "ready\n"));
            return;
        }
        respond(textResponse(503, "not ready: starting or draining\n"));
    });
}

} // namespace coriander
