#pragma once

#include "corianderscale/Support/Time.h"

#include <boost/asio/io_context.hpp>

#include <functional>

namespace coriander::soak {

/** Calls @p next on the thread of @p loop after @p pause. The call is dropped when the loop ends earlier. */
void callAfter(boost::asio::io_context &loop, Duration pause, std::function<void()> next);

} // namespace coriander::soak
