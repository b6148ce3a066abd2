#include "Workflow/ModelHistory.h"

#include <algorithm>
#include <random>
#include <sstream>

namespace coriander::workflow {
namespace {

class Generator
{
public:
    explicit Generator(std::uint32_t seed)
        : m_random(seed)
    {
        m_history.seed = seed;
    }

    ModelHistory generate()
    {
        const int count = 4 + draw(6);
        for (int i = 0; i < count; ++i) {
            m_history.workers.push_back(worker());
        }
        const int jobs = 6 + draw(10);
        for (int i = 0; i < jobs; ++i) {
            ModelEvent event{.atMs = draw(HistoryMs), .subject = static_cast<std::size_t>(i), .job = job()};
            m_history.events.push_back(event);
            if (draw(5) == 0) {
                event = {.atMs = event.atMs + draw(6000), .kind = ModelEventKind::Cancel, .subject = event.subject};
                m_history.events.push_back(event);
            }
        }
        const int faults = draw(6);
        for (int i = 0; i < faults; ++i) {
            m_history.events.push_back(fault());
        }
        addUnusualJobs(jobs);
        sortEvents();
        return m_history;
    }

    ModelHistory generateAdvised()
    {
        m_history.advised = true;
        const int count = 4 + draw(6);
        m_history.workers.assign(static_cast<std::size_t>(count), {16, 8, 0, "a"});
        for (std::size_t i = 0; i < m_history.workers.size(); ++i) {
            m_history.workers[i].rack = static_cast<int>(i / 4);
        }
        std::size_t jobs = 0;
        const auto add = [this, &jobs](int atMs, ModelJob job) {
            m_history.events.push_back({.atMs = atMs, .subject = jobs++, .job = std::move(job)});
        };
        // Takes a part of each worker, so that none has room for a large job before it is cancelled at the end.
        ModelStep lasting{.tasks = static_cast<std::size_t>(count), .accelerators = 1, .lasts = true};
        lasting.maximumPerWorker = 1;
        add(0, {.steps = {lasting}, .neverEnds = true});
        const int large = 3 + draw(20);
        const int largeAt = 2000 + draw(10000);
        const int largePriority = draw(2);
        for (int i = 0; i < large; ++i) {
            ModelStep step{.tasks = 1 + static_cast<std::size_t>(draw(1)), .cores = 8, .accelerators = 8};
            step.gang = draw(2) == 0;
            step.workMs = step.estimateMs = 500 + draw(2000);
            add(largeAt + draw(100), {.priority = largePriority, .steps = {step}});
        }
        const int ordinary = 6 + draw(10);
        for (int i = 0; i < ordinary; ++i) {
            add(draw(HistoryMs), job());
        }
        const int faults = draw(4);
        for (int i = 0; i < faults; ++i) {
            ModelEvent each = fault();
            if (each.kind == ModelEventKind::CrashWorker) {
                each.worker = m_history.workers[each.subject];
            }
            m_history.events.push_back(each);
        }
        if (draw(1) == 0) {
            m_history.events.push_back(
                {.atMs = draw(HistoryMs), .kind = ModelEventKind::SilentAdvisor, .lengthMs = draw(8000)});
        }
        sortEvents();
        return m_history;
    }

private:
    void sortEvents()
    {
        std::stable_sort(m_history.events.begin(), m_history.events.end(), [](const auto &a, const auto &b) {
            return a.atMs < b.atMs;
        });
    }

