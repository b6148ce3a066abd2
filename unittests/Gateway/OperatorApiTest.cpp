#include "corianderscale/Gateway/OperatorApi.h"

#include "corianderscale/Support/Digest.h"
#include "corianderscale/Support/ManualClock.h"

#include <gtest/gtest.h>

#include "Coordination/FakeStore.h"

namespace coriander {
namespace {

constexpr char BootstrapToken[] = "bootstrap-token";
constexpr char OperatorToken[] = "operator-token";

std::string documentText(const std::string &site)
{
    return "site: " + site
        + "\ntime_zone: Europe/Rome\ndata_centres:\n  - name: palermo\n    region: west\n    racks:\n"
        + "      - { name: r1, workers: 1, cores: 32, memory_gib: 64, accelerators: 8 }\n"
        + "operators:\n  - name: rosalia\n    token_digest: " + sha256Hex(OperatorToken) + "\n";
}

class OperatorApiTest : public ::testing::Test
{
protected:
    OperatorApiTest()
        : m_store(m_time.clock())
        , m_api(hooks())
    {
    }

    OperatorHooks hooks()
    {
        OperatorHooks result;
        result.clock = m_time.clock();
        result.store = &m_store;
        result.environment = "production";
        result.instance = InstanceId("gateway-1");
        result.bootstrapDigest = sha256Hex(BootstrapToken);
        result.document = [this] {
            return m_inForce;
        };
        result.instances = [this] {
            return m_instances;
        };
        return result;
    }

    static HttpRequest call(const std::string &token, const Json &body = {})
    {
        HttpRequest request;
        request.headers["Authorization"] = "Bearer " + token;
        request.body = body.dump();
        return request;
    }

    HttpResponse apply(const std::string &token, const std::string &text, const Json &base = {})
    {
        Json body = {{"document", text}};
        if (!base.is_null()) {
            body["baseVersion"] = base;
        }
        return m_api.apply(call(token, body));
    }

    HttpResponse promote(const std::string &token, const std::string &digest)
    {
        return m_api.promote(call(token, {{"digest", digest}}));
    }

    void setInForce(const std::string &text)
    {
        std::vector<YamlFault> faults;
        m_inForce = DocumentInForce{{DocumentVersion(1), sha256Hex(text), "rosalia", 0},
                                    std::make_shared<const Document>(parseDocument(text, "d", faults).value())};
    }

    JobId putJob(JobState state)
    {
        JobRecord job;
        job.dataCentre = DataCentreId("palermo");
        job.id = makeJobId(job.dataCentre);
        job.organisation = OrganisationId("diocese");
        job.caller = CallerId("desk");
        job.spec.cores = MilliCores(1000);
        job.spec.memory = MemoryMib(1024);
        job.state = state;
        TableTransaction transaction{OperationId(randomHex(8)), {}, {}, {}};
        transaction.puts.push_back({jobRowKey(job.dataCentre, job.id), encodeMessage(job)});
        m_store.commit(std::move(transaction), NeverDue, [](const auto &, const auto &) {});
        return job.id;
    }

    static std::string codeOf(const HttpResponse &response)
    {
        ProtocolError error;
        const auto body = decodeMessage<ErrorBody>(response.body, error);
        return body ? body->code : response.body;
    }

