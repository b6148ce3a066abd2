#include "corianderscale/Decision/NeighbourChoice.h"

#include <algorithm>
#include <numeric>
#include <random>
#include <utility>

namespace coriander::decision {

namespace {

/** How long a neighbour that failed is asked after all others. */
constexpr Duration FailureMemory = std::chrono::seconds(1);

} // namespace

std::vector<std::size_t> chooseNeighbours(const std::vector<NeighbourView> &neighbours,
                                          std::uint64_t seed,
                                          std::size_t most)
{
    std::vector<std::size_t> order(neighbours.size());
    std::iota(order.begin(), order.end(), 0);
    std::mt19937_64 random(seed);
    std::shuffle(order.begin(), order.end(), random);
    const auto rank = [&neighbours](std::size_t index) {
        const NeighbourView &neighbour = neighbours[index];
        const bool failed = neighbour.sinceFailure && *neighbour.sinceFailure < FailureMemory;
        return std::pair(failed, !neighbour.sameDataCentre);
    };
    std::stable_sort(
        order.begin(), order.end(), [&rank](std::size_t left, std::size_t right) { return rank(left) < rank(right); });
    order.resize(std::min(order.size(), most));
    const auto firstFailed
        = std::find_if(order.begin(), order.end(), [&rank](std::size_t index) { return rank(index).first; });
    if (firstFailed != order.begin()) {
        order.erase(firstFailed, order.end());
    }
    return order;
}

} // namespace coriander::decision
