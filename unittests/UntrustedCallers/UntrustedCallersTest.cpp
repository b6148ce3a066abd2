#include "corianderscale/Transport/AsyncHttpClient.h"

#include <boost/asio/steady_timer.hpp>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <functional>
#include <iostream>
#include <optional>

#include "Soak/NodeProcess.h"
#include "Soak/SoakPlatform.h"
#include "UntrustedCallers/Crowd.h"
#include "UntrustedCallers/CrowdScripts.h"
#include "platform/Names.h"

namespace coriander::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
namespace names = coriander::platform::names;

/** Memory and descriptors of the process, a VM of 120 MB and 3,075 descriptors scaled down. */
constexpr std::size_t MemoryMib = 48;
constexpr std::size_t Descriptors = 512;
/** Limits that only end a test that can no longer pass. */
constexpr auto StartLimit = seconds(20);
constexpr auto JobLimit = seconds(40);
/** A crowd that the process no longer reads from never finishes; it is ended after this time. */
constexpr auto CrowdLimit = seconds(6);
/** Time for the process to read what the crowd sent. */
constexpr auto SettleTime = milliseconds(500);
/** The crowd's connections stay open at least until it has finished; none may end earlier by a timeout. */
constexpr auto ReceiveTime = seconds(30);
constexpr const char *UnknownPath = "/unknown/5c0e7a21d94b36f8";
constexpr const char *QueuePath = "/batch/5c0e7a21d94b36f8";

/** One real process with the stand-in platform. */
class UntrustedCallers : public ::testing::Test
{
protected:
    using MakeScripts = std::function<std::vector<ClientScript>(const std::string &path)>;

    UntrustedCallers()
        : m_directory(std::filesystem::temp_directory_path() / ("coriander-callers-" + std::to_string(getpid())))
        , m_platform(m_loop, 1, 3)
        , m_storeLink(m_loop, m_platform.storePort())
        , m_client(m_loop, {})
    {
        std::filesystem::create_directories(m_directory);
        m_node = std::make_unique<NodeProcess>(m_directory,
                                               "n0",
                                               m_storeLink.address(),
                                               "memory_mb: " + std::to_string(MemoryMib)
                                                   + "\ndescriptors: " + std::to_string(Descriptors) + "\n");
        m_platform.setReceiveTime(ReceiveTime);
        updatePlatform();
    }

    ~UntrustedCallers() override
    {
        m_node.reset();
        std::filesystem::remove_all(m_directory);
    }

    void startNode()
    {
        m_node->start();
        runUntil(StartLimit, [this] { return readyStatus() == 200; });
    }

    /** Plays the crowd against a queue's path, an unknown path and the readiness listener, one after the other. */
    void playEverywhere(const std::string &name, const MakeScripts &makeScripts)
    {
        play(name + " at a queue", m_node->callerPort(), makeScripts(QueuePath));
        play(name + " at an unknown path", m_node->callerPort(), makeScripts(UnknownPath));
        play(name + " at the readiness listener", m_node->readinessPort(), makeScripts(names::ReadyPath));
    }

    void play(const std::string &name, unsigned short port, const std::vector<ClientScript> &scripts)
    {
        std::size_t descriptors = 0;
        {
            Crowd crowd(m_loop, port, scripts);
            const auto end = std::chrono::steady_clock::now() + CrowdLimit;
            while (std::chrono::steady_clock::now() < end && !crowd.hasFinishedSending()) {
                run(milliseconds(50));
                descriptors = std::max(descriptors, openDescriptors());
            }
            run(SettleTime);
            descriptors = std::max(descriptors, openDescriptors());
        }
        ASSERT_TRUE(m_node->isRunning()) << name << ": wait status " << m_node->lastWaitStatus().value_or(-1);
        const std::size_t peak = peakMemoryKib();
        std::cout << name << ": peak memory " << peak / 1024 << " MiB, descriptors " << descriptors << std::endl;
        EXPECT_LE(peak, MemoryMib * 1024) << name;
        EXPECT_LE(descriptors, Descriptors) << name;
    }

    /** Submits a job and waits until it is shown as completed. */
    void expectOrdinaryJob()
    {
        const JobId job("0123456789abcdef");
        FakeWorkers::TaskBehaviour behaviour;
        behaviour.work = milliseconds(200);
        behaviour.resources.cores = MilliCores(1000);
        m_platform.workers.setBehaviour(job, 0, behaviour);
        const nlohmann::json body
            = {{"spec", payloadFor(job)}, {"steps", {{{"count", 1}, {"cpu", 1000}, {"est_ms", 200}}}}};
        const std::string path = "/batch/" + job.value();
        runUntil(JobLimit, [&] { return call("POST", path, body.dump()).status == 200; });
        runUntil(JobLimit,
                 [&] { return call("GET", path, "").body.find("\"state\":\"completed\"") != std::string::npos; });
    }

    LoopbackProxy &storeLink()
    {
        return m_storeLink;
    }

    NodeProcess &node()
    {
        return *m_node;
    }

