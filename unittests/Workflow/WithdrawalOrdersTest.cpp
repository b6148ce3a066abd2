#include "corianderscale/Workflow/JobIntake.h"
#include "corianderscale/Workflow/StateSweeper.h"

#include <cstddef>
#include <deque>
#include <memory>

#include "Workflow/EngineHarness.h"
#include "Workflow/FakeRowStore.h"

namespace coriander::workflow {
namespace {

using std::chrono::seconds;

/** What the store does with one write. */
struct WriteFate {
    enum class Kind { Answered, AnswerLost, Late, Refused };
    Kind kind = Kind::Answered;
    /** How long after the call a late write takes effect, if its condition still holds. */
    Duration delay{};
};

/** The connection of one VM to the store. Its first writes meet given fates, the others are answered. */
class FatedStore : public RowStore
{
public:
    FatedStore(Timeline &timeline, FakeRowStore &store, std::deque<WriteFate> fates)
        : m_timeline(timeline)
        , m_store(store)
        , m_fates(std::move(fates))
    {
    }

    void change(RowChange change, Duration limit, ChangeDone done) override
    {
        WriteFate fate;
        if (!m_fates.empty()) {
            fate = m_fates.front();
            m_fates.pop_front();
        }
        const ChangeResult noAnswer{ChangeOutcome::Unknown, {}, {}, "no response in time"};
        switch (fate.kind) {
        case WriteFate::Kind::Answered:
            m_store.change(std::move(change), limit, std::move(done));
            return;
        case WriteFate::Kind::AnswerLost:
            m_timeline.after(m_store.answerTime, [this, change] { m_store.apply(change); });
            break;
        case WriteFate::Kind::Late:
            m_timeline.after(fate.delay, [this, change] { m_store.apply(change); });
            break;
        case WriteFate::Kind::Refused:
            m_timeline.after(m_store.answerTime, [done] {
                done({ChangeOutcome::NotDone, {}, {}, "the store answered with status 503"});
            });
            return;
        }
        m_timeline.after(limit, [done, noAnswer] { done(noAnswer); });
    }

    void read(const std::string &table,
              const std::string &from,
              const std::string &to,
              Duration limit,
              PageDone done) override
    {
        m_store.read(table, from, to, limit, std::move(done));
    }

    void follow(const std::string &table, RowVersion after, Duration wait, Duration limit, PageDone done) override
    {
        m_store.follow(table, after, wait, limit, std::move(done));
    }

private:
    Timeline &m_timeline;
    FakeRowStore &m_store;
    std::deque<WriteFate> m_fates;
};

/** One order in which a submission, its cancels and the store's late writes can meet. */
struct Order {
    WriteFate submission;
    /** Time from the submission to the cancel, which another VM takes if @c elsewhere. */
    Duration cancelAfter{};
    bool elsewhere = false;
    WriteFate cancel;
    /** Whether a second cancel arrives at a third VM at the same time. */
    bool twice = false;
    /** Time from the cancel to a second submission at the second VM; none if zero. */
    Duration submittedAgainAfter{};
};

const char *nameOf(WriteFate::Kind kind)
{
    switch (kind) {
    case WriteFate::Kind::Answered:
        return "answered";
    case WriteFate::Kind::AnswerLost:
        return "answer lost";
    case WriteFate::Kind::Late:
        return "late";
    case WriteFate::Kind::Refused:
        return "refused";
    }
    return "unknown";
}

std::string describe(const Order &order)
{
    const auto ms = [](Duration time) {
        return std::to_string(std::chrono::duration_cast<milliseconds>(time).count()) + " ms";
    };
    return std::string("submission ") + nameOf(order.submission.kind) + " by " + ms(order.submission.delay)
        + ", cancel after " + ms(order.cancelAfter) + (order.elsewhere ? " elsewhere, " : ", ")
        + nameOf(order.cancel.kind) + " by " + ms(order.cancel.delay) + (order.twice ? ", twice" : "")
        + ", submitted again after " + ms(order.submittedAgainAfter);
}

JobSpec makeJob()
{
    JobSpec spec;
    spec.id = JobId("5c0e7a21d94b36f8");
    spec.queue = QueueName("q");
    spec.steps.emplace_back();
    return spec;
}

/** Plays one order in virtual time. */
class OrderPlay
{
public:
    explicit OrderPlay(const Order &order)
        : m_order(order)
        , m_store(m_timeline)
    {
        std::deque<WriteFate> submissions(3, order.submission);
        if (order.elsewhere) {
            addVm(submissions);
            addVm({order.cancel});
        } else {
            submissions.resize(1);
            submissions.push_back(order.cancel);
            addVm(submissions);
            addVm({});
        }
        addVm({order.cancel});
    }

