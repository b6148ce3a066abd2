#include "corianderscale/Workflow/Records.h"

#include "corianderscale/Workflow/JobTable.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace coriander::workflow {
namespace {

using Json = nlohmann::json;

OccurrenceRecord decoded(const std::string &bytes)
{
    ProtocolError error;
    const std::optional<OccurrenceRecord> record = decodeOccurrence(bytes, error);
    EXPECT_TRUE(record) << error.reason;
    return record.value_or(OccurrenceRecord());
}

JobSpec jobOf(std::vector<std::size_t> tasks)
{
    JobSpec spec;
    spec.id = JobId("j");
    for (const std::size_t count : tasks) {
        spec.steps.emplace_back().tasks = count;
    }
    return spec;
}

// Guards against a task that is started again because its phase or run is lost between two owners.
TEST(OccurrenceRecords, keepThePhaseOfEachTask)
{
    Job job(jobOf({3, 2, 1}), {});
    job.setPhase({JobId("j"), 0, 0, 0}, TaskPhase::Assigned).run = 4;
    job.task({JobId("j"), 0, 0, 0})->worker = WorkerId("w");
    job.task({JobId("j"), 0, 0, 0})->incarnation = Incarnation(7);
    job.setDone({JobId("j"), 0, 0, 1});
    job.taskState({JobId("j"), 0, 0, 2}).failures = 2;
    job.setDone({JobId("j"), 0, 1, 0});
    job.setDone({JobId("j"), 0, 1, 1});
    Job next(jobOf({3, 2, 1}), {});
    ASSERT_TRUE(next.restore(0, decoded(encodeOccurrence(job.record(0)))));
    EXPECT_EQ(next.phase({JobId("j"), 0, 0, 0}), TaskPhase::Assigned);
    EXPECT_EQ(next.task({JobId("j"), 0, 0, 0})->run, 4);
    EXPECT_EQ(next.task({JobId("j"), 0, 0, 0})->worker, WorkerId("w"));
    EXPECT_EQ(next.task({JobId("j"), 0, 0, 0})->incarnation, Incarnation(7));
    EXPECT_EQ(next.phase({JobId("j"), 0, 0, 1}), TaskPhase::Done);
    EXPECT_EQ(next.phase({JobId("j"), 0, 0, 2}), TaskPhase::Waiting);
    EXPECT_EQ(next.task({JobId("j"), 0, 0, 2})->failures, 2);
    EXPECT_TRUE(next.stepDone({0, 1}));
    EXPECT_EQ(next.waitingCount({0, 2}), 1U);
    EXPECT_EQ(next.assignedCount(), 1U);
}

// Guards against assigned tasks that are counted twice because the rows were read again after a failed call.
TEST(OccurrenceRecords, restoringTwiceChangesNothing)
{
    Job job(jobOf({3}), {});
    job.setPhase({JobId("j"), 0, 0, 0}, TaskPhase::Assigned).run = 1;
    job.setDone({JobId("j"), 0, 0, 1});
    Job next(jobOf({3}), {});
    EXPECT_TRUE(next.restore(0, job.record(0)));
    EXPECT_TRUE(next.restore(0, job.record(0)));
    EXPECT_EQ(next.assignedCount(), 1U);
    EXPECT_EQ(next.waitingCount({0, 0}), 1U);
}

// Guards against a version that can't read the rows of the one before, and so runs done tasks again.
TEST(OccurrenceRecords, rowsOfEarlierVersionsAreRead)
{
    const Json done = {2, 1, 0, 0, ""};
    const Json assigned = {1, 3, 1, 2, "c", 0};
    Json row;
    row["w"] = Json::array({Json::array({"w1", 9})});
    row["s"] = Json::array({Json::array({done, done}), Json::array({done, assigned, Json::array()})});
    row["f"] = false;
    std::string bytes;
    Json::to_cbor(row, bytes);
    Job job(jobOf({2, 3}), {});
    ASSERT_TRUE(job.restore(0, decoded(bytes)));
    EXPECT_TRUE(job.stepDone({0, 0}));
    EXPECT_EQ(job.phase({JobId("j"), 0, 1, 0}), TaskPhase::Done);
    EXPECT_EQ(job.phase({JobId("j"), 0, 1, 1}), TaskPhase::Assigned);
    EXPECT_EQ(job.task({JobId("j"), 0, 1, 1})->run, 3);
    EXPECT_EQ(job.task({JobId("j"), 0, 1, 1})->checkpoint, "c");
    EXPECT_EQ(job.phase({JobId("j"), 0, 1, 2}), TaskPhase::Waiting);
}

// Guards against an owner of an earlier version, which can't read the rows of progress and would start done tasks
// again: that version needs these fields at the top of the term's row. The term of an earlier version is read.
TEST(TermRecords, earlierVersionsDoNotTakeTheTerm)
{
    const TermRecord term{InstanceId("a/1"), Epoch(3), 5};
    const std::string bytes = encodeTerm(term);
    EXPECT_FALSE(Json::from_cbor(bytes).contains("h"));
    std::string earlier;
    Json::to_cbor({{"h", "a/1"}, {"e", 3}, {"n", 5}}, earlier);
    for (const std::string &row : {bytes, earlier}) {
        ProtocolError error;
        const std::optional<TermRecord> record = decodeTerm(row, error);
        ASSERT_TRUE(record) << error.reason;
        EXPECT_EQ(record->holder, term.holder);
        EXPECT_EQ(record->epoch, term.epoch);
        EXPECT_EQ(record->sequence, term.sequence);
    }
}

// Guards against instances that do not learn that the owner can hold no more jobs.
TEST(TermRecords, tellWhetherTheBacklogIsFull)
{
    ProtocolError error;
    TermRecord term{InstanceId("a/1"), Epoch(3), 5};
    EXPECT_FALSE(decodeTerm(encodeTerm(term), error)->backlogFull);
    term.backlogFull = true;
    EXPECT_TRUE(decodeTerm(encodeTerm(term), error)->backlogFull);
}

// Guards against progress that is restored into a job of another shape.
TEST(OccurrenceRecords, otherNumbersOfStepsOrTasksAreRefused)
{
    Job job(jobOf({2}), {});
    job.setDone({JobId("j"), 0, 0, 0});
    EXPECT_FALSE(Job(jobOf({3}), {}).restore(0, job.record(0)));
    EXPECT_FALSE(Job(jobOf({2, 1}), {}).restore(0, job.record(0)));
    EXPECT_FALSE(Job(jobOf({2}), {}).restore(1, job.record(0)));
}

// Guards against a job of some kB that takes MBs in memory, because a step lists the same earlier step many times.
TEST(JobRecords, stepsListEachDependencyOnce)
{
    JobSpec spec = jobOf({1, 1});
    spec.steps[1].after.assign(50000, 0);
    ProtocolError error;
    const std::optional<JobSpec> restored = decodeJob(encodeJob(spec), error);
    ASSERT_TRUE(restored);
    EXPECT_EQ(restored->steps[1].after, std::vector<std::size_t>{0});
}

// Guards against a policy that is lost between two owners.
TEST(JobRecords, keepThePolicyOfTheQueue)
{
    JobSpec spec = jobOf({1});
    ProtocolError error;
    EXPECT_EQ(decodeJob(encodeJob(spec), error)->policy, std::nullopt);
    spec.policy = QueuePolicy{ServiceName("pool"), 2, 3, 1.5, std::chrono::milliseconds(250), true};
    EXPECT_EQ(decodeJob(encodeJob(spec), error)->policy, spec.policy);
}

} // namespace
} // namespace coriander::workflow
