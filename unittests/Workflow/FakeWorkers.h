#pragma once

#include "corianderscale/Workflow/WorkerMessages.h"
#include "corianderscale/Workflow/WorkerTable.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace coriander::workflow {

using std::chrono::milliseconds;

/** Virtual time: runs scheduled events in the order of their times. */
class Timeline
{
public:
    MonotonicTime now() const
    {
        return m_now;
    }

    Clock clock()
    {
        return {[this] { return m_now; },
                [this] {
                    return WallTime(std::chrono::hours(24 * 365 * 50)) + m_now.time_since_epoch();
                }};
    }

    void after(Duration delay, std::function<void()> event)
    {
        m_events.emplace(m_now + delay, std::move(event));
    }

    void runFor(Duration time)
    {
        const MonotonicTime end = m_now + time;
        while (!m_events.empty() && m_events.begin()->first <= end) {
            auto event = m_events.extract(m_events.begin());
            m_now = std::max(m_now, event.key());
            event.mapped()();
        }
        m_now = end;
    }

private:
    MonotonicTime m_now = MonotonicTime(std::chrono::seconds(100));
    std::multimap<MonotonicTime, std::function<void()>> m_events;
};

/** Faults in the transfer of orders. */
struct OrderFaults {
    /** Share of orders that never arrive, from 0 to 1. */
    double requestLost = 0;
    /** Share of orders that are carried out and not answered. */
    double responseLossProbability = 0;
    /** Share of orders that are not answered and are carried out 2 to 12 s later. */
    double delayedProbability = 0;
};

/**
 * Workers that follow the platform's contract: leases on their own clocks, epochs, gangs, and numbered ends that are
 * kept until they are acknowledged. An order that violates a guarantee of the scheduler fails the test.
 */
class FakeWorkers : public WorkerOrders
{
public:
    /** How the tasks of a step behave when they run. */
    struct TaskBehaviour {
        Duration work = std::chrono::seconds(2);
        /** Number of runs that fail before one completes. */
        int failures = 0;
        bool gang = false;
        std::size_t gangSize = 1;
        decision::Resources resources;
        /** Maximum number of tasks of the step on one worker; 0 for no limit. */
        std::size_t maximumPerWorker = 0;
        /** Whether a run goes on until it is stopped; it is at work, and lists 100 percent, from its start. */
        bool lasts = false;
    };

    /** A run in progress. */
    struct LiveRun {
        MonotonicTime startedAt;
        decision::Resources resources;
        std::uint64_t serial = 0;
    };

    /** One worker. */
    struct Machine {
        WorkerReport report;
        MonotonicTime born;
        std::int64_t epoch = 0;
        std::int64_t leaseUntil = 0;
        std::map<RunKey, LiveRun> runs;
        std::vector<EndedTask> ended;
        /** Runs that the worker lists although it has none of them. */
        std::vector<RunningTask> listedOnly;
        std::int64_t lastEnd = 0;
        std::map<TaskKey, std::int64_t> refusedThrough;
        /** Number of the last end when the lease last lapsed. */
        std::int64_t lapsedThrough = 0;
        /** Whether orders to the worker are lost. */
        bool isCutOff = false;
        /** Whether the lists of the worker show no progress. */
        bool isStalled = false;
        /** Speed of the work of its runs; a gang ends with its slowest member. */
        double speed = 1;
        /** Whether every run that starts here fails soon. */
        bool failsRuns = false;
        /** Whether the worker has left permanently. */
        bool hasLeft = false;
        /** Whether the process has not finished starting. */
        bool isStarting = false;
        std::int64_t clock(MonotonicTime now) const
        {
            return std::chrono::duration_cast<milliseconds>(now - born).count();
        }
    };

    FakeWorkers(Timeline &timeline, std::uint32_t seed)
        : m_timeline(timeline)
        , m_random(seed)
    {
    }

    Machine &add(const std::string &id, const std::string &rack, decision::Resources capacity)
    {
        Machine &machine = m_machines[WorkerId(id)];
        machine.report.id = WorkerId(id);
        machine.report.rack = RackId(rack);
        machine.report.labels = {"a", rack};
        machine.report.service = ServiceName("pool");
        machine.report.address = id + ":1";
        machine.report.capacity = capacity;
        machine.report.incarnation = Incarnation(++m_incarnations);
        machine.born = m_timeline.now();
        return machine;
    }

