#include "corianderscale/Coordination/Ownership.h"

#include "corianderscale/Support/ManualClock.h"

#include <gtest/gtest.h>

#include "Coordination/FakeStore.h"

namespace coriander {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class OwnershipTest : public testing::Test
{
protected:
    std::unique_ptr<Ownership> make(const std::string &name)
    {
        Ownership::Settings settings;
        settings.dataCentre = DataCentreId("dc1");
        settings.instance = InstanceId(name);
        Ownership::Hooks hooks = ownershipHooks(m_store);
        hooks.lost = [this](Epoch, const std::string &) {
            ++m_losses;
        };
        return std::make_unique<Ownership>(settings, hooks);
    }

    /** Steps the given instances for a time. */
    void run(Duration time, const std::vector<Ownership *> &instances)
    {
        constexpr Duration Step = milliseconds(100);
        for (Duration elapsed{}; elapsed < time; elapsed += Step) {
            for (Ownership *instance : instances) {
                instance->step(now());
            }
            m_clock.advance(Step);
        }
    }

    MonotonicTime now()
    {
        return m_clock.clock().now();
    }

    /** Applies a fault to the next @p count commits. */
    void faultCommits(StoreFault fault, int count)
    {
        const auto left = std::make_shared<int>(count);
        m_store.setFaults([fault, left](const std::string &operation, const OperationId &) {
            return operation == "commit" && (*left)-- > 0 ? fault : StoreFault::None;
        });
    }

    ManualClock m_clock;
    FakeStore m_store{m_clock.clock()};
    int m_losses = 0;
};

// Guards against a data centre without an owner, and against an owner that fails to renew its term.
TEST_F(OwnershipTest, firstInstanceAcquiresAndRenews)
{
    const auto a = make("a");
    const auto b = make("b");
    run(seconds(60), {a.get(), b.get()});
    EXPECT_EQ(a->ownedEpoch(now()), Epoch(1));
    EXPECT_FALSE(b->ownedEpoch(now()));
    EXPECT_EQ(b->owner()->owner, InstanceId("a"));
    EXPECT_EQ(m_losses, 0);
}

// Guards against a dead owner that blocks its data centre, and against a takeover before the term has ended.
TEST_F(OwnershipTest, challengerTakesOverAfterOneTerm)
{
    const auto a = make("a");
    const auto b = make("b");
    run(seconds(1), {a.get(), b.get()});
    run(milliseconds(9000), {b.get()});
    EXPECT_FALSE(b->ownedEpoch(now()));
    run(milliseconds(2500), {b.get()});
    EXPECT_EQ(b->ownedEpoch(now()), Epoch(2));
}

// Guards against a paused holder that gives orders after its term has ended.
TEST_F(OwnershipTest, pausedHolderLosesOwnershipWithItsTerm)
{
    const auto a = make("a");
    run(seconds(1), {a.get()});
    ASSERT_TRUE(a->ownedEpoch(now()));
    m_clock.advance(seconds(10));
    EXPECT_FALSE(a->ownedEpoch(now())) << "without any step";
    run(seconds(1), {a.get()});
    EXPECT_EQ(m_losses, 1);
    EXPECT_EQ(a->ownedEpoch(now()), Epoch(2)) << "a lost epoch is not held again";
}

// Guards against changes of the wall clock, by time synchronisation or an operator, that end or extend a term.
TEST_F(OwnershipTest, wallClockJumpsAreIgnored)
{
    const auto a = make("a");
    const auto b = make("b");
    for (const int hours : {-48, 96, -1}) {
        m_clock.jumpWall(std::chrono::hours(hours));
        run(seconds(15), {a.get(), b.get()});
        EXPECT_EQ(a->ownedEpoch(now()), Epoch(1));
    }
}

// Guards against a lost answer after which an instance does not know that it is the owner, or loses ownership.
TEST_F(OwnershipTest, lostAnswersAreReadBack)
{
    const auto a = make("a");
    faultCommits(StoreFault::AnswerLost, 1);
    run(seconds(1), {a.get()});
    EXPECT_EQ(a->ownedEpoch(now()), Epoch(1)) << "acquired";
    faultCommits(StoreFault::AnswerLost, 5);
    run(seconds(30), {a.get()});
    EXPECT_EQ(a->ownedEpoch(now()), Epoch(1)) << "renewed";
    EXPECT_EQ(m_losses, 0);
    faultCommits(StoreFault::AnswerLost, 1);
    a->release(now());
    EXPECT_FALSE(a->ownedEpoch(now()));
    run(seconds(2), {a.get()});
    EXPECT_TRUE(a->released());
}

// Guards against loss of ownership after single lost requests, and against keeping it while the store stays
// unavailable.
TEST_F(OwnershipTest, ownershipEndsWhileStoreIsUnavailableAndIsReacquired)
{
    const auto a = make("a");
    run(seconds(1), {a.get()});
    faultCommits(StoreFault::RequestLost, 2);
    run(seconds(9), {a.get()});
    EXPECT_EQ(a->ownedEpoch(now()), Epoch(1));
    m_store.setFaults([](const std::string &, const OperationId &) { return StoreFault::Unavailable; });
    run(seconds(11), {a.get()});
    EXPECT_FALSE(a->ownedEpoch(now()));
    m_store.setFaults({});
    run(seconds(2), {a.get()});
    EXPECT_EQ(a->ownedEpoch(now()), Epoch(2));
}

// Guards against a graceful shutdown that leaves the data centre without an owner for a whole term.
TEST_F(OwnershipTest, releaseLetsAnotherInstanceAcquireAtOnce)
{
    const auto a = make("a");
    const auto b = make("b");
    run(seconds(5), {a.get(), b.get()});
    a->release(now());
    EXPECT_FALSE(a->ownedEpoch(now())) << "before the write is sent";
    run(milliseconds(1500), {a.get(), b.get()});
    EXPECT_TRUE(a->released());
    EXPECT_EQ(b->ownedEpoch(now()), Epoch(2));
    run(seconds(30), {a.get(), b.get()});
    EXPECT_FALSE(a->ownedEpoch(now())) << "an instance that has released does not acquire again";
}

// Guards against a shutdown that hangs in an instance that was never the owner.
TEST_F(OwnershipTest, releaseWithoutOwnershipNeedsNoWrite)
{
    const auto a = make("a");
    const auto b = make("b");
    run(seconds(1), {a.get(), b.get()});
    b->release(now());
    run(seconds(1), {b.get()});
    EXPECT_TRUE(b->released());
    EXPECT_TRUE(a->ownedEpoch(now()));
}

// Guards against epochs that restart at 1 because the row could not be decoded.
TEST_F(OwnershipTest, malformedRowIsNotAcquired)
{
    m_store.commit({OperationId("x"), {}, {{"owner/dc1", "not json"}}, {}}, {}, [](const auto &, const auto &) {});
    const auto a = make("a");
    run(seconds(30), {a.get()});
    EXPECT_FALSE(a->ownedEpoch(now()));
    EXPECT_EQ(m_store.commits(), 1);
}

} // namespace
} // namespace coriander