    /** Jobs that recur many times, can never be done, fill or last, and queues that are removed; as further jobs, from
     * random numbers of their own, so that the rest of a seed's history is as it was before they were added. */
    void addUnusualJobs(int jobs)
    {
        m_random.seed(m_history.seed + 1000000);
        const auto add = [this, &jobs](ModelJob job) {
            job.priority = draw(2);
            m_history.events.push_back(
                {.atMs = draw(HistoryMs), .subject = static_cast<std::size_t>(jobs++), .job = std::move(job)});
        };
        if (draw(2) == 0) {
            ModelStep filling{.cores = 30, .lasts = true, .usesIdleCores = true};
            filling.tasks = 1 + static_cast<std::size_t>(draw(3));
            filling.maximumPerWorker = 1;
            add({.steps = {filling}, .neverEnds = true});
        }
        if (draw(2) == 0) {
            ModelStep lasting = step();
            lasting.gang = lasting.sameRack = false;
            lasting.lasts = true;
            lasting.failures = 0;
            lasting.dataRack = "r" + std::to_string(draw(2));
            lasting.cores = 3 * m_history.workers.at(drawWorker()).cores / 4;
            add({.steps = {lasting}, .neverEnds = true});
        }
        if (draw(2) == 0) {
            const ModelStep hopeless{.tasks = 8, .cores = 100, .gang = draw(3) == 0};
            ModelJob job{.intervalMs = 10 * draw(10), .steps = {step(), hopeless, hopeless}, .neverEnds = true};
            job.steps[1].after = {0};
            job.occurrences = draw(1) * static_cast<std::size_t>(draw(100));
            job.steps[0].workMs = 100 + draw(400);
            add(job);
        }
        if (draw(2) == 0) {
            ModelJob job{.intervalMs = 20 + draw(200), .steps = {step()}};
            job.occurrences = 20 + static_cast<std::size_t>(draw(60));
            job.steps[0].workMs = 50 + draw(300);
            add(job);
        }
        if (draw(2) == 0) {
            m_history.events.push_back({.atMs = draw(HistoryMs),
                                        .kind = ModelEventKind::RemoveQueue,
                                        .subject = static_cast<std::size_t>(draw(2)),
                                        .lengthMs = draw(40000)});
        }
    }

    int draw(int most)
    {
        return std::uniform_int_distribution<int>(0, most)(m_random);
    }

    std::size_t drawWorker()
    {
        return static_cast<std::size_t>(draw(static_cast<int>(m_history.workers.size()) - 1));
    }

    ModelWorker worker()
    {
        ModelWorker made{.cores = 4 + draw(28), .rack = draw(2), .label = draw(1) == 0 ? "a" : "b"};
        if (draw(2) > 0) {
            made.accelerators = draw(3) == 0 ? 1 : 2 + draw(6);
        }
        return made;
    }

    ModelStep step()
    {
        // A third of a worker, so that a gang of three always fits somewhere.
        const ModelWorker &model = m_history.workers.at(drawWorker());
        ModelStep made;
        made.tasks = 1 + static_cast<std::size_t>(draw(2));
        made.cores = 1 + draw(model.cores / 3 - 1);
        made.accelerators = draw(model.accelerators / 3);
        // A second run that is not needed is seen if it lasts longer than the calm span and that of the rule LOST.
        made.workMs = 300 + draw(draw(2) == 0 ? 20000 : 5000);
        made.estimateMs = draw(2) == 0 ? made.workMs * 10 : std::max(1, made.workMs / (draw(1) == 0 ? 1 : 10));
        made.gang = draw(3) == 0;
        made.sameRack = made.gang && draw(1) == 0;
        made.label = draw(3) == 0 ? model.label : "";
        made.dataRack = draw(4) == 0 ? "r" + std::to_string(model.rack) : "";
        if (!made.gang) {
            made.maximumPerWorker = static_cast<std::size_t>(draw(2));
        }
        return made;
    }

    ModelJob job()
    {
        ModelJob made{.priority = draw(2)};
        const int kind = draw(7);
        const int steps = kind == 0 ? 1 : 1 + draw(3);
        for (int s = 0; s < steps; ++s) {
            made.steps.push_back(step());
            if (s > 0 && draw(3) > 0) {
                made.steps.back().after = {static_cast<std::size_t>(draw(s - 1))};
            }
            if (draw(9) == 0) {
                made.steps.back().failures = draw(3);
            }
        }
        if (kind == 0) {
            made.steps.back().lasts = true;
            made.steps.back().failures = 0;
        } else if (kind == 1) {
            made.occurrences = 1 + static_cast<std::size_t>(draw(8));
            made.firstDueMs = draw(4000);
            made.intervalMs = 500 + draw(3000);
        }
        return made;
    }

