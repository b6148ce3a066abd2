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
constexpr auto Turn = milliseconds(2);
/** Time for the nodes to elect an owner and read the configuration before the first call. Deployments allow it too. */
constexpr auto StartTime = seconds(4);
/** Contract: time after a fault within which everything must be running again. */
constexpr auto RecoverTime = seconds(12);
/** Contract: time after the end of submissions within which all jobs must finish. */
constexpr auto FinishTime = seconds(14);
/** Maximum lease of a worker that does not respond, after which its tasks run on other workers. */
constexpr auto LongestLease = seconds(10);

int numberFrom(const char *variable, int fallback)
{
    const char *text = std::getenv(variable);
    return text == nullptr ? fallback : std::atoi(text);
}

struct SoakSize {
    int nodes = 4;
    int workers = 12;
    seconds faultTime = seconds(12);
};

/** One run of the real processes with one seed. */
class SoakRun
{
public:
    SoakRun(unsigned seed, const SoakSize &size)
        : m_directory(std::filesystem::temp_directory_path()
                      / ("coriander-soak-" + std::to_string(getpid()) + "-" + std::to_string(seed)))
        , m_size(size)
        , m_platform(m_loop, seed, size.workers)
    {
        std::filesystem::create_directories(m_directory);
        std::vector<std::string> fronts;
        for (int i = 0; i < size.nodes; ++i) {
            SoakNode node;
            node.storeLink = std::make_unique<LoopbackProxy>(m_loop, m_platform.storePort());
            node.process
                = std::make_unique<NodeProcess>(m_directory, "n" + std::to_string(i), node.storeLink->address());
            node.callerLink = std::make_unique<LoopbackProxy>(m_loop, node.process->callerPort());
            fronts.push_back(node.callerLink->address());
            m_nodes.push_back(std::move(node));
        }
        m_callers = std::make_unique<SoakCallers>(m_loop, m_platform, fronts, seed + 1);
        m_faults = std::make_unique<FaultSchedule>(m_loop, m_platform, m_nodes, seed + 2);
    }

    void play()
    {
        turn();
        m_loop.run_for(StartTime);
        m_callers->start();
        m_faults->start();
        m_loop.run_for(m_size.faultTime);
        m_faults->heal();
        m_callers->stopSubmitting();
        const auto limit = std::chrono::steady_clock::now() + RecoverTime + LongestLease + FinishTime;
        while (std::chrono::steady_clock::now() < limit && !m_callers->allSettled()) {
            m_loop.run_for(milliseconds(100));
        }
        EXPECT_TRUE(m_callers->allSettled()) << "LOST: accepted jobs without a final state:\n"
                                             << m_callers->listUnsettled();
        m_callers->expectQueueEverywhere(m_platform.newestPrefix());
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
    void turn()
    {
        m_platform.advance();
        m_faults->superviseProcesses();
        m_timer.expires_after(Turn);
        m_timer.async_wait([this](boost::system::error_code code) {
            if (!code) {
                turn();
            }
        });
    }

    std::filesystem::path m_directory;
    SoakSize m_size;
    boost::asio::io_context m_loop;
    boost::asio::steady_timer m_timer{m_loop};
    SoakPlatform m_platform;
    std::vector<SoakNode> m_nodes;
    std::unique_ptr<SoakCallers> m_callers;
    std::unique_ptr<FaultSchedule> m_faults;
};

void playSeed(unsigned seed, const SoakSize &size)
{
    const bool failedBefore = ::testing::Test::HasFailure();
    SCOPED_TRACE("seed " + std::to_string(seed));
    SoakRun run(seed, size);
    run.play();
    const bool failed = !failedBefore && ::testing::Test::HasFailure();
    std::cout << "seed " << seed << ": accepted " << run.acceptedJobs() << ", refused " << run.refusedJobs()
              << (failed ? ", FAILED" : ", passed") << std::endl;
    run.cleanUp(failed);
}

// Guards against real processes violating the contract with callers or workers under random external faults. For manual
// runs, CORIANDER_SOAK_SEED sets the first seed, CORIANDER_SOAK_SEEDS the number of seeds, CORIANDER_SOAK_SECONDS the
// duration of the faults, CORIANDER_SOAK_NODES and CORIANDER_SOAK_WORKERS the numbers of nodes and workers.
TEST(Soak, promisesHoldUnderRandomFaults)
{
    SoakSize size;
    size.nodes = numberFrom("CORIANDER_SOAK_NODES", size.nodes);
    size.workers = numberFrom("CORIANDER_SOAK_WORKERS", size.workers);
    size.faultTime = seconds(numberFrom("CORIANDER_SOAK_SECONDS", static_cast<int>(size.faultTime.count())));
    const unsigned first = static_cast<unsigned>(numberFrom("CORIANDER_SOAK_SEED", 1));
    const unsigned count = static_cast<unsigned>(numberFrom("CORIANDER_SOAK_SEEDS", 1));
    for (unsigned seed = first; seed < first + count; ++seed) {
        playSeed(seed, size);
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
TEST_P(SoakRegression, seedThatFailedOncePasses)
{
    playSeed(GetParam(), SoakSize{});
}

INSTANTIATE_TEST_SUITE_P(Seeds, SoakRegression, ::testing::Values(205U, 206U, 211U));

} // namespace
} // namespace coriander::soak