    /** Whether all members of a gang of @p size are there with the run's number, so that they work. */
    bool isGangPresent(const RunKey &key, std::size_t size) const
    {
        std::size_t members = 0;
        for (std::size_t i = 0; i < size; ++i) {
            const TaskKey member{key.first.job, key.first.occurrence, key.first.step, i};
            const auto running = m_running.find(member);
            const bool here = running != m_running.end() && running->second == key.second;
            members += here || m_done.count(member) > 0 ? 1 : 0;
        }
        return members == size;
    }

    /** Replaces the process of the worker; the new incarnation knows no runs, ends or epochs. */
    void restart(const WorkerId &id)
    {
        Machine &machine = m_machines.at(id);
        const WorkerReport report = machine.report;
        for (const auto &[key, run] : machine.runs) {
            m_running.erase(key.first);
        }
        machine = Machine();
        machine.report = report;
        machine.report.incarnation = Incarnation(++m_incarnations);
        machine.born = m_timeline.now();
        machine.isStarting = true;
        m_timeline.after(milliseconds(200), [this, id] { m_machines.at(id).isStarting = false; });
    }

    /** Ends all runs of the worker, which does not answer any more. */
    void leave(const WorkerId &id)
    {
        Machine &machine = m_machines.at(id);
        machine.hasLeft = true;
        while (!machine.runs.empty()) {
            const RunKey key = machine.runs.begin()->first;
            end(machine, key, EndKind::LeaseLapsed);
            if (m_behaviour.at({key.first.job, key.first.step}).gang) {
                breakGang(key, EndKind::GangBroken);
            }
        }
    }

    std::map<WorkerId, Machine> &machines()
    {
        return m_machines;
    }

    void setBehaviour(const JobId &job, std::size_t step, TaskBehaviour behaviour)
    {
        m_behaviour[{job, step}] = behaviour;
    }

    bool isDone(const TaskKey &task) const
    {
        return m_done.count(task) > 0;
    }

    std::size_t runningTasks() const
    {
        return m_running.size();
    }

    std::size_t starts(const TaskKey &task) const
    {
        const auto found = m_starts.find(task);
        return found == m_starts.end() ? 0 : found->second.size();
    }

    void start(const OrderTarget &target, const StartOrder &order, OrderDone done) override
    {
        deliver<OrderAnswer>(
            target, [this, target, order] { return runStart(target, order); }, std::move(done));
    }

    void stop(const OrderTarget &target, const StopOrder &order, OrderDone done) override
    {
        deliver<OrderAnswer>(
            target, [this, target, order] { return runStop(target, order); }, std::move(done));
    }

    void hold(const OrderTarget &target, const HoldOrder &order, HoldDone done) override
    {
        deliver<HoldAnswer>(
            target, [this, target, order] { return runHold(target, order); }, std::move(done));
    }

    /** Returns whether a start carries a valid ticket; empty if none is needed. */
    std::function<bool(const WorkerId &, const StartOrder &)> ticketIsValid;
    /** Called on every accepted start; may be empty. */
    std::function<void(const TaskKey &, std::int64_t run)> onStart;
    OrderFaults faults;
    /** Checkpoint that every run reports; empty for none. */
    std::string checkpoint;
    /** Number of runs that a stop has ended so far. */
    std::size_t stopped = 0;

private:
    template<typename Answer>
    void deliver(const OrderTarget &target, std::function<Answer()> run, std::function<void(const Answer &)> done)
    {
        const auto found = m_machines.find(target.worker);
        const bool reachable = found != m_machines.end() && !found->second.isCutOff && !found->second.hasLeft
            && !found->second.isStarting;
        const double draw = std::uniform_real_distribution<double>(0, 1)(m_random);
        Answer unknown;
        unknown.outcome = OrderOutcome::Unknown;
        const auto reportUnknown = [this, done, unknown] {
            m_timeline.after(milliseconds(1000), [done, unknown] { done(unknown); });
        };
        if (!reachable || draw < faults.requestLost) {
            reportUnknown();
            return;
        }
        if (draw < faults.requestLost + faults.delayedProbability) {
            const int delay = std::uniform_int_distribution<int>(2000, 12000)(m_random);
            // The process that received the order carries it out, so a restart drops the order.
            m_timeline.after(milliseconds(delay),
                             [this, run, id = target.worker, to = found->second.report.incarnation] {
                                 if (m_machines.at(id).report.incarnation == to) {
                                     run();
                                 }
                             });
            reportUnknown();
            return;
        }
        const bool answerLost = draw < faults.requestLost + faults.delayedProbability + faults.responseLossProbability;
        const int transferMs = std::uniform_int_distribution<int>(1, 5)(m_random);
        // A connection ends with the process, so the next process neither receives its orders nor sends its answers.
        const Incarnation incarnation = found->second.report.incarnation;
        const auto sameIncarnation = [this, id = target.worker, incarnation] {
            return m_machines.at(id).report.incarnation == incarnation;
        };
        m_timeline.after(milliseconds(transferMs),
                         [this, run, done, reportUnknown, answerLost, transferMs, sameIncarnation] {
                             if (!sameIncarnation()) {
                                 reportUnknown();
                                 return;
                             }
                             const Answer answer = run();
                             if (answerLost) {
                                 reportUnknown();
                                 return;
                             }
                             m_timeline.after(milliseconds(transferMs), [done, answer, reportUnknown, sameIncarnation] {
                                 if (sameIncarnation()) {
                                     done(answer);
                                 } else {
                                     reportUnknown();
                                 }
                             });
                         });
    }

