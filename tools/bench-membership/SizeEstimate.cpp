#include "SizeEstimate.h"

#include "corianderscale/Coordination/Membership.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <random>

namespace coriander {
namespace {

/**
 * Rounds before and after the change. A round is one second of virtual time: one exchange of the ring estimate, or one
 * probe interval of the membership.
 */
constexpr int SettleRounds = 60;
constexpr int ObservedRounds = 40;
/** Relative error below which an estimate counts as converged. */
constexpr double ConvergedError = 0.01;

/** A group of @c members, of which @c failures fail at once while @c joins new ones join. */
struct Change {
    int members;
    int failures;
    int joins;
};

/** Accuracy of one method of estimation after a change, and its number of messages. */
struct Outcome {
    /** Largest relative error of any member right after the change, and at the end. */
    double firstRoundError = 0;
    double lastRoundError = 0;
    /** Rounds until the largest error stayed below ConvergedError; ObservedRounds when it did not. */
    int roundsToConverge = ObservedRounds;
    double messagesPerMemberAndRound = 0;
};

/** Collects the errors of the rounds after a change. */
class ErrorTracker
{
public:
    void addRound(int index, double error)
    {
        if (index == 0) {
            m_outcome.firstRoundError = error;
        }
        m_outcome.lastRoundError = error;
        if (error >= ConvergedError) {
            m_convergedSince = index + 1;
        }
        m_outcome.roundsToConverge = m_convergedSince;
    }

    Outcome finish(std::int64_t messages, int members)
    {
        m_outcome.messagesPerMemberAndRound = static_cast<double>(messages) / members / (SettleRounds + ObservedRounds);
        return m_outcome;
    }

private:
    Outcome m_outcome;
    int m_convergedSince = 0;
};

/**
 * Members on a ring of identifiers. Each member keeps its distance to the next one and averages it in pairs with other
 * members; the size of the ring divided by the average estimates the number of members.
 */
class Ring
{
public:
    Ring(unsigned int seed, bool usesWaves)
        : m_random(seed)
        , m_usesWaves(usesWaves)
    {
    }

    void join()
    {
        const std::uint32_t id = static_cast<std::uint32_t>(m_random());
        m_values[id] = distanceToNext(id);
    }

    void fail()
    {
        auto member = m_values.begin();
        std::advance(member, static_cast<std::ptrdiff_t>(m_random() % m_values.size()));
        m_values.erase(member);
    }

    /** Each member averages its value with that of a random other member. */
    void exchange()
    {
        std::vector<double *> values;
        for (auto &[id, value] : m_values) {
            values.push_back(&value);
        }
        for (double *value : values) {
            double *other = values[m_random() % values.size()];
            if (other != value) {
                *value = *other = (*value + *other) / 2;
                m_messages += 2;
            }
        }
    }

    /**
     * Passes a message along the ring once, which resets each value to the current distance. Until the next wave,
     * members use their value from before this one, because the new value has not been averaged yet.
     */
    void passWave()
    {
        m_reported = m_values;
        for (auto &[id, value] : m_values) {
            value = distanceToNext(id);
            ++m_messages;
        }
    }

    double largestError() const
    {
        double largest = 0;
        const auto count = static_cast<double>(m_values.size());
        for (const auto &[id, value] : m_values) {
            const auto reported = m_reported.find(id);
            const double used = m_usesWaves && reported != m_reported.end() ? reported->second : value;
            largest = std::max(largest, std::abs(RingSize / std::max(used, 1.0) - count) / count);
        }
        return largest;
    }

    std::int64_t messages() const
    {
        return m_messages;
    }

private:
    static constexpr double RingSize = 4294967296.0;

    double distanceToNext(std::uint32_t id) const
    {
        auto next = m_values.upper_bound(id);
        if (next == m_values.end()) {
            next = m_values.begin();
        }
        if (m_values.empty() || next->first == id) {
            return RingSize;
        }
        return static_cast<double>(static_cast<std::uint32_t>(next->first - id));
    }

    std::mt19937 m_random;
    bool m_usesWaves;
    std::map<std::uint32_t, double> m_values;
    std::map<std::uint32_t, double> m_reported;
    std::int64_t m_messages = 0;
};

Outcome measureRing(const Change &change, unsigned int seed, int roundsPerWave)
{
    Ring ring(seed, roundsPerWave > 0);
    for (int i = 0; i < change.members; ++i) {
        ring.join();
    }
    ring.passWave();
    for (int i = 0; i < SettleRounds; ++i) {
        if (roundsPerWave > 0 && i % roundsPerWave == roundsPerWave - 1) {
            ring.passWave();
        }
        ring.exchange();
    }
    for (int i = 0; i < change.failures; ++i) {
        ring.fail();
    }
    for (int i = 0; i < change.joins; ++i) {
        ring.join();
    }
    ErrorTracker tracker;
    for (int i = 0; i < ObservedRounds; ++i) {
        if (roundsPerWave > 0 && i % roundsPerWave == roundsPerWave - 1) {
            ring.passWave();
        }
        ring.exchange();
        tracker.addRound(i, ring.largestError());
    }
    return tracker.finish(ring.messages(), change.members);
}

/** Membership state machines whose messages are delivered in memory. */
class Group
{
public:
    explicit Group(unsigned int seed)
        : m_random(seed)
    {
    }

