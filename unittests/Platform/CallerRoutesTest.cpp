#include "platform/CallerRoutes.h"

#include "corianderscale/Transport/AsyncHttpClient.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

#include "Workflow/FakeRowStore.h"

namespace coriander::platform {
namespace {

using namespace coriander::workflow;
using std::chrono::seconds;

/** A node that serves all calls by itself. */
class FakeNode : public NodeContext
{
public:
    FakeNode()
        : m_store(m_timeline)
        , m_clock(m_timeline.clock())
        , m_intake({}, m_clock, m_store, [this](Duration pause, std::function<void()> next) {
            m_timeline.after(pause, std::move(next));
        })
    {
        QueueSpec queue;
        queue.name = QueueName("q");
        queue.host = "a.example";
        queue.prefix = "/x/";
        queue.open = true;
        queue.service = ServiceName("pool");
        queue.maximumAttempts = 4;
        m_catalogue.queues.push_back(queue);
        m_catalogue.index();
    }

    const Catalogue *catalogue() const override
    {
        return &m_catalogue;
    }

    bool backlogFull() const override
    {
        return isBacklogFull;
    }

    JobIntake &intake() override
    {
        return m_intake;
    }

    void route(const CallerCall &call, CallDone done) override
    {
        server->serve(call, m_timeline.now() + call.timeLimit, std::move(done));
        m_timeline.runFor(seconds(1));
    }

    void callAnswered(const std::string &, const std::string &, const CallAnswer &, MonotonicTime) override { }

    bool ready() const override
    {
        return true;
    }

    const Clock &clock() const override
    {
        return m_clock;
    }

    const FakeRowStore &store() const
    {
        return m_store;
    }

    CallerServer *server = nullptr;
    bool isBacklogFull = false;

private:
    Timeline m_timeline;
    FakeRowStore m_store;
    Clock m_clock;
    JobIntake m_intake;
    Catalogue m_catalogue;
};

class Callers : public ::testing::Test
{
protected:
    Callers()
        : m_routes(m_loop, m_node)
        , m_client(m_loop, {})
    {
        m_node.server = &m_routes;
        TransportError error;
        // A free port is found by a server that is closed again.
        AsyncHttpServer probe(m_loop, {}, [](const HttpRequest &, const AsyncHttpRespond &) {});
        EXPECT_TRUE(probe.listen("127.0.0.1:0", error)) << error.reason;
        m_address = "127.0.0.1:" + std::to_string(probe.port());
        probe.closeIdle();
        EXPECT_TRUE(m_routes.listen(m_address, "127.0.0.1:0", error)) << error.reason;
    }

    /** Status and body of the answer; status 0 if there was none. */
    HttpResponse call(const std::string &method, const std::string &path, const std::string &body)
    {
        HttpRequest request;
        request.method = method;
        request.path = path;
        request.headers["Host"] = "a.example";
        request.body = body;
        std::optional<HttpResponse> answer;
        bool done = false;
        m_client.send(m_address, request, seconds(5), [&](const auto &response, const TransportError &) {
            answer = response;
            done = true;
        });
        const auto end = std::chrono::steady_clock::now() + seconds(10);
        while (!done && std::chrono::steady_clock::now() < end) {
            m_loop.run_for(milliseconds(5));
            m_loop.restart();
        }
        HttpResponse none;
        none.status = 0;
        return answer.value_or(none);
    }