    ManualClock m_time;
    FakeStore m_store;
    std::optional<DocumentInForce> m_inForce;
    std::vector<InstanceView> m_instances;
    OperatorApi m_api;
};

// Guards against reads and changes without the token of an operator; a prefix or the digest of a token must not work.
TEST_F(OperatorApiTest, refusesOtherTokens)
{
    setInForce(documentText("sample"));
    for (const std::string &token : {std::string(), std::string("operator-toke"), sha256Hex(OperatorToken)}) {
        EXPECT_EQ(apply(token, documentText("sample")).status, 401);
        EXPECT_EQ(promote(token, "x").status, 401);
        EXPECT_EQ(m_api.status(call(token)).status, 401);
        EXPECT_EQ(m_api.totals(call(token)).status, 401);
        EXPECT_EQ(m_api.cancelJob(call(token), "palermo-1").status, 401);
        EXPECT_EQ(m_api.timeline(call(token)).status, 401);
    }
    EXPECT_EQ(m_api.status(HttpRequest()).status, 401);
    EXPECT_EQ(m_store.commits(), 0);
}

// Guards against a bootstrap token that stays valid after the environment has a document with operators.
TEST_F(OperatorApiTest, bootstrapTokenWorksOnceOnly)
{
    EXPECT_EQ(apply(OperatorToken, documentText("sample")).status, 401);
    ASSERT_EQ(apply(BootstrapToken, documentText("sample")).status, 200);
    EXPECT_EQ(apply(BootstrapToken, documentText("other")).status, 401);
    EXPECT_EQ(apply(OperatorToken, documentText("other")).status, 200);
}

// Guards against an invalid document that is accepted, and against faults without a line.
TEST_F(OperatorApiTest, invalidDocumentIsRefusedWithItsFaults)
{
    const HttpResponse response = apply(BootstrapToken, "site: A\n");
    EXPECT_EQ(response.status, 422);
    EXPECT_EQ(Json::parse(response.body).at("faults").at(0).at("line"), 1);
    EXPECT_TRUE(m_store.value(documentHeadKey("trial")).empty());
    const HttpResponse check = m_api.check(call(BootstrapToken, {{"document", documentText("sample")}}));
    EXPECT_TRUE(Json::parse(check.body).at("valid").get<bool>()) << check.body;
}

// Guards against the promotion of a document that trial does not have, or that is not in force in trial yet.
TEST_F(OperatorApiTest, promotesOnlyWhatIsInForceInTrial)
{
    const std::string digest = sha256Hex(documentText("sample"));
    EXPECT_EQ(codeOf(promote(BootstrapToken, digest)), "conflict");
    ASSERT_EQ(apply(BootstrapToken, documentText("sample")).status, 200);
    EXPECT_EQ(codeOf(promote(BootstrapToken, digest)), "not-in-force");
    m_time.advance(std::chrono::seconds(5));
    EXPECT_EQ(codeOf(promote(BootstrapToken, sha256Hex("another"))), "conflict");
    EXPECT_EQ(promote(BootstrapToken, digest).status, 200);
    EXPECT_EQ(m_store.value(documentVersionKey("production", DocumentVersion(1))), documentText("sample"));
}

// Guards against a lost update when two operators change the same version; the conflict must name the accepted version.
TEST_F(OperatorApiTest, conflictingChangeIsRefusedWithTheAcceptedVersion)
{
    ASSERT_EQ(apply(BootstrapToken, documentText("one")).status, 200);
    ASSERT_EQ(apply(OperatorToken, documentText("two"), 1).status, 200);
    const HttpResponse lost = apply(OperatorToken, documentText("three"), 1);
    EXPECT_EQ(lost.status, 409);
    const Json winner = Json::parse(lost.body).at("winner");
    EXPECT_EQ(winner.at("version"), 2);
    EXPECT_EQ(winner.at("digest"), sha256Hex(documentText("two")));
}

// Guards against a change that is reported as accepted, and against a status call that fails, while the table is
// unavailable.
TEST_F(OperatorApiTest, cutOffAcceptsNothingAndStillReportsStatus)
{
    setInForce(documentText("sample"));
    InstanceView away;
    away.member.instance = InstanceId("scheduler-9");
    away.cutOff = true;
    m_instances.push_back(away);
    m_store.setFaults([](const std::string &, const OperationId &) { return StoreFault::Unavailable; });
    EXPECT_EQ(codeOf(apply(OperatorToken, documentText("two"))), "cut-off");
    const HttpResponse status = m_api.status(call(OperatorToken));
    ASSERT_EQ(status.status, 200);
    const Json json = Json::parse(status.body);
    EXPECT_EQ(json.at("inForce").at("version"), 1);
    EXPECT_TRUE(json.at("instances").at(0).at("cutOff").get<bool>());
    EXPECT_FALSE(json.at("accepted").at(0).at("known").get<bool>());
}

// Guards against a cancellation that changes an ended job, and against a wrong status for unknown or malformed ids.
TEST_F(OperatorApiTest, cancelsRunningJobsOnly)
{
    setInForce(documentText("sample"));
    const JobId running = putJob(JobState::Running);
    EXPECT_EQ(m_api.cancelJob(call(OperatorToken), running.value()).status, 200);
    EXPECT_NE(m_store.value(jobRowKey(DataCentreId("palermo"), running)).find("\"cancelRequested\":true"),
              std::string::npos);
    const JobId finished = putJob(JobState::Finished);
    const int before = m_store.commits();
    EXPECT_EQ(m_api.cancelJob(call(OperatorToken), finished.value()).status, 200);
    EXPECT_EQ(m_store.commits(), before);
    EXPECT_EQ(m_api.cancelJob(call(OperatorToken), makeJobId(DataCentreId("palermo")).value()).status, 404);
    EXPECT_EQ(m_api.cancelJob(call(OperatorToken), "x").status, 404);
}

// Guards against listings that skip or repeat jobs between pages.
TEST_F(OperatorApiTest, jobListingContinues)
{
    setInForce(documentText("sample"));
    for (int i = 0; i < 5; ++i) {
        putJob(JobState::Queued);
    }
    std::set<std::string> seen;
    HttpRequest request = call(OperatorToken);
    request.query["limit"] = "2";
    for (int page = 0; page < 3; ++page) {
        const Json json = Json::parse(m_api.listJobs(request).body);
        for (const Json &job : json.at("jobs")) {
            EXPECT_TRUE(seen.insert(job.at("id").get<std::string>()).second);
        }
        request.query["after"] = json.at("next").get<std::string>();
    }
    EXPECT_EQ(seen.size(), 5U);
    EXPECT_EQ(request.query["after"], "");
    request.query["limit"] = "many";
    EXPECT_EQ(m_api.listJobs(request).status, 400);
}

} // namespace
} // namespace coriander