    ModelEvent fault()
    {
        ModelEvent made{.atMs = draw(HistoryMs), .subject = drawWorker()};
        switch (draw(5)) {
        case 0:
        case 1:
            made.kind = ModelEventKind::CutWorker;
            made.lengthMs = draw(14000);
            break;
        case 2:
            made.kind = ModelEventKind::CrashWorker;
            made.worker = worker();
            break;
        case 3:
            made.kind = ModelEventKind::StoreDown;
            made.lengthMs = draw(6000);
            break;
        case 4:
            made.kind = ModelEventKind::ReplaceOwner;
            made.subject = static_cast<std::size_t>(draw(1));
            made.lengthMs = draw(3000);
            break;
        default:
            made.kind = ModelEventKind::FaultyOrders;
            made.lengthMs = draw(5000);
            break;
        }
        return made;
    }

    std::mt19937 m_random;
    ModelHistory m_history;
};

const char *kindName(ModelEventKind kind)
{
    switch (kind) {
    case ModelEventKind::Submit:
        return "Submit";
    case ModelEventKind::Cancel:
        return "Cancel";
    case ModelEventKind::CutWorker:
        return "CutWorker";
    case ModelEventKind::CrashWorker:
        return "CrashWorker";
    case ModelEventKind::StoreDown:
        return "StoreDown";
    case ModelEventKind::ReplaceOwner:
        return "ReplaceOwner";
    case ModelEventKind::FaultyOrders:
        return "FaultyOrders";
    case ModelEventKind::RemoveQueue:
        return "RemoveQueue";
    case ModelEventKind::SilentAdvisor:
        return "SilentAdvisor";
    }
    return "";
}

const char *boolName(bool value)
{
    return value ? "true" : "false";
}

void print(std::ostream &out, const ModelWorker &worker)
{
    out << '{' << worker.cores << ", " << worker.accelerators << ", " << worker.rack << ", \"" << worker.label << "\"}";
}

void print(std::ostream &out, const ModelStep &step)
{
    out << '{' << step.tasks << ", " << step.cores << ", " << step.accelerators << ", " << step.workMs << ", "
        << step.estimateMs << ", " << step.failures << ", {";
    for (std::size_t i = 0; i < step.after.size(); ++i) {
        out << (i == 0 ? "" : ", ") << step.after[i];
    }
    out << "}, " << boolName(step.gang) << ", " << boolName(step.sameRack) << ", " << boolName(step.lasts) << ", \""
        << step.label << "\", \"" << step.dataRack << "\", " << step.maximumPerWorker << ", "
        << boolName(step.usesIdleCores) << '}';
}

void print(std::ostream &out, const ModelJob &job)
{
    out << '{' << job.priority << ", " << job.occurrences << ", " << job.firstDueMs << ", " << job.intervalMs << ", {";
    for (const ModelStep &step : job.steps) {
        print(out, step);
        out << ", ";
    }
    out << "}, " << boolName(job.neverEnds) << '}';
}

} // namespace

ModelHistory generateHistory(std::uint32_t seed)
{
    return Generator(seed).generate();
}

ModelHistory generateAdvisedHistory(std::uint32_t seed)
{
    return Generator(seed).generateAdvised();
}

std::string printHistory(const ModelHistory &history)
{
    std::ostringstream out;
    out << "ModelHistory{" << history.seed << ",\n    {";
    for (const ModelWorker &worker : history.workers) {
        print(out, worker);
        out << ", ";
    }
    out << "},\n    {";
    for (const ModelEvent &event : history.events) {
        out << "\n        {" << event.atMs << ", ModelEventKind::" << kindName(event.kind) << ", " << event.subject
            << ", " << event.lengthMs << ", ";
        print(out, event.job);
        out << ", ";
        print(out, event.worker);
        out << "},";
    }
    out << "}, " << boolName(history.advised) << '}';
    return out.str();
}

} // namespace coriander::workflow
