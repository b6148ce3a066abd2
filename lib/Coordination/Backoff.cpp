#include "corianderscale/Coordination/Backoff.h"

#include <algorithm>
#include <memory>
#include <random>

namespace coriander {

RandomUnit systemRandomUnit()
{
    const auto generator = std::make_shared<std::mt19937_64>(std::random_device{}());
    return [generator] {
        return std::uniform_real_distribution<double>(0.0, 1.0)(*generator);
    };
}

Duration backoffDelay(const BackoffSettings &settings, int tries, const RandomUnit &random)
{
    Duration delay = settings.initialDelay;
    for (int i = 1; i < tries && delay < settings.maximumDelay; ++i) {
        delay *= 2;
    }
    delay = std::min(delay, settings.maximumDelay);
    const double jitterFactor = 0.5 + 0.5 * random();
    return Duration(static_cast<std::int64_t>(static_cast<double>(delay.count()) * jitterFactor));
}

} // namespace coriander