    /** Returns whether the job may still run after one of its cancels was acknowledged. */
    bool runsAfterAcknowledgement()
    {
        submitAt(0);
        m_timeline.after(m_order.cancelAfter, [this] {
            cancelAt(m_order.elsewhere ? 1 : 0);
            if (m_order.twice) {
                cancelAt(2);
            }
        });
        if (m_order.submittedAgainAfter > Duration(0)) {
            m_timeline.after(m_order.cancelAfter + m_order.submittedAgainAfter, [this] { submitAt(1); });
        }
        bool runs = false;
        for (int i = 0; i < 300 && !runs; ++i) {
            m_timeline.runFor(milliseconds(50));
            runs = m_acknowledged && mayRun();
        }
        return runs;
    }

    bool acknowledged() const
    {
        return m_acknowledged;
    }

private:
    struct Vm {
        std::unique_ptr<FatedStore> store;
        std::unique_ptr<JobIntake> intake;
    };

    void addVm(std::deque<WriteFate> fates)
    {
        Vm vm;
        vm.store = std::make_unique<FatedStore>(m_timeline, m_store, std::move(fates));
        vm.intake = std::make_unique<JobIntake>(
            JobIntake::Times(), m_timeline.clock(), *vm.store, [this](Duration pause, std::function<void()> next) {
                m_timeline.after(pause, std::move(next));
            });
        m_vms.push_back(std::move(vm));
    }

    void submitAt(std::size_t vm)
    {
        m_vms[vm].intake->submit(makeJob(), m_timeline.now() + seconds(2), [](const CallAnswer &) {});
    }

    void cancelAt(std::size_t vm)
    {
        m_vms[vm].intake->cancel(makeJob().id, m_timeline.now() + seconds(2), [this](const CallAnswer &answer) {
            m_acknowledged
                = m_acknowledged || answer.outcome == CallOutcome::Done || answer.outcome == CallOutcome::NoSuchJob;
        });
    }

    /** The owner runs a job that has a row and no cancel request. */
    bool mayRun() const
    {
        const std::string id = makeJob().id.value();
        return m_store.find(JobsTable, id) != nullptr && m_store.find(JobsTable, cancelKey(makeJob().id)) == nullptr;
    }

