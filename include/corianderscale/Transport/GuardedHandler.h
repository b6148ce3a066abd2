#pragma once

#include "corianderscale/Transport/AsyncHttpServer.h"

namespace coriander {

/**
 * A handler that calls @p handler and, if that throws, logs `handler-failed` and answers the request with 500, so that
 * one request does not end the process. If the request was answered before, that answer stands. State that @p handler
 * shares with others must not be half changed when it throws. Thread safety: as @p handler.
 */
AsyncHttpHandler makeGuardedHandler(AsyncHttpHandler handler);

} // namespace coriander
