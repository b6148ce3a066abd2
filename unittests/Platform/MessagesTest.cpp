#include <fmt/format.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "platform/AdvisorClient.h"
#include "platform/CatalogueMessages.h"
#include "platform/JobMessages.h"
#include "platform/StoreClient.h"
#include "platform/WorkerClient.h"

namespace coriander::platform {
namespace {

using Json = nlohmann::json;
using namespace coriander::workflow;

HttpResponse response(int status, const std::string &body)
{
    return jsonResponse(status, body);
}

// Guards against a field of a submission that is ignored or confused with another.
TEST(JobMessages, submissionIsReadWhole)
{
    ProtocolError error;
    const auto job = decodeSubmission(R"json({"spec":"(text)","times":3,"first_ms":1000,"interval_ms":250,"steps":[
        {"count":4,"cpu":500,"mem_mb":256,"gpu":2,"est_ms":900,"data_rack":"r1-3"},
        {"count":20,"cpu":2000,"mem_mb":1024,"after":[0],"checkpoint":true,"gang":true,"same_rack":true,
         "required_label":"b","max_per_server":2,"long_running":true}]})json",
                                      error);
    ASSERT_TRUE(job) << error.reason;
    EXPECT_EQ(job->payload, "(text)");
    EXPECT_EQ(job->occurrences, 3U);
    EXPECT_EQ(job->firstDue, fromUnixMs(1000));
    EXPECT_EQ(job->interval, std::chrono::milliseconds(250));
    ASSERT_EQ(job->steps.size(), 2U);
    const StepSpec &first = job->steps[0];
    EXPECT_EQ(first.tasks, 4U);
    EXPECT_EQ(first.perTask, (decision::Resources{MilliCores(500), MemoryMib(256), Accelerators(2)}));
    EXPECT_EQ(first.estimate, std::chrono::milliseconds(900));
    EXPECT_EQ(first.dataRack, RackId("r1-3"));
    EXPECT_FALSE(first.gang);
    const StepSpec &second = job->steps[1];
    EXPECT_EQ(second.after, std::vector<std::size_t>{0});
    EXPECT_TRUE(second.checkpoints && second.gang && second.sameRack && second.longRunning);
    EXPECT_EQ(second.requiredLabel, "b");
    EXPECT_EQ(second.maximumPerWorker, 2U);
}

// Guards against malformed bodies that crash the decoder or are accepted.
TEST(JobMessages, malformedSubmissionsAreRefused)
{
    for (const char *body : {"", "{", "[]", "{}", R"({"steps":3})", R"({"steps":[{"count":"four"}]})"}) {
        ProtocolError error;
        EXPECT_FALSE(decodeSubmission(body, error)) << body;
        EXPECT_FALSE(error.reason.empty()) << body;
    }
}

// Guards against an evacuation that is not carried out because of its value, and against rows that are taken for the
// evacuation of a data centre without a name.
TEST(CatalogueMessages, evacuationIsDecodedFromItsKey)
{
    for (const char *value : {"", "{}", R"({"by":"operator"})", "1"}) {
        ProtocolError error;
        EXPECT_EQ(decodeEvacuation("evacuate/dc-1", value, error), DataCentreId("dc-1")) << value;
        EXPECT_TRUE(error.reason.empty()) << value << ": " << error.reason;
    }
    for (const char *value : {"{", "\xff\xfe", "yes"}) {
        ProtocolError error;
        EXPECT_EQ(decodeEvacuation("evacuate/dc-1", value, error), DataCentreId("dc-1")) << value;
        EXPECT_FALSE(error.reason.empty()) << value;
    }
    for (const std::string &key : {std::string("evacuate/"),
                                   std::string("evacuate"),
                                   std::string("config"),
                                   std::string(),
                                   "evacuate/" + std::string(10000, 'z')}) {
        ProtocolError error;
        EXPECT_FALSE(decodeEvacuation(key, "", error)) << key;
        EXPECT_FALSE(error.reason.empty()) << key;
        EXPECT_LT(error.reason.size(), 1000U);
    }
}

