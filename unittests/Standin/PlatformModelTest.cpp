#include "corianderscale/Standin/PlatformModel.h"

#include "corianderscale/Support/ManualClock.h"

#include <gtest/gtest.h>

namespace coriander {
namespace {

class PlatformModelTest : public ::testing::Test
{
protected:
    PlatformModelTest()
        : m_model({.writesPerSecond = 2,
                   .readsPerSecond = 10,
                   .vmListLag = std::chrono::seconds(2),
                   .vmTimeout = std::chrono::seconds(5)})
    {
    }

    TimedResponse send(const std::string &method,
                       const std::string &path,
                       const std::string &body = {},
                       std::string key = {})
    {
        HttpRequest request;
        request.method = method;
        request.path = path;
        request.body = body;
        std::vector<std::string> captures;
        if (!key.empty()) {
            captures.push_back(std::move(key));
        }
        return m_model.handle(request, captures, m_time.clock().now());
    }

    int put(const std::string &operation, const std::string &key)
    {
        TableTransaction transaction;
        transaction.operation = OperationId(operation);
        transaction.conditions = {{key, RowVersion(0)}};
        transaction.puts = {{key, "value"}};
        return send("POST", "/table/txn", encodeMessage(transaction)).response.status;
    }

    std::size_t listedVms()
    {
        ProtocolError error;
        const auto list = decodeMessage<VmList>(send("GET", "/vms").response.body, error);
        EXPECT_TRUE(list) << error.reason;
        return list ? list->vms.size() : 0;
    }

    ManualClock m_time;
    PlatformModel m_model;
};

// Guards against a conflicting write being applied, or a repeated operation being refused.
TEST_F(PlatformModelTest, reportsConflictsAndRepeatsOutcomes)
{
    EXPECT_EQ(put("first", "a"), 200);
    EXPECT_EQ(put("second", "a"), 409);
    m_time.advance(std::chrono::seconds(1));
    EXPECT_EQ(put("first", "a"), 200);
}

// Guards against a rate limit that is not enforced, gives no Retry-After, or never recovers.
TEST_F(PlatformModelTest, refusesWritesAboveRateLimit)
{
    EXPECT_EQ(put("1", "a"), 200);
    EXPECT_EQ(put("2", "b"), 200);
    const TimedResponse refused = send("POST", "/table/txn", R"({"operation":"3"})");
    EXPECT_EQ(refused.response.status, 503);
    EXPECT_EQ(refused.response.header("Retry-After"), "1");
    m_time.advance(std::chrono::seconds(1));
    EXPECT_EQ(put("4", "d"), 200);
}

// Guards against a VM list without lag, and against VMs without announcements staying in the list.
TEST_F(PlatformModelTest, listsVmsWithLagAndDropsSilentVms)
{
    EXPECT_EQ(send("POST", "/vms", encodeMessage(VmEntry{"w1", "worker", DataCentreId("d"), "http://x", {}, "live"}))
                  .response.status,
              200);
    EXPECT_EQ(listedVms(), 0U);
    m_time.advance(std::chrono::seconds(2));
    EXPECT_EQ(listedVms(), 1U);
    m_time.advance(std::chrono::seconds(5));
    EXPECT_EQ(listedVms(), 1U);
    m_time.advance(std::chrono::milliseconds(1));
    EXPECT_EQ(listedVms(), 0U);
}

// Guards against a lose-answers fault that also suppresses the write, or that lasts longer than requested.
TEST_F(PlatformModelTest, loseAnswersFaultAppliesWrites)
{
    ASSERT_EQ(send("POST", "/standin/faults", R"({"mode":"lose-answers","forMs":1000})").response.status, 200);
    TableTransaction transaction;
    transaction.operation = OperationId("lost");
    transaction.puts = {{"k", "v"}};
    const TimedResponse lost = send("POST", "/table/txn", encodeMessage(transaction));
    EXPECT_GT(lost.sendAt, m_time.clock().now() + std::chrono::seconds(20));
    m_time.advance(std::chrono::seconds(1));
    const TimedResponse read = send("POST", "/table/read", R"({"keys":["k"]})");
    EXPECT_EQ(read.sendAt, m_time.clock().now());
    EXPECT_NE(read.response.body.find("\"v\""), std::string::npos);
}

// Guards against a default fault that leaves the object store working or affects the VM list.
TEST_F(PlatformModelTest, downFaultAffectsTableAndObjectsOnly)
{
    ASSERT_EQ(send("PUT", "/objects/a", "content", "a").response.status, 200);
    ASSERT_EQ(send("POST", "/standin/faults", R"({"mode":"down"})").response.status, 200);
    EXPECT_EQ(send("GET", "/objects/a", {}, "a").response.status, 503);
    EXPECT_EQ(put("1", "a"), 503);
    EXPECT_EQ(send("GET", "/vms").response.status, 200);
    ASSERT_EQ(send("POST", "/standin/faults", R"({"mode":"none"})").response.status, 200);
    EXPECT_EQ(send("GET", "/objects/a", {}, "a").response.body, "content");
    EXPECT_EQ(send("GET", "/objects/b", {}, "b").response.status, 404);
}

// Guards against a misspelled fault request being ignored, so that a test passes without its fault.
TEST_F(PlatformModelTest, refusesUnknownFaults)
{
    EXPECT_EQ(send("POST", "/standin/faults", R"({"mode":"donw"})").response.status, 400);
    EXPECT_EQ(send("POST", "/standin/faults", R"({"mode":"down","formS":3})").response.status, 400);
}

} // namespace
} // namespace coriander
