#include "corianderscale/Workflow/TermChain.h"

#include <memory>

#include "Workflow/FakeRowStore.h"

namespace coriander::workflow {
namespace {

using std::chrono::seconds;

/** An instance that writes a counter row while it owns the term. */
class Instance
{
public:
    Instance(Timeline &timeline, RowStore &store, const std::string &instance)
        : m_chain({},
                  timeline.clock(),
                  InstanceId(instance),
                  store,
                  {[this](Epoch epoch) { wonEpochs.push_back(epoch); },
                   [this](const std::string &) { m_writing.reset(); },
                   [this](const ChangeLimits &) -> std::optional<RowChange> {
                       if (!writes) {
                           return std::nullopt;
                       }
                       m_writing = written + 1;
                       const std::string value
                           = std::to_string(wonEpochs.back().count()) + ":" + std::to_string(*m_writing);
                       return RowChange{{}, {{"work", "counter", value, {}, false}}, {}};
                   },
                   [this] { written = m_writing.value_or(written); },
                   [](MonotonicTime) {},
                   [] { return true; },
                   [this] {
                       return backlogFull;
                   }})
    {
    }

    TermChain &chain()
    {
        return m_chain;
    }

    std::vector<Epoch> wonEpochs;
    bool writes = true;
    bool paused = false;
    std::int64_t written = 0;
    /** No value while the instance does not know the jobs. */
    std::optional<bool> backlogFull;

private:
    std::optional<std::int64_t> m_writing;
    TermChain m_chain;
};

/** A store that answers slowly. A write takes effect after half the answer time, even if its call timed out. */
class SlowStore : public RowStore
{
public:
    SlowStore(Timeline &timeline, FakeRowStore &store, Duration answerTime, Duration readTime = Duration(0))
        : m_timeline(timeline)
        , m_store(store)
        , m_answerTime(answerTime)
        , m_readTime(readTime)
    {
    }

    void change(RowChange change, Duration limit, ChangeDone done) override
    {
        const bool inTime = m_answerTime <= limit;
        m_timeline.after(m_answerTime / 2, [this, change, inTime, done] {
            const ChangeResult result = m_store.apply(change);
            if (inTime) {
                m_timeline.after(m_answerTime / 2, [done, result] { done(result); });
            }
        });
        if (!inTime) {
            m_timeline.after(limit, [done] { done({ChangeOutcome::Unknown, {}, {}, "no response in time"}); });
        }
    }

    void read(const std::string &table,
              const std::string &from,
              const std::string &to,
              Duration limit,
              PageDone done) override
    {
        m_timeline.after(m_readTime, [this, table, from, to, limit, done = std::move(done)] {
            m_store.read(table, from, to, limit, done);
        });
    }

    void follow(const std::string &table, RowVersion after, Duration wait, Duration limit, PageDone done) override
    {
        m_store.follow(table, after, wait, limit, std::move(done));
    }

private:
    Timeline &m_timeline;
    FakeRowStore &m_store;
    Duration m_answerTime;
    Duration m_readTime;
};

class Chain : public ::testing::Test
{
protected:
    Chain()
        : m_store(m_timeline)
    {
        tick();
    }

    Instance &add(const std::string &instance)
    {
        m_instances.push_back(std::make_unique<Instance>(m_timeline, m_store, instance));
        return *m_instances.back();
    }

    std::size_t owners() const
    {
        std::size_t count = 0;
        for (const auto &member : m_instances) {
            count += member->chain().owned() ? 1 : 0;
        }
        return count;
    }