    boost::asio::io_context m_loop;
    FakeNode m_node;
    CallerRoutes m_routes;
    AsyncHttpClient m_client;
    std::string m_address;
};

std::string manyValues(std::size_t bytes)
{
    std::string values = "1";
    while (values.size() < bytes) {
        values += ",1";
    }
    return values;
}

// Guards against a full backlog that grows on, and against the refusal of a job that was accepted before.
TEST_F(Callers, fullBacklogTakesNoFurtherJobs)
{
    const std::string body = R"({"spec":"x","steps":[{"count":1,"cpu":100}]})";
    ASSERT_EQ(call("POST", "/x/5c0e7a21d94b36f8", body).status, 200);
    m_node.isBacklogFull = true;
    EXPECT_EQ(call("POST", "/x/5c0e7a21d94b36f8", body).status, 200);
    const HttpResponse refused = call("POST", "/x/5c0e7a21d94b36f9", body);
    EXPECT_EQ(refused.status, 503);
    EXPECT_EQ(refused.header("Retry-After"), "5");
    EXPECT_EQ(m_node.store().find(JobsTable, "5c0e7a21d94b36f9"), nullptr);
    m_node.isBacklogFull = false;
    EXPECT_EQ(call("POST", "/x/5c0e7a21d94b36f9", body).status, 200);
}

// Guards against accepted jobs that no later owner can run once their queue is removed.
TEST_F(Callers, acceptedJobIsStoredWithThePolicyOfItsQueue)
{
    const std::string body = R"({"spec":"x","steps":[{"count":1,"cpu":100,"after":[]}]})";
    ASSERT_EQ(call("POST", "/x/5c0e7a21d94b36f8", body).status, 200);
    const Row *row = m_node.store().find(JobsTable, "5c0e7a21d94b36f8");
    ASSERT_NE(row, nullptr);
    ProtocolError error;
    const std::optional<JobSpec> job = decodeJob(row->value, error);
    ASSERT_TRUE(job) << error.reason;
    EXPECT_EQ(job->policy, QueuePolicy(m_node.catalogue()->queues.front()));
}

// Guards against one body that ends the process: the reason of the refusal quotes bytes that are not UTF-8.
TEST_F(Callers, oddBodiesAreRefusedAndTheServerGoesOn)
{
    const std::string path = "/x/5c0e7a21d94b36f8";
    const std::vector<std::string> odd{"",
                                       "\xff",
                                       "{\"spec\":\"\xff\xfe\",\"steps\":[{\"count\":1}]}",
                                       "{\"spec\":\"\xc3\"}",
                                       "{\"\xed\xa0\x80\":1}",
                                       std::string("{\"a\0", 4),
                                       std::string(200000, '['),
                                       R"({"steps":[{"count":1,"cpu":1e400}]})",
                                       R"({"steps":[{"count":1,"est_ms":"long"}]})",
                                       R"({"spec":)" + std::string(5000, 'x'),
                                       R"({"steps":[{"count":1}],"unknown":[)" + manyValues(200000) + "]}"};
    for (const std::string &body : odd) {
        const HttpResponse answer = call("POST", path, body);
        EXPECT_EQ(answer.status, 400) << body.substr(0, 100);
        EXPECT_LT(answer.body.size(), 2000U) << body.substr(0, 100);
    }
    EXPECT_EQ(call("POST", path, R"({"steps":[{"count":1}]})").status, 200);
    EXPECT_EQ(call("GET", path, "").status, 200);
}

// Guards against a limit on JSON values that refuses the largest valid submission, or counts values in strings.
TEST_F(Callers, largestSubmissionIsAccepted)
{
    std::string steps;
    for (int i = 0; i < 64; ++i) {
        std::string after;
        for (int j = 0; j < i; ++j) {
            after += (j == 0 ? "" : ",") + std::to_string(j);
        }
        steps += std::string(i == 0 ? "" : ",")
            + R"({"count":1,"cpu":1,"mem_mb":1,"gpu":0,"est_ms":1,"checkpoint":false,"gang":false,"same_rack":false,)"
              R"("required_label":"","data_rack":"","max_per_server":0,"long_running":false,"fills":false,"image":"i",)"
              R"("after":[)"
            + after + "]}";
    }
    const std::string body = R"({"spec":")" + std::string(3000, ',') + R"(","steps":[)" + steps + "]}";
    const HttpResponse answer = call("POST", "/x/5c0e7a21d94b36f8", body);
    EXPECT_EQ(answer.status, 200) << answer.body;
}

// Guards against paths with odd bytes that end the process.
TEST_F(Callers, oddPathsAreRefusedAndTheServerGoesOn)
{
    for (const std::string path : {"/x/\xff\xfe", "/\xc3", "/x/5c0e7a21d94b36f8/\x80"}) {
        EXPECT_GE(call("POST", path, R"({"steps":[{"count":1}]})").status, 400);
        EXPECT_GE(call("DELETE", path, "").status, 400);
    }
    EXPECT_EQ(call("DELETE", "/x/5c0e7a21d94b36f8", "").status, 410);
}

} // namespace
} // namespace coriander::platform
