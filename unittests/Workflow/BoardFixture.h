#pragma once

#include <string>
#include <vector>

#include "Workflow/EngineHarness.h"

namespace coriander::workflow {

/** Fixture for tests of placement without an engine: a table of workers to place tasks on. */
class Board : public ::testing::Test
{
protected:
    Worker &add(const std::string &id, const std::string &rack)
    {
        Worker &worker = m_book.all()[WorkerId(id)];
        worker.report.id = WorkerId(id);
        worker.report.rack = RackId(rack);
        worker.report.labels = {"a", rack};
        worker.report.service = ServiceName("pool");
        worker.report.capacity = WorkerSize;
        worker.listed = true;
        worker.known = true;
        worker.clock = ClockSample{};
        return worker;
    }

    void use(Worker &worker, std::int64_t accelerators, std::int64_t run = 1)
    {
        workflow::Run taken;
        taken.task = {JobId("other"), 0, 0, worker.runs.size()};
        taken.number = run;
        taken.resources = resources(1, accelerators);
        m_book.addRun(worker, taken);
    }

    static PlacementNeed need(std::size_t tasks, std::int64_t accelerators)
    {
        PlacementNeed need;
        need.tasks = tasks;
        need.perTask = resources(1, accelerators);
        need.service = ServiceName("pool");
        return need;
    }

    std::vector<std::string> names(const PlacementBoard &board, const std::vector<std::size_t> &entries) const
    {
        std::vector<std::string> result;
        for (const std::size_t entry : entries) {
            result.push_back(board.entries()[entry].worker->report.id.value());
        }
        return result;
    }

    WorkerTable m_book;
};

} // namespace coriander::workflow