    Timeline m_timeline;
    FakeRowStore m_store;
    std::vector<std::unique_ptr<Instance>> m_instances;

private:
    void tick()
    {
        for (const auto &member : m_instances) {
            if (!member->paused) {
                member->chain().step();
            }
        }
        m_timeline.after(milliseconds(20), [this] { tick(); });
    }
};

// Guards against two owners, or none, after all instances start at once.
TEST_F(Chain, oneOfManyIsElected)
{
    for (const char *name : {"a/1", "b/1", "c/1"}) {
        add(name);
    }
    m_timeline.runFor(seconds(3));
    EXPECT_EQ(owners(), 1U);
}

// Guards against a term that stays with an owner that does not run, and against writes of that owner after it resumes.
TEST_F(Chain, silentOwnerIsReplacedAndFenced)
{
    Instance &first = add("a/1");
    m_timeline.runFor(seconds(2));
    ASSERT_TRUE(first.chain().owned());
    Instance &second = add("b/1");
    m_timeline.runFor(seconds(1));
    first.paused = true;
    m_timeline.runFor(seconds(4));
    ASSERT_TRUE(second.chain().owned());
    second.writes = false;
    m_timeline.runFor(seconds(1));
    const std::string value = m_store.find("work", "counter")->value;
    first.paused = false;
    m_timeline.runFor(seconds(1));
    EXPECT_FALSE(first.chain().owned());
    EXPECT_EQ(m_store.find("work", "counter")->value, value);
}

// Guards against a delay of seconds after an owner released the term.
TEST_F(Chain, releasedTermIsTakenAtTheNextRead)
{
    Instance &first = add("a/1");
    m_timeline.runFor(seconds(2));
    Instance &second = add("b/1");
    m_timeline.runFor(seconds(1));
    first.chain().release("test");
    m_timeline.runFor(milliseconds(800));
    EXPECT_TRUE(second.chain().owned());
    EXPECT_FALSE(first.chain().owned());
}

// Guards against instances that go on accepting jobs although the owner can hold no more, and against a new owner that
// accepts them until it knows its jobs.
TEST_F(Chain, allInstancesLearnWhetherTheBacklogIsFull)
{
    Instance &first = add("a/1");
    m_timeline.runFor(seconds(2));
    Instance &second = add("b/1");
    first.backlogFull = true;
    m_timeline.runFor(seconds(1));
    EXPECT_TRUE(first.chain().backlogFull());
    EXPECT_TRUE(second.chain().backlogFull());
    first.chain().release("test");
    m_timeline.runFor(seconds(1));
    ASSERT_TRUE(second.chain().owned());
    EXPECT_TRUE(second.chain().backlogFull());
    second.backlogFull = false;
    m_timeline.runFor(seconds(1));
    EXPECT_FALSE(second.chain().backlogFull());
    EXPECT_FALSE(first.chain().backlogFull());
}

// Guards against waiting for the silence timeout when the node of the owner has restarted.
TEST_F(Chain, nextRunOfTheOwnersNodeTakesTheTermAtOnce)
{
    add("a/1");
    m_timeline.runFor(seconds(2));
    m_instances.clear();
    Instance &next = add("a/2");
    m_timeline.runFor(milliseconds(200));
    EXPECT_TRUE(next.chain().owned());
}

// Guards against a change of owner, or two owners, because the store was unreachable for 8 s.
TEST_F(Chain, storeOutageDoesNotChangeTheOwner)
{
    Instance &first = add("a/1");
    m_timeline.runFor(seconds(2));
    add("b/1");
    m_timeline.runFor(seconds(1));
    m_store.isUnreachable = true;
    m_timeline.runFor(seconds(8));
    m_store.isUnreachable = false;
    m_timeline.runFor(seconds(2));
    EXPECT_TRUE(first.chain().owned());
    EXPECT_EQ(owners(), 1U);
}

// Guards against writes that take effect twice, out of order or after those of a later owner, when requests or answers
// are lost or writes take effect late.
TEST_F(Chain, writesTakeEffectInOrderWhenAnswersAreLostOrLate)
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        Timeline timeline;
        FakeRowStore store(timeline, seed);
        Instance a(timeline, store, "a/1");
        Instance b(timeline, store, "b/1");
        std::mt19937 random(seed);
        std::pair<std::int64_t, std::int64_t> last{0, 0};
        store.responseLossProbability = 0.05;
        store.requestLost = 0.05;
        store.delayedProbability = 0.1;
        for (int i = 0; i < 3000; ++i) {
            Instance &member = i % 2 == 0 ? a : b;
            if (random() % 200 == 0) {
                member.paused = !member.paused;
            }
            if (!member.paused) {
                member.chain().step();
            }
            timeline.runFor(milliseconds(10));
            const Row *row = store.find("work", "counter");
            if (row == nullptr) {
                continue;
            }
            const std::size_t colon = row->value.find(':');
            const std::pair seen{std::stoll(row->value.substr(0, colon)), std::stoll(row->value.substr(colon + 1))};
            ASSERT_GE(seen.first, last.first) << "seed " << seed;
            ASSERT_TRUE(seen.first > last.first || seen.second >= last.second) << "seed " << seed;
            last = seen;
        }
        EXPECT_GT(last.second, 0);
        for (const Epoch epoch : a.wonEpochs) {
            EXPECT_EQ(std::count(b.wonEpochs.begin(), b.wonEpochs.end(), epoch), 0) << "seed " << seed;
        }
    }
}

