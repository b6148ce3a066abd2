#include "corianderscale/Workflow/NeighbourTable.h"

#include <memory>

#include "Workflow/FakeRowStore.h"

namespace coriander::workflow {
namespace {

using std::chrono::seconds;

/** Instances on a virtual time line. Their timers run on a real event loop, so renewals are made by starting again. */
class Neighbours : public ::testing::Test
{
protected:
    Neighbours()
        : m_store(m_timeline)
    {
    }

    NeighbourTable &add(const std::string &name, bool isOwner = false)
    {
        m_tables.push_back(std::make_unique<NeighbourTable>(m_loop,
                                                            NeighbourTable::Settings{},
                                                            m_timeline.clock(),
                                                            m_store,
                                                            Neighbour{name, DataCentreId("dc"), name + ":1"},
                                                            [isOwner] { return isOwner; }));
        m_tables.back()->start();
        m_timeline.runFor(seconds(1));
        return *m_tables.back();
    }

    Timeline m_timeline;
    FakeRowStore m_store;
    boost::asio::io_context m_loop;
    std::vector<std::unique_ptr<NeighbourTable>> m_tables;
};

// Guards against an instance that relays calls to itself, and against neighbours that are not found.
TEST_F(Neighbours, instancesFindEachOther)
{
    add("vm1");
    add("vm2");
    const NeighbourTable &third = add("vm3");
    const std::vector<Neighbour> found = third.neighbours();
    ASSERT_EQ(found.size(), 2U);
    EXPECT_EQ(found[0].instance, "vm1");
    EXPECT_EQ(found[1].address, "vm2:1");
}

// Guards against calls that are relayed to VMs that were removed, and against rows that stay for ever.
TEST_F(Neighbours, instancesThatAreGoneAreDroppedAndRemoved)
{
    add("vm1");
    NeighbourTable &owner = add("vm2", true);
    ASSERT_EQ(owner.neighbours().size(), 1U);
    m_timeline.runFor(seconds(400));
    EXPECT_TRUE(owner.neighbours().empty());
    owner.start();
    m_timeline.runFor(seconds(1));
    EXPECT_EQ(m_store.find(MembersTable, "vm1"), nullptr);
    EXPECT_NE(m_store.find(MembersTable, "vm2"), nullptr);
}

// Guards against one unreadable row hiding the other instances.
TEST_F(Neighbours, unreadableRowsAreIgnored)
{
    add("vm1");
    m_store.apply({{}, {{MembersTable, "vm0", "?", {}, false}}, {}});
    EXPECT_EQ(add("vm2").neighbours().size(), 1U);
}

} // namespace
} // namespace coriander::workflow
