#include "corianderscale/Coordination/MembershipService.h"
#include "corianderscale/Coordination/Store.h"
#include "corianderscale/Support/Log.h"
#include "corianderscale/Transport/DutyThread.h"

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <stdexcept>
#include <sys/resource.h>

#include "SizeEstimate.h"

namespace coriander {
namespace {

/** Port of the first member; each member uses one port, below the kernel's range for outgoing connections. */
constexpr int FirstPort = 21000;
constexpr int ExitWrongUsage = 2;
/** Limits per member; the CPU share is a fraction of one core. */
constexpr double BytesPerSecondLimit = 6 * 1024;
constexpr double CpuShareLimit = 0.012;

/** Store whose VM list holds the first two members, as the platform's list would; all other calls fail. */
class ContactStore : public Store
{
public:
    void commit(TableTransaction, MonotonicTime, CommitDone done) override
    {
        done(std::nullopt, unavailable());
    }

    void read(std::vector<std::string>, MonotonicTime, RowsDone done) override
    {
        done(std::nullopt, unavailable());
    }

    void scan(TableScan, MonotonicTime, RowsDone done) override
    {
        done(std::nullopt, unavailable());
    }

    void putObject(std::string, std::string, MonotonicTime, WriteDone done) override
    {
        done(false, unavailable());
    }

    void getObject(std::string, MonotonicTime, ObjectDone done) override
    {
        done(std::nullopt, unavailable());
    }

    void listVms(MonotonicTime, VmsDone done) override
    {
        VmList list;
        for (int i = 0; i < 2; ++i) {
            VmEntry vm;
            vm.role = "entry";
            vm.peerAddress = fmt::format("127.0.0.1:{}", FirstPort + i);
            list.vms.push_back(vm);
        }
        done(list, {});
    }

