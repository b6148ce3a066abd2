#pragma once

#include "corianderscale/Support/Time.h"

#include <boost/asio/io_context.hpp>

#include <functional>

namespace coriander::soak {

/** Calls @p callback on the thread of @p loop after @p delay. The call is dropped when the loop ends earlier. */
void callAfter(boost::asio::io_context &loop, Duration delay, std::function<void()> callback);

} // namespace coriander::soak