// Guards against task names that decode to another task, whose run would then be ended instead.
TEST(JobMessages, taskNamesSurviveARoundTrip)
{
    const TaskKey key{JobId("5c0e7a21d94b36f8"), 2, 1, 17};
    EXPECT_EQ(encodeTaskName(key), "5c0e7a21d94b36f8.2.1.17");
    EXPECT_EQ(decodeTaskName("5c0e7a21d94b36f8.2.1.17"), key);
    for (const char *name : {"", "a.b.c", "a.0.0", "a.0.0.x", "a.0.0.1.2", "a.-1.0.0"}) {
        EXPECT_FALSE(decodeTaskName(name)) << name;
    }
    EXPECT_TRUE(isJobId("5c0e7a21d94b36f8"));
    EXPECT_FALSE(isJobId("5c0e7a21d94b36f"));
    EXPECT_FALSE(isJobId("5c0e7a21d94b36fg"));
}

// Guards against queues, credentials, limits or guarantees that are decoded wrongly.
TEST(CatalogueMessages, configurationIsReadWhole)
{
    ProtocolError error;
    const auto catalogue = decodeCatalogue(
        R"({"version":7,"routes":[{"name":"r-1","host":"a.example","prefix":"/x/","timeout_ms":3000,
        "target_runtime_ms":1000,"priority":1,"service":"s","max_attempts":3,"stretch":1.5,"public":true}],
        "services":[{"name":"s","admission_check":true}],"limits":{"max_body_bytes":5,"idle_timeout_ms":9},
        "tenants":[{"name":"t","api_keys":["k1","k2"],"guaranteed":{"gpu":120}}]})",
        error);
    ASSERT_TRUE(catalogue) << error.reason;
    EXPECT_EQ(catalogue->version, ConfigurationVersion(7));
    const QueueSpec *queue = catalogue->queueFor("a.example", "/x/5c0e");
    ASSERT_NE(queue, nullptr);
    EXPECT_EQ(queue->objectiveSlack, std::chrono::seconds(1));
    EXPECT_EQ(queue->maximumAttempts, 3);
    EXPECT_TRUE(queue->open);
    EXPECT_EQ(catalogue->queueFor("b.example", "/x/5c0e"), nullptr);
    EXPECT_EQ(catalogue->limits.bodyBytes, 5U);
    ASSERT_NE(catalogue->holderOf("k2"), nullptr);
    EXPECT_EQ(catalogue->holderOf("k2")->guaranteed, Accelerators(120));
    EXPECT_EQ(catalogue->holderOf("k3"), nullptr);
}

/** A valid discovery entry. */
Json workerEntry()
{
    return Json::parse(R"({"service":"s","addr":"10.0.0.1:80","zone":"z","state":"ready","born":5,
        "capacity":{"cpu":16000,"mem_mb":32768,"gpu":8},"labels":["a","r1-3"]})");
}

/** Text of @p depth arrays within each other. */
std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

// Guards against an entry of another writer that ends the process or overflows a sum over all workers: nested thousands
// of levels deep, numbers beyond their type, addresses that are none.
TEST(CatalogueMessages, oddWorkerEntriesAreRefused)
{
    ProtocolError error;
    ASSERT_TRUE(decodeWorkerReport("i-1", workerEntry().dump(), error)) << error.reason;
    std::vector<std::string> odd{nested(30000), std::string(30000, '['), "{\"service\":\"\xff\"}"};
    for (const char *field : {"labels", "capacity", "other"}) {
        std::string text = workerEntry().dump();
        text.insert(1, "\"" + std::string(field) + "\":" + nested(30000) + ",");
        odd.push_back(text);
    }
    for (const char *number : {"1e400", "1e30", "-1e30", "18446744073709551615", "9223372036854775807", "-1", "1.5"}) {
        for (const char *field : {"/born", "/capacity/cpu", "/capacity/mem_mb", "/capacity/gpu", "/remaining_ms"}) {
            Json entry = workerEntry();
            entry["state"] = "draining";
            if (std::string(number) == "-1" && std::string(field) == "/remaining_ms") {
                continue; // A worker that leaves later than it announced.
            }
            entry[Json::json_pointer(field)] = "HERE";
            std::string text = entry.dump();
            odd.push_back(text.replace(text.find("\"HERE\""), 6, number));
        }
    }
    for (const char *address :
         {"10.0.0.1:99999", "10.0.0.1:0", "10.0.0.1:-1", "10.0.0.1", "10.0.0.1:80x", "host:80", ""}) {
        Json entry = workerEntry();
        entry["addr"] = address;
        odd.push_back(entry.dump());
    }
    for (const std::string &text : odd) {
        error = {};
        EXPECT_FALSE(decodeWorkerReport("i-1", text, error)) << text.substr(0, 200);
        EXPECT_FALSE(error.reason.empty()) << text.substr(0, 200);
        EXPECT_LT(error.reason.size(), 400U);
    }
}

