#pragma once

#include "corianderscale/Workflow/Advisor.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Workflow/FakeWorkers.h"

namespace coriander::workflow {

/**
 * Approves a fixed set of workers for every step, or what a function says. Fails the test if a caller asks before its
 * previous question was answered or given up, or names more than 100 workers.
 *
 * Like the platform's service, it handles one question at a time for each caller, also one that the caller gave up.
 */
class FakeAdvisor : public Advisor
{
public:
    explicit FakeAdvisor(Timeline &timeline)
        : m_timeline(timeline)
    {
    }

    void ask(const StepKey &step, const std::vector<WorkerId> &workers, Duration timeLimit, AdviceDone done) override
    {
        EXPECT_FALSE(m_caller->asks) << "a question was sent before the previous one was answered";
        EXPECT_LE(workers.size(), 100U);
        EXPECT_FALSE(workers.empty());
        ++questions;
        m_caller->asks = true;
        const auto answerOnce = [caller = m_caller, done, answered = std::make_shared<bool>(false)](
                                    const std::optional<Advice> &advice, const std::string &reason) {
            if (!std::exchange(*answered, true)) {
                caller->asks = false;
                done(advice, reason);
            }
        };
        m_timeline.after(timeLimit, [answerOnce] { answerOnce(std::nullopt, "no answer arrived"); });
        if (losesAnswer && losesAnswer(step)) {
            return;
        }
        m_caller->busyUntil
            = std::max(m_caller->busyUntil, m_timeline.now()) + decisionTime + timePerWorker * workers.size();
        m_timeline.after(m_caller->busyUntil - m_timeline.now(), [this, step, workers, answerOnce] {
            if (isUnreachable) {
                answerOnce(std::nullopt, "the advisor answered with status 429");
                return;
            }
            Advice advice{{}, valid};
            for (const WorkerId &worker : workers) {
                if (approves ? approves(step, worker) : approvedWorkers.count(worker) > 0) {
                    const std::string ticket = "ticket " + std::to_string(++m_tickets);
                    m_validUntil[{worker, ticket}] = {step, m_timeline.now() + valid};
                    advice.approved.emplace_back(worker, ticket);
                }
            }
            answerOnce(advice, "");
        });
    }

    /** The questions that follow come from another machine. */
    void changeCaller()
    {
        m_caller = std::make_shared<Caller>();
    }

    bool accepts(const WorkerId &worker, const StartOrder &order) const
    {
        const auto found = m_validUntil.find({worker, order.ticket});
        const StepKey step{order.task.job, order.task.occurrence, order.task.step};
        return found != m_validUntil.end() && found->second.first == step && m_timeline.now() < found->second.second;
    }

    std::set<WorkerId> approvedWorkers;
    /** Replaces @c approvedWorkers if set. */
    std::function<bool(const StepKey &, const WorkerId &)> approves;
    /** Whether the answer about a step does not arrive; none is lost if not set. */
    std::function<bool(const StepKey &)> losesAnswer;
    /** How long an answer takes, beside the time for each worker in the question. */
    Duration decisionTime = milliseconds(20);
    Duration timePerWorker = milliseconds(2);
    Duration valid = std::chrono::seconds(3);
    bool isUnreachable = false;
    int questions = 0;

private:
    struct Caller {
        bool asks = false;
        MonotonicTime busyUntil;
    };

    Timeline &m_timeline;
    std::shared_ptr<Caller> m_caller = std::make_shared<Caller>();
    int m_tickets = 0;
    std::map<std::pair<WorkerId, std::string>, std::pair<StepKey, MonotonicTime>> m_validUntil;
};

} // namespace coriander::workflow