// Guards against a late replacement of an owner that does not run: the objective of urgent jobs leaves about 1.5 s
// beside their run time. The owner stops in different phases of heartbeats and reads.
TEST_F(Chain, stoppedOwnerIsReplacedWithin2300Ms)
{
    Instance *owner = &add("vm1/a");
    m_timeline.runFor(seconds(3));
    Instance *other = &add("vm2/b");
    for (int i = 0; i < 20; ++i) {
        m_timeline.runFor(seconds(3) + milliseconds(70 * i));
        ASSERT_TRUE(owner->chain().owned());
        owner->paused = true;
        m_timeline.runFor(milliseconds(2300));
        EXPECT_TRUE(other->chain().owned()) << "phase " << i;
        owner->paused = false;
        std::swap(owner, other);
    }
}

// Guards against a change of owner because single answers of the store are lost.
TEST_F(Chain, singleLostAnswersDoNotChangeTheOwner)
{
    Instance &first = add("vm1/a");
    m_timeline.runFor(seconds(3));
    Instance &second = add("vm2/b");
    for (int i = 0; i < 10; ++i) {
        m_store.responseLossProbability = 1;
        m_timeline.runFor(milliseconds(300));
        m_store.responseLossProbability = 0;
        m_timeline.runFor(seconds(2));
    }
    EXPECT_TRUE(first.chain().owned());
    EXPECT_TRUE(second.wonEpochs.empty());
}

// Guards against a term that no instance owns while the store is 50 times slower and delays writes for up to a second:
// the write that takes the term then times out, so no instance learns that it was elected.
TEST_F(Chain, ownerIsElectedWhileTheStoreIsSlow)
{
    SlowStore slow(m_timeline, m_store, milliseconds(1200));
    m_instances.push_back(std::make_unique<Instance>(m_timeline, slow, "vm1/a"));
    m_timeline.runFor(seconds(5));
    EXPECT_TRUE(m_instances.back()->chain().owned());
}

// Guards against changes of the owner while the store is slow: the owner's writes then take longer than the time after
// which a silent owner is replaced.
TEST_F(Chain, slowStoreDoesNotChangeTheOwner)
{
    SlowStore slow(m_timeline, m_store, milliseconds(1700), milliseconds(250));
    m_instances.push_back(std::make_unique<Instance>(m_timeline, slow, "vm1/a"));
    m_timeline.runFor(seconds(6));
    ASSERT_TRUE(m_instances.front()->chain().owned());
    m_instances.push_back(std::make_unique<Instance>(m_timeline, slow, "vm2/b"));
    m_timeline.runFor(seconds(20));
    EXPECT_TRUE(m_instances.front()->chain().owned());
    EXPECT_TRUE(m_instances.back()->wonEpochs.empty());
}

// Guards against a row that cannot be decoded counting as a term that has not changed.
TEST_F(Chain, unreadableTermIsNotTaken)
{
    add("vm1/a");
    m_timeline.runFor(seconds(3));
    Instance &other = add("vm2/b");
    m_timeline.runFor(seconds(1));
    m_instances.front()->paused = true;
    const Row readable = *m_store.find(OwnerTable, OwnerKey);
    for (int i = 0; i < 4; ++i) {
        m_store.rows[{OwnerTable, OwnerKey}].value = "not a term";
        m_timeline.runFor(milliseconds(700));
        m_store.rows[{OwnerTable, OwnerKey}] = readable;
        m_timeline.runFor(milliseconds(700));
    }
    EXPECT_TRUE(other.wonEpochs.empty());
}

// Guards against 2 s without an owner when the store turns only the owner away: another instance stores its release.
TEST_F(Chain, termReleasedThroughAnotherInstanceIsTakenAtTheNextRead)
{
    Instance &first = add("vm1/a");
    m_timeline.runFor(seconds(3));
    Instance &second = add("vm2/b");
    m_timeline.runFor(seconds(1));
    first.paused = true;
    m_timeline.runFor(milliseconds(50));
    const auto release = first.chain().releaseForOthers();
    ASSERT_TRUE(release);
    EXPECT_FALSE(second.chain().releaseForOthers());
    ASSERT_EQ(m_store.apply(*release).outcome, ChangeOutcome::Committed);
    first.chain().endReleasedTerm();
    EXPECT_FALSE(first.chain().owned());
    m_timeline.runFor(milliseconds(500));
    EXPECT_TRUE(second.chain().owned());
}

// Guards against the release of a term whose owner has written since.
TEST_F(Chain, outdatedReleaseHasNoEffect)
{
    Instance &first = add("vm1/a");
    m_timeline.runFor(seconds(3));
    const auto release = first.chain().releaseForOthers();
    ASSERT_TRUE(release);
    m_timeline.runFor(seconds(1));
    EXPECT_EQ(m_store.apply(*release).outcome, ChangeOutcome::Conflict);
    EXPECT_TRUE(first.chain().owned());
}

} // namespace
} // namespace coriander::workflow