    /** Returns the worker that the order reaches, or null if the order's epoch is lower than one the worker has seen.
     */
    Machine *admit(const OrderTarget &target, OrderAnswer &answer)
    {
        Machine &machine = m_machines.at(target.worker);
        expire(machine);
        answer.clock = WorkerClockMs(machine.clock(m_timeline.now()));
        if (target.epoch.count() < machine.epoch) {
            answer.outcome = OrderOutcome::Superseded;
            return nullptr;
        }
        machine.epoch = target.epoch.count();
        answer.outcome = OrderOutcome::Done;
        return &machine;
    }

    OrderAnswer runStart(const OrderTarget &target, const StartOrder &order)
    {
        OrderAnswer answer;
        Machine *machine = admit(target, answer);
        if (machine == nullptr) {
            return answer;
        }
        const MonotonicTime now = m_timeline.now();
        const RunKey key{order.task, order.run};
        if (machine->runs.count(key) > 0) {
            return answer;
        }
        answer.outcome = OrderOutcome::Refused;
        if (order.leaseUntil.count() <= machine->clock(now)) {
            answer.reason = "late";
            return answer;
        }
        extendLease(*machine, order.leaseUntil);
        const auto refused = machine->refusedThrough.find(order.task);
        if (refused != machine->refusedThrough.end() && order.run <= refused->second) {
            answer.reason = "old";
            return answer;
        }
        if (ticketIsValid && !ticketIsValid(target.worker, order)) {
            answer.outcome = OrderOutcome::NotApproved;
            return answer;
        }
        answer.outcome = OrderOutcome::Done;
        begin(*machine, key);
        return answer;
    }

    static std::string listRuns(const Machine &machine)
    {
        std::string text;
        for (const auto &[key, run] : machine.runs) {
            text += " " + toString(key.first) + "/" + std::to_string(key.second);
        }
        return text;
    }

    static std::size_t runsOfStep(const Machine &machine, const TaskKey &task)
    {
        std::size_t count = 0;
        for (const auto &[key, run] : machine.runs) {
            const TaskKey &each = key.first;
            count += each.job == task.job && each.occurrence == task.occurrence && each.step == task.step ? 1 : 0;
        }
        return count;
    }

    void extendLease(Machine &machine, WorkerClockMs until)
    {
        const std::int64_t most = machine.clock(m_timeline.now()) + LongestLeaseMs;
        machine.leaseUntil = std::max(machine.leaseUntil, std::min(until.count(), most));
    }

    void begin(Machine &machine, const RunKey &key)
    {
        const TaskBehaviour &behaviour = m_behaviour.at({key.first.job, key.first.step});
        for (auto &[id, each] : m_machines) {
            expire(each);
        }
        const auto other = m_running.find(key.first);
        EXPECT_TRUE(other == m_running.end())
            << "DUPLICATE RUN: " << toString(key.first) << " runs on two workers, runs " << key.second << " and "
            << (other == m_running.end() ? 0 : other->second);
        EXPECT_EQ(m_recordedDone.count(key.first), 0U)
            << "DUPLICATE RUN: started after its end was acknowledged: " << toString(key.first) << "/" << key.second;
        EXPECT_LT(m_recordedFailures[key.first], MaximumAttempts)
            << "started again after the maximum number of failed runs: " << toString(key.first);
        decision::Resources used = behaviour.resources;
        for (const auto &[each, run] : machine.runs) {
            used = plus(used, run.resources);
        }
        EXPECT_TRUE(fitsInto(used, machine.report.capacity))
            << "CAPACITY EXCEEDED on " << machine.report.id << listRuns(machine) << " and " << toString(key.first)
            << "/" << key.second;
        const std::size_t ofStep = runsOfStep(machine, key.first) + 1;
        EXPECT_TRUE(behaviour.maximumPerWorker == 0 || ofStep <= behaviour.maximumPerWorker)
            << "LIMIT PER WORKER EXCEEDED on " << machine.report.id << listRuns(machine) << " and "
            << toString(key.first) << "/" << key.second;
        const std::uint64_t serial = ++m_serial;
        machine.runs[key] = {m_timeline.now(), behaviour.resources, serial};
        m_running[key.first] = key.second;
        m_starts[key.first].push_back(m_timeline.now());
        if (onStart) {
            onStart(key.first, key.second);
        }
        if (behaviour.lasts && !machine.failsRuns) {
            return;
        }
        const bool fails = machine.failsRuns || static_cast<int>(m_failed[key.first].size()) < behaviour.failures;
        const Duration whole = timeOf(machine, behaviour);
        const Duration failsAfter = machine.failsRuns ? Duration(milliseconds(150)) : whole / 2;
        const Duration work = fails ? failsAfter : whole;
        m_timeline.after(work, [this, id = machine.report.id, key, serial, fails] { finish(id, key, serial, fails); });
    }