    int readyStatus()
    {
        return send("GET", m_node->readinessPort(), names::ReadyPath, "").status;
    }

private:
    /** Calls @p done until it returns true; fails after @p limit. */
    void runUntil(Duration limit, const std::function<bool()> &done)
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (std::chrono::steady_clock::now() < end) {
            if (done()) {
                return;
            }
            run(milliseconds(100));
        }
        ADD_FAILURE() << "not done in time";
    }

    void run(Duration duration)
    {
        m_loop.run_for(duration);
        m_loop.restart();
    }

    HttpResponse call(const std::string &method, const std::string &path, const std::string &body)
    {
        return send(method, m_node->callerPort(), path, body);
    }

    /** The response, or one with status 0 if there was none. */
    HttpResponse send(const std::string &method, unsigned short port, const std::string &path, const std::string &body)
    {
        HttpRequest request;
        request.method = method;
        request.path = path;
        request.headers["Host"] = SoakPlatform::Host;
        request.headers[names::CredentialHeader] = SoakPlatform::Credential;
        request.body = body;
        HttpResponse answer;
        answer.status = 0;
        bool done = false;
        m_client.send("127.0.0.1:" + std::to_string(port),
                      request,
                      seconds(3),
                      [&](const std::optional<HttpResponse> &response, const TransportError &) {
                          answer = response.value_or(answer);
                          done = true;
                      });
        while (!done) {
            run(milliseconds(5));
        }
        return answer;
    }

    std::size_t peakMemoryKib()
    {
        std::ifstream status("/proc/" + std::to_string(m_node->pid().value_or(0)) + "/status");
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with("VmHWM:")) {
                return std::stoul(line.substr(line.find_first_of("0123456789")));
            }
        }
        ADD_FAILURE() << "no VmHWM";
        return 0;
    }

    std::size_t openDescriptors()
    {
        std::error_code failure;
        const std::filesystem::directory_iterator entries("/proc/" + std::to_string(m_node->pid().value_or(0)) + "/fd",
                                                          failure);
        return failure ? 0 : static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
    }

    void updatePlatform()
    {
        m_platform.advance();
        m_timer.expires_after(milliseconds(2));
        m_timer.async_wait([this](boost::system::error_code code) {
            if (!code) {
                updatePlatform();
            }
        });
    }

    std::filesystem::path m_directory;
    boost::asio::io_context m_loop;
    boost::asio::steady_timer m_timer{m_loop};
    SoakPlatform m_platform;
    LoopbackProxy m_storeLink;
    AsyncHttpClient m_client;
    std::unique_ptr<NodeProcess> m_node;
};

// Guards against memory that grows with the number of clients whose bodies stay incomplete.
TEST_F(UntrustedCallers, bodiesInOnePieceStayIncomplete)
{
    startNode();
    playEverywhere("bodies in one piece", bodiesInOnePiece);
    expectOrdinaryJob();
}

// Guards against memory that grows with bodies that arrive slowly.
TEST_F(UntrustedCallers, bodiesInSmallPiecesStayIncomplete)
{
    startNode();
    playEverywhere("bodies in small pieces", bodiesInSmallPieces);
    expectOrdinaryJob();
}

// Guards against memory that grows with bodies whose length is not known in advance.
TEST_F(UntrustedCallers, chunkedBodiesStayIncomplete)
{
    startNode();
    playEverywhere("chunked bodies", chunkedBodies);
    expectOrdinaryJob();
}

// Guards against bodies that are read although they exceed the limit.
TEST_F(UntrustedCallers, bodiesFarOverTheLimit)
{
    startNode();
    playEverywhere("oversized bodies", oversizedBodies);
    expectOrdinaryJob();
}

// Guards against JSON documents that need many times their size in memory, and against a parser that recurses too
// deeply.
TEST_F(UntrustedCallers, manyJsonValuesAndDeepNesting)
{
    startNode();
    playEverywhere("many JSON values", manyJsonValues);
    expectOrdinaryJob();
}

// Guards against headers that need many times their size in memory.
TEST_F(UntrustedCallers, manyShortHeaderFields)
{
    startNode();
    playEverywhere("many header fields", manyHeaderFields);
    expectOrdinaryJob();
}

// Guards against responses that pile up for clients that do not read.
TEST_F(UntrustedCallers, pipelinedRequestsWithoutReading)
{
    startNode();
    playEverywhere("pipelined requests", pipelinedRequests);
    expectOrdinaryJob();
}

// Guards against slow clients that use up the descriptors, so that the process reaches neither workers nor the store.
TEST_F(UntrustedCallers, slowAndHalfClosedConnections)
{
    startNode();
    playEverywhere("slow clients", slowClients);
    expectOrdinaryJob();
}

// Guards against limits that hold only after the configuration was read.
TEST_F(UntrustedCallers, crowdBeforeTheFirstConfiguration)
{
    storeLink().setFaults({.holdsResponses = true});
    node().start();
    while (readyStatus() == 0 && node().isRunning()) { }
    ASSERT_NE(readyStatus(), 200);
    playEverywhere("bodies in one piece", bodiesInOnePiece);
    playEverywhere("chunked bodies", chunkedBodies);
    playEverywhere("slow clients", slowClients);
    storeLink().setFaults({});
    expectOrdinaryJob();
}

} // namespace
} // namespace coriander::soak
