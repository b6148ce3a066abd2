#pragma once

#include "corianderscale/Workflow/Advisor.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Workflow/FakeWorkers.h"

namespace coriander::workflow {

/** Approves a fixed set of workers. Fails the test if a question comes before the previous answer or names more than
   100 workers. */
class FakeAdvisor : public Advisor
{
public:
    explicit FakeAdvisor(Timeline &timeline)
        : m_timeline(timeline)
    {
    }

    void ask(const StepKey &step, const std::vector<WorkerId> &workers, AdviceDone done) override
    {
        EXPECT_FALSE(m_busy) << "a question was sent before the previous one was answered";
        EXPECT_LE(workers.size(), 100U);
        EXPECT_FALSE(workers.empty());
        m_busy = true;
        ++questions;
        m_timeline.after(milliseconds(20) + milliseconds(2) * workers.size(), [this, step, workers, done] {
            m_busy = false;
            if (isUnreachable) {
                done(std::nullopt, "the advisor answered with status 429");
                return;
            }
            Advice advice{{}, valid};
            for (const WorkerId &worker : workers) {
                if (approvedWorkers.count(worker) > 0) {
                    const std::string ticket = "ticket " + std::to_string(++m_tickets);
                    m_validUntil[{worker, ticket}] = {step, m_timeline.now() + valid};
                    advice.approved.emplace_back(worker, ticket);
                }
            }
            done(advice, "");
        });
    }

    bool accepts(const WorkerId &worker, const StartOrder &order) const
    {
        const auto found = m_validUntil.find({worker, order.ticket});
        const StepKey step{order.task.job, order.task.occurrence, order.task.step};
        return found != m_validUntil.end() && found->second.first == step && m_timeline.now() < found->second.second;
    }

    std::set<WorkerId> approvedWorkers;
    Duration valid = std::chrono::seconds(3);
    bool isUnreachable = false;
    int questions = 0;

private:
    Timeline &m_timeline;
    bool m_busy = false;
    int m_tickets = 0;
    std::map<std::pair<WorkerId, std::string>, std::pair<StepKey, MonotonicTime>> m_validUntil;
};

} // namespace coriander::workflow
