#include <csignal>
#include <cstdio>
#include <iostream>
#include <memory>

#include "Checks.h"

namespace review {

namespace {

std::string jobId(int number)
{
    char id[32];
    std::snprintf(id, sizeof(id), "5c0e7a21d94b%04x", number);
    return id;
}

JobPlan simpleJob(int number, std::int64_t workMs)
{
    JobPlan plan;
    plan.id = jobId(number);
    plan.route = "std";
    StepPlan step;
    step.workMs = workMs;
    step.estimateMs = workMs;
    plan.steps = {step};
    return plan;
}

/** A scheduled job with 100 times is cancelled; afterwards, ordinary jobs have to run. */
void cancelledScheduleCase(Fleet &fleet)
{
    fleet.addRunners(6, "r1-1", "a");
    fleet.addRunners(6, "r1-2", "a");
    fleet.addRoute("std", 1, 3);
    fleet.startNodes(3);
    const auto accepted = std::make_shared<std::set<std::string>>();
    const auto submit = [&fleet, accepted](const JobPlan &plan) {
        fleet.submit(plan, [accepted, id = plan.id](const Answer &answer) {
            if (answer.status == 200) {
                accepted->insert(id);
            }
        });
    };
    fleet.at(1, [submit] {
        JobPlan plan = simpleJob(1, 500);
        plan.times = 100;
        plan.firstInMs = 1000;
        plan.intervalMs = 5000;
        submit(plan);
    });
    for (int i = 0; i < 15; ++i) {
        fleet.at(4 + 2 * i, [submit, i] { submit(simpleJob(100 + i, 1000)); });
    }
    if (fleet.trouble()) {
        fleet.at(12, [&fleet] { fleet.cancel(jobId(1), {}); });
    }
    constexpr double TrafficEnd = 32;
    const auto watches = std::make_shared<std::vector<StandstillWatch>>();
    fleet.at(TrafficEnd + FinishSeconds, [&fleet, accepted, watches] {
        for (const std::string &id : *accepted) {
            if (id != jobId(1)) {
                watches->emplace_back(fleet, id);
                fleet.show(id, {});
            }
        }
    });
    repeat(fleet, TrafficEnd + FinishSeconds + 0.1, TrafficEnd + FinishSeconds + 5, [watches] {
        for (StandstillWatch &watch : *watches) {
            watch.look();
        }
    });
    fleet.at(TrafficEnd + FinishSeconds + 6, [&fleet, watches] {
        std::size_t broken = 0;
        for (const StandstillWatch &watch : *watches) {
            broken += watch.broken() ? 1 : 0;
        }
        fleet.record("jobs that were accepted: " + std::to_string(watches->size()) + ", that stand still: "
                     + std::to_string(broken) + "; transactions that the store refused for their size: "
                     + std::to_string(fleet.store().oversized())
                     + ", largest: " + std::to_string(fleet.store().largestTransaction()) + " entries");
        fleet.finish(watches->size() < 5 ? 2 : broken > 0 ? 1 : 0);
    });
}

/** A gang that prefers one rack waits for a rack that cannot become empty, after a runner of the free rack left. */
void sameRackCase(Fleet &fleet)
{
    for (int rack = 1; rack <= 4; ++rack) {
        fleet.addRunners(4, "r1-" + std::to_string(rack), "a");
    }
    fleet.addRoute("std", 1, 3);
    fleet.startNodes(3);
    // One task that lasts in each rack but the first.
    for (int rack = 2; rack <= 4; ++rack) {
        fleet.at(1, [&fleet, rack] {
            JobPlan plan = simpleJob(rack, 1000);
            plan.steps[0].lasting = true;
            plan.steps[0].dataRack = "r1-" + std::to_string(rack);
            fleet.submit(plan, {});
        });
    }
    if (fleet.trouble()) {
        fleet.at(5, [&fleet] { fleet.drainAndLeave(0); });
    }
    const auto accepted = std::make_shared<bool>(false);
    fleet.at(10, [&fleet, accepted] {
        JobPlan plan = simpleJob(100, 5000);
        plan.steps[0].count = 4;
        plan.steps[0].need.gpu = 8;
        plan.steps[0].gang = true;
        plan.steps[0].sameRack = true;
        fleet.submit(plan, [accepted](const Answer &answer) { *accepted = answer.status == 200; });
    });
    constexpr double TrafficEnd = 11;
    const auto watch = std::make_shared<StandstillWatch>(fleet, jobId(100));
    repeat(fleet, TrafficEnd + FinishSeconds, TrafficEnd + FinishSeconds + 30, [watch] { watch->look(); });
    fleet.at(TrafficEnd + FinishSeconds + 30, [&fleet] { fleet.show(jobId(100), {}); });
    fleet.at(TrafficEnd + FinishSeconds + 31, [&fleet, watch, accepted] {
        std::size_t lasting = 0;
        for (int rack = 2; rack <= 4; ++rack) {
            lasting += fleet.job(jobId(rack)).runningTasks.size();
        }
        fleet.finish(!*accepted || lasting != 3 ? 2 : watch->broken() ? 1 : 0);
    });
}

/** A task waits for the rack of its data while the runners there do not answer. */
void dataRackCase(Fleet &fleet)
{
    fleet.addRunners(2, "r1-1", "a");
    fleet.addRunners(10, "r1-2", "a");
    fleet.addRoute("std", 1, 3);
    fleet.startNodes(3);
    if (fleet.trouble()) {
        fleet.at(2, [&fleet] {
            JobPlan plan = simpleJob(1, 60000);
            plan.steps[0].count = 2;
            plan.steps[0].need.gpu = 8;
            plan.steps[0].dataRack = "r1-1";
            fleet.submit(plan, {});
        });
    }
    fleet.at(4, [&fleet] {
        JobPlan plan = simpleJob(100, 2000);
        plan.steps[0].dataRack = "r1-1";
        fleet.submit(plan, {});
    });
    constexpr double TrafficEnd = 5;
    const auto watch = std::make_shared<StandstillWatch>(fleet, jobId(100));
    repeat(fleet, TrafficEnd + FinishSeconds, TrafficEnd + FinishSeconds + 10, [watch] { watch->look(); });
    fleet.at(TrafficEnd + FinishSeconds + 11, [&fleet, watch] { fleet.finish(watch->broken() ? 1 : 0); });
}

/** The route of a job is removed and added again; a single failed run in between fails the job. */
void droppedRouteCase(Fleet &fleet)
{
    fleet.addRunners(6, "r1-1", "a");
    fleet.addRoute("std", 1, 3);
    fleet.addRoute("other", 1, 3);
    fleet.startNodes(3);
    const auto accepted = std::make_shared<bool>(false);
    fleet.at(1, [&fleet, accepted] {
        JobPlan plan = simpleJob(100, 4000);
        plan.steps[0].failingRuns = 1;
        fleet.submit(plan, [accepted](const Answer &answer) { *accepted = answer.status == 200; });
    });
    if (fleet.trouble()) {
        fleet.at(3, [&fleet] { fleet.dropRoute("std"); });
        fleet.at(7, [&fleet] { fleet.restoreRoute("std"); });
    }
    const auto state = std::make_shared<std::string>();
    for (const double second : {2.0, 12.0, 16.0, 20.0}) {
        fleet.at(second, [&fleet, state] {
            fleet.show(jobId(100), [state](const Answer &answer) { *state = stateIn(answer); });
        });
    }
    fleet.at(22, [&fleet, state, accepted] {
        const JobView &job = fleet.job(jobId(100));
        const bool broken = *state == "failed" && job.failedRuns < 3;
        if (broken) {
            fleet.record("LOST: the job is shown as failed after " + std::to_string(job.failedRuns)
                         + " failed run; max_attempts of its route is 3 in every configuration");
        }
        fleet.finish(!*accepted || job.failedRuns == 0 ? 2 : broken ? 1 : 0);
    });
}

/** A submission without an outcome is cancelled; the cancelling is acknowledged, and the job runs afterwards. */
void cancelledSubmissionCase(Fleet &fleet)
{
    fleet.addRunners(6, "r1-1", "a");
    fleet.addRoute("std", 1, 3);
    fleet.startNodes(3);
    constexpr double LossEnd = 4.0;
    // Of the calls that write, only those that store the job lose their answers; the store carries them out late.
    if (fleet.trouble()) {
        fleet.store().setLateDelay(5900);
        fleet.store().setTreatment(
            [&fleet, writes = 0, lost = 0](const std::string &path, const std::string &body) mutable {
                if (path != "/-/rows-tx") {
                    return Treatment::Normal;
                }
                const double now = fleet.seconds();
                writes += now >= 1 && now < LossEnd ? 1 : 0;
                const bool storesJob = body.find("\"key\":\"" + jobId(100) + "\"") != std::string::npos
                    && body.find("\"jobs\"") != std::string::npos && body.find("\"waiting\"") != std::string::npos
                    && body.find("\"owner\"") == std::string::npos;
                if (!storesJob || now < 1 || now >= LossEnd) {
                    return Treatment::Normal;
                }
                ++lost;
                fleet.record("store: a write gets no answer and is done 5.9 s later; lost " + std::to_string(lost)
                             + " of " + std::to_string(writes) + " writes");
                return Treatment::Late;
            });
    }
    const auto cancelledAt = std::make_shared<double>(-1);
    const auto cancel = std::make_shared<std::function<void()>>();
    *cancel = [&fleet, cancelledAt, cancel] {
        fleet.cancel(jobId(100), [&fleet, cancelledAt, cancel](const Answer &answer) {
            if (answer.status == 200 || answer.status == 410) {
                *cancelledAt = fleet.seconds();
                return;
            }
            fleet.at(fleet.seconds() + 0.2, *cancel);
        });
    };
    fleet.at(2, [&fleet, cancel] {
        fleet.submit(
            simpleJob(100, 60000),
            [&fleet, cancel](const Answer &) { fleet.at(fleet.seconds() + 0.1, *cancel); },
            0,
            2000);
    });
    const auto broken = std::make_shared<bool>(false);
    repeat(fleet, 15, 25, [&fleet, cancelledAt, broken] {
        // cancel_ms + stop_ms, and contact_ms since the last impairment, are long over.
        if (*cancelledAt >= 0 && !fleet.job(jobId(100)).runningTasks.empty() && !*broken) {
            *broken = true;
            fleet.record("UNASKED: a task of the job runs " + std::to_string(fleet.seconds() - *cancelledAt)
                         + " s after the job's cancelling was acknowledged; it was started "
                         + std::to_string(fleet.job(jobId(100)).lastStartAt - *cancelledAt) + " s after it");
        }
    });
    fleet.at(25, [&fleet] { fleet.show(jobId(100), {}); });
    fleet.at(26, [&fleet, cancelledAt, broken] { fleet.finish(*cancelledAt < 0 ? 2 : *broken ? 1 : 0); });
}

/** A job that no runner has begun is missing in the number of waiting jobs after a runner refused its start. */
void waitingCountCase(Fleet &fleet)
{
    fleet.addRunners(10, "r1-1", "a");
    fleet.addRoute("std", 1, 3);
    fleet.startNodes(3);
    // All runners but one are in use.
    fleet.at(1, [&fleet] {
        JobPlan plan = simpleJob(1, 60000);
        plan.steps[0].count = 9;
        plan.steps[0].need.gpu = 8;
        fleet.submit(plan, {});
    });
    fleet.at(4, [&fleet] {
        for (std::size_t i = 0; i < fleet.runnerCount(); ++i) {
            if (fleet.runner(i).runs().empty()) {
                fleet.runner(i).setUnhealthy(fleet.trouble());
                fleet.record("runner " + fleet.runner(i).settings().id + " is free"
                             + (fleet.trouble() ? " and unhealthy" : ""));
            }
        }
    });
    fleet.at(4.5, [&fleet] {
        JobPlan plan = simpleJob(100, 30000);
        plan.steps[0].need.gpu = 8;
        fleet.submit(plan, {});
    });
    const auto broken = std::make_shared<int>(0);
    for (const double second : {9.8, 10.0, 10.2, 10.4}) {
        for (int node = 0; node < 3; ++node) {
            fleet.at(second, [&fleet, broken, node] {
                fleet.countWaiting(
                    "std",
                    [&fleet, broken](const Answer &answer) {
                        if (answer.status == 200 && fleet.job(jobId(100)).starts == 0
                            && answer.body.value("waiting", 1) == 0) {
                            ++*broken;
                        }
                    },
                    node);
            });
        }
    }
    fleet.at(11, [&fleet, broken] { fleet.finish(*broken > 0 ? 1 : 0); });
}

/** A runner crashes and comes back under its id with another kind; it gets tasks that need the earlier kind. */
void otherKindCase(Fleet &fleet)
{
    fleet.addRunners(2, "r1-1", "a");
    fleet.addRunners(6, "r1-2", "b");
    fleet.addRoute("std", 1, 3);
    fleet.startNodes(3);
    for (int i = 0; i < 120; ++i) {
        fleet.at(2 + 0.1 * i, [&fleet, i] {
            JobPlan plan = simpleJob(100 + i, 700);
            plan.steps[0].label = "a";
            plan.steps[0].need.gpu = 1;
            fleet.submit(plan, {});
        });
    }
    if (fleet.trouble()) {
        fleet.at(6, [&fleet] { fleet.crashRunner(0); });
        fleet.at(6.6, [&fleet] {
            fleet.runner(0).setLabels({"b", "r1-1"});
            fleet.restartRunner(0, 0);
        });
    }
    const auto broken = std::make_shared<int>(0);
    fleet.onEvent = [&fleet, broken](const RunnerEvent &event) {
        if (event.what == "start" && fleet.runner(0).settings().id == event.runner
            && fleet.runner(0).settings().labels[0] != "a") {
            ++*broken;
            fleet.record("ROUTE: the task needs the label a, and the runner is of kind b");
        }
    };
    fleet.at(20, [&fleet, broken] { fleet.finish(*broken > 0 ? 1 : 0); });
}

/** More than 500 tasks of a runner end while the store is down; some of them run again. */
void manyEndsCase(Fleet &fleet)
{
    fleet.addRunners(2, "r1-1", "a");
    fleet.addRoute("std", 1, 3);
    fleet.startNodes(3);
    fleet.at(1, [&fleet] {
        JobPlan plan = simpleJob(1, 6200);
        plan.steps[0].count = 640;
        plan.steps[0].need = {50, 100, 0};
        fleet.submit(plan, {});
    });
    constexpr double DownAt = 5.2;
    constexpr double DownSeconds = 4.5;
    if (fleet.trouble()) {
        fleet.at(DownAt, [&fleet] {
            fleet.record("store: down");
            fleet.store().setTreatment([](const std::string &, const std::string &) { return Treatment::Busy; });
        });
        fleet.at(DownAt + DownSeconds, [&fleet] {
            fleet.record("store: up");
            fleet.store().setTreatment({});
        });
    }
    // Starts of a task after a run of it ended done, by the run that had ended.
    const auto again = std::make_shared<std::map<std::pair<std::string, std::int64_t>, std::string>>();
    const auto done = std::make_shared<std::map<std::string, std::int64_t>>();
    const auto broken = std::make_shared<int>(0);
    fleet.onEvent = [&fleet, again, done, broken](const RunnerEvent &event) {
        if (event.what == "done") {
            done->emplace(event.task, event.run);
        } else if (event.what == "start" && done->count(event.task) > 0) {
            (*again)[{event.task, done->at(event.task)}] = event.runner;
            fleet.record("a start of " + event.task + " after its run " + std::to_string(done->at(event.task))
                         + " has ended done");
        } else if (event.what == "noted done" && again->count({event.task, event.run}) > 0) {
            ++*broken;
            fleet.record("TWICE: the end of run " + std::to_string(event.run) + " of " + event.task
                         + " is taken note of, after a later run was started");
        }
    };
    fleet.at(30, [&fleet] { fleet.show(jobId(1), {}); });
    fleet.at(31, [&fleet, done, again, broken] {
        fleet.record("tasks that ended done: " + std::to_string(done->size())
                     + ", started again afterwards: " + std::to_string(again->size())
                     + ", with the earlier end taken note of and no lapse between: " + std::to_string(*broken));
        fleet.finish(done->size() < 600 ? 2 : *broken > 0 ? 1 : 0);
    });
}

/** Work within a tenant's guarantee does not begin while urgent work of another tenant, beyond its own, fills the pool.
 */
void guaranteeCase(Fleet &fleet)
{
    fleet.addRunners(4, "r1-1", "a");
    fleet.addRoute("urgent", 0, 3);
    fleet.startNodes(3);
    if (fleet.trouble()) {
        fleet.at(1, [&fleet] {
            JobPlan plan = simpleJob(1, 60000);
            plan.route = "urgent";
            plan.tenant = 1;
            plan.steps[0].count = 32;
            fleet.submit(plan, {});
        });
    }
    constexpr double ReclaimSeconds = 2.9;
    fleet.at(6, [&fleet] {
        JobPlan plan = simpleJob(100, 2000);
        plan.route = "urgent";
        fleet.submit(plan, [&fleet](const Answer &answer) {
            if (answer.status != 200) {
                fleet.finish(2);
                return;
            }
            fleet.at(fleet.seconds() + ReclaimSeconds, [&fleet] {
                const bool begun = fleet.job(jobId(100)).starts > 0;
                if (!begun) {
                    fleet.record("RECLAIM: the job needs 1 of the 8 GPUs of its tenant's guarantee and has not begun "
                                 "2.9 s after its ack");
                }
                fleet.at(40, [&fleet, begun] {
                    fleet.record("starts of the job by now: " + std::to_string(fleet.job(jobId(100)).starts));
                    fleet.finish(begun ? 0 : 1);
                });
            });
        });
    });
}

/** A gang that preempts gets more tasks on a runner than its step allows. */
void mostPerRunnerCase(Fleet &fleet)
{
    fleet.addRunners(8, "r1-1", "a");
    fleet.addRoute("std", 2, 3);
    fleet.addRoute("urgent", 0, 3);
    fleet.startNodes(3);
    if (fleet.trouble()) {
        fleet.at(1, [&fleet] {
            JobPlan plan = simpleJob(1, 60000);
            plan.steps[0].count = 64;
            fleet.submit(plan, {});
        });
    }
    fleet.at(6, [&fleet] {
        JobPlan plan = simpleJob(100, 4000);
        plan.route = "urgent";
        plan.steps[0].count = 4;
        plan.steps[0].gang = true;
        plan.steps[0].mostPerRunner = 1;
        fleet.submit(plan, {});
    });
    fleet.at(15, [&fleet] {
        const JobView &job = fleet.job(jobId(100));
        bool broken = false;
        for (const auto &[runner, starts] : job.startsByRunner) {
            if (starts > 1) {
                broken = true;
                fleet.record("ROUTE: runner " + runner + " got " + std::to_string(starts)
                             + " tasks of a step with max_per_server 1");
            }
        }
        fleet.finish(job.starts == 0 ? 2 : broken ? 1 : 0);
    });
}

/** An urgent job that can never be done, for lack of GPUs, keeps all other work from starting. */
void hopelessUrgentCase(Fleet &fleet)
{
    fleet.addRunners(8, "r1-1", "a", 0);
    fleet.addRoute("std", 1, 3);
    fleet.addRoute("urgent", 0, 3);
    fleet.startNodes(3);
    constexpr int Jobs = 8;
    const auto accepted = std::make_shared<std::set<std::string>>();
    for (int i = 0; i < Jobs; ++i) {
        fleet.at(1 + 1.5 * i, [&fleet, accepted, i] {
            JobPlan plan = simpleJob(100 + i, 1000);
            plan.steps[0].need.gpu = 0;
            fleet.submit(plan, [accepted, id = plan.id](const Answer &answer) {
                if (answer.status == 200) {
                    accepted->insert(id);
                }
            });
        });
    }
    // One urgent job in 20 can never be done: it asks for a GPU, and no runner has one.
    for (int i = 0; i < 20; ++i) {
        fleet.at(4 + 0.15 * i, [&fleet, i] {
            JobPlan plan = simpleJob(200 + i, 500);
            plan.route = "urgent";
            plan.steps[0].need.gpu = fleet.trouble() && i == 10 ? 1 : 0;
            fleet.submit(plan, {});
        });
    }
    constexpr double TrafficEnd = 12;
    const auto watches = std::make_shared<std::vector<StandstillWatch>>();
    fleet.at(TrafficEnd + FinishSeconds, [&fleet, accepted, watches] {
        for (const std::string &id : *accepted) {
            watches->emplace_back(fleet, id);
            fleet.show(id, {});
        }
    });
    repeat(fleet, TrafficEnd + FinishSeconds + 0.1, TrafficEnd + FinishSeconds + 25, [watches] {
        for (StandstillWatch &watch : *watches) {
            watch.look();
        }
    });
    fleet.at(TrafficEnd + FinishSeconds + 26, [&fleet, watches] {
        std::size_t broken = 0;
        for (const StandstillWatch &watch : *watches) {
            broken += watch.broken() ? 1 : 0;
        }
        fleet.record("jobs that were accepted: " + std::to_string(watches->size())
                     + ", that stand still: " + std::to_string(broken));
        fleet.finish(fleet.job(jobId(100)).starts == 0 ? 2 : broken > 0 ? 1 : 0);
    });
}

/** A task that lasts ends as failed once; work of a lower priority takes its room for as long as there is any. */
void lastingTaskCase(Fleet &fleet)
{
    fleet.addRunners(4, "r1-1", "a");
    fleet.addRoute("std", 1, 3);
    fleet.addRoute("low", 2, 3);
    fleet.startNodes(3);
    fleet.at(1, [&fleet] {
        JobPlan plan = simpleJob(100, 1000);
        plan.steps[0].lasting = true;
        plan.steps[0].need.gpu = 8;
        fleet.submit(plan, {});
    });
    // Jobs of a lower priority, each of a whole runner, keep the service full.
    for (int i = 0; i < 24; ++i) {
        fleet.at(4 + 0.1 * i, [&fleet, i] {
            JobPlan plan = simpleJob(200 + i, 8000 + 500 * (i % 5));
            plan.route = "low";
            plan.steps[0].need.gpu = 8;
            fleet.submit(plan, {});
        });
    }
    constexpr double FailsAt = 12;
    if (fleet.trouble()) {
        fleet.at(FailsAt, [&fleet] {
            for (std::size_t i = 0; i < fleet.runnerCount(); ++i) {
                fleet.runner(i).endRun(jobId(100) + ".0.0.0", "failed");
            }
        });
    }
    // From 6 s after the last run on, for 3 s; nothing else is disturbed, so these 3 s and the 4 s before are calm.
    const auto away = std::make_shared<int>(0);
    repeat(fleet, FailsAt + 6, FailsAt + 9, [&fleet, away] {
        *away += fleet.job(jobId(100)).runningTasks.empty() ? 1 : 0;
        if (!fleet.job(jobId(100)).runningTasks.empty()) {
            *away = -1000;
        }
    });
    fleet.at(FailsAt + 9.5, [&fleet, away] {
        if (*away > 0) {
            fleet.record("LOST: the task that lasts has not run from 6 s to 9 s after its last run");
        }
    });
    fleet.at(45, [&fleet, away] {
        std::size_t later = 0;
        for (int i = 0; i < 24; ++i) {
            later += fleet.job(jobId(200 + i)).lastStartAt > FailsAt ? 1 : 0;
        }
        fleet.record("tasks of the lower priority that were started after the failure: " + std::to_string(later)
                     + "; starts of the task that lasts: " + std::to_string(fleet.job(jobId(100)).starts));
        fleet.finish(fleet.job(jobId(100)).starts == 0 ? 2 : *away > 0 ? 1 : 0);
    });
}

/** The tasks of one job that can never be done fail on all runners; for 10 s, none of them gets work of any job. */
void hopelessJobCase(Fleet &fleet)
{
    fleet.addRunners(8, "r1-1", "a");
    fleet.addRoute("std", 1, 2);
    fleet.startNodes(3);
    constexpr int Jobs = 19;
    for (int i = 0; i < Jobs; ++i) {
        fleet.at(1.5 + 0.1 * i, [&fleet, i] {
            JobPlan plan = simpleJob(100 + i, 16000);
            plan.steps[0].need.gpu = 0;
            StepPlan second = plan.steps[0];
            second.workMs = 1000;
            second.estimateMs = 1000;
            second.after = {0};
            plan.steps.push_back(second);
            fleet.submit(plan, {});
        });
    }
    // One job in 20 can never be done.
    fleet.at(1, [&fleet] {
        JobPlan plan = simpleJob(1, 15500);
        plan.steps[0].count = 16;
        plan.steps[0].need.gpu = 4;
        plan.steps[0].failingRuns = fleet.trouble() ? 1000 : 0;
        fleet.submit(plan, {});
    });
    constexpr double TrafficEnd = 3.4;
    const auto watches = std::make_shared<std::vector<StandstillWatch>>();
    for (int i = 0; i < Jobs; ++i) {
        watches->emplace_back(fleet, jobId(100 + i));
    }
    repeat(fleet, TrafficEnd + FinishSeconds, TrafficEnd + FinishSeconds + 20, [watches] {
        for (StandstillWatch &watch : *watches) {
            watch.look();
        }
    });
    fleet.at(TrafficEnd + FinishSeconds + 21, [&fleet, watches] {
        std::size_t broken = 0;
        for (const StandstillWatch &watch : *watches) {
            broken += watch.broken() ? 1 : 0;
        }
        fleet.record("jobs that stood still: " + std::to_string(broken) + " of " + std::to_string(watches->size()));
        fleet.finish(fleet.job(jobId(100)).starts == 0 ? 2 : broken > 0 ? 1 : 0);
    });
}

using Case = void (*)(Fleet &);

const std::map<std::string, Case> &cases()
{
    static const std::map<std::string, Case> all = {{"cancelled-schedule", cancelledScheduleCase},
                                                    {"same-rack", sameRackCase},
                                                    {"data-rack", dataRackCase},
                                                    {"dropped-route", droppedRouteCase},
                                                    {"cancelled-submission", cancelledSubmissionCase},
                                                    {"many-ends", manyEndsCase},
                                                    {"hopeless-job", hopelessJobCase},
                                                    {"lasting-task", lastingTaskCase},
                                                    {"hopeless-urgent", hopelessUrgentCase},
                                                    {"guarantee", guaranteeCase},
                                                    {"most-per-runner", mostPerRunnerCase},
                                                    {"waiting-count", waitingCountCase},
                                                    {"other-kind", otherKindCase}};
    return all;
}

} // namespace

} // namespace review

int main(int argc, char **argv)
{
    const auto found = argc == 3 ? review::cases().find(argv[1]) : review::cases().end();
    if (found == review::cases().end()) {
        std::cerr << "usage: review-case CASE FOLDER; CASE is one of:";
        for (const auto &[name, ignored] : review::cases()) {
            std::cerr << ' ' << name;
        }
        std::cerr << '\n';
        return 2;
    }
    try {
        const char *trouble = std::getenv("TROUBLE");
        review::Fleet fleet(argv[2], trouble == nullptr || std::string(trouble) != "0");
        found->second(fleet);
        return fleet.run();
    } catch (const std::exception &failure) {
        std::cerr << failure.what() << '\n';
        return 2;
    }
}