    Order m_order;
    Timeline m_timeline;
    FakeRowStore m_store;
    std::vector<Vm> m_vms;
    bool m_acknowledged = false;
};

std::vector<WriteFate> fates()
{
    using Kind = WriteFate::Kind;
    return {{Kind::Answered, {}},
            {Kind::AnswerLost, {}},
            {Kind::Refused, {}},
            {Kind::Late, milliseconds(6)},
            {Kind::Late, milliseconds(14)},
            {Kind::Late, milliseconds(600)},
            {Kind::Late, milliseconds(1500)},
            {Kind::Late, milliseconds(6000)}};
}

std::vector<Order> allOrders()
{
    std::vector<Order> orders;
    for (const WriteFate &submission : fates()) {
        // Before, between and after the cancel's read (answered after 8 ms) and its write.
        for (const int cancelAfter : {0, 1, 3, 5, 9, 100, 800, 2500}) {
            for (const WriteFate &cancel : fates()) {
                for (const bool elsewhere : {false, true}) {
                    for (const bool twice : {false, true}) {
                        for (const int again : {0, 3, 12, 1000}) {
                            orders.push_back(
                                {submission, milliseconds(cancelAfter), elsewhere, cancel, twice, milliseconds(again)});
                        }
                    }
                }
            }
        }
    }
    return orders;
}

// Guards against a job that runs after its cancelling was acknowledged, in every order in which its submission, a
// second submission, one or two cancels at the same or different VMs, and writes that the store carries out late can
// meet.
TEST(WithdrawalOrders, noJobRunsAfterItsCancelWasAcknowledged)
{
    std::size_t acknowledged = 0;
    std::size_t broken = 0;
    const std::vector<Order> orders = allOrders();
    for (const Order &order : orders) {
        OrderPlay play(order);
        if (play.runsAfterAcknowledgement()) {
            ++broken;
            ADD_FAILURE() << describe(order);
        }
        if (broken > 10) {
            break;
        }
        acknowledged += play.acknowledged() ? 1 : 0;
    }
    EXPECT_GT(acknowledged, orders.size() / 2);
}

// Guards against a withdrawal that is swept while a write that the store carries out late may still be under way.
TEST(WithdrawalOrders, withdrawalIsKeptLongerThanAWriteTakes)
{
    Timeline timeline;
    FakeRowStore store(timeline);
    JobIntake intake({}, timeline.clock(), store, [&timeline](Duration pause, std::function<void()> next) {
        timeline.after(pause, std::move(next));
    });
    StateSweeper sweeper({}, timeline.clock(), store);
    intake.cancel(makeJob().id, timeline.now() + seconds(2), [](const CallAnswer &) {});
    for (int second = 0; second < 120; ++second) {
        timeline.runFor(seconds(1));
        sweeper.step();
        ASSERT_NE(store.find(StatesTable, makeJob().id.value()), nullptr) << "swept after " << second << " s";
    }
    for (int second = 0; second < 120; ++second) {
        timeline.runFor(seconds(1));
        sweeper.step();
    }
    EXPECT_EQ(store.find(StatesTable, makeJob().id.value()), nullptr);
}

// Guards against a new owner that starts a job whose submission takes effect after its cancel was acknowledged, before,
// during or after the takeover.
TEST(WithdrawalOrders, newOwnerStartsNothingOfAWithdrawnJob)
{
    for (const int lateBy : {200, 1000, 1500, 4000}) {
        EngineHarness harness;
        harness.addWorkers(3);
        harness.startOwner();
        FatedStore late(harness.timeline, harness.store, {{WriteFate::Kind::Late, milliseconds(lateBy)}});
        const JobIntake::ScheduleAfter scheduleAfter = [&harness](Duration pause, std::function<void()> next) {
            harness.timeline.after(pause, std::move(next));
        };
        JobIntake submitting({}, harness.timeline.clock(), late, scheduleAfter);
        JobIntake cancelling({}, harness.timeline.clock(), harness.store, scheduleAfter);
        const JobSpec job = harness.job("5c0e7a21d94b36f8", 1, {stepOf(1, 1, 1)});
        bool acknowledged = false;
        submitting.submit(job, harness.timeline.now() + milliseconds(300), [](const CallAnswer &) {});
        cancelling.cancel(job.id, harness.timeline.now() + seconds(2), [&acknowledged](const CallAnswer &answer) {
            acknowledged = answer.outcome == CallOutcome::NoSuchJob;
        });
        harness.runFor(seconds(1));
        ASSERT_TRUE(acknowledged);
        harness.endOwner(true);
        harness.runFor(milliseconds(500));
        harness.startOwner();
        harness.runFor(seconds(8));
        EXPECT_EQ(harness.workers.starts({job.id, 0, 0, 0}), 0U) << lateBy;
        EXPECT_EQ(harness.store.find(JobsTable, job.id.value()), nullptr) << lateBy;
    }
}

} // namespace
} // namespace coriander::workflow