    void finish(const WorkerId &id, const RunKey &key, std::uint64_t serial, bool fails)
    {
        Machine &machine = m_machines.at(id);
        expire(machine);
        const auto run = machine.runs.find(key);
        if (run == machine.runs.end() || run->second.serial != serial) {
            return;
        }
        const TaskBehaviour &behaviour = m_behaviour.at({key.first.job, key.first.step});
        if (fails) {
            m_failed[key.first].insert(key.second);
            end(machine, key, EndKind::Failed);
            if (behaviour.gang) {
                breakGang(key, EndKind::GangBroken);
            }
            return;
        }
        if (behaviour.gang && !isGangPresent(key, behaviour.gangSize)) {
            end(machine, key, EndKind::GangIncomplete);
            breakGang(key, EndKind::GangBroken);
            return;
        }
        const Duration left = behaviour.gang ? timeToGangEnd(key) : Duration(0);
        if (left > Duration(0)) {
            m_timeline.after(left, [this, id, key, serial] { finish(id, key, serial, false); });
            return;
        }
        m_done.insert(key.first);
        end(machine, key, EndKind::Done);
        if (behaviour.gang) {
            breakGang(key, EndKind::Done);
        }
    }

    /** Time that a run takes on the worker. */
    static Duration timeOf(const Machine &machine, const TaskBehaviour &behaviour)
    {
        return machine.speed == 1 ? behaviour.work
                                  : std::chrono::duration_cast<Duration>(behaviour.work / machine.speed);
    }

    /** Time until the slowest member of a gang has done its work. */
    Duration timeToGangEnd(const RunKey &key) const
    {
        Duration left{};
        bool unequal = false;
        for (const auto &[id, machine] : m_machines) {
            for (const auto &[each, run] : machine.runs) {
                const bool member = each.first.job == key.first.job && each.first.step == key.first.step
                    && each.first.occurrence == key.first.occurrence && each.second == key.second;
                if (member) {
                    unequal = unequal || machine.speed != 1;
                    const TaskBehaviour &behaviour = m_behaviour.at({key.first.job, key.first.step});
                    left = std::max<Duration>(left, run.startedAt + timeOf(machine, behaviour) - m_timeline.now());
                }
            }
        }
        return unequal ? left : Duration(0);
    }

    void breakGang(const RunKey &key, EndKind kind)
    {
        for (auto &[id, machine] : m_machines) {
            std::vector<RunKey> members;
            for (const auto &[each, run] : machine.runs) {
                const bool same = each.first.job == key.first.job && each.first.step == key.first.step
                    && each.first.occurrence == key.first.occurrence && each.second == key.second;
                if (same) {
                    members.push_back(each);
                }
            }
            for (const RunKey &member : members) {
                end(machine, member, kind);
            }
        }
    }

    /** Takes a copy of the key, which may be that of the run that is erased. */
    void end(Machine &machine, RunKey key, EndKind kind)
    {
        machine.runs.erase(key);
        m_running.erase(key.first);
        std::int64_t &refused = machine.refusedThrough[key.first];
        refused = std::max(refused, key.second);
        machine.ended.push_back({++machine.lastEnd, key.first, key.second, kind, ""});
    }

    void expire(Machine &machine)
    {
        if (machine.clock(m_timeline.now()) <= machine.leaseUntil) {
            return;
        }
        // Ends that were listed before the lease lapsed do not count against later starts.
        while (!machine.runs.empty()) {
            end(machine, machine.runs.begin()->first, EndKind::LeaseLapsed);
        }
        machine.lapsedThrough = machine.lastEnd;
    }