// Guards against a submission, an answer or a page with such contents that ends the process.
TEST(Messages, oddNumbersAndNestingAreRefused)
{
    ProtocolError error;
    for (const char *number : {"1e400", "1e30", "18446744073709551615", "9223372036854775807", "-1e30"}) {
        const std::string text(number);
        for (const char *field : {"count", "cpu", "mem_mb", "gpu", "max_per_server"}) {
            const std::string body = R"({"steps":[{"count":1,")" + std::string(field) + "\":" + text + "}]}";
            EXPECT_FALSE(decodeSubmission(body, error)) << body;
        }
        for (const char *field : {"times", "first_ms", "interval_ms"}) {
            const std::string body = R"({"steps":[{"count":1}],")" + std::string(field) + "\":" + text + "}";
            EXPECT_FALSE(decodeSubmission(body, error)) << body;
        }
        const std::string ended = R"({"ended":[[)" + text + R"(,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})";
        EXPECT_EQ(decodeHoldAnswer(response(200, ended), {}).outcome, OrderOutcome::Unknown) << ended;
        EXPECT_FALSE(decodeOrderAnswer(response(200, R"({"clock_ms":)" + text + "}"), {}).clock) << text;
    }
    EXPECT_FALSE(decodeSubmission(R"({"steps":)" + nested(100000) + "}", error));
    EXPECT_EQ(decodeHoldAnswer(response(200, R"({"running":)" + nested(100000) + "}"), {}).outcome,
              OrderOutcome::Unknown);
    EXPECT_FALSE(decodeOrderAnswer(response(200, nested(100000)), {}).clock);
    StateError stateError;
    EXPECT_FALSE(decodePage(R"({"ver":1,"rows":)" + nested(100000) + "}", stateError));
    EXPECT_FALSE(decodeCatalogue(R"({"version":1,"routes":[],"services":[],"tenants":)" + nested(100000) + "}", error));
    EXPECT_FALSE(decodeAdvice(R"({"good":[],"valid_ms":1e30})", error));
}

// Guards against discovery entries that are accepted although they do not describe a usable worker.
TEST(CatalogueMessages, foreignWorkerEntriesAreRefused)
{
    const std::string good = R"({"service":"s","addr":"10.0.0.1:1","zone":"z","state":"draining","born":5,
        "remaining_ms":700,"capacity":{"cpu":16000,"mem_mb":32768,"gpu":8},"labels":["a","r1-3"]})";
    ProtocolError error;
    const auto report = decodeWorkerReport("i-1", good, error);
    ASSERT_TRUE(report) << error.reason;
    EXPECT_TRUE(report->draining);
    EXPECT_EQ(report->incarnation, Incarnation(5));
    EXPECT_EQ(report->rack, RackId("r1-3"));
    EXPECT_EQ(report->minimumTimeToLeave, std::chrono::milliseconds(700));
    Json broken = Json::parse(good);
    broken["state"] = "asleep";
    EXPECT_FALSE(decodeWorkerReport("i-1", broken.dump(), error));
    broken = Json::parse(good);
    broken["addr"] = 5;
    EXPECT_FALSE(decodeWorkerReport("i-1", broken.dump(), error));
    broken.erase("addr");
    EXPECT_FALSE(decodeWorkerReport("i-1", broken.dump(), error));
    EXPECT_FALSE(decodeWorkerReport("i-1", "\xff\xfe", error));
}

