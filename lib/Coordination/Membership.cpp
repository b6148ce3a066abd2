#include "corianderscale/Coordination/Membership.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace coriander {

namespace {

/** Entries per message that are taken from the member list in rotation, so that diverged lists converge. */
constexpr std::size_t RotatedEntriesPerMessage = 2;

/** How long messages to a newly known member are filled up with entries of the member list. */
constexpr Duration FullListTime = std::chrono::seconds(20);

/** Maximum number of listed addresses that are pinged in one round. */
constexpr std::size_t ContactsPerRound = 4;

/** Each change is sent this many times the binary logarithm of the number of members plus 1. */
constexpr double TransmissionFactor = 3.0;

GossipEntry toEntry(const Member &member)
{
    GossipEntry entry;
    entry.instance = member.instance;
    entry.role = static_cast<int>(member.role);
    entry.dataCentre = member.dataCentre;
    entry.address = member.address;
    entry.peerAddress = member.peerAddress;
    entry.state = static_cast<int>(member.state);
    entry.incarnation = member.incarnation;
    return entry;
}

Member toMember(const GossipEntry &entry)
{
    Member member;
    member.instance = entry.instance;
    member.role = static_cast<MemberRole>(entry.role);
    member.dataCentre = entry.dataCentre;
    member.address = entry.address;
    member.peerAddress = entry.peerAddress;
    member.state = static_cast<MemberState>(entry.state);
    member.incarnation = entry.incarnation;
    return member;
}

/**
 * An entry supersedes the known one if its incarnation is higher, or at the same incarnation its state is later in
 * MemberState.
 */
bool supersedes(const Member &update, const Member &known)
{
    return update.incarnation > known.incarnation
        || (update.incarnation == known.incarnation && update.state > known.state);
}

} // namespace

Membership::Membership(Settings settings, Hooks hooks, RandomUnit random)
    : m_settings(std::move(settings))
    , m_hooks(std::move(hooks))
    , m_random(std::move(random))
{
    m_members[m_settings.self.instance].member = m_settings.self;
}

void Membership::setSeedAddresses(std::vector<std::string> peerAddresses)
{
    m_contacts = std::move(peerAddresses);
}

void Membership::step(MonotonicTime now)
{
    m_lastStep = now;
    expireMembers(now);
    contactUnknownAddresses(now);
    continueProbe(now);
    if (!m_probe && now >= m_nextProbe) {
        m_nextProbe = now + m_settings.probeInterval;
        startProbe(now);
    }
}

void Membership::startProbe(MonotonicTime now)
{
    const std::optional<InstanceId> target = nextTarget();
    if (!target) {
        return;
    }
    const MonotonicTime indirectAt = now + m_settings.probeTimeout;
    m_probe = Probe{*target, find(*target)->peerAddress, indirectAt, indirectAt + m_settings.indirectProbeTimeout};
    ping(now, *target, m_probe->address, [this, id = *target](MonotonicTime) {
        if (m_probe && m_probe->target == id) {
            m_probe.reset();
        }
    });
}

/** Takes the next member from a shuffled list, so that each member is probed within a bounded time. */
std::optional<InstanceId> Membership::nextTarget()
{
    for (int round = 0; round < 2; ++round) {
        while (!m_probeOrder.empty()) {
            const InstanceId target = m_probeOrder.back();
            m_probeOrder.pop_back();
            const Member *member = find(target);
            if (member != nullptr && member->state != MemberState::Dead) {
                return target;
            }
        }
        for (const auto &[id, known] : m_members) {
            if (id != m_settings.self.instance) {
                m_probeOrder.push_back(id);
            }
        }
        for (std::size_t i = m_probeOrder.size(); i > 1; --i) {
            std::swap(m_probeOrder[i - 1], m_probeOrder[static_cast<std::size_t>(m_random() * static_cast<double>(i))]);
        }
    }
    return std::nullopt;
}

void Membership::continueProbe(MonotonicTime now)
{
    if (!m_probe) {
        return;
    }
    if (!m_probe->indirect && now >= m_probe->indirectAt) {
        m_probe->indirect = true;
        requestIndirectProbes(now);
    }
    if (m_probe && now >= m_probe->failsAt) {
        failProbe(now);
    }
}

void Membership::requestIndirectProbes(MonotonicTime now)
{
    std::vector<Member> others;
    for (const auto &[id, known] : m_members) {
        if (id != m_settings.self.instance && id != m_probe->target && known.member.state == MemberState::Alive) {
            others.push_back(known.member);
        }
    }
    for (int i = 0; i < m_settings.indirectProbes && !others.empty(); ++i) {
        const auto index = static_cast<std::size_t>(m_random() * static_cast<double>(others.size()));
        const Member helper = others[index];
        others.erase(others.begin() + static_cast<std::ptrdiff_t>(index));
        GossipMessage request = makeMessage(GossipKind::PingRequest, helper.instance);
        request.target = m_probe->target;
        request.targetAddress = m_probe->address;
        m_hooks.send(helper.peerAddress,
                     encodeGossip(request),
                     now + m_settings.indirectProbeTimeout,
                     [this, address = helper.peerAddress](MonotonicTime time, const std::optional<std::string> &reply) {
                         handleReply(time, address, reply);
                     });
    }
}

