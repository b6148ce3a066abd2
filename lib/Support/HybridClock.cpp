#include "corianderscale/Support/HybridClock.h"

#include <algorithm>
#include <charconv>

namespace coriander {

namespace {

/** Remote times further ahead of the local wall clock are ignored, because the sender's clock is probably wrong. */
constexpr Duration MaximumClockLead = std::chrono::minutes(1);

std::optional<std::int64_t> parseNumber(std::string_view text)
{
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size() || number < 0) {
        return std::nullopt;
    }
    return number;
}

} // namespace

std::string HybridTime::toText() const
{
    return std::to_string(wallUs) + "." + std::to_string(logical);
}

std::optional<HybridTime> parseHybridTime(std::string_view text)
{
    const std::size_t dot = text.find('.');
    if (dot == std::string_view::npos) {
        return std::nullopt;
    }
    const std::optional<std::int64_t> wallUs = parseNumber(text.substr(0, dot));
    const std::optional<std::int64_t> logical = parseNumber(text.substr(dot + 1));
    if (!wallUs || !logical) {
        return std::nullopt;
    }
    return HybridTime{*wallUs, *logical};
}

HybridClock::HybridClock(Clock clock)
    : m_clock(std::move(clock))
{
}

HybridTime HybridClock::tick()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return advance(m_last);
}

void HybridClock::observe(HybridTime remote)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const Duration limit = m_clock.wallNow().time_since_epoch() + MaximumClockLead;
    if (remote.wallUs > limit.count()) {
        return;
    }
    advance(std::max(m_last, remote));
}

HybridTime HybridClock::advance(HybridTime minimum)
{
    const std::int64_t now = m_clock.wallNow().time_since_epoch().count();
    if (now > minimum.wallUs) {
        m_last = {now, 0};
    } else {
        m_last = {minimum.wallUs, minimum.logical + 1};
    }
    return m_last;
}

HybridClock &processClock()
{
    static HybridClock clock(systemClock());
    return clock;
}

} // namespace coriander