// Guards against a write that is reported as not done although it may have taken effect, or the reverse.
TEST(StoreClient, outcomesOfAChange)
{
    EXPECT_EQ(decodeChangeResult(response(200, R"({"ver":4})"), {}).outcome, ChangeOutcome::Committed);
    const ChangeResult conflict = decodeChangeResult(
        response(412, R"({"ver":9,"rows":[{"table":"t","part":"","key":"k","value":"aGk=","ver":8}]})"), {});
    EXPECT_EQ(conflict.outcome, ChangeOutcome::Conflict);
    ASSERT_EQ(conflict.current.size(), 1U);
    EXPECT_EQ(conflict.current[0].value, "hi");
    EXPECT_EQ(conflict.current[0].version, RowVersion(8));
    EXPECT_EQ(decodeChangeResult(response(503, ""), {}).outcome, ChangeOutcome::NotDone);
    EXPECT_EQ(decodeChangeResult(response(429, ""), {}).outcome, ChangeOutcome::NotDone);
    EXPECT_EQ(decodeChangeResult(std::nullopt, {TransportCode::Unreachable, ""}).outcome, ChangeOutcome::NotDone);
    EXPECT_EQ(decodeChangeResult(std::nullopt, {TransportCode::Broken, ""}).outcome, ChangeOutcome::Unknown);
    EXPECT_EQ(decodeChangeResult(std::nullopt, {TransportCode::Timeout, ""}).outcome, ChangeOutcome::Unknown);
    EXPECT_EQ(decodeChangeResult(response(200, "not json"), {}).outcome, ChangeOutcome::Unknown);
}

// Guards against expected versions or value bytes that are lost in the encoding.
TEST(StoreClient, changeIsWrittenInTheStoresFormat)
{
    RowChange change;
    change.expected = {{"t", "a", RowVersion(3)}};
    change.written = {{"t", "b", std::string("\0x", 2), {}, false}};
    change.removed = {{"u", "c"}};
    const Json body = Json::parse(encodeChange(change));
    EXPECT_EQ(body.at("expect")[0].at("ver"), 3);
    EXPECT_EQ(body.at("upserts")[0].at("value"), "AHg=");
    EXPECT_EQ(body.at("remove")[0].at("table"), "u");
}

// Guards against orders that are treated as not carried out although they may have been, or the reverse.
TEST(WorkerClient, outcomesOfAnOrder)
{
    const OrderAnswer done = decodeOrderAnswer(response(200, R"({"clock_ms":482113})"), {});
    EXPECT_EQ(done.outcome, OrderOutcome::Done);
    EXPECT_EQ(done.clock, WorkerClockMs(482113));
    EXPECT_EQ(decodeOrderAnswer(response(409, R"({"clock_ms":1,"reason":"room"})"), {}).outcome, OrderOutcome::Refused);
    EXPECT_EQ(decodeOrderAnswer(response(409, R"({"clock_ms":1,"reason":"fence"})"), {}).outcome,
              OrderOutcome::Superseded);
    EXPECT_EQ(decodeOrderAnswer(response(421, ""), {}).outcome, OrderOutcome::OtherIncarnation);
    EXPECT_EQ(decodeOrderAnswer(response(503, ""), {}).outcome, OrderOutcome::Refused);
    EXPECT_EQ(decodeOrderAnswer(std::nullopt, {TransportCode::Unreachable, ""}).outcome, OrderOutcome::Unreachable);
    EXPECT_EQ(decodeOrderAnswer(std::nullopt, {TransportCode::Timeout, ""}).outcome, OrderOutcome::Unknown);
}

// Guards against ended or running tasks that are lost when the answer to a hold is decoded.
TEST(WorkerClient, listsOfAHold)
{
    const HoldAnswer answer = decodeHoldAnswer(
        response(200,
                 R"({"clock_ms":5,"born":77,"running":[["5c0e7a21d94b36f8.0.1.17",2,"00000bb8",41,3]],
                 "ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"alone",""],[59,"foreign",1,"done",""]]})"),
        {});
    EXPECT_EQ(answer.incarnation, Incarnation(77));
    ASSERT_EQ(answer.running.size(), 1U);
    EXPECT_EQ(answer.running[0].percent, 41);
    EXPECT_EQ(answer.running[0].checkpoint, "00000bb8");
    ASSERT_EQ(answer.ended.size(), 1U);
    EXPECT_EQ(answer.ended[0].number, 58);
    EXPECT_EQ(answer.ended[0].kind, EndKind::GangIncomplete);
    EXPECT_EQ(decodeHoldAnswer(response(200, R"({"running":[[1]]})"), {}).outcome, OrderOutcome::Unknown);
}