void Membership::failProbe(MonotonicTime now)
{
    const Member *known = find(m_probe->target);
    m_probe.reset();
    if (known == nullptr) {
        return;
    }
    Member member = *known;
    if (member.state == MemberState::Alive) {
        member.state = MemberState::Suspect;
        updateMember(now, member, true);
    } else if (member.state == MemberState::Leaving) {
        // The member announced that it is leaving, so it gets no time to refute a suspicion.
        member.state = MemberState::Dead;
        updateMember(now, member, true);
    }
}

void Membership::ping(MonotonicTime now,
                      const InstanceId &target,
                      const std::string &address,
                      std::function<void(MonotonicTime)> onAnswer)
{
    m_hooks.send(
        address,
        encodeGossip(makeMessage(GossipKind::Ping, target)),
        now + m_settings.probeTimeout + m_settings.indirectProbeTimeout,
        [this, address, onAnswer = std::move(onAnswer)](MonotonicTime time, const std::optional<std::string> &reply) {
            if (handleReply(time, address, reply) && onAnswer) {
                onAnswer(time);
            }
        });
}

void Membership::contactUnknownAddresses(MonotonicTime now)
{
    if (now < m_nextContact || m_contacts.empty()) {
        return;
    }
    m_nextContact = now + m_settings.contactInterval;
    std::vector<std::string> unknown;
    for (const std::string &address : m_contacts) {
        const bool known = std::any_of(m_members.begin(), m_members.end(), [&](const auto &entry) {
            return entry.second.member.peerAddress == address && entry.second.member.state != MemberState::Dead;
        });
        if (!known) {
            unknown.push_back(address);
        }
    }
    for (std::size_t i = 0; i < ContactsPerRound && !unknown.empty(); ++i) {
        const auto index = static_cast<std::size_t>(m_random() * static_cast<double>(unknown.size()));
        ping(now, {}, unknown[index], {});
        unknown.erase(unknown.begin() + static_cast<std::ptrdiff_t>(index));
    }
}

void Membership::expireMembers(MonotonicTime now)
{
    std::vector<Member> expired;
    std::vector<InstanceId> forgotten;
    for (const auto &[id, known] : m_members) {
        if (known.member.state == MemberState::Suspect && now - known.stateSince >= m_settings.suspicionTimeout) {
            expired.push_back(known.member);
        } else if (known.member.state == MemberState::Dead
                   && now - known.stateSince >= m_settings.deadMemberRetention) {
            forgotten.push_back(id);
        }
    }
    for (Member &member : expired) {
        member.state = MemberState::Dead;
        updateMember(now, member, true);
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (const InstanceId &id : forgotten) {
        m_members.erase(id);
    }
}

std::string Membership::handle(MonotonicTime now, const InstanceId &from, const std::string &body)
{
    ProtocolError error;
    const std::optional<GossipMessage> request = decodeGossip(body, error);
    if (!request) {
        return {};
    }
    merge(now, *request);
    const Member *sender = find(from);
    if (sender != nullptr && m_hooks.peerDocument) {
        m_hooks.peerDocument(sender->peerAddress, request->document);
    }
    if (request->kind == GossipKind::PingRequest) {
        probeForPeer(now, from, *request);
    } else if (request->kind == GossipKind::Confirm && m_probe && m_probe->target == request->target) {
        m_probe.reset();
    }
    return encodeGossip(makeMessage(GossipKind::Ack, from));
}

void Membership::probeForPeer(MonotonicTime now, const InstanceId &requester, const GossipMessage &request)
{
    ping(now, request.target, request.targetAddress, [this, requester, target = request.target](MonotonicTime time) {
        const Member *member = find(requester);
        if (member == nullptr) {
            return;
        }
        GossipMessage confirm = makeMessage(GossipKind::Confirm, requester);
        confirm.target = target;
        m_hooks.send(member->peerAddress,
                     encodeGossip(confirm),
                     time + m_settings.indirectProbeTimeout,
                     [](MonotonicTime, const std::optional<std::string> &) {});
    });
}

bool Membership::handleReply(MonotonicTime now, const std::string &address, const std::optional<std::string> &body)
{
    ProtocolError error;
    const std::optional<GossipMessage> reply = body ? decodeGossip(*body, error) : std::nullopt;
    if (!reply) {
        return false;
    }
    merge(now, *reply);
    if (m_hooks.peerDocument) {
        m_hooks.peerDocument(address, reply->document);
    }
    return true;
}

void Membership::merge(MonotonicTime now, const GossipMessage &message)
{
    for (const GossipEntry &entry : message.entries) {
        if (entry.instance == m_settings.self.instance) {
            refute(now, entry);
        } else {
            mergeEntry(now, entry);
        }
    }
}

void Membership::mergeEntry(MonotonicTime now, const GossipEntry &entry)
{
    Member update = toMember(entry);
    const Member *known = find(entry.instance);
    if (known == nullptr) {
        // A dead member is stored without an event, so that outdated entries that show it alive are ignored.
        updateMember(now, update, update.state != MemberState::Dead);
        return;
    }
    if (!supersedes(update, *known)) {
        return;
    }
    if (update.state == MemberState::Dead && known->state == MemberState::Alive) {
        // Other members may have lost contact with it in a partition, so it first becomes a suspect and may refute
        // that.
        update.state = MemberState::Suspect;
    }
    updateMember(now, update, true);
}

void Membership::refute(MonotonicTime now, const GossipEntry &entry)
{
    Member self = selfEntry().member;
    if (static_cast<MemberState>(entry.state) == self.state || entry.incarnation < self.incarnation) {
        return;
    }
    self.incarnation = entry.incarnation + 1;
    updateMember(now, self, true);
}

void Membership::updateMember(MonotonicTime now, const Member &member, bool disseminate)
{
    bool shouldNotify = false;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const bool unknown = m_members.count(member.instance) == 0;
        KnownMember &known = m_members[member.instance];
        shouldNotify = unknown ? member.state != MemberState::Dead : known.member.state != member.state;
        if (unknown || known.member.state != member.state) {
            known.stateSince = now;
        }
        known.member = member;
        known.transmissionsLeft = disseminate ? transmissionsPerChange() : 0;
    }
    if (shouldNotify && m_hooks.changed) {
        m_hooks.changed(member);
    }
}

