#include "corianderscale/Transport/GuardedHandler.h"

#include "corianderscale/Support/Log.h"

#include <exception>
#include <memory>
#include <utility>

namespace coriander {

AsyncHttpHandler makeGuardedHandler(AsyncHttpHandler handler)
{
    return [handler = std::move(handler)](const HttpRequest &request, const AsyncHttpRespond &respond) {
        const auto answered = std::make_shared<bool>(false);
        const AsyncHttpRespond respondOnce = [respond, answered](HttpResponse response) {
            if (!std::exchange(*answered, true)) {
                respond(std::move(response));
            }
        };
        try {
            handler(request, respondOnce);
        } catch (const std::exception &failure) {
            logEvent(LogLevel::Error,
                     "handler-failed",
                     {{"path", request.path}, {"answered", *answered}, {"reason", failure.what()}});
            respondOnce(errorResponse(500, "internal", "the request could not be handled"));
        }
    };
}

} // namespace coriander