    OrderAnswer runStop(const OrderTarget &target, const StopOrder &order)
    {
        OrderAnswer answer;
        Machine *machine = admit(target, answer);
        if (machine == nullptr) {
            return answer;
        }
        const RunKey key{order.task, order.run};
        std::int64_t &refused = machine->refusedThrough[order.task];
        refused = std::max(refused, order.run);
        const auto run = machine->runs.find(key);
        if (run == machine->runs.end()) {
            return answer;
        }
        const std::uint64_t serial = run->second.serial;
        m_timeline.after(milliseconds(200), [this, id = target.worker, key, serial] {
            Machine &host = m_machines.at(id);
            const auto found = host.runs.find(key);
            if (found != host.runs.end() && found->second.serial == serial) {
                end(host, key, EndKind::Stopped);
                ++stopped;
                if (m_behaviour.at({key.first.job, key.first.step}).gang) {
                    breakGang(key, EndKind::GangBroken);
                }
            }
        });
        return answer;
    }

    HoldAnswer runHold(const OrderTarget &target, const HoldOrder &order)
    {
        HoldAnswer answer;
        Machine *machine = admit(target, answer);
        if (machine == nullptr) {
            return answer;
        }
        answer.incarnation = machine->report.incarnation;
        if (order.leaseUntil && machine->clock(m_timeline.now()) < order.leaseUntil->count()) {
            extendLease(*machine, *order.leaseUntil);
        }
        for (const EndedTask &ended : machine->ended) {
            if (ended.number <= order.acknowledgedThrough) {
                record(*machine, ended);
            }
        }
        std::erase_if(machine->ended,
                      [&order](const EndedTask &ended) { return ended.number <= order.acknowledgedThrough; });
        for (const auto &[key, run] : machine->runs) {
            answer.running.push_back({key.first, key.second, checkpoint, percentOf(*machine, key)});
        }
        answer.running.insert(answer.running.end(), machine->listedOnly.begin(), machine->listedOnly.end());
        const std::size_t listed = std::min(machine->ended.size(), MaximumListedEnds);
        answer.ended.assign(machine->ended.begin(), machine->ended.begin() + static_cast<std::ptrdiff_t>(listed));
        answer.moreEnds = listed == MaximumListedEnds;
        return answer;
    }

    int percentOf(const Machine &machine, const RunKey &key) const
    {
        if (machine.isStalled) {
            return 1;
        }
        const TaskBehaviour &behaviour = m_behaviour.at({key.first.job, key.first.step});
        if (behaviour.lasts) {
            return 100;
        }
        if (behaviour.gang && !isGangPresent(key, behaviour.gangSize)) {
            return 0;
        }
        const Duration work = timeOf(machine, behaviour);
        const Duration ran = m_timeline.now() - machine.runs.at(key).startedAt;
        return static_cast<int>(std::min<std::int64_t>(100, 100 * ran.count() / work.count()));
    }

    void record(const Machine &machine, const EndedTask &ended)
    {
        if (ended.number <= machine.lapsedThrough) {
            return;
        }
        if (ended.kind == EndKind::Done) {
            m_recordedDone.insert(ended.task);
            EXPECT_EQ(m_running.count(ended.task), 0U) << "DUPLICATE RUN: a task runs while its end is acknowledged";
        }
        if (ended.kind == EndKind::Failed) {
            ++m_recordedFailures[ended.task];
        }
    }

public:
    static constexpr int MaximumAttempts = 3;
    static constexpr std::int64_t LongestLeaseMs = 10000;
    /** Maximum number of ends in one answer; the oldest ones are listed first. */
    static constexpr std::size_t MaximumListedEnds = 500;

private:
    Timeline &m_timeline;
    std::mt19937 m_random;
    std::map<WorkerId, Machine> m_machines;
    std::map<std::pair<JobId, std::size_t>, TaskBehaviour> m_behaviour;
    std::map<TaskKey, std::int64_t> m_running;
    std::map<TaskKey, std::vector<MonotonicTime>> m_starts;
    std::map<TaskKey, std::set<std::int64_t>> m_failed;
    std::map<TaskKey, int> m_recordedFailures;
    std::set<TaskKey> m_done;
    std::set<TaskKey> m_recordedDone;
    std::int64_t m_incarnations = 0;
    std::uint64_t m_serial = 0;
};

} // namespace coriander::workflow
