#include "Soak/CallAfter.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace coriander::soak {

void callAfter(boost::asio::io_context &loop, Duration delay, std::function<void()> callback)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(loop, delay);
    timer->async_wait([timer, callback = std::move(callback)](boost::system::error_code code) {
        if (!code) {
            callback();
        }
    });
}

} // namespace coriander::soak