// Guards against an answer with as many ends as fit that is taken for the list of all ends.
TEST(WorkerClient, fullListOfEndsMayBeIncomplete)
{
    const auto answerWith = [](int ends) {
        std::string rows;
        for (int i = 1; i <= ends; ++i) {
            rows += fmt::format(R"({}[{},"5c0e7a21d94b36f8.0.0.{}",1,"done",""])", i == 1 ? "" : ",", i, i);
        }
        return decodeHoldAnswer(response(200, R"({"running":[],"ended":[)" + rows + "]}"), {});
    };
    EXPECT_FALSE(answerWith(499).moreEnds);
    EXPECT_TRUE(answerWith(500).moreEnds);
    EXPECT_EQ(answerWith(500).ended.size(), 500U);
}

// Guards against orders that are encoded without the epoch, the lease or the checkpoint.
TEST(WorkerClient, ordersAreWrittenInTheWorkersFormat)
{
    const OrderTarget target{WorkerId("i-1"), "10.0.0.1:1", Incarnation(5), Epoch(7)};
    const TaskKey task{JobId("5c0e7a21d94b36f8"), 0, 1, 17};
    const Json start = Json::parse(encodeStart(target, {task, 2, "(text)", WorkerClockMs(486000), "0bb8"}));
    EXPECT_EQ(start.at("task"), "5c0e7a21d94b36f8.0.1.17");
    EXPECT_EQ(start.at("fence"), 7);
    EXPECT_EQ(start.at("deadline_ms"), 486000);
    EXPECT_EQ(start.at("last_checkpoint"), "0bb8");
    EXPECT_FALSE(Json::parse(encodeStart(target, {task, 2, "", WorkerClockMs(1), ""})).contains("last_checkpoint"));
    const Json hold = Json::parse(encodeHold(target, {std::nullopt, 57, std::chrono::milliseconds(1000)}));
    EXPECT_EQ(hold.at("last_seen"), 57);
    EXPECT_EQ(hold.at("wait_ms"), 1000);
    EXPECT_FALSE(hold.contains("deadline_ms"));
}

// Guards against questions, advice or tickets in a format that the advisor or a worker does not understand.
TEST(AdvisorMessages, questionAdviceAndTicket)
{
    const Json question = Json::parse(encodeQuestion({JobId("5c0e7a21d94b36f8"), 2, 1}, {WorkerId("i-7f3a91c2")}));
    EXPECT_EQ(question, Json::parse(R"({"step":"5c0e7a21d94b36f8.2.1","workers":["i-7f3a91c2"]})"));
    ProtocolError error;
    const auto advice = decodeAdvice(R"({"good":[["i-7f3a91c2","c81e-7a21d94b"]],"valid_ms":3000})", error);
    ASSERT_TRUE(advice) << error.reason;
    ASSERT_EQ(advice->approved.size(), 1U);
    EXPECT_EQ(advice->approved[0].first, WorkerId("i-7f3a91c2"));
    EXPECT_EQ(advice->approved[0].second, "c81e-7a21d94b");
    EXPECT_EQ(advice->valid, std::chrono::seconds(3));
    EXPECT_FALSE(decodeAdvice(R"({"good":[["i-7f3a91c2"]],"valid_ms":3000})", error));
    EXPECT_FALSE(error.reason.empty());
    StartOrder order;
    EXPECT_FALSE(Json::parse(encodeStart({}, order)).contains("ticket"));
    order.ticket = "c81e-7a21d94b";
    EXPECT_EQ(Json::parse(encodeStart({}, order)).at("ticket"), "c81e-7a21d94b");
    EXPECT_EQ(decodeOrderAnswer(response(409, R"({"clock_ms":5,"reason":"ticket"})"), {}).outcome,
              OrderOutcome::NotApproved);
}

} // namespace
} // namespace coriander::platform
