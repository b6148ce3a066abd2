#include "corianderscale/Workflow/StoreWatch.h"

#include "Workflow/FakeRowStore.h"

namespace coriander::workflow {
namespace {

using std::chrono::seconds;

class Watch : public ::testing::Test
{
protected:
    Watch()
        : m_store(m_timeline)
        , m_watch({}, m_timeline.clock(), m_store, [this](bool reachable, const std::string &) {
            m_changes.push_back(reachable);
        })
    {
    }

    void write(Duration limit = milliseconds(700))
    {
        m_watch.change({{}, {{"t", "k", "v", {}, false}}, {}}, limit, [](const ChangeResult &) {});
    }

    Timeline m_timeline;
    FakeRowStore m_store;
    std::vector<bool> m_changes;
    StoreWatch m_watch;
};

// Guards against calls that are sent to a store which refuses every call.
TEST_F(Watch, refusedCallsShowAnUnreachableStore)
{
    write();
    m_timeline.runFor(seconds(1));
    EXPECT_EQ(m_watch.reach(), StoreReach::Reachable);
    m_store.isUnreachable = true;
    write();
    m_timeline.runFor(milliseconds(10));
    EXPECT_EQ(m_watch.reach(), StoreReach::Reachable) << "one failure may be a lost answer";
    write();
    m_timeline.runFor(milliseconds(10));
    EXPECT_EQ(m_watch.reach(), StoreReach::Unreachable);
    EXPECT_TRUE(m_watch.unreachableSince());
    m_store.isUnreachable = false;
    write();
    m_timeline.runFor(milliseconds(10));
    EXPECT_EQ(m_watch.reach(), StoreReach::Reachable);
    EXPECT_FALSE(m_watch.unreachableSince());
    EXPECT_EQ(m_changes, (std::vector<bool>{false, true}));
}

// Guards against a store that drops all calls being noticed only after two full timeouts.
TEST_F(Watch, callWithoutAnswerCountsBeforeItsTimeout)
{
    write();
    m_timeline.runFor(seconds(1));
    m_store.requestLost = 1;
    write(milliseconds(300));
    write(seconds(3));
    m_timeline.runFor(milliseconds(410));
    EXPECT_EQ(m_watch.reach(), StoreReach::Unreachable);
}

// Guards against a call on a connection that went silent hiding that other calls are answered.
TEST_F(Watch, failureOfAnEarlierCallIsIgnored)
{
    m_store.requestLost = 1;
    write();
    write();
    m_timeline.runFor(milliseconds(200));
    m_store.requestLost = 0;
    write();
    m_timeline.runFor(seconds(1));
    EXPECT_EQ(m_watch.reach(), StoreReach::Reachable);
    EXPECT_TRUE(m_changes.empty());
}

} // namespace
} // namespace coriander::workflow
