#include "Soak/CallAfter.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace coriander::soak {

void callAfter(boost::asio::io_context &loop, Duration pause, std::function<void()> next)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(loop, pause);
    timer->async_wait([timer, next = std::move(next)](boost::system::error_code code) {
        if (!code) {
            next();
        }
    });
}

} // namespace coriander::soak
