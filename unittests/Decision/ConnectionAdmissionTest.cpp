#include "corianderscale/Decision/ConnectionAdmission.h"

#include <gtest/gtest.h>

namespace coriander::decision {
namespace {

constexpr ConnectionLimits Limits{1000, 10, 6, 4, 3};

// Guards against limits that apply to listeners for which none was set.
TEST(ConnectionAdmission, withoutLimitsEverythingIsAdmitted)
{
    const ConnectionLoad load{1 << 30, 1 << 29, 100000, 100000, 100000, 100000, 100000, false, false, 100000};
    EXPECT_EQ(decideConnection({}, load), ConnectionVerdict::Admit);
    EXPECT_EQ(decideAddress({}, load), ConnectionVerdict::Admit);
    EXPECT_EQ(decideRequest({}, load, 1 << 30), RequestVerdict::Admit);
}

// Guards against silent clients that keep others from connecting, and against closing connections with requests.
TEST(ConnectionAdmission, connectionsWithoutRequestsGiveWay)
{
    EXPECT_EQ(decideConnection(Limits, {.connections = 9, .newConnections = 5}), ConnectionVerdict::Admit);
    EXPECT_EQ(decideConnection(Limits, {.connections = 10, .newConnections = 1}), ConnectionVerdict::DropOldestNew);
    EXPECT_EQ(decideConnection(Limits, {.connections = 7, .newConnections = 6}), ConnectionVerdict::DropOldestNew);
    EXPECT_EQ(decideConnection(Limits, {.connections = 10, .newConnections = 0}), ConnectionVerdict::Wait);
    EXPECT_EQ(decideConnection(Limits, {.connections = 10, .idleConnections = 1}), ConnectionVerdict::DropOldestIdle);
    EXPECT_EQ(decideConnection(Limits, {.connections = 10, .unreadResponses = 1}), ConnectionVerdict::DropOldestUnread);
    EXPECT_EQ(decideConnection(Limits, {.connections = 10, .idleConnections = 1, .unreadResponses = 1}),
              ConnectionVerdict::DropOldestIdle);
    EXPECT_EQ(decideConnection(Limits, {.connections = 10, .newConnections = 1, .idleConnections = 1}),
              ConnectionVerdict::DropOldestNew);
}

// Guards against clients that connect again at once and push out those that are about to send a request.
TEST(ConnectionAdmission, recentConnectionsAreKept)
{
    ConnectionLoad load{.connections = 7, .newConnections = 6, .idleConnections = 1, .isOldestNewRecent = true};
    EXPECT_EQ(decideConnection(Limits, load), ConnectionVerdict::Wait);
    load.connections = 10;
    EXPECT_EQ(decideConnection(Limits, load), ConnectionVerdict::DropOldestIdle);
    load.idleConnections = 0;
    EXPECT_EQ(decideConnection(Limits, load), ConnectionVerdict::Wait);
    load.isOldestNewRecent = false;
    EXPECT_EQ(decideConnection(Limits, load), ConnectionVerdict::DropOldestNew);
}

// Guards against closing connections whose clients are about to take their responses.
TEST(ConnectionAdmission, responsesThatWereJustWrittenAreKept)
{
    ConnectionLoad load{.connections = 10, .unreadResponses = 2, .isOldestUnreadRecent = true};
    EXPECT_EQ(decideConnection(Limits, load), ConnectionVerdict::Wait);
    load.isOldestUnreadRecent = false;
    EXPECT_EQ(decideConnection(Limits, load), ConnectionVerdict::DropOldestUnread);
}

// Guards against one address that uses up the connections of all.
TEST(ConnectionAdmission, connectionsOfOneAddressAreBounded)
{
    EXPECT_EQ(decideAddress(Limits, {.connectionsOfAddress = 2}), ConnectionVerdict::Admit);
    EXPECT_EQ(decideAddress(Limits, {.connectionsOfAddress = 3}), ConnectionVerdict::Refuse);
}

// Guards against incomplete requests that keep new ones out.
TEST(ConnectionAdmission, incompleteRequestsGiveWay)
{
    const ConnectionLoad load{.bytes = 900, .incompleteBytes = 800, .incompleteRequests = 3};
    EXPECT_EQ(decideRequest(Limits, load, 100), RequestVerdict::Admit);
    EXPECT_EQ(decideRequest(Limits, load, 101), RequestVerdict::DropOldestIncomplete);
    EXPECT_EQ(decideRequest(Limits, load, 900), RequestVerdict::DropOldestIncomplete);
    EXPECT_EQ(decideRequest(Limits, {.incompleteRequests = 4}, 1), RequestVerdict::DropOldestIncomplete);
}

// Guards against giving up incomplete requests for one that does not fit beside the complete ones.
TEST(ConnectionAdmission, requestThatCannotFitIsRefused)
{
    const ConnectionLoad load{.bytes = 900, .incompleteBytes = 100, .incompleteRequests = 3};
    EXPECT_EQ(decideRequest(Limits, load, 201), RequestVerdict::Refuse);
    EXPECT_EQ(decideRequest(Limits, {.bytes = 900}, 101), RequestVerdict::Refuse);
}

// Guards against requests that need more memory than is counted: short header fields, bodies without a length.
TEST(ConnectionAdmission, sizesCoverFieldsAndGrowth)
{
    EXPECT_GE(incompleteRequestBytes({16000, 3000, 0, true}), 3000U * 200);
    EXPECT_GE(incompleteRequestBytes({0, 0, 250000, true}), 250000U);
    EXPECT_LT(incompleteRequestBytes({0, 0, 100, false}), 20000U);
    EXPECT_GE(incompleteRequestBytes({0, 0, 250000, false}), 500000U);
    EXPECT_GT(completeRequestBytes({0, 0, 250000, true}), incompleteRequestBytes({0, 0, 250000, true}));
}

} // namespace
} // namespace coriander::decision