    void join()
    {
        const std::string name = fmt::format("m{:04}", m_started++);
        Membership::Settings settings;
        settings.self.instance = InstanceId(name);
        settings.self.peerAddress = name;
        Membership::Hooks hooks;
        hooks.send = [this, name](const std::string &to, const std::string &body, MonotonicTime, auto done) {
            m_sentMessages.push_back({name, to, body, done});
        };
        auto member = std::make_unique<Membership>(
            settings, hooks, [this] { return std::uniform_real_distribution<double>(0, 1)(m_random); });
        std::vector<std::string> contacts;
        for (const auto &[other, membership] : m_members) {
            contacts.push_back(other);
        }
        contacts.resize(std::min<std::size_t>(contacts.size(), 2));
        member->setSeedAddresses(contacts);
        m_members[name] = std::move(member);
    }

    void fail()
    {
        auto member = m_members.begin();
        std::advance(member, static_cast<std::ptrdiff_t>(m_random() % m_members.size()));
        m_members.erase(member);
    }

    void round()
    {
        constexpr int StepsPerRound = 10;
        for (int i = 0; i < StepsPerRound; ++i) {
            for (const auto &[name, member] : m_members) {
                member->step(m_now);
            }
            deliver();
            m_now += std::chrono::milliseconds(1000 / StepsPerRound);
        }
    }

    double largestError() const
    {
        double largest = 0;
        const auto count = static_cast<double>(m_members.size());
        for (const auto &[name, member] : m_members) {
            largest = std::max(largest, std::abs(member->count(MemberRole::Gateway) - count) / count);
        }
        return largest;
    }

    std::int64_t messages() const
    {
        return m_messages;
    }

private:
    struct SentMessage {
        std::string from;
        std::string to;
        std::string body;
        Membership::Reply done;
    };

    void deliver()
    {
        while (!m_sentMessages.empty()) {
            for (const SentMessage &sent : std::exchange(m_sentMessages, {})) {
                const auto to = m_members.find(sent.to);
                ++m_messages;
                if (to == m_members.end() || m_members.count(sent.from) == 0) {
                    continue;
                }
                ++m_messages;
                sent.done(m_now, to->second->handle(m_now, InstanceId(sent.from), sent.body));
            }
        }
    }

    std::mt19937 m_random;
    MonotonicTime m_now;
    int m_started = 0;
    std::map<std::string, std::unique_ptr<Membership>> m_members;
    std::vector<SentMessage> m_sentMessages;
    std::int64_t m_messages = 0;
};

Outcome measureMembership(const Change &change, unsigned int seed)
{
    Group group(seed);
    for (int i = 0; i < change.members; ++i) {
        group.join();
    }
    for (int i = 0; i < SettleRounds; ++i) {
        group.round();
    }
    for (int i = 0; i < change.failures; ++i) {
        group.fail();
    }
    for (int i = 0; i < change.joins; ++i) {
        group.join();
    }
    ErrorTracker tracker;
    for (int i = 0; i < ObservedRounds; ++i) {
        group.round();
        tracker.addRound(i, group.largestError());
    }
    return tracker.finish(group.messages(), change.members);
}

double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

void printMedians(const char *method, const Change &change, const std::vector<Outcome> &outcomes)
{
    const auto medianOf = [&outcomes](const auto &figure) {
        std::vector<double> values;
        for (const Outcome &outcome : outcomes) {
            values.push_back(figure(outcome));
        }
        return median(values);
    };
    fmt::print("{{\"method\":\"{}\",\"members\":{},\"failures\":{},\"joins\":{},\"error_first_round\":{:.3f},"
               "\"error_last_round\":{:.3f},\"rounds_to_1_percent\":{:.0f},\"messages_per_member_round\":{:.2f}}}\n",
               method,
               change.members,
               change.failures,
               change.joins,
               medianOf([](const Outcome &outcome) { return outcome.firstRoundError; }),
               medianOf([](const Outcome &outcome) { return outcome.lastRoundError; }),
               medianOf([](const Outcome &outcome) { return static_cast<double>(outcome.roundsToConverge); }),
               medianOf([](const Outcome &outcome) { return outcome.messagesPerMemberAndRound; }));
}

} // namespace

int compareSizeEstimates(int seeds)
{
    constexpr int RoundsPerWave = 10;
    for (const Change &change : {Change{8, 1, 0}, Change{8, 4, 0}, Change{16, 2, 2}, Change{64, 8, 8}}) {
        std::vector<Outcome> counted;
        std::vector<Outcome> averaged;
        std::vector<Outcome> waved;
        for (int seed = 1; seed <= seeds; ++seed) {
            const auto number = static_cast<unsigned int>(seed);
            counted.push_back(measureMembership(change, number));
            averaged.push_back(measureRing(change, number, 0));
            waved.push_back(measureRing(change, number, RoundsPerWave));
        }
        printMedians("count-membership", change, counted);
        printMedians("ring-without-wave", change, averaged);
        printMedians("ring-wave-every-10", change, waved);
    }
    return 0;
}

} // namespace coriander
