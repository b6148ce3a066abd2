#include "corianderscale/Ctl/Ctl.h"

#include "corianderscale/Daemon/CommandLine.h"
#include "corianderscale/Support/ManualClock.h"

#include <gtest/gtest.h>

#include <map>
#include <sstream>

namespace coriander {
namespace {

class CtlTest : public ::testing::Test
{
protected:
    CtlTest()
    {
        m_hooks.clock = m_time.clock();
        m_hooks.sleep = [this](Duration time) {
            m_time.advance(time);
        };
        m_hooks.send = [this](const std::string &address, const HttpRequest &request, Duration, TransportError &error) {
            m_calledGateways.push_back(address);
            m_request = request;
            const auto found = m_answers.find(address);
            if (found == m_answers.end() || found->second.empty()) {
                error = {m_transportCode, "no answer"};
                return std::optional<HttpResponse>();
            }
            std::optional<HttpResponse> answer = found->second.front();
            if (found->second.size() > 1) {
                found->second.erase(found->second.begin());
            }
            return answer;
        };
        m_hooks.tokenVariable = "secret";
        m_hooks.out = &m_out;
        m_hooks.err = &m_err;
    }

    void answer(const std::string &address, int status, const std::string &body)
    {
        m_answers[address].push_back(jsonResponse(status, body));
    }

    int run(std::vector<std::string> arguments)
    {
        for (const char *gateway : {"a", "b"}) {
            arguments.insert(arguments.end(), {"--gateway", gateway});
        }
        return runCtl(arguments, m_hooks);
    }

    ManualClock m_time;
    CtlHooks m_hooks;
    std::map<std::string, std::vector<HttpResponse>> m_answers;
    std::vector<std::string> m_calledGateways;
    HttpRequest m_request;
    TransportCode m_transportCode = TransportCode::Unreachable;
    std::ostringstream m_out;
    std::ostringstream m_err;
};

std::string errorJson(const std::string &code)
{
    return R"({"error":{"code":")" + code + R"(","outcome":"rejected","reason":"because","retryAfterMs":2000}})";
}

// Guards against a failure, and against printing the token, when only the first gateway is unreachable.
TEST_F(CtlTest, triesTheNextGatewayWhenOneIsUnreachable)
{
    answer("b", 200, R"({"versions":[{"version":1,"operator":"rosalia","digest":"d","acceptedUnixMs":0}]})");
    EXPECT_EQ(run({"history"}), ExitSuccess) << m_err.str();
    EXPECT_EQ(m_calledGateways, (std::vector<std::string>{"a", "b"}));
    EXPECT_EQ(m_request.header("Authorization"), "Bearer secret");
    EXPECT_NE(m_out.str().find("rosalia"), std::string::npos);
    EXPECT_EQ(m_err.str().find("secret"), std::string::npos);
}

// Guards against repeating a change at another gateway when the first one may have made it.
TEST_F(CtlTest, changesAreNotRepeatedAfterALostAnswer)
{
    m_transportCode = TransportCode::Timeout;
    EXPECT_EQ(run({"jobs", "cancel", "j"}), ExitUnreachable);
    EXPECT_EQ(m_calledGateways.size(), 1U);
}

// Guards against exit codes that do not distinguish refusals, invalid documents and unreachable services.
TEST_F(CtlTest, exitCodesFollowTheAnswers)
{
    EXPECT_EQ(run({"status"}), ExitUnreachable);
    const std::map<int, int> expected = {{401, ExitRefused}, {409, ExitRefused}, {422, ExitInvalid}, {404, ExitFailed}};
    for (const auto &[status, exitCode] : expected) {
        m_answers.clear();
        answer("a", status, errorJson("x"));
        EXPECT_EQ(run({"jobs", "show", "j"}), exitCode) << status;
    }
}

// Guards against unknown commands, options or arguments that are ignored, and against a token on the command line.
TEST_F(CtlTest, refusesWrongUsage)
{
    EXPECT_EQ(run({"aply", "f"}), ExitUsage);
    EXPECT_EQ(run({"status", "--token", "secret"}), ExitUsage);
    EXPECT_EQ(run({"status", "extra"}), ExitUsage);
    EXPECT_EQ(run({"status", "--output", "xml"}), ExitUsage);
    EXPECT_EQ(run({"totals"}), ExitUsage);
    EXPECT_EQ(run({"apply", "--environment", "production", "f"}), ExitUsage);
    EXPECT_EQ(runCtl({"status"}, m_hooks), ExitUsage);
    m_hooks.tokenVariable.clear();
    EXPECT_EQ(run({"status"}), ExitUsage);
    EXPECT_TRUE(m_calledGateways.empty());
}

// Guards against a promotion that fails because the document is not in force in trial yet; it must be retried.
TEST_F(CtlTest, promoteWaitsUntilInForce)
{
    answer("a", 409, errorJson("not-in-force"));
    answer("a", 200, R"({"environment":"production","version":1,"digest":"d"})");
    EXPECT_EQ(run({"promote", "d"}), ExitSuccess) << m_err.str();
    EXPECT_EQ(m_time.clock().now(), MonotonicTime(std::chrono::milliseconds(2000)));
}

// Guards against waiting without a limit, and against exit code 0 for a job that did not finish.
TEST_F(CtlTest, waitsForJobsWithinALimit)
{
    answer("a", 200, R"({"id":"j","state":"running"})");
    EXPECT_EQ(run({"jobs", "wait", "j", "--wait-ms", "3000"}), ExitFailed);
    answer("a", 200, R"({"id":"j","state":"failed"})");
    EXPECT_EQ(run({"jobs", "wait", "j"}), ExitFailed);
    m_answers.clear();
    answer("a", 200, R"({"id":"j","state":"finished"})");
    EXPECT_EQ(run({"jobs", "wait", "j"}), ExitSuccess);
}

// Guards against a command without help.
TEST_F(CtlTest, everyCommandHasHelp)
{
    EXPECT_EQ(runCtl({"--help"}, m_hooks), ExitSuccess);
    for (const char *command : {"check", "apply", "totals", "timeline"}) {
        EXPECT_EQ(runCtl({command, "--help"}, m_hooks), ExitSuccess);
    }
    EXPECT_EQ(runCtl({"jobs", "wait", "--help"}, m_hooks), ExitSuccess);
    EXPECT_NE(m_out.str().find("Usage: corianderctl jobs wait JOB"), std::string::npos);
}

} // namespace
} // namespace coriander
