#include <boost/asio/steady_timer.hpp>
#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>

#include "Soak/FaultSchedule.h"
#include "Soak/SoakCallers.h"

namespace coriander::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Interval between updates of the simulated platform. */
constexpr auto UpdateInterval = milliseconds(2);
/** Time for the nodes to elect an owner and read the configuration before the first call. Deployments allow it too. */
constexpr auto StartupTime = seconds(4);
/** Contract: time after a fault within which everything must be running again. */
constexpr auto RecoveryLimit = seconds(12);
/** Contract: time after the end of submissions within which all jobs must finish. */
constexpr auto FinishLimit = seconds(14);
/** Maximum lease of a worker that does not respond, after which its tasks run on other workers. */
constexpr auto MaximumLease = seconds(10);

int integerFromEnvironment(const char *variable, int fallback)
{
    const char *text = std::getenv(variable);
    return text == nullptr ? fallback : std::atoi(text);
}

struct SoakParameters {
    int nodes = 4;
    int workers = 12;
    seconds faultDuration = seconds(12);
};

/** One run of the real processes with one seed. */
class SoakRun
{
public:
    SoakRun(unsigned seed, const SoakParameters &parameters)
        : m_directory(std::filesystem::temp_directory_path()
                      / ("coriander-soak-" + std::to_string(getpid()) + "-" + std::to_string(seed)))
        , m_parameters(parameters)
        , m_platform(m_loop, seed, parameters.workers)
    {
        std::filesystem::create_directories(m_directory);
        std::vector<std::string> nodeAddresses;
        for (int i = 0; i < parameters.nodes; ++i) {
            SoakNode node;
            node.storeLink = std::make_unique<LoopbackProxy>(m_loop, m_platform.storePort());
            node.process = std::make_unique<NodeProcess>(m_directory,
                                                         "n" + std::to_string(i),
                                                         node.storeLink->address(),
                                                         "advisor: " + m_platform.advisorAddress() + "\n");
            node.callerLink = std::make_unique<LoopbackProxy>(m_loop, node.process->callerPort());
            nodeAddresses.push_back(node.callerLink->address());
            m_nodes.push_back(std::move(node));
        }
        m_callers = std::make_unique<SoakCallers>(m_loop, m_platform, nodeAddresses, seed + 1);
        m_faults = std::make_unique<FaultSchedule>(m_loop, m_platform, m_nodes, seed + 2);
    }

    void execute()
    {
        updatePlatform();
        m_loop.run_for(StartupTime);
        m_callers->start();
        m_faults->start();
        m_loop.run_for(m_parameters.faultDuration);
        m_faults->endFaults();
        m_callers->stopSubmitting();
        const auto limit = std::chrono::steady_clock::now() + RecoveryLimit + MaximumLease + FinishLimit;
        while (std::chrono::steady_clock::now() < limit && !m_callers->hasObservedAllFinalStates()) {
            m_loop.run_for(milliseconds(100));
        }
        EXPECT_TRUE(m_callers->hasObservedAllFinalStates()) << "LOST: accepted jobs without a final state:\n"
                                                            << m_callers->listJobsWithoutFinalState();
        m_callers->expectQueueAtEveryNode(m_platform.newestQueuePrefix());
        m_loop.run_for(milliseconds(500));
        EXPECT_GT(m_callers->acceptedJobs(), 0U);
        std::ofstream(m_directory / "faults.log") << m_faults->history();
    }

    /** Removes the logs of a run that passed, unless CORIANDER_SOAK_KEEP is set. */
    void cleanUp(bool failed)
    {
        m_nodes.clear();
        if (failed || std::getenv("CORIANDER_SOAK_KEEP") != nullptr) {
            std::cout << m_faults->history() << "logs: " << m_directory << std::endl;
        } else {
            std::filesystem::remove_all(m_directory);
        }
    }

    std::size_t acceptedJobs() const
    {
        return m_callers->acceptedJobs();
    }

    std::size_t refusedJobs() const
    {
        return m_callers->refusedJobs();
    }

private:
    void updatePlatform()
    {
        m_platform.advance();
        m_faults->restartEndedProcesses();
        m_timer.expires_after(UpdateInterval);
        m_timer.async_wait([this](boost::system::error_code code) {
            if (!code) {
                updatePlatform();
            }
        });
    }

    std::filesystem::path m_directory;
    SoakParameters m_parameters;
    boost::asio::io_context m_loop;
    boost::asio::steady_timer m_timer{m_loop};
    SoakPlatform m_platform;
    std::vector<SoakNode> m_nodes;
    std::unique_ptr<SoakCallers> m_callers;
    std::unique_ptr<FaultSchedule> m_faults;
};

void runSeed(unsigned seed, const SoakParameters &parameters)
{
    const bool failedBefore = ::testing::Test::HasFailure();
    SCOPED_TRACE("seed " + std::to_string(seed));
    SoakRun run(seed, parameters);
    run.execute();
    const bool failed = !failedBefore && ::testing::Test::HasFailure();
    std::cout << "seed " << seed << ": accepted " << run.acceptedJobs() << ", refused " << run.refusedJobs()
              << (failed ? ", FAILED" : ", passed") << std::endl;
    run.cleanUp(failed);
}

// Guards against real processes violating the contract with callers or workers under random external faults. For manual
// runs, CORIANDER_SOAK_SEED sets the first seed, CORIANDER_SOAK_SEEDS the number of seeds, CORIANDER_SOAK_SECONDS the
// duration of the faults, CORIANDER_SOAK_NODES and CORIANDER_SOAK_WORKERS the numbers of nodes and workers.
TEST(Soak, contractHoldsUnderRandomFaults)
{
    SoakParameters parameters;
    parameters.nodes = integerFromEnvironment("CORIANDER_SOAK_NODES", parameters.nodes);
    parameters.workers = integerFromEnvironment("CORIANDER_SOAK_WORKERS", parameters.workers);
    parameters.faultDuration
        = seconds(integerFromEnvironment("CORIANDER_SOAK_SECONDS", static_cast<int>(parameters.faultDuration.count())));
    const unsigned first = static_cast<unsigned>(integerFromEnvironment("CORIANDER_SOAK_SEED", 1));
    const unsigned count = static_cast<unsigned>(integerFromEnvironment("CORIANDER_SOAK_SEEDS", 1));
    for (unsigned seed = first; seed < first + count; ++seed) {
        runSeed(seed, parameters);
    }
}

/**
 * Seeds that failed in the past. 205, 206 and 211: the third failed end of a task was lost with its worker, so the task
 * ran again.
 */
class SoakRegression : public ::testing::TestWithParam<unsigned>
{
};

// Guards against the return of a fault that the seed found. Timing differs between runs, so a single pass proves
// little.
TEST_P(SoakRegression, formerlyFailingSeedPasses)
{
    runSeed(GetParam(), SoakParameters{});
}

INSTANTIATE_TEST_SUITE_P(Seeds, SoakRegression, ::testing::Values(205U, 206U, 211U));

} // namespace
} // namespace coriander::soak
