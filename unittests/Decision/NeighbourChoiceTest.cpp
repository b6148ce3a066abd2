#include "corianderscale/Decision/NeighbourChoice.h"

#include <gtest/gtest.h>

#include <set>

namespace coriander::decision {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against traffic between data centres while a neighbour of the same data centre can help.
TEST(NeighbourChoice, sameDataCentreComesFirst)
{
    const std::vector<NeighbourView> neighbours{{false, {}}, {true, {}}, {false, {}}};
    EXPECT_EQ(chooseNeighbours(neighbours, 1, 3).front(), 1U);
}

// Guards against asking an instance that has just failed, and against never asking it again.
TEST(NeighbourChoice, failedNeighboursAreAskedLast)
{
    std::vector<NeighbourView> neighbours{{true, milliseconds(100)}, {false, {}}};
    EXPECT_EQ(chooseNeighbours(neighbours, 1, 3), std::vector<std::size_t>{1});
    neighbours[1].sinceFailure = milliseconds(50);
    EXPECT_EQ(chooseNeighbours(neighbours, 1, 3).size(), 2U);
    neighbours[0].sinceFailure = seconds(5);
    EXPECT_EQ(chooseNeighbours(neighbours, 1, 3), std::vector<std::size_t>{0});
}

// Guards against all calls of an instance going to the same neighbour.
TEST(NeighbourChoice, callsSpreadOverTheNeighbours)
{
    const std::vector<NeighbourView> neighbours(8, {true, {}});
    std::set<std::size_t> first;
    for (std::uint64_t seed = 0; seed < 100; ++seed) {
        first.insert(chooseNeighbours(neighbours, seed, 2).front());
    }
    EXPECT_EQ(first.size(), neighbours.size());
}

TEST(NeighbourChoice, choosesNoneOfNone)
{
    EXPECT_TRUE(chooseNeighbours({}, 1, 3).empty());
}

} // namespace
} // namespace coriander::decision