    StoreState state() const override
    {
        return StoreState::Available;
    }

private:
    static CoordinationError unavailable()
    {
        return {CoordinationCode::StoreUnavailable, "this store has only a list of VMs"};
    }
};

/** A member and its peer streams. */
struct BenchMember {
    std::unique_ptr<MembershipService> service;
    std::unique_ptr<PeerStreams> streams;
};

BenchMember startMember(int index, Store &store, const Clock &clock)
{
    PeerStreams::Settings settings;
    settings.instance = InstanceId(fmt::format("gateway-{:016x}", index));
    settings.listenAddress = fmt::format("127.0.0.1:{}", FirstPort + index);
    settings.key = "the key of bench-membership";
    MembershipService::Settings service;
    service.membership.self.instance = settings.instance;
    service.membership.self.dataCentre = DataCentreId("palermo");
    service.membership.self.address = fmt::format("http://127.0.0.1:{}", FirstPort + 1000 + index);
    service.membership.self.peerAddress = settings.listenAddress;
    // The handler of the streams calls the service, and the service sends over the streams; the pointer is set when
    // both exist.
    const auto streams = std::make_shared<PeerStreams *>(nullptr);
    BenchMember member;
    member.service = std::make_unique<MembershipService>(
        service,
        clock,
        store,
        [streams](const std::string &address,
                  const std::string &message,
                  std::string body,
                  MonotonicTime deadline,
                  PeerReply done) { (*streams)->send(address, message, std::move(body), deadline, std::move(done)); },
        Membership::Hooks());
    MembershipService *target = member.service.get();
    member.streams = std::make_unique<PeerStreams>(
        settings, clock, [target](const std::string &, const InstanceId &from, const std::string &body) {
            return target->handle(from, body);
        });
    *streams = member.streams.get();
    TransportError error;
    if (!member.streams->start(error)) {
        throw std::runtime_error(error.reason);
    }
    return member;
}

double processCpuSeconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval &time) {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

std::int64_t totalTrafficBytes(const std::vector<BenchMember> &members)
{
    std::int64_t bytes = 0;
    for (const BenchMember &member : members) {
        bytes += member.streams->traffic().bytesSent + member.streams->traffic().bytesReceived;
    }
    return bytes;
}

/** Traffic and CPU use per member in a group of @c members. */
struct Measurement {
    int members = 0;
    double bytesPerSecond = 0;
    double cpuShare = 0;
    /** Whether every member knew all members at the end. */
    bool complete = false;
};

Measurement measure(int count, Duration warmUp, Duration time)
{
    const Clock clock = systemClock();
    ContactStore store;
    std::vector<BenchMember> members;
    for (int i = 0; i < count; ++i) {
        members.push_back(startMember(i, store, clock));
    }
    Measurement measurement;
    measurement.members = count;
    {
        constexpr auto StepPause = std::chrono::milliseconds(100);
        DutyThread steps("steps", [&] {
            for (const BenchMember &member : members) {
                member.service->step();
            }
            std::this_thread::sleep_for(StepPause);
        });
        std::this_thread::sleep_for(warmUp);
        const double cpuBefore = processCpuSeconds();
        const std::int64_t bytesBefore = totalTrafficBytes(members);
        const MonotonicTime before = clock.now();
        std::this_thread::sleep_for(time);
        const double elapsed = std::chrono::duration<double>(clock.now() - before).count();
        measurement.bytesPerSecond = static_cast<double>(totalTrafficBytes(members) - bytesBefore) / elapsed / count;
        measurement.cpuShare = (processCpuSeconds() - cpuBefore) / elapsed / count;
    }
    measurement.complete = std::all_of(members.begin(), members.end(), [&](const BenchMember &member) {
        return member.service->members().size() == static_cast<std::size_t>(count);
    });
    // The streams are destroyed first because their handlers use the services.
    for (BenchMember &member : members) {
        member.streams.reset();
    }
    return measurement;
}

/** Least-squares slope of one measured value over the number of members. */
double slope(const std::vector<Measurement> &measurements, double Measurement::*field)
{
    double n = 0;
    double sumX = 0;
    double sumY = 0;
    double sumXX = 0;
    double sumXY = 0;
    for (const Measurement &measurement : measurements) {
        const double x = measurement.members;
        n += 1;
        sumX += x;
        sumY += measurement.*field;
        sumXX += x * x;
        sumXY += x * measurement.*field;
    }
    const double spread = n * sumXX - sumX * sumX;
    return spread == 0 ? 0 : (n * sumXY - sumX * sumY) / spread;
}

int run(int warmUpSeconds, int seconds, const std::vector<int> &counts)
{
    setLogLevel(LogLevel::Warning);
    std::vector<Measurement> measurements;
    bool withinLimits = true;
    for (const int count : counts) {
        const Measurement measurement
            = measure(count, std::chrono::seconds(warmUpSeconds), std::chrono::seconds(seconds));
        fmt::print("{{\"members\":{},\"bytes_per_second\":{:.0f},\"cpu_share\":{:.5f},\"complete\":{}}}\n",
                   measurement.members,
                   measurement.bytesPerSecond,
                   measurement.cpuShare,
                   measurement.complete);
        std::fflush(stdout);
        withinLimits = withinLimits && measurement.complete && measurement.bytesPerSecond <= BytesPerSecondLimit
            && measurement.cpuShare <= CpuShareLimit;
        measurements.push_back(measurement);
    }
    fmt::print("{{\"slope_bytes_per_second_per_member\":{:.2f},\"slope_cpu_share_per_member\":{:.7f},"
               "\"within_limits\":{}}}\n",
               slope(measurements, &Measurement::bytesPerSecond),
               slope(measurements, &Measurement::cpuShare),
               withinLimits);
    return withinLimits ? 0 : 1;
}

} // namespace
} // namespace coriander

int main(int argc, char **argv)
{
    namespace options = boost::program_options;
    int warmUp = 0;
    int seconds = 0;
    std::vector<int> counts;
    options::options_description description(
        "Measures gossip traffic and CPU use per member over peer streams on loopback");
    description.add_options()("help", "show this text")("version", "show the version")(
        "warm-up", options::value(&warmUp)->default_value(15), "seconds before each measurement")(
        "seconds", options::value(&seconds)->default_value(20), "seconds of each measurement")(
        "members",
        options::value(&counts)->multitoken()->default_value({4, 8, 16, 32, 64}, "4 8 16 32 64"),
        "numbers of members, each at most 64")(
        "size-estimate",
        options::value<int>(),
        "compare in memory ways to estimate the number of members, with this number of seeds");
    try {
        options::variables_map variables;
        options::store(options::parse_command_line(argc, argv, description), variables);
        options::notify(variables);
        if (variables.count("help") > 0) {
            std::cout << description;
            return 0;
        }
        if (variables.count("version") > 0) {
            std::cout << CORIANDER_VERSION << "\n";
            return 0;
        }
        if (variables.count("size-estimate") > 0) {
            return coriander::compareSizeEstimates(std::max(1, variables["size-estimate"].as<int>()));
        }
        constexpr int MaximumMembers = 64;
        for (const int count : counts) {
            if (count < 1 || count > MaximumMembers) {
                throw options::error("--members takes numbers from 1 to 64");
            }
        }
        return coriander::run(warmUp, seconds, counts);
    } catch (const options::error &error) {
        std::cerr << error.what() << "\n";
        return coriander::ExitWrongUsage;
    } catch (const std::exception &error) {
        std::cerr << error.what() << "\n";
        return 1;
    }
}