int Membership::transmissionsPerChange() const
{
    return static_cast<int>(std::ceil(TransmissionFactor * std::log2(static_cast<double>(m_members.size()) + 1)));
}

GossipMessage Membership::makeMessage(GossipKind kind, const InstanceId &receiver)
{
    GossipMessage message;
    message.kind = kind;
    message.document = m_hooks.document ? m_hooks.document() : DocumentVersion();
    for (const KnownMember *known : selectEntries(receiver)) {
        message.entries.push_back(toEntry(known->member));
    }
    return message;
}

/**
 * Selects this instance, the receiver if it may have to refute its state, recent changes, and a rotating part of the
 * list.
 */
std::vector<const Membership::KnownMember *> Membership::selectEntries(const InstanceId &receiver)
{
    std::vector<const KnownMember *> selected{&selfEntry()};
    const auto add = [&selected](const KnownMember &known) {
        if (std::find(selected.begin(), selected.end(), &known) == selected.end()) {
            selected.push_back(&known);
        }
    };
    const auto known = m_members.find(receiver);
    if (known != m_members.end() && known->second.member.state != MemberState::Alive) {
        add(known->second);
    }
    // Changes with the most transmissions left go first, so that no new change waits behind older ones.
    std::vector<KnownMember *> changes;
    for (auto &[id, entry] : m_members) {
        if (entry.transmissionsLeft > 0) {
            changes.push_back(&entry);
        }
    }
    std::stable_sort(changes.begin(), changes.end(), [](const KnownMember *a, const KnownMember *b) {
        return a->transmissionsLeft > b->transmissionsLeft;
    });
    for (std::size_t i = 0; i < changes.size() && selected.size() + RotatedEntriesPerMessage < MaximumGossipEntries;
         ++i) {
        --changes[i]->transmissionsLeft;
        add(*changes[i]);
    }
    const bool sendFullList = known == m_members.end() || m_lastStep - known->second.stateSince < FullListTime;
    const std::size_t maximumEntries = sendFullList
        ? MaximumGossipEntries
        : std::min(MaximumGossipEntries, selected.size() + RotatedEntriesPerMessage);
    for (std::size_t i = 0; i < m_members.size() && selected.size() < maximumEntries; ++i) {
        auto next = m_members.upper_bound(m_lastRotated);
        next = next == m_members.end() ? m_members.begin() : next;
        m_lastRotated = next->first;
        add(next->second);
    }
    return selected;
}

void Membership::leave(MonotonicTime now)
{
    Member self = selfEntry().member;
    self.state = MemberState::Leaving;
    ++self.incarnation;
    updateMember(now, self, true);
    for (const Member &member : members()) {
        if (member.instance != self.instance) {
            ping(now, member.instance, member.peerAddress, {});
        }
    }
}

std::vector<Member> Membership::members() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<Member> list;
    for (const auto &[id, known] : m_members) {
        if (known.member.state != MemberState::Dead) {
            list.push_back(known.member);
        }
    }
    return list;
}

int Membership::count(MemberRole role) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto number = std::count_if(m_members.begin(), m_members.end(), [role](const auto &entry) {
        const Member &member = entry.second.member;
        return member.role == role && (member.state == MemberState::Alive || member.state == MemberState::Suspect);
    });
    return std::max(1, static_cast<int>(number));
}

Member Membership::self() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_members.at(m_settings.self.instance).member;
}

const Member *Membership::find(const InstanceId &instance) const
{
    const auto known = m_members.find(instance);
    return known == m_members.end() ? nullptr : &known->second.member;
}

Membership::KnownMember &Membership::selfEntry()
{
    return m_members.at(m_settings.self.instance);
}

} // namespace coriander
